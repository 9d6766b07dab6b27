// Virtual clock of a simulation: an event queue ordered by time. Events with equal times run in the order in
// which they were scheduled.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace cedarplank::lab {

using Time = std::int64_t;  // microseconds

// Time advances only in run().
class VirtualClock {
 public:
  using Callback = std::function<void()>;
  Time now() const { return now_; }
  // Schedules `f`; a time in the past means now.
  void at(Time when, Callback f) {
    events_.push_back({std::max(when, now_), next_number_++, std::move(f)});
    std::push_heap(events_.begin(), events_.end(), Later{});
  }
  void after(Time delay, Callback f) { at(now_ + delay, std::move(f)); }
  // Runs the events that are due up to `until`, or until `done()` returns true.
  template <class Done>
  void run(Time until, Done done) {
    while (!events_.empty() && events_.front().when <= until && !done()) {
      std::pop_heap(events_.begin(), events_.end(), Later{});
      Event e = std::move(events_.back());
      events_.pop_back();
      now_ = e.when, events_run_++;
      e.f();
    }
    if (!done()) now_ = std::max(now_, until);
  }
  std::uint64_t events_run() const { return events_run_; }

 private:
  struct Event {
    Time when;
    std::uint64_t number;
    Callback f;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.when != b.when ? a.when > b.when : a.number > b.number;
    }
  };
  std::vector<Event> events_;
  std::uint64_t next_number_ = 0, events_run_ = 0;
  Time now_ = 1'000'000;  // not 0, which means "never" in some fields
};

}  // namespace cedarplank::lab
