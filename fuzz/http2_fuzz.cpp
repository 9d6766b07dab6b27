// HTTP/2 frames: any bytes from a peer, in pieces of any size, received by a server or by a client with open
// streams. The same bytes go through the wire capture.
#include <cstdlib>

#include "http2/connection.hpp"
#include "record/wire_capture.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::http2;
  if (size < 2) return 0;
  const std::size_t piece = 1 + data[0];
  const bool as_server = data[1] & 1;
  std::string bytes(as_server ? kClientPreface : std::string_view());
  if (data[1] & 2) put_settings({}, bytes);
  bytes.append(reinterpret_cast<const char*>(data) + 2, size - 2);
  Connection c(as_server ? Role::server : Role::client);
  if (!as_server)
    for (int i = 0; i < 3; i++)
      c.request({{":method", "POST"}, {":scheme", "http"}, {":authority", "a"}, {":path", "/"}},
                i == 1 ? std::string(100'000, 'x') : "y");
  std::vector<Event> events;
  std::int64_t now = 1;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    events.clear();
    c.receive(now += 1000, std::string_view(bytes).substr(at, piece), events);
    for (auto& e : events)
      if (as_server && e.end_stream)
        c.respond(e.stream, {{":status", "201"}}, e.stream % 4 == 1 ? "body" : "");
    if (c.output_size() > (1 << 22)) c.take_output();
    if (c.failed() && c.open_streams() != 0) std::abort();
  }
  c.take_output();
  cedarplank::record::Http2WireCapture capture(cedarplank::record::CaptureRecord::Side::client, "p", 1,
                                               !as_server, [](cedarplank::record::CaptureRecord&&) {});
  capture.process_bytes(1, false, bytes);
  return 0;
}
