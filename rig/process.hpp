// A child process on the event loop: passes on the lines of its standard error, sends it signals and notices
// its exit.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "net/socket.hpp"

namespace cedarplank::rig {

class Process {
 public:
  // Starts `command`; `line` gets each line of its standard error. Throws std::system_error if the process
  // can't be created.
  Process(loop::Loop& loop, const std::vector<std::string>& command,
          std::function<void(const std::string&)> line);
  ~Process();  // kills the process if it still runs
  void signal(int number);
  bool running();                               // reaps the process if it has exited
  int exit_code() const { return exit_code_; }  // -1 where a signal ended it
  pid_t pid() const { return pid_; }

 private:
  loop::Loop& loop_;
  net::Fd stderr_pipe_;
  std::string partial_line_;
  std::function<void(const std::string&)> on_line_;
  pid_t pid_ = -1;
  int exit_code_ = 0;
  bool exited_ = false;
};

}  // namespace cedarplank::rig
