// Crash test of a relay with a journal: the relay is killed (SIGKILL) at random moments and started again
// while a client keeps sending messages over loopback and the partners' endpoints have faults. The client
// sends messages that it has no answer to again, under the same key. Checked from outside: by what the client
// and the partners saw.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cedarplank::rig {

struct KillOptions {
  std::vector<std::string> relay_command;  // program and arguments before "--config FILE"
  std::uint64_t seed = 1;
  int kills = 100;
  int outstanding = 60;           // most messages without their answer
  std::string sync = "each";      // the journal's sync mode
  std::int64_t disk = 4'194'304;  // the journal's disk limit in bytes; small, so that its space is reused
  std::string folder;             // empty: a temporary one
  bool quiet = true;              // no progress lines
};

struct KillResult {
  int kills = 0;
  std::uint64_t messages = 0, served = 0, refused = 0, failed = 0, asked_again = 0, attempts = 0, waits = 0;
  std::uint64_t carried_over = 0;   // held messages that starts recovered from the journal, summed
  std::vector<std::string> broken;  // violations of rules, at most 20
  std::uint64_t unanswered = 0;
  bool good() const { return broken.empty() && unanswered == 0; }
  std::string table() const;
};

// Throws std::system_error or std::runtime_error if the test can't be run.
KillResult run_kills(const KillOptions& options);

}  // namespace cedarplank::rig
