// One HTTP/2 connection (RFC 9113), client or server, free of I/O: bytes in, events out; calls in, bytes out.
//
// Every check cites its section in connection.cpp. A violation ends the stream or the connection with the
// RFC's error code; receive() never throws. What a peer can make this side hold or do is bounded by Limits.
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

// What this side announces (section 6.5.2).
struct LocalSettings {
  std::uint32_t header_table_size = 4096;
  std::uint32_t max_concurrent_streams = 256;  // that the peer may open
  std::uint32_t initial_window_size = 65'535;
  std::uint32_t max_frame_size = 16'384;
  std::uint32_t max_header_list_size = 16'384;
  std::uint32_t connection_window = 1 << 20;  // bytes that the peer may have on the way on all streams
};

// Against floods: what a peer may do in one go, and how much of it a second for ever.
struct Limits {
  double resets_burst = 400,
         resets_per_s = 100;  // RST_STREAM by the peer (rapid reset), and its refused streams
  double control_burst = 1000,
         control_per_s = 200;             // SETTINGS, PING, PRIORITY, unknown and empty DATA frames
  std::uint32_t settings_entries = 64;    // in one SETTINGS frame
  std::uint32_t continuations = 16;       // of one header block
  std::size_t unsent_replies = 1000;      // acknowledgements that the peer doesn't read
  std::size_t trailers_and_interim = 16;  // header blocks on one stream
};

struct Event {
  enum class Type {
    settings,     // the peer's first SETTINGS: the connection stands in the sense of section 3.4
    headers,      // a request (server) or a final response (client)
    data,         // bytes of its body; may be empty with end_stream
    trailers,     // a field section after the body; always with end_stream
    reset,        // the stream is over: by the peer, or here after a violation (`local`)
    unprocessed,  // the peer's GOAWAY proves that it never took this stream (section 6.8)
    goaway,       // the peer takes no new streams; `stream` is its last one
    ping_ack,
    failed  // connection error, by either side; nothing comes after it
  };
  Type type{};
  StreamId stream = 0;
  bool end_stream = false;
  bool local = false;
  ErrorCode code = ErrorCode::no_error;
  Headers headers;
  std::string data;  // bytes of the body, ping's opaque bytes, or why it failed
};

// Value of the first field of that name; empty where there is none.
std::string_view find_header(const Headers& headers, std::string_view name);
bool has_header(const Headers& headers, std::string_view name);

class Connection {
 public:
  explicit Connection(Role role, const LocalSettings& local = {}, const Limits& limits = {});

  // Bytes from the peer; `events` is appended to.
  void receive(Time now, std::string_view bytes, std::vector<Event>& events);
  // Bytes for the peer since the last call.
  std::string take_output();
  bool has_output() const { return !out_.empty(); }
  std::size_t output_size() const { return out_.size(); }

  // Client: opens a stream. 0 where none may be opened now: see can_request().
  StreamId request(const Headers& headers, std::string_view body);
  bool can_request() const;
  // Server: answers. False where the stream is no longer there.
  bool respond(StreamId stream, const Headers& headers, std::string_view body);
  // Ends a stream from this side; nothing is reported for it afterwards.
  void reset(StreamId stream, ErrorCode code);
  void ping(std::string_view eight_bytes);
  // Server: from now on the peer may have so many streams open. Enforced once it has acknowledged
  // (section 6.5.3); streams that are open already go on.
  void limit_streams(std::uint32_t most);
  // Graceful end (section 6.8): first announce, so that requests on their way are still taken; then goaway.
  void announce_shutdown();
  void goaway(ErrorCode code = ErrorCode::no_error, std::string_view debug = {});
  // Server: as goaway(), for a last stream of one's own choice; streams above it are dropped unseen.
  void goaway_after(StreamId last, ErrorCode code);

  bool failed() const { return failed_; }
  bool standing() const { return peer_settings_seen_ && !failed_; }
  bool peer_goaway() const { return goaway_received_; }
  bool idle() const { return streams_.empty(); }
  std::size_t streams() const { return streams_.size(); }
  std::uint32_t peer_max_streams() const { return peer_max_streams_; }
  bool settings_acknowledged() const { return local_acked_; }
  std::size_t unsent_body() const { return unsent_body_; }  // bytes held back by the peer's windows

 private:
  struct Stream {
    std::int64_t send_window = 0, receive_window = 0, unacked = 0;
    bool remote_ended = false, local_ended = false;  // half closed (section 5.1)
    bool headers_seen = false, trailers_seen = false;
    bool head_request = false;
    std::size_t blocks = 0;
    std::optional<std::uint64_t> content_length;
    std::uint64_t received = 0, answered_at = 0;  // bytes of the body; those before the answer
    std::string body;                             // not sent yet
    std::size_t body_at = 0;
  };
  struct Bucket {
    double tokens = 0;
    Time at = 0;
    bool take(Time now, double burst, double rate);
  };
  using Streams = std::map<StreamId, Stream>;

  bool mine(StreamId id) const { return (id % 2 == 1) == (role_ == Role::client); }
  bool idle_stream(StreamId id) const;
  bool connection_error(ErrorCode code, const std::string& why);  // always false
  void stream_error(StreamId id, ErrorCode code, const char* why);
  bool control_frame();
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
  bool unpad(const FrameHeader& h, std::string_view& payload);
  const char* malformed(const Headers& headers, bool trailers, Stream& s) const;
  void end_remote(StreamId id, Stream& s);
  void drop_if_done(StreamId id);
  void forget_reset(StreamId id);
  void write_headers(StreamId id, const Headers& headers, bool end_stream);
  void send_body(StreamId id, Stream& s);
  void send_pending();
  Event& emit(Event::Type type, StreamId stream);

  const Role role_;
  const LocalSettings local_;
  const Limits limits_;
  std::string in_, out_;
  std::vector<Event>* events_ = nullptr;
  Time now_ = 0;
  bool preface_seen_ = false, peer_settings_seen_ = false, local_acked_ = false, failed_ = false;
  HpackDecoder decoder_;
  HpackEncoder encoder_;
  Streams streams_;
  std::deque<std::uint32_t> streams_unacked_;  // announced after the first SETTINGS
  std::size_t peer_streams_ = 0;               // of streams_, those that the peer opened
  StreamId next_stream_, last_peer_stream_ = 0;
  std::uint32_t streams_announced_, streams_allowed_;  // to the peer; as it has acknowledged
  std::set<StreamId> pending_;                         // streams with a body that waits for a window
  StreamId last_served_pending_ = 0;                   // where the round robin goes on
  std::size_t unsent_body_ = 0;
  std::deque<StreamId> reset_order_;  // streams that this side reset of late: frames may still be on the way
  std::set<StreamId> reset_recently_;
  std::int64_t send_window_ = 65'535, receive_window_ = 65'535, unacked_ = 0;
  std::uint32_t peer_initial_window_ = 65'535, peer_max_frame_ = 16'384, peer_max_streams_ = 0xffffffff;
  bool goaway_received_ = false, goaway_sent_ = false;
  StreamId goaway_last_received_ = kMaxStream, goaway_last_sent_ = kMaxStream;
  // The header block that is being put together; no other frame may come before its end (section 6.10).
  StreamId block_stream_ = 0;
  std::string block_;
  bool block_ends_stream_ = false;
  std::uint32_t continuations_ = 0;
  Bucket resets_, control_;
  std::size_t replies_ = 0;  // acknowledgements written since the output was last taken
};

}  // namespace cedarplank::http2
