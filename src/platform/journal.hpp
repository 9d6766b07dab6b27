// The relay's journal in the folder that lasts: the store's log, written in the loop's own turn and never
// synced, since the folder outlives processes and goes only with the machine. All of it stays within the
// disk that the platform gives.
//
// The order in which memory, disk and others hear of things, whatever call fails and wherever the process
// ends:
//
// 1. What can't be recorded now is not taken on: room() says no while the folder can't be written.
// 2. A record is durable before anyone is told what it says. What waits for it goes on waiting while the
// folder
//    can't be written; nothing is told or sent in its stead. The one exception is an answer whose message's
//    time is up: see Keeper::tell_overdue().
// 3. A record that could not be written is kept, in its place, and written again until it can be.
// 4. Nothing in the folder is given up before what replaces it is durable.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "journal/keeper.hpp"
#include "journal/recovery.hpp"
#include "loop/loop.hpp"
#include "store/log.hpp"

namespace cedarplank::platform {

class Journal {
 public:
  struct Settings {
    std::string folder;
    std::uint64_t disk = 0;  // bytes, all files together
    journal::KeeperSettings keeper;
    // Opens the folder; throws std::system_error. Tests put one here whose calls fail.
    std::function<std::unique_ptr<store::Files>(const std::string&)> open = [](const std::string& path) {
      return store::open_folder(path, store::Folder::existing);
    };
  };
  struct Ends {  // what the keeper stands between
    relay::Transport& transport;
    relay::Answers& answers;
    std::function<void(relay::CallId, relay::Ending)> unsent;  // not from within the core's own round
    std::function<void()> moved_on;  // what waited for a record went on, outside of a commit() of the host's
  };
  struct Counts {
    std::uint64_t stalls = 0;  // times that the folder could not be written
    Time stalled = 0;          // and for how long in all, us, those over
  };
  using Log = std::function<void(const std::string&)>;
  // Takes over what an earlier run left. A damaged log is read as far as it can be and written anew behind
  // what is there. An error of the system while reading is waited out for some seconds, and changes nothing.
  // Throws std::runtime_error naming folder and cause.
  Journal(loop::Loop& loop, Settings settings, Ends ends, Log log);
  ~Journal();

  journal::Keeper& keeper() { return *keeper_; }
  const journal::Image& image() const { return keeper_->image(); }
  // All that was written since survives the process after this, and what waited for it goes on; unless the
  // folder can't be written now, which is tried again by and by.
  void commit();
  // The folder can't be written now; what was written last is not durable.
  bool stalled() const { return stalled_since_ != 0; }
  // Why a message with so large a body may not be taken on now; null: it may. A third of the room is for what
  // finishes what was.
  const char* no_room(std::size_t body) const;
  std::uint64_t bytes() const { return keeper_->written(); }
  const Counts& counts() const { return counts_; }

  // How a bound is shared out: bytes a segment, and how many.
  static store::LogSettings log_settings(std::uint64_t disk);

 private:
  void open_folder();
  void open_log(journal::Image& image);
  void read_log(journal::Image& image);
  void salvage(journal::Image& image, const std::string& problem);
  journal::Sequence append(std::string bytes);
  std::error_code write_out();
  void stall(const std::string& why);
  void retry();
  void release(journal::Sequence upto);
  void tidy();

  loop::Loop& loop_;
  const Settings settings_;
  const store::LogSettings log_settings_;
  Log log_line_;
  std::unique_ptr<store::Files> files_;
  std::unique_ptr<store::Log> log_;
  std::deque<std::string> overflow_;  // records that the log has no room for yet
  std::vector<std::pair<journal::Sequence, std::size_t>>
      read_;  // records and their bytes; until the keeper is
  std::unique_ptr<journal::Keeper> keeper_;
  std::function<void()> moved_on_;
  journal::Sequence release_to_ = 0;  // what could not be released yet
  bool dirty_ = false;
  Time stalled_since_ = 0;  // 0: it is not
  Counts counts_;
  loop::TimerId timer_ = 0, retry_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what was deferred
};

}  // namespace cedarplank::platform
