// One HTTP/2 connection (RFC 9113), client or server, without I/O: the caller passes received bytes in and
// gets events, and takes out the bytes to be sent.
//
// Each check in connection.cpp cites its section of the RFC; the texts of connection errors go to the
// peer in GOAWAY. A violation ends the stream or the connection with the RFC's error code; receive() never
// throws. Limits bounds the memory and work that a peer can cause on this side.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http2/frame.hpp"
#include "http2/hpack.hpp"

namespace cedarplank::http2 {

using Time = std::int64_t;  // microseconds of any clock that only moves forward

enum class Role { client, server };

// The settings that this side announces (section 6.5.2), and its connection window.
struct LocalSettings {
  std::uint32_t header_table_size = 4096;
  std::uint32_t max_concurrent_streams = 256;  // streams that the peer may have open
  std::uint32_t initial_window_size = 65'535;
  std::uint32_t max_frame_size = 16'384;
  std::uint32_t max_header_list_size = 16'384;
  std::uint32_t connection_window = 1 << 20;  // bytes of DATA that the peer may have in flight on all streams
};

// Limits against floods (section 10.5). Each pair of burst and rate is a token bucket: so many at once, and
// so many a second in the long run.
struct Limits {
  // RST_STREAM frames from the peer (rapid reset), and streams of the peer that were refused.
  double resets_burst = 400, resets_per_s = 100;
  // Frames that carry no part of a request or final response: SETTINGS, PING, PRIORITY, unknown types, empty
  // DATA, interim responses, WINDOW_UPDATE without effect, frames on closed streams.
  double control_burst = 1000, control_per_s = 200;
  std::uint32_t settings_entries = 64;    // entries in one SETTINGS frame
  std::uint32_t continuations = 16;       // CONTINUATION frames of one header block
  std::size_t unsent_replies = 1000;      // acknowledgements written since the output was last taken
  std::size_t trailers_and_interim = 16;  // header blocks on one stream
};

// What receive() reports.
struct Event {
  enum class Type {
    settings,     // the peer's first SETTINGS: the connection is established (section 3.4)
    headers,      // a request (server) or a final response (client)
    data,         // bytes of the body; may be empty with end_stream
    trailers,     // a field section after the body; always with end_stream
    reset,        // the stream was reset: by the peer, or by this side after a violation (`local`)
    unprocessed,  // the peer's GOAWAY proves that it did not process this stream (section 6.8)
    goaway,       // the peer accepts no new streams; `stream` is the last one that it processes
    ping_ack,     // the peer acknowledged a PING
    failed        // connection error found by this side; no event follows it
  };
  Type type{};
  StreamId stream = 0;
  bool end_stream = false;
  bool local = false;
  ErrorCode code = ErrorCode::no_error;
  Headers headers;
  // Bytes of the body, opaque bytes of PING, debug data of GOAWAY, or the reason of an error of this side.
  std::string data;
};

// Value of the first field with that name; empty if there is none.
std::string_view find_header(const Headers& headers, std::string_view name);
bool has_header(const Headers& headers, std::string_view name);

class Connection {
 public:
  explicit Connection(Role role, const LocalSettings& local = {}, const Limits& limits = {});

  // Processes bytes from the peer; appends to `events`.
  void receive(Time now, std::string_view bytes, std::vector<Event>& events);
  // The bytes to be sent to the peer since the last call.
  std::string take_output();
  bool has_output() const { return !output_.empty(); }
  std::size_t output_size() const { return output_.size(); }

  // Client: opens a stream. Returns 0 if none may be opened now; see can_request().
  StreamId request(const Headers& headers, std::string_view body);
  bool can_request() const;
  // Server: sends the response of a stream. False if the stream is closed or has a response already.
  bool respond(StreamId stream, const Headers& headers, std::string_view body);
  // Resets a stream from this side; no event is reported for it afterwards.
  void reset(StreamId stream, ErrorCode code);
  void ping(std::string_view eight_bytes);
  // Server: changes how many streams the peer may have open. Enforced once the peer has acknowledged it
  // (section 6.5.3); streams that are open already are not affected.
  void limit_streams(std::uint32_t max_streams);
  // Graceful shutdown (section 6.8): first announce_shutdown(), so that requests in flight are still
  // processed; then goaway().
  void announce_shutdown();
  void goaway(ErrorCode code = ErrorCode::no_error, std::string_view debug = {});
  // Server: as goaway(), with a given last stream; streams above it are dropped without processing.
  void goaway_after(StreamId last, ErrorCode code);

  bool failed() const { return failed_; }
  // Whether the peer's SETTINGS were received and no connection error occurred.
  bool established() const { return peer_settings_seen_ && !failed_; }
  bool goaway_received() const { return goaway_received_; }
  // No stream is open.
  bool idle() const { return streams_.empty(); }
  // Number of open streams, of both sides.
  std::size_t open_streams() const { return streams_.size(); }
  std::uint32_t peer_max_streams() const { return peer_max_streams_; }
  bool settings_acknowledged() const { return local_settings_acked_; }
  // Bytes of bodies that the peer's flow-control windows hold back.
  std::size_t unsent_body_bytes() const { return unsent_body_bytes_; }

 private:
  struct Stream {
    // The last one: bytes received that no WINDOW_UPDATE has given back to the peer yet.
    std::int64_t send_window = 0, receive_window = 0, unreturned_window = 0;
    bool remote_ended = false, local_ended = false;  // half closed (section 5.1)
    bool headers_seen = false, trailers_seen = false;
    bool head_request = false;  // the response may have a content-length without a body
    std::size_t header_blocks = 0;
    std::optional<std::uint64_t> content_length;
    // Bytes of body received so far, and those received before this side's response.
    std::uint64_t received = 0, received_before_response = 0;
    std::string body;           // the body to send
    std::size_t body_sent = 0;  // bytes of it that are sent
  };
  // Token bucket; starts full.
  struct TokenBucket {
    double tokens = 0;
    Time refilled_at = 0;
    bool take(Time now, double burst, double rate);
  };
  using Streams = std::map<StreamId, Stream>;

  // Whether this side opens streams with such a number (section 5.1.1).
  bool is_local_stream(StreamId id) const { return (id % 2 == 1) == (role_ == Role::client); }
  // Whether the stream was never opened (section 5.1).
  bool is_idle_stream(StreamId id) const;
  // Fails the connection. Always returns false, as the handlers below do when the connection has failed.
  bool connection_error(ErrorCode code, const std::string& why);
  void stream_error(StreamId id, ErrorCode code, const char* why);
  // Counts a frame against Limits::control_burst; a connection error if there are too many.
  bool count_control_frame();
  // Handlers of received frames: false if the connection has failed.
  bool on_frame(const FrameHeader& h, std::string_view payload);
  bool on_data(const FrameHeader& h, std::string_view payload);
  bool on_headers(const FrameHeader& h, std::string_view payload);
  bool on_continuation(const FrameHeader& h, std::string_view payload);
  bool on_header_block();
  bool on_rst_stream(const FrameHeader& h, std::string_view payload);
  bool on_settings(const FrameHeader& h, std::string_view payload);
  bool on_ping(const FrameHeader& h, std::string_view payload);
  bool on_goaway(const FrameHeader& h, std::string_view payload);
  bool on_window_update(const FrameHeader& h, std::string_view payload);
  // Removes the padding from the payload.
  bool unpad(const FrameHeader& h, std::string_view& payload);
  // Why a field section is malformed; null if it is well formed.
  const char* field_section_error(const Headers& headers, bool trailers, Stream& s) const;
  // The peer has ended its side of the stream.
  void end_remote(StreamId id, Stream& s);
  // Removes the stream if both sides have ended it.
  void drop_if_done(StreamId id);
  // Remembers that this side reset or dropped the stream, so that late frames on it are ignored.
  void remember_reset(StreamId id);
  void write_headers(StreamId id, const Headers& headers, bool end_stream);
  // Sends as much of the body as the windows allow; the rest waits for WINDOW_UPDATE.
  void send_body(StreamId id, Stream& s);
  void send_waiting_bodies();
  Event& emit(Event::Type type, StreamId stream);

  const Role role_;
  const LocalSettings local_;
  const Limits limits_;
  std::string input_, output_;
  std::vector<Event>* events_ = nullptr;
  Time now_ = 0;
  bool preface_seen_ = false, peer_settings_seen_ = false, local_settings_acked_ = false, failed_ = false;
  HpackDecoder decoder_;
  HpackEncoder encoder_;
  Streams streams_;
  // Stream limits announced by limit_streams() that the peer hasn't acknowledged yet.
  std::deque<std::uint32_t> unacked_stream_limits_;
  std::size_t peer_stream_count_ = 0;  // number of streams_ that the peer opened
  StreamId next_stream_, last_peer_stream_ = 0;
  std::uint32_t announced_stream_limit_,
      enforced_stream_limit_;           // the stream limit announced last; the one enforced
  std::set<StreamId> waiting_streams_;  // streams whose body waits for a window
  StreamId last_waiting_served_ = 0;    // the round robin goes on after it
  std::size_t unsent_body_bytes_ = 0;
  // Streams that this side reset recently, oldest first: frames on them may still be in flight.
  std::deque<StreamId> recent_resets_by_age_;
  std::set<StreamId> recent_resets_;
  std::int64_t send_window_ = 65'535, receive_window_ = 65'535, unreturned_window_ = 0;
  std::uint32_t peer_initial_window_ = 65'535, peer_max_frame_ = 16'384, peer_max_streams_ = 0xffffffff;
  bool goaway_received_ = false, goaway_sent_ = false;
  StreamId goaway_last_received_ = kMaxStreamId, goaway_last_sent_ = kMaxStreamId;
  // The header block that is being received (stream 0: none); no other frame may come before its end
  // (section 6.10).
  StreamId block_stream_ = 0;
  std::string block_;
  bool block_ends_stream_ = false;
  std::uint32_t continuations_ = 0;
  TokenBucket reset_bucket_, control_bucket_;
  std::size_t unsent_replies_ = 0;  // acknowledgements written since the output was last taken
};

}  // namespace cedarplank::http2
