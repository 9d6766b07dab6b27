// The relay's journal in the folder that lasts: the store's log, written in the loop's own turn and never
// synced, since the folder outlives processes and goes only with the machine. All of it stays within the
// disk that the platform gives.
#pragma once

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
  };
  struct Ends {  // what the keeper stands between
    relay::Transport& transport;
    relay::Answers& answers;
    std::function<void(relay::CallId, relay::Ending)> unsent;  // not from within the core's own round
  };
  using Log = std::function<void(const std::string&)>;
  // Takes over what an earlier run left. A damaged log is read as far as it can be and written anew.
  // Throws std::runtime_error naming folder and cause.
  Journal(loop::Loop& loop, Settings settings, Ends ends, Log log);
  ~Journal();

  journal::Keeper& keeper() { return *keeper_; }
  const journal::Image& image() const { return keeper_->image(); }
  // All that was written since survives the process after this; what waited for it goes on.
  void commit();
  // Whether a message with so large a body may be taken on: a third of the room is for what finishes what
  // was.
  bool room(std::size_t body) const;
  std::uint64_t bytes() const { return keeper_->written(); }

  // How a bound is shared out: bytes a segment, and how many.
  static store::LogSettings log_settings(std::uint64_t disk);

 private:
  void open_log(journal::Image& image);
  void salvage(journal::Image& image, const std::string& problem);
  void tidy();

  loop::Loop& loop_;
  const Settings settings_;
  const store::LogSettings log_settings_;
  Log log_line_;
  std::unique_ptr<store::Files> files_;
  std::unique_ptr<store::Log> log_;
  std::vector<std::pair<journal::Sequence, std::size_t>>
      read_;  // records and their bytes; until the keeper is
  std::unique_ptr<journal::Keeper> keeper_;
  bool dirty_ = false;
  loop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what was deferred
};

}  // namespace cedarplank::platform
