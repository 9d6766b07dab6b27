// Settings of stand-ins: destinations, their endpoints, and faults on a timeline.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/document.hpp"
#include "config/partners.hpp"
#include "standin/server.hpp"

namespace cedarplank::standin {

struct ScriptedFault {
  Time at = 0, lasts = 0;  // lasts 0: to the end
  FaultSettings settings;
  std::vector<std::string> on;  // names of destinations or endpoints
};

// A destination with what the partner list says of it.
struct Listed {
  DestinationSettings settings;
  std::string kind;
  double weight = 1;
  std::vector<std::string> zones;  // by endpoint
};

struct StandinSettings {
  std::uint64_t seed = 1;
  std::vector<Listed> destinations;
  std::vector<ScriptedFault> faults;
  std::string effects_file, frames_file, partners_file;  // written where given
};

// Parts of JSON schemas, for files that contain such lists.
extern const char* const kDestinationsSchema;
extern const char* const kFaultsSchema;
std::string standin_schema();

std::vector<Listed> read_destinations(const config::Value& root);
std::vector<ScriptedFault> read_faults(const config::Value& root, const std::vector<Listed>& destinations);
ScriptedFault read_fault(const config::Value& v);
StandinSettings load_standin_settings(const std::string& file);

// Endpoints that a name stands for: a destination's, or one.
std::vector<Endpoint*> find_endpoints(std::vector<std::unique_ptr<Destination>>& all,
                                      const std::string& name);

// The partner list of these destinations, whose endpoints stand at `address(destination, endpoint)`.
config::PartnerList partner_list(const std::vector<Listed>& listed, const config::Names& names,
                                 std::int64_t version,
                                 const std::function<std::string(std::size_t, std::size_t)>& address);
config::PartnerList partner_list(const std::vector<Listed>& listed,
                                 std::vector<std::unique_ptr<Destination>>& running,
                                 const config::Names& names, std::int64_t version);

}  // namespace cedarplank::standin
