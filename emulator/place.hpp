// What a partner can do, without I/O: limit, queue, servers, pace by class, cold start and toppling of one
// place (a destination, or a route apart). Driven by arrivals and a clock; randomness from the given source.
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

struct PlaceSettings {
  int servers = 4;                            // calls worked on at once
  Time service = 20'000;                      // mean time of one
  double service_cv = 0.5;                    // spread of it (lognormal); 0: always the mean
  int queue = 32;                             // calls that wait for a server
  double limit_per_s = 0;                     // 0: none
  Time limit_span = 0;                        // 0: a steady rate; else so many in each span
  bool refused_count = false;                 // refused calls use up the limit too
  Time tells_wait = 0;                        // with refusals; 0: doesn't tell
  double cold_from = 0.2;                     // share of capacity right after an outage
  Time cold = 0;                              // all of it after this; 0: never cold
  double fall_multiple = 2;                   // sent more than this times its present capacity
  Time overload_for = 2'000'000;              // for this long, a cold place falls over
  Time fallen_for = 10'000'000;               // and stays down so long
  std::map<std::string, double> class_times;  // calls of these classes take so many times as long
};

enum class Verdict { accepted, limited, queue_full, fallen };

class Place {
 public:
  Place(const PlaceSettings& settings, std::uint64_t seed);

  // A call arrives at `now`. Accepted: done at `done_at`.
  struct Arrival {
    Verdict verdict = Verdict::accepted;
    Time done_at = 0;
  };
  Arrival arrive(Time now, const std::string& message_class = {});
  // An outage begins or ends; after its end the place is cold.
  void outage_begins(Time now);
  void outage_ends(Time now);
  void set_slowness(double times) { slowness_ = times; }  // service takes so many times as long

  // Calls a second that it can serve, and the share of it that is there at `now`.
  double capacity() const;
  double warmth(Time now) const;
  bool fallen(Time now) const { return now < fallen_until_; }
  int falls() const { return falls_; }
  const PlaceSettings& settings() const { return settings_; }

 private:
  bool over_limit(Time now);
  void watch_overload(Time now);
  Time draw_service(const std::string& message_class);

  PlaceSettings settings_;
  pcg32 random_;
  std::vector<Time> busy_until_;  // of each server
  std::deque<Time> starts_;       // of calls accepted that had to wait, soonest first
  std::deque<Time> counted_;      // calls that count for a limit by span
  double tokens_ = 0;
  Time tokens_at_ = 0;
  double slowness_ = 1;
  std::optional<Time> back_at_;  // when the last outage ended
  bool out_ = false;
  std::deque<Time> pushes_;  // arrivals while cold
  Time fallen_until_ = 0;
  int falls_ = 0;
};

// Budget of arrivals in one window of a cold place: multiple x capacity in its mean x window, plus chance.
double push_budget(double multiple, double mean_capacity, Time window);

}  // namespace cedarplank::emulator
