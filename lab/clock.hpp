// Virtual time: what is to happen, in order. Equal times keep the order in which they were asked for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace cedarplank::lab {

using Time = std::int64_t;  // microseconds

class Clock {
 public:
  using Callback = std::function<void()>;
  Time now() const { return now_; }
  void at(Time when, Callback f) {
    events_.push_back({std::max(when, now_), next_++, std::move(f)});
    std::push_heap(events_.begin(), events_.end(), Later{});
  }
  void after(Time delay, Callback f) { at(now_ + delay, std::move(f)); }
  // Runs what is due up to `until`, or until `done`.
  template <class Done>
  void run(Time until, Done done) {
    while (!events_.empty() && events_.front().when <= until && !done()) {
      std::pop_heap(events_.begin(), events_.end(), Later{});
      Event e = std::move(events_.back());
      events_.pop_back();
      now_ = e.when, ran_++;
      e.f();
    }
    if (!done()) now_ = std::max(now_, until);
  }
  std::uint64_t ran() const { return ran_; }

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
  std::uint64_t next_ = 0, ran_ = 0;
  Time now_ = 1'000'000;  // not 0: that means "never" in places
};

}  // namespace cedarplank::lab
