#include "relay/story.hpp"

namespace cedarplank::relay {

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
  const auto place = static_cast<std::size_t>(message.message_class);
  const auto& cls = settings.dispatcher.classes[place];
  head.key = message.idempotency_key, head.destination = destination;
  head.message_class = settings.names.classes[place];
  if (message.tenant >= 0) head.tenant = settings.names.tenants[static_cast<std::size_t>(message.tenant)];
  head.connection = message.client_connection, head.stream = message.client_stream;
  head.deadline = now + std::min(message.time_left, cls.deadline);
  // From now on: a client that asks for a short time to live does not thereby make its message late.
  head.aim = std::min(now + cls.aim, head.deadline);
  return head;
}

}  // namespace cedarplank::relay
