#include "gateway/back.hpp"

#include <algorithm>

namespace cedarplank::gateway {
namespace {

constexpr Time kLinger = 1'000'000;
constexpr std::size_t kTailMost = 64 * 1024;  // bytes of an answer's body that are let pass unread

}  // namespace

Back::Back(loop::Loop& loop, const config::RelaySettings& settings, Host host, Connector connector)
    : loop_(loop), settings_(settings), host_(std::move(host)), connector_(std::move(connector)) {
  if (!connector_)
    connector_ = [this](const net::Address& to, Time timeout, net::Stream::Handlers handlers) {
      return std::make_unique<net::TcpStream>(loop_, to, timeout, std::move(handlers));
    };
}

Back::~Back() {
  for (auto& [id, pool] : pools_)
    for (auto& [n, link] : pool->links) loop_.cancel(link->timer);
}

void Back::set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints) {
  for (auto& [id, pool] : pools_) pool->listed = false;
  for (const auto& e : endpoints) {
    auto& pool = pools_[e.id];
    if (!pool) pool = std::make_unique<Pool>();
    pool->endpoint = e, pool->listed = true;
  }
  std::vector<EndpointId> unlisted;
  for (const auto& [id, pool] : pools_)
    if (!pool->listed) unlisted.push_back(id);
  for (const auto& id : unlisted) close_idle(id), drop_pool_if_done(id);
}

void Back::drop_pool_if_done(const EndpointId& id) {
  const auto it = pools_.find(id);
  if (it != pools_.end() && !it->second->listed && it->second->links.empty() && it->second->waiting.empty())
    pools_.erase(it);
}

void Back::send(const relay::CallOrder& order) {
  const auto it = pools_.find(order.endpoint);
  if (it == pools_.end()) {
    // Told later: the core is in the middle of a round.
    loop_.defer([this, id = order.id] {
      host_.ended(id, {Outcome::not_sent, 0, {}, "the endpoint is not listed", {}});
    });
    return;
  }
  Pool& pool = *it->second;
  calls_[order.id] = {order, loop_.now(), &pool, nullptr, 0, 0};
  pool.waiting.push_back(order.id);
  // Sends of one round go out together, in the turn's end.
  loop_.defer([this, id = order.endpoint] {
    const auto at = pools_.find(id);
    if (at != pools_.end()) pump(*at->second);
  });
}

bool Back::has_room(const Link& link) const {
  const auto most = std::min<std::uint64_t>(link.h2.peer_max_streams(),
                                            static_cast<std::uint64_t>(settings_.endpoint_streams_max));
  // Nothing is put behind bytes that the endpoint doesn't read: it could no longer be called back.
  return link.standing && !link.closing && link.h2.can_request() && link.h2.streams() < most &&
         link.stream->queued() == link.stream->flushed() && link.h2.unsent_body() == 0;
}

void Back::pump(Pool& pool) {
  std::size_t connecting = 0;
  for (auto& [n, link] : pool.links) {
    connecting += !link->standing && !link->closing;
    while (!pool.waiting.empty() && has_room(*link)) {
      const CallId id = pool.waiting.front();
      pool.waiting.pop_front();
      submit(*link, id);
    }
  }
  if (pool.waiting.empty()) return;
  std::size_t open = 0;
  for (const auto& [n, link] : pool.links) open += !link->closing;
  // One at a time: endpoints take few connections, and each carries many calls.
  if (connecting == 0 && open < static_cast<std::size_t>(settings_.endpoint_connections_max)) connect(pool);
}

void Back::connect(Pool& pool) {
  const std::uint64_t n = next_link_++;
  auto owned = std::make_unique<Link>();
  Link& link = *owned;
  link.id = n, link.pool = &pool;
  pool.links[n] = std::move(owned);
  opened_++;
  net::Stream::Handlers handlers;
  handlers.connected = [this, &link] { flush(link); };
  handlers.data = [this, &pool, n](std::string_view bytes) { receive(pool, n, bytes); };
  handlers.drained = [this, id = pool.endpoint.id] {
    loop_.defer([this, id] {
      const auto it = pools_.find(id);
      if (it != pools_.end()) pump(*it->second);
    });
  };
  handlers.closed = [this, &pool, n](const std::string& why) { lost(pool, n, why); };
  try {
    // The connect time-out runs until the endpoint's SETTINGS, not only until the socket connects.
    link.stream = connector_(net::Address::parse(pool.endpoint.address), settings_.dispatcher.connect_timeout,
                             std::move(handlers));
  } catch (const std::exception& e) {
    const std::string why = e.what();
    loop_.defer([this, id = pool.endpoint.id, n, why] {
      const auto it = pools_.find(id);
      if (it != pools_.end()) lost(*it->second, n, why);
    });
    return;
  }
  link.timer = loop_.after(settings_.dispatcher.connect_timeout, [this, &pool, n] {
    const auto it = pool.links.find(n);
    if (it == pool.links.end()) return;
    it->second->timer = 0;
    lost(pool, n, "no SETTINGS in time");
  });
}

void Back::flush(Link& link) {
  if (link.h2.has_output()) link.stream->write(link.h2.take_output());
}

void Back::submit(Link& link, CallId id) {
  Call& call = calls_.at(id);
  const relay::NewMessage& m = *call.order.message;
  const Time left = std::max<Time>(0, call.order.time_left - (loop_.now() - call.given));
  http2::Headers headers = {{":method", "POST"},
                            {":scheme", "http"},
                            {":authority", call.pool->endpoint.address},
                            {":path", call.pool->endpoint.path},
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
  loop_.cancel(link.timer), link.timer = 0;
  flush(link);
}

void Back::end(CallId id, relay::Ending ending) {
  if (calls_.erase(id) > 0) host_.ended(id, std::move(ending));
}

void Back::end_stream(Link& link, http2::StreamId stream, Break how, http2::ErrorCode code,
                      const std::string& why) {
  const auto it = link.calls.find(stream);
  if (it == link.calls.end()) return;
  const CallId id = it->second;
  link.calls.erase(it);
  end(id, ending_of_break(how, code, why));
}

void Back::receive(Pool& pool, std::uint64_t n, std::string_view bytes) {
  const auto it = pool.links.find(n);
  if (it == pool.links.end()) return;
  Link& link = *it->second;
  std::vector<http2::Event> events;
  link.h2.receive(loop_.now(), bytes, events);
  for (auto& e : events) on_event(pool, link, e);
  flush(link);
  if (link.h2.failed()) {
    std::string why = "connection error";
    for (const auto& e : events)
      if (e.type == http2::Event::Type::failed) why = e.data;
    host_.log("endpoint " + pool.endpoint.id + ": " + why);
    return lost(pool, n, why);
  }
  settle(pool, link);
  pump(pool);
}

void Back::on_event(Pool& pool, Link& link, http2::Event& e) {
  using Type = http2::Event::Type;
  switch (e.type) {
    case Type::settings:
      link.standing = true;
      loop_.cancel(link.timer), link.timer = 0;
      if (pool.probe_wanted) {
        pool.probe_wanted = false;
        link.probing = true, link.pinged_at = pool.probe_from;
        link.h2.ping("cedarplk");
      }
      break;
    case Type::headers: {
      const auto it = link.calls.find(e.stream);
      if (it == link.calls.end()) break;
      const CallId id = it->second;
      link.calls.erase(it);
      if (!e.end_stream) link.tails[e.stream] = {loop_.now(), 0};
      const auto kind = static_cast<std::size_t>(pool.endpoint.kind);
      const auto wire = kind < settings_.kind_wire.size() ? settings_.kind_wire[kind] : config::KindWire{};
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
        end_stream(link, e.stream, Break::refused_stream, e.code, "");
      else
        end_stream(link, e.stream, Break::reset, e.code, e.data);
      break;
    case Type::unprocessed:
      link.tails.erase(e.stream);
      end_stream(link, e.stream, Break::goaway, e.code, "");
      break;
    case Type::ping_ack:
      if (!link.probing) break;
      link.probing = false;
      host_.probe_ended(pool.endpoint.id, Outcome::served, loop_.now() - link.pinged_at);
      break;
    case Type::goaway:
    case Type::failed:
      break;
  }
}

// After events: a connection that takes no more calls is closed once its last one is over; an idle one waits
// for its time.
void Back::settle(Pool& pool, Link& link) {
  if (link.closing || !link.standing) return;
  for (auto it = link.tails.begin(); it != link.tails.end();) {
    const auto [stream, tail] = *it;
    const bool late = loop_.now() - tail.first > settings_.stalled_after;
    if (late) link.h2.reset(stream, http2::ErrorCode::cancel);
    it = late ? link.tails.erase(it) : std::next(it);
  }
  flush(link);
  if (!link.calls.empty()) return;
  if (link.h2.peer_goaway() || !pool.listed) return close_link(link);
  if (link.timer == 0)
    link.timer = loop_.after(settings_.dispatcher.connection_idle, [this, &link] {
      link.timer = 0;
      close_link(link);
    });
}

void Back::close_link(Link& link) {
  if (link.closing) return;
  link.closing = true;
  loop_.cancel(link.timer), link.timer = 0;
  if (!link.standing)
    return loop_.defer([this, id = link.pool->endpoint.id, n = link.id] {
      const auto it = pools_.find(id);
      if (it != pools_.end()) lost(*it->second, n, "closed here");
    });
  link.h2.goaway();
  flush(link);
  link.stream->finish(kLinger);
}

void Back::lost(Pool& pool, std::uint64_t n, const std::string& why) {
  const auto it = pool.links.find(n);
  if (it == pool.links.end()) return;
  // Destroyed later: this may be called from the stream itself.
  std::shared_ptr<Link> link(std::move(it->second));
  pool.links.erase(it);
  loop_.cancel(link->timer), link->timer = 0;
  const std::uint64_t flushed = link->stream ? link->stream->flushed() : 0;
  if (link->stream) link->stream->close();
  loop_.defer([link] {});
  const auto calls = std::move(link->calls);
  link->calls.clear();
  for (const auto& [stream, id] : calls) {
    const auto call = calls_.find(id);
    if (call == calls_.end()) continue;
    // Not a byte of it was handed to the kernel: that proves that it never ran.
    const bool left = flushed > call->second.begins_at;
    end(id, ending_of_break(left ? Break::reset : Break::unsent, http2::ErrorCode::no_error, why));
  }
  if (link->probing) host_.probe_ended(pool.endpoint.id, Outcome::reset, loop_.now() - link->pinged_at);
  if (!link->standing && !link->closing) {
    if (pool.probe_wanted) {
      pool.probe_wanted = false;
      host_.probe_ended(pool.endpoint.id, Outcome::connect_failed, loop_.now() - pool.probe_from);
    }
    bool other = false;
    for (const auto& [m, l] : pool.links) other = other || !l->closing;
    if (!other) {
      const auto waiting = std::move(pool.waiting);
      pool.waiting.clear();
      for (const CallId id : waiting)
        end(id, ending_of_break(Break::no_connection, http2::ErrorCode::no_error, why));
    }
  }
  pump(pool);
  drop_pool_if_done(pool.endpoint.id);
}

relay::Transport::Recalled Back::cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return Recalled::sent;
  Call& call = it->second;
  Recalled how = Recalled::sent;
  if (call.link == nullptr) {
    Pool& pool = *call.pool;
    pool.waiting.erase(std::find(pool.waiting.begin(), pool.waiting.end(), id));
    const bool standing =
        std::any_of(pool.links.begin(), pool.links.end(), [](const auto& l) { return l.second->standing; });
    how = standing ? Recalled::waiting : Recalled::connecting;
    calls_.erase(it);
    return how;
  }
  Link& link = *call.link;
  link.calls.erase(call.stream);
  link.h2.reset(call.stream, http2::ErrorCode::cancel);
  calls_.erase(it);
  flush(link);
  loop_.defer([this, id = link.pool->endpoint.id] {
    const auto at = pools_.find(id);
    if (at == pools_.end()) return;
    for (auto& [n, l] : at->second->links) settle(*at->second, *l);
    pump(*at->second);
  });
  return how;
}

std::vector<relay::CallId> Back::recall(const EndpointId& endpoint) {
  const auto it = pools_.find(endpoint);
  if (it == pools_.end()) return {};
  std::vector<CallId> ids(it->second->waiting.begin(), it->second->waiting.end());
  it->second->waiting.clear();
  for (const CallId id : ids) calls_.erase(id);
  return ids;
}

void Back::close_idle(const EndpointId& endpoint) {
  const auto it = pools_.find(endpoint);
  if (it == pools_.end()) return;
  for (auto& [n, link] : it->second->links)
    if (link->standing && link->calls.empty()) close_link(*link);
}

void Back::probe(const EndpointId& endpoint) {
  const auto it = pools_.find(endpoint);
  if (it == pools_.end()) return;
  Pool& pool = *it->second;
  for (auto& [n, link] : pool.links) {
    if (!link->standing || link->closing || link->probing) continue;
    link->probing = true, link->pinged_at = loop_.now();
    link->h2.ping("cedarplk");
    flush(*link);
    return;
  }
  pool.probe_wanted = true, pool.probe_from = loop_.now();
  connect(pool);
}

}  // namespace cedarplank::gateway
