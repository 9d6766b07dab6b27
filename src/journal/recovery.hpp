// Recovery after a restart: turns the state read from the journal into the messages and endpoint facts that
// the new core and module start with. Free of I/O and clock.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "journal/state_image.hpp"

namespace cedarplank::journal {

// The machine's clocks, read at one moment.
struct Clock {
  std::string boot_id;  // boot id of the machine; CLOCK_MONOTONIC is comparable within one boot
  Time monotonic = 0;   // CLOCK_MONOTONIC
  Time wall = 0;        // since 1970-01-01 UTC
};

// Makes the first record of a run. Within one boot the monotonic clock continues, whatever happened to the
// wall clock. Across boots the wall clock tells how long the relay was down; if it was moved back, the
// downtime counts as zero. A message never gets more time than it had left at the last record.
record::Base make_base(const StateImage& image, const Clock& now);

// The attempts made for a message in earlier runs. Attempts without an outcome may have taken effect.
relay::PriorAttempts prior_attempts_of(const record::Taken& message);

// Resolves names to ids and indexes of this run's settings; nothing where a class or tenant no longer exists.
struct NameResolver {
  std::function<DestinationId(const std::string&)> destination;
  std::function<std::optional<int>(const std::string&)> message_class;
  std::function<std::optional<int>(const std::string&)> tenant;
};

struct Recovered {
  struct Message {
    MessageId id = 0;
    std::shared_ptr<const relay::NewMessage> message;
    Time deadline = 0;
    relay::PriorAttempts prior_attempts;
  };
  std::vector<Message> messages;  // the core and module decide about them, also those past their deadline
  // Their class is no longer in the settings: see JournalCoordinator::end_message_without_class().
  std::vector<MessageId> without_class;
  std::vector<event::Known> known_endpoints;  // endpoint facts, to be passed on before the messages
};
// What the new run takes over at the time `now`.
Recovered recover(const StateImage& image, Time now, const NameResolver& resolver);

}  // namespace cedarplank::journal
