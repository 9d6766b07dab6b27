// Which endpoint an address belongs to. Discovery may name a new endpoint at the address of one whose process
// has gone while the word of that is still on its way: then two endpoints are listed at one address, and a
// call for the old one would reach the process of the new one. An address has one owner, the endpoint that
// was told of last; an earlier owner counts as gone until discovery names it with another start or address.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform/catalogue.hpp"

namespace cedarplank::platform {

class AddressOwners {
 public:
  // A list as it is to be used.
  struct Resolved {
    Catalogue list;  // endpoints that own no address are left out, or gone
    // Endpoints that have lost their address to another one by this list.
    std::vector<EndpointId> superseded;
  };
  // Takes lists in the order in which they were told.
  Resolved resolve(Catalogue told);

 private:
  struct Entry {
    ListedEndpoint listed;
    std::uint64_t told = 0;  // number of the list that named it with this address and start first
    bool superseded = false;
  };
  // Takes over what the list says. Returns the addresses of entries that are new or have changed.
  std::vector<std::string> update(const Catalogue& told);
  // Leaves one owner of the address; returns the others that were owners until now.
  std::vector<EndpointId> supersede(const std::string& address);
  bool owns(const EndpointId& id) const;

  std::map<EndpointId, Entry> entries_;
  std::uint64_t lists_ = 0;  // taken so far
};

}  // namespace cedarplank::platform
