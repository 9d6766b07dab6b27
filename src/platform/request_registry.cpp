#include "platform/request_registry.hpp"

#include <algorithm>

namespace cedarplank::platform {
namespace {

constexpr Time kDuplicateLifetime = 60'000'000;  // 2 MSL as common systems set it
constexpr std::size_t kRefusalsDivisor = 8;      // this part of the room is for refusals

}  // namespace

Time final_answer_retention(const Settings& settings) {
  Time longest = 0;
  for (const auto& cls : settings.classes) longest = std::max(longest, cls.deadline);
  return std::max(2 * longest, kDuplicateLifetime);
}

RequestRegistry::RequestRegistry(Time retention, std::size_t room)
    : ends_(retention, (room - room / kRefusalsDivisor) / FinalAnswerTable::kEntryBytes,
            FinalAnswerTable::WhenFull::grow),
      refusals_(retention, room / kRefusalsDivisor / FinalAnswerTable::kEntryBytes,
                FinalAnswerTable::WhenFull::forget_oldest) {}

std::optional<RequestRegistry::KnownRequest> RequestRegistry::find(Time now, const std::string& name,
                                                                   std::uint64_t fingerprint) {
  if (const auto it = ids_by_name_.find(name); it != ids_by_name_.end()) {
    const HeldRequest& held = held_.at(it->second);
    return KnownRequest{held.state, held.fingerprint == fingerprint, it->second, held.since, 0};
  }
  const FinalAnswer* end = ends_.find(now, name);
  if (end == nullptr) end = refusals_.find(now, name);
  if (end == nullptr) return std::nullopt;
  return KnownRequest{end->how, end->fingerprint == fingerprint, 0, end->since, end->come_back};
}

void RequestRegistry::add(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint,
                          Client client) {
  held_[id] = {name, RequestState::waiting, fingerprint, now, {}};
  ids_by_name_[name] = id;
  add_waiter(id, client);
}

void RequestRegistry::add_waiter(MessageId id, Client client) {
  held_.at(id).waiters.push_back({client});
  ids_by_client_[client] = id;
}

void RequestRegistry::restore(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint) {
  held_[id] = {name, RequestState::accepted, fingerprint, now, {}};
  ids_by_name_[name] = id;
}

bool RequestRegistry::is_waiting(MessageId id) const {
  const auto it = held_.find(id);
  return it != held_.end() && it->second.state == RequestState::waiting;
}

std::vector<RequestRegistry::Client> RequestRegistry::accept(Time now, MessageId id) {
  HeldRequest& held = held_.at(id);
  held.state = RequestState::accepted, held.since = now;
  std::vector<Client> waited;
  for (const auto& waiter : std::exchange(held.waiters, {})) {
    ids_by_client_.erase(waiter.client);
    waited.push_back(waiter.client);
  }
  return waited;
}

RequestRegistry::HeldRequest RequestRegistry::extract(MessageId id) {
  const auto it = held_.find(id);
  HeldRequest held = std::move(it->second);
  held_.erase(it);
  ids_by_name_.erase(held.name);
  for (const auto& waiter : held.waiters) ids_by_client_.erase(waiter.client);
  return held;
}

RequestRegistry::EndedRequest RequestRegistry::finish(Time now, MessageId id, RequestState how,
                                                      Time come_back) {
  if (held_.count(id) == 0) return {};
  const HeldRequest held = extract(id);
  ends_.add(held.name, {how, held.fingerprint, now, come_back});
  EndedRequest ended{held.name, {}};
  for (const auto& waiter : held.waiters) ended.unanswered.push_back(waiter.client);
  return ended;
}

std::optional<RequestRegistry::CancelledRequest> RequestRegistry::remove_waiter(Client client, bool reads) {
  const auto it = ids_by_client_.find(client);
  if (it == ids_by_client_.end()) return std::nullopt;
  const MessageId id = it->second;
  auto& waiters = held_.at(id).waiters;
  const auto waiter =
      std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& w) { return w.client == client; });
  if (reads)
    waiter->sends_no_more = true;
  else
    waiters.erase(waiter), ids_by_client_.erase(it);
  if (std::any_of(waiters.begin(), waiters.end(), [](const Waiter& w) { return !w.sends_no_more; }))
    return std::nullopt;
  const HeldRequest held = extract(id);
  CancelledRequest withdrawn{id, held.name, held.fingerprint, {}};
  for (const auto& left : held.waiters) withdrawn.still_reading.push_back(left.client);
  return withdrawn;
}

std::string RequestRegistry::client_id_of(MessageId id) const {
  const auto it = held_.find(id);
  return it == held_.end() ? std::string() : it->second.name;
}

}  // namespace cedarplank::platform
