// HTTP/2 frames (RFC 9113 sections 4.1 and 6): their types, flags and numbers, parsing of the frame header,
// and functions that append frames to a buffer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarplank::http2 {

using StreamId = std::uint32_t;

enum class FrameType : std::uint8_t {
  data = 0,
  headers = 1,
  priority = 2,
  rst_stream = 3,
  settings = 4,
  push_promise = 5,
  ping = 6,
  goaway = 7,
  window_update = 8,
  continuation = 9
};

// Frame flags; which of them apply depends on the frame's type.
namespace flag {
constexpr std::uint8_t end_stream = 0x1, ack = 0x1, end_headers = 0x4, padded = 0x8, priority = 0x20;
}

// Error codes of RFC 9113 section 7.
enum class ErrorCode : std::uint32_t {
  no_error = 0,
  protocol_error = 1,
  internal_error = 2,
  flow_control_error = 3,
  settings_timeout = 4,
  stream_closed = 5,
  frame_size_error = 6,
  refused_stream = 7,
  cancel = 8,
  compression_error = 9,
  connect_error = 10,
  enhance_your_calm = 11,
  inadequate_security = 12,
  http_1_1_required = 13
};
// The name in the RFC.
const char* name_of(ErrorCode code);
const char* name_of(FrameType type);

// Settings of RFC 9113 section 6.5.2.
enum class Setting : std::uint16_t {
  header_table_size = 1,
  enable_push = 2,
  max_concurrent_streams = 3,
  initial_window_size = 4,
  max_frame_size = 5,
  max_header_list_size = 6
};

constexpr std::size_t kFrameHeaderSize = 9;  // bytes
constexpr std::uint32_t kMaxStreamId = 0x7fffffff;
constexpr std::int64_t kMaxWindow = 0x7fffffff;
// What a client sends first (section 3.4).
constexpr std::string_view kClientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

struct FrameHeader {
  std::uint32_t length = 0;
  FrameType type = FrameType::data;
  std::uint8_t flags = 0;
  StreamId stream = 0;
  bool has(std::uint8_t f) const { return flags & f; }
};

// Integers in network byte order.
inline std::uint32_t read_u32(std::string_view b, std::size_t at) {
  const auto u = [&](std::size_t i) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(b[at + i]));
  };
  return u(0) << 24 | u(1) << 16 | u(2) << 8 | u(3);
}
inline std::uint16_t read_u16(std::string_view b, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(b[at]) << 8 |
                                    static_cast<unsigned char>(b[at + 1]));
}
inline void put_u32(std::uint32_t v, std::string& out) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(v >> shift));
}

// `bytes` must hold a whole frame header from `at` on.
FrameHeader parse_frame_header(std::string_view bytes, std::size_t at);
// Each put_ function appends a frame to `out`.
void put_frame(FrameType type, std::uint8_t flags, StreamId stream, std::string_view payload,
               std::string& out);
void put_settings(const std::vector<std::pair<Setting, std::uint32_t>>& settings, std::string& out);
void put_goaway(StreamId last, ErrorCode code, std::string_view debug, std::string& out);
void put_rst_stream(StreamId stream, ErrorCode code, std::string& out);
void put_window_update(StreamId stream, std::uint32_t increment, std::string& out);

}  // namespace cedarplank::http2
