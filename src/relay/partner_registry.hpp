// Registry of the partner list: destinations and their endpoints. Compares each new list with the last one
// and produces what the module needs: the whole list once, then changes. Does no I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/partners.hpp"

namespace cedarplank::relay {

// Holds the current list and maps destination names to ids.
class PartnerRegistry {
 public:
  struct Update {
    bool whole = false;                 // the whole list; otherwise changes
    std::vector<Endpoint> endpoints;    // in the module's form
    std::vector<std::string> problems;  // entries that were not applied, and why
  };
  // Applies a list that was read at `now`. An entry that gives a known id another destination or address is
  // not applied, and the endpoint is treated as gone: otherwise calls that are out, and what is known about
  // the old address, would be attributed to the new one.
  Update apply_list(const config::PartnerList& list, Time now);

  // The id of a destination that has a listed endpoint; nothing otherwise.
  std::optional<DestinationId> find_destination(const std::string& name) const;
  // The id of a destination, also of one that is in no list; a new name is given an id.
  DestinationId id_of(const std::string& name) { return intern(name); }
  int kind_of(DestinationId id) const;  // 0 if it never had an endpoint
  // Null if the endpoint is not listed.
  const config::PartnerEndpoint* endpoint(const EndpointId& id) const;
  const std::string& name_of(DestinationId id) const { return names_[static_cast<std::size_t>(id)]; }
  bool empty() const { return listed_.empty(); }
  config::PartnerList list() const;

 private:
  static constexpr std::size_t kGoneEndpointsMax = 10'000;  // bound on gone_
  DestinationId intern(const std::string& name);
  Endpoint to_module_endpoint(const config::PartnerEndpoint& e);
  std::map<std::string, DestinationId> ids_;  // of destinations; never reused while the relay runs
  std::vector<std::string> names_;
  std::map<EndpointId, config::PartnerEndpoint> listed_;  // in the current list
  // Those no longer listed, as they last were; beyond the bound the oldest is dropped.
  std::map<EndpointId, config::PartnerEndpoint> gone_;
  std::deque<EndpointId> gone_order_;         // oldest first
  std::map<EndpointId, Time> listed_since_;   // when an endpoint was added, if after the first list
  std::map<std::string, int> listed_counts_;  // number of listed endpoints by destination
  std::map<DestinationId, int> kinds_;
  bool awaiting_first_list_ = true;  // no list has been applied yet
  std::int64_t version_ = 0;
};

}  // namespace cedarplank::relay
