#include "rig/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace cedarplank::rig {

Process::Process(loop::Loop& loop, const std::vector<std::string>& command,
                 std::function<void(const std::string&)> line)
    : loop_(loop), on_line_(std::move(line)) {
  int fds[2];
  if (pipe2(fds, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
  std::vector<char*> argv;
  for (const auto& word : command) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    dup2(fds[1], 2);
    execv(argv[0], argv.data());
    _exit(127);
  }
  ::close(fds[1]);
  stderr_pipe_ = net::Fd(fds[0]);
  fcntl(fds[0], F_SETFL, O_NONBLOCK);
  loop_.watch(fds[0], POLLIN, [this](short) {
    char buffer[4096];
    const auto n = read(stderr_pipe_.get(), buffer, sizeof buffer);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) return loop_.unwatch(stderr_pipe_.get());
    partial_line_.append(buffer, static_cast<std::size_t>(n));
    for (std::size_t end; (end = partial_line_.find('\n')) != std::string::npos;
         partial_line_.erase(0, end + 1))
      on_line_(partial_line_.substr(0, end));
  });
}

Process::~Process() {
  loop_.unwatch(stderr_pipe_.get());
  if (!running()) return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) {
  if (running()) ::kill(pid_, number);
}

bool Process::running() {
  if (exited_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exited_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return false;
}

}  // namespace cedarplank::rig
