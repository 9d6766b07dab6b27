#include "node/clock.hpp"

#include <time.h>

#include <fstream>

#include "loop/loop.hpp"

namespace cedarplank::node {

journal::Clock clock_now() {
  journal::Clock c;
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  c.wall = std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000;
  c.monotonic = loop::monotonic_now();
  std::ifstream("/proc/sys/kernel/random/boot_id") >> c.boot_id;
  return c;
}

}  // namespace cedarplank::node
