#include "http2/frame.hpp"

namespace cedarplank::http2 {

const char* name_of(ErrorCode code) {
  static constexpr const char* kNames[] = {"NO_ERROR",
                                           "PROTOCOL_ERROR",
                                           "INTERNAL_ERROR",
                                           "FLOW_CONTROL_ERROR",
                                           "SETTINGS_TIMEOUT",
                                           "STREAM_CLOSED",
                                           "FRAME_SIZE_ERROR",
                                           "REFUSED_STREAM",
                                           "CANCEL",
                                           "COMPRESSION_ERROR",
                                           "CONNECT_ERROR",
                                           "ENHANCE_YOUR_CALM",
                                           "INADEQUATE_SECURITY",
                                           "HTTP_1_1_REQUIRED"};
  const auto i = static_cast<std::uint32_t>(code);
  return i < std::size(kNames) ? kNames[i] : "an unknown code";
}

const char* name_of(FrameType type) {
  static constexpr const char* kNames[] = {"DATA",          "HEADERS",      "PRIORITY", "RST_STREAM",
                                           "SETTINGS",      "PUSH_PROMISE", "PING",     "GOAWAY",
                                           "WINDOW_UPDATE", "CONTINUATION"};
  const auto i = static_cast<std::uint8_t>(type);
  return i < std::size(kNames) ? kNames[i] : "UNKNOWN";
}

FrameHeader parse_frame_header(std::string_view bytes, std::size_t at) {
  FrameHeader h;
  const std::uint32_t first = read_u32(bytes, at);
  h.length = first >> 8;
  h.type = static_cast<FrameType>(first & 0xff);
  h.flags = static_cast<std::uint8_t>(bytes[at + 4]);
  h.stream = read_u32(bytes, at + 5) & kMaxStreamId;  // section 4.1: the reserved bit is ignored
  return h;
}

void put_frame(FrameType type, std::uint8_t flags, StreamId stream, std::string_view payload,
               std::string& out) {
  put_u32(static_cast<std::uint32_t>(payload.size()) << 8 | static_cast<std::uint32_t>(type), out);
  out.push_back(static_cast<char>(flags));
  put_u32(stream, out);
  out.append(payload);
}

void put_settings(const std::vector<std::pair<Setting, std::uint32_t>>& settings, std::string& out) {
  std::string payload;
  for (const auto& [setting, value] : settings) {
    payload.push_back(0);
    payload.push_back(static_cast<char>(setting));
    put_u32(value, payload);
  }
  put_frame(FrameType::settings, 0, 0, payload, out);
}

void put_goaway(StreamId last, ErrorCode code, std::string_view debug, std::string& out) {
  std::string payload;
  put_u32(last, payload);
  put_u32(static_cast<std::uint32_t>(code), payload);
  payload.append(debug);
  put_frame(FrameType::goaway, 0, 0, payload, out);
}

void put_rst_stream(StreamId stream, ErrorCode code, std::string& out) {
  std::string payload;
  put_u32(static_cast<std::uint32_t>(code), payload);
  put_frame(FrameType::rst_stream, 0, stream, payload, out);
}

void put_window_update(StreamId stream, std::uint32_t increment, std::string& out) {
  std::string payload;
  put_u32(increment, payload);
  put_frame(FrameType::window_update, 0, stream, payload, out);
}

}  // namespace cedarplank::http2
