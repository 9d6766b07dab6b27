// The relay's write-ahead journal in the platform's persistent folder. It is a store::Log, written within the
// event loop's turn and never synced: the folder outlives the process and is lost only with the machine. All
// files together stay within the disk space that the platform grants.
//
// These rules hold whichever call fails and wherever the process ends:
//
// 1. A message that can't be recorded now is not accepted: messages are refused while the folder can't be
//    written.
// 2. A record is durable before anyone is informed of what it says. What waits for a record goes on waiting
//    while the folder can't be written; nothing is reported or sent instead. The one exception is an answer
//    whose message has reached its deadline: the coordinator reports it without its record.
// 3. A record that could not be written is kept in order and written again until that succeeds.
// 4. Nothing in the folder is deleted before what replaces it is durable.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "journal/coordinator.hpp"
#include "journal/record_reader.hpp"
#include "journal/recovery.hpp"
#include "loop/loop.hpp"
#include "store/log.hpp"

namespace cedarplank::platform {

class Journal {
 public:
  struct Settings {
    std::string folder;
    std::uint64_t disk = 0;  // bytes, for all files together
    journal::JournalCoordinatorSettings coordinator;
    // Opens the folder; throws std::system_error. Tests pass one whose calls fail.
    std::function<std::unique_ptr<store::Files>(const std::string&)> open = [](const std::string& path) {
      return store::open_folder(path, store::FolderMode::must_exist);
    };
  };
  struct Ports {  // what the journal's coordinator connects
    relay::Transport& transport;
    relay::AnswerSink& answers;
    // A call was never sent. Not called from within the core's own round.
    std::function<void(relay::CallId, relay::CallResult)> unsent;
    // Something that waited for a record was released, outside a commit() that the host called.
    std::function<void()> waiters_released;
  };
  struct Counts {
    std::uint64_t stalls = 0;  // how often the folder became unwritable
    Time stalled = 0;          // total time of the stalls that have ended, us
  };
  using Log = std::function<void(const std::string&)>;
  // Recovers what an earlier run left. Of a damaged log, all readable records are written again after the
  // existing ones. A system error while reading is retried for some seconds and changes no file. Throws
  // std::runtime_error that names the folder and the cause.
  Journal(loop::Loop& loop, Settings settings, Ports ends, Log log);
  ~Journal();

  journal::JournalCoordinator& coordinator() { return *coordinator_; }
  const journal::StateImage& image() const { return coordinator_->image(); }
  // Makes all records appended so far durable against the end of the process and releases what waited for
  // them. If the folder can't be written now, it is retried periodically.
  void commit();
  // Whether the folder can't be written now, so that the latest records are not durable.
  bool stalled() const { return stalled_since_ != 0; }
  // Whether the log accepts no more records. What is held goes on, except what must not run twice.
  bool ended() const { return coordinator_->failed(); }
  // Why a message can't be accepted now; null: it can. A third of the space is reserved for the records that
  // finish messages already accepted.
  const char* rejection_reason(const relay::NewMessage& message) const;
  std::uint64_t bytes() const { return coordinator_->bytes_written(); }
  const Counts& counts() const { return counts_; }

  // Divides the disk space into segments: their size in bytes and their number.
  static store::LogSettings log_settings(std::uint64_t disk);

 private:
  void open_folder();
  // Reads the log, retrying system errors.
  void open_log(journal::StateImage& image);
  void read_log(journal::StateImage& image);
  // Rewrites the readable records of a damaged log; `problem` is logged.
  void salvage(journal::StateImage& image, const std::string& problem);
  void log_unreadable(const journal::RecordReader& reader);
  // Appends a record and returns its sequence number; 0 if the log accepts no more.
  journal::Sequence append(std::string bytes);
  // Writes the overflow to the log, as far as it has space, and commits it.
  std::error_code commit_log();
  // Notes that the folder can't be written and schedules a retry.
  void begin_stall(const std::string& why);
  void retry();
  // Frees the records up to and including `upto`; tidy() tries again after an error.
  void release(journal::Sequence upto);
  // Periodic upkeep: lets the coordinator rewrite what needs old records, so that old segments are freed.
  void tidy();
  // Rewrites as much as fits into one segment, and commits it, which frees the old ones. Returns whether more
  // is to be done at once.
  bool compact();
  journal::JournalCoordinator::SpacePressure space_pressure() const;

  loop::Loop& loop_;
  const Settings settings_;
  const store::LogSettings log_settings_;
  Log log_line_;
  std::unique_ptr<store::Files> files_;
  std::unique_ptr<store::Log> log_;
  std::deque<std::string> overflow_;  // records that the log has no space for yet
  // Sequence numbers and sizes in bytes of the records read, until the coordinator exists.
  std::vector<std::pair<journal::Sequence, std::size_t>> records_read_;
  std::unique_ptr<journal::JournalCoordinator> coordinator_;
  std::function<void()> waiters_released_;
  journal::Sequence pending_release_ = 0;  // up to where a failed release is to be repeated; 0: none
  bool uncommitted_ = false;               // records were appended since the last commit
  Time stalled_since_ = 0;                 // 0: not stalled
  Counts counts_;
  loop::TimerId timer_ = 0, retry_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // guards deferred callbacks
};

}  // namespace cedarplank::platform
