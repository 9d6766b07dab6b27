// The network and the endpoints of a simulation, and the environment that the scenario's script acts on.
#include <algorithm>
#include <random>

#include "lab/simulation_parts.hpp"

namespace cedarplank::lab::day {

void Simulation::run_on_relay(const ConnectionRef& c, std::function<void(SimulatedRelay&)> f) {
  if (c->relay->incarnation() != c->incarnation) return;
  c->relay->run_at(clock.now() + one_way_delay(), [c, f = std::move(f)] { f(*c->relay); });
}

void Simulation::connect(const ConnectionRef& c) {
  clock.after(one_way_delay(), [this, c] {
    if (c->incarnation != c->relay->incarnation()) return;
    SimulatedEndpoint& e = endpoints_.at(c->endpoint);
    const auto decision = e.stopped || e.vanished
                              ? emulator::Partner::ConnectionDecision::no_listener
                              : partner(e).decide_connection(c->endpoint, clock.now(), e.connections.size());
    using Decision = emulator::Partner::ConnectionDecision;
    if (decision == Decision::no_listener || decision == Decision::reset || decision == Decision::garbage)
      return run_on_relay(c, [c](SimulatedRelay& r) { r.connection_lost(c, "refused"); });
    c->open_at_endpoint = true, c->number = next_connection_++, c->last_used = clock.now();
    e.connections.insert(c);
    const auto shake = [this, c, streams = partner(e).max_calls(c->endpoint)] {
      if (c->open_at_endpoint)
        run_on_relay(c, [c, streams](SimulatedRelay& r) {
          r.connection_ready(c, static_cast<std::uint32_t>(streams));
        });
    };
    if (!partner(e).is_reading(c->endpoint)) return e.paused_work.push_back(shake);
    clock.after(partner(e).handshake_delay(c->endpoint), shake);
  });
}

void Simulation::call(const ConnectionRef& c, relay::CallId id,
                      std::shared_ptr<const relay::NewMessage> message) {
  clock.after(one_way_delay(), [this, c, id, message = std::move(message)] { call_arrived(c, id, message); });
}

void Simulation::call_arrived(const ConnectionRef& c, relay::CallId id,
                              const std::shared_ptr<const relay::NewMessage>& message) {
  if (!c->open_at_endpoint) return;  // the relay is notified of the loss separately
  SimulatedEndpoint& e = endpoints_.at(c->endpoint);
  auto& p = partner(e);
  const Time now = clock.now();
  const std::string name = record::message_id_in(message->body);
  auto& out = c->endpoint_calls[id];
  out.observed_index = observed_.calls.size();
  rig::Call seen;
  seen.endpoint = c->endpoint, seen.relay = c->relay->name(), seen.message = name;
  seen.connection = c->number, seen.stream = static_cast<std::uint32_t>(id), seen.arrived_at = now;
  observed_.calls.push_back(std::move(seen));
  figures_.calls++, current_second().calls++;
  // The call is recorded on arrival, even if a pause delays its reading: by now the relay has sent it.
  if (!p.is_reading(c->endpoint))
    return e.paused_work.push_back([this, c, id, message] { read_call(c, id, message); });
  read_call(c, id, message);
}

void Simulation::read_call(const ConnectionRef& c, relay::CallId id,
                           const std::shared_ptr<const relay::NewMessage>& message) {
  const auto it = c->endpoint_calls.find(id);
  if (!c->open_at_endpoint || it == c->endpoint_calls.end() || it->second.ended) return;
  auto& p = partner(endpoints_.at(c->endpoint));
  const Time now = clock.now();
  if (p.is_dead(c->endpoint, now - c->last_used)) c->dead = true;
  c->last_used = now;
  if (c->goaway_sent) {
    // A stream above the last one that the GOAWAY named: proof that the endpoint didn't process the call.
    auto& seen = observed_.calls[it->second.observed_index];
    seen.proved_not_run = true, seen.proved_at = now;
  }
  if (c->dead || c->goaway_sent) return;
  const std::string name = record::message_id_in(message->body);
  std::size_t open_calls = 0;
  for (const auto& [other, o] : c->endpoint_calls) open_calls += !o.ended;
  const emulator::Partner::Call call{name, message->idempotency_key, record::message_class_in(message->body),
                                     open_calls <= 1};
  execute_plan(c, id, name, message->idempotency_key, p.call(c->endpoint, now, call));
}

void Simulation::execute_plan(const ConnectionRef& c, relay::CallId id, const std::string& message,
                              const std::string& key, const emulator::CallPlan& plan) {
  using Do = emulator::CallPlan::Kind;
  auto& out = c->endpoint_calls.at(id);
  rig::Call& seen = observed_.calls[out.observed_index];
  if (plan.kind == Do::refuse) {
    seen.proved_not_run = true, seen.proved_at = clock.now(), out.ended = true;
    return run_on_relay(c, [c, id](SimulatedRelay& r) { r.stream_refused(c, id); });
  }
  if (plan.kind == Do::go_away) {
    seen.proved_not_run = true, seen.proved_at = clock.now();
    c->goaway_sent = true;
    std::vector<relay::CallId> taken;
    for (const auto& [other, o] : c->endpoint_calls)
      if (other != id) taken.push_back(other);
    return run_on_relay(c, [c, taken](SimulatedRelay& r) { r.goaway_received(c, taken); });
  }
  const auto then = [this, c, id, message, key, plan] {
    SimulatedEndpoint& e = endpoints_.at(c->endpoint);
    // An accepted call takes effect whether or not the relay still waits for its answer.
    if (plan.takes_effect)
      effects_.push_back({clock.now(), c->endpoint, partner(e).settings().name, message, key});
    if (plan.kind == Do::drop_connection) return reset_connection(c);
    const auto it = c->endpoint_calls.find(id);
    if (plan.kind != Do::answer || !c->open_at_endpoint || it == c->endpoint_calls.end() || it->second.ended)
      return;
    const auto answer = [this, c, id, plan] {
      const auto at = c->endpoint_calls.find(id);
      if (!c->open_at_endpoint || at == c->endpoint_calls.end() || at->second.ended) return;
      rig::Call& s = observed_.calls[at->second.observed_index];
      s.answered_at = clock.now(), s.status = std::to_string(plan.status);
      s.told_wait = plan.wait <= 0 ? 0 : (plan.wait + 999'999) / 1'000'000 * 1'000'000;
      const bool counts_as_unrun = script_->unseen_503(c->endpoint);
      if (plan.status == 429 || (plan.status == 503 && counts_as_unrun))
        s.proved_not_run = true, s.proved_at = clock.now();
      if (plan.status == 429 || plan.status == 503)
        figures_.refused_calls++, current_second().refused_calls++;
      c->endpoint_calls.erase(at);
      run_on_relay(c, [c, id, plan](SimulatedRelay& r) { r.call_answered(c, id, plan.status, plan.wait); });
    };
    if (!partner(e).is_reading(c->endpoint))
      e.paused_work.push_back(answer);
    else
      answer();
  };
  if (plan.at <= clock.now()) return then();
  clock.at(plan.at, then);
}

void Simulation::reset_call(const ConnectionRef& c, relay::CallId id) {
  clock.after(one_way_delay(), [this, c, id] {
    const auto it = c->endpoint_calls.find(id);
    if (!c->open_at_endpoint || it == c->endpoint_calls.end() || it->second.ended) return;
    it->second.ended = true;
    auto& seen = observed_.calls[it->second.observed_index];
    seen.given_up_at = std::min(seen.given_up_at, clock.now());
  });
}

void Simulation::ping(const ConnectionRef& c) {
  clock.after(one_way_delay(), [this, c] {
    if (!c->open_at_endpoint || c->dead) return;
    SimulatedEndpoint& e = endpoints_.at(c->endpoint);
    if (partner(e).is_dead(c->endpoint, clock.now() - c->last_used)) {
      c->dead = true;
      return;
    }
    c->last_used = clock.now();
    const auto ack = [this, c] {
      if (c->open_at_endpoint) run_on_relay(c, [c](SimulatedRelay& r) { r.pong_received(c); });
    };
    if (!partner(e).is_reading(c->endpoint))
      e.paused_work.push_back(ack);
    else
      ack();
  });
}

void Simulation::remove_connection(const ConnectionRef& c) {
  c->open_at_endpoint = false;
  for (auto& [id, out] : c->endpoint_calls) {
    auto& seen = observed_.calls[out.observed_index];
    seen.closed_at = std::min(seen.closed_at, clock.now());
  }
  c->endpoint_calls.clear();
  endpoints_.at(c->endpoint).connections.erase(c);
}

void Simulation::close_connection(const ConnectionRef& c) {
  clock.after(one_way_delay(), [this, c] { remove_connection(c); });
}

void Simulation::reset_connection(const ConnectionRef& c) {
  if (!c->open_at_endpoint) return;
  remove_connection(c);
  run_on_relay(c, [c](SimulatedRelay& r) { r.connection_lost(c, "reset by the endpoint"); });
}

void Simulation::send_note(int from, int whom, const std::string& body) {
  for (int r = 0; r < scenario_.relays; r++) {
    if (r == from || (whom >= 0 && whom != r) || !relay(r).up()) continue;
    if (notes_lost_ > 0 && std::uniform_real_distribution<double>()(random_) < notes_lost_) continue;
    relay(r).run_at(clock.now() + one_way_delay(),
                    [this, r, from, body] { relay(r).note_received(from, body); });
  }
}

// ---- rig::ScenarioEnvironment ----

void Simulation::begin_fault(const std::string& id, const emulator::FaultSettings& f) {
  SimulatedEndpoint& e = endpoints_.at(id);
  partner(e).begin(id, clock.now(), f);
  if (f.fault == emulator::Fault::few_streams) announce_streams(id);
  if (!emulator::ends_connections(f.fault)) return;
  const auto conns = e.connections;
  for (const auto& c : conns) reset_connection(c);
}

void Simulation::end_fault(const std::string& id, emulator::Fault f) {
  SimulatedEndpoint& e = endpoints_.at(id);
  partner(e).end(id, clock.now(), f);
  if (f == emulator::Fault::few_streams) announce_streams(id);
  if (f != emulator::Fault::pause) return;
  auto paused = std::move(e.paused_work);
  e.paused_work.clear();
  for (auto& work : paused) work();
}

void Simulation::announce_streams(const std::string& id) {
  SimulatedEndpoint& e = endpoints_.at(id);
  const auto streams = static_cast<std::uint32_t>(partner(e).max_calls(id));
  for (const auto& c : e.connections)
    run_on_relay(c, [c, streams](SimulatedRelay& r) { r.streams_changed(c, streams); });
}

std::string Simulation::add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) {
  endpoints_[settings.id] = {d, settings, {}, {}, false, false};
  partners_[d]->add(settings);
  return next_address();
}

void Simulation::stop_endpoint(const std::string& id) {
  SimulatedEndpoint& e = endpoints_.at(id);
  e.stopped = true;
  for (const auto& c : e.connections) {
    std::vector<relay::CallId> taken;
    for (const auto& [call, o] : c->endpoint_calls) taken.push_back(call);
    c->goaway_sent = true;
    run_on_relay(c, [c, taken](SimulatedRelay& r) { r.goaway_received(c, taken); });
  }
}

void Simulation::vanish_endpoint(const std::string& id) {
  SimulatedEndpoint& e = endpoints_.at(id);
  e.vanished = true;
  const auto conns = e.connections;
  for (const auto& c : conns) reset_connection(c);
}

void Simulation::set_slowness(double times) {
  for (auto& [id, e] : endpoints_) partner(e).capacity_of(id).set_service_factor(times);
}

void Simulation::publish(const config::PartnerList& list, ListState how) {
  list_state_ = how;
  if (how == ListState::complete) list_ = list;
  for (auto& r : relays_) {
    const auto phase =
        static_cast<Time>(random_(static_cast<std::uint64_t>(relay_template_.partners_reread)));
    if (r->up()) r->run_at(clock.now() + phase, [relay = r.get()] { relay->reread_list(); });
  }
}

void Simulation::crash(int r) {
  const std::string name = relay(r).name();
  relay(r).crash();
  clock.after(one_way_delay(), [this, name] {
    std::vector<std::pair<std::size_t, rig::LoadModel::Message>> lost;
    for (auto& [i, m] : open_tries_)
      if (observed_.requests[i].relay == name) lost.emplace_back(i, m);
    for (auto& [i, m] : lost) {
      open_tries_.erase(i);
      observed_.requests[i].closed_at = clock.now();
      const auto next = load_model_.on_lost(m, clock.now());
      schedule_retry(std::move(m), next);
    }
  });
}

}  // namespace cedarplank::lab::day
