// Settings of stand-in partners: destinations, their endpoints, and faults on a timeline.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/document.hpp"
#include "config/partners.hpp"
#include "standin/server.hpp"

namespace cedarplank::standin {

struct ScriptedFault {
  Time at = 0, lasts = 0;  // `lasts` 0: until the end
  FaultSettings settings;
  std::vector<std::string> on;  // names of destinations or endpoints
};

// A destination with its attributes in the partner list.
struct ListedDestination {
  DestinationSettings settings;
  std::string kind;
  double weight = 1;
  std::vector<std::string> zones;  // by endpoint
};

struct StandinSettings {
  std::uint64_t seed = 1;
  std::vector<ListedDestination> destinations;
  std::vector<ScriptedFault> faults;
  std::string effects_file, frames_file, partners_file;  // written if not empty
};

// Parts of JSON schemas, for files that contain such lists; and the schema of a stand-in settings file.
extern const char* const kDestinationsSchema;
extern const char* const kFaultsSchema;
std::string standin_schema();

// These throw config::ConfigError for invalid settings.
std::vector<ListedDestination> read_destinations(const config::Value& root);
std::vector<ScriptedFault> read_faults(const config::Value& root,
                                       const std::vector<ListedDestination>& destinations);
ScriptedFault read_fault(const config::Value& v);
StandinSettings load_standin_settings(const std::string& file);

// The endpoints that `name` refers to: all of a destination, or a single one by its id.
std::vector<Endpoint*> find_endpoints(std::vector<std::unique_ptr<Destination>>& all,
                                      const std::string& name);

// The partner list of these destinations. `address(destination, endpoint)` gives the address of an endpoint
// by its indices; the second form takes it from the running stand-ins.
config::PartnerList partner_list(const std::vector<ListedDestination>& listed, const config::Names& names,
                                 std::int64_t version,
                                 const std::function<std::string(std::size_t, std::size_t)>& address);
config::PartnerList partner_list(const std::vector<ListedDestination>& listed,
                                 std::vector<std::unique_ptr<Destination>>& running,
                                 const config::Names& names, std::int64_t version);

}  // namespace cedarplank::standin
