#include "standin/server.hpp"

#include <algorithm>

#include "record/smpp_wire_capture.hpp"

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

void Destination::report_effect(Time now, const std::string& endpoint, const std::string& message,
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
  if (f.fault == Fault::few_streams) send_stream_limit();
  if (!ends_connections(f.fault)) return;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, p] : connections_) ids.push_back(id);
  for (const auto id : ids) close_connection(id, true);
}

void Endpoint::end(Fault f) {
  destination_.partner().end(settings_.id, loop_.now(), f);
  if (f == Fault::down && !stopped_ && !listener_) listen();
  if (f == Fault::few_streams) send_stream_limit();
  if (f != Fault::pause) return;
  const auto received = std::move(paused_input_);
  paused_input_.clear();
  for (const auto& [id, bytes] : received) read(id, bytes);
  for (auto& [id, p] : connections_) flush(*p);
}

void Endpoint::send_stream_limit() {
  for (auto& [id, p] : connections_) {
    p->protocol->limit_calls(destination_.partner().max_calls(settings_.id));
    flush(*p);
  }
}

void Endpoint::stop() {
  stopped_ = true;
  listener_.reset();
  for (auto& [id, p] : connections_) {
    p->protocol->announce_shutdown();
    flush(*p);
  }
}

void Endpoint::accept(net::Fd fd) {
  const auto decision =
      destination_.partner().decide_connection(settings_.id, loop_.now(), connections_.size());
  if (decision == emulator::Partner::ConnectionDecision::reset) {
    const linger reset{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    record::CaptureRecord r;
    r.at = loop_.now(), r.side = record::CaptureRecord::Side::endpoint, r.place = settings_.id,
    r.what = "TURNED_AWAY";
    sink_(std::move(r));
    return;  // fd closes here
  }
  const std::uint64_t id = next_connection_++;
  auto owned = std::make_unique<ClientConnection>();
  ClientConnection& p = *owned;
  const bool smpp = destination_.settings().smpp;
  const ProtocolSettings protocol_settings{settings_.id, destination_.partner().max_calls(settings_.id),
                                           &destination_.partner(), id};
  p.protocol = smpp ? make_smsc_protocol(protocol_settings) : make_http2_protocol(protocol_settings);
  if (smpp)
    p.capture = std::make_unique<record::SmppWireCapture>(record::CaptureRecord::Side::endpoint, settings_.id,
                                                          id, sink_);
  else
    p.capture = std::make_unique<record::Http2WireCapture>(record::CaptureRecord::Side::endpoint,
                                                           settings_.id, id, false, sink_);
  p.id = id, p.last_used = loop_.now();
  connections_[id] = std::move(owned);
  p.capture->record_connection_event(loop_.now(), "OPEN");
  p.stream = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data = [this, id](std::string_view b) { receive(id, b); },
                            .drained = {},
                            .closed = [this, id](const std::string&) { close_connection(id, false); }});
  if (decision == emulator::Partner::ConnectionDecision::garbage) {
    p.garbage = true;
    p.stream->write(p.protocol->foreign_bytes());
    p.stream->finish(100'000);
    return;
  }
  const Time slow = destination_.partner().handshake_delay(settings_.id);
  if (slow <= 0) return flush(p);
  p.silent_until = loop_.now() + slow;
  loop_.after(slow, [this, alive = alive_, id] {
    if (!*alive || connections_.count(id) == 0) return;
    connections_.at(id)->silent_until = 0;
    flush(*connections_.at(id));
  });
}

void Endpoint::flush(ClientConnection& p) {
  if (p.dead || p.silent_until > loop_.now() || !destination_.partner().is_reading(settings_.id)) return;
  const std::string bytes = p.protocol->take_output();
  if (bytes.empty()) return;
  p.capture->process_bytes(loop_.now(), true, bytes);
  p.stream->write(bytes);
}

void Endpoint::receive(std::uint64_t id, std::string_view bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  // Recorded on arrival even if it is read after a pause: the relay has sent it by now.
  it->second->capture->process_bytes(loop_.now(), false, bytes);
  if (destination_.partner().is_reading(settings_.id))
    read(id, bytes);
  else
    paused_input_.emplace_back(id, std::string(bytes));
}

void Endpoint::read(std::uint64_t id, std::string_view bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  ClientConnection& p = *it->second;
  if (destination_.partner().is_dead(settings_.id, loop_.now() - p.last_used)) p.dead = true;
  p.last_used = loop_.now();
  if (p.dead || p.garbage) return;
  std::vector<ReceivedCall> calls;
  p.protocol->receive(loop_.now(), bytes, calls);
  for (const auto& call : calls) {
    request(p, call);
    if (connections_.count(id) == 0) return;  // a fault ended the connection
  }
  flush(p);
  if (p.protocol->failed()) close_connection(id, !destination_.settings().smpp);
}

void Endpoint::request(ClientConnection& p, const ReceivedCall& call) {
  // Received in the same read as the call that triggered the GOAWAY.
  if (p.goaway_sent && call.stream > p.last_accepted) {
    if (destination_.settings().smpp) p.protocol->go_away(call.stream);
    return;
  }
  if (call.status != 0) return respond(p.id, call.stream, call.status, 0);
  carry_out(p, call,
            destination_.partner().call(
                settings_.id, loop_.now(),
                {call.message, call.key, call.message_class, p.protocol->open_calls() <= 1}));
}

void Endpoint::carry_out(ClientConnection& p, const ReceivedCall& call, const emulator::CallPlan& plan) {
  using Kind = emulator::CallPlan::Kind;
  if (plan.kind == Kind::refuse) return p.protocol->refuse(call.stream);
  if (plan.kind == Kind::go_away) {
    // This call and all later ones are refused; earlier calls are finished.
    p.goaway_sent = true, p.last_accepted = call.stream - 1;
    return p.protocol->go_away(call.stream);
  }
  const auto finish = [this, id = p.id, call, plan] {
    // An accepted call takes effect whether or not its caller still waits.
    if (plan.takes_effect) destination_.report_effect(loop_.now(), settings_.id, call.message, call.key);
    if (plan.kind == Kind::drop_connection) return close_connection(id, true);
    if (plan.kind == Kind::answer) respond(id, call.stream, plan.status, plan.wait);
  };
  if (plan.at <= loop_.now()) return finish();
  loop_.after(plan.at - loop_.now(), [alive = alive_, finish] {
    if (*alive) finish();
  });
}

void Endpoint::respond(std::uint64_t peer, std::uint32_t stream, int status, Time wait) {
  const auto it = connections_.find(peer);
  if (it == connections_.end()) return;
  it->second->protocol->respond(stream, status, wait);
  flush(*it->second);
}

void Endpoint::close_connection(std::uint64_t id, bool abort) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  std::shared_ptr<ClientConnection> p(std::move(it->second));
  connections_.erase(it);
  p->stream->close(abort);
  p->capture->record_connection_event(loop_.now(), "CLOSE");
  loop_.defer([p] {});
}

}  // namespace cedarplank::standin
