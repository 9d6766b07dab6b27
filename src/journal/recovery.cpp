#include "journal/recovery.hpp"

#include <algorithm>

namespace cedarplank::journal {

// Whether the monotonic clock has continued since `before`. If a boot id could not be read, the clock itself
// decides, because it restarts with the machine. Guards against deadlines computed from a stepped wall clock
// although the machine was not rebooted.
static bool same_boot(const record::Base& before, const Clock& now, Time last_at) {
  const bool unknown = before.boot.empty() || now.boot_id.empty();
  return (unknown || before.boot == now.boot_id) && now.monotonic >= last_at;
}

record::Base make_base(const StateImage& image, const Clock& now) {
  record::Base base{now.boot_id, now.monotonic, now.wall, image.next_id(), 0, image.base().run + 1};
  const auto& before = image.base();
  if (before.run == 0 || same_boot(before, now, image.last_record_time())) return base;
  const Time then = before.monotonic + std::max<Time>(0, now.wall - before.wall);
  base.shift = now.monotonic - std::max(then, image.last_record_time());
  return base;
}

relay::PriorAttempts prior_attempts_of(const record::Taken& m) {
  relay::PriorAttempts b{m.attempts, m.ran ? m.ran_zone : -1, m.ran ? m.ran_at : 0, m.last};
  for (const auto& a : m.out)
    if (b.ran_zone < 0 || a.at < b.ran_sent_at) b.ran_zone = a.zone, b.ran_sent_at = a.at;
  if (!m.out.empty()) b.last_outcome = "the relay was down";
  return b;
}

Recovered recover(const StateImage& image, Time now, const NameResolver& resolver) {
  Recovered r;
  for (const auto& [id, held] : image.held()) {
    const auto cls = resolver.message_class(held.state.message_class);
    if (!cls) {
      r.without_class.push_back(id);
      continue;
    }
    auto message = std::make_shared<relay::NewMessage>(*held.state.message);
    message->destination = resolver.destination(held.state.destination);
    message->message_class = *cls;
    message->tenant = held.state.tenant.empty() ? -1 : resolver.tenant(held.state.tenant).value_or(-1);
    message->time_left = std::max<Time>(0, held.state.deadline - now);
    r.messages.push_back({id, std::move(message), held.state.deadline, prior_attempts_of(held.state)});
  }
  std::map<EndpointId, event::Known> known;
  for (const auto& [endpoint, wait] : image.waits())
    if (wait.first.until > now) known[endpoint].wait_left = wait.first.until - now;
  for (const auto& [endpoint, seen] : image.health()) {
    auto& k = known[endpoint];
    k.health = seen.first.health, k.usual_rate = seen.first.usual_rate;
    k.for_so_long = now - seen.first.since;
  }
  for (auto& [endpoint, k] : known) {
    k.endpoint = endpoint;
    r.known_endpoints.push_back(std::move(k));
  }
  return r;
}

}  // namespace cedarplank::journal
