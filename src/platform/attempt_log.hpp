// Logs attempts on their way between the core and the journal's coordinator: each attempt that ends without
// delivery, each retry, and every attempt of a message that an earlier run accepted. Passes everything on
// unchanged.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "journal/keeper.hpp"
#include "platform/event_log.hpp"

namespace cedarplank::platform {

class AttemptLog final : public relay::Transport, public relay::Witness {
 public:
  using NameOf = std::function<std::string(MessageId)>;  // the client's id; empty once the message has ended
  AttemptLog(journal::Keeper& coordinator, EventLog& log, NameOf client_id_of)
      : keeper_(coordinator), log_(log), name_of_(std::move(client_id_of)) {}

  // Logs all attempts of this message until forget().
  void follow(MessageId id) { followed_.insert(id); }
  void forget(MessageId id) { followed_.erase(id); }

  // relay::Transport
  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override { return keeper_.cancel(call); }
  bool take_back(relay::CallId call) override { return keeper_.take_back(call); }
  bool withhold(relay::CallId call) override { return keeper_.withhold(call); }
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override { return keeper_.recall(endpoint); }
  void close_idle(const EndpointId& endpoint) override { keeper_.close_idle(endpoint); }
  void probe(const EndpointId& endpoint) override { keeper_.probe(endpoint); }
  // relay::Witness
  void at(Time now) override { keeper_.at(now); }
  void taken(MessageId id, const std::shared_ptr<const relay::NewMessage>& message, Time deadline) override {
    keeper_.taken(id, message, deadline);
  }
  void ended(const relay::CallOrder& call, const relay::Ending& ending) override;
  void withdrawn(MessageId id) override { keeper_.withdrawn(id); }
  void seen(const action::Seen& seen) override { keeper_.seen(seen); }

 private:
  journal::Keeper& keeper_;
  EventLog& log_;
  NameOf name_of_;
  std::set<MessageId> followed_;  // at most the recovered messages
};

}  // namespace cedarplank::platform
