// Lookup of messages that the relay holds and of final answers that it has given, for a relay that keeps a
// journal. The protocol servers use this interface so that they don't depend on the journal.
#pragma once

#include <functional>
#include <string>

#include "relay/core.hpp"

namespace cedarplank::relay {

// Finds messages by idempotency key or id, and keeps their answers available to clients that ask later.
class MessageRegistry {
 public:
  struct Entry {
    enum class State {
      unknown,  // never accepted, or no longer stored
      held,     // accepted, without a final answer yet
      served,
      refused,
      failed,
      key_conflict  // the idempotency key belongs to a message with different content
    } state = State::unknown;
    MessageId id = 0;
    std::string tenant;
    AttemptSummary summary;
    std::string message_class;
    Time come_back = 0;
  };
  virtual ~MessageRegistry() = default;
  // Finds a message by its idempotency key, within tenant and destination.
  virtual Entry find(const std::string& tenant, const std::string& destination,
                     const std::string& message_class, const NewMessage& message) const = 0;
  // Finds a message by its id.
  virtual Entry find_by_id(MessageId id) const = 0;
  // Calls `then` once the message would survive a crash of the relay.
  virtual void when_durable(MessageId id, std::function<void()> then) = 0;
  // Keeps the message's final answer for a later request, even where it has no idempotency key.
  virtual void keep_answer(MessageId id) = 0;
  // The final answer has been delivered to the client; it need not be stored any longer.
  virtual void answer_delivered(MessageId id) = 0;
};

}  // namespace cedarplank::relay
