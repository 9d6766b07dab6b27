// Runs experiments in parallel; tabulates and compares their figures.
#include "lab/experiment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <filesystem>
#include <mutex>
#include <thread>

#include "config/document.hpp"
#include "trace/trace_file.hpp"

namespace cedarplank::lab {
namespace {

const char* name_of(Policy policy) {
  for (const auto& [name, p] : policy_names())
    if (p == policy) return name.c_str();
  return "";
}

std::string settings_text(const std::vector<Override>& settings) {
  std::string text;
  for (const auto& o : settings) text += (text.empty() ? "" : " ") + o.path + "=" + o.value;
  return text;
}

// 97.5% quantile of Student's t distribution by degrees of freedom; above 20 an approximation that tends to
// the quantile of the normal distribution.
double student(std::size_t freedom) {
  static const double t[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                             2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086};
  return freedom == 0 ? 0 : freedom <= 20 ? t[freedom - 1] : 1.96 + 2.4 / static_cast<double>(freedom);
}

}  // namespace

const std::vector<std::string>& figure_names() {
  static const std::vector<std::string> names = {
      "served", "in_aim",     "p50_ms", "p99_ms",  "attempts",    "falls", "held_most",   "refused_calls",
      "broken", "unanswered", "asked",  "effects", "connections", "calls", "times_faster"};
  return names;
}

RunResult run_result_of(const SimulationResult& f) {
  RunResult c;
  std::vector<Time> all;
  for (std::size_t i = 0; i < f.tallies.size(); i++) {
    auto t = f.tallies[i];
    all.insert(all.end(), t.latencies.begin(), t.latencies.end());
    const double asked = static_cast<double>(std::max<std::uint64_t>(1, t.created));
    c.classes.push_back({f.class_names[i], static_cast<double>(t.created),
                         static_cast<double>(t.served) / asked, static_cast<double>(t.within_aim) / asked,
                         static_cast<double>(rig::percentile(t.latencies, 0.5)) * 1e-3,
                         static_cast<double>(rig::percentile(t.latencies, 0.99)) * 1e-3});
  }
  std::size_t broken = 0;
  for (const auto& r : f.check.rules) {
    broken += r.violations.size();
    for (std::size_t i = 0; i < std::min<std::size_t>(5, r.violations.size()); i++)
      c.broken_rules.push_back(std::string(r.name) + ": " + r.violations[i]);
  }
  if (f.duplicate_answers > 0)
    broken += f.duplicate_answers,
        c.broken_rules.push_back(fmt::format("{} answers doubled", f.duplicate_answers));
  if (f.unanswered > 0) c.broken_rules.push_back(fmt::format("{} messages without an answer", f.unanswered));
  c.figures = {{"served", f.served_share()},
               {"in_aim", f.in_aim_share()},
               {"p50_ms", static_cast<double>(rig::percentile(all, 0.5)) * 1e-3},
               {"p99_ms", static_cast<double>(rig::percentile(all, 0.99)) * 1e-3},
               {"attempts", f.attempts_per_message()},
               {"falls", static_cast<double>(f.overloads)},
               {"held_most", static_cast<double>(f.held_most)},
               {"refused_calls", static_cast<double>(f.refused_calls)},
               {"broken", static_cast<double>(broken)},
               {"unanswered", static_cast<double>(f.unanswered)},
               {"asked", static_cast<double>(f.asked())},
               {"effects", static_cast<double>(f.effects)},
               {"connections", static_cast<double>(f.connections)},
               {"calls", static_cast<double>(f.calls)},
               {"times_faster", f.real_s > 0 ? f.virtual_s / f.real_s : 0}};
  c.seconds = f.seconds;
  return c;
}

Experiment run_plan(const ExperimentPlan& plan,
                    const std::function<void(std::size_t, std::size_t)>& progress) {
  Experiment e;
  e.day = plan.day, e.where = plan.run_on_sockets ? "sockets" : "virtual";
  std::vector<std::vector<Override>> settings = {{}};
  for (const auto& [path, values] : plan.sweep) {
    std::vector<std::vector<Override>> next;
    for (const auto& before : settings)
      for (const auto& value : values) {
        next.push_back(before);
        next.back().push_back({path, value});
      }
    settings = std::move(next);
  }
  for (const auto& s : settings)
    for (const auto policy : plan.policies)
      for (const auto seed : plan.seeds) {
        RunResult c;
        c.settings = s, c.policy = name_of(policy), c.seed = seed;
        e.runs.push_back(std::move(c));
      }
  std::atomic<std::size_t> next{0};
  std::size_t done = 0;
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < e.runs.size();) {
      RunResult& cell = e.runs[i];
      try {
        const auto scenario = draw_scenario(plan.day, cell.seed, cell.settings);
        SimulationOptions options;
        options.policy = policy_names().at(cell.policy), options.check_rules = plan.check_rules;
        std::unique_ptr<trace::TraceFile> trace_file;
        if (!plan.trace_folder.empty()) {
          std::filesystem::create_directories(plan.trace_folder);
          const std::string file = plan.trace_folder + "/" + std::to_string(i + 1) + "-" + cell.policy + "-" +
                                   std::to_string(cell.seed) + ".jsonl";
          std::filesystem::remove(file);
          trace_file = std::make_unique<trace::TraceFile>(
              trace::TraceFile::Options{.path = file, .block_when_full = true});
          options.trace_sink = [&trace_file](trace::MessageTrace&& s) { trace_file->write(s); };
        }
        RunResult ran = plan.run_on_sockets ? plan.run_on_sockets(scenario)
                                            : run_result_of(run_simulation(scenario, options));
        ran.settings = cell.settings, ran.policy = cell.policy, ran.seed = cell.seed;
        cell = std::move(ran);
      } catch (const std::exception& error) {
        cell.error = error.what();
      }
      const std::lock_guard lock(mutex);
      progress(++done, e.runs.size());
    }
  };
  std::vector<std::thread> threads;
  for (int i = 1; i < plan.jobs; i++) threads.emplace_back(work);
  work();
  for (auto& t : threads) t.join();
  return e;
}

Mean mean_of(const std::vector<double>& values) {
  Mean m;
  m.n = values.size();
  if (m.n == 0) return m;
  for (const double v : values) m.mean += v / static_cast<double>(m.n);
  if (m.n < 2) return m;
  double square = 0;
  for (const double v : values) square += (v - m.mean) * (v - m.mean);
  const double deviation = std::sqrt(square / static_cast<double>(m.n - 1));
  m.half_width = student(m.n - 1) * deviation / std::sqrt(static_cast<double>(m.n));
  return m;
}

namespace {

// The runs by settings and policy, in the order in which they were planned.
std::vector<std::pair<std::pair<std::string, std::string>, std::vector<const RunResult*>>> groups_of(
    const Experiment& e) {
  std::vector<std::pair<std::pair<std::string, std::string>, std::vector<const RunResult*>>> groups;
  for (const auto& c : e.runs) {
    const auto key = std::pair(settings_text(c.settings), c.policy);
    auto it = std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.first == key; });
    if (it == groups.end()) it = groups.insert(groups.end(), {key, {}});
    it->second.push_back(&c);
  }
  return groups;
}

Mean mean_over(const std::vector<const RunResult*>& cells, const char* name) {
  std::vector<double> values;
  for (const auto* c : cells)
    if (c->figures.count(name) > 0) values.push_back(c->figures.at(name));
  return mean_of(values);
}

}  // namespace

std::string table_of(const Experiment& e) {
  std::size_t wide = 8;
  for (const auto& c : e.runs) wide = std::max(wide, settings_text(c.settings).size());
  std::string out =
      fmt::format("{:<{}} {:<13} {:>4} {:>14} {:>14} {:>9} {:>9} {:>8} {:>8} {:>6} {:>7} {:>6} {:>8}\n",
                  "setting", wide, "policy", "runs", "served %", "in aim %", "p50 ms", "p99 ms", "attempts",
                  "held", "falls", "broken", "errors", "x clock");
  for (const auto& [key, cells] : groups_of(e)) {
    const auto m = [&, all = cells](const char* name) { return mean_over(all, name); };
    const auto share = [&](const char* name) {
      const Mean v = m(name);
      return fmt::format("{:.2f} +-{:.2f}", 100 * v.mean, 100 * v.half_width);
    };
    const auto sum = [&](const char* name) { return m(name).mean * static_cast<double>(m(name).n); };
    const auto errors =
        std::count_if(cells.begin(), cells.end(), [](const RunResult* c) { return !c->error.empty(); });
    out += fmt::format(
        "{:<{}} {:<13} {:>4} {:>14} {:>14} {:>9.1f} {:>9.1f} {:>8.2f} {:>8} {:>6.0f} {:>7.0f} {:>6} "
        "{:>8.0f}\n",
        key.first, wide, key.second, cells.size(), share("served"), share("in_aim"), m("p50_ms").mean,
        m("p99_ms").mean, m("attempts").mean,
        m("held_most").n == 0 ? "-" : fmt::format("{:.0f}", m("held_most").mean), sum("falls"), sum("broken"),
        errors, m("times_faster").mean);
  }
  return out;
}

std::string broken_rules_of(const Experiment& e, std::size_t most) {
  std::string out;
  std::size_t shown = 0;
  for (const auto& c : e.runs) {
    for (const auto& line : c.broken_rules)
      if (shown++ < most) out += fmt::format("{} seed {}: {}\n", c.policy, c.seed, line);
    if (!c.error.empty() && shown++ < most) out += fmt::format("{} seed {}: {}\n", c.policy, c.seed, c.error);
  }
  if (shown > most) out += fmt::format("... and {} more\n", shown - most);
  return out;
}

std::string compare(const Experiment& before, const Experiment& after) {
  std::map<std::tuple<std::string, std::string, std::uint64_t>, const RunResult*> old;
  for (const auto& c : before.runs) old[{settings_text(c.settings), c.policy, c.seed}] = &c;
  std::string out = fmt::format("{:<13} {:<14} {:>5} {:>12} {:>12} {:>24}  {}\n", "policy", "figure", "pairs",
                                "before", "after", "difference (95%)", "");
  for (const auto& [key, cells] : groups_of(after)) {
    for (const auto& name : figure_names()) {
      std::vector<double> a, b, difference;
      for (const auto* c : cells) {
        const auto it = old.find({key.first, key.second, c->seed});
        if (it == old.end() || c->figures.count(name) == 0 || it->second->figures.count(name) == 0) continue;
        a.push_back(it->second->figures.at(name)), b.push_back(c->figures.at(name));
        difference.push_back(b.back() - a.back());
      }
      if (a.empty()) continue;
      const Mean d = mean_of(difference);
      // A single pair has no confidence interval, so its difference is never marked as significant.
      const bool beyond = d.n > 1 && std::abs(d.mean) > d.half_width && d.mean != 0;
      out += fmt::format("{:<13} {:<14} {:>5} {:>12.4f} {:>12.4f} {:>+12.4f} +-{:<9.4f}  {}\n", key.second,
                         name, d.n, mean_of(a).mean, mean_of(b).mean, d.mean, d.half_width,
                         beyond ? "<- beyond noise" : "");
    }
    if (!key.first.empty()) out += "  (" + key.first + ")\n";
  }
  return out;
}

}  // namespace cedarplank::lab
