// Experiments: days or sweeps, run in parallel, kept as one record (JSON) each, shown as tables, compared
// with their noise.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/draw.hpp"
#include "lab/world.hpp"

namespace cedarplank::lab {

struct Cell {  // one run
  std::vector<Override> settings;
  std::string policy;
  std::uint64_t seed = 0;
  std::map<std::string, double> values;  // by the names of figure_names()
  struct Class {
    std::string name;
    double asked = 0, served = 0, in_aim = 0, p50_ms = 0, p99_ms = 0;
  };
  std::vector<Class> classes;
  std::vector<Figures::Second> seconds;
  std::vector<std::string> broken;  // rules, one line for each case
  std::string error;                // why it could not run
};
Cell cell_of(const Figures& figures);

struct Plan {
  std::string day;  // file
  std::vector<std::uint64_t> seeds;
  std::vector<Policy> policies;
  // A sweep: each path with its values; all combinations are run.
  std::vector<std::pair<std::string, std::vector<std::string>>> sweep;
  int jobs = 1;
  bool judge = true;
  std::string stories;  // a folder: a file of stories for each run in virtual time; empty: none
  // Instead of virtual time: plays a day on sockets.
  std::function<Cell(const rig::Scenario&)> on_sockets;
};

struct Experiment {
  std::string name, day, revision, where;  // "virtual" or "sockets"
  std::vector<Cell> cells;
};

// `progress` is told how many of how many are done, from any of the threads, one at a time.
Experiment run_plan(const Plan& plan, const std::function<void(std::size_t done, std::size_t all)>& progress);

std::string to_json(const Experiment& e);
// Throws std::runtime_error naming what is wrong.
Experiment from_json(const std::string& file, const std::string& text);

// What is kept of each run, as far as it can be seen where it ran: "served" and "in_aim" (shares of the
// messages asked), "p50_ms", "p99_ms", "attempts" (a message), "refused_calls", "falls", "held_most",
// "connections", "broken", "unanswered", "times_faster" (than the clock).
const std::vector<std::string>& figure_names();

// Mean over the seeds with the half width of its 95% interval (Student's t).
struct Mean {
  double mean = 0, half_width = 0;
  std::size_t n = 0;
};
Mean mean_of(const std::vector<double>& values);

// One line for each setting and policy.
std::string table_of(const Experiment& e);
std::string broken_rules_of(const Experiment& e, std::size_t most);
// Runs of both with equal settings, policy and seed, paired; a difference that its interval does not explain
// is marked.
std::string compare(const Experiment& before, const Experiment& after);

// Writes SVG charts by gnuplot into a folder; returns their names. Throws where gnuplot can't be run.
std::vector<std::string> write_charts(const Experiment& e, const std::string& folder);

// A day that breaks a rule, with as few troubles as still break it (delta debugging): the text of a fixed
// day.
struct Shrunk {
  std::string day;
  std::size_t troubles_before = 0, troubles_after = 0, runs = 0;
  std::vector<std::string> broken;
};
Shrunk shrink(const std::string& day, std::uint64_t seed, Policy policy);

}  // namespace cedarplank::lab
