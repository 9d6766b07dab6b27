// Stands between the core and the keeper and writes down attempts: each that ends without having been served,
// each retry, and every one of a message that an earlier run took on. Decides and changes nothing.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "journal/keeper.hpp"
#include "platform/event_log.hpp"

namespace cedarplank::platform {

class AttemptLog final : public relay::Transport, public relay::Witness {
 public:
  using NameOf = std::function<std::string(MessageId)>;  // as its client names it; empty where it is over
  AttemptLog(journal::Keeper& keeper, EventLog& log, NameOf name_of)
      : keeper_(keeper), log_(log), name_of_(std::move(name_of)) {}

  // All attempts of this message are written down until forget().
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
  std::set<MessageId> followed_;  // as many as were recovered
};

}  // namespace cedarplank::platform
