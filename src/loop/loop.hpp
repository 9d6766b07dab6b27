// One event loop on poll(2), for one thread: descriptors, one-shot timers, deferred calls, and wake-ups from
// other threads and from signals through a self-pipe.
//
// Times are in microseconds of CLOCK_MONOTONIC. Everything but post() and stop() belongs to the loop's
// thread. Callbacks may add and remove anything, themselves included.
#pragma once

#include <poll.h>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "loop/timers.hpp"

namespace cedarplank::loop {

// Monotonic clock in microseconds; comparable between processes of one machine.
Time monotonic_now();

class Loop {
 public:
  // `events` and `revents` are poll(2)'s (POLLIN, POLLOUT, POLLERR, POLLHUP).
  using IoCallback = std::function<void(short revents)>;

  // Throws std::system_error where the self-pipe can't be made.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The time at which this turn of the loop began; refresh() reads the clock anew.
  Time now() const { return now_; }
  Time refresh() { return now_ = monotonic_now(); }

  void watch(int fd, short events, IoCallback callback);  // at most one watch a descriptor
  void change(int fd, short events);
  void unwatch(int fd);  // no callback for `fd` comes after this, not even one that is ready now

  TimerId after(Time delay, Callback callback) {
    return timers_.add(monotonic_now() + delay, std::move(callback));
  }
  TimerId at(Time deadline, Callback callback) { return timers_.add(deadline, std::move(callback)); }
  bool cancel(TimerId id) { return timers_.cancel(id); }

  // Runs at the end of this turn, before the next poll.
  void defer(Callback callback) { deferred_.push_back(std::move(callback)); }
  // From any thread: runs on the loop's thread in its next turn. Wake-ups are coalesced.
  void post(Callback callback);
  // Delivers `signal` as a callback on the loop. One loop of a process may own a signal.
  void on_signal(int signal, Callback callback);

  void run();   // until stop()
  void stop();  // from any thread
  // One turn: waits at most `most_wait` us (negative: until something happens).
  void run_once(Time most_wait);

 private:
  struct Watch {
    IoCallback callback;
    std::uint64_t serial = 0;  // tells a reused descriptor number from the one that was ready
    std::size_t index = 0;     // place in polled_
  };
  void drain_pipe();
  void run_timers();
  void run_deferred();

  TimerQueue timers_;
  std::vector<pollfd> polled_;  // dense; polled_[0] is the self-pipe
  std::vector<Watch> watches_;  // by descriptor
  std::uint64_t next_serial_ = 1;
  struct Ready {
    int fd;
    short revents;
    std::uint64_t serial;
  };
  std::vector<Ready> ready_;
  std::vector<Callback> deferred_, running_;
  std::map<int, Callback> signals_;
  int pipe_read_ = -1, pipe_write_ = -1;
  std::mutex mutex_;
  std::vector<Callback> posted_;  // guarded by mutex_
  bool woken_ = false;            // guarded by mutex_: a byte is already in the pipe
  bool stopping_ = false;         // guarded by mutex_
  Time now_ = 0;
};

}  // namespace cedarplank::loop
