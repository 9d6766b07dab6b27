// Rate limiter for failed bind attempts. Repeated wrong passwords for one system_id from one address block
// that pair for a delay that doubles each time; an address that fails for many system_ids is blocked as well.
// Does no I/O and reads no clock; memory use is bounded.
//
// The server does not consult it for a client whose password was verified before, so that nobody can lock a
// client out by guessing its password.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace cedarplank::sms {

using Time = std::int64_t;

class BindGuard {
 public:
  struct Settings {
    int tries = 5;  // consecutive failures that start a delay; for a whole address, eight times as many
    Time rest = 10'000'000;           // the first delay, us
    Time rest_max = 600'000'000;      // the longest delay, us
    std::size_t remembered = 10'000;  // entries kept; the least recently used one is evicted
  };
  explicit BindGuard(const Settings& settings) : settings_(settings) {}

  // Whether a bind attempt may be checked now, or is still blocked by a delay.
  bool may_try(Time now, const std::string& system_id, const std::string& from);
  // Records a failed attempt.
  void wrong(Time now, const std::string& system_id, const std::string& from);
  // Records a successful attempt: clears the failures of this system_id from this address.
  void right(const std::string& system_id, const std::string& from);
  std::size_t remembered() const { return known_.size(); }

 private:
  struct Entry {
    std::string key;
    int wrong = 0, rests = 0;  // failures since the last delay; delays since the last quiet period
    Time until = 0, last = 0;  // blocked until; time of the latest failure
  };
  // The entry of this key as the most recently used one; creates it where there is none.
  Entry& touch(const std::string& key);
  const Entry* find(const std::string& key) const;
  // Counts a failure; every `tries`-th one starts a delay.
  void count(Time now, const std::string& key, int tries);

  Settings settings_;
  std::list<Entry> order_;  // most recently used first
  std::map<std::string, std::list<Entry>::iterator> known_;
};

}  // namespace cedarplank::sms
