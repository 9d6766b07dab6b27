#include "gateway/back.hpp"

#include <algorithm>

namespace cedarplank::gateway {
namespace {

constexpr Time kLinger = 1'000'000;
constexpr std::size_t kTailMost = 64 * 1024;  // bytes of an answer's body that are let pass unread

}  // namespace

Back::Back(loop::Loop& loop, const config::RelaySettings& settings, Host host, Connector connector)
    : loop_(loop),
      settings_(settings),
      host_(std::move(host)),
      connector_(std::move(connector)),
      gate_(settings.handshakes_max) {
  read_settings();
  if (!connector_)
    connector_ = [this](const net::Address& to, Time timeout, net::Stream::Handlers handlers) {
      return std::make_unique<net::TcpStream>(loop_, to, timeout, std::move(handlers));
    };
}

Back::~Back() {
  *alive_ = false;
  for (auto& [id, peer] : peers_) loop_.cancel(peer->timer);
}

void Back::read_settings() {
  auto& p = pool_settings_;
  p.connections_max = settings_.endpoint_connections_max, p.streams_max = settings_.endpoint_streams_max;
  p.calls_at_risk = settings_.endpoint_calls_at_risk;
  p.ping_after = settings_.endpoint_ping_after, p.ping_timeout = settings_.endpoint_ping_timeout;
  p.connect_timeout = settings_.dispatcher.connect_timeout, p.idle = settings_.dispatcher.connection_idle;
  gate_.set_most(settings_.handshakes_max);
}

Back::Peer* Back::find(const EndpointId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : it->second.get();
}

void Back::set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints) {
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

void Back::drop_if_done(const EndpointId& id) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || !it->second->pool.done() || !it->second->links.empty()) return;
  loop_.cancel(it->second->timer);
  peers_.erase(it);
}

void Back::send(const relay::CallOrder& order) {
  Peer* peer = find(order.endpoint);
  if (peer == nullptr) {
    // Told later: the core is in the middle of a round.
    loop_.defer([this, alive = alive_, id = order.id] {
      if (*alive) host_.ended(id, {Outcome::not_sent, 0, {}, "the endpoint is not listed", {}});
    });
    return;
  }
  calls_[order.id] = {order, loop_.now(), peer, nullptr, 0, 0};
  peer->pool.wait(order.id);
  pump_soon(*peer);
}

void Back::pump_soon(Peer& peer) {
  if (peer.pump_due) return;
  peer.pump_due = true;
  loop_.defer([this, alive = alive_, id = peer.endpoint.id] {
    if (*alive) pump(id);
  });
}

void Back::pump(const EndpointId& id) {
  std::vector<pool::Step> steps;
  // A step may make room for others, or find that its connection can't be made.
  for (Peer* peer = find(id); peer != nullptr; peer = find(id), steps.clear()) {
    peer->pump_due = false;
    for (auto& [n, link] : peer->links) look_at_room(*peer, *link);
    peer->pool.steps(loop_.now(), steps);
    if (steps.empty()) {
      rearm(*peer);
      break;
    }
    std::vector<CallId> back;  // no room after all; they keep their order
    for (const auto& step : steps) {
      if (step.what == pool::Step::Do::connect) {
        connect(*peer, step.link);
        continue;
      }
      const auto it = peer->links.find(step.link);
      if (it == peer->links.end()) continue;
      Link& link = *it->second;
      if (step.what == pool::Step::Do::submit) {
        if (!submit(*peer, link, step.call)) back.push_back(step.call);
      } else if (step.what == pool::Step::Do::ping) {
        link.h2.ping("cedarplk");
        flush(link);
      } else if (step.why == pool::Why::connect_timeout) {
        lost(id, step.link, text_of(step.why));
        if ((peer = find(id)) == nullptr) return;
      } else {
        close_link(*peer, link, step.why);
      }
    }
    peer->pool.wait_again(back);
  }
  drop_if_done(id);
  // Whoever waits for room at the gate: at the turn's end, since this may be inside another's steps.
  if (const auto next = gate_.next(); next && *next != id)
    if (Peer* other = find(*next)) pump_soon(*other);
}

void Back::rearm(Peer& peer) {
  const Time due = peer.pool.next_due();
  if (peer.timer != 0 && peer.timer_at <= due && peer.timer_at > loop_.now())
    return;  // fires, and looks again
  loop_.cancel(peer.timer), peer.timer = 0;
  if (due == pool::kNever) return;
  peer.timer_at = due;
  peer.timer = loop_.at(due, [this, id = peer.endpoint.id] {
    if (Peer* p = find(id)) {
      p->timer = 0;
      for (auto& [n, link] : p->links) drop_late_tails(*link);
    }
    pump(id);
  });
}

void Back::connect(Peer& peer, pool::LinkId n) {
  auto owned = std::make_unique<Link>();
  Link& link = *owned;
  link.id = n;
  peer.links[n] = std::move(owned);
  opened_++;
  net::Stream::Handlers handlers;
  handlers.connected = [this, &link] { flush(link); };
  handlers.data = [this, id = peer.endpoint.id, n](std::string_view bytes) { receive(id, n, bytes); };
  handlers.drained = [this, id = peer.endpoint.id] {
    if (Peer* p = find(id)) pump_soon(*p);
  };
  handlers.closed = [this, id = peer.endpoint.id, n](const std::string& why) { lost(id, n, why); };
  try {
    // The connect time-out runs until the endpoint's SETTINGS, not only until the socket connects.
    link.stream = connector_(net::Address::parse(peer.endpoint.address), settings_.dispatcher.connect_timeout,
                             std::move(handlers));
  } catch (const std::exception& e) {
    loop_.defer([this, alive = alive_, id = peer.endpoint.id, n, why = std::string(e.what())] {
      if (*alive) lost(id, n, why);
    });
  }
}

void Back::flush(Link& link) {
  if (link.h2.has_output() && link.stream) link.stream->write(link.h2.take_output());
}

// Nothing is put behind bytes that the endpoint doesn't read: it could no longer be called back.
bool Back::takes_more(const Link& link) {
  return link.h2.can_request() && link.stream->queued() == link.stream->flushed() &&
         link.h2.unsent_body() == 0;
}

// What the connection itself knows of its room, for the pool.
void Back::look_at_room(Peer& peer, Link& link) {
  if (!link.h2.standing() || !link.stream || link.closing) return;
  peer.pool.set_streams_max(link.id, link.h2.peer_max_streams());
  // Streams whose answers still have a body coming count too; the pool doesn't know them.
  const bool full = link.h2.streams() >= static_cast<std::size_t>(settings_.endpoint_streams_max);
  peer.pool.set_blocked(link.id, full || !takes_more(link));
}

bool Back::submit(Peer& peer, Link& link, CallId id) {
  Call& call = calls_.at(id);
  if (!takes_more(link)) {  // an earlier submission of the same steps has filled what is read at once
    peer.pool.over(link.id, loop_.now());
    return false;
  }
  const relay::NewMessage& m = *call.order.message;
  const Time left = std::max<Time>(0, call.order.time_left - (loop_.now() - call.given));
  http2::Headers headers = {{":method", "POST"},
                            {":scheme", "http"},
                            {":authority", peer.endpoint.address},
                            {":path", peer.endpoint.path},
                            {"ttl", std::to_string((left + 999'999) / 1'000'000)},
                            {"via", "2 " + settings_.name}};
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) headers.push_back({name, value});
  };
  add("idempotency-key", m.idempotency_key);
  add("topic", m.topic);
  add("urgency", m.urgency);
  add("content-type", m.content_type);
  add("content-encoding", m.content_encoding);
  headers.push_back({"content-length", std::to_string(m.body.size())});
  call.begins_at = link.stream->queued() + link.h2.output_size();
  call.link = &link;
  call.stream = link.h2.request(headers, m.body);
  link.calls[call.stream] = id;
  if (host_.carried) host_.carried(call.order, link.id, call.stream);
  flush(link);
  return true;
}

void Back::end(CallId id, relay::Ending ending) {
  if (calls_.erase(id) > 0) host_.ended(id, std::move(ending));
}

void Back::end_stream(Peer& peer, Link& link, http2::StreamId stream, Break how, http2::ErrorCode code,
                      const std::string& why) {
  const auto it = link.calls.find(stream);
  if (it == link.calls.end()) return;
  const CallId id = it->second;
  link.calls.erase(it);
  peer.pool.over(link.id, loop_.now());
  end(id, ending_of_break(how, code, why));
}

void Back::receive(const EndpointId& id, pool::LinkId n, std::string_view bytes) {
  Peer* peer = find(id);
  if (peer == nullptr) return;
  const auto it = peer->links.find(n);
  if (it == peer->links.end()) return;
  Link& link = *it->second;
  peer->pool.heard(n, loop_.now());
  std::vector<http2::Event> events;
  link.h2.receive(loop_.now(), bytes, events);
  for (auto& e : events) on_event(*peer, link, e);
  flush(link);
  if (link.h2.failed()) {
    std::string why = "connection error";
    for (const auto& e : events)
      if (e.type == http2::Event::Type::failed) why = e.data;
    host_.log("endpoint " + id + ": " + why);
    return lost(id, n, why);
  }
  drop_late_tails(link);
  pump(id);
}

void Back::on_event(Peer& peer, Link& link, http2::Event& e) {
  using Type = http2::Event::Type;
  switch (e.type) {
    case Type::settings:
      peer.pool.standing(link.id, loop_.now(), link.h2.peer_max_streams());
      break;
    case Type::headers: {
      const auto it = link.calls.find(e.stream);
      if (it == link.calls.end()) break;
      const CallId id = it->second;
      link.calls.erase(it);
      if (!e.end_stream) link.tails[e.stream] = {loop_.now(), 0};
      const auto kind = static_cast<std::size_t>(peer.endpoint.kind);
      const auto wire = kind < settings_.kind_wire.size() ? settings_.kind_wire[kind] : config::KindWire{};
      peer.pool.over(link.id, loop_.now());
      end(id, ending_of_response(e.headers, wire, host_.wall()));
      break;
    }
    case Type::data: {
      const auto it = link.tails.find(e.stream);
      if (it == link.tails.end()) break;
      it->second.second += e.data.size();
      if (e.end_stream) {
        link.tails.erase(it);
      } else if (it->second.second > kTailMost) {
        link.tails.erase(it);
        link.h2.reset(e.stream, http2::ErrorCode::cancel);
      }
      break;
    }
    case Type::trailers:
      link.tails.erase(e.stream);
      break;
    case Type::reset:
      link.tails.erase(e.stream);
      if (!e.local && e.code == http2::ErrorCode::refused_stream)
        end_stream(peer, link, e.stream, Break::refused_stream, e.code, "");
      else
        end_stream(peer, link, e.stream, Break::reset, e.code, e.data);
      break;
    case Type::unprocessed:
      link.tails.erase(e.stream);
      end_stream(peer, link, e.stream, Break::goaway, e.code, "");
      break;
    case Type::ping_ack:
      if (const auto latency = peer.pool.pong(link.id, loop_.now()))
        host_.probe_ended(peer.endpoint.id, Outcome::served, *latency);
      break;
    case Type::goaway:
      peer.pool.draining(link.id, loop_.now());
      break;
    case Type::failed:
      break;
  }
}

// Answers whose bodies don't come to an end would hold their streams for ever.
void Back::drop_late_tails(Link& link) {
  for (auto it = link.tails.begin(); it != link.tails.end();) {
    const auto [stream, tail] = *it;
    const bool late = loop_.now() - tail.first > settings_.stalled_after;
    if (late) link.h2.reset(stream, http2::ErrorCode::cancel);
    it = late ? link.tails.erase(it) : std::next(it);
  }
  flush(link);
}

void Back::close_link(Peer& peer, Link& link, pool::Why why) {
  if (link.closing) return;
  link.closing = true;
  if (why == pool::Why::unhealthy) host_.log("endpoint " + peer.endpoint.id + ": " + text_of(why));
  peer.pool.closing(link.id);
  link.h2.goaway();
  flush(link);
  link.stream->finish(kLinger);
}

void Back::lost(const EndpointId& id, pool::LinkId n, const std::string& why) {
  Peer* peer = find(id);
  if (peer == nullptr) return;
  const auto it = peer->links.find(n);
  if (it == peer->links.end()) return;
  // Destroyed later: this may be called from the stream itself.
  std::shared_ptr<Link> link(std::move(it->second));
  peer->links.erase(it);
  const std::uint64_t flushed = link->stream ? link->stream->flushed() : 0;
  if (link->stream) link->stream->close();
  loop_.defer([link] {});
  const auto loss = peer->pool.lost(n, loop_.now());
  const auto calls = std::move(link->calls);
  link->calls.clear();
  for (const auto& [stream, call_id] : calls) {
    const auto call = calls_.find(call_id);
    if (call == calls_.end()) continue;
    // Not a byte of it was handed to the kernel: that proves that it never ran.
    const bool left = flushed > call->second.begins_at;
    end(call_id, ending_of_break(left ? Break::reset : Break::unsent, http2::ErrorCode::no_error, why));
  }
  if (loss.probe)
    host_.probe_ended(id, loss.was_standing ? Outcome::reset : Outcome::connect_failed, *loss.probe);
  for (const CallId waiting : loss.no_connection)
    end(waiting, ending_of_break(Break::no_connection, http2::ErrorCode::no_error, why));
  if (Peer* still = find(id)) pump_soon(*still);
}

relay::Transport::Recalled Back::cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return Recalled::sent;
  Call& call = it->second;
  Peer& peer = *call.peer;
  if (call.link == nullptr) {
    peer.pool.withdraw(id);
    calls_.erase(it);
    // Also where it waited at the gate: then the relay, not the endpoint, was short of room.
    return !peer.pool.any_standing() && peer.pool.any_connecting() ? Recalled::connecting : Recalled::waiting;
  }
  Link& link = *call.link;
  link.calls.erase(call.stream);
  link.h2.reset(call.stream, http2::ErrorCode::cancel);
  peer.pool.over(link.id, loop_.now());
  calls_.erase(it);
  flush(link);
  pump_soon(peer);
  return Recalled::sent;
}

bool Back::take_back(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.link != nullptr) return false;
  it->second.peer->pool.withdraw(id);
  calls_.erase(it);
  return true;
}

std::vector<relay::CallId> Back::recall(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return {};
  auto ids = peer->pool.recall();
  for (const CallId id : ids) calls_.erase(id);
  return ids;
}

void Back::close_idle(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.close_idle();
  pump_soon(*peer);
}

void Back::probe(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return;
  peer->pool.probe(loop_.now());
  pump_soon(*peer);
}

}  // namespace cedarplank::gateway
