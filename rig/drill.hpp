// Runs a scenario in real time: relays as child processes, stand-in endpoints and clients in this process,
// troubles by the clock. Then checks the rules.
#pragma once

#include <string>
#include <vector>

#include "rig/checker.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {

struct DrillOptions {
  std::vector<std::string> relay_command;  // program and arguments before "--config FILE"
  std::string keep;    // folder for settings, logs and recordings; empty: a temporary one, removed at the end
  bool quiet = false;  // no progress lines
};

struct DrillResult {
  Verdict verdict;
  std::vector<std::string> class_names;
  std::vector<LoadBook::Tally> tallies;  // by class
  // Second final answers; messages without one; effects; overloads of cold destinations; calls; refused
  // calls.
  std::uint64_t doubled = 0, unanswered = 0, effects = 0, falls = 0, calls = 0, refused_calls = 0;
  bool relays_ended_well = true;  // each drained on SIGTERM with exit code 0
  double took_s = 0;
  std::string table() const;
  bool good() const { return verdict.kept() && unanswered == 0 && relays_ended_well; }
};

// Throws std::runtime_error if a relay does not start.
DrillResult run_drill(const Scenario& scenario, const DrillOptions& options);

}  // namespace cedarplank::rig
