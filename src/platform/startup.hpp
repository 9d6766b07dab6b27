// Retries during the start of the relay. Guards against a start that fails because of a temporary system
// error: the failed step is repeated for some seconds. The event loop doesn't run yet, so nothing else is
// blocked.
#pragma once

#include <functional>
#include <string>
#include <system_error>

#include "loop/loop.hpp"

namespace cedarplank::platform {

// How long to retry, from the first try. Nine in ten restarted relays have to be ready within 10 s.
constexpr loop::Time kStartTimeout = 8'000'000;

// Whether an error may be temporary: no disk space, memory or descriptors, an interrupted call, a device
// error.
bool may_be_temporary(const std::error_code& error);

// Waits a moment. Returns false if the process received a signal to end meanwhile: those signals are blocked
// until the relay is constructed (app/platform.cpp).
bool pause_before_retry();

// Runs `what`, and repeats it while it throws a std::system_error that may be temporary; when the time is
// over the last one is rethrown. `failed` is called with the first error.
template <typename What>
void retry_at_start(What&& what, const std::function<void(const std::string&)>& failed) {
  const loop::Time end = loop::monotonic_now() + kStartTimeout;
  for (bool first = true;; first = false) {
    try {
      return what();
    } catch (const std::system_error& e) {
      if (first) failed(e.what());
      if (!may_be_temporary(e.code()) || loop::monotonic_now() >= end || !pause_before_retry()) throw;
    }
  }
}

}  // namespace cedarplank::platform
