#include "relay/partner_registry.hpp"

namespace cedarplank::relay {

DestinationId PartnerRegistry::intern(const std::string& name) {
  const auto [it, inserted] = ids_.try_emplace(name, static_cast<DestinationId>(names_.size()));
  if (inserted) names_.push_back(name);
  return it->second;
}

Endpoint PartnerRegistry::to_module_endpoint(const config::PartnerEndpoint& e) {
  const auto since = listed_since_.find(e.id);
  return {e.id,
          intern(e.destination),
          e.zone,
          e.kind,
          e.listing,
          e.weight,
          since == listed_since_.end() ? 0 : since->second};
}

PartnerRegistry::Update PartnerRegistry::apply_list(const config::PartnerList& list, Time now) {
  Update update;
  update.whole = awaiting_first_list_;
  std::map<EndpointId, config::PartnerEndpoint> next;
  for (const auto& e : list.endpoints) {
    const auto* before = endpoint(e.id);
    if (before == nullptr) {
      const auto it = gone_.find(e.id);
      if (it != gone_.end()) before = &it->second;
    }
    if (before != nullptr && !before->same_address(e)) {
      update.problems.push_back(
          "endpoint '" + e.id + "' moved from " + before->destination + " at " + before->address +
          before->path + " to " + e.destination + " at " + e.address + e.path +
          ": a new destination or address needs a new id; the endpoint is treated as gone");
      continue;
    }
    if (e.listing == Listing::gone) continue;
    next[e.id] = e;
  }
  for (const auto& [id, e] : next) {
    const auto it = listed_.find(id);
    if (it == listed_.end() && !awaiting_first_list_) listed_since_[id] = now;
    if (awaiting_first_list_ || it == listed_.end() || !(it->second == e))
      update.endpoints.push_back(to_module_endpoint(e));
    gone_.erase(id);
  }
  for (const auto& [id, e] : listed_) {
    if (next.count(id)) continue;
    Endpoint ended = to_module_endpoint(e);
    ended.listing = Listing::gone;
    update.endpoints.push_back(std::move(ended));
    listed_since_.erase(id);
    if (gone_.emplace(id, e).second) gone_order_.push_back(id);
    if (gone_order_.size() > kGoneEndpointsMax) {
      gone_.erase(gone_order_.front());
      gone_order_.pop_front();
    }
  }
  listed_ = std::move(next);
  listed_counts_.clear();
  for (const auto& [id, e] : listed_) listed_counts_[e.destination]++, kinds_[intern(e.destination)] = e.kind;
  awaiting_first_list_ = false;
  version_ = list.version;
  return update;
}

std::optional<DestinationId> PartnerRegistry::find_destination(const std::string& name) const {
  // A destination without listed endpoints is not returned: its messages could only wait for their deadline.
  if (listed_counts_.count(name) == 0) return std::nullopt;
  return ids_.at(name);
}

int PartnerRegistry::kind_of(DestinationId id) const {
  const auto it = kinds_.find(id);
  return it == kinds_.end() ? 0 : it->second;
}

const config::PartnerEndpoint* PartnerRegistry::endpoint(const EndpointId& id) const {
  const auto it = listed_.find(id);
  return it == listed_.end() ? nullptr : &it->second;
}

config::PartnerList PartnerRegistry::list() const {
  config::PartnerList list;
  list.version = version_;
  for (const auto& [id, e] : listed_) list.endpoints.push_back(e);
  return list;
}

}  // namespace cedarplank::relay
