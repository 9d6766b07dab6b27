#include "platform/startup.hpp"

#include <signal.h>
#include <time.h>

namespace cedarplank::platform {

bool may_be_temporary(const std::error_code& error) {
  for (const auto e : {std::errc::no_space_on_device, std::errc::io_error, std::errc::too_many_files_open,
                       std::errc::too_many_files_open_in_system, std::errc::not_enough_memory,
                       std::errc::no_buffer_space, std::errc::interrupted})
    if (error == e) return true;
  return false;
}

bool pause_before_retry() {
  constexpr long kPause = 50'000'000;  // ns
  const timespec pause{0, kPause};
  nanosleep(&pause, nullptr);
  sigset_t pending;
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 0 && sigismember(&pending, SIGINT) == 0;
}

}  // namespace cedarplank::platform
