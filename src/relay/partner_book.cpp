#include "relay/partner_book.hpp"

namespace cedarplank::relay {

DestinationId PartnerBook::intern(const std::string& name) {
  const auto [it, inserted] = ids_.try_emplace(name, static_cast<DestinationId>(names_.size()));
  if (inserted) names_.push_back(name);
  return it->second;
}

Endpoint PartnerBook::as_event(const config::PartnerEndpoint& e) {
  const auto since = since_.find(e.id);
  return {e.id,
          intern(e.destination),
          e.zone,
          e.kind,
          e.listing,
          e.weight,
          since == since_.end() ? 0 : since->second};
}

PartnerBook::Update PartnerBook::take(const config::PartnerList& list, Time now) {
  Update update;
  update.whole = first_;
  std::map<EndpointId, config::PartnerEndpoint> next;
  for (const auto& e : list.endpoints) {
    const auto* before = endpoint(e.id);
    if (before == nullptr) {
      const auto it = gone_.find(e.id);
      if (it != gone_.end()) before = &it->second;
    }
    if (before != nullptr && !before->same_place(e)) {
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
    const auto it = now_.find(id);
    if (it == now_.end() && !first_) since_[id] = now;
    if (first_ || it == now_.end() || !(it->second == e)) update.endpoints.push_back(as_event(e));
    gone_.erase(id);
  }
  for (const auto& [id, e] : now_) {
    if (next.count(id)) continue;
    Endpoint ended = as_event(e);
    ended.listing = Listing::gone;
    update.endpoints.push_back(std::move(ended));
    since_.erase(id);
    if (gone_.emplace(id, e).second) gone_order_.push_back(id);
    if (gone_order_.size() > kGoneRemembered) {
      gone_.erase(gone_order_.front());
      gone_order_.pop_front();
    }
  }
  now_ = std::move(next);
  active_.clear();
  for (const auto& [id, e] : now_) active_[e.destination]++, kinds_[intern(e.destination)] = e.kind;
  first_ = false;
  version_ = list.version;
  return update;
}

std::optional<DestinationId> PartnerBook::destination(const std::string& name) const {
  // A destination without listed endpoints is not returned: its messages could only wait for their deadline.
  if (active_.count(name) == 0) return std::nullopt;
  return ids_.at(name);
}

int PartnerBook::kind_of(DestinationId id) const {
  const auto it = kinds_.find(id);
  return it == kinds_.end() ? 0 : it->second;
}

const config::PartnerEndpoint* PartnerBook::endpoint(const EndpointId& id) const {
  const auto it = now_.find(id);
  return it == now_.end() ? nullptr : &it->second;
}

config::PartnerList PartnerBook::list() const {
  config::PartnerList list;
  list.version = version_;
  for (const auto& [id, e] : now_) list.endpoints.push_back(e);
  return list;
}

}  // namespace cedarplank::relay
