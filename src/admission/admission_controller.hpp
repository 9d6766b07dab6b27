// Admission control: decides which messages are accepted when the relay itself runs short of buffer, memory
// or CPU, and which tenant's messages are rejected then. Has no I/O and no clock.
//
// Division of work: the module decides on every accepted message, including which ones to refuse while its
// buffer is nearly full (from 92% on). Admission control acts before that, on messages not accepted yet, and
// only above a higher threshold or when memory or CPU time runs out, of which the module knows nothing. A
// message rejected here was never accepted: rule 1 does not apply to it, and trying again is harmless.
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
  std::size_t held_max = 1000;                 // messages held, of all tenants
  std::int64_t bytes_max = 256 * 1024 * 1024;  // of their bodies
  double fair_share_from = 0.95;  // fraction of either limit above which fair shares are enforced
  std::vector<double> weights =
      {};                       // by tenant; a tenant without one, and messages without tenant, get the mean
  Time lag_target = 100'000;    // lag of the host's work that is acceptable
  Time lag_interval = 500'000;  // a lag above lag_target throughout this time is overload
  int streams_max = 1000;       // open requests for each client
  int streams_min = 10;         // lower bound of it under overload
};

// Whether a message is accepted, and if not, why.
enum class Decision {
  accept,
  full,        // the buffer is full
  no_memory,   // the bodies held leave no capacity for this one
  over_share,  // buffer or memory is short, and this tenant holds its fair share
  overloaded   // the host is overloaded, and this tenant holds its fair share
};
const char* text_of(Decision decision);

// Counts what each tenant holds and decides on new messages.
class AdmissionController {
 public:
  explicit AdmissionController(const Settings& settings) : stream_limit_(settings.streams_max) {
    update_settings(settings);
  }

  // Whether a message with a body of that size may be accepted. Tenant -1: none.
  Decision decide(int tenant, std::int64_t bytes) const;
  // A message was accepted.
  void accepted(int tenant, std::int64_t bytes);
  // A message is no longer held: answered, or cancelled by the client.
  void released(int tenant, std::int64_t bytes);

  // Reports the current lag of the host's work; to be called on each turn. The minimum over an interval
  // counts, since a queue that empties in between is no overload (CoDel, RFC 8289 section 3.1).
  void report_lag(Time now, Time lag);
  bool overloaded() const { return overloaded_; }
  // Requests that each client may have open now: halved in each interval of overload, raised step by step in
  // each other one.
  int stream_limit() const { return stream_limit_; }

  std::size_t held() const { return held_; }
  std::size_t held_by(int tenant) const;
  // Messages that the tenant may hold while the relay is short of buffer: its weight's share among the
  // tenants that hold any, itself included.
  double fair_share(int tenant) const;
  // Applies changed settings.
  void update_settings(const Settings& settings);

 private:
  double weight(int tenant) const;
  struct TenantUsage {
    std::size_t messages = 0;
    std::int64_t bytes = 0;
  };
  Settings settings_;
  std::map<int, TenantUsage> usage_;  // by tenant; only tenants that hold any
  std::size_t held_ = 0;
  std::int64_t bytes_ = 0;
  double weight_sum_ = 0;      // sum over the tenants that hold any
  double default_weight_ = 1;  // for tenants without a weight
  bool overloaded_ = false;
  int stream_limit_;
  Time interval_start_ = -1,  // start of the current interval; negative: none yet
      min_lag_ = 0;           // minimum lag in it
};

}  // namespace cedarplank::admission
