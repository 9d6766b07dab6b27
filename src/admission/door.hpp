// The relay's door: what is taken when the relay itself runs short of buffer, memory or CPU, and whose
// message then has to wait. Free of I/O and clock.
//
// Where the line runs: the module decides on every message that was taken, also which ones it hands back
// while its buffer is nearly full (from 92% on). The door acts before that decision exists, on messages not
// taken yet, and only from a higher mark on or where memory or time run out, of which the module knows
// nothing. A message turned away here was never taken: rule 1 does not count it, trying again is harmless.
// docs/design/admission.md weighs the options.
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace cedarplank::admission {

using Time = std::int64_t;

struct Settings {
  std::size_t held_max = 1000;                 // messages, of all tenants
  std::int64_t bytes_max = 256 * 1024 * 1024;  // of their bodies
  double share_from = 0.95;                    // of either: above it nobody gets more than a fair share
  std::vector<double> weights = {};  // of the tenants; those without one, and no tenant, weigh their mean
  Time lag_target = 100'000;         // the host may be so late with its work
  Time lag_interval = 500'000;       // when it is later for so long without a break, it is overloaded
  int streams_max = 1000;            // requests that one client may have open
  int streams_min = 10;              // and under overload
};

enum class Answer {
  take,
  full,        // the buffer is full
  no_memory,   // the bodies held leave no room for this one
  over_share,  // short, and this tenant holds its fair share
  overloaded   // the host is late, and this tenant holds its fair share
};
const char* text_of(Answer answer);

class Door {
 public:
  explicit Door(const Settings& settings) : streams_(settings.streams_max) { set(settings); }

  // May a message with a body of that size come in? -1: no tenant.
  Answer ask(int tenant, std::int64_t bytes) const;
  void taken(int tenant, std::int64_t bytes);
  void over(int tenant, std::int64_t bytes);  // answered or withdrawn

  // The host was so late with its work just now. Told each turn; the least of an interval counts, since a
  // queue that empties in between is no overload (CoDel, RFC 8289 section 3.1).
  void late(Time now, Time lag);
  bool overloaded() const { return overloaded_; }
  // Requests that each client may have open now: halved in each interval of overload, then raised step by
  // step.
  int streams() const { return streams_; }

  std::size_t held() const { return held_; }
  std::size_t held_by(int tenant) const;
  // Messages that the tenant may hold while the relay is short: its weight's part among those that hold any,
  // or ask.
  double fair_share(int tenant) const;
  void set(const Settings& settings);

 private:
  double weight(int tenant) const;
  struct Holding {
    std::size_t messages = 0;
    std::int64_t bytes = 0;
  };
  Settings settings_;
  std::map<int, Holding> holdings_;  // of tenants that hold any
  std::size_t held_ = 0;
  std::int64_t bytes_ = 0;
  double weights_ = 0;       // of those
  double usual_weight_ = 1;  // of who has none
  bool overloaded_ = false;
  int streams_;
  Time interval_from_ = -1, least_lag_ = 0;
};

}  // namespace cedarplank::admission
