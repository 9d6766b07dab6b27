// A single-threaded event loop on poll(2): descriptors, one-shot timers, deferred calls, and wake-ups from
// other threads and from signals through a self-pipe.
//
// Times are in microseconds of CLOCK_MONOTONIC. Only post() and stop() may be called from other threads.
// Callbacks may add and remove watches and timers, their own included.
#pragma once

#include <poll.h>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "loop/timers.hpp"

namespace cedarplank::loop {

// CLOCK_MONOTONIC in microseconds; comparable between processes on one machine.
Time monotonic_now();

class Loop {
 public:
  // `events` and `revents` are poll(2)'s (POLLIN, POLLOUT, POLLERR, POLLHUP).
  using IoCallback = std::function<void(short revents)>;

  // Throws std::system_error if the self-pipe can't be created.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The time at which this iteration's poll(2) returned, or a later time at which the clock was read anew.
  Time now() const { return now_; }
  // Reads the clock anew and returns it.
  Time refresh_now() { return now_ = monotonic_now(); }

  // Calls `callback` whenever one of `events` is ready. Replaces an earlier watch of the same descriptor.
  void watch(int fd, short events, IoCallback callback);
  // Sets the events of an existing watch; does nothing without one.
  void set_events(int fd, short events);
  // The callback of `fd` is not called after this, even if it is already known to be ready.
  void unwatch(int fd);

  // Timers: run `callback` once, after `delay` or at `deadline`. cancel() returns false if it has already
  // run.
  TimerId after(Time delay, Callback callback) {
    return timers_.add(monotonic_now() + delay, std::move(callback));
  }
  TimerId at(Time deadline, Callback callback) { return timers_.add(deadline, std::move(callback)); }
  bool cancel(TimerId id) { return timers_.cancel(id); }

  // Runs `callback` at the end of this iteration, before the next poll.
  void defer(Callback callback) { deferred_.push_back(std::move(callback)); }
  // Runs `callback` on the loop's thread in its next iteration. May be called from any thread; wake-ups are
  // coalesced.
  void post(Callback callback);
  // Runs `callback` on the loop when `signal` arrives. Only one loop of a process may handle signals.
  void on_signal(int signal, Callback callback);

  void run();   // until stop()
  void stop();  // from any thread
  // One iteration: waits at most `max_wait` microseconds (negative: until an event or timer).
  void run_once(Time max_wait);

 private:
  struct Watch {
    IoCallback callback;
    std::uint64_t serial = 0;  // 0: no watch; tells a reused descriptor number from the one that was ready
    std::size_t index = 0;     // position in the poll set
  };
  void handle_wakeup();  // empties the self-pipe, then runs posted callbacks and signal callbacks
  void run_timers();
  void run_deferred();

  TimerQueue timers_;
  std::vector<pollfd> poll_set_;  // without gaps; the first entry is the self-pipe
  std::vector<Watch> watches_;    // indexed by descriptor
  std::uint64_t next_serial_ = 1;
  struct Ready {
    int fd;
    short revents;
    std::uint64_t serial;
  };
  std::vector<Ready> ready_descriptors_;
  std::vector<Callback> deferred_, running_deferred_;
  std::map<int, Callback> signal_callbacks_;
  int pipe_read_ = -1, pipe_write_ = -1;
  std::mutex mutex_;
  std::vector<Callback> posted_;  // guarded by mutex_
  bool wakeup_pending_ = false;   // guarded by mutex_; a byte is already in the pipe
  bool stopping_ = false;         // guarded by mutex_
  Time now_ = 0;
};

}  // namespace cedarplank::loop
