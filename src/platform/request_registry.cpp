#include "platform/request_registry.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cedarplank::platform {
namespace {

constexpr Time kDuplicateLifetime = 60'000'000;  // 2 MSL as common systems set it

// With 64 bits, two different ids are mistaken for one once in 10^15.
std::uint64_t hash_of(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

}  // namespace

Time ends_kept(const Settings& settings) {
  Time longest = 0;
  for (const auto& cls : settings.classes) longest = std::max(longest, cls.deadline);
  return std::max(2 * longest, kDuplicateLifetime);
}

const char* name_of(RequestState state) {
  switch (state) {
    case RequestState::waiting:
      return "waiting";
    case RequestState::accepted:
      return "accepted";
    case RequestState::delivered:
      return "delivered";
    case RequestState::returned:
      return "returned";
    case RequestState::failed:
      return "failed";
  }
  return "unknown";
}

std::optional<RequestRegistry::Known> RequestRegistry::find(Time now, const std::string& name,
                                                            std::uint64_t fingerprint) {
  if (const auto it = names_.find(name); it != names_.end()) {
    const Held& held = held_.at(it->second);
    return Known{held.state, held.fingerprint == fingerprint, it->second, held.since, 0};
  }
  forget_old(now);
  const auto it = ends_.find(hash_of(name));
  if (it == ends_.end()) return std::nullopt;
  const End& end = it->second;
  return Known{end.how, end.fingerprint == fingerprint, 0, end.since, end.come_back};
}

void RequestRegistry::take(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint,
                           Client client) {
  held_[id] = {name, RequestState::waiting, fingerprint, now, {}};
  names_[name] = id;
  join(id, client);
}

void RequestRegistry::join(MessageId id, Client client) {
  held_.at(id).waiters.push_back({client});
  clients_[client] = id;
}

void RequestRegistry::restore(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint) {
  held_[id] = {name, RequestState::accepted, fingerprint, now, {}};
  names_[name] = id;
}

bool RequestRegistry::is_waiting(MessageId id) const {
  const auto it = held_.find(id);
  return it != held_.end() && it->second.state == RequestState::waiting;
}

std::vector<RequestRegistry::Client> RequestRegistry::accept(Time now, MessageId id) {
  Held& held = held_.at(id);
  held.state = RequestState::accepted, held.since = now;
  std::vector<Client> waited;
  for (const auto& waiter : std::exchange(held.waiters, {})) {
    clients_.erase(waiter.client);
    waited.push_back(waiter.client);
  }
  return waited;
}

RequestRegistry::Held RequestRegistry::drop(MessageId id) {
  const auto it = held_.find(id);
  Held held = std::move(it->second);
  held_.erase(it);
  names_.erase(held.name);
  for (const auto& waiter : held.waiters) clients_.erase(waiter.client);
  return held;
}

RequestRegistry::Ended RequestRegistry::end(Time now, MessageId id, RequestState how, Time come_back) {
  if (held_.count(id) == 0) return {};
  const Held held = drop(id);
  remember(now, held.name, held.fingerprint, how, come_back);
  Ended ended{held.name, {}};
  for (const auto& waiter : held.waiters) ended.waiting.push_back(waiter.client);
  return ended;
}

void RequestRegistry::remember(Time now, const std::string& name, std::uint64_t fingerprint, RequestState how,
                               Time come_back) {
  const auto hash = hash_of(name);
  // The first final answer counts.
  if (!ends_.emplace(hash, End{how, fingerprint, now, come_back}).second) return;
  in_order_.push_back({now, hash});
  forget_old(now);
}

std::optional<RequestRegistry::Withdrawn> RequestRegistry::leave(Client client, bool reads) {
  const auto it = clients_.find(client);
  if (it == clients_.end()) return std::nullopt;
  const MessageId id = it->second;
  auto& waiters = held_.at(id).waiters;
  const auto waiter =
      std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& w) { return w.client == client; });
  if (reads)
    waiter->leaving = true;
  else
    waiters.erase(waiter), clients_.erase(it);
  if (std::any_of(waiters.begin(), waiters.end(), [](const Waiter& w) { return !w.leaving; }))
    return std::nullopt;
  const Held held = drop(id);
  Withdrawn withdrawn{id, held.name, held.fingerprint, {}};
  for (const auto& left : held.waiters) withdrawn.reading.push_back(left.client);
  return withdrawn;
}

std::string RequestRegistry::name_of(MessageId id) const {
  const auto it = held_.find(id);
  return it == held_.end() ? std::string() : it->second.name;
}

void RequestRegistry::forget_old(Time now) {
  while (!in_order_.empty()) {
    const bool old = now - in_order_.front().at > kept_;
    if (!old && in_order_.size() <= kMost) break;
    forgotten_ += !old;
    ends_.erase(in_order_.front().hash);
    in_order_.pop_front();
  }
}

}  // namespace cedarplank::platform
