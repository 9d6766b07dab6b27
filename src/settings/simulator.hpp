// The settings object of an instance, as the simulator's first message and a node's configuration both give
// it. One reader for both: the module can't be told different things by them.
#pragma once

#include <string>
#include <unordered_map>

#include "cedarplank/dispatcher.hpp"
#include "settings/fields.hpp"

namespace cedarplank::settings {

using Names = std::unordered_map<std::string, int>;         // to their place in the settings
int position(const Names& names, const std::string& name);  // -1: unknown

struct Tables {
  Names classes, tenants, zones, kinds;
};

// Throws FieldError naming the member. `path` is where the object stands.
Settings read_simulator(const Value& v, const std::string& path, Tables& tables);

}  // namespace cedarplank::settings
