// The catalogue's list of endpoints, as discovery and the configuration write it. Free of I/O and state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/simulator.hpp"

namespace cedarplank::platform {

struct Listed {
  Endpoint endpoint;    // `since` in the module's clock
  std::string address;  // as this relay reaches it; empty for one that is gone
};

struct Catalogue {
  std::int64_t index = 0;
  bool whole = false;
  std::vector<Listed> endpoints;
};

// The list's times are Unix milliseconds: `unix_to_module` in us leads from them to the module's clock.
// Throws settings::FieldError naming the member.
Catalogue read_catalogue(const settings::Value& v, const std::string& path, const settings::Tables& tables,
                         Time unix_to_module);
Catalogue read_catalogue(const std::string& json, const settings::Tables& tables, Time unix_to_module);

}  // namespace cedarplank::platform
