#include "relay/desk.hpp"

#include <algorithm>
#include <optional>

namespace cedarplank::relay {
namespace {

admission::Settings admission_settings(const config::RelaySettings& settings) {
  admission::Settings s;
  s.held_max = static_cast<std::size_t>(settings.dispatcher.open_max);
  s.bytes_max = settings.held_bytes_max, s.lag_target = settings.late_at;
  s.streams_max = settings.client_streams_max;
  s.streams_min = std::min(s.streams_min, s.streams_max);
  for (const auto& t : settings.dispatcher.tenants) s.weights.push_back(t.quota_per_s);
  return s;
}

trace::Settings trace_settings(const config::RelaySettings& settings) {
  trace::Settings s;
  s.bytes_max = static_cast<std::size_t>(settings.trace_memory), s.steps_max = settings.trace_steps;
  s.sample = settings.trace_sample, s.per_second = settings.trace_per_s;
  s.watch.insert(settings.trace_watch.begin(), settings.trace_watch.end());
  return s;
}

trace::Head head_of(const NewMessage& message, const std::string& destination, Time now,
                    const config::RelaySettings& settings) {
  trace::Head head;
  const auto class_index = static_cast<std::size_t>(message.message_class);
  const auto& cls = settings.dispatcher.classes[class_index];
  head.key = message.idempotency_key, head.destination = destination;
  head.message_class = settings.names.classes[class_index];
  if (message.tenant >= 0) head.tenant = settings.names.tenants[static_cast<std::size_t>(message.tenant)];
  head.connection = message.client_connection, head.stream = message.client_stream;
  head.deadline = now + std::min(message.time_left, cls.deadline);
  // The aim counts from now, whatever the time to live: a short TTL does not make a message late.
  head.aim = std::min(now + cls.aim, head.deadline);
  return head;
}

}  // namespace

Answers* Desk::Router::take(MessageId id) {
  const auto it = places.find(id);
  if (it == places.end()) return nullptr;
  const Place removed = it->second;
  places.erase(it);
  door.over(removed.tenant, removed.bytes);
  return removed.to;
}
void Desk::Router::served(MessageId id, const Ending& ending) {
  if (auto* a = take(id)) a->served(id, ending);
}
void Desk::Router::refused(MessageId id, Time come_back, const Account& account) {
  if (auto* a = take(id)) a->refused(id, come_back, account);
}
void Desk::Router::failed(MessageId id, const Account& account) {
  if (auto* a = take(id)) a->failed(id, account);
}

Desk::Desk(const config::RelaySettings& settings, std::unique_ptr<Decider> decider, Ports ports)
    : settings_(settings),
      door_(admission_settings(settings)),
      stories_(ports.story ? std::make_unique<trace::Recorder>(trace_settings(settings), settings.seed,
                                                               std::move(ports.story))
                           : nullptr),
      core_(settings.dispatcher, std::move(decider), core_ports(ports)) {}

Core::Ports Desk::core_ports(const Ports& ports) {
  if (!ports.between)
    return {ports.transport, router_, ports.list, ports.notes, ports.log, stories_.get(), nullptr};
  const auto interfaces = ports.between(router_);
  return {interfaces.transport, interfaces.answers, ports.list, ports.notes, ports.log,
          stories_.get(),       &interfaces.witness};
}

void Desk::set(const config::RelaySettings& settings) {
  door_.set(admission_settings(settings));
  if (stories_) stories_->set(trace_settings(settings));
}

Entry Desk::take(Time now, NewMessage message, const std::string& destination, Answers& answers,
                 const std::function<void(MessageId)>& on_id) {
  const MessageId id = next_++;
  const int tenant = message.tenant;
  const auto bytes = static_cast<std::int64_t>(message.body.size());
  std::optional<trace::Head> head;
  if (stories_) head = head_of(message, destination, now, settings_);
  on_id(id);
  Entry entry;
  const auto answer = door_.ask(tenant, bytes);
  if (answer != admission::Answer::take && !core_.stopping()) {
    core_.turned_away();
    entry = {Core::Taken::full, text_of(answer)};
  } else {
    router_.places[id] = {&answers, tenant, bytes};
    door_.taken(tenant, bytes);
    entry.taken = core_.take(now, id, std::move(message));
    if (entry.taken == Core::Taken::full) entry.why = text_of(admission::Answer::full);
    if (entry.taken == Core::Taken::stopping) entry.why = "the relay is stopping; not taken";
    if (entry.taken != Core::Taken::yes) router_.take(id);
  }
  if (head && entry.taken == Core::Taken::yes) stories_->begin(now, id, std::move(*head));
  if (head && entry.taken != Core::Taken::yes) stories_->turned_away(now, id, std::move(*head), entry.why);
  return entry;
}

void Desk::restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message,
                   const std::string& destination, Time deadline, const Before& before, Answers& answers) {
  const auto bytes = static_cast<std::int64_t>(message->body.size());
  router_.places[id] = {&answers, message->tenant, bytes};
  door_.taken(message->tenant, bytes);
  if (stories_) stories_->begin(now, id, head_of(*message, destination, now, settings_));
  core_.restore(now, id, std::move(message), deadline, before);
}

void Desk::withdraw(Time now, MessageId id) {
  router_.take(id);
  core_.withdraw(now, id);
}

void Desk::carried(Time now, const CallOrder& call, std::uint64_t connection, std::uint32_t stream) {
  if (!stories_) return;
  trace::Step step;
  step.at = now, step.what = trace::Step::What::carried, step.attempt = call.attempt;
  step.connection = connection, step.stream = stream;
  stories_->step(call.message_id, std::move(step));
}

}  // namespace cedarplank::relay
