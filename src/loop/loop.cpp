#include "loop/loop.hpp"

#include <fcntl.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <limits>
#include <system_error>

namespace cedarplank::loop {
namespace {

// Signal handlers may only touch lock-free atomics and write(2).
std::atomic<int> signal_pipe{-1};
std::atomic<unsigned long long> signals_seen{0};  // bit by signal number

void handle_signal(int signal) {
  const int saved = errno;
  signals_seen.fetch_or(1ull << signal);
  const int fd = signal_pipe.load();
  if (fd >= 0) {
    const char byte = 's';
    [[maybe_unused]] const auto n = write(fd, &byte, 1);  // full pipe: the loop wakes anyway
  }
  errno = saved;
}

}  // namespace

Time monotonic_now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<Time>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

Loop::Loop() {
  int fds[2];
  if (pipe2(fds, O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "event loop: pipe");
  pipe_read_ = fds[0], pipe_write_ = fds[1];
  polled_.push_back({pipe_read_, POLLIN, 0});
  refresh();
}

Loop::~Loop() {
  for (const auto& [signal, callback] : signals_) ::signal(signal, SIG_DFL);
  if (signal_pipe.load() == pipe_write_) signal_pipe.store(-1);
  ::close(pipe_read_);
  ::close(pipe_write_);
}

void Loop::watch(int fd, short events, IoCallback callback) {
  const auto at = static_cast<std::size_t>(fd);
  if (watches_.size() <= at) watches_.resize(at + 1);
  if (watches_[at].serial != 0) unwatch(fd);
  polled_.push_back({fd, events, 0});
  watches_[at] = {std::move(callback), next_serial_++, polled_.size() - 1};
}

void Loop::change(int fd, short events) {
  const auto at = static_cast<std::size_t>(fd);
  if (at < watches_.size() && watches_[at].serial != 0) polled_[watches_[at].index].events = events;
}

void Loop::unwatch(int fd) {
  const auto at = static_cast<std::size_t>(fd);
  if (at >= watches_.size() || watches_[at].serial == 0) return;
  const std::size_t index = watches_[at].index;
  polled_[index] = polled_.back();
  polled_.pop_back();
  if (index < polled_.size()) watches_[static_cast<std::size_t>(polled_[index].fd)].index = index;
  watches_[at].serial = 0;
  // The callback may be the one that runs now: it is destroyed at the end of the turn.
  if (watches_[at].callback) defer([keep = std::move(watches_[at].callback)] {});
  watches_[at].callback = nullptr;
}

void Loop::post(Callback callback) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(callback));
  if (woken_) return;
  woken_ = true;
  const char byte = 'w';
  [[maybe_unused]] const auto n = write(pipe_write_, &byte, 1);
}

void Loop::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  if (woken_) return;
  woken_ = true;
  const char byte = 'q';
  [[maybe_unused]] const auto n = write(pipe_write_, &byte, 1);
}

void Loop::on_signal(int signal, Callback callback) {
  signals_[signal] = std::move(callback);
  signal_pipe.store(pipe_write_);
  struct sigaction action {};
  action.sa_handler = handle_signal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  sigaction(signal, &action, nullptr);
}

void Loop::drain_pipe() {
  char buffer[256];
  while (read(pipe_read_, buffer, sizeof buffer) > 0) {
  }
  std::vector<Callback> posted;
  {
    const std::lock_guard lock(mutex_);
    woken_ = false;
    posted.swap(posted_);
  }
  for (auto& callback : posted) callback();
  if (signal_pipe.load() != pipe_write_) return;
  const unsigned long long seen = signals_seen.exchange(0);
  for (const auto& [signal, callback] : signals_)
    if (seen >> signal & 1) callback();
}

void Loop::run_timers() {
  // Timers that a callback adds wait for the next turn when they are due already: one that sets itself
  // again with no delay must not starve the descriptors.
  const Time until = now_;
  std::size_t most = timers_.size();
  Callback callback;
  while (most-- > 0 && timers_.pop_due(until, callback)) callback();
}

void Loop::run_deferred() {
  // What a deferred call defers runs in the same turn too, a bounded number of times over.
  for (int pass = 0; pass < 16 && !deferred_.empty(); pass++) {
    running_.swap(deferred_);
    for (auto& callback : running_) callback();
    running_.clear();
  }
}

void Loop::run_once(Time most_wait) {
  Time wait = most_wait;
  const Time next = timers_.next();
  if (next != kNoDeadline) {
    const Time until = std::max<Time>(0, next - monotonic_now());
    wait = wait < 0 ? until : std::min(wait, until);
  }
  if (!deferred_.empty()) wait = 0;
  // poll(2) counts milliseconds: rounded up, since waking early would spin.
  constexpr Time kMostWait = 3'600'000'000;
  const int timeout = wait < 0 ? -1 : static_cast<int>((std::min(wait, kMostWait) + 999) / 1000);
  const int n = poll(polled_.data(), polled_.size(), timeout);
  refresh();
  if (n > 0) {
    ready_.clear();
    int left = n;
    for (std::size_t i = 1; i < polled_.size() && left > 0; i++) {
      if (polled_[i].revents == 0) continue;
      left--;
      const int fd = polled_[i].fd;
      ready_.push_back({fd, polled_[i].revents, watches_[static_cast<std::size_t>(fd)].serial});
    }
    if (polled_[0].revents != 0) drain_pipe();
    for (std::size_t i = 0; i < ready_.size(); i++) {
      const Ready ready = ready_[i];
      const auto at = static_cast<std::size_t>(ready.fd);
      if (at >= watches_.size() || watches_[at].serial != ready.serial) continue;  // gone meanwhile
      // watches_ may be resized by the callback, so it is called through a copy that stays put.
      const IoCallback callback = watches_[at].callback;
      callback(ready.revents);
    }
  }
  run_timers();
  run_deferred();
}

void Loop::run() {
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        stopping_ = false;
        return;
      }
    }
    run_once(-1);
  }
}

}  // namespace cedarplank::loop
