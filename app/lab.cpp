// `cedarplank lab`: experiments in virtual time or on sockets.
#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "app/commands.hpp"
#include "config/document.hpp"
#include "lab/experiment.hpp"
#include "rig/scenario_run.hpp"

namespace cedarplank::app {
namespace {

// Seeds and ranges of seeds, separated by commas: "1-20" or "1,5,9".
std::vector<std::uint64_t> parse_seeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto comma = std::min(text.find(',', at), text.size());
    const std::string part = text.substr(at, comma - at);
    const auto dash = part.find('-');
    try {
      const auto from = std::stoull(part),
                 to = dash == std::string::npos ? from : std::stoull(part.substr(dash + 1));
      if (to < from || to - from >= 1'000'000) throw std::invalid_argument(part);
      for (auto s = from; s <= to; s++) seeds.push_back(s);
    } catch (const std::exception&) {
      throw std::runtime_error("--seeds: '" + part + "' is neither a seed nor a range like 1-20");
    }
    at = comma + 1;
  }
  if (seeds.empty()) throw std::runtime_error("--seeds: the list is empty");
  return seeds;
}

lab::Policy parse_policy(const std::string& name) {
  const auto it = lab::policy_names().find(name);
  if (it != lab::policy_names().end()) return it->second;
  std::string all;
  for (const auto& [n, p] : lab::policy_names()) all += (all.empty() ? "" : ", ") + n;
  throw std::runtime_error("--policies: '" + name + "' is none of " + all);
}

// Runs a day with relays as processes on real sockets.
lab::RunResult on_sockets(const rig::Scenario& scenario) {
  rig::ScenarioRunOptions options;
  options.quiet = true;
  options.relay_command = {std::filesystem::read_symlink("/proc/self/exe").string(), "relay"};
  const auto r = rig::run_scenario(scenario, options);
  lab::SimulationResult f;
  f.class_names = r.class_names, f.tallies = r.tallies, f.check = r.check;
  f.effects = r.effects, f.overloads = r.overloads, f.duplicate_answers = r.duplicate_answers,
  f.unanswered = r.unanswered;
  f.calls = r.calls, f.refused_calls = r.refused_calls;
  f.virtual_s = f.real_s = r.duration_s;
  auto cell = lab::run_result_of(f);
  for (const char* unobserved : {"held_most", "connections"})
    cell.figures.erase(unobserved);  // known only inside the relays
  return cell;
}

lab::Experiment load(const std::string& file) { return lab::from_json(file, config::read_file(file)); }

// Runs the plan, prints its table and writes the record and the charts; returns the exit code.
int run_experiment(const lab::ExperimentPlan& plan, const std::string& out, const std::string& charts,
                   const std::string& name, bool quiet) {
  auto e = lab::run_plan(plan, [&](std::size_t done, std::size_t all) {
    if (!quiet) fmt::print(stderr, "\r{} of {} runs", done, all), std::fflush(stderr);
  });
  if (!quiet) fmt::print(stderr, "\n");
  e.name = name.empty() ? std::filesystem::path(plan.day).stem().string() : name;
  e.revision = CEDARPLANK_REVISION;
  fmt::print("{}{}", lab::table_of(e), lab::broken_rules_of(e, 20));
  if (!out.empty()) {
    std::ofstream file(out, std::ios::trunc);
    file << lab::to_json(e);
    file.close();
    if (!file) throw std::runtime_error(out + ": can't be written");
  }
  if (!charts.empty())
    for (const auto& chart : lab::write_charts(e, charts)) fmt::print("{}/{}\n", charts, chart);
  bool failed = false, broken = false;
  for (const auto& c : e.runs) {
    failed = failed || !c.error.empty();
    broken = broken || (c.policy == "ours" && !c.broken_rules.empty());
  }
  return broken ? ExitCode::rule_broken : failed ? ExitCode::failed : ExitCode::ok;
}

}  // namespace

void add_lab(CLI::App& app, RunCommand& run) {
  auto* lab = app.add_subcommand("lab", "experiments: days and sweeps, in virtual time or on sockets");
  lab->require_subcommand(1);
  struct Options {
    std::string day, seeds = "1", out, charts, name, stories, where = "virtual", before, after,
                     policy = "ours";
    std::vector<std::string> policies = {"ours"}, sweep;
    std::uint64_t seed = 1;
    int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
    bool quiet = false, no_judge = false;
  };
  auto o = std::make_shared<Options>();

  auto* play = lab->add_subcommand("run", "run days; exit code 4 where ours breaks a rule");
  play->add_option("day", o->day, "the day (YAML; values may be drawn from ranges)")->required();
  play->add_option("--seeds", o->seeds, "1-20, or 1,5,9")->capture_default_str();
  play->add_option("--policies", o->policies,
                   "ours, and baselines: one_try, fixed, exponential, token_bucket")
      ->delimiter(',');
  play->add_option("--sweep", o->sweep,
                   "PATH=VALUE,VALUE...: runs the day with each, as load.rate=100/s,200/s");
  play->add_option("--where", o->where, "virtual or sockets")
      ->check(CLI::IsMember({"virtual", "sockets"}))
      ->capture_default_str();
  play->add_option("--jobs", o->jobs, "runs at once")->check(CLI::Range(1, 256));
  play->add_option("--out", o->out, "keep the record here (JSON)");
  play->add_option("--charts", o->charts, "draw charts into this folder (SVG, by gnuplot)");
  play->add_option("--name", o->name, "the experiment's name");
  play->add_option("--stories", o->stories,
                   "keep stories for 'trace' in this folder, a file for each run (virtual time)");
  play->add_flag("--no-judge", o->no_judge, "do not check the rules");
  play->add_flag("--quiet", o->quiet, "no progress");
  play->callback([o, &run] {
    run = [o] {
      lab::ExperimentPlan plan;
      plan.day = o->day, plan.seeds = parse_seeds(o->seeds), plan.check_rules = !o->no_judge;
      plan.trace_folder = o->stories;
      plan.jobs = o->where == "sockets" ? 1 : o->jobs;  // concurrent runs on sockets would disturb each other
      for (const auto& p : o->policies) plan.policies.push_back(parse_policy(p));
      if (o->where == "sockets") {
        if (plan.policies != std::vector{lab::Policy::dispatcher})
          throw std::runtime_error("--where sockets runs ours only");
        plan.run_on_sockets = on_sockets;
      }
      for (const auto& s : o->sweep) {
        const auto equals = s.find('=');
        if (equals == std::string::npos || equals == 0)
          throw std::runtime_error("--sweep: '" + s + "' is not PATH=VALUE,VALUE...");
        std::vector<std::string> values;
        for (std::size_t at = equals + 1; at <= s.size();) {
          const auto comma = std::min(s.find(',', at), s.size());
          values.push_back(s.substr(at, comma - at));
          at = comma + 1;
        }
        plan.sweep.emplace_back(s.substr(0, equals), values);
      }
      return run_experiment(plan, o->out, o->charts, o->name, o->quiet);
    };
  });

  auto* show = lab->add_subcommand("show", "a kept record as table and charts");
  show->add_option("record", o->before)->required();
  show->add_option("--charts", o->charts, "draw charts into this folder");
  show->callback([o, &run] {
    run = [o] {
      const auto e = load(o->before);
      fmt::print("{} ({}, {}, {})\n{}{}", e.name, e.day, e.where, e.revision, lab::table_of(e),
                 lab::broken_rules_of(e, 20));
      if (!o->charts.empty())
        for (const auto& chart : lab::write_charts(e, o->charts)) fmt::print("{}/{}\n", o->charts, chart);
      return ExitCode::ok;
    };
  });

  auto* compare = lab->add_subcommand("compare", "two records, run by run, with the noise");
  compare->add_option("before", o->before)->required();
  compare->add_option("after", o->after)->required();
  compare->callback([o, &run] {
    run = [o] {
      fmt::print("{}", lab::compare(load(o->before), load(o->after)));
      return ExitCode::ok;
    };
  });

  auto* draw =
      lab->add_subcommand("draw", "the day that a seed draws, as a scenario for 'drill' and 'lab run'");
  draw->add_option("day", o->day)->required();
  draw->add_option("--seed", o->seed);
  draw->callback([o, &run] {
    run = [o] {
      fmt::print("{}", lab::draw_day(o->day, config::read_file(o->day), o->seed));
      return ExitCode::ok;
    };
  });

  auto* shrink =
      lab->add_subcommand("shrink", "reduce a seed that breaks a rule to the troubles that matter");
  shrink->add_option("day", o->day)->required();
  shrink->add_option("--seed", o->seed)->required();
  shrink->add_option("--policy", o->policy)->capture_default_str();
  shrink->add_option("--out", o->out,
                     "write the smaller day here, beside the relay's settings that it names");
  shrink->callback([o, &run] {
    run = [o] {
      const auto s = lab::shrink(o->day, o->seed, parse_policy(o->policy));
      if (s.broken_rules.empty()) {
        fmt::print("this day breaks nothing\n");
        return ExitCode::failed;
      }
      fmt::print(stderr, "{} troubles of {} matter ({} runs)\n", s.troubles_after, s.troubles_before, s.runs);
      for (const auto& line : s.broken_rules) fmt::print(stderr, "{}\n", line);
      if (o->out.empty())
        fmt::print("{}", s.day);
      else
        std::ofstream(o->out, std::ios::trunc) << s.day;
      return ExitCode::ok;
    };
  });
}

}  // namespace cedarplank::app
