// Days drawn from ranges by a seed. A day is a scenario (rig/scenario.hpp) in which any value may be
//   {draw: [low, high]}   a number, rate ("90/s"), size or duration ("2s") between two of its kind, both
//   included {pick: [a, b, ...]}   one of these
// and an item of a list may be {times: N, of: {...}}: N items, each drawn by itself.
// Equal text and seed give equal days.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rig/scenario.hpp"

namespace cedarplank::lab {

// One setting of a sweep: "load.rate" to "200/s".
struct Override {
  std::string path, value;
};

// The day as a scenario's text, with `seed:` set. Throws ConfigError naming file, line and what is wrong.
std::string draw_day(const std::string& file, const std::string& text, std::uint64_t seed,
                     const std::vector<Override>& overrides = {});
rig::Scenario drawn_scenario(const std::string& file, std::uint64_t seed,
                             const std::vector<Override>& overrides = {});

}  // namespace cedarplank::lab
