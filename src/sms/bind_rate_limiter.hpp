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

class BindRateLimiter {
 public:
  struct Settings {
    int max_failures =
        5;  // consecutive failures that start a delay; for a whole address, eight times as many
    Time initial_delay = 10'000'000;   // the first delay, us
    Time max_delay = 600'000'000;      // the longest delay, us
    std::size_t max_entries = 10'000;  // entries kept; the least recently used one is evicted
  };
  explicit BindRateLimiter(const Settings& settings) : settings_(settings) {}

  // Whether a bind attempt may be checked now, or is still blocked by a delay.
  bool may_attempt(Time now, const std::string& system_id, const std::string& from);
  // Records a failed attempt.
  void record_failure(Time now, const std::string& system_id, const std::string& from);
  // Records a successful attempt: clears the failures of this system_id from this address.
  void record_success(const std::string& system_id, const std::string& from);
  std::size_t entry_count() const { return entries_by_key_.size(); }

 private:
  struct Entry {
    std::string key;
    int failures = 0, delays = 0;  // failures since the last delay; delays since the last quiet period
    Time blocked_until = 0, last_failure_at = 0;
  };
  // The entry of this key as the most recently used one; creates it where there is none.
  Entry& touch(const std::string& key);
  const Entry* find(const std::string& key) const;
  // Counts a failure; every `tries`-th one starts a delay.
  void count_failure(Time now, const std::string& key, int tries);

  Settings settings_;
  std::list<Entry> entries_by_use_;  // most recently used first
  std::map<std::string, std::list<Entry>::iterator> entries_by_key_;
};

}  // namespace cedarplank::sms
