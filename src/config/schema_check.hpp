// Schema check by valijson, in a unit of its own, since its templates are slow to compile.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace cedarplank::config {

struct SchemaError {
  std::vector<std::string> path;  // keys and places from the root
  std::string what;
};

// `schema` is a JSON schema as text.
std::vector<SchemaError> schema_errors(const YAML::Node& node, const char* schema);

}  // namespace cedarplank::config
