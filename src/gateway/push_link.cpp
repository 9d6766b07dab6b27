#include "gateway/push_link.hpp"

#include <algorithm>

namespace cedarplank::gateway {
namespace {

// How long the rest of the output may take to be sent when the connection is closed. In us.
constexpr Time kCloseLinger = 1'000'000;
// Bytes of a response's body that are read and ignored; beyond it the stream is reset.
constexpr std::size_t kMaxIgnoredBodyBytes = 64 * 1024;

}  // namespace

PushLink::PushLink(loop::Loop& loop, const config::RelaySettings& settings,
                   const config::PartnerEndpoint& endpoint, pool::LinkId id, back::EndpointDriver& driver,
                   Host host, const Connector& connector)
    : loop_(loop),
      settings_(settings),
      endpoint_(endpoint),
      id_(id),
      driver_(driver),
      host_(std::move(host)) {
  net::Stream::Handlers handlers;
  handlers.connected = [this] { flush(); };
  handlers.data = [this](std::string_view bytes) { receive(bytes); };
  handlers.drained = [this] { driver_.connection_changed(endpoint_.id); };
  handlers.closed = [this](const std::string& why) { driver_.connection_closed(endpoint_.id, id_, why); };
  // The connect time-out covers the wait for the endpoint's SETTINGS as well, not only the socket's connect.
  const auto to = net::Address::parse(endpoint_.address);
  const Time timeout = settings_.dispatcher.connect_timeout;
  stream_ = connector ? connector(to, timeout, std::move(handlers))
                      : std::make_unique<net::TcpStream>(loop_, to, timeout, std::move(handlers));
}

void PushLink::flush() {
  if (h2_.has_output()) stream_->write(h2_.take_output());
}

// No call is written behind bytes that the endpoint hasn't read yet, because such a call could no longer be
// cancelled before it leaves.
bool PushLink::can_send() const {
  return h2_.can_request() && stream_->bytes_written() == stream_->bytes_flushed() &&
         h2_.unsent_body_bytes() == 0;
}

std::optional<back::Link::Capacity> PushLink::capacity() {
  if (!h2_.established()) return std::nullopt;
  // Streams whose response body is still being received count too; the pool doesn't know of them.
  const bool full = h2_.open_streams() >= static_cast<std::size_t>(settings_.endpoint_streams_max);
  return Capacity{h2_.peer_max_streams(), full || !can_send()};
}

back::Link::SubmitResult PushLink::submit(const relay::OutgoingCall& call, Time left) {
  if (!can_send()) return {SubmitResult::Status::no_capacity, 0, {}};
  const relay::NewMessage& m = *call.message;
  http2::Headers headers = {{":method", "POST"},
                            {":scheme", "http"},
                            {":authority", endpoint_.address},
                            {":path", endpoint_.path},
                            {"ttl", std::to_string((left + 999'999) / 1'000'000)},
                            {"via", "2 " + settings_.name}};
  const auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) headers.push_back({name, value});
  };
  add("idempotency-key", m.idempotency_key);
  add("topic", m.topic);
  add("urgency", m.urgency);
  add("recipient", m.recipient);
  add("sender", m.sender);
  add("content-type", m.content_type);
  add("content-encoding", m.content_encoding);
  headers.push_back({"content-length", std::to_string(m.body.size())});
  SentCall out;
  out.begin_offset = stream_->bytes_written() + h2_.output_size();
  out.stream = h2_.request(headers, m.body);
  calls_by_stream_[out.stream] = call.id, sent_calls_[call.id] = out;
  flush();
  return {SubmitResult::Status::sent, out.stream, {}};
}

void PushLink::finish_call(http2::StreamId stream, relay::CallResult result) {
  const auto it = calls_by_stream_.find(stream);
  if (it == calls_by_stream_.end()) return;
  const auto call = it->second;
  calls_by_stream_.erase(it), sent_calls_.erase(call);
  driver_.call_answered(endpoint_.id, id_, call, std::move(result));
}

void PushLink::receive(std::string_view bytes) {
  driver_.data_received(endpoint_.id, id_);
  std::vector<http2::Event> events;
  h2_.receive(loop_.now(), bytes, events);
  for (auto& e : events) on_event(e);
  flush();
  if (h2_.failed()) {
    std::string why = "connection error";
    for (const auto& e : events)
      if (e.type == http2::Event::Type::failed) why = e.data;
    host_.log("endpoint " + endpoint_.id + ": " + why);
    return driver_.connection_closed(endpoint_.id, id_, why);
  }
  run_maintenance();
  driver_.pump(endpoint_.id);
}

void PushLink::on_event(http2::Event& e) {
  using Type = http2::Event::Type;
  switch (e.type) {
    case Type::settings:
      driver_.connection_ready(endpoint_.id, id_, h2_.peer_max_streams());
      break;
    case Type::headers: {
      if (calls_by_stream_.count(e.stream) == 0) break;
      if (!e.end_stream) unfinished_responses_[e.stream] = {loop_.now(), 0};
      const auto kind = static_cast<std::size_t>(endpoint_.kind);
      const auto wire =
          kind < settings_.kind_protocols.size() ? settings_.kind_protocols[kind] : config::KindProtocol{};
      finish_call(e.stream, result_of_response(e.headers, wire, host_.wall_clock()));
      break;
    }
    case Type::data: {
      const auto it = unfinished_responses_.find(e.stream);
      if (it == unfinished_responses_.end()) break;
      it->second.second += e.data.size();
      if (e.end_stream) {
        unfinished_responses_.erase(it);
      } else if (it->second.second > kMaxIgnoredBodyBytes) {
        unfinished_responses_.erase(it);
        h2_.reset(e.stream, http2::ErrorCode::cancel);
      }
      break;
    }
    case Type::trailers:
      unfinished_responses_.erase(e.stream);
      break;
    case Type::reset: {
      unfinished_responses_.erase(e.stream);
      const bool refused = !e.local && e.code == http2::ErrorCode::refused_stream;
      finish_call(e.stream, refused ? result_of_interruption(Interruption::refused_stream, e.code, "")
                                    : result_of_interruption(Interruption::reset, e.code, e.data));
      break;
    }
    case Type::unprocessed:
      unfinished_responses_.erase(e.stream);
      finish_call(e.stream, result_of_interruption(Interruption::goaway, e.code, ""));
      break;
    case Type::ping_ack:
      driver_.pong_received(endpoint_.id, id_);
      break;
    case Type::goaway:
      driver_.connection_draining(endpoint_.id, id_);
      break;
    case Type::failed:
      break;
  }
}

// Resets streams whose response body doesn't end in time; they would count against the stream limit for ever.
void PushLink::run_maintenance() {
  for (auto it = unfinished_responses_.begin(); it != unfinished_responses_.end();) {
    const auto [stream, tail] = *it;
    const bool late = loop_.now() - tail.first > settings_.stalled_after;
    if (late) h2_.reset(stream, http2::ErrorCode::cancel);
    it = late ? unfinished_responses_.erase(it) : std::next(it);
  }
  flush();
}

void PushLink::reset(relay::CallId call) {
  const auto it = sent_calls_.find(call);
  if (it == sent_calls_.end()) return;
  calls_by_stream_.erase(it->second.stream);
  h2_.reset(it->second.stream, http2::ErrorCode::cancel);
  sent_calls_.erase(it);
  flush();
}

void PushLink::ping() {
  h2_.ping("cedarplk");
  flush();
}

void PushLink::close() {
  h2_.goaway();
  flush();
  stream_->finish(kCloseLinger);
}

relay::CallResult PushLink::ending_when_lost(relay::CallId call, const std::string& why) {
  const auto it = sent_calls_.find(call);
  // If not a byte of it was handed to the kernel, the call can't have run.
  const bool may_have_left = it == sent_calls_.end() || stream_->bytes_flushed() > it->second.begin_offset;
  return result_of_interruption(may_have_left ? Interruption::reset : Interruption::unsent,
                                http2::ErrorCode::no_error, why);
}

}  // namespace cedarplank::gateway
