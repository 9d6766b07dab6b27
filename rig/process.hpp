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
  bool running();                          // reaps the process if it has exited
  int exit_code() const { return code_; }  // -1 where a signal ended it
  pid_t pid() const { return pid_; }

 private:
  loop::Loop& loop_;
  net::Fd errors_;
  std::string partial_;
  std::function<void(const std::string&)> line_;
  pid_t pid_ = -1;
  int code_ = 0;
  bool ended_ = false;
};

}  // namespace cedarplank::rig
