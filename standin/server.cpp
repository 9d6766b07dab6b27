#include "standin/server.hpp"

#include <algorithm>

#include "record/smpp_tap.hpp"

namespace cedarplank::standin {

Destination::Destination(loop::Loop& loop, const DestinationSettings& settings, record::Sink frames,
                         std::function<void(const Effect&)> effects, std::uint64_t seed)
    : loop_(loop), partner_(settings, seed), frames_(std::move(frames)), effects_(std::move(effects)) {
  for (const auto& e : settings.endpoints)
    endpoints_.push_back(std::make_unique<Endpoint>(loop_, e, *this, frames_));
}

Endpoint& Destination::add(const EndpointSettings& settings) {
  partner_.add(settings);
  endpoints_.push_back(std::make_unique<Endpoint>(loop_, settings, *this, frames_));
  return *endpoints_.back();
}

void Destination::take_effect(Time now, const std::string& endpoint, const std::string& message,
                              const std::string& key) {
  effects_({now, endpoint, settings().name, message, key});
}

Endpoint::Endpoint(loop::Loop& loop, const EndpointSettings& settings, Destination& destination,
                   record::Sink sink)
    : loop_(loop), settings_(settings), destination_(destination), sink_(std::move(sink)) {
  address_ = settings.address;
  listen();
}

Endpoint::~Endpoint() { *alive_ = false; }

void Endpoint::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, net::Address::parse(address_),
                                              [this](net::Fd fd) { accept(std::move(fd)); });
  address_ = listener_->address().text();
}

void Endpoint::begin(const FaultSettings& f) {
  destination_.partner().begin(settings_.id, loop_.now(), f);
  if (f.fault == Fault::down) listener_.reset();
  if (f.fault == Fault::few_streams) tell_streams();
  if (!ends_connections(f.fault)) return;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, p] : peers_) ids.push_back(id);
  for (const auto id : ids) drop(id, true);
}

void Endpoint::end(Fault f) {
  destination_.partner().end(settings_.id, loop_.now(), f);
  if (f == Fault::down && !stopped_ && !listener_) listen();
  if (f == Fault::few_streams) tell_streams();
  if (f != Fault::pause) return;
  const auto received = std::move(held_);
  held_.clear();
  for (const auto& [id, bytes] : received) read(id, bytes);
  for (auto& [id, p] : peers_) flush(*p);
}

void Endpoint::tell_streams() {
  for (auto& [id, p] : peers_) {
    p->wire->limit(destination_.partner().streams(settings_.id));
    flush(*p);
  }
}

void Endpoint::stop() {
  stopped_ = true;
  listener_.reset();
  for (auto& [id, p] : peers_) {
    p->wire->say_goodbye();
    flush(*p);
  }
}

void Endpoint::accept(net::Fd fd) {
  const auto decision = destination_.partner().door(settings_.id, loop_.now(), peers_.size());
  if (decision == emulator::Partner::Door::turned_away) {
    const linger reset{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    record::Record r;
    r.at = loop_.now(), r.side = record::Record::Side::endpoint, r.place = settings_.id,
    r.what = "TURNED_AWAY";
    sink_(std::move(r));
    return;  // fd closes here
  }
  const std::uint64_t id = next_peer_++;
  auto owned = std::make_unique<Peer>();
  Peer& p = *owned;
  const bool smpp = destination_.settings().smpp;
  const WireSettings protocol_settings{settings_.id, destination_.partner().streams(settings_.id),
                                       &destination_.partner(), id};
  p.wire = smpp ? smsc_wire(protocol_settings) : http2_wire(protocol_settings);
  if (smpp)
    p.tap = std::make_unique<record::SmppTap>(record::Record::Side::endpoint, settings_.id, id, sink_);
  else
    p.tap =
        std::make_unique<record::Http2Tap>(record::Record::Side::endpoint, settings_.id, id, false, sink_);
  p.id = id, p.last_used = loop_.now();
  peers_[id] = std::move(owned);
  p.tap->note(loop_.now(), "OPEN");
  p.stream = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data = [this, id](std::string_view b) { receive(id, b); },
                            .drained = {},
                            .closed = [this, id](const std::string&) { drop(id, false); }});
  if (decision == emulator::Partner::Door::garbage) {
    p.garbage = true;
    p.stream->write(p.wire->garbage());
    p.stream->finish(100'000);
    return;
  }
  const Time slow = destination_.partner().handshake(settings_.id);
  if (slow <= 0) return flush(p);
  p.silent_until = loop_.now() + slow;
  loop_.after(slow, [this, alive = alive_, id] {
    if (!*alive || peers_.count(id) == 0) return;
    peers_.at(id)->silent_until = 0;
    flush(*peers_.at(id));
  });
}

void Endpoint::flush(Peer& p) {
  if (p.dead || p.silent_until > loop_.now() || !destination_.partner().reads(settings_.id)) return;
  const std::string bytes = p.wire->take_output();
  if (bytes.empty()) return;
  p.tap->pass(loop_.now(), true, bytes);
  p.stream->write(bytes);
}

void Endpoint::receive(std::uint64_t id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  // Recorded on arrival even if it is read after a pause: the relay has sent it by now.
  it->second->tap->pass(loop_.now(), false, bytes);
  if (destination_.partner().reads(settings_.id))
    read(id, bytes);
  else
    held_.emplace_back(id, std::string(bytes));
}

void Endpoint::read(std::uint64_t id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  Peer& p = *it->second;
  if (destination_.partner().dead(settings_.id, loop_.now() - p.last_used)) p.dead = true;
  p.last_used = loop_.now();
  if (p.dead || p.garbage) return;
  std::vector<Arrived> calls;
  p.wire->receive(loop_.now(), bytes, calls);
  for (const auto& call : calls) {
    request(p, call);
    if (peers_.count(id) == 0) return;  // a fault ended the connection
  }
  flush(p);
  if (p.wire->failed()) drop(id, !destination_.settings().smpp);
}

void Endpoint::request(Peer& p, const Arrived& call) {
  // Received in the same read as the call that triggered the GOAWAY.
  if (p.went_away && call.stream > p.last_taken) {
    if (destination_.settings().smpp) p.wire->go_away(call.stream);
    return;
  }
  if (call.status != 0) return respond(p.id, call.stream, call.status, 0);
  carry_out(p, call,
            destination_.partner().call(settings_.id, loop_.now(),
                                        {call.message, call.key, call.message_class, p.wire->open() <= 1}));
}

void Endpoint::carry_out(Peer& p, const Arrived& call, const emulator::Plan& plan) {
  using Kind = emulator::Plan::Do;
  if (plan.what == Kind::turn_back) return p.wire->turn_back(call.stream);
  if (plan.what == Kind::go_away) {
    // This call and all later ones are refused; earlier calls are finished.
    p.went_away = true, p.last_taken = call.stream - 1;
    return p.wire->go_away(call.stream);
  }
  const auto finish = [this, id = p.id, call, plan] {
    // An accepted call takes effect whether or not its caller still waits.
    if (plan.runs) destination_.take_effect(loop_.now(), settings_.id, call.message, call.key);
    if (plan.what == Kind::lose) return drop(id, true);
    if (plan.what == Kind::answer) respond(id, call.stream, plan.status, plan.wait);
  };
  if (plan.at <= loop_.now()) return finish();
  loop_.after(plan.at - loop_.now(), [alive = alive_, finish] {
    if (*alive) finish();
  });
}

void Endpoint::respond(std::uint64_t peer, std::uint32_t stream, int status, Time wait) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  it->second->wire->respond(stream, status, wait);
  flush(*it->second);
}

void Endpoint::drop(std::uint64_t id, bool abort) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  std::shared_ptr<Peer> p(std::move(it->second));
  peers_.erase(it);
  p->stream->close(abort);
  p->tap->note(loop_.now(), "CLOSE");
  loop_.defer([p] {});
}

}  // namespace cedarplank::standin
