// What the process uses of the machine, as the kernel counts it.
#pragma once

#include <cstddef>

namespace cedarplank::platform {

// Zeros where the kernel does not tell.
struct ProcessUsage {
  std::size_t resident = 0;       // bytes of memory now
  std::size_t peak_resident = 0;  // the most so far
  std::size_t descriptors = 0;    // open ones
};
ProcessUsage read_process_usage();

}  // namespace cedarplank::platform
