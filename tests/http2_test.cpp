// Tests of the HTTP/2 and HPACK code without sockets: the RFC's vectors, protocol violations, floods, flow
// control.
#include <gtest/gtest.h>

#include "http2/connection.hpp"

namespace cedarplank::http2 {
namespace {

std::string hex(std::string_view text) {
  std::string out;
  int half = -1;
  for (const char c : text) {
    if (c == ' ') continue;
    const int v = c <= '9' ? c - '0' : c - 'a' + 10;
    if (half < 0)
      half = v;
    else
      out.push_back(static_cast<char>(half << 4 | v)), half = -1;
  }
  return out;
}

using Fields = std::vector<std::pair<std::string, std::string>>;
Headers headers_of(const Fields& fields) {
  Headers h;
  for (const auto& [name, value] : fields) h.push_back({name, value});
  return h;
}

// ---- HPACK: RFC 7541 appendix C. ----
TEST(Hpack, IntegersOfAppendixC1) {
  std::string out;
  encode_integer(10, 5, 0, out);
  EXPECT_EQ(out, hex("0a"));
  out.clear();
  encode_integer(1337, 5, 0, out);
  EXPECT_EQ(out, hex("1f9a0a"));
  std::size_t at = 0;
  std::uint32_t value = 0;
  ASSERT_TRUE(decode_integer(out, at, 5, value));
  EXPECT_EQ(value, 1337u);
  at = 0;
  EXPECT_FALSE(decode_integer(hex("1fffffffffffff7f"), at, 5, value));  // overflow
  at = 0;
  EXPECT_FALSE(decode_integer(hex("1f9a"), at, 5, value));  // cut off
}

TEST(Hpack, SingleFieldsOfAppendixC2) {
  const std::vector<std::pair<std::string, Fields>> cases = {
      {"400a637573746f6d2d6b65790d637573746f6d2d686561646572", {{"custom-key", "custom-header"}}},
      {"040c2f73616d706c652f70617468", {{":path", "/sample/path"}}},
      {"100870617373776f726406736563726574", {{"password", "secret"}}},
      {"82", {{":method", "GET"}}}};
  for (const auto& [bytes, fields] : cases) {
    HpackDecoder d;
    Headers out;
    ASSERT_EQ(d.decode(hex(bytes), 4096, out), HpackDecoder::Result::ok) << bytes;
    EXPECT_EQ(out, headers_of(fields));
    EXPECT_EQ(out[0].never_indexed, fields[0].first == "password");
  }
}

// Decodes the block and compares the fields and the size of the dynamic table.
void expect_decoded(HpackDecoder& d, const std::string& bytes, const Fields& fields, std::size_t table) {
  Headers out;
  ASSERT_EQ(d.decode(hex(bytes), 65536, out), HpackDecoder::Result::ok) << d.error();
  EXPECT_EQ(out, headers_of(fields));
  EXPECT_EQ(d.table().size(), table);
}
const Fields kFirst = {
    {":method", "GET"}, {":scheme", "http"}, {":path", "/"}, {":authority", "www.example.com"}};
const Fields kSecond = {{":method", "GET"},
                        {":scheme", "http"},
                        {":path", "/"},
                        {":authority", "www.example.com"},
                        {"cache-control", "no-cache"}};
const Fields kThird = {{":method", "GET"},
                       {":scheme", "https"},
                       {":path", "/index.html"},
                       {":authority", "www.example.com"},
                       {"custom-key", "custom-value"}};
TEST(Hpack, RequestsOfAppendixC3) {
  HpackDecoder d;
  expect_decoded(d, "828684410f7777772e6578616d706c652e636f6d", kFirst, 57);
  expect_decoded(d, "828684be58086e6f2d6361636865", kSecond, 110);
  expect_decoded(d, "828785bf400a637573746f6d2d6b65790c637573746f6d2d76616c7565", kThird, 164);
}
TEST(Hpack, HuffmanRequestsOfAppendixC4) {
  HpackDecoder d;
  expect_decoded(d, "828684418cf1e3c2e5f23a6ba0ab90f4ff", kFirst, 57);
  expect_decoded(d, "828684be5886a8eb10649cbf", kSecond, 110);
  expect_decoded(d, "828785bf408825a849e95ba97d7f8925a849e95bb8e8b4bf", kThird, 164);
  // This encoder produces the same bytes.
  HpackEncoder e;
  std::string out;
  e.encode(headers_of(kFirst), out);
  EXPECT_EQ(out, hex("828684418cf1e3c2e5f23a6ba0ab90f4ff"));
  out.clear();
  e.encode(headers_of(kSecond), out);
  EXPECT_EQ(out, hex("828684be5886a8eb10649cbf"));
}
const Fields kAnswer1 = {{":status", "302"},
                         {"cache-control", "private"},
                         {"date", "Mon, 21 Oct 2013 20:13:21 GMT"},
                         {"location", "https://www.example.com"}};
const Fields kAnswer2 = {{":status", "307"},
                         {"cache-control", "private"},
                         {"date", "Mon, 21 Oct 2013 20:13:21 GMT"},
                         {"location", "https://www.example.com"}};
const Fields kAnswer3 = {{":status", "200"},
                         {"cache-control", "private"},
                         {"date", "Mon, 21 Oct 2013 20:13:22 GMT"},
                         {"location", "https://www.example.com"},
                         {"content-encoding", "gzip"},
                         {"set-cookie", "foo=ASDJKHQKBZXOQWEOPIUAXQWEOIU; max-age=3600; version=1"}};
TEST(Hpack, ResponsesWithEvictionOfAppendixC5AndC6) {
  HpackDecoder plain(256);
  expect_decoded(
      plain,
      "4803333032580770726976617465611d4d6f6e2c203231204f637420323031332032303a31333a323120474d546e17687474"
      "70733a2f2f7777772e6578616d706c652e636f6d",
      kAnswer1, 222);
  expect_decoded(plain, "4803333037c1c0bf", kAnswer2, 222);
  expect_decoded(
      plain,
      "88c1611d4d6f6e2c203231204f637420323031332032303a31333a323220474d54c05a04677a69707738666f6f3d4153444a4b"
      "48514b425a584f5157454f50495541585157454f49553b206d61782d6167653d333630303b2076657273696f6e3d31",
      kAnswer3, 215);
  HpackDecoder coded(256);
  expect_decoded(
      coded,
      "488264025885aec3771a4b6196d07abe941054d444a8200595040b8166e082a62d1bff6e919d29ad171863c78f0b97c8e9ae82"
      "ae43d3",
      kAnswer1, 222);
  expect_decoded(coded, "4883640effc1c0bf", kAnswer2, 222);
  expect_decoded(
      coded,
      "88c16196d07abe941054d444a8200595040b8166e084a62d1bffc05a839bd9ab77ad94e7821dd7f2e6c7b335dfdfcd5b3960d5"
      "af27087f3672c1ab270fb5291f9587316065c003ed4ee5b1063d5007",
      kAnswer3, 215);
}

TEST(Hpack, WrongBlocksAreErrors) {
  for (const char* bytes : {"80",              // index 0
                            "be",              // index beyond the tables
                            "3fe21f",          // size update above 4096 (4097)
                            "8220",            // size update after a field
                            "0085ffffffffff",  // Huffman: EOS
                            "00811f0000",      // Huffman: padding not of ones
                            "000a61",          // string runs past the block
                            "7f"}) {           // integer cut off
    HpackDecoder d;
    Headers out;
    EXPECT_EQ(d.decode(hex(bytes), 4096, out), HpackDecoder::Result::error) << bytes;
    EXPECT_FALSE(d.error().empty());
  }
}

TEST(Hpack, ABombIsCutOffAndTheTableStaysRight) {
  HpackEncoder e;
  HpackDecoder d;
  std::string block;
  e.encode({{"x", std::string(3000, 'a')}}, block);
  Headers out;
  ASSERT_EQ(d.decode(block, 16384, out), HpackDecoder::Result::ok);
  out.clear();
  // 10,000 references to a 3,000-byte field: 30 MB if all were expanded.
  EXPECT_EQ(d.decode(std::string(10'000, '\xbe'), 16384, out), HpackDecoder::Result::too_large);
  EXPECT_LE(out.size(), 6u);
  out.clear();
  EXPECT_EQ(d.decode("\xbe", 16384, out), HpackDecoder::Result::ok);
}

TEST(Hpack, TheTableFollowsTheAcknowledgedLimit) {
  HpackDecoder d;
  HpackEncoder e;
  std::string block;
  Headers out;
  e.encode({{"a", "b"}}, block);
  ASSERT_EQ(d.decode(block, 4096, out), HpackDecoder::Result::ok);
  d.set_table_size_limit(0);
  out.clear();
  // Section 4.2: the block has to begin with a size update.
  EXPECT_EQ(d.decode("\x82", 4096, out), HpackDecoder::Result::error);
  e.set_table_size_limit(0);
  e.set_table_size_limit(100);
  block.clear(), out.clear();
  e.encode({{"a", "b"}}, block);
  HpackDecoder fresh;
  EXPECT_EQ(fresh.decode(block, 4096, out), HpackDecoder::Result::ok);
  EXPECT_EQ(block.substr(0, 2), hex("203f"));  // the smallest size, then the last
}

// ---- Connections. ----
using Type = Event::Type;

// A client and a server connection that exchange their output, and the events of each.
struct Pair {
  Connection client{Role::client}, server;
  std::vector<Event> at_client, at_server;
  explicit Pair(const LocalSettings& s = {}, const Limits& l = {}) : server(Role::server, s, l) {}
  // Exchanges output until there is none, in pieces of at most that many bytes.
  void run(std::size_t piece = 1 << 20) {
    for (int i = 0; i < 100 && (client.has_output() || server.has_output()); i++) {
      feed(server, client.take_output(), at_server, piece);
      feed(client, server.take_output(), at_client, piece);
    }
  }
  static void feed(Connection& to, const std::string& bytes, std::vector<Event>& events, std::size_t piece) {
    for (std::size_t at = 0; at < bytes.size(); at += piece)
      to.receive(1, std::string_view(bytes).substr(at, piece), events);
  }
};
const Headers kRequest = {
    {":method", "POST"}, {":scheme", "http"}, {":authority", "a"}, {":path", "/push/1/x"}, {"ttl", "5"}};
const Headers kCreated = {{":status", "201"}, {"location", "/message/1"}};

std::size_t count(const std::vector<Event>& events, Type type) {
  std::size_t n = 0;
  for (const auto& e : events) n += e.type == type;
  return n;
}
std::string body_of(const std::vector<Event>& events, StreamId stream) {
  std::string body;
  for (const auto& e : events)
    if (e.type == Type::data && e.stream == stream) body += e.data;
  return body;
}

TEST(Connection, AStreamLimitMayChangeInServiceAndHoldsOnceItIsAcknowledged) {
  LocalSettings local;
  local.max_concurrent_streams = 3;
  Pair p(local);
  p.run();
  for (int i = 0; i < 3; i++) p.client.request(kRequest, "");
  EXPECT_FALSE(p.client.can_request());
  p.run();
  p.server.limit_streams(1);
  p.run();
  EXPECT_EQ(p.client.peer_max_streams(), 1u);
  EXPECT_EQ(p.server.open_streams(), 3u);  // open streams are not affected
  ASSERT_TRUE(p.server.respond(1, kCreated, "") && p.server.respond(3, kCreated, ""));
  p.run();
  EXPECT_FALSE(p.client.can_request());
  ASSERT_TRUE(p.server.respond(5, kCreated, ""));
  p.run();
  EXPECT_NE(p.client.request(kRequest, ""), 0u);
  EXPECT_FALSE(p.client.can_request());
  // Requests sent before the client received the lower limit are not refused.
  p.server.limit_streams(3);
  p.run();
  p.client.request(kRequest, ""), p.client.request(kRequest, "");
  p.server.limit_streams(1);
  p.run();
  EXPECT_EQ(count(p.at_client, Type::reset), 0u);
  EXPECT_EQ(p.server.open_streams(), 3u);
}

// A client that receives a reset together with the response may drop the response. So short request bodies
// are received to their end, and only long ones are reset, later.
TEST(Connection, AnAnswerBeforeTheWholeRequestAsksForAnEndOnlyOfLongBodies) {
  for (const std::size_t size : {std::size_t{1'000}, std::size_t{1} << 20}) {
    Pair p;
    p.run();
    const auto id = p.client.request(kRequest, std::string(size, 'x'));
    const std::string bytes = p.client.take_output();
    const std::size_t headers = 9 + read_u32(bytes, 0) / 256;
    p.server.receive(1, std::string_view(bytes).substr(0, headers), p.at_server);
    ASSERT_TRUE(p.server.respond(id, kCreated, ""));
    p.client.receive(1, p.server.take_output(), p.at_client);
    EXPECT_EQ(count(p.at_client, Type::headers), 1u);
    EXPECT_EQ(count(p.at_client, Type::reset), 0u);
    p.server.receive(1, std::string_view(bytes).substr(headers), p.at_server);
    p.run();
    EXPECT_EQ(count(p.at_client, Type::reset), 0u);  // the response remains valid
    EXPECT_EQ(body_of(p.at_server, id).size() < size, size > 64 * 1024);
    EXPECT_EQ(p.client.unsent_body_bytes(), 0u);
    EXPECT_EQ(p.client.open_streams() + p.server.open_streams(), 0u);
    EXPECT_FALSE(p.client.failed() || p.server.failed());
  }
}

TEST(Http2, ARequestAndItsAnswerByteByByte) {
  Pair p;
  p.run(1);
  const StreamId id = p.client.request(kRequest, "hello");
  ASSERT_EQ(id, 1u);
  p.run(1);
  EXPECT_EQ(body_of(p.at_server, id), "hello");
  EXPECT_TRUE(p.server.respond(id, kCreated, "done"));
  p.run(1);
  EXPECT_EQ(body_of(p.at_client, id), "done");
  EXPECT_EQ(find_header(p.at_client[1].headers, "location"), "/message/1");
  EXPECT_TRUE(p.client.idle() && p.server.idle());
}

TEST(Http2, BodiesBeyondTheWindowsGoInTurns) {
  Pair p;
  p.run();
  const std::string large(300'000, 'x'), other(200'000, 'y');
  const auto a = p.client.request(kRequest, large), b = p.client.request(kRequest, other);
  EXPECT_GT(p.client.unsent_body_bytes(), 300'000u);  // held back by the flow-control windows
  p.run(1000);
  EXPECT_EQ(body_of(p.at_server, a), large);
  EXPECT_EQ(body_of(p.at_server, b), other);
  EXPECT_EQ(p.client.unsent_body_bytes(), 0u);
}

// A server connection whose input the test writes as raw frames.
struct Raw {
  Connection server;
  std::vector<Event> events;
  explicit Raw(const LocalSettings& s = {}, const Limits& l = {}) : server(Role::server, s, l) {
    send(std::string(kClientPreface)), frame(FrameType::settings, 0, 0, "");
  }
  void send(std::string_view bytes) { server.receive(1, bytes, events); }
  void frame(FrameType type, std::uint8_t flags, StreamId stream, std::string_view payload) {
    std::string out;
    put_frame(type, flags, stream, payload, out);
    send(out);
  }
  void open(StreamId stream, bool end = true) {
    std::string block;
    HpackEncoder e(0);
    e.encode(kRequest, block);
    frame(FrameType::headers, static_cast<std::uint8_t>(flag::end_headers | (end ? flag::end_stream : 0)),
          stream, block);
  }
  ErrorCode failure() const {
    for (const auto& e : events)
      if (e.type == Type::failed) return e.code;
    return ErrorCode::no_error;
  }
  ErrorCode reset_of(StreamId stream) const {
    for (const auto& e : events)
      if (e.type == Type::reset && e.stream == stream) return e.code;
    return ErrorCode::no_error;
  }
};
std::string u32(std::uint32_t v) {
  std::string s;
  put_u32(v, s);
  return s;
}

TEST(Http2, ConnectionErrorsByTheRfc) {
  using F = FrameType;
  struct Case {
    const char* what;
    std::function<void(Raw&)> act;
    ErrorCode code;
  };
  const std::vector<Case> cases = {
      {"DATA on stream 0", [](Raw& r) { r.frame(F::data, 0, 0, "x"); }, ErrorCode::protocol_error},
      {"DATA on an idle stream", [](Raw& r) { r.frame(F::data, 0, 5, "x"); }, ErrorCode::protocol_error},
      {"padding as long as the frame",
       [](Raw& r) {
         r.open(1, false), r.frame(F::data, flag::padded, 1,
                                   std::string("\x05"
                                               "abc",
                                               4));
       },
       ErrorCode::protocol_error},
      {"HEADERS on stream 0", [](Raw& r) { r.frame(F::headers, flag::end_headers, 0, "\x82"); },
       ErrorCode::protocol_error},
      {"an even stream", [](Raw& r) { r.open(2); }, ErrorCode::protocol_error},
      {"a stream opened out of order",
       [](Raw& r) { r.open(5), r.server.respond(5, kCreated, ""), r.open(3); }, ErrorCode::stream_closed},
      {"a broken header block", [](Raw& r) { r.frame(F::headers, flag::end_headers, 1, "\x80"); },
       ErrorCode::compression_error},
      {"a frame inside a header block",
       [](Raw& r) { r.frame(F::headers, 0, 1, "\x82"), r.frame(F::ping, 0, 0, "12345678"); },
       ErrorCode::protocol_error},
      {"CONTINUATION alone", [](Raw& r) { r.frame(F::continuation, flag::end_headers, 1, ""); },
       ErrorCode::protocol_error},
      {"RST_STREAM on an idle stream", [](Raw& r) { r.frame(F::rst_stream, 0, 7, u32(8)); },
       ErrorCode::protocol_error},
      {"RST_STREAM of a wrong length", [](Raw& r) { r.open(1), r.frame(F::rst_stream, 0, 1, "123"); },
       ErrorCode::frame_size_error},
      {"SETTINGS on a stream", [](Raw& r) { r.frame(F::settings, 0, 1, ""); }, ErrorCode::protocol_error},
      {"SETTINGS of a wrong length", [](Raw& r) { r.frame(F::settings, 0, 0, "12345"); },
       ErrorCode::frame_size_error},
      {"SETTINGS ACK with a payload", [](Raw& r) { r.frame(F::settings, flag::ack, 0, "123456"); },
       ErrorCode::frame_size_error},
      {"ENABLE_PUSH of 2", [](Raw& r) { r.frame(F::settings, 0, 0, std::string("\0\2", 2) + u32(2)); },
       ErrorCode::protocol_error},
      {"a window above 2^31-1",
       [](Raw& r) { r.frame(F::settings, 0, 0, std::string("\0\4", 2) + u32(0x80000000u)); },
       ErrorCode::flow_control_error},
      {"a frame size below 16,384",
       [](Raw& r) { r.frame(F::settings, 0, 0, std::string("\0\5", 2) + u32(1)); },
       ErrorCode::protocol_error},
      {"PUSH_PROMISE by a client", [](Raw& r) { r.frame(F::push_promise, flag::end_headers, 1, u32(2)); },
       ErrorCode::protocol_error},
      {"PING of a wrong length", [](Raw& r) { r.frame(F::ping, 0, 0, "1"); }, ErrorCode::frame_size_error},
      {"PING on a stream", [](Raw& r) { r.frame(F::ping, 0, 1, "12345678"); }, ErrorCode::protocol_error},
      {"GOAWAY on a stream", [](Raw& r) { r.frame(F::goaway, 0, 1, u32(0) + u32(0)); },
       ErrorCode::protocol_error},
      {"GOAWAY too short", [](Raw& r) { r.frame(F::goaway, 0, 0, u32(0)); }, ErrorCode::frame_size_error},
      {"WINDOW_UPDATE of 0", [](Raw& r) { r.frame(F::window_update, 0, 0, u32(0)); },
       ErrorCode::protocol_error},
      {"a window beyond 2^31-1", [](Raw& r) { r.frame(F::window_update, 0, 0, u32(0x7fffffff)); },
       ErrorCode::flow_control_error},
      {"PRIORITY on stream 0", [](Raw& r) { r.frame(F::priority, 0, 0, "12345"); },
       ErrorCode::protocol_error},
      {"a frame that is too large", [](Raw& r) { r.frame(F::data, 0, 1, std::string(16'385, 'x')); },
       ErrorCode::frame_size_error},
      {"HTTP/1.1 after the preface", [](Raw& r) { r.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); },
       ErrorCode::frame_size_error},
  };
  for (const auto& c : cases) {
    Raw r;
    c.act(r);
    EXPECT_EQ(r.failure(), c.code) << c.what;
    // The peer gets a GOAWAY with the same code.
    const auto out = r.server.take_output();
    EXPECT_NE(out.find(u32(static_cast<std::uint32_t>(c.code))), std::string::npos) << c.what;
  }
}

TEST(Http2, GarbageInsteadOfThePrefaceFailsAtOnce) {
  Connection server(Role::server);
  std::vector<Event> events;
  server.receive(1, "GET / HTTP/1.1\r\n", events);
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].code, ErrorCode::protocol_error);
  Connection client(Role::client);
  events.clear();
  client.receive(1, "HTTP/1.1 400 Bad Request\r\n\r\n", events);
  EXPECT_TRUE(client.failed());
  EXPECT_FALSE(client.established());
}

TEST(Http2, MalformedRequestsResetTheirStreamOnly) {
  const std::vector<Headers> wrong = {
      {{":method", "POST"}, {":scheme", "http"}},                                            // no path
      {{":method", "POST"}, {":method", "GET"}, {":scheme", "http"}, {":path", "/"}},        // twice
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"Upper", "x"}},            // upper case
      {{":method", "POST"}, {":scheme", "http"}, {"x", "y"}, {":path", "/"}},                // wrong order
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"connection", "close"}},   // HTTP/1 only
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"te", "gzip"}},            // te value
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {":status", "200"}},        // of a response
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"a", "b\r\nc: d"}},        // CR LF inside
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"content-length", "5"}},   // body missing
      {{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {"content-length", "5x"}},  // not a number
  };
  for (const auto& headers : wrong) {
    Raw r;
    std::string block;
    HpackEncoder e(0);
    e.encode(headers, block);
    r.frame(FrameType::headers, flag::end_headers | flag::end_stream, 1, block);
    EXPECT_EQ(r.reset_of(1), ErrorCode::protocol_error) << headers.back().name;
    EXPECT_FALSE(r.server.failed());
    r.open(3);
    EXPECT_EQ(count(r.events, Type::headers), 1u);
  }
}

TEST(Http2, FloodsAreCutOff) {
  {  // rapid reset
    Raw r;
    for (StreamId id = 1; !r.server.failed() && id < 4000; id += 2)
      r.open(id), r.frame(FrameType::rst_stream, 0, id, u32(8));
    EXPECT_EQ(r.failure(), ErrorCode::enhance_your_calm);
  }
  {  // CONTINUATION without end
    Raw r;
    r.frame(FrameType::headers, 0, 1, "\x82");
    for (int i = 0; i < 100 && !r.server.failed(); i++) r.frame(FrameType::continuation, 0, 1, "");
    EXPECT_EQ(r.failure(), ErrorCode::enhance_your_calm);
  }
  for (const auto& [type, payload] :
       std::vector<std::pair<FrameType, std::string>>{{FrameType::ping, "12345678"},
                                                      {FrameType::settings, ""},
                                                      {FrameType::priority, "12345"},
                                                      {static_cast<FrameType>(0x77), "x"}}) {
    Raw r;
    const StreamId stream = type == FrameType::priority ? 1 : 0;
    for (int i = 0; i < 3000 && !r.server.failed(); i++) r.frame(type, 0, stream, payload);
    EXPECT_EQ(r.failure(), ErrorCode::enhance_your_calm) << name_of(type);
  }
  {  // empty DATA
    Raw r;
    r.open(1, false);
    for (int i = 0; i < 3000 && !r.server.failed(); i++) r.frame(FrameType::data, 0, 1, "");
    EXPECT_EQ(r.failure(), ErrorCode::enhance_your_calm);
  }
  {  // streams beyond the limit are refused; too many of them fail the connection
    LocalSettings s;
    s.max_concurrent_streams = 4;
    Raw r(s);
    for (StreamId id = 1; id <= 9; id += 2) r.open(id);
    EXPECT_EQ(count(r.events, Type::headers), 4u);
    std::string refusal;
    put_rst_stream(9, ErrorCode::refused_stream, refusal);
    EXPECT_NE(r.server.take_output().find(refusal), std::string::npos);
    for (StreamId id = 11; !r.server.failed() && id < 4000; id += 2) r.open(id);
    EXPECT_EQ(r.failure(), ErrorCode::enhance_your_calm);
  }
  {  // a header list beyond the limit resets only its stream
    Raw r;
    std::string block;
    HpackEncoder e(0);
    Headers large = kRequest;
    large.push_back({"x", std::string(20'000, '~')});
    e.encode(large, block);
    r.frame(FrameType::headers, flag::end_stream, 1, std::string_view(block).substr(0, 16'000));
    r.frame(FrameType::continuation, flag::end_headers, 1, std::string_view(block).substr(16'000));
    EXPECT_EQ(r.reset_of(1), ErrorCode::enhance_your_calm);
    EXPECT_FALSE(r.server.failed());
  }
}

TEST(Http2, AShrunkenWindowGoesBelowZeroAndComesBack) {
  Raw r;
  r.open(1);
  r.server.take_output();
  ASSERT_TRUE(r.server.respond(1, kCreated, std::string(100'000, 'z')));
  EXPECT_EQ(r.server.unsent_body_bytes(), 100'000u - 65'535u);
  r.frame(FrameType::settings, 0, 0, std::string("\0\4", 2) + u32(1000));  // stream window now -64,535
  r.frame(FrameType::window_update, 0, 0, u32(1'000'000));
  EXPECT_EQ(r.server.unsent_body_bytes(), 34'465u);
  r.frame(FrameType::window_update, 0, 1, u32(64'535));  // now 0: still nothing sent
  EXPECT_EQ(r.server.unsent_body_bytes(), 34'465u);
  r.frame(FrameType::window_update, 0, 1, u32(34'465));
  EXPECT_EQ(r.server.unsent_body_bytes(), 0u);
  EXPECT_TRUE(r.server.idle());
}

TEST(Http2, GoawayProvesWhichStreamsWereNotTaken) {
  Pair p;
  p.run();
  for (int i = 0; i < 50; i++) p.client.request(kRequest, "m");
  p.run();
  p.server.goaway_after(41, ErrorCode::no_error);
  p.run();
  EXPECT_EQ(count(p.at_client, Type::unprocessed), 29u);  // 43 to 99
  EXPECT_FALSE(p.client.can_request());
  EXPECT_TRUE(p.server.respond(41, kCreated, ""));
  EXPECT_FALSE(p.server.respond(43, kCreated, ""));
  p.run();
  EXPECT_EQ(count(p.at_client, Type::headers), 1u);
  EXPECT_EQ(p.client.open_streams(), 20u);
}

TEST(Http2, ResetByEitherSideAndFramesThatCross) {
  Pair p;
  p.run();
  const auto a = p.client.request(kRequest, "a"), b = p.client.request(kRequest, "b");
  p.run();
  p.server.respond(a, kCreated, "late");  // in flight while the client resets the stream
  p.client.reset(a, ErrorCode::cancel);
  p.server.reset(b, ErrorCode::refused_stream);
  p.run();
  EXPECT_EQ(count(p.at_client, Type::headers), 0u);
  ASSERT_EQ(count(p.at_client, Type::reset), 1u);
  EXPECT_EQ(p.at_client.back().code, ErrorCode::refused_stream);
  EXPECT_FALSE(p.client.failed() || p.server.failed());
}

TEST(Http2, TheCallersStreamsKeepToThePeersLimit) {
  LocalSettings s;
  s.max_concurrent_streams = 3;
  Pair p(s);
  p.run();
  for (int i = 0; i < 3; i++) EXPECT_NE(p.client.request(kRequest, ""), 0u);
  EXPECT_EQ(p.client.request(kRequest, ""), 0u);
  p.run();
  p.server.respond(1, kCreated, "");
  p.run();
  EXPECT_NE(p.client.request(kRequest, ""), 0u);
}

TEST(Http2, TrailersAndInterimResponses) {
  Connection client(Role::client);
  std::vector<Event> events;
  std::string bytes, block;
  put_settings({}, bytes);
  client.request(kRequest, "");
  HpackEncoder e;
  const auto add = [&](const Headers& headers, std::uint8_t flags) {
    block.clear();
    e.encode(headers, block);
    put_frame(FrameType::headers, static_cast<std::uint8_t>(flags | flag::end_headers), 1, block, bytes);
  };
  add({{":status", "103"}}, 0);
  add(kCreated, 0);
  put_frame(FrameType::data, flag::padded, 1,
            std::string("\x03"
                        "ok\0\0\0",
                        6),
            bytes);
  add({{"server-timing", "x"}}, flag::end_stream);
  client.receive(1, bytes, events);
  EXPECT_EQ(count(events, Type::headers), 1u);
  EXPECT_EQ(count(events, Type::trailers), 1u);
  EXPECT_EQ(body_of(events, 1), "ok");
  EXPECT_TRUE(client.idle());
}

}  // namespace
}  // namespace cedarplank::http2
