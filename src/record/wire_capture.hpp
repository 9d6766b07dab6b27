// Captures the frames that pass a socket, so that they can be checked afterwards. A wire capture decodes the
// raw bytes of each direction with a parser and header tables of its own, so that its records do not depend
// on the protocol implementation of either end.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "http2/frame.hpp"
#include "http2/hpack.hpp"

namespace cedarplank::record {

using Time = std::int64_t;  // microseconds of the machine's monotonic clock

// One captured frame, or the opening or closing of a connection.
struct CaptureRecord {
  enum class Side { client, endpoint };  // on which side of a relay it was recorded
  Time at = 0;
  Side side = Side::client;
  std::string place;  // the relay that the client is connected to, or the endpoint's id
  std::uint64_t connection = 0;
  bool sent = false;  // sent by the recording side; otherwise received
  std::string what;   // the frame's type, or "OPEN" or "CLOSE"
  std::uint32_t stream = 0;
  bool end = false;                           // END_STREAM
  std::uint32_t code = 0;                     // of RST_STREAM and GOAWAY
  std::uint32_t last = 0;                     // GOAWAY's last stream
  std::map<std::string, std::string> fields;  // the header fields of a field section
  std::string message;  // in the last DATA frame of a body: the message id found in the body
};

std::string to_json(const CaptureRecord& r);
// Throws std::runtime_error that says what is wrong.
CaptureRecord from_json(std::string_view line);

using Sink = std::function<void(CaptureRecord&&)>;  // receives each record

// The message id in a body: load clients begin the body with "id=<name>;". Empty if there is none.
std::string message_id_in(std::string_view body);
// The message class in a body, written as "class=<name>;" after the id, where a partner would recognize the
// kind of message from its content. Empty if there is none.
std::string message_class_in(std::string_view body);

// A capture of one connection. The subclasses decode its protocol.
class WireCapture {
 public:
  WireCapture(CaptureRecord::Side side, std::string place, std::uint64_t connection, Sink sink)
      : side_(side), place_(std::move(place)), connection_(connection), sink_(std::move(sink)) {}
  virtual ~WireCapture() = default;
  // Takes the next bytes that were sent or received on the connection.
  virtual void process_bytes(Time at, bool sent, std::string_view bytes) = 0;
  // Records the opening ("OPEN") or closing ("CLOSE") of the connection.
  virtual void record_connection_event(Time at, const char* what);

 protected:
  // A record with this connection's data filled in.
  CaptureRecord make_record(Time at, bool sent, const char* what, std::uint32_t stream) const;

  CaptureRecord::Side side_;
  std::string place_;
  std::uint64_t connection_;
  Sink sink_;
};

// Captures HTTP/2 frames.
class Http2WireCapture final : public WireCapture {
 public:
  // `client_end`: whether the recording side is the HTTP/2 client, which sends the connection preface.
  Http2WireCapture(CaptureRecord::Side side, std::string place, std::uint64_t connection, bool client_end,
                   Sink sink);
  void process_bytes(Time at, bool sent, std::string_view bytes) override;

 private:
  struct Direction {
    std::string bytes;         // received, but not decoded yet
    bool preface_expected;     // the connection preface is still expected
    bool undecodable = false;  // undecodable from here on: nothing more is recorded
    http2::HpackDecoder decoder{65'536};
    std::string field_block;  // field block of HEADERS and CONTINUATION frames
    std::uint32_t block_stream = 0;
    bool block_end = false;                       // END_STREAM of its HEADERS frame
    std::map<std::uint32_t, std::string> bodies;  // first bytes of each stream's body
  };
  void process_frame(Time at, bool sent, Direction& d, const http2::FrameHeader& h, std::string_view payload);
  void record_field_block(Time at, bool sent, Direction& d);

  Direction in_, out_;
};

}  // namespace cedarplank::record
