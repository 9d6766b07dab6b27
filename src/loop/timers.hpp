// One-shot timers: an indexed heap and a hierarchical timer wheel with the same interface. The loop uses the
// one named by `TimerQueue` below.
//
// All times are in microseconds of the loop's monotonic clock. Neither structure reads a clock.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <functional>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cedarplank::loop {

using Time = std::int64_t;
using TimerId = std::uint64_t;  // never reused; 0 is never the id of a timer
using Callback = std::function<void()>;
constexpr Time kNoDeadline = std::numeric_limits<Time>::max();

// Indexed heap: fires timers in exact order; adding, cancelling and expiring take O(log n). A cancelled timer
// is removed at once, so that a message's time-out that never fires holds no memory.
class TimerHeap {
 public:
  TimerId add(Time deadline, Callback callback) {
    const TimerId id = ++last_id_;
    heap_.push_back({deadline, id, std::move(callback)});
    index_by_id_[id] = heap_.size() - 1;
    sift_up(heap_.size() - 1);
    return id;
  }
  bool cancel(TimerId id) {
    const auto it = index_by_id_.find(id);
    if (it == index_by_id_.end()) return false;
    remove(it->second);
    return true;
  }
  // The earliest deadline, or kNoDeadline.
  Time next() const { return heap_.empty() ? kNoDeadline : heap_.front().deadline; }
  // Removes one due timer and sets `callback` to its callback. Returns false if no timer is due.
  bool pop_due(Time now, Callback& callback) {
    if (heap_.empty() || heap_.front().deadline > now) return false;
    callback = std::move(heap_.front().callback);
    remove(0);
    return true;
  }
  std::size_t size() const { return heap_.size(); }

 private:
  // Children of a node. Flatter than a binary heap, so that moving an entry up touches fewer cache lines.
  static constexpr std::size_t kArity = 4;
  struct Entry {
    Time deadline;
    TimerId id;
    Callback callback;
    bool before(const Entry& o) const {
      return deadline != o.deadline ? deadline < o.deadline
                                    : id < o.id;  // equal deadlines: in the order of adding
    }
  };
  void sift_up(std::size_t i) {
    while (i > 0 && heap_[i].before(heap_[(i - 1) / kArity]))
      swap_entries(i, (i - 1) / kArity), i = (i - 1) / kArity;
  }
  void sift_down(std::size_t i) {
    for (;;) {
      std::size_t least = i;
      for (std::size_t c = i * kArity + 1; c <= i * kArity + kArity && c < heap_.size(); c++)
        if (heap_[c].before(heap_[least])) least = c;
      if (least == i) return;
      swap_entries(i, least), i = least;
    }
  }
  void swap_entries(std::size_t a, std::size_t b) {
    std::swap(heap_[a], heap_[b]);
    index_by_id_[heap_[a].id] = a, index_by_id_[heap_[b].id] = b;
  }
  void remove(std::size_t i) {
    index_by_id_.erase(heap_[i].id);
    if (i + 1 != heap_.size()) {
      heap_[i] = std::move(heap_.back());
      heap_.pop_back();
      index_by_id_[heap_[i].id] = i;
      sift_up(i), sift_down(i);
    } else {
      heap_.pop_back();
    }
  }

  std::vector<Entry> heap_;
  std::unordered_map<TimerId, std::size_t> index_by_id_;
  TimerId last_id_ = 0;
};

// Hierarchical timer wheel (Varghese and Lauck): six levels of 64 slots; a slot of the lowest level spans
// 256 us. A timer fires in the first slot that ends at or after its deadline, so up to 256 us late, and in no
// particular order with other timers of the same slot. Adding and cancelling take O(1).
class TimerWheel {
 public:
  TimerWheel() { slot_heads_.fill(kNone); }
  TimerId add(Time deadline, Callback callback) {
    std::uint32_t n = free_head_;
    if (n == kNone) {
      n = static_cast<std::uint32_t>(nodes_.size());
      nodes_.emplace_back();
    } else {
      free_head_ = nodes_[n].next;
    }
    Node& node = nodes_[n];
    node.tick =
        std::max(current_tick_ + 1,
                 static_cast<std::uint64_t>(std::max<Time>(deadline, 0) + kTickLength - 1) / kTickLength);
    node.callback = std::move(callback);
    node.live = true;
    link(n);
    size_++;
    return (static_cast<TimerId>(node.generation) << 32) | (n + 1);
  }
  bool cancel(TimerId id) {
    const auto n = static_cast<std::uint32_t>(id & 0xffffffff) - 1;
    if (id == 0 || n >= nodes_.size() || !nodes_[n].live || nodes_[n].generation != id >> 32) return false;
    unlink(n), release(n);
    return true;
  }
  // A lower bound of the earliest deadline, or kNoDeadline; 0 if a timer is already due.
  Time next() {
    if (due_head_ != kNone) return 0;
    if (size_ == 0) return kNoDeadline;
    // The start of each level's next occupied slot is a lower bound of the deadlines in that level.
    std::uint64_t best = std::numeric_limits<std::uint64_t>::max();
    for (unsigned level = 0; level < kLevels; level++) {
      if (occupied_[level] == 0) continue;
      const unsigned shift = level * kBits;
      const auto at = static_cast<int>((current_tick_ >> shift) & kMask);
      const int ahead = std::countr_zero(std::rotr(occupied_[level], at));
      const std::uint64_t start = ((current_tick_ >> shift) + static_cast<std::uint64_t>(ahead)) << shift;
      best = std::min(best, std::max(start, current_tick_ + 1));
    }
    return static_cast<Time>(best) * kTickLength;
  }
  bool pop_due(Time now, Callback& callback) {
    const std::uint64_t target = static_cast<std::uint64_t>(now) / kTickLength;
    while (due_head_ == kNone && current_tick_ < target) {
      if (size_ == 0) {
        current_tick_ = target;
        break;
      }
      advance(target);
    }
    if (due_head_ == kNone) return false;
    const std::uint32_t n = due_head_;
    due_head_ = nodes_[n].next;
    if (due_head_ != kNone) nodes_[due_head_].prev = kNone;
    callback = std::move(nodes_[n].callback);
    release(n);
    return true;
  }
  std::size_t size() const { return size_; }

 private:
  static constexpr Time kTickLength = 256;  // microseconds
  static constexpr unsigned kBits = 6, kLevels = 6, kSlots = 1u << kBits;
  static constexpr std::uint64_t kMask = kSlots - 1;
  static constexpr std::uint32_t kNone = 0xffffffff;
  static constexpr std::uint32_t kDueList = kLevels * kSlots;
  // A timer in the list of its slot, or a free node.
  struct Node {
    Callback callback;
    std::uint64_t tick = 0;  // at which it fires
    std::uint32_t next = kNone, prev = kNone, slot = 0, generation = 1;
    bool live = false;
  };
  std::uint32_t& head(std::uint32_t slot) { return slot == kDueList ? due_head_ : slot_heads_[slot]; }
  // Puts node `n` into the slot of its tick, or into the due list.
  void link(std::uint32_t n) {
    // A timer beyond the wheel's range goes into its farthest slot and is linked again when that is reached.
    const std::uint64_t max_ahead = (std::uint64_t{1} << (kBits * kLevels)) - 1;
    const std::uint64_t tick = std::min(nodes_[n].tick, current_tick_ + max_ahead);
    const std::uint64_t differing = tick ^ current_tick_;
    const unsigned level =
        differing == 0 ? 0
                       : std::min<unsigned>(
                             kLevels - 1, (63u - static_cast<unsigned>(std::countl_zero(differing))) / kBits);
    const auto slot = level * kSlots + static_cast<std::uint32_t>((tick >> (level * kBits)) & kMask);
    push(n, tick <= current_tick_ ? kDueList : slot);
  }
  void push(std::uint32_t n, std::uint32_t slot) {
    nodes_[n].slot = slot, nodes_[n].prev = kNone, nodes_[n].next = head(slot);
    if (nodes_[n].next != kNone) nodes_[nodes_[n].next].prev = n;
    head(slot) = n;
    if (slot != kDueList) occupied_[slot / kSlots] |= std::uint64_t{1} << (slot % kSlots);
  }
  void unlink(std::uint32_t n) {
    Node& node = nodes_[n];
    (node.prev == kNone ? head(node.slot) : nodes_[node.prev].next) = node.next;
    if (node.next != kNone) nodes_[node.next].prev = node.prev;
    if (node.slot != kDueList && slot_heads_[node.slot] == kNone)
      occupied_[node.slot / kSlots] &= ~(std::uint64_t{1} << (node.slot % kSlots));
  }
  void release(std::uint32_t n) {
    Node& node = nodes_[n];
    node.live = false, node.generation++, node.callback = nullptr;
    node.next = free_head_, free_head_ = n;
    size_--;
  }
  // Moves the current tick to the next tick at which a slot becomes current (`target` at most) and
  // distributes the timers of the slots that become current there to lower levels or to the due list.
  void advance(std::uint64_t target) {
    std::uint64_t to = target;
    for (unsigned level = 0; level < kLevels; level++) {
      if (occupied_[level] == 0) continue;
      const unsigned shift = level * kBits;
      const std::uint64_t position = current_tick_ >> shift;
      const std::uint64_t after = std::rotr(occupied_[level], static_cast<int>((position + 1) & kMask));
      const auto ahead = static_cast<std::uint64_t>(std::countr_zero(after)) + 1;
      to = std::min(to, (position + ahead) << shift);
    }
    current_tick_ = std::max(current_tick_ + 1, to);
    for (unsigned level = kLevels; level-- > 0;) {
      const unsigned shift = level * kBits;
      if (level > 0 && (current_tick_ & ((std::uint64_t{1} << shift) - 1)) != 0) continue;
      relink_slot(level * kSlots + static_cast<std::uint32_t>((current_tick_ >> shift) & kMask));
    }
  }
  // Empties a slot and links its timers anew.
  void relink_slot(std::uint32_t slot) {
    std::uint32_t n = slot_heads_[slot];
    slot_heads_[slot] = kNone;
    occupied_[slot / kSlots] &= ~(std::uint64_t{1} << (slot % kSlots));
    while (n != kNone) {
      const std::uint32_t following = nodes_[n].next;
      link(n);
      n = following;
    }
  }

  std::vector<Node> nodes_;
  std::array<std::uint32_t, kLevels * kSlots> slot_heads_{};
  std::array<std::uint64_t, kLevels> occupied_{};       // a bit for each occupied slot
  std::uint32_t free_head_ = kNone, due_head_ = kNone;  // heads of the lists of free nodes and of due timers
  std::uint64_t current_tick_ = 0;
  std::size_t size_ = 0;
};

// The structure that the loop uses.
using TimerQueue = TimerWheel;

}  // namespace cedarplank::loop
