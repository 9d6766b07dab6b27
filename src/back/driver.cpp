#include "back/driver.hpp"

#include <algorithm>

namespace cedarplank::back {

Driver::Driver(const config::RelaySettings& settings, Host host)
    : settings_(settings), host_(std::move(host)), gate_(settings.handshakes_max) {
  read_settings();
}

Driver::~Driver() { *alive_ = false; }

void Driver::read_settings() {
  auto& p = pool_settings_;
  p.connections_max = settings_.endpoint_connections_max, p.streams_max = settings_.endpoint_streams_max;
  p.calls_at_risk = settings_.endpoint_calls_at_risk;
  p.ping_after = settings_.endpoint_ping_after, p.ping_timeout = settings_.endpoint_ping_timeout;
  p.connect_timeout = settings_.dispatcher.connect_timeout, p.idle = settings_.dispatcher.connection_idle;
  gate_.set_most(settings_.handshakes_max);
}

Driver::Peer* Driver::find(const EndpointId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : it->second.get();
}

Driver::Connection* Driver::find(Peer* peer, pool::LinkId link) {
  if (peer == nullptr) return nullptr;
  const auto it = peer->links.find(link);
  return it == peer->links.end() ? nullptr : &it->second;
}

void Driver::set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints) {
  for (auto& [id, peer] : peers_) peer->pool.set_listed(false);
  for (const auto& e : endpoints) {
    auto& peer = peers_[e.id];
    if (!peer)
      peer = std::make_unique<Peer>(e, pool_settings_, gate_, next_link_,
                                    settings_.seed + next_link_ + peers_.size());
    peer->endpoint = e;
    peer->pool.set_listed(true);
  }
  std::vector<EndpointId> ids;
  for (const auto& [id, peer] : peers_) ids.push_back(id);
  for (const auto& id : ids) pump(id);
}

void Driver::drop_if_done(const EndpointId& id) {
  const auto it = peers_.find(id);
  if (it != peers_.end() && it->second->pool.done() && it->second->links.empty()) peers_.erase(it);
}

void Driver::send(const relay::CallOrder& order) {
  Peer* peer = find(order.endpoint);
  calls_[order.id] = {order, host_.now(), 0};
  if (peer == nullptr)
    return end_later(order.id, {Outcome::not_sent, 0, {}, "the endpoint is not listed", {}});
  peer->pool.wait(order.id);
  pump_soon(*peer);
}

void Driver::end(CallId id, relay::Ending ending) {
  if (calls_.erase(id) > 0) host_.ended(id, std::move(ending));
}

// For use while the core is in the middle of a round or the pool's steps are being carried out: the outcome
// is reported at the end of the turn.
void Driver::end_later(CallId id, relay::Ending ending) {
  host_.defer([this, alive = alive_, id, ending = std::move(ending)] {
    if (*alive) end(id, ending);
  });
}

void Driver::pump_soon(Peer& peer) {
  if (peer.pump_due) return;
  peer.pump_due = true;
  host_.defer([this, alive = alive_, id = peer.endpoint.id] {
    if (*alive) pump(id);
  });
}

void Driver::touched(const EndpointId& id) {
  if (Peer* peer = find(id)) pump_soon(*peer);
}

void Driver::pump(const EndpointId& id) {
  std::vector<pool::Step> steps;
  // Repeated because a step may free capacity for other calls, or find that its connection cannot be created.
  for (Peer* peer = find(id); peer != nullptr; peer = find(id), steps.clear()) {
    peer->pump_due = false;
    look_at_room(*peer);
    peer->pool.steps(host_.now(), steps);
    if (steps.empty()) {
      rearm(*peer);
      break;
    }
    std::vector<CallId> no_room;  // not submitted after all; they keep their order
    for (const auto& step : steps) {
      carry_out(*peer, step, no_room);
      if ((peer = find(id)) == nullptr) return;
    }
    peer->pool.wait_again(no_room);
  }
  drop_if_done(id);
  // The next endpoint that waits for the handshake limit. It is handled at the end of the turn, since this
  // call may come from within another endpoint's steps.
  if (const auto next = gate_.next(); next && *next != id)
    if (Peer* other = find(*next)) pump_soon(*other);
}

void Driver::carry_out(Peer& peer, const pool::Step& step, std::vector<CallId>& no_room) {
  using Do = pool::Step::Do;
  if (step.what == Do::connect) return connect(peer, step.link);
  Connection* c = find(&peer, step.link);
  if (c == nullptr) return;
  if (step.what == Do::submit)
    submit(peer, step.link, step.call, no_room);
  else if (step.what == Do::ping)
    c->link->ping();
  else if (step.why == pool::Why::connect_timeout)
    gone(peer.endpoint.id, step.link, text_of(step.why));
  else
    close(peer, step.link, step.why);
}

void Driver::look_at_room(Peer& peer) {
  for (auto& [n, c] : peer.links) {
    if (c.closing || !c.link) continue;
    const auto capacity = c.link->room();
    if (!capacity) continue;
    peer.pool.set_streams_max(n, capacity->calls_max);
    peer.pool.set_blocked(n, capacity->blocked);
  }
}

void Driver::rearm(Peer& peer) {
  const Time due = peer.pool.next_due(), now = host_.now();
  // A timer that fires before `due` sets the next one itself. A timer that an earlier one has replaced does
  // nothing when it fires.
  if (due == pool::kNever || (peer.timer_at > now && peer.timer_at <= due)) return;
  peer.timer_at = due;
  host_.at(due, [this, alive = alive_, id = peer.endpoint.id, due] {
    Peer* p = *alive ? find(id) : nullptr;
    if (p == nullptr || p->timer_at != due) return;
    p->timer_at = 0;
    for (auto& [n, c] : p->links)
      if (c.link) c.link->tidy();
    pump(id);
  });
}

void Driver::connect(Peer& peer, pool::LinkId n) {
  opened_++;
  Connection& c = peer.links[n];
  try {
    c.link = host_.connect(peer.endpoint, n);
  } catch (const std::exception& e) {
    host_.defer([this, alive = alive_, id = peer.endpoint.id, n, why = std::string(e.what())] {
      if (*alive) gone(id, n, why);
    });
  }
}

void Driver::submit(Peer& peer, pool::LinkId n, CallId id, std::vector<CallId>& no_room) {
  using Status = Link::Submitted::Went;
  Connection& c = peer.links.at(n);
  Call& call = calls_.at(id);
  const Time left = std::max<Time>(0, call.order.time_left - (host_.now() - call.given));
  auto submitted = c.link->submit(call.order, left);
  if (submitted.went == Status::yes) {
    call.link = n;
    c.calls.insert(id);
    if (host_.carried) host_.carried(call.order, n, submitted.stream);
    return;
  }
  peer.pool.over(n, host_.now());
  if (submitted.went == Status::no_room)  // an earlier call of the same steps has used the remaining capacity
    no_room.push_back(id);
  else
    end_later(id, std::move(submitted.ending));
}

void Driver::close(Peer& peer, pool::LinkId n, pool::Why why) {
  Connection& c = peer.links.at(n);
  if (c.closing) return;
  c.closing = true;
  if (why == pool::Why::unhealthy && host_.log)
    host_.log("endpoint " + peer.endpoint.id + ": " + text_of(why));
  peer.pool.closing(n);
  c.link->close();
}

void Driver::standing(const EndpointId& id, pool::LinkId link, std::uint32_t most) {
  if (Peer* peer = find(id)) peer->pool.standing(link, host_.now(), most);
}

void Driver::heard(const EndpointId& id, pool::LinkId link) {
  if (Peer* peer = find(id)) peer->pool.heard(link, host_.now());
}

void Driver::calls_max(const EndpointId& id, pool::LinkId link, std::uint32_t most) {
  if (Peer* peer = find(id)) peer->pool.set_streams_max(link, most);
}

void Driver::draining(const EndpointId& id, pool::LinkId link) {
  if (Peer* peer = find(id)) peer->pool.draining(link, host_.now());
}

void Driver::pong(const EndpointId& id, pool::LinkId link) {
  Peer* peer = find(id);
  if (peer == nullptr) return;
  if (const auto latency = peer->pool.pong(link, host_.now()))
    host_.probe_ended(id, Outcome::served, *latency);
}

void Driver::answered(const EndpointId& id, pool::LinkId link, CallId call, relay::Ending ending) {
  Peer* peer = find(id);
  Connection* c = find(peer, link);
  if (c == nullptr || c->calls.erase(call) == 0) return;
  peer->pool.over(link, host_.now());
  pump_soon(*peer);
  end(call, std::move(ending));
}

void Driver::gone(const EndpointId& id, pool::LinkId n, const std::string& why) {
  Peer* peer = find(id);
  if (find(peer, n) == nullptr) return;
  // Destroyed at the end of the turn, since the connection itself may have made this call.
  auto c = std::make_shared<Connection>(std::move(peer->links.at(n)));
  peer->links.erase(n);
  host_.defer([c] {});
  const auto loss = peer->pool.lost(n, host_.now());
  std::vector<std::pair<CallId, relay::Ending>> ends;
  for (const CallId call : c->calls) ends.emplace_back(call, c->link->ending_when_lost(call, why));
  c->calls.clear();
  if (c->link) c->link->drop();
  for (auto& [call, ending] : ends) end(call, std::move(ending));
  if (loss.probe)
    host_.probe_ended(id, loss.was_standing ? Outcome::reset : Outcome::connect_failed, *loss.probe);
  for (const CallId waiting : loss.no_connection) end(waiting, {Outcome::connect_failed, 0, {}, why, {}});
  if (Peer* still = find(id)) pump_soon(*still);
}

relay::Transport::Recalled Driver::cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return Recalled::sent;
  const Call call = std::move(it->second);
  calls_.erase(it);
  Peer* peer = find(call.order.endpoint);
  if (peer == nullptr) return call.link == 0 ? Recalled::waiting : Recalled::sent;
  if (call.link == 0) {
    peer->pool.withdraw(id);
    // Counts as waiting also if the endpoint waited for the handshake limit: then the relay, not the
    // endpoint, lacked capacity.
    return !peer->pool.any_standing() && peer->pool.any_connecting() ? Recalled::connecting
                                                                     : Recalled::waiting;
  }
  if (Connection* c = find(peer, call.link); c != nullptr && c->calls.erase(id) > 0) {
    peer->pool.over(call.link, host_.now());
    pump_soon(*peer);
    c->link->reset(id);
  }
  return Recalled::sent;
}

bool Driver::take_back(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.link != 0) return false;
  if (Peer* peer = find(it->second.order.endpoint)) peer->pool.withdraw(id);
  calls_.erase(it);
  return true;
}

std::vector<CallId> Driver::recall(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return {};
  auto ids = peer->pool.recall();
  for (const CallId id : ids) calls_.erase(id);
  return ids;
}

void Driver::close_idle(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.close_idle();
  pump_soon(*peer);
}

void Driver::probe(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.probe(host_.now());
  pump_soon(*peer);
}

}  // namespace cedarplank::back
