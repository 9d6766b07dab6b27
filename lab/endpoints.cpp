// The network and the endpoints of a simulation, and the stage on which the script of the scenario acts.
#include <algorithm>
#include <random>

#include "lab/day.hpp"

namespace cedarplank::lab::day {

void World::to_relay(const ConnRef& c, std::function<void(Relay&)> f) {
  if (c->relay->life() != c->life) return;
  c->relay->on_relay(clock.now() + hop(), [c, f = std::move(f)] { f(*c->relay); });
}

void World::connect(const ConnRef& c) {
  clock.after(hop(), [this, c] {
    if (c->life != c->relay->life()) return;
    Endpoint& e = endpoints_.at(c->endpoint);
    const auto door = e.stopped || e.vanished ? emulator::Partner::Door::closed
                                              : partner(e).door(c->endpoint, clock.now(), e.conns.size());
    using Door = emulator::Partner::Door;
    if (door == Door::closed || door == Door::turned_away || door == Door::garbage)
      return to_relay(c, [c](Relay& r) { r.conn_lost(c, "refused"); });
    c->open_here = true, c->number = next_conn_++, c->last_used = clock.now();
    e.conns.insert(c);
    const auto shake = [this, c, streams = partner(e).streams(c->endpoint)] {
      if (c->open_here)
        to_relay(c, [c, streams](Relay& r) { r.standing(c, static_cast<std::uint32_t>(streams)); });
    };
    if (!partner(e).reads(c->endpoint)) return e.paused.push_back(shake);
    clock.after(partner(e).handshake(c->endpoint), shake);
  });
}

void World::call(const ConnRef& c, relay::CallId id, std::shared_ptr<const relay::NewMessage> message) {
  clock.after(hop(), [this, c, id, message = std::move(message)] { arrive(c, id, message); });
}

void World::arrive(const ConnRef& c, relay::CallId id,
                   const std::shared_ptr<const relay::NewMessage>& message) {
  if (!c->open_here) return;  // the relay is told of the loss separately
  Endpoint& e = endpoints_.at(c->endpoint);
  auto& p = partner(e);
  const Time now = clock.now();
  const std::string name = record::message_in(message->body);
  auto& out = c->at_endpoint[id];
  out.seen = observed_.calls.size();
  rig::Call seen;
  seen.endpoint = c->endpoint, seen.relay = c->relay->name(), seen.message = name;
  seen.connection = c->number, seen.stream = static_cast<std::uint32_t>(id), seen.at = now;
  observed_.calls.push_back(std::move(seen));
  figures_.calls++, second().calls++;
  // The call is recorded on arrival, even if a pause delays its reading: by now the relay has sent it.
  if (!p.reads(c->endpoint)) return e.paused.push_back([this, c, id, message] { read(c, id, message); });
  read(c, id, message);
}

void World::read(const ConnRef& c, relay::CallId id,
                 const std::shared_ptr<const relay::NewMessage>& message) {
  const auto it = c->at_endpoint.find(id);
  if (!c->open_here || it == c->at_endpoint.end() || it->second.over) return;
  auto& p = partner(endpoints_.at(c->endpoint));
  const Time now = clock.now();
  if (p.dead(c->endpoint, now - c->last_used)) c->dead = true;
  c->last_used = now;
  if (c->went_away) {
    // A stream above the last one that the GOAWAY named: proof that the endpoint didn't process the call.
    auto& seen = observed_.calls[it->second.seen];
    seen.proved_unrun = true, seen.proved_at = now;
  }
  if (c->dead || c->went_away) return;
  const std::string name = record::message_in(message->body);
  std::size_t open_calls = 0;
  for (const auto& [other, o] : c->at_endpoint) open_calls += !o.over;
  const emulator::Partner::Call call{name, message->idempotency_key, record::class_in(message->body),
                                     open_calls <= 1};
  carry_out(c, id, name, message->idempotency_key, p.call(c->endpoint, now, call));
}

void World::carry_out(const ConnRef& c, relay::CallId id, const std::string& message, const std::string& key,
                      const emulator::Plan& plan) {
  using Do = emulator::Plan::Do;
  auto& out = c->at_endpoint.at(id);
  rig::Call& seen = observed_.calls[out.seen];
  if (plan.what == Do::turn_back) {
    seen.proved_unrun = true, seen.proved_at = clock.now(), out.over = true;
    return to_relay(c, [c, id](Relay& r) { r.turned_back(c, id); });
  }
  if (plan.what == Do::go_away) {
    seen.proved_unrun = true, seen.proved_at = clock.now();
    c->went_away = true;
    std::vector<relay::CallId> taken;
    for (const auto& [other, o] : c->at_endpoint)
      if (other != id) taken.push_back(other);
    return to_relay(c, [c, taken](Relay& r) { r.went_away(c, taken); });
  }
  const auto then = [this, c, id, message, key, plan] {
    Endpoint& e = endpoints_.at(c->endpoint);
    // An accepted call takes effect whether or not the relay still waits for its answer.
    if (plan.runs) effects_.push_back({clock.now(), c->endpoint, partner(e).settings().name, message, key});
    if (plan.what == Do::lose) return drop(c);
    const auto it = c->at_endpoint.find(id);
    if (plan.what != Do::answer || !c->open_here || it == c->at_endpoint.end() || it->second.over) return;
    const auto answer = [this, c, id, plan] {
      const auto at = c->at_endpoint.find(id);
      if (!c->open_here || at == c->at_endpoint.end() || at->second.over) return;
      rig::Call& s = observed_.calls[at->second.seen];
      s.answered_at = clock.now(), s.status = std::to_string(plan.status);
      s.told_wait = plan.wait <= 0 ? 0 : (plan.wait + 999'999) / 1'000'000 * 1'000'000;
      const bool counts_as_unrun = script_->unseen_503(c->endpoint);
      if (plan.status == 429 || (plan.status == 503 && counts_as_unrun))
        s.proved_unrun = true, s.proved_at = clock.now();
      if (plan.status == 429 || plan.status == 503) figures_.refused_calls++, second().refused_calls++;
      c->at_endpoint.erase(at);
      to_relay(c, [c, id, plan](Relay& r) { r.answered(c, id, plan.status, plan.wait); });
    };
    if (!partner(e).reads(c->endpoint))
      e.paused.push_back(answer);
    else
      answer();
  };
  if (plan.at <= clock.now()) return then();
  clock.at(plan.at, then);
}

void World::reset_call(const ConnRef& c, relay::CallId id) {
  clock.after(hop(), [this, c, id] {
    const auto it = c->at_endpoint.find(id);
    if (!c->open_here || it == c->at_endpoint.end() || it->second.over) return;
    it->second.over = true;
    auto& seen = observed_.calls[it->second.seen];
    seen.given_up_at = std::min(seen.given_up_at, clock.now());
  });
}

void World::ping(const ConnRef& c) {
  clock.after(hop(), [this, c] {
    if (!c->open_here || c->dead) return;
    Endpoint& e = endpoints_.at(c->endpoint);
    if (partner(e).dead(c->endpoint, clock.now() - c->last_used)) {
      c->dead = true;
      return;
    }
    c->last_used = clock.now();
    const auto ack = [this, c] {
      if (c->open_here) to_relay(c, [c](Relay& r) { r.pong(c); });
    };
    if (!partner(e).reads(c->endpoint))
      e.paused.push_back(ack);
    else
      ack();
  });
}

void World::forget(const ConnRef& c) {
  c->open_here = false;
  for (auto& [id, out] : c->at_endpoint) {
    auto& seen = observed_.calls[out.seen];
    seen.closed_at = std::min(seen.closed_at, clock.now());
  }
  c->at_endpoint.clear();
  endpoints_.at(c->endpoint).conns.erase(c);
}

void World::close_conn(const ConnRef& c) {
  clock.after(hop(), [this, c] { forget(c); });
}

void World::drop(const ConnRef& c) {
  if (!c->open_here) return;
  forget(c);
  to_relay(c, [c](Relay& r) { r.conn_lost(c, "reset by the endpoint"); });
}

void World::tell(int from, int whom, const std::string& body) {
  for (int r = 0; r < s_.relays; r++) {
    if (r == from || (whom >= 0 && whom != r) || !relay(r).up()) continue;
    if (notes_lost_ > 0 && std::uniform_real_distribution<double>()(random_) < notes_lost_) continue;
    relay(r).on_relay(clock.now() + hop(), [this, r, from, body] { relay(r).note(from, body); });
  }
}

// ---- rig::Stage ----

void World::fault_begins(const std::string& id, const emulator::FaultSettings& f) {
  Endpoint& e = endpoints_.at(id);
  partner(e).begin(id, clock.now(), f);
  if (f.fault == emulator::Fault::few_streams) tell_streams(id);
  if (!emulator::ends_connections(f.fault)) return;
  const auto conns = e.conns;
  for (const auto& c : conns) drop(c);
}

void World::fault_ends(const std::string& id, emulator::Fault f) {
  Endpoint& e = endpoints_.at(id);
  partner(e).end(id, clock.now(), f);
  if (f == emulator::Fault::few_streams) tell_streams(id);
  if (f != emulator::Fault::pause) return;
  auto paused = std::move(e.paused);
  e.paused.clear();
  for (auto& work : paused) work();
}

void World::tell_streams(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  const auto streams = static_cast<std::uint32_t>(partner(e).streams(id));
  for (const auto& c : e.conns) to_relay(c, [c, streams](Relay& r) { r.streams_told(c, streams); });
}

std::string World::add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) {
  endpoints_[settings.id] = {d, settings, {}, {}, false, false};
  partners_[d]->add(settings);
  return next_address();
}

void World::stop_endpoint(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  e.stopped = true;
  for (const auto& c : e.conns) {
    std::vector<relay::CallId> taken;
    for (const auto& [call, o] : c->at_endpoint) taken.push_back(call);
    c->went_away = true;
    to_relay(c, [c, taken](Relay& r) { r.went_away(c, taken); });
  }
}

void World::vanish_endpoint(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  e.vanished = true;
  const auto conns = e.conns;
  for (const auto& c : conns) drop(c);
}

void World::set_slowness(double times) {
  for (auto& [id, e] : endpoints_) partner(e).place_of(id).set_slowness(times);
}

void World::publish(const config::PartnerList& list, Listing how) {
  list_state_ = how;
  if (how == Listing::whole) list_ = list;
  for (auto& r : relays_) {
    const auto phase = static_cast<Time>(random_(static_cast<std::uint64_t>(template_.partners_reread)));
    if (r->up()) r->on_relay(clock.now() + phase, [relay = r.get()] { relay->look_at_list(); });
  }
}

void World::crash(int r) {
  const std::string name = relay(r).name();
  relay(r).crash();
  clock.after(hop(), [this, name] {
    std::vector<std::pair<std::size_t, rig::LoadBook::Message>> lost;
    for (auto& [i, m] : open_)
      if (observed_.tries[i].relay == name) lost.emplace_back(i, m);
    for (auto& [i, m] : lost) {
      open_.erase(i);
      observed_.tries[i].closed_at = clock.now();
      const auto next = book_.lost(m, clock.now());
      follow(std::move(m), next);
    }
  });
}

}  // namespace cedarplank::lab::day
