// Logs attempts on their way between the core and the journal's coordinator: each attempt that ends without
// delivery, each retry, and every attempt of a message that an earlier run accepted. Passes everything on
// unchanged.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "journal/coordinator.hpp"
#include "platform/event_log.hpp"

namespace cedarplank::platform {

class AttemptLog final : public relay::Transport, public relay::CoreObserver {
 public:
  using ClientIdOf =
      std::function<std::string(MessageId)>;  // the client's id; empty once the message has ended
  AttemptLog(journal::JournalCoordinator& coordinator, EventLog& log, ClientIdOf client_id_of)
      : coordinator_(coordinator), log_(log), client_id_of_(std::move(client_id_of)) {}

  // Logs all attempts of this message until forget().
  void follow(MessageId id) { followed_.insert(id); }
  void forget(MessageId id) { followed_.erase(id); }

  // relay::Transport
  void send(const relay::OutgoingCall& call) override;
  CancelResult cancel(relay::CallId call) override { return coordinator_.cancel(call); }
  bool cancel_unsent(relay::CallId call) override { return coordinator_.cancel_unsent(call); }
  bool cancel_buffered(relay::CallId call) override { return coordinator_.cancel_buffered(call); }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId& endpoint) override {
    return coordinator_.cancel_all_unsent(endpoint);
  }
  void close_idle(const EndpointId& endpoint) override { coordinator_.close_idle(endpoint); }
  void probe(const EndpointId& endpoint) override { coordinator_.probe(endpoint); }
  // relay::CoreObserver
  void set_time(Time now) override { coordinator_.set_time(now); }
  void message_accepted(MessageId id, const std::shared_ptr<const relay::NewMessage>& message,
                        Time deadline) override {
    coordinator_.message_accepted(id, message, deadline);
  }
  void attempt_ended(const relay::OutgoingCall& call, const relay::CallResult& ending) override;
  void message_withdrawn(MessageId id) override { coordinator_.message_withdrawn(id); }
  void endpoint_health_changed(const action::Seen& seen) override {
    coordinator_.endpoint_health_changed(seen);
  }

 private:
  journal::JournalCoordinator& coordinator_;
  EventLog& log_;
  ClientIdOf client_id_of_;
  std::set<MessageId> followed_;  // at most the recovered messages
};

}  // namespace cedarplank::platform
