#include "back/driver.hpp"

#include <algorithm>

namespace cedarplank::back {

EndpointDriver::EndpointDriver(const config::RelaySettings& settings, Host host)
    : settings_(settings), host_(std::move(host)), handshake_limit_(settings.handshakes_max) {
  read_settings();
}

EndpointDriver::~EndpointDriver() { *alive_ = false; }

void EndpointDriver::read_settings() {
  auto& p = pool_settings_;
  p.connections_max = settings_.endpoint_connections_max, p.streams_max = settings_.endpoint_streams_max;
  p.calls_at_risk = settings_.endpoint_calls_at_risk;
  p.ping_after = settings_.endpoint_ping_after, p.ping_timeout = settings_.endpoint_ping_timeout;
  p.connect_timeout = settings_.dispatcher.connect_timeout,
  p.idle_timeout = settings_.dispatcher.connection_idle;
  handshake_limit_.set_limit(settings_.handshakes_max);
}

EndpointDriver::Peer* EndpointDriver::find(const EndpointId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : it->second.get();
}

EndpointDriver::Connection* EndpointDriver::find(Peer* peer, pool::LinkId link) {
  if (peer == nullptr) return nullptr;
  const auto it = peer->links.find(link);
  return it == peer->links.end() ? nullptr : &it->second;
}

void EndpointDriver::set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints) {
  for (auto& [id, peer] : peers_) peer->pool.set_listed(false);
  for (const auto& e : endpoints) {
    auto& peer = peers_[e.id];
    if (!peer)
      peer = std::make_unique<Peer>(e, pool_settings_, handshake_limit_, next_link_,
                                    settings_.seed + next_link_ + peers_.size());
    peer->endpoint = e;
    peer->pool.set_listed(true);
  }
  std::vector<EndpointId> ids;
  for (const auto& [id, peer] : peers_) ids.push_back(id);
  for (const auto& id : ids) pump(id);
}

void EndpointDriver::drop_if_done(const EndpointId& id) {
  const auto it = peers_.find(id);
  if (it != peers_.end() && it->second->pool.done() && it->second->links.empty()) peers_.erase(it);
}

void EndpointDriver::send(const relay::OutgoingCall& order) {
  Peer* peer = find(order.endpoint);
  calls_[order.id] = {order, host_.now(), 0};
  if (peer == nullptr)
    return end_call_later(order.id, {Outcome::not_sent, 0, {}, "the endpoint is not listed", {}});
  peer->pool.enqueue(order.id);
  schedule_pump(*peer);
}

void EndpointDriver::end_call(CallId id, relay::CallResult ending) {
  if (calls_.erase(id) > 0) host_.call_ended(id, std::move(ending));
}

// For use while the core is in the middle of a round or the pool's steps are being carried out: the outcome
// is reported at the end of the turn.
void EndpointDriver::end_call_later(CallId id, relay::CallResult ending) {
  host_.defer([this, alive = alive_, id, ending = std::move(ending)] {
    if (*alive) end_call(id, ending);
  });
}

void EndpointDriver::schedule_pump(Peer& peer) {
  if (peer.pump_scheduled) return;
  peer.pump_scheduled = true;
  host_.defer([this, alive = alive_, id = peer.endpoint.id] {
    if (*alive) pump(id);
  });
}

void EndpointDriver::connection_changed(const EndpointId& id) {
  if (Peer* peer = find(id)) schedule_pump(*peer);
}

void EndpointDriver::pump(const EndpointId& id) {
  std::vector<pool::Step> steps;
  // Repeated because a step may free capacity for other calls, or find that its connection cannot be created.
  for (Peer* peer = find(id); peer != nullptr; peer = find(id), steps.clear()) {
    peer->pump_scheduled = false;
    update_capacity(*peer);
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
    peer->pool.requeue(no_room);
  }
  drop_if_done(id);
  // The next endpoint that waits for the handshake limit. It is handled at the end of the turn, since this
  // call may come from within another endpoint's steps.
  if (const auto next = handshake_limit_.next_waiting(); next && *next != id)
    if (Peer* other = find(*next)) schedule_pump(*other);
}

void EndpointDriver::carry_out(Peer& peer, const pool::Step& step, std::vector<CallId>& no_room) {
  using Do = pool::Step::Kind;
  if (step.kind == Do::connect) return connect(peer, step.link);
  Connection* c = find(&peer, step.link);
  if (c == nullptr) return;
  if (step.kind == Do::submit)
    submit(peer, step.link, step.call, no_room);
  else if (step.kind == Do::ping)
    c->link->ping();
  else if (step.reason == pool::CloseReason::connect_timeout)
    connection_closed(peer.endpoint.id, step.link, text_of(step.reason));
  else
    close(peer, step.link, step.reason);
}

void EndpointDriver::update_capacity(Peer& peer) {
  for (auto& [n, c] : peer.links) {
    if (c.closing || !c.link) continue;
    const auto capacity = c.link->capacity();
    if (!capacity) continue;
    peer.pool.set_streams_max(n, capacity->calls_max);
    peer.pool.set_blocked(n, capacity->blocked);
  }
}

void EndpointDriver::rearm(Peer& peer) {
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
      if (c.link) c.link->run_maintenance();
    pump(id);
  });
}

void EndpointDriver::connect(Peer& peer, pool::LinkId n) {
  connections_opened_++;
  Connection& c = peer.links[n];
  try {
    c.link = host_.connect(peer.endpoint, n);
  } catch (const std::exception& e) {
    host_.defer([this, alive = alive_, id = peer.endpoint.id, n, why = std::string(e.what())] {
      if (*alive) connection_closed(id, n, why);
    });
  }
}

void EndpointDriver::submit(Peer& peer, pool::LinkId n, CallId id, std::vector<CallId>& no_room) {
  using Status = Link::SubmitResult::Status;
  Connection& c = peer.links.at(n);
  Call& call = calls_.at(id);
  const Time left = std::max<Time>(0, call.order.time_left - (host_.now() - call.submitted_at));
  auto submitted = c.link->submit(call.order, left);
  if (submitted.status == Status::sent) {
    call.link = n;
    c.calls.insert(id);
    if (host_.call_sent) host_.call_sent(call.order, n, submitted.stream);
    return;
  }
  peer.pool.call_ended(n, host_.now());
  if (submitted.status ==
      Status::no_capacity)  // an earlier call of the same steps has used the remaining capacity
    no_room.push_back(id);
  else
    end_call_later(id, std::move(submitted.ending));
}

void EndpointDriver::close(Peer& peer, pool::LinkId n, pool::CloseReason why) {
  Connection& c = peer.links.at(n);
  if (c.closing) return;
  c.closing = true;
  if (why == pool::CloseReason::unhealthy && host_.log)
    host_.log("endpoint " + peer.endpoint.id + ": " + text_of(why));
  peer.pool.set_closing(n);
  c.link->close();
}

void EndpointDriver::connection_ready(const EndpointId& id, pool::LinkId link, std::uint32_t most) {
  if (Peer* peer = find(id)) peer->pool.set_ready(link, host_.now(), most);
}

void EndpointDriver::data_received(const EndpointId& id, pool::LinkId link) {
  if (Peer* peer = find(id)) peer->pool.data_received(link, host_.now());
}

void EndpointDriver::set_calls_max(const EndpointId& id, pool::LinkId link, std::uint32_t most) {
  if (Peer* peer = find(id)) peer->pool.set_streams_max(link, most);
}

void EndpointDriver::connection_draining(const EndpointId& id, pool::LinkId link) {
  if (Peer* peer = find(id)) peer->pool.set_draining(link, host_.now());
}

void EndpointDriver::pong_received(const EndpointId& id, pool::LinkId link) {
  Peer* peer = find(id);
  if (peer == nullptr) return;
  if (const auto latency = peer->pool.pong_received(link, host_.now()))
    host_.probe_ended(id, Outcome::served, *latency);
}

void EndpointDriver::call_answered(const EndpointId& id, pool::LinkId link, CallId call,
                                   relay::CallResult ending) {
  Peer* peer = find(id);
  Connection* c = find(peer, link);
  if (c == nullptr || c->calls.erase(call) == 0) return;
  peer->pool.call_ended(link, host_.now());
  schedule_pump(*peer);
  end_call(call, std::move(ending));
}

void EndpointDriver::connection_closed(const EndpointId& id, pool::LinkId n, const std::string& why) {
  Peer* peer = find(id);
  if (find(peer, n) == nullptr) return;
  // Destroyed at the end of the turn, since the connection itself may have made this call.
  auto c = std::make_shared<Connection>(std::move(peer->links.at(n)));
  peer->links.erase(n);
  host_.defer([c] {});
  const auto loss = peer->pool.connection_lost(n, host_.now());
  std::vector<std::pair<CallId, relay::CallResult>> ends;
  for (const CallId call : c->calls) ends.emplace_back(call, c->link->ending_when_lost(call, why));
  c->calls.clear();
  if (c->link) c->link->drop();
  for (auto& [call, ending] : ends) end_call(call, std::move(ending));
  if (loss.probe_time)
    host_.probe_ended(id, loss.was_ready ? Outcome::reset : Outcome::connect_failed, *loss.probe_time);
  for (const CallId waiting : loss.unsent_calls) end_call(waiting, {Outcome::connect_failed, 0, {}, why, {}});
  if (Peer* still = find(id)) schedule_pump(*still);
}

relay::Transport::CancelResult EndpointDriver::cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return CancelResult::sent;
  const Call call = std::move(it->second);
  calls_.erase(it);
  Peer* peer = find(call.order.endpoint);
  if (peer == nullptr) return call.link == 0 ? CancelResult::queued : CancelResult::sent;
  if (call.link == 0) {
    peer->pool.remove_waiting(id);
    // Counts as waiting also if the endpoint waited for the handshake limit: then the relay, not the
    // endpoint, lacked capacity.
    return !peer->pool.any_ready() && peer->pool.any_connecting() ? CancelResult::connecting
                                                                  : CancelResult::queued;
  }
  if (Connection* c = find(peer, call.link); c != nullptr && c->calls.erase(id) > 0) {
    peer->pool.call_ended(call.link, host_.now());
    schedule_pump(*peer);
    c->link->reset(id);
  }
  return CancelResult::sent;
}

bool EndpointDriver::cancel_unsent(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.link != 0) return false;
  if (Peer* peer = find(it->second.order.endpoint)) peer->pool.remove_waiting(id);
  calls_.erase(it);
  return true;
}

std::vector<CallId> EndpointDriver::cancel_all_unsent(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return {};
  auto ids = peer->pool.remove_all_waiting();
  for (const CallId id : ids) calls_.erase(id);
  return ids;
}

void EndpointDriver::close_idle(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.close_idle();
  schedule_pump(*peer);
}

void EndpointDriver::probe(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.probe(host_.now());
  schedule_pump(*peer);
}

}  // namespace cedarplank::back
