// A scenario file: relays, stand-in endpoints, load, and troubles on a timeline.
#pragma once

#include <string>
#include <vector>

#include "rig/load_model.hpp"
#include "standin/settings.hpp"

namespace cedarplank::rig {

// What a trouble does while it lasts.
enum class TroubleKind {
  fault,              // a fault at stand-in endpoints, see emulator::Fault
  burst,              // `times` the usual rate of messages
  hot,                // a `share` of all messages goes to one destination, besides its usual share
  deploy,             // a `share` of the endpoints is drained and replaced
  list_late,          // changes of the partner list are published `by` later
  list_unreadable,    // the partner list is missing
  list_half_written,  // the partner list is truncated
  relay_crash,        // a relay is killed, and started again at the end
  relay_stall,        // a relay is stopped, and continued at the end
  greedy_tenant,      // one tenant sends `times` its share of the messages
  vanish,             // endpoints fail for good without a drain; they leave the list after `by`
  notes_lost,         // a `share` of the datagrams between relays is lost
  shared_slow         // calls at all destinations take `times` as long
};

// One entry of `troubles`. The fields have the names of its keys, except `lasts` (`for`).
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
  Time lasts = 60'000'000, settle = 30'000'000;  // `settle`: longest wait for the last answers after that
  int relays = 3;
  std::string relay_file;  // template for the relays' settings
  LoadSettings load;
  std::vector<standin::ListedDestination> destinations;
  std::vector<Trouble> troubles;
};

// Both throw config::ConfigError, which names the position in the file. `file` also locates the relay
// settings, which are named relative to it.
Scenario load_scenario(const std::string& file);
Scenario parse_scenario(const std::string& file, const std::string& text);

}  // namespace cedarplank::rig
