// Crash test of a relay with a journal: the relay is killed (SIGKILL) at random moments and started again
// while a client keeps sending messages over loopback and the partners' endpoints have faults. The client
// sends messages that it has no answer to again, under the same key. Checked from outside: by what the client
// and the partners saw.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cedarplank::rig {

struct KillTestOptions {
  std::vector<std::string> relay_command;  // program and arguments before "--config FILE"
  std::uint64_t seed = 1;
  int kills = 100;
  int max_outstanding = 60;           // most messages without their answer
  std::string journal_sync = "each";  // the journal's sync mode
  // The journal's disk limit in bytes; small, so that its space is reused.
  std::int64_t journal_disk_bytes = 4'194'304;
  std::string folder;  // empty: a temporary one
  bool quiet = true;   // no progress lines
};

struct KillTestResult {
  int kills = 0;
  std::uint64_t messages = 0, served = 0, refused = 0, failed = 0, resent = 0, attempts = 0, told_waits = 0;
  std::uint64_t recovered = 0;          // held messages that starts recovered from the journal, summed
  std::vector<std::string> violations;  // at most 20
  std::uint64_t unanswered = 0;
  bool passed() const { return violations.empty() && unanswered == 0; }
  std::string table() const;
};

// Throws std::system_error or std::runtime_error if the test can't be run.
KillTestResult run_kill_test(const KillTestOptions& options);

}  // namespace cedarplank::rig
