// Capacity model of a partner, without I/O: rate limit, queue, servers, service time by class, cold start and
// overload of one destination, or of one endpoint where routes are apart. Driven by arrivals and the time
// given with them; the random numbers follow from the given seed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace cedarplank::emulator {

using Time = std::int64_t;  // microseconds

struct CapacitySettings {
  int servers = 4;             // calls processed at once
  Time service = 20'000;       // mean service time of a call
  double service_cv = 0.5;     // its coefficient of variation (lognormal); 0: always the mean
  int queue = 32;              // calls that can wait for a server
  double limit_per_s = 0;      // rate limit in calls per second; 0: none
  Time limit_span = 0;         // 0: the limit is a steady rate; else it applies to each span of this length
  bool refused_count = false;  // refused calls use up the limit too
  Time tells_wait = 0;         // told wait of refusals; 0: none
  double cold_from = 0.2;      // share of the capacity that is available right after an outage
  Time cold = 0;               // time from then until all of it is available; 0: never cold
  // A cold destination is overloaded by more than `fall_multiple` times its present capacity during
  // `overload_for`, and is then down for `fallen_for`.
  double fall_multiple = 2;
  Time overload_for = 2'000'000;
  Time fallen_for = 10'000'000;
  std::map<std::string, double> class_times;  // by class: factor on the service time
};

// What becomes of an arriving call: accepted, over the rate limit, queue full, or overloaded.
enum class ArrivalResult { accepted, rate_limited, queue_full, overloaded };

class CapacityModel {
 public:
  CapacityModel(const CapacitySettings& settings, std::uint64_t seed);

  // A call arrives at `now`. If accepted, it is done at `done_at`.
  struct Arrival {
    ArrivalResult result = ArrivalResult::accepted;
    Time done_at = 0;
  };
  Arrival arrive(Time now, const std::string& message_class = {});
  // An outage begins or ends. After its end the capacity is cold.
  void outage_begins(Time now);
  void outage_ends(Time now);
  void set_service_factor(double times) { service_factor_ = times; }  // factor on the service time

  // Calls per second that it can serve when not cold, and the share of that which is available at `now`.
  double capacity() const;
  double available_share(Time now) const;
  bool overloaded(Time now) const { return now < overloaded_until_; }
  int overloads() const { return overloads_; }
  const CapacitySettings& settings() const { return settings_; }

 private:
  bool over_limit(Time now);
  void watch_overload(Time now);
  Time draw_service(const std::string& message_class);

  CapacitySettings settings_;
  pcg32 random_;
  std::vector<Time> busy_until_;       // by server
  std::deque<Time> queued_starts_;     // when queued calls start, soonest first
  std::deque<Time> counted_arrivals_;  // arrivals that count towards a limit by span
  double tokens_ = 0;
  Time tokens_at_ = 0;
  double service_factor_ = 1;
  std::optional<Time> outage_ended_at_;
  bool in_outage_ = false;
  std::deque<Time> cold_arrivals_;  // arrivals while cold, within `overload_for`
  Time overloaded_until_ = 0;
  int overloads_ = 0;
};

// Arrivals within `window` that a cold destination withstands: `multiple` x `mean_capacity` x `window`, plus
// an allowance for random variation.
double overload_threshold(double multiple, double mean_capacity, Time window);

}  // namespace cedarplank::emulator
