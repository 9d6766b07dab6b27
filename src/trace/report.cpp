#include "trace/report.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "trace/json.hpp"

namespace cedarplank::trace {
namespace {

std::string format_time(Time t) {
  if (t < 10'000) return fmt::format("{:.3g} ms", static_cast<double>(t) / 1e3);
  if (t < 1'000'000) return fmt::format("{} ms", t / 1000);
  return fmt::format("{:.2f} s", static_cast<double>(t) / 1e6);
}

// One line about a step, whose time is relative to the beginning of its trace.
std::string describe_step(const Step& s) {
  using What = Step::What;
  std::string line;
  const auto add_reason = [&] {
    if (const auto why = s.reason(); !why.empty()) line += ": " + why;
  };
  switch (s.what) {
    case What::taken:
      line = s.connection == 0 ? "taken from the host program"
                               : fmt::format("taken, client connection {} stream {}", s.connection, s.stream);
      break;
    case What::send:
      line = fmt::format("round {}: attempt {} to {}, for {} at most", s.round, s.attempt + 1, s.endpoint,
                         format_time(s.span));
      add_reason();
      break;
    case What::carried:
      line = fmt::format("attempt {} left on connection {} stream {}", s.attempt + 1, s.connection, s.stream);
      break;
    case What::ended:
      line = fmt::format("attempt {} at {} over after {}", s.attempt + 1, s.endpoint, format_time(s.span));
      add_reason();
      if (s.told_wait > 0) line += ", told to wait " + format_time(s.told_wait);
      break;
    case What::refuse:
      line = fmt::format("round {}: handed back", s.round);
      add_reason();
      break;
    case What::fail:
      line = fmt::format("round {}: given up", s.round);
      add_reason();
      break;
    case What::answered:
      line = "answered";
      add_reason();
      if (s.span > 0) line += ", to come back in " + format_time(s.span);
      break;
    case What::withdrawn:
      line = "the client gave it up";
      break;
  }
  return fmt::format("  {:>10}  {}\n", "+" + format_time(s.at), line);
}

}  // namespace

ReadResult read_traces(const std::vector<std::string>& files, const std::function<void(MessageTrace&&)>& f) {
  ReadResult read;
  for (const auto& file : files) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw std::runtime_error(file + ": " + std::strerror(errno));
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); number++) {
      const bool complete = !in.eof();  // else its line end has not been written
      if (line.empty()) continue;
      try {
        MessageTrace s = from_json(line);
        read.traces++;
        f(std::move(s));
      } catch (const std::runtime_error& e) {
        if (!complete) {
          read.incomplete_lines++;
          continue;
        }
        throw std::runtime_error(fmt::format("{}:{}: {}", file, number, e.what()));
      }
    }
  }
  return read;
}

bool matches_name(const MessageTrace& s, const std::string& name) {
  return !name.empty() && (s.message == name || s.key == name);
}

void sort_by_wall_time(std::vector<MessageTrace>& traces) {
  std::stable_sort(traces.begin(), traces.end(),
                   [](const MessageTrace& a, const MessageTrace& b) { return a.wall < b.wall; });
}

std::string format_trace(const MessageTrace& s) {
  const auto when = fmt::gmtime(static_cast<std::time_t>(s.wall / 1'000'000));
  std::string out = fmt::format("{}  {:%Y-%m-%dT%H:%M:%S}.{:06}Z\n", s.message, when, s.wall % 1'000'000);
  out += fmt::format("  to {}, class {}", s.destination, s.message_class);
  if (!s.tenant.empty()) out += ", tenant " + s.tenant;
  if (!s.key.empty()) out += ", client's key " + s.key;
  out += '\n';
  if (s.deadline > 0)
    out += fmt::format("  aim {}, deadline {}\n", format_time(s.aim - s.accepted_at),
                       format_time(s.deadline - s.accepted_at));
  const std::size_t first = s.elided == 0 ? s.steps.size() : (s.steps.size() + 1) / 2;
  for (std::size_t i = 0; i < s.steps.size(); i++) {
    if (i == first) out += fmt::format("              ({} steps are left out)\n", s.elided);
    Step step = s.steps[i];
    step.at -= s.accepted_at;
    out += describe_step(step);
  }
  const TimeBreakdown p = time_breakdown(s);
  out += fmt::format("  {} after {}: {} held, {} waiting for a connection, {} at endpoints{}\n",
                     name_of(s.verdict), format_time(s.ended_at - s.accepted_at), format_time(p.held),
                     format_time(p.connection), format_time(p.endpoint),
                     p.approximate ? " (roughly: steps are left out)" : "");
  return out;
}

void TraceSummary::add(const MessageTrace& s) {
  Row& row = rows_[{s.message_class, s.verdict}];
  const TimeBreakdown p = time_breakdown(s);
  const auto weight = static_cast<double>(s.stands_for);
  row.traces++, row.messages += s.stands_for;
  for (const auto& step : s.steps) row.attempts += step.what == Step::What::send;
  const auto add_value = [&](std::vector<WeightedValue>& to, Time t) {
    to.push_back({static_cast<double>(t), weight});
  };
  add_value(row.total, s.ended_at - s.accepted_at), add_value(row.added, p.held + p.connection),
      add_value(row.held, p.held);
  add_value(row.connection, p.connection), add_value(row.endpoint, p.endpoint);
}

double TraceSummary::quantile(std::vector<WeightedValue> values, double q) {
  std::sort(values.begin(), values.end(),
            [](const WeightedValue& a, const WeightedValue& b) { return a.value < b.value; });
  double total = 0, seen = 0;
  for (const auto& v : values) total += v.weight;
  for (const auto& v : values)
    if ((seen += v.weight) >= q * total) return v.value;
  return 0;
}

std::string TraceSummary::format_table() const {
  std::string out = fmt::format("{:<14} {:<12} {:>9} {:>8} {:>9} {:>19} {:>19} {:>19} {:>19} {:>19}\n",
                                "class", "verdict", "messages", "stories", "attempts", "time p50/p99",
                                "added p50/p99", "held p50/p99", "connection p50/p99", "endpoint p50/p99");
  for (const auto& [key, row] : rows_) {
    const auto median_and_p99 = [&](const std::vector<WeightedValue>& v) {
      return format_time(static_cast<Time>(quantile(v, 0.5))) + " / " +
             format_time(static_cast<Time>(quantile(v, 0.99)));
    };
    out += fmt::format("{:<14} {:<12} {:>9} {:>8} {:>9.2f} {:>19} {:>19} {:>19} {:>19} {:>19}\n", key.first,
                       name_of(key.second), row.messages, row.traces,
                       static_cast<double>(row.attempts) / static_cast<double>(row.traces),
                       median_and_p99(row.total), median_and_p99(row.added), median_and_p99(row.held),
                       median_and_p99(row.connection), median_and_p99(row.endpoint));
  }
  return out;
}

}  // namespace cedarplank::trace
