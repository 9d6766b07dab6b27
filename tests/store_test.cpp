// The log on a file system that loses data that was not synced: a crash at every call that changes a file,
// and at every call of the recovery after it; errors, short writes and flipped bits.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <random>

#include "faulty_files.hpp"
#include "store/log.hpp"

namespace cedarplank::store {
namespace {

using testing::Crash;
using testing::FaultyFiles;

std::string content(Sequence n) {
  std::string s = "record " + std::to_string(n) + ' ';
  s.append(n * 37 % 90, static_cast<char>('a' + n % 26));
  return s;
}
LogSettings small() {
  LogSettings s;
  s.segment_size = 1024, s.record_size_max = 400, s.spares_max = 2;
  return s;
}

// What open() reads.
struct Recovered {
  Log::OpenResult opened;
  std::vector<std::pair<Sequence, std::string>> records;
};
Recovered read(Log& log) {
  Recovered r;
  r.opened = log.open([&](Sequence n, std::string_view bytes) { r.records.emplace_back(n, bytes); });
  return r;
}
// The records read must be an unbroken sequence of those written, up to `durable` at least.
void check(const Recovered& r, Sequence released, Sequence durable, Sequence appended) {
  ASSERT_FALSE(r.opened.problem) << r.opened.problem->text;
  EXPECT_LE(r.opened.first, released + 1);
  EXPECT_GT(r.opened.next, durable);
  EXPECT_LE(r.opened.next, appended + 1);
  Sequence n = r.opened.first;
  for (const auto& [sequence, bytes] : r.records) {
    ASSERT_EQ(sequence, n++);
    ASSERT_EQ(bytes, content(sequence));
  }
  EXPECT_EQ(n, r.opened.next);
}

// Writes to a log and tracks what must be found in it.
struct Work {
  Sequence durable = 0, released = 0, appended = 0;
  // Commits three to five records at a time over several segments, and releases old ones in between.
  void go(Log& log, int commits) {
    for (int i = 0; i < commits; i++) {
      for (int k = 0; k < 3 + i % 3; k++) {
        const auto n = log.next();
        if (log.append(content(n)) != Log::AppendResult::appended) return;
        appended = std::max(appended, n);
      }
      if (log.commit()) return;
      durable = log.durable();
      if (i % 4 == 3) {
        released = std::max(released, durable / 2);
        if (log.release(durable / 2)) return;
      }
    }
  }
};

TEST(Log, ACrashAtEveryCallLosesNothingThatWasDurable) {
  std::size_t crashes = 0, torn = 0;
  for (std::uint64_t seed = 1; seed <= 6; seed++) {
    for (std::size_t at = 1;; at++) {
      FaultyFiles files(seed * 1000 + at);
      files.short_writes = seed % 2 ? 0 : 29;
      Work run;
      bool crashed = false;
      files.before_call = [&](const char*) {
        if (files.calls == at) throw Crash();
        return std::error_code();
      };
      try {
        Log log(files, small(), 42);
        read(log);
        run.go(log, 16);
      } catch (const Crash&) {
        crashed = true;
      }
      if (!crashed) break;
      crashes++;
      files.crash();
      // A second crash at every call of the recovery: the third opening must find the same.
      for (std::size_t again = 1;; again++) {
        FaultyFiles copy = files;
        copy.calls = 0;
        copy.before_call = [&](const char*) {
          if (copy.calls == again) throw Crash();
          return std::error_code();
        };
        bool twice = false;
        try {
          Log log(copy, small(), 7);
          const auto r = read(log);
          check(r, run.released, run.durable, run.appended);
          torn += r.opened.torn_bytes > 0;
        } catch (const Crash&) {
          twice = true;
        }
        if (twice) copy.crash();
        copy.before_call = nullptr;
        Log log(copy, small(), 7);
        const auto r = read(log);
        check(r, run.released, run.durable, run.appended);
        if (::testing::Test::HasFatalFailure())
          FAIL() << "seed " << seed << ", call " << at << ", again " << again;
        // The log can be written to from there.
        Work more = run;
        more.appended = r.opened.next - 1;
        more.go(log, 3);
        EXPECT_GT(more.durable, run.durable);
        if (!twice) break;
      }
    }
  }
  EXPECT_GT(crashes, 300u);
  EXPECT_GT(torn, 20u);
}

TEST(Log, FlippedBitsAreToldWhereTheyHadBeenDurableAndNeverReadAsRecords) {
  FaultyFiles files(1);
  {
    Log log(files, small(), 42);
    read(log);
    Work run;
    run.go(log, 10);
  }
  files.make_durable();
  const auto count = [&](FaultyFiles& f) {
    Log log(f, small(), 7);
    return read(log);
  };
  FaultyFiles whole = files;
  const auto sound = count(whole);
  std::size_t told = 0, cut = 0;
  for (const auto& [name, id] : files.names()) {
    if (name.rfind("log-", 0) != 0) continue;
    FaultyFiles copy = files;
    const std::size_t size = copy.bytes_of(name).size();
    for (std::size_t at = 0; at < size; at += 3) {
      FaultyFiles one = files;
      one.bytes_of(name)[at] = static_cast<char>(one.bytes_of(name)[at] ^ (1 << at % 8));
      one.make_durable();
      const auto r = count(one);
      for (std::size_t i = 0; i < r.records.size(); i++)
        ASSERT_EQ(r.records[i], sound.records[i]) << name << ' ' << at;
      if (r.opened.problem) {
        EXPECT_NE(r.opened.problem->text.find(name), std::string::npos);
        told++;
      } else if (r.records.size() < sound.records.size()) {
        // No later record says that this one had been durable, so only the last commit may count as torn.
        EXPECT_GE(r.records.size() + 5, sound.records.size()) << name << ' ' << at;
        cut++;
      }
    }
  }
  EXPECT_GT(told, 200u);
  EXPECT_GT(cut, 0u);
}

TEST(Log, NoRoomPassesAndAFailedSyncIsNeverTrustedAgain) {
  FaultyFiles files(3);
  Log log(files, small(), 42);
  read(log);
  Work run;
  int left = 5;
  files.before_call = [&](const char* call) {
    if (std::string_view(call).substr(0, 4) == "sync") return std::error_code();
    return --left < 0 && left > -8 ? std::make_error_code(std::errc::no_space_on_device) : std::error_code();
  };
  // Commits are repeated until there is space again: no record is lost or written twice.
  for (int i = 0; i < 20; i++) {
    const auto n = log.next();
    ASSERT_EQ(log.append(content(n)), Log::AppendResult::appended);
    run.appended = n;
    if (!log.commit()) run.durable = log.durable();
    EXPECT_FALSE(log.failed());
  }
  EXPECT_EQ(run.durable, 20u);
  files.before_call = [](const char* call) {
    return std::string_view(call) == "sync" ? std::make_error_code(std::errc::io_error) : std::error_code();
  };
  ASSERT_EQ(log.append(content(21)), Log::AppendResult::appended);
  EXPECT_TRUE(log.commit());
  files.before_call = nullptr;
  EXPECT_TRUE(log.failed());
  EXPECT_EQ(log.append(content(22)), Log::AppendResult::failed);
  EXPECT_TRUE(log.commit()) << "a failed log must stay failed although the device works again";
  files.crash();
  Log next(files, small(), 7);
  check(read(next), 0, 20, 21);
}

TEST(Log, IsBoundedAndReusesItsSegments) {
  FaultyFiles files(4);
  auto s = small();
  s.segments_max = 3;
  Log log(files, s, 42);
  read(log);
  Log::AppendResult answer;
  while ((answer = log.append(content(log.next()))) == Log::AppendResult::appended)
    ASSERT_FALSE(log.commit());
  EXPECT_EQ(answer, Log::AppendResult::no_space);
  EXPECT_EQ(log.segments(), 3u);
  ASSERT_FALSE(log.release(log.durable()));
  for (int i = 0; i < 500; i++) {
    ASSERT_EQ(log.append(content(log.next())), Log::AppendResult::appended) << i;
    ASSERT_FALSE(log.commit());
    ASSERT_FALSE(log.release(log.durable()));
  }
  EXPECT_LE(files.names().size(), 5u);
  EXPECT_EQ(log.append(""), Log::AppendResult::too_large);
  EXPECT_EQ(log.append(std::string(401, 'x')), Log::AppendResult::too_large);
}

// Guards against records that are accepted, and that a commit then has no segment for: large ones leave the
// ends of segments unused.
TEST(Log, WhatIsAppendedInOneCommitHasItsSegments) {
  FaultyFiles files(4);
  auto settings = small();
  settings.segments_max = 5;
  Log log(files, settings, 42);
  read(log);
  std::mt19937 random(1);
  for (int round = 0; round < 300; round++) {
    for (std::size_t n = 1 + random() % 30; n > 0; n--) {
      const std::string record(1 + random() % settings.record_size_max, 'r');
      const bool room = log.has_room(record.size());
      EXPECT_EQ(log.append(record), room ? Log::AppendResult::appended : Log::AppendResult::no_space);
    }
    const auto planned = log.planned_segments();
    ASSERT_FALSE(log.commit()) << round;
    EXPECT_EQ(log.segments(), planned);
    EXPECT_LE(log.segments(), settings.segments_max);
    if (random() % 3 == 0) {
      ASSERT_FALSE(log.release(log.durable() - random() % log.durable()));
    }
  }
}

TEST(Log, OfALaterVersionOrOfSomethingElseIsLeftAlone) {
  FaultyFiles files(5);
  Log(files, small(), 42).open([](Sequence, std::string_view) {});
  files.make_durable();
  const std::string name = "log-0000000000000001";
  FaultyFiles later = files, other = files;
  later.bytes_of(name)[16] = 9;
  Log a(later, small(), 1);
  EXPECT_EQ(read(a).opened.problem->kind, LogProblem::Kind::newer_version);
  other.bytes_of(name) = "notes of the cellar";
  Log b(other, small(), 1);
  EXPECT_EQ(read(b).opened.problem->kind, LogProblem::Kind::not_a_log);
  EXPECT_EQ(b.append("x"), Log::AppendResult::failed);
}

TEST(Folder, IsLockedAndKeepsALogOnTheDisk) {
  std::string path = (std::filesystem::temp_directory_path() / "cedarplank-store-XXXXXX").string();
  mkdtemp(path.data());
  {
    const auto files = open_folder(path);
    EXPECT_THROW(open_folder(path), std::system_error);
    Log log(*files, small(), 42);
    read(log);
    Work run;
    run.go(log, 10);
    EXPECT_GT(run.durable, 30u);
  }
  const auto files = open_folder(path);
  Log log(*files, small(), 42);
  const auto r = read(log);
  EXPECT_FALSE(r.opened.problem);
  EXPECT_GT(r.opened.next, 30u);
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace cedarplank::store
