// Checks YAML against a JSON schema with valijson. A translation unit of its own, since valijson's templates
// are slow to compile.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace cedarplank::config {

struct SchemaError {
  std::vector<std::string> path;  // keys and list indexes from the root
  std::string what;
};

// All violations of `schema`, a JSON schema as text. Empty if the node conforms.
std::vector<SchemaError> schema_errors(const YAML::Node& node, const char* schema);

}  // namespace cedarplank::config
