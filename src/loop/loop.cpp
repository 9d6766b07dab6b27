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

// A signal handler may use only lock-free atomics and async-signal-safe calls such as write(2).
std::atomic<int> signal_pipe{-1};
std::atomic<unsigned long long> signals_seen{0};  // one bit for each signal number

void handle_signal(int signal) {
  const int saved = errno;
  signals_seen.fetch_or(1ull << signal);
  const int fd = signal_pipe.load();
  if (fd >= 0) {
    const char byte = 's';
    [[maybe_unused]] const auto n = write(fd, &byte, 1);  // a full pipe already wakes the loop
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
    throw std::system_error(errno, std::generic_category(), "event loop: cannot create the wake-up pipe");
  pipe_read_ = fds[0], pipe_write_ = fds[1];
  poll_set_.push_back({pipe_read_, POLLIN, 0});
  refresh_now();
}

Loop::~Loop() {
  for (const auto& [signal, callback] : signal_callbacks_) ::signal(signal, SIG_DFL);
  if (signal_pipe.load() == pipe_write_) signal_pipe.store(-1);
  ::close(pipe_read_);
  ::close(pipe_write_);
}

void Loop::watch(int fd, short events, IoCallback callback) {
  const auto at = static_cast<std::size_t>(fd);
  if (watches_.size() <= at) watches_.resize(at + 1);
  if (watches_[at].serial != 0) unwatch(fd);
  poll_set_.push_back({fd, events, 0});
  watches_[at] = {std::move(callback), next_serial_++, poll_set_.size() - 1};
}

void Loop::set_events(int fd, short events) {
  const auto at = static_cast<std::size_t>(fd);
  if (at < watches_.size() && watches_[at].serial != 0) poll_set_[watches_[at].index].events = events;
}

void Loop::unwatch(int fd) {
  const auto at = static_cast<std::size_t>(fd);
  if (at >= watches_.size() || watches_[at].serial == 0) return;
  const std::size_t index = watches_[at].index;
  poll_set_[index] = poll_set_.back();
  poll_set_.pop_back();
  if (index < poll_set_.size()) watches_[static_cast<std::size_t>(poll_set_[index].fd)].index = index;
  watches_[at].serial = 0;
  // The callback may be running now, so it is destroyed at the end of this iteration.
  if (watches_[at].callback) defer([keep = std::move(watches_[at].callback)] {});
  watches_[at].callback = nullptr;
}

void Loop::post(Callback callback) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(callback));
  if (wakeup_pending_) return;
  wakeup_pending_ = true;
  const char byte = 'w';
  [[maybe_unused]] const auto n = write(pipe_write_, &byte, 1);
}

void Loop::stop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  if (wakeup_pending_) return;
  wakeup_pending_ = true;
  const char byte = 'q';
  [[maybe_unused]] const auto n = write(pipe_write_, &byte, 1);
}

void Loop::on_signal(int signal, Callback callback) {
  signal_callbacks_[signal] = std::move(callback);
  signal_pipe.store(pipe_write_);
  struct sigaction action {};
  action.sa_handler = handle_signal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  sigaction(signal, &action, nullptr);
}

void Loop::handle_wakeup() {
  char buffer[256];
  while (read(pipe_read_, buffer, sizeof buffer) > 0) {
  }
  std::vector<Callback> posted;
  {
    const std::lock_guard lock(mutex_);
    wakeup_pending_ = false;
    posted.swap(posted_);
  }
  for (auto& callback : posted) callback();
  if (signal_pipe.load() != pipe_write_) return;
  const unsigned long long seen = signals_seen.exchange(0);
  for (const auto& [signal, callback] : signal_callbacks_)
    if (seen >> signal & 1) callback();
}

void Loop::run_timers() {
  // A timer that a callback adds runs in the next iteration at the earliest, even if it is already due:
  // a timer that re-arms itself with no delay must not starve the descriptors.
  const Time until = now_;
  std::size_t remaining = timers_.size();
  Callback callback;
  while (remaining-- > 0 && timers_.pop_due(until, callback)) callback();
}

void Loop::run_deferred() {
  // Calls deferred by a deferred call run in the same iteration too, for at most 16 passes.
  for (int pass = 0; pass < 16 && !deferred_.empty(); pass++) {
    running_deferred_.swap(deferred_);
    for (auto& callback : running_deferred_) callback();
    running_deferred_.clear();
  }
}

void Loop::run_once(Time max_wait) {
  Time wait = max_wait;
  const Time next = timers_.next();
  if (next != kNoDeadline) {
    const Time timer_wait = std::max<Time>(0, next - monotonic_now());
    wait = wait < 0 ? timer_wait : std::min(wait, timer_wait);
  }
  if (!deferred_.empty()) wait = 0;
  // poll(2) takes milliseconds. Rounded up, because the loop would spin if it woke before the timer is due.
  constexpr Time kMaxWait = 3'600'000'000;  // microseconds
  const int timeout = wait < 0 ? -1 : static_cast<int>((std::min(wait, kMaxWait) + 999) / 1000);
  const int n = poll(poll_set_.data(), poll_set_.size(), timeout);
  refresh_now();
  if (n > 0) {
    ready_descriptors_.clear();
    int left = n;
    for (std::size_t i = 1; i < poll_set_.size() && left > 0; i++) {
      if (poll_set_[i].revents == 0) continue;
      left--;
      const int fd = poll_set_[i].fd;
      ready_descriptors_.push_back({fd, poll_set_[i].revents, watches_[static_cast<std::size_t>(fd)].serial});
    }
    if (poll_set_[0].revents != 0) handle_wakeup();
    for (std::size_t i = 0; i < ready_descriptors_.size(); i++) {
      const Ready ready = ready_descriptors_[i];
      const auto at = static_cast<std::size_t>(ready.fd);
      if (at >= watches_.size() || watches_[at].serial != ready.serial)
        continue;  // removed or replaced by an earlier callback
      // The callback may resize watches_, so a local copy is called.
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
