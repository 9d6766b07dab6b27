#include "platform/address_owners.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace cedarplank::platform {

AddressOwners::Resolved AddressOwners::resolve(Catalogue told) {
  lists_++;
  Resolved resolved;
  for (const auto& address : update(told))
    for (auto& id : supersede(address)) resolved.superseded.push_back(std::move(id));
  std::set<EndpointId> named;
  for (auto& listed : told.endpoints) {
    named.insert(listed.endpoint.id);
    if (listed.endpoint.listing == Listing::gone || owns(listed.endpoint.id)) continue;
    listed.endpoint.listing = Listing::gone;
  }
  if (told.whole)
    std::erase_if(told.endpoints, [](const auto& l) { return l.endpoint.listing == Listing::gone; });
  else
    for (const auto& id : resolved.superseded)
      if (named.count(id) == 0) {
        told.endpoints.push_back(entries_.at(id).listed);
        told.endpoints.back().endpoint.listing = Listing::gone;
      }
  resolved.list = std::move(told);
  return resolved;
}

std::vector<std::string> AddressOwners::update(const Catalogue& told) {
  auto before = told.whole ? std::exchange(entries_, {}) : entries_;
  std::vector<std::string> changed;
  for (const auto& listed : told.endpoints) {
    const EndpointId& id = listed.endpoint.id;
    if (listed.endpoint.listing == Listing::gone) {
      entries_.erase(id);
      continue;
    }
    const auto known = before.find(id);
    const bool same = known != before.end() && known->second.listed.address == listed.address &&
                      known->second.listed.started_ms == listed.started_ms;
    Entry entry = same ? known->second : Entry{{}, lists_};
    entry.listed = listed;
    entries_[id] = std::move(entry);
    if (!same) changed.push_back(listed.address);
  }
  return changed;
}

// Of two that one list names first, the later start counts, then the name, so that all relays agree.
std::vector<EndpointId> AddressOwners::supersede(const std::string& address) {
  std::vector<std::pair<const EndpointId, Entry>*> owners;
  for (auto& entry : entries_)
    if (entry.second.listed.address == address && !entry.second.superseded) owners.push_back(&entry);
  if (owners.size() < 2) return {};
  const auto newest = std::max_element(owners.begin(), owners.end(), [](const auto* a, const auto* b) {
    return std::tie(a->second.told, a->second.listed.started_ms, a->first) <
           std::tie(b->second.told, b->second.listed.started_ms, b->first);
  });
  std::vector<EndpointId> others;
  for (auto* owner : owners) {
    if (owner == *newest) continue;
    owner->second.superseded = true;
    others.push_back(owner->first);
  }
  return others;
}

bool AddressOwners::owns(const EndpointId& id) const {
  const auto it = entries_.find(id);
  return it != entries_.end() && !it->second.superseded;
}

}  // namespace cedarplank::platform
