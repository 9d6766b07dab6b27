// Reads and writes the partner list: destinations and their endpoints, as a YAML file.
#pragma once

#include <string>
#include <vector>

#include "config/relay_settings.hpp"

namespace cedarplank::config {

struct PartnerEndpoint {
  std::string id, destination;  // names; an id is unique in a list
  std::string address, path;    // where to call: "127.0.0.1:9001", "/push/a"
  int kind = 0, zone = 0;       // indexes into the relay's settings
  Listing listing = Listing::active;
  double weight = 1;  // see WeightKind
  // Whether calls go to the same address and path, for the same destination.
  bool same_address(const PartnerEndpoint& o) const {
    return destination == o.destination && address == o.address && path == o.path;
  }
  bool operator==(const PartnerEndpoint&) const = default;
};

struct PartnerList {
  std::int64_t version = 0;
  std::vector<PartnerEndpoint> endpoints;
};

extern const char* const kPartnersSchema;

// Throws ConfigError naming file, line and key; also if the list appears to be incompletely written: its text
// does not end with a newline, or `count` does not match.
PartnerList parse_partners(const std::string& file, const std::string& text, const Names& names);

// The list in the same format, for cache files and scenario runs.
std::string write_partners(const PartnerList& list, const Names& names);

}  // namespace cedarplank::config
