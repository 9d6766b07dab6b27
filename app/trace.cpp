// `cedarplank trace`: searches and prints the message traces that relays wrote.
#include <cstdio>
#include <deque>

#include "app/commands.hpp"
#include "trace/json.hpp"
#include "trace/report.hpp"

namespace cedarplank::app {
namespace {

// The filters and options of the command line.
struct Query {
  std::string message, destination, message_class, verdict;
  std::vector<std::string> files;
  std::size_t most = 20;
  std::int64_t slower_ms = 0;
  bool account = false, json = false;
};

bool selects(const Query& w, const trace::MessageTrace& s) {
  return (w.message.empty() || trace::matches_name(s, w.message)) &&
         (w.destination.empty() || s.destination == w.destination) &&
         (w.message_class.empty() || s.message_class == w.message_class) &&
         (w.verdict.empty() || w.verdict == trace::name_of(s.verdict)) &&
         s.ended_at - s.accepted_at >= w.slower_ms * 1000;
}

int run_trace(const Query& w) {
  // Only the last ones, so that memory stays bounded however long the files are.
  std::deque<trace::MessageTrace> found;
  std::size_t matches = 0;
  trace::TraceSummary account;
  const auto read = trace::read_traces(w.files, [&](trace::MessageTrace&& s) {
    if (!selects(w, s)) return;
    matches++;
    if (w.account) return account.add(s);
    found.push_back(std::move(s));
    if (found.size() > w.most) found.pop_front();
  });
  if (read.incomplete_lines > 0)
    std::fprintf(stderr, "trace: skipped %zu unfinished last lines\n", read.incomplete_lines);
  if (matches == 0) {
    std::fprintf(
        stderr,
        "trace: none of the %zu stories matches; of messages without trouble only a sample is kept, and a "
        "story is written once its message has ended\n",
        read.traces);
    return ExitCode::failed;
  }
  if (w.account) {
    std::fputs(account.format_table().c_str(), stdout);
    return ExitCode::ok;
  }
  std::vector<trace::MessageTrace> traces(found.begin(), found.end());
  trace::sort_by_wall_time(traces);
  for (const auto& s : traces) std::puts((w.json ? trace::to_json(s) : trace::format_trace(s)).c_str());
  if (matches > traces.size())
    std::fprintf(stderr, "trace: showing the last %zu of %zu matching stories; --most shows more\n",
                 traces.size(), matches);
  return ExitCode::ok;
}

}  // namespace

void add_trace(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand("trace", "tell the stories of messages that relays kept");
  auto w = std::make_shared<Query>();
  command->add_option("message", w->message,
                      "the relay's name of a message, or the client's Idempotency-Key; all if missing");
  command->add_option("--file", w->files, "files of stories, of one or more relays, rotated ones included")
      ->required();
  command->add_option("--to", w->destination, "only messages for this destination");
  command->add_option("--class", w->message_class, "only messages of this class");
  command->add_option("--verdict", w->verdict, "only messages that ended so")
      ->check(CLI::IsMember({"failed", "refused", "turned away", "withdrawn", "late", "retried", "served"}));
  command->add_option("--slower-than-ms", w->slower_ms, "only messages that took at least so long");
  command->add_option("--most", w->most, "stories shown at most")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  command->add_flag("--account", w->account, "where the time went, by class and verdict, instead of stories");
  command->add_flag("--json", w->json, "the stories as they are kept, a line each");
  command->callback([w, &run] { run = [w] { return run_trace(*w); }; });
}

}  // namespace cedarplank::app
