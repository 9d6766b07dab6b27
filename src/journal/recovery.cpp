#include "journal/recovery.hpp"

#include <algorithm>

namespace cedarplank::journal {

// Whether the monotonic clock has continued since `before`. If a boot id could not be read, the clock itself
// decides, because it restarts with the machine. Guards against deadlines computed from a stepped wall clock
// although the machine was not rebooted.
static bool same_boot(const record::Base& before, const Clock& now, Time last_at) {
  const bool unknown = before.boot.empty() || now.boot.empty();
  return (unknown || before.boot == now.boot) && now.monotonic >= last_at;
}

record::Base begin(const Image& image, const Clock& now) {
  record::Base base{now.boot, now.monotonic, now.wall, image.next_id(), 0, image.base().run + 1};
  const auto& before = image.base();
  if (before.run == 0 || same_boot(before, now, image.last_at())) return base;
  const Time then = before.monotonic + std::max<Time>(0, now.wall - before.wall);
  base.shift = now.monotonic - std::max(then, image.last_at());
  return base;
}

relay::Before before_of(const record::Taken& m) {
  relay::Before b{m.attempts, m.ran ? m.ran_zone : -1, m.ran ? m.ran_at : 0, m.last};
  for (const auto& a : m.out)
    if (b.ran_zone < 0 || a.at < b.ran_from) b.ran_zone = a.zone, b.ran_from = a.at;
  if (!m.out.empty()) b.last = "the relay was down";
  return b;
}

Recovered recover(const Image& image, Time now, const Places& places) {
  Recovered r;
  for (const auto& [id, held] : image.held()) {
    const auto cls = places.message_class(held.now.message_class);
    if (!cls) {
      r.classless.push_back(id);
      continue;
    }
    auto message = std::make_shared<relay::NewMessage>(*held.now.message);
    message->destination = places.destination(held.now.destination);
    message->message_class = *cls;
    message->tenant = held.now.tenant.empty() ? -1 : places.tenant(held.now.tenant).value_or(-1);
    message->time_left = std::max<Time>(0, held.now.deadline - now);
    r.messages.push_back({id, std::move(message), held.now.deadline, before_of(held.now)});
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
    r.known.push_back(std::move(k));
  }
  return r;
}

}  // namespace cedarplank::journal
