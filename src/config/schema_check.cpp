#include "config/schema_check.hpp"

#include <rapidjson/document.h>

#include <stdexcept>
#include <valijson/adapters/rapidjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace cedarplank::config {

namespace {

// Converts YAML to JSON with all scalars as strings, since valijson's own adapter for yaml-cpp does not
// compile here.
rapidjson::Value as_json(const YAML::Node& node, rapidjson::Document::AllocatorType& memory) {
  const auto text = [&](const std::string& s) {
    return rapidjson::Value(s.data(), static_cast<rapidjson::SizeType>(s.size()), memory);
  };
  if (node.IsScalar()) return text(node.Scalar());
  if (node.IsSequence()) {
    rapidjson::Value list(rapidjson::kArrayType);
    for (const auto& item : node) list.PushBack(as_json(item, memory), memory);
    return list;
  }
  if (!node.IsMap()) return rapidjson::Value();
  rapidjson::Value map(rapidjson::kObjectType);
  for (const auto& entry : node)
    map.AddMember(text(entry.first.Scalar()), as_json(entry.second, memory), memory);
  return map;
}

}  // namespace

std::vector<SchemaError> schema_errors(const YAML::Node& node, const char* schema_text) {
  rapidjson::Document document;
  document.Parse(schema_text);
  if (document.HasParseError()) throw std::logic_error("a settings schema is no JSON");
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::RapidJsonAdapter(document), schema);
  // YAML scalars have no type of their own: "5" may be a number or a string.
  valijson::Validator validator(valijson::Validator::kWeakTypes);
  rapidjson::Document target;
  static_cast<rapidjson::Value&>(target) = as_json(node, target.GetAllocator());
  valijson::ValidationResults results;
  std::vector<SchemaError> errors;
  if (validator.validate(schema, valijson::adapters::RapidJsonAdapter(target), &results)) return errors;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    SchemaError e;
    for (const auto& step : error.context) {
      if (step == "<root>") continue;
      e.path.push_back(step.size() > 2 && step.front() == '[' ? step.substr(1, step.size() - 2) : step);
    }
    e.what = error.description;
    errors.push_back(std::move(e));
  }
  // Outer errors only repeat that an inner one failed.
  std::vector<SchemaError> innermost;
  for (const auto& e : errors) {
    bool covered = false;
    for (const auto& other : errors)
      covered = covered || (other.path.size() > e.path.size() &&
                            std::equal(e.path.begin(), e.path.end(), other.path.begin()));
    if (!covered) innermost.push_back(e);
  }
  return innermost;
}

}  // namespace cedarplank::config
