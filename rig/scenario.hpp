// A scripted day: relays, stand-ins, load, and troubles on a timeline.
#pragma once

#include <string>
#include <vector>

#include "rig/load_book.hpp"
#include "standin/settings.hpp"

namespace cedarplank::rig {

enum class TroubleKind {
  fault,              // at stand-ins, see standin::Fault
  burst,              // `times` the usual traffic
  hot,                // one destination draws a further `share` of all messages
  deploy,             // a share of the endpoints is drained and replaced
  list_late,          // list changes come `by` late
  list_unreadable,    // the list can't be read
  list_half_written,  // the list is cut off in the middle
  relay_crash,        // a relay is killed, and started anew after it
  relay_stall,        // a relay stands still
  greedy_tenant,      // one tenant sends `times` its part
  vanish,             // endpoints die for good, undrained; the list follows after `by`
  notes_lost,         // a `share` of the notes between relays is lost
  shared_slow         // all destinations take `times` as long
};

struct Trouble {
  TroubleKind kind{};
  Time at = 0, lasts = 0;
  standin::ScriptedFault fault;
  std::vector<std::string> on;
  double share = 0.5, times = 2;
  int relay = 0, tenant = 0;
  Time by = 2'000'000;
};

struct Scenario {
  std::string file;
  std::uint64_t seed = 1;
  Time lasts = 60'000'000, settle = 30'000'000;
  int relays = 3;
  std::string relay_file;  // template of the relays' settings
  LoadSettings load;
  std::vector<standin::Listed> destinations;
  std::vector<Trouble> troubles;
};

// Throws ConfigError.
Scenario load_scenario(const std::string& file);
Scenario parse_scenario(const std::string& file, const std::string& text);

}  // namespace cedarplank::rig
