#include "store/writer.hpp"

#include <algorithm>
#include <utility>

namespace cedarplank::store {
namespace {

constexpr std::chrono::milliseconds kRetryPause{50};   // pause before a full device is tried again
constexpr std::chrono::milliseconds kStuckAfter{500};  // until a commit without space counts as stuck

LogSettings log_settings(const WriterSettings& s) {
  LogSettings l = s.log;
  l.sync = s.sync != WriterSettings::Sync::none;
  return l;
}

}  // namespace

Writer::Writer(std::unique_ptr<Files> files, const WriterSettings& settings, std::uint64_t id, Ports ports)
    : files_(std::move(files)),
      settings_(settings),
      log_(*files_, log_settings(settings), id),
      ports_(std::move(ports)) {}

Writer::~Writer() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

Log::OpenResult Writer::open(const std::function<void(Sequence, std::string_view)>& record) {
  auto opened = log_.open(record);
  if (opened.problem) {
    set_state(State::failed, opened.problem->text);
    return opened;
  }
  next_ = opened.next, durable_ = log_.durable(), segments_ = log_.segments();
  thread_ = std::thread([this] { run(); });
  return opened;
}

Sequence Writer::append(std::string bytes) {
  if (state_ == State::failed || bytes.empty() || bytes.size() > settings_.log.record_size_max ||
      bytes.size() + Log::kRecordHeaderSize + Log::kSegmentHeaderSize > settings_.log.segment_size)
    return 0;
  bool notify = false;
  {
    const std::lock_guard lock(mutex_);
    notify = queue_.empty();
    queue_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    notify = notify || queue_.size() == settings_.batch_records;
  }
  if (notify) wake_.notify_one();
  return next_++;
}

void Writer::release(Sequence upto) {
  const std::lock_guard lock(mutex_);
  pending_release_ = std::max(pending_release_, upto);
  wake_.notify_one();
}

std::string Writer::problem() const {
  const std::lock_guard lock(mutex_);
  return problem_;
}

// Queued bytes count at once, so that a burst can't fill the limit before the thread has processed it.
bool Writer::nearly_full(std::size_t segments, std::size_t queued) const {
  return segments + queued / settings_.log.segment_size >=
         std::max<std::size_t>(settings_.log.segments_max / 2, 2);
}

bool Writer::has_room() const {
  if (state_ != State::healthy) return false;
  const std::lock_guard lock(mutex_);
  const std::size_t queued = queue_bytes_ + committing_bytes_;
  return queued < settings_.queue_bytes_max && !nearly_full(segments_, queued);
}

void Writer::set_state(State state, const std::string& why) {
  {
    const std::lock_guard lock(mutex_);
    problem_ = why;
  }
  if (state_.exchange(state) != state) post_notification();
}

void Writer::post_notification() {
  {
    const std::lock_guard lock(mutex_);
    if (notification_posted_) return;
    notification_posted_ = true;
  }
  ports_.post([this, alive = alive_] {
    if (!*alive) return;
    {
      const std::lock_guard lock(mutex_);
      notification_posted_ = false;
    }
    ports_.on_change();
  });
}

void Writer::run() {
  std::unique_lock lock(mutex_);
  bool reserved = false;
  while (true) {
    if (!reserved || state_ != State::healthy) {
      // Repeated after each new segment, and while space is short.
      lock.unlock();
      const auto error = log_.reserve_segment();
      reserved = !error;
      const bool near_limit = nearly_full(log_.segments(), 0);
      if (error || near_limit)
        set_state(State::low_space, error ? "no space for another segment: " + error.message()
                                          : "half of the journal's segment limit is used");
      else if (state_ != State::healthy)
        set_state(State::healthy, {});
      lock.lock();
    }
    const auto ready = [&] { return stopping_ || !queue_.empty() || pending_release_ >= log_.first(); };
    if (state_ != State::healthy)
      wake_.wait_for(lock, kRetryPause, ready);
    else
      wake_.wait(lock, ready);
    if (settings_.sync == WriterSettings::Sync::batched && !stopping_ && !queue_.empty())
      wake_.wait_for(lock, settings_.batch_time,
                     [&] { return stopping_ || queue_.size() >= settings_.batch_records; });
    if (const Sequence upto = std::exchange(pending_release_, 0); upto > 0) {
      lock.unlock();
      // On an error the remaining segments are released with the next call.
      log_.release(upto);
      segments_ = log_.segments();
      lock.lock();
    }
    if (queue_.empty()) {
      if (stopping_) return;
      continue;
    }
    std::vector<std::string> records;
    records.swap(queue_);
    committing_bytes_ = std::exchange(queue_bytes_, 0);
    const auto segments = log_.segments();
    if (!commit_all(records, lock)) return;
    committing_bytes_ = 0;
    if (log_.segments() != segments) reserved = false;
    segments_ = log_.segments();
  }
}

// Returns false if the thread has nothing more to do. Called and returns with the lock held.
bool Writer::commit_all(std::vector<std::string>& records, std::unique_lock<std::mutex>& lock) {
  std::size_t done = 0;
  const auto since = std::chrono::steady_clock::now();
  while (true) {
    lock.unlock();
    auto appended = Log::AppendResult::appended;
    for (; done < records.size(); done++) {
      appended = log_.append(records[done]);
      if (appended != Log::AppendResult::appended) break;
      bytes_ += records[done].size() + Log::kRecordHeaderSize;
    }
    const auto error = log_.commit();
    const Sequence durable = log_.durable();
    if (durable != durable_) {
      durable_ = durable, commits_++;
      post_notification();
    }
    if (log_.failed()) {
      set_state(State::failed, "the journal can't be written any more: " + error.message());
      lock.lock();
      return false;
    }
    if (!error && done == records.size()) {
      lock.lock();
      return true;
    }
    const bool stuck = std::chrono::steady_clock::now() - since > kStuckAfter;
    set_state(stuck ? State::blocked : State::low_space,
              error ? "the journal can't be written now: " + error.message()
                    : "the journal has reached its segment limit");
    lock.lock();
    // Space may come from a release or on the device.
    wake_.wait_for(lock, kRetryPause, [&] { return stopping_ || pending_release_ > 0; });
    if (const Sequence upto = std::exchange(pending_release_, 0); upto > 0) {
      lock.unlock();
      log_.release(upto);
      lock.lock();
    }
    if (stopping_) return false;
  }
}

}  // namespace cedarplank::store
