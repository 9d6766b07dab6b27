// Guards against a start that fails for an error of the system that passes: what it needs is tried again for
// some seconds. No loop runs then; nothing else waits for it.
#pragma once

#include <functional>
#include <string>
#include <system_error>

#include "loop/loop.hpp"

namespace cedarplank::platform {

// From the first try. "Nine in ten restarted relays are ready within 10 s" (STANDING, pass or fail).
constexpr loop::Time kStartWithin = 8'000'000;

// Errors that may pass: no room, no memory, no descriptors, an interrupted call, an error of the device.
bool may_pass(const std::error_code& error);

// Waits a moment. False where the process was told to end meanwhile: those signals are blocked until the
// relay stands (app/platform.cpp).
bool pause_before_retry();

// Runs `what` until it throws no std::system_error that may pass; the last one goes on to the caller.
// `failed` is told of the first.
template <typename What>
void retry_at_start(What&& what, const std::function<void(const std::string&)>& failed) {
  const loop::Time end = loop::monotonic_now() + kStartWithin;
  for (bool first = true;; first = false) {
    try {
      return what();
    } catch (const std::system_error& e) {
      if (first) failed(e.what());
      if (!may_pass(e.code()) || loop::monotonic_now() >= end || !pause_before_retry()) throw;
    }
  }
}

}  // namespace cedarplank::platform
