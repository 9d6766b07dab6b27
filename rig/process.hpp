// A child process on the loop: its lines of standard error, signals to it, and its end.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "net/socket.hpp"

namespace cedarplank::rig {

class Process {
 public:
  // Throws std::system_error where it can't be started.
  Process(loop::Loop& loop, const std::vector<std::string>& command,
          std::function<void(const std::string&)> line);
  ~Process();  // kills it if it still runs
  void signal(int number);
  bool running();                          // reaps it when it has ended
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
