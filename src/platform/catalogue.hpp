// Reads the catalogue, the list of endpoints in JSON that discovery and the configuration provide. Free of
// I/O and state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/simulator.hpp"

namespace cedarplank::platform {

// An endpoint in the list.
struct ListedEndpoint {
  Endpoint endpoint;            // `since` in the core's monotonic clock
  std::string address;          // where this relay reaches it; may be empty for an endpoint that is gone
  std::int64_t started_ms = 0;  // its start as it was told, Unix time in ms; 0: long ago
};

struct Catalogue {
  std::int64_t index = 0;  // discovery's number of this version of the list
  bool whole = false;      // the whole list; otherwise changes
  std::vector<ListedEndpoint> endpoints;
};

// Times in the list are Unix milliseconds; `unix_to_monotonic`, in us, is added to convert them to the core's
// monotonic clock. Throws settings::FieldError that names the member.
Catalogue read_catalogue(const settings::Value& v, const std::string& path,
                         const settings::NameTables& tables, Time unix_to_monotonic);
Catalogue read_catalogue(const std::string& json, const settings::NameTables& tables, Time unix_to_monotonic);

}  // namespace cedarplank::platform
