// Random scenarios, drawn from ranges by a seed. A day is a scenario (rig/scenario.hpp)
// in which any value may be
//   {draw: [low, high]}    a number, rate ("90/s"), size or duration ("2s") between the bounds, both included
//   {pick: [a, b, ...]}    one of these values
// and an item of a list may be {times: N, of: {...}}: N items, each drawn independently.
// Equal texts and seeds give equal days.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rig/scenario.hpp"

namespace cedarplank::lab {

// One setting of a sweep, such as path "load.rate" with value "200/s".
struct Override {
  std::string path, value;
};

// The drawn day as the text of a scenario, with `seed:` set. Throws ConfigError with the file, the line and
// the cause.
std::string draw_day(const std::string& file, const std::string& text, std::uint64_t seed,
                     const std::vector<Override>& overrides = {});
// Reads a day from a file, draws it and parses the result.
rig::Scenario draw_scenario(const std::string& file, std::uint64_t seed,
                            const std::vector<Override>& overrides = {});

}  // namespace cedarplank::lab
