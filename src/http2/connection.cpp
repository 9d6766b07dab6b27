#include "http2/connection.hpp"

#include <algorithm>
#include <charconv>

namespace cedarplank::http2 {
namespace {

constexpr std::size_t kMaxRememberedResets = 1024;  // streams
// Bytes of a request's body that are received and ignored after the response; beyond it the stream is reset.
constexpr std::uint64_t kMaxIgnoredBodyBytes = 64 * 1024;

// RFC 9113 section 8.2.1: no upper case, no control characters, no spaces, and a colon only in front.
bool valid_name(std::string_view name) {
  if (name.empty()) return false;
  for (std::size_t i = 0; i < name.size(); i++) {
    const auto c = static_cast<unsigned char>(name[i]);
    if (c <= 0x20 || c >= 0x7f || (c >= 'A' && c <= 'Z') || (c == ':' && i > 0)) return false;
  }
  return true;
}
// Section 8.2.1: no NUL, CR or LF, and no blank at either end.
bool valid_value(std::string_view value) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  if (!value.empty() && (blank(value.front()) || blank(value.back()))) return false;
  return value.find_first_of(std::string_view("\0\r\n", 3)) == std::string_view::npos;
}

}  // namespace

std::string_view find_header(const Headers& headers, std::string_view name) {
  for (const auto& h : headers)
    if (h.name == name) return h.value;
  return {};
}
bool has_header(const Headers& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const Header& h) { return h.name == name; });
}

bool Connection::TokenBucket::take(Time now, double burst, double rate) {
  if (refilled_at == 0) tokens = burst;
  tokens = std::min(burst, tokens + rate * static_cast<double>(now - refilled_at) * 1e-6);
  refilled_at = std::max<Time>(now, 1);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

Connection::Connection(Role role, const LocalSettings& local, const Limits& limits)
    : role_(role),
      local_(local),
      limits_(limits),
      next_stream_(role == Role::client ? 1 : 2),
      announced_stream_limit_(local.max_concurrent_streams),
      enforced_stream_limit_(local.max_concurrent_streams) {
  // Section 3.4: the client's preface, then SETTINGS from either side as the first frame.
  if (role == Role::client) output_.append(kClientPreface);
  std::vector<std::pair<Setting, std::uint32_t>> settings = {
      {Setting::initial_window_size, local.initial_window_size},
      {Setting::max_header_list_size, local.max_header_list_size}};
  if (local.header_table_size != 4096)
    settings.emplace_back(Setting::header_table_size, local.header_table_size);
  if (local.max_frame_size != 16'384) settings.emplace_back(Setting::max_frame_size, local.max_frame_size);
  if (role == Role::client)
    settings.emplace_back(Setting::enable_push, 0);
  else
    settings.emplace_back(Setting::max_concurrent_streams, local.max_concurrent_streams);
  put_settings(settings, output_);
  if (local.connection_window > 65'535) {
    put_window_update(0, local.connection_window - 65'535, output_);
    receive_window_ = local.connection_window;
  }
}

std::string Connection::take_output() {
  unsent_replies_ = 0;
  std::string bytes;
  bytes.swap(output_);
  return bytes;
}

Event& Connection::emit(Event::Type type, StreamId stream) {
  Event e;
  e.type = type, e.stream = stream;
  events_->push_back(std::move(e));
  return events_->back();
}

bool Connection::connection_error(ErrorCode code, const std::string& why) {
  // Section 5.4.1: GOAWAY with the last stream that was processed, then the connection is closed.
  if (failed_) return false;
  failed_ = true;
  put_goaway(std::min(last_peer_stream_, goaway_last_sent_), code, why.substr(0, 200), output_);
  Event& e = emit(Event::Type::failed, 0);
  e.local = true, e.code = code, e.data = why;
  streams_.clear(), waiting_streams_.clear(), peer_stream_count_ = 0, unsent_body_bytes_ = 0;
  return false;
}

void Connection::remember_reset(StreamId id) {
  if (!recent_resets_.insert(id).second) return;
  recent_resets_by_age_.push_back(id);
  if (recent_resets_by_age_.size() > kMaxRememberedResets) {
    recent_resets_.erase(recent_resets_by_age_.front());
    recent_resets_by_age_.pop_front();
  }
}

void Connection::stream_error(StreamId id, ErrorCode code, const char* why) {
  // Section 5.4.2: RST_STREAM; the connection goes on.
  put_rst_stream(id, code, output_);
  remember_reset(id);
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  it->second.local_ended = it->second.remote_ended = true;
  drop_if_done(id);
  Event& e = emit(Event::Type::reset, id);
  e.local = true, e.code = code, e.data = why;
}

void Connection::drop_if_done(StreamId id) {
  const auto it = streams_.find(id);
  if (it == streams_.end() || !it->second.local_ended || !it->second.remote_ended) return;
  unsent_body_bytes_ -= it->second.body.size() - it->second.body_sent;
  waiting_streams_.erase(id);
  if (!is_local_stream(id)) peer_stream_count_--;
  streams_.erase(it);
}

bool Connection::is_idle_stream(StreamId id) const {
  return is_local_stream(id) ? id >= next_stream_ : id > last_peer_stream_;
}

bool Connection::count_control_frame() {
  if (control_bucket_.take(now_, limits_.control_burst, limits_.control_per_s)) return true;
  return connection_error(ErrorCode::enhance_your_calm, "too many control frames (section 10.5)");
}

void Connection::receive(Time now, std::string_view bytes, std::vector<Event>& events) {
  if (failed_) return;
  now_ = now, events_ = &events;
  input_.append(bytes);
  std::size_t at = 0;
  if (role_ == Role::server && !preface_seen_) {
    // Section 3.4: an invalid preface is a connection error PROTOCOL_ERROR, reported at the first wrong byte.
    const std::size_t n = std::min(input_.size(), kClientPreface.size());
    if (std::string_view(input_).substr(0, n) != kClientPreface.substr(0, n)) {
      connection_error(ErrorCode::protocol_error, "no HTTP/2 preface (section 3.4)");
      events_ = nullptr;
      return;
    }
    if (input_.size() < kClientPreface.size()) {
      events_ = nullptr;
      return;
    }
    preface_seen_ = true;
    at = kClientPreface.size();
  }
  while (!failed_ && input_.size() - at >= kFrameHeaderSize) {
    const FrameHeader h = parse_frame_header(input_, at);
    if (!peer_settings_seen_ && h.type != FrameType::settings) {
      connection_error(ErrorCode::protocol_error, "the first frame is no SETTINGS (section 3.4)");
      break;
    }
    if (h.length > local_.max_frame_size) {
      connection_error(ErrorCode::frame_size_error, "a frame exceeds SETTINGS_MAX_FRAME_SIZE (section 4.2)");
      break;
    }
    if (input_.size() - at < kFrameHeaderSize + h.length) break;
    const std::string_view payload = std::string_view(input_).substr(at + kFrameHeaderSize, h.length);
    if (!on_frame(h, payload)) break;
    at += kFrameHeaderSize + h.length;
  }
  input_.erase(0, at);
  if (failed_) input_.clear();
  events_ = nullptr;
}

bool Connection::on_frame(const FrameHeader& h, std::string_view payload) {
  if (block_stream_ != 0 && (h.type != FrameType::continuation || h.stream != block_stream_))
    return connection_error(ErrorCode::protocol_error, "a frame interrupts a header block (section 6.10)");
  switch (h.type) {
    case FrameType::data:
      return on_data(h, payload);
    case FrameType::headers:
      return on_headers(h, payload);
    case FrameType::priority:
      // Section 6.3. Priorities are deprecated, so only the frame's form is checked.
      if (h.stream == 0)
        return connection_error(ErrorCode::protocol_error, "PRIORITY on stream 0 (section 6.3)");
      if (h.length != 5) {
        if (is_idle_stream(h.stream))
          return connection_error(ErrorCode::frame_size_error, "PRIORITY of a wrong length (section 6.3)");
        stream_error(h.stream, ErrorCode::frame_size_error, "PRIORITY of a wrong length (section 6.3)");
      }
      return count_control_frame();
    case FrameType::rst_stream:
      return on_rst_stream(h, payload);
    case FrameType::settings:
      return on_settings(h, payload);
    case FrameType::push_promise:
      // Section 8.4: a client can't push, and as a client this side has disabled push.
      return connection_error(ErrorCode::protocol_error, "PUSH_PROMISE though push is off (section 8.4)");
    case FrameType::ping:
      return on_ping(h, payload);
    case FrameType::goaway:
      return on_goaway(h, payload);
    case FrameType::window_update:
      return on_window_update(h, payload);
    case FrameType::continuation:
      return on_continuation(h, payload);
  }
  return count_control_frame();  // section 4.1: unknown types are ignored
}

bool Connection::unpad(const FrameHeader& h, std::string_view& payload) {
  if (!h.has(flag::padded)) return true;
  if (payload.empty())
    return connection_error(ErrorCode::frame_size_error, "padding without its length (section 6.1)");
  const std::size_t padding = static_cast<unsigned char>(payload[0]);
  payload.remove_prefix(1);
  if (padding > payload.size())
    return connection_error(ErrorCode::protocol_error, "padding as long as the frame (section 6.1)");
  payload.remove_suffix(padding);
  return true;
}

bool Connection::on_data(const FrameHeader& h, std::string_view payload) {
  if (h.stream == 0) return connection_error(ErrorCode::protocol_error, "DATA on stream 0 (section 6.1)");
  if (is_idle_stream(h.stream))
    return connection_error(ErrorCode::protocol_error, "DATA on an idle stream (section 5.1)");
  // Section 6.9.1: the whole frame counts against both windows, padding included, even on closed streams.
  if (static_cast<std::int64_t>(h.length) > receive_window_)
    return connection_error(ErrorCode::flow_control_error,
                            "DATA beyond the connection's window (section 6.9.1)");
  receive_window_ -= h.length, unreturned_window_ += h.length;
  if (unreturned_window_ * 2 >= static_cast<std::int64_t>(local_.connection_window)) {
    put_window_update(0, static_cast<std::uint32_t>(unreturned_window_), output_);
    receive_window_ += unreturned_window_, unreturned_window_ = 0;
  }
  if (!unpad(h, payload)) return false;
  if (payload.empty() && !h.has(flag::end_stream) && !count_control_frame()) return false;
  const auto it = streams_.find(h.stream);
  if (it == streams_.end()) {
    // Section 5.1, closed: frames that cross a RST_STREAM are ignored, as are those on streams above a
    // GOAWAY's last stream.
    if (recent_resets_.count(h.stream) || (!is_local_stream(h.stream) && h.stream > goaway_last_sent_))
      return true;
    put_rst_stream(h.stream, ErrorCode::stream_closed, output_);
    remember_reset(h.stream);
    return count_control_frame();
  }
  Stream& s = it->second;
  if (s.remote_ended) {
    stream_error(h.stream, ErrorCode::stream_closed, "DATA after END_STREAM (section 5.1)");
    return true;
  }
  if (!s.headers_seen) {
    stream_error(h.stream, ErrorCode::protocol_error, "DATA before the final response (section 8.1)");
    return true;
  }
  if (static_cast<std::int64_t>(h.length) > s.receive_window) {
    stream_error(h.stream, ErrorCode::flow_control_error, "DATA beyond the stream's window (section 6.9.1)");
    return true;
  }
  s.receive_window -= h.length, s.unreturned_window += h.length;
  s.received += payload.size();
  const bool end = h.has(flag::end_stream);
  if (!is_local_stream(h.stream) && s.local_ended && !end &&
      s.received > s.received_before_response + kMaxIgnoredBodyBytes) {
    // Section 8.1: RST_STREAM(NO_ERROR) asks the client to stop sending. It isn't sent together with the
    // response, because widely used clients then drop the response (curl 7.88 dropped one in twenty).
    put_rst_stream(h.stream, ErrorCode::no_error, output_);
    remember_reset(h.stream);
    s.remote_ended = true;
    drop_if_done(h.stream);
    return true;
  }
  // Section 8.1.1: a message is malformed if its DATA doesn't add up to its content-length.
  if (s.content_length && (s.received > *s.content_length || (end && s.received != *s.content_length)) &&
      !s.head_request) {
    stream_error(h.stream, ErrorCode::protocol_error, "content-length is not kept (section 8.1.1)");
    return true;
  }
  if (!end && s.unreturned_window * 2 >= static_cast<std::int64_t>(local_.initial_window_size)) {
    put_window_update(h.stream, static_cast<std::uint32_t>(s.unreturned_window), output_);
    s.receive_window += s.unreturned_window, s.unreturned_window = 0;
  }
  if (!payload.empty() || end) {
    Event& e = emit(Event::Type::data, h.stream);
    e.data.assign(payload), e.end_stream = end;
  }
  if (end) end_remote(h.stream, s);
  return true;
}

void Connection::end_remote(StreamId id, Stream& s) {
  s.remote_ended = true;
  if (role_ == Role::client && !s.local_ended && s.body_sent < s.body.size()) {
    // Section 8.1: the response is complete before the request is; the rest of the request's body isn't sent.
    put_rst_stream(id, ErrorCode::cancel, output_);
    remember_reset(id);
    s.local_ended = true;
  }
  drop_if_done(id);
}

bool Connection::on_headers(const FrameHeader& h, std::string_view payload) {
  if (h.stream == 0) return connection_error(ErrorCode::protocol_error, "HEADERS on stream 0 (section 6.2)");
  if (!unpad(h, payload)) return false;
  if (h.has(flag::priority)) {
    if (payload.size() < 5)
      return connection_error(ErrorCode::frame_size_error,
                              "HEADERS too short for its priority (section 6.2)");
    payload.remove_prefix(5);
  }
  if (is_local_stream(h.stream) && is_idle_stream(h.stream))
    return connection_error(ErrorCode::protocol_error, "HEADERS on an idle stream (section 5.1)");
  if (!is_local_stream(h.stream) && role_ == Role::client)
    return connection_error(ErrorCode::protocol_error, "a stream that the server opened (section 5.1.1)");
  block_stream_ = h.stream;
  block_.assign(payload);
  block_ends_stream_ = h.has(flag::end_stream);
  continuations_ = 0;
  if (!h.has(flag::end_headers)) return true;
  return on_header_block();
}

bool Connection::on_continuation(const FrameHeader& h, std::string_view payload) {
  if (block_stream_ == 0)
    return connection_error(ErrorCode::protocol_error, "CONTINUATION without HEADERS (section 6.10)");
  // Section 10.5: a header block without end is an attack, so its size and its number of frames are bounded.
  if (++continuations_ > limits_.continuations)
    return connection_error(ErrorCode::enhance_your_calm, "too many CONTINUATION frames (section 10.5)");
  if (block_.size() + payload.size() >
      2 * static_cast<std::size_t>(local_.max_header_list_size) + local_.max_frame_size)
    return connection_error(ErrorCode::enhance_your_calm, "a header block is too large (section 10.5.1)");
  block_.append(payload);
  if (!h.has(flag::end_headers)) return true;
  return on_header_block();
}

bool Connection::on_header_block() {
  const StreamId id = block_stream_;
  block_stream_ = 0;
  Headers headers;
  // Decoded even if the stream is then refused or ignored: all streams share the table (section 4.3).
  const auto result = decoder_.decode(block_, local_.max_header_list_size, headers);
  block_.clear();
  if (result == HpackDecoder::Result::error)
    return connection_error(ErrorCode::compression_error, decoder_.error() + " (RFC 7541)");

  auto it = streams_.find(id);
  if (it == streams_.end()) {
    if (is_local_stream(id) || id <= last_peer_stream_) {
      if (recent_resets_.count(id)) return true;
      // Section 5.1: the stream is closed, and not by a recent reset of this side.
      return connection_error(ErrorCode::stream_closed, "HEADERS on a closed stream (section 5.1)");
    }
    if (id % 2 == 0)
      return connection_error(ErrorCode::protocol_error, "an even stream by a client (section 5.1.1)");
    // Section 6.8: ignored; the GOAWAY told the peer that it isn't processed.
    if (goaway_sent_ && id > goaway_last_sent_) {
      last_peer_stream_ = id;
      remember_reset(id);
      return true;
    }
    last_peer_stream_ = id;
    if (peer_stream_count_ >= enforced_stream_limit_) {
      // Section 5.1.2: REFUSED_STREAM proves to the peer that the request was not processed.
      stream_error(id, ErrorCode::refused_stream, "beyond SETTINGS_MAX_CONCURRENT_STREAMS");
      if (!reset_bucket_.take(now_, limits_.resets_burst, limits_.resets_per_s))
        return connection_error(ErrorCode::enhance_your_calm, "too many streams refused (section 10.5)");
      return true;
    }
    Stream s;
    s.send_window = peer_initial_window_;
    // Until the peer has acknowledged our SETTINGS, it may still use the default window (section 6.9.3).
    s.receive_window =
        local_settings_acked_ ? local_.initial_window_size : std::max(65'535u, local_.initial_window_size);
    it = streams_.emplace(id, std::move(s)).first;
    peer_stream_count_++;
  }
  Stream& s = it->second;
  if (s.remote_ended) {
    stream_error(id, ErrorCode::stream_closed, "HEADERS after END_STREAM (section 5.1)");
    return true;
  }
  if (++s.header_blocks > limits_.trailers_and_interim) {
    stream_error(id, ErrorCode::enhance_your_calm, "too many field sections on one stream (section 10.5)");
    return true;
  }
  if (result == HpackDecoder::Result::too_large) {
    stream_error(id, ErrorCode::enhance_your_calm, "a header list exceeds the limit (section 10.5.1)");
    return true;
  }
  const bool trailers = s.headers_seen;
  if (trailers && !block_ends_stream_) {
    stream_error(id, ErrorCode::protocol_error, "trailers without END_STREAM (section 8.1)");
    return true;
  }
  if (const char* why = field_section_error(headers, trailers, s)) {
    stream_error(id, ErrorCode::protocol_error, why);  // section 8.1.1
    return true;
  }
  if (role_ == Role::client && !trailers) {
    const auto status = find_header(headers, ":status");
    if (status[0] == '1') {  // interim response (section 8.1)
      if (block_ends_stream_)
        stream_error(id, ErrorCode::protocol_error, "an interim response with END_STREAM (section 8.1)");
      return count_control_frame();
    }
  }
  if (!trailers) {
    s.headers_seen = true;
    const auto length = find_header(headers, "content-length");
    if (!length.empty()) {
      std::uint64_t n = 0;
      const auto [end, error] = std::from_chars(length.data(), length.data() + length.size(), n);
      if (error != std::errc() || end != length.data() + length.size()) {
        stream_error(id, ErrorCode::protocol_error, "content-length is no number (RFC 9110 section 8.6)");
        return true;
      }
      s.content_length = n;
    }
  }
  if (block_ends_stream_ && s.content_length && s.received != *s.content_length && !s.head_request) {
    stream_error(id, ErrorCode::protocol_error, "content-length is not kept (section 8.1.1)");
    return true;
  }
  Event& e = emit(trailers ? Event::Type::trailers : Event::Type::headers, id);
  e.headers = std::move(headers), e.end_stream = block_ends_stream_;
  if (block_ends_stream_) end_remote(id, s);
  return true;
}

// Checks sections 8.2 and 8.3.
const char* Connection::field_section_error(const Headers& headers, bool trailers, Stream&) const {
  bool regular = false;
  int method = 0, scheme = 0, path = 0, authority = 0, status = 0;
  std::string_view method_value, path_value, status_value;
  for (const auto& h : headers) {
    if (!valid_name(h.name)) return "a field name is invalid (section 8.2.1)";
    if (!valid_value(h.value)) return "a field value is invalid (section 8.2.1)";
    if (h.name[0] == ':') {
      if (trailers) return "a pseudo-header in trailers (section 8.1)";
      if (regular) return "a pseudo-header after a regular one (section 8.3)";
      if (role_ == Role::server && h.name == ":method")
        method++, method_value = h.value;
      else if (role_ == Role::server && h.name == ":scheme")
        scheme++;
      else if (role_ == Role::server && h.name == ":path")
        path++, path_value = h.value;
      else if (role_ == Role::server && h.name == ":authority")
        authority++;
      else if (role_ == Role::client && h.name == ":status")
        status++, status_value = h.value;
      else
        return "an unknown pseudo-header (section 8.3)";
      continue;
    }
    regular = true;
    // Section 8.2.2: connection-specific fields are not allowed in HTTP/2.
    if (h.name == "connection" || h.name == "proxy-connection" || h.name == "keep-alive" ||
        h.name == "transfer-encoding" || h.name == "upgrade")
      return "a connection-specific field (section 8.2.2)";
    if (h.name == "te" && h.value != "trailers") return "te other than trailers (section 8.2.2)";
  }
  if (trailers) return nullptr;
  if (role_ == Role::server) {
    if (method != 1) return ":method must be there once (section 8.3.1)";
    if (method_value == "CONNECT")
      return scheme == 0 && path == 0 && authority == 1 ? nullptr
                                                        : "CONNECT with wrong pseudo-headers (section 8.5)";
    if (scheme != 1 || path != 1 || path_value.empty() || authority > 1)
      return ":scheme and :path must be there once (section 8.3.1)";
    return nullptr;
  }
  const bool three_digits =
      status_value.size() == 3 &&
      std::all_of(status_value.begin(), status_value.end(), [](char c) { return c >= '0' && c <= '9'; });
  return status == 1 && three_digits && status_value[0] != '0' ? nullptr
                                                               : ":status must be there once (section 8.3.2)";
}

bool Connection::on_rst_stream(const FrameHeader& h, std::string_view payload) {
  if (h.stream == 0)
    return connection_error(ErrorCode::protocol_error, "RST_STREAM on stream 0 (section 6.4)");
  if (h.length != 4)
    return connection_error(ErrorCode::frame_size_error, "RST_STREAM of a wrong length (section 6.4)");
  if (is_idle_stream(h.stream))
    return connection_error(ErrorCode::protocol_error, "RST_STREAM on an idle stream (section 6.4)");
  if (role_ == Role::server && !reset_bucket_.take(now_, limits_.resets_burst, limits_.resets_per_s))
    return connection_error(ErrorCode::enhance_your_calm, "streams are reset too fast (section 10.5)");
  const auto it = streams_.find(h.stream);
  if (it == streams_.end()) return true;
  it->second.local_ended = it->second.remote_ended = true;
  drop_if_done(h.stream);
  emit(Event::Type::reset, h.stream).code = static_cast<ErrorCode>(read_u32(payload, 0));
  return true;
}

bool Connection::on_settings(const FrameHeader& h, std::string_view payload) {
  if (h.stream != 0) return connection_error(ErrorCode::protocol_error, "SETTINGS on a stream (section 6.5)");
  if (h.has(flag::ack)) {
    if (h.length != 0)
      return connection_error(ErrorCode::frame_size_error, "SETTINGS ACK with a payload (section 6.5)");
    if (!peer_settings_seen_)
      return connection_error(ErrorCode::protocol_error, "the first frame is an ACK (section 3.4)");
    if (!local_settings_acked_) {
      local_settings_acked_ = true;
      decoder_.set_table_size_limit(local_.header_table_size);
    } else if (!unacked_stream_limits_.empty()) {
      enforced_stream_limit_ = unacked_stream_limits_.front();
      unacked_stream_limits_.pop_front();
    }
    return count_control_frame();
  }
  if (h.length % 6 != 0)
    return connection_error(ErrorCode::frame_size_error, "SETTINGS of a wrong length (section 6.5)");
  if (h.length / 6 > limits_.settings_entries)
    return connection_error(ErrorCode::enhance_your_calm, "too many entries in SETTINGS (section 10.5)");
  for (std::size_t at = 0; at < payload.size(); at += 6) {
    const std::uint32_t value = read_u32(payload, at + 2);
    switch (static_cast<Setting>(read_u16(payload, at))) {
      case Setting::header_table_size:
        encoder_.set_table_size_limit(value);
        break;
      case Setting::enable_push:
        // Section 6.5.2: 0 or 1, and never 1 from a server.
        if (value > 1 || (role_ == Role::client && value == 1))
          return connection_error(ErrorCode::protocol_error, "SETTINGS_ENABLE_PUSH is wrong (section 6.5.2)");
        break;
      case Setting::max_concurrent_streams:
        peer_max_streams_ = value;
        break;
      case Setting::initial_window_size: {
        if (value > kMaxWindow)
          return connection_error(ErrorCode::flow_control_error,
                                  "SETTINGS_INITIAL_WINDOW_SIZE is too large (section 6.5.2)");
        // Section 6.9.2: the windows of all streams change by the difference, and may become negative.
        const std::int64_t change = static_cast<std::int64_t>(value) - peer_initial_window_;
        peer_initial_window_ = value;
        for (auto& [id, s] : streams_) {
          s.send_window += change;
          if (s.send_window > kMaxWindow)
            return connection_error(ErrorCode::flow_control_error,
                                    "a window grows too large (section 6.9.2)");
        }
        break;
      }
      case Setting::max_frame_size:
        if (value < 16'384 || value > 16'777'215)
          return connection_error(ErrorCode::protocol_error,
                                  "SETTINGS_MAX_FRAME_SIZE is wrong (section 6.5.2)");
        peer_max_frame_ = value;
        break;
      case Setting::max_header_list_size:
        break;  // advisory; what this side sends is far below what any peer must accept
    }           // section 6.5.2: unknown settings are ignored
  }
  put_frame(FrameType::settings, flag::ack, 0, {}, output_);
  if (!peer_settings_seen_) {
    peer_settings_seen_ = true;
    emit(Event::Type::settings, 0);
  } else if (!count_control_frame()) {
    return false;
  }
  if (++unsent_replies_ > limits_.unsent_replies)
    return connection_error(ErrorCode::enhance_your_calm, "acknowledgements are not read (section 10.5)");
  send_waiting_bodies();
  return true;
}

bool Connection::on_ping(const FrameHeader& h, std::string_view payload) {
  if (h.stream != 0) return connection_error(ErrorCode::protocol_error, "PING on a stream (section 6.7)");
  if (h.length != 8)
    return connection_error(ErrorCode::frame_size_error, "PING of a wrong length (section 6.7)");
  if (!count_control_frame()) return false;
  if (h.has(flag::ack)) {
    emit(Event::Type::ping_ack, 0).data.assign(payload);
    return true;
  }
  put_frame(FrameType::ping, flag::ack, 0, payload, output_);
  if (++unsent_replies_ > limits_.unsent_replies)
    return connection_error(ErrorCode::enhance_your_calm, "acknowledgements are not read (section 10.5)");
  return true;
}

bool Connection::on_goaway(const FrameHeader& h, std::string_view payload) {
  if (h.stream != 0) return connection_error(ErrorCode::protocol_error, "GOAWAY on a stream (section 6.8)");
  if (h.length < 8)
    return connection_error(ErrorCode::frame_size_error, "GOAWAY of a wrong length (section 6.8)");
  const StreamId last = read_u32(payload, 0) & kMaxStreamId;
  const auto code = static_cast<ErrorCode>(read_u32(payload, 4));
  if (goaway_received_ && last > goaway_last_received_)
    return connection_error(ErrorCode::protocol_error, "GOAWAY raises its last stream (section 6.8)");
  goaway_received_ = true, goaway_last_received_ = last;
  std::vector<StreamId> above;
  for (auto it = streams_.upper_bound(last); it != streams_.end(); ++it)
    if (is_local_stream(it->first)) above.push_back(it->first);
  for (const StreamId id : above) {
    Stream& s = streams_.at(id);
    s.local_ended = s.remote_ended = true;
    drop_if_done(id);
    remember_reset(id);
    emit(Event::Type::unprocessed, id).code = code;
  }
  Event& e = emit(Event::Type::goaway, last);
  e.code = code, e.data.assign(payload.substr(8, 200));
  return true;
}

bool Connection::on_window_update(const FrameHeader& h, std::string_view payload) {
  if (h.length != 4)
    return connection_error(ErrorCode::frame_size_error, "WINDOW_UPDATE of a wrong length (section 6.9)");
  const std::int64_t increment = read_u32(payload, 0) & kMaxStreamId;
  if (h.stream == 0) {
    if (increment == 0)
      return connection_error(ErrorCode::protocol_error, "WINDOW_UPDATE of 0 (section 6.9)");
    send_window_ += increment;
    if (send_window_ > kMaxWindow)
      return connection_error(ErrorCode::flow_control_error,
                              "the connection's window grows too large (section 6.9.1)");
    send_waiting_bodies();
    return true;
  }
  if (is_idle_stream(h.stream))
    return connection_error(ErrorCode::protocol_error, "WINDOW_UPDATE on an idle stream (section 5.1)");
  const auto it = streams_.find(h.stream);
  if (it == streams_.end()) return count_control_frame();  // section 6.9: may cross the stream's end
  if (increment == 0) {
    stream_error(h.stream, ErrorCode::protocol_error, "WINDOW_UPDATE of 0 (section 6.9)");
    return true;
  }
  Stream& s = it->second;
  s.send_window += increment;
  if (s.send_window > kMaxWindow) {
    stream_error(h.stream, ErrorCode::flow_control_error,
                 "a stream's window grows too large (section 6.9.1)");
    return true;
  }
  // An update on a stream without a waiting body has no effect, so it counts against the limit on floods.
  if (s.body_sent >= s.body.size()) return count_control_frame();
  send_waiting_bodies();
  return true;
}

void Connection::write_headers(StreamId id, const Headers& headers, bool end_stream) {
  std::string block;
  encoder_.encode(headers, block);
  const std::uint8_t end = end_stream ? flag::end_stream : 0;
  std::string_view rest = block;
  for (bool first = true; first || !rest.empty(); first = false) {
    const auto part = rest.substr(0, peer_max_frame_);
    rest.remove_prefix(part.size());
    const std::uint8_t flags =
        static_cast<std::uint8_t>((rest.empty() ? flag::end_headers : 0) | (first ? end : 0));
    put_frame(first ? FrameType::headers : FrameType::continuation, flags, id, part, output_);
  }
}

void Connection::send_body(StreamId id, Stream& s) {
  while (s.body_sent < s.body.size()) {
    const std::int64_t sendable =
        std::min({send_window_, s.send_window, static_cast<std::int64_t>(peer_max_frame_)});
    if (sendable <= 0) {
      waiting_streams_.insert(id);
      return;
    }
    const std::size_t n = std::min(static_cast<std::size_t>(sendable), s.body.size() - s.body_sent);
    const bool end = s.body_sent + n == s.body.size();
    put_frame(FrameType::data, end ? flag::end_stream : 0, id,
              std::string_view(s.body).substr(s.body_sent, n), output_);
    s.body_sent += n, unsent_body_bytes_ -= n;
    send_window_ -= static_cast<std::int64_t>(n), s.send_window -= static_cast<std::int64_t>(n);
  }
  s.body.clear(), s.body_sent = 0;
  s.local_ended = true;
  waiting_streams_.erase(id);
}

void Connection::send_waiting_bodies() {
  // Round robin over the streams that wait for a window, beginning after the one served last.
  std::vector<StreamId> order(waiting_streams_.upper_bound(last_waiting_served_), waiting_streams_.end());
  order.insert(order.end(), waiting_streams_.begin(), waiting_streams_.upper_bound(last_waiting_served_));
  for (const StreamId id : order) {
    if (send_window_ <= 0) return;
    const auto it = streams_.find(id);
    if (it == streams_.end()) {
      waiting_streams_.erase(id);
      continue;
    }
    if (it->second.send_window <= 0) continue;
    last_waiting_served_ = id;
    send_body(id, it->second);
    drop_if_done(id);
  }
}

bool Connection::can_request() const {
  return role_ == Role::client && !failed_ && !goaway_received_ && !goaway_sent_ &&
         next_stream_ <= kMaxStreamId && streams_.size() < peer_max_streams_;
}

StreamId Connection::request(const Headers& headers, std::string_view body) {
  if (!can_request()) return 0;
  const StreamId id = next_stream_;
  next_stream_ += 2;
  Stream& s = streams_[id];
  s.send_window = peer_initial_window_;
  s.receive_window =
      local_settings_acked_ ? local_.initial_window_size : std::max(65'535u, local_.initial_window_size);
  s.head_request = find_header(headers, ":method") == "HEAD";
  write_headers(id, headers, body.empty());
  s.body.assign(body), unsent_body_bytes_ += body.size();
  send_body(id, s);
  return id;
}

bool Connection::respond(StreamId id, const Headers& headers, std::string_view body) {
  const auto it = streams_.find(id);
  if (failed_ || it == streams_.end() || it->second.local_ended || !it->second.body.empty()) return false;
  it->second.received_before_response = it->second.received;
  write_headers(id, headers, body.empty());
  it->second.body.assign(body), unsent_body_bytes_ += body.size();
  send_body(id, it->second);
  // If the request isn't complete yet, the rest of it is received and ignored, up to a limit: see on_data().
  drop_if_done(id);
  return true;
}

void Connection::reset(StreamId id, ErrorCode code) {
  const auto it = streams_.find(id);
  if (failed_ || it == streams_.end()) return;
  put_rst_stream(id, code, output_);
  remember_reset(id);
  it->second.local_ended = it->second.remote_ended = true;
  drop_if_done(id);
}

void Connection::ping(std::string_view eight_bytes) {
  if (!failed_ && eight_bytes.size() == 8) put_frame(FrameType::ping, 0, 0, eight_bytes, output_);
}

void Connection::limit_streams(std::uint32_t max_streams) {
  // Bounded, since a peer that acknowledges nothing would let the list of announced limits grow for ever.
  if (failed_ || role_ == Role::client || max_streams == announced_stream_limit_ ||
      unacked_stream_limits_.size() >= 8)
    return;
  put_settings({{Setting::max_concurrent_streams, max_streams}}, output_);
  announced_stream_limit_ = max_streams;
  unacked_stream_limits_.push_back(max_streams);
}

void Connection::announce_shutdown() {
  if (!failed_ && !goaway_sent_) put_goaway(kMaxStreamId, ErrorCode::no_error, {}, output_);
}

void Connection::goaway(ErrorCode code, std::string_view debug) {
  if (failed_) return;
  if (!goaway_sent_) goaway_last_sent_ = last_peer_stream_;
  goaway_sent_ = true;
  put_goaway(goaway_last_sent_, code, debug, output_);
}

void Connection::goaway_after(StreamId last, ErrorCode code) {
  if (failed_) return;
  goaway_sent_ = true;
  goaway_last_sent_ = std::min(last, goaway_last_sent_);
  put_goaway(goaway_last_sent_, code, {}, output_);
  std::vector<StreamId> above;
  for (auto it = streams_.upper_bound(goaway_last_sent_); it != streams_.end(); ++it)
    if (!is_local_stream(it->first)) above.push_back(it->first);
  for (const StreamId id : above) {
    Stream& s = streams_.at(id);
    s.local_ended = s.remote_ended = true;
    drop_if_done(id);
    remember_reset(id);
  }
}

}  // namespace cedarplank::http2
