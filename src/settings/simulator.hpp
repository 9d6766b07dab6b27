// Reads the settings object of a dispatcher instance, which comes in the simulator's first message and in a
// node's configuration. Both are read here, so that the same object gives the same settings.
#pragma once

#include <string>
#include <unordered_map>

#include "cedarplank/dispatcher.hpp"
#include "settings/fields.hpp"

namespace cedarplank::settings {

// Maps names to their positions in the lists of the settings.
using NameIndex = std::unordered_map<std::string, int>;
// Returns the position of a name, or -1 if it is unknown.
int index_of(const NameIndex& names, const std::string& name);

// The names that events and the endpoint list use. The dispatcher itself knows positions only.
struct NameTables {
  NameIndex classes, tenants, zones, kinds;
};

// Reads the settings and fills `tables`. Throws FieldError that names the malformed member; `path` is the
// object's position in the document.
Settings read_simulator(const Value& v, const std::string& path, NameTables& tables);

}  // namespace cedarplank::settings
