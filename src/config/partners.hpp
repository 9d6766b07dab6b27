// The partner list as a file: destinations and their endpoints.
#pragma once

#include <string>
#include <vector>

#include "config/relay_settings.hpp"

namespace cedarplank::config {

struct PartnerEndpoint {
  std::string id, destination;  // names; ids are unique in a list
  std::string address, path;    // where to call: "127.0.0.1:9001", "/push/a"
  int kind = 0, zone = 0;       // places in the relay's settings
  Listing listing = Listing::active;
  double weight = 1;  // see WeightKind
  bool same_place(const PartnerEndpoint& o) const {
    return destination == o.destination && address == o.address && path == o.path;
  }
  bool operator==(const PartnerEndpoint&) const = default;
};

struct PartnerList {
  std::int64_t version = 0;
  std::vector<PartnerEndpoint> endpoints;
};

extern const char* const kPartnersSchema;

// Throws ConfigError naming file, line and key; also where the list shows signs of being half written: its
// text doesn't end with a line's end, or `count` doesn't fit.
PartnerList parse_partners(const std::string& file, const std::string& text, const Names& names);

// The same list as text, for caches and for drills.
std::string write_partners(const PartnerList& list, const Names& names);

}  // namespace cedarplank::config
