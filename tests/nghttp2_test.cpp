// Interoperability with libnghttp2 as the peer, in both roles, and of HPACK for each symbol of the Huffman
// code.
#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <map>

#include "http2/connection.hpp"

namespace cedarplank::http2 {
namespace {

nghttp2_nv nv(const Header& h) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.value.data())), h.name.size(), h.value.size(),
          NGHTTP2_NV_FLAG_NONE};
}
std::vector<nghttp2_nv> nvs(const Headers& headers) {
  std::vector<nghttp2_nv> out;
  for (const auto& h : headers) out.push_back(nv(h));
  return out;
}

// A peer implemented by libnghttp2.
struct Peer {
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, Headers> headers;
  std::map<std::int32_t, std::string> bodies;
  std::vector<std::int32_t> ended;
  std::map<std::int32_t, std::string> uploads;
  std::string answer;

  explicit Peer(bool server) {
    nghttp2_session_callbacks* cb;
    nghttp2_session_callbacks_new(&cb);
    nghttp2_session_callbacks_set_on_header_callback(
        cb, [](nghttp2_session*, const nghttp2_frame* f, const std::uint8_t* n, std::size_t nl,
               const std::uint8_t* v, std::size_t vl, std::uint8_t, void* self) {
          static_cast<Peer*>(self)->headers[f->hd.stream_id].push_back(
              {std::string(reinterpret_cast<const char*>(n), nl),
               std::string(reinterpret_cast<const char*>(v), vl)});
          return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        cb, [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* d, std::size_t n,
               void* self) {
          static_cast<Peer*>(self)->bodies[id].append(reinterpret_cast<const char*>(d), n);
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        cb, [](nghttp2_session*, const nghttp2_frame* f, void* self) {
          const bool message = f->hd.type == NGHTTP2_HEADERS || f->hd.type == NGHTTP2_DATA;
          if (message && (f->hd.flags & NGHTTP2_FLAG_END_STREAM))
            static_cast<Peer*>(self)->ended.push_back(f->hd.stream_id);
          return 0;
        });
    (server ? nghttp2_session_server_new : nghttp2_session_client_new)(&session, cb, this);
    nghttp2_session_callbacks_del(cb);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
  }
  ~Peer() { nghttp2_session_del(session); }
  // The bytes that it wants to send.
  std::string take() {
    std::string out;
    const std::uint8_t* data;
    for (ssize_t n; (n = nghttp2_session_mem_send(session, &data)) > 0;)
      out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
    return out;
  }
  // Passes received bytes to it.
  void give(const std::string& bytes) {
    const auto n =
        nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    ASSERT_EQ(static_cast<std::size_t>(n), bytes.size()) << nghttp2_strerror(static_cast<int>(n));
  }
  // A body that libnghttp2 sends.
  struct Source {
    std::string bytes;
    std::size_t at = 0;
  };
  std::vector<std::unique_ptr<Source>> sources;
  nghttp2_data_provider provider(std::string body) {
    sources.push_back(std::make_unique<Source>(Source{std::move(body)}));
    nghttp2_data_provider p{};
    p.source.ptr = sources.back().get();
    p.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t most,
                         std::uint32_t* flags, nghttp2_data_source* source, void*) -> ssize_t {
      auto* s = static_cast<Source*>(source->ptr);
      const auto n = std::min(most, s->bytes.size() - s->at);
      std::copy_n(s->bytes.data() + s->at, n, reinterpret_cast<char*>(buffer));
      s->at += n;
      if (s->at == s->bytes.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    };
    return p;
  }
};

Headers request(int i) {
  return {{":method", "POST"},
          {":scheme", "http"},
          {":authority", "relay.example"},
          {":path", "/push/7/load-status"},
          {"ttl", std::to_string(i)},
          {"user-agent", "t"},
          {"x-number", std::to_string(i * 977)}};
}

TEST(Nghttp2, OurClientAgainstItsServer) {
  Connection client(Role::client);
  Peer server(true);
  std::vector<Event> events;
  const auto run = [&] {
    for (int i = 0; i < 200 && client.has_output(); i++) {
      server.give(client.take_output());
      client.receive(1, server.take(), events);
    }
  };
  run();
  std::map<StreamId, std::string> sent;
  for (int i = 0; i < 60; i++) {
    std::string body(static_cast<std::size_t>(i) * 1900, static_cast<char>('a' + i % 26));
    const auto id = client.request(request(i), body);
    ASSERT_NE(id, 0u);
    sent[id] = std::move(body);
  }
  run();
  for (const auto& [id, body] : sent) {
    EXPECT_EQ(server.bodies[static_cast<std::int32_t>(id)], body);
    EXPECT_EQ(server.headers[static_cast<std::int32_t>(id)], request(static_cast<int>(id / 2)));
    const Headers answer = {{":status", "201"}, {"location", "/message/" + std::to_string(id)}};
    const auto list = nvs(answer);
    auto body_source = server.provider(std::string(id * 100, 'r'));
    ASSERT_EQ(nghttp2_submit_response(server.session, static_cast<std::int32_t>(id), list.data(), list.size(),
                                      &body_source),
              0);
  }
  for (int i = 0; i < 50; i++) {
    client.receive(1, server.take(), events);
    server.give(client.take_output());
  }
  std::size_t answers = 0;
  std::map<StreamId, std::size_t> bytes;
  for (const auto& e : events) {
    if (e.type == Event::Type::headers)
      answers += find_header(e.headers, "location") == "/message/" + std::to_string(e.stream);
    if (e.type == Event::Type::data) bytes[e.stream] += e.data.size();
  }
  EXPECT_EQ(answers, 60u);
  for (const auto& [id, n] : bytes) EXPECT_EQ(n, id * 100);
  EXPECT_TRUE(client.idle());
}

TEST(Nghttp2, ItsClientAgainstOurServer) {
  Connection server(Role::server);
  Peer client(false);
  std::vector<Event> events;
  for (int i = 0; i < 60; i++) {
    const auto headers = request(i);
    const auto list = nvs(headers);
    auto body_source = client.provider(std::string(static_cast<std::size_t>(i) * 1900, 'q'));
    ASSERT_GT(
        nghttp2_submit_request(client.session, nullptr, list.data(), list.size(), &body_source, nullptr), 0);
  }
  std::map<StreamId, std::size_t> bytes;
  for (int i = 0; i < 200; i++) {
    events.clear();
    server.receive(1, client.take(), events);
    for (const auto& e : events) {
      ASSERT_NE(e.type, Event::Type::failed) << e.data;
      if (e.type == Event::Type::headers) {
        EXPECT_EQ(e.headers, request(static_cast<int>(e.stream / 2)));
      }
      if (e.type == Event::Type::data) bytes[e.stream] += e.data.size();
      if (e.end_stream)
        server.respond(e.stream, {{":status", "503"}, {"retry-after", "2"}}, std::string(40'000, 'z'));
    }
    client.give(server.take_output());
  }
  EXPECT_EQ(client.ended.size(), 60u);
  for (const auto& [id, n] : bytes) EXPECT_EQ(n, id / 2 * 1900);
  for (const auto& [id, body] : client.bodies) EXPECT_EQ(body.size(), 40'000u);
  EXPECT_TRUE(server.idle());
}

// Each symbol repeated in a value, and the dynamic table under eviction, encoded and decoded by either side.
TEST(Nghttp2, HpackBothWays) {
  nghttp2_hd_deflater* deflater;
  nghttp2_hd_inflater* inflater;
  nghttp2_hd_deflate_new(&deflater, 4096);
  nghttp2_hd_inflate_new(&inflater);
  HpackDecoder decoder;
  HpackEncoder encoder;
  for (int i = 0; i < 600; i++) {
    Headers headers = {{":method", "POST"}, {"x-symbol", std::string(40, static_cast<char>(i % 256))}};
    headers.push_back({"x-" + std::to_string(i % 37), std::string(static_cast<std::size_t>(i % 300), 'v')});
    headers.push_back({"user-agent", "always the same"});
    auto list = nvs(headers);
    std::string block(20'000, 0);
    const auto n = nghttp2_hd_deflate_hd(deflater, reinterpret_cast<std::uint8_t*>(block.data()),
                                         block.size(), list.data(), list.size());
    ASSERT_GT(n, 0);
    Headers out;
    ASSERT_EQ(decoder.decode(std::string_view(block).substr(0, static_cast<std::size_t>(n)), 65'536, out),
              HpackDecoder::Result::ok)
        << decoder.error();
    EXPECT_EQ(out, headers);

    block.clear();
    encoder.encode(headers, block);
    out.clear();
    auto* at = reinterpret_cast<std::uint8_t*>(block.data());
    std::size_t left = block.size();
    for (;;) {
      nghttp2_nv field;
      int flags = 0;
      const auto used = nghttp2_hd_inflate_hd2(inflater, &field, &flags, at, left, 1);
      ASSERT_GE(used, 0) << nghttp2_strerror(static_cast<int>(used));
      at += used, left -= static_cast<std::size_t>(used);
      if (flags & NGHTTP2_HD_INFLATE_EMIT)
        out.push_back({std::string(reinterpret_cast<char*>(field.name), field.namelen),
                       std::string(reinterpret_cast<char*>(field.value), field.valuelen)});
      if (flags & NGHTTP2_HD_INFLATE_FINAL) break;
    }
    nghttp2_hd_inflate_end_headers(inflater);
    EXPECT_EQ(out, headers);
  }
  nghttp2_hd_deflate_del(deflater);
  nghttp2_hd_inflate_del(inflater);
}

}  // namespace
}  // namespace cedarplank::http2
