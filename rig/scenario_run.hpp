// Runs a scenario in real time: relays as child processes, stand-in endpoints and clients in this process,
// troubles by the clock. Then checks the rules.
#pragma once

#include <string>
#include <vector>

#include "rig/checker.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {

struct ScenarioRunOptions {
  std::vector<std::string> relay_command;  // program and arguments before "--config FILE"
  // Folder for settings, logs and recordings; empty: a temporary one, removed at the end.
  std::string output_folder;
  bool quiet = false;  // no progress lines
};

struct ScenarioRunResult {
  CheckResult check;
  std::vector<std::string> class_names;
  std::vector<LoadModel::Tally> tallies;  // by class
  // Second final answers; messages without one; effects; overloads of cold destinations; calls; refused
  // calls.
  std::uint64_t duplicate_answers = 0, unanswered = 0, effects = 0, overloads = 0, calls = 0,
                refused_calls = 0;
  bool relays_exited_cleanly = true;  // each drained on SIGTERM with exit code 0
  double duration_s = 0;
  std::string table() const;
  bool passed() const { return check.passed() && unanswered == 0 && relays_exited_cleanly; }
};

// Throws std::runtime_error if a relay does not start.
ScenarioRunResult run_scenario(const Scenario& scenario, const ScenarioRunOptions& options);

}  // namespace cedarplank::rig
