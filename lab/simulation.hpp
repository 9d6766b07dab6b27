// Simulates a scenario in virtual time. Each relay runs the product's relay core, connection pool and
// dispatcher; partners come from the emulator, clients from the load generator's model. Only sockets,
// the kernel and the time that computing takes are left out. Equal scenarios give equal results.
#pragma once

#include <string>
#include <vector>

#include "lab/baselines.hpp"
#include "rig/scenario_script.hpp"
#include "trace/recorder.hpp"

namespace cedarplank::lab {

struct SimulationOptions {
  Policy policy = Policy::dispatcher;
  // Microseconds one way, between client and relay and between relay and endpoint.
  rig::Time one_way_delay = 50;
  bool check_rules = true;  // check the rules at the end of the day
  std::function<void(trace::MessageTrace&&)>
      trace_sink;  // receives the traces that the relays keep by their settings
};

// The results of a day.
struct SimulationResult {
  std::vector<std::string> class_names;
  std::vector<rig::LoadModel::Tally> tallies;
  rig::CheckResult check;
  std::uint64_t calls = 0, refused_calls = 0, effects = 0, overloads = 0, connections = 0,
                duplicate_answers = 0, unanswered = 0;
  std::size_t held_most = 0;
  struct Second {
    std::uint64_t asked = 0, served = 0, in_aim = 0, calls = 0, refused_calls = 0;
    std::size_t held = 0;
    std::vector<std::uint64_t> served_by_class;
  };
  std::vector<Second> seconds;
  double virtual_s = 0, real_s = 0;
  std::uint64_t events = 0;  // run by the virtual clock

  std::uint64_t asked() const;
  double served_share() const, in_aim_share() const, attempts_per_message() const;
  // No broken rule, and exactly one answer for each message.
  bool passed() const { return check.passed() && unanswered == 0 && duplicate_answers == 0; }
};

// Throws ConfigError where the relay's settings are wrong.
SimulationResult run_simulation(const rig::Scenario& scenario, const SimulationOptions& options);

}  // namespace cedarplank::lab
