// Experiments: a day or a sweep of its settings, run for several seeds and policies in parallel. An
// experiment is stored as one JSON record, shown as a table and charts, and compared with another one
// statistically.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/scenario_draw.hpp"
#include "lab/simulation.hpp"

namespace cedarplank::lab {

// The result of one run: one day with one combination of settings, one policy and one seed.
struct RunResult {
  std::vector<Override> settings;
  std::string policy;
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;  // by the names of figure_names()
  struct Class {
    std::string name;
    double asked = 0, served = 0, in_aim = 0, p50_ms = 0, p99_ms = 0;
  };
  std::vector<Class> classes;
  std::vector<SimulationResult::Second> seconds;
  std::vector<std::string> broken_rules;  // one line for each case
  std::string error;                      // why the run failed; empty: it did not
};
RunResult run_result_of(const SimulationResult& figures);

// What an experiment runs: every combination of seed, policy and settings of the sweep.
struct ExperimentPlan {
  std::string day;  // the day's file
  std::vector<std::uint64_t> seeds;
  std::vector<Policy> policies;
  // A sweep: each settings path with its values; all combinations are run.
  std::vector<std::pair<std::string, std::vector<std::string>>> sweep;
  int jobs = 1;
  bool check_rules = true;
  std::string trace_folder;  // folder for a file of message traces for each run in virtual time; empty: none
  // Where set, runs a day on real sockets instead of in virtual time.
  std::function<RunResult(const rig::Scenario&)> run_on_sockets;
};

// The stored results of a plan.
struct Experiment {
  std::string name, day, revision, where;  // where: "virtual" or "sockets"
  std::vector<RunResult> runs;
};

// Runs all combinations of the plan. `progress` is called after each run, from any of the threads but never
// from two at once.
Experiment run_plan(const ExperimentPlan& plan,
                    const std::function<void(std::size_t done, std::size_t all)>& progress);

// The stored record.
std::string to_json(const Experiment& e);
// Throws std::runtime_error with the file and the cause.
Experiment from_json(const std::string& file, const std::string& text);

// The names of the figures kept of each run, as far as they can be observed where it ran: "served" and
// "in_aim" (shares of the messages asked), "p50_ms", "p99_ms", "attempts" (per message), "refused_calls",
// "falls" (overloads of partners), "held_most", "connections", "broken" (cases), "unanswered", "times_faster"
// (virtual time per real time), and others.
const std::vector<std::string>& figure_names();

// Mean over the seeds with the half width of its 95% confidence interval (Student's t).
struct Mean {
  double mean = 0, half_width = 0;
  std::size_t n = 0;
};
Mean mean_of(const std::vector<double>& values);

// A table with one line for each combination of settings and policy.
std::string table_of(const Experiment& e);
// The broken rules and errors of all runs, at most `most` lines and a count of the rest.
std::string broken_rules_of(const Experiment& e, std::size_t most);
// Pairs the runs with equal settings, policy and seed. Marks a difference whose confidence interval excludes
// zero.
std::string compare(const Experiment& before, const Experiment& after);

// Writes SVG charts into a folder and returns their file names. Throws where gnuplot can't be run.
std::vector<std::string> write_charts(const Experiment& e, const std::string& folder);

// A day that breaks a rule, minimized by delta debugging to the troubles that still break one: the text of a
// scenario without ranges. `broken` is empty where the day breaks no rule.
struct MinimizedCase {
  std::string day;
  std::size_t troubles_before = 0, troubles_after = 0, runs = 0;
  std::vector<std::string> broken_rules;
};
MinimizedCase shrink(const std::string& day, std::uint64_t seed, Policy policy);

}  // namespace cedarplank::lab
