#include "relay/relay_assembly.hpp"

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
  s.max_open_bytes = static_cast<std::size_t>(settings.trace_memory),
  s.max_steps_per_trace = settings.trace_steps;
  s.sample = settings.trace_sample, s.max_traces_per_second = settings.trace_per_s;
  s.watch.insert(settings.trace_watch.begin(), settings.trace_watch.end());
  return s;
}

trace::MessageInfo head_of(const NewMessage& message, const std::string& destination, Time now,
                           const config::RelaySettings& settings) {
  trace::MessageInfo head;
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

AnswerSink* RelayAssembly::AnswerRouter::remove(MessageId id) {
  const auto it = pending.find(id);
  if (it == pending.end()) return nullptr;
  const PendingAnswer removed = it->second;
  pending.erase(it);
  admission_control.released(removed.tenant, removed.bytes);
  return removed.sink;
}
void RelayAssembly::AnswerRouter::served(MessageId id, const CallResult& ending) {
  if (auto* a = remove(id)) a->served(id, ending);
}
void RelayAssembly::AnswerRouter::refused(MessageId id, Time come_back, const AttemptSummary& account) {
  if (auto* a = remove(id)) a->refused(id, come_back, account);
}
void RelayAssembly::AnswerRouter::failed(MessageId id, const AttemptSummary& account) {
  if (auto* a = remove(id)) a->failed(id, account);
}

RelayAssembly::RelayAssembly(const config::RelaySettings& settings, std::unique_ptr<Decider> decider,
                             Ports ports)
    : settings_(settings),
      admission_control_(admission_settings(settings)),
      trace_recorder_(ports.trace_sink
                          ? std::make_unique<trace::Recorder>(trace_settings(settings), settings.seed,
                                                              std::move(ports.trace_sink))
                          : nullptr),
      core_(settings.dispatcher, std::move(decider), core_ports(ports)) {}

Core::Ports RelayAssembly::core_ports(const Ports& ports) {
  if (!ports.make_interceptors)
    return {ports.transport,       router_, ports.list, ports.peer_channel, ports.log,
            trace_recorder_.get(), nullptr};
  const auto interfaces = ports.make_interceptors(router_);
  return {interfaces.transport,  interfaces.answers,  ports.list, ports.peer_channel, ports.log,
          trace_recorder_.get(), &interfaces.observer};
}

void RelayAssembly::update_settings(const config::RelaySettings& settings) {
  admission_control_.update_settings(admission_settings(settings));
  if (trace_recorder_) trace_recorder_->update_settings(trace_settings(settings));
}

AcceptResult RelayAssembly::accept(Time now, NewMessage message, const std::string& destination,
                                   AnswerSink& answers, const std::function<void(MessageId)>& on_id) {
  const MessageId id = next_id_++;
  const int tenant = message.tenant;
  const auto bytes = static_cast<std::int64_t>(message.body.size());
  std::optional<trace::MessageInfo> head;
  if (trace_recorder_) head = head_of(message, destination, now, settings_);
  on_id(id);
  AcceptResult entry;
  const auto answer = admission_control_.decide(tenant, bytes);
  if (answer != admission::Decision::accept && !core_.stopping()) {
    core_.count_rejected();
    entry = {Core::AcceptStatus::full, text_of(answer)};
  } else {
    router_.pending[id] = {&answers, tenant, bytes};
    admission_control_.accepted(tenant, bytes);
    entry.status = core_.accept(now, id, std::move(message));
    if (entry.status == Core::AcceptStatus::full) entry.reason = text_of(admission::Decision::full);
    if (entry.status == Core::AcceptStatus::stopping) entry.reason = "the relay is stopping; not taken";
    if (entry.status != Core::AcceptStatus::accepted) router_.remove(id);
  }
  if (head && entry.status == Core::AcceptStatus::accepted) trace_recorder_->begin(now, id, std::move(*head));
  if (head && entry.status != Core::AcceptStatus::accepted)
    trace_recorder_->record_rejection(now, id, std::move(*head), entry.reason);
  return entry;
}

void RelayAssembly::restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message,
                            const std::string& destination, Time deadline, const PriorAttempts& before,
                            AnswerSink& answers) {
  const auto bytes = static_cast<std::int64_t>(message->body.size());
  router_.pending[id] = {&answers, message->tenant, bytes};
  admission_control_.accepted(message->tenant, bytes);
  if (trace_recorder_) trace_recorder_->begin(now, id, head_of(*message, destination, now, settings_));
  core_.restore(now, id, std::move(message), deadline, before);
}

void RelayAssembly::withdraw(Time now, MessageId id) {
  router_.remove(id);
  core_.withdraw(now, id);
}

void RelayAssembly::attempt_sent(Time now, const OutgoingCall& call, std::uint64_t connection,
                                 std::uint32_t stream) {
  if (!trace_recorder_) return;
  trace::Step step;
  step.at = now, step.what = trace::Step::What::carried, step.attempt = call.attempt;
  step.connection = connection, step.stream = stream;
  trace_recorder_->record_step(call.message_id, std::move(step));
}

}  // namespace cedarplank::relay
