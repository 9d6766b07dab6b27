// `cedarplank journal`: inspects, verifies, exports and repairs the journal of a relay that is not running.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>

#include "app/commands.hpp"
#include "journal/recovery.hpp"
#include "store/inspect.hpp"

namespace cedarplank::app {
namespace {

// Opens an existing journal; where that fails, reports why on standard error and returns null.
std::unique_ptr<store::Files> open_or_report(const std::string& folder) {
  try {
    return store::open_folder(folder, store::FolderMode::must_exist);
  } catch (const std::system_error& e) {
    if (e.code() == std::errc::resource_unavailable_try_again)
      std::fprintf(stderr, "journal: %s: in use by another process; stop the relay first\n", folder.c_str());
    else
      std::fprintf(stderr, "journal: %s\n", e.what());
    return nullptr;
  }
}

// What a pass over the whole journal found.
struct Contents {
  store::Inspection log;
  journal::StateImage image;
  std::map<std::string, std::uint64_t> kinds;
  std::string bad;  // the first record that could not be decoded; empty: none
};

// Reads every record. `lines`: prints each as a line of JSON; `only`: only those of `message`.
Contents read_all(store::Files& files, bool lines, bool only, MessageId message) {
  Contents r;
  r.log = store::inspect(files, [&](store::Sequence s, std::string_view bytes) {
    journal::Record record;
    const auto result = journal::decode(bytes, record);
    if (!result.ok()) {
      if (r.bad.empty()) r.bad = "record " + std::to_string(s) + " " + result.problem;
      return;
    }
    r.image.apply(s, record);
    r.kinds[journal::kind_of(record)]++;
    if (lines && (!only || journal::message_id_of(record) == message))
      std::printf("{\"sequence\":%llu,%s\n", static_cast<unsigned long long>(s),
                  journal::to_json(record).c_str() + 1);
  });
  return r;
}

void print_summary(const Contents& r) {
  const auto& log = r.log;
  std::printf("format %u, log %016llx, %zu segments, %zu spare, %llu bytes\n", log.version,
              static_cast<unsigned long long>(log.id), log.segments, log.spares,
              static_cast<unsigned long long>(log.bytes));
  std::printf("records %llu to %llu\n", static_cast<unsigned long long>(log.first),
              static_cast<unsigned long long>(log.next - 1));
  for (const auto& [kind, n] : r.kinds)
    std::printf("  %-12s %llu\n", kind.c_str(), static_cast<unsigned long long>(n));
  std::size_t may_have_run = 0;
  for (const auto& [id, held] : r.image.held())
    may_have_run += journal::prior_attempts_of(held.state).ran_zone >= 0;
  std::printf(
      "run %llu; %zu messages held, %zu of them with an attempt that may have run; %zu answers kept\n",
      static_cast<unsigned long long>(r.image.base().run), r.image.held().size(), may_have_run,
      r.image.answers().size());
  std::printf("%zu told waits, %zu endpoints out or returning\n", r.image.waits().size(),
              r.image.health().size());
}

// Prints whether the journal is intact; returns the exit code.
int print_verdict(const Contents& r) {
  if (r.log.problem) {
    std::printf("%s: %s\n",
                r.log.problem->kind == store::LogProblem::Kind::corrupt ? "corrupt" : "unreadable",
                r.log.problem->text.c_str());
    return ExitCode::failed;
  }
  if (!r.bad.empty()) {
    std::printf("not understood: %s\n", r.bad.c_str());
    return ExitCode::failed;
  }
  if (r.log.torn_bytes > 0)
    std::printf("a torn tail of %llu bytes, written when the last run ended: the next start cuts it\n",
                static_cast<unsigned long long>(r.log.torn_bytes));
  std::printf("whole\n");
  return ExitCode::ok;
}

// A lost record may have been that of an attempt or of an answer. So the repaired journal marks every message
// still held as one that may have run, longer ago than any idempotency key is remembered: only safe messages
// are sent again, and no effect is applied twice.
std::vector<journal::Record> records_of_possible_runs(const journal::StateImage& image) {
  constexpr Time kBeyondKeyWindows = 24LL * 3'600 * 1'000'000;  // microseconds
  std::vector<journal::Record> records;
  for (const auto& [id, held] : image.held()) {
    auto taken = held.state;
    taken.attempts = std::max(taken.attempts, 1);
    taken.ran = true, taken.ran_at = std::min(taken.ran_at, image.last_record_time()) - kBeyondKeyWindows;
    records.push_back({image.last_record_time(), std::move(taken)});
  }
  return records;
}

// Writes all readable records to a new journal; `apply` moves it to the damaged one's path, and
// the damaged one is kept beside it.
int repair(const std::string& folder, bool apply) {
  const std::string mended = folder + ".mended", damaged = folder + ".damaged";
  for (const auto& path : {mended, damaged})
    if (std::filesystem::exists(path)) {
      std::fprintf(stderr, "journal: %s already exists, left by an earlier repair\n", path.c_str());
      return ExitCode::bad_input;
    }
  const auto files = open_or_report(folder);
  if (!files) return ExitCode::bad_input;
  if (const auto r = read_all(*files, false, false, 0); !r.log.problem && r.bad.empty()) {
    std::printf("whole; nothing to mend\n");
    return ExitCode::ok;
  }
  auto to = store::open_folder(mended);
  store::LogSettings settings;
  settings.record_size_max = settings.segment_size / 2, settings.segments_max = std::size_t{1} << 20;
  store::Log log(*to, settings, static_cast<std::uint64_t>(std::filesystem::hash_value(mended)));
  std::string problem;
  if (const auto opened = log.open([](store::Sequence, std::string_view) {}); opened.problem)
    problem = opened.problem->text;
  journal::StateImage image;
  const auto append = [&](std::string_view bytes) {
    if (log.append(bytes) != store::Log::AppendResult::appended) problem = "a record could not be rewritten";
    if (log.pending() > settings.segment_size / 2)
      if (const auto e = log.commit()) problem = e.message();
  };
  std::uint64_t not_decoded = 0, n = 0;
  const auto salvaged = store::salvage(*files, [&](store::Sequence, std::string_view bytes) {
    journal::Record record;
    if (!journal::decode(bytes, record).ok()) {
      not_decoded++;
      return;
    }
    image.apply(++n, record);
    append(bytes);
  });
  if (salvaged.problem) problem = salvaged.problem->text;
  const auto possible_runs = records_of_possible_runs(image);
  for (const auto& r : possible_runs) append(journal::encode(r));
  if (problem.empty())
    if (const auto e = log.commit()) problem = e.message();
  if (!problem.empty()) {
    std::fprintf(stderr, "journal: repair failed: %s\n", problem.c_str());
    std::filesystem::remove_all(mended);
    return ExitCode::failed;
  }
  std::printf("%llu records read, %zu gaps, %llu records not understood\n",
              static_cast<unsigned long long>(salvaged.records), salvaged.lost_ranges.size(),
              static_cast<unsigned long long>(not_decoded));
  for (const auto& [from, until] : salvaged.lost_ranges)
    std::printf("  lost: records %llu to %llu\n", static_cast<unsigned long long>(from),
                static_cast<unsigned long long>(until));
  std::printf("%zu messages held, each taken for one that may have run; safe ones may be delivered again\n",
              possible_runs.size());
  if (!apply) {
    std::filesystem::remove_all(mended);
    std::printf("nothing was changed; --apply puts it in place\n");
    return ExitCode::ok;
  }
  std::filesystem::rename(folder, damaged);
  std::filesystem::rename(mended, folder);
  std::printf("mended; the damaged one is %s\n", damaged.c_str());
  return ExitCode::ok;
}

}  // namespace

void add_journal(CLI::App& app, RunCommand& run) {
  auto* command =
      app.add_subcommand("journal", "read, check or mend the journal of a relay that is not running");
  command->require_subcommand(1);
  auto folder = std::make_shared<std::string>();
  const auto add = [&](const char* name, const char* what) {
    auto* sub = command->add_subcommand(name, what);
    sub->add_option("folder", *folder, "the journal's folder")->required();
    return sub;
  };
  add("inspect", "what is in it, in numbers, and what a start would find")->callback([folder, &run] {
    run = [folder] {
      const auto files = open_or_report(*folder);
      if (!files) return static_cast<int>(ExitCode::bad_input);
      const auto r = read_all(*files, false, false, 0);
      print_summary(r);
      return print_verdict(r);
    };
  });
  add("verify", "read every record; exit code 1 where one is damaged")->callback([folder, &run] {
    run = [folder] {
      const auto files = open_or_report(*folder);
      return files ? print_verdict(read_all(*files, false, false, 0)) : static_cast<int>(ExitCode::bad_input);
    };
  });
  auto message = std::make_shared<MessageId>(0);
  auto* exported = add("export", "every record as a line of JSON; bodies as their length");
  auto* only = exported->add_option("--message", *message, "of one message alone: the number in its name");
  exported->callback([folder, message, only, &run] {
    run = [folder, message, only] {
      const auto files = open_or_report(*folder);
      if (!files) return static_cast<int>(ExitCode::bad_input);
      const auto r = read_all(*files, true, only->count() > 0, *message);
      if (!r.log.problem && r.bad.empty()) return static_cast<int>(ExitCode::ok);
      std::fprintf(stderr, "journal: %s\n", r.log.problem ? r.log.problem->text.c_str() : r.bad.c_str());
      return static_cast<int>(ExitCode::failed);
    };
  });
  auto apply = std::make_shared<bool>(false);
  auto* mend = add("repair", "write all that can still be read to a new journal beside it");
  mend->add_flag("--apply", *apply, "and put it in the old one's place, which is kept beside it");
  mend->callback([folder, apply, &run] { run = [folder, apply] { return repair(*folder, *apply); }; });
}

}  // namespace cedarplank::app
