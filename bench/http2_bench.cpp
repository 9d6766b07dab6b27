// HPACK coding and frame decoding compared with libnghttp2 on the same bytes in one run.
#include <benchmark/benchmark.h>
#include <nghttp2/nghttp2.h>

#include "http2/connection.hpp"

namespace cedarplank::http2 {
namespace {

Headers push(int i) {
  return {{":method", "POST"},
          {":scheme", "http"},
          {":authority", "relay.example:18080"},
          {":path", "/push/cellar-" + std::to_string(i % 12) + "/load-status"},
          {"ttl", std::to_string(i % 20)},
          {"content-type", "application/json"},
          {"idempotency-key", "k-" + std::to_string(i * 7919)},
          {"x-tenant", i % 2 ? "rooiberg" : "klipdrift"},
          {"content-length", "256"}};
}
std::vector<std::string> blocks() {
  HpackEncoder e;
  std::vector<std::string> all(1000);
  for (int i = 0; i < 1000; i++) e.encode(push(i), all[static_cast<std::size_t>(i)]);
  return all;
}

void hpack_ours(benchmark::State& state) {
  const auto all = blocks();
  for (auto _ : state) {
    HpackDecoder d;
    for (const auto& block : all) {
      Headers out;
      if (d.decode(block, 65'536, out) != HpackDecoder::Result::ok) return state.SkipWithError("decode");
      benchmark::DoNotOptimize(out);
    }
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
void hpack_nghttp2(benchmark::State& state) {
  const auto all = blocks();
  for (auto _ : state) {
    nghttp2_hd_inflater* inflater;
    nghttp2_hd_inflate_new(&inflater);
    for (const auto& block : all) {
      Headers out;  // stored as strings, as HpackDecoder does
      auto* at = reinterpret_cast<const std::uint8_t*>(block.data());
      std::size_t left = block.size();
      for (;;) {
        nghttp2_nv nv;
        int flags = 0;
        const auto n = nghttp2_hd_inflate_hd2(inflater, &nv, &flags, at, left, 1);
        if (n < 0) return state.SkipWithError("inflate");
        at += n, left -= static_cast<std::size_t>(n);
        if (flags & NGHTTP2_HD_INFLATE_EMIT)
          out.push_back({std::string(reinterpret_cast<char*>(nv.name), nv.namelen),
                         std::string(reinterpret_cast<char*>(nv.value), nv.valuelen)});
        if (flags & NGHTTP2_HD_INFLATE_FINAL) break;
      }
      nghttp2_hd_inflate_end_headers(inflater);
      benchmark::DoNotOptimize(out);
    }
    nghttp2_hd_inflate_del(inflater);
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
BENCHMARK(hpack_ours);
BENCHMARK(hpack_nghttp2);

void encode_ours(benchmark::State& state) {
  for (auto _ : state) {
    HpackEncoder e;
    std::string out;
    for (int i = 0; i < 1000; i++) e.encode(push(i), out);
    benchmark::DoNotOptimize(out);
    state.counters["bytes"] = static_cast<double>(out.size());
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
void encode_nghttp2(benchmark::State& state) {
  std::string buffer(1 << 16, 0);
  for (auto _ : state) {
    nghttp2_hd_deflater* deflater;
    nghttp2_hd_deflate_new(&deflater, 4096);
    std::size_t bytes = 0;
    for (int i = 0; i < 1000; i++) {
      const auto headers = push(i);
      std::vector<nghttp2_nv> list;
      for (const auto& h : headers)
        list.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.name.data())),
                        reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.value.data())), h.name.size(),
                        h.value.size(), 0});
      bytes += static_cast<std::size_t>(nghttp2_hd_deflate_hd(
          deflater, reinterpret_cast<std::uint8_t*>(buffer.data()), buffer.size(), list.data(), list.size()));
    }
    nghttp2_hd_deflate_del(deflater);
    state.counters["bytes"] = static_cast<double>(bytes);
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
BENCHMARK(encode_ours);
BENCHMARK(encode_nghttp2);

// What a client sends for 1,000 pushes with bodies, as input for the frame layer of a server.
std::string client_bytes() {
  std::string bytes(kClientPreface);
  put_settings({}, bytes);
  HpackEncoder e;
  StreamId id = 1;
  for (int i = 0; i < 1000; i++, id += 2) {
    std::string block;
    e.encode(push(i), block);
    put_frame(FrameType::headers, flag::end_headers, id, block, bytes);
    put_frame(FrameType::data, flag::end_stream, id, std::string(256, 'x'), bytes);
    put_rst_stream(id, ErrorCode::cancel, bytes);
  }
  return bytes;
}

void frames_ours(benchmark::State& state) {
  const auto bytes = client_bytes();
  for (auto _ : state) {
    Limits limits;
    limits.resets_burst = 1e9;
    Connection server(Role::server, {}, limits);
    std::vector<Event> events;
    for (std::size_t at = 0; at < bytes.size(); at += 16'384) {
      events.clear();
      server.receive(1, std::string_view(bytes).substr(at, 16'384), events);
      benchmark::DoNotOptimize(events);
    }
    benchmark::DoNotOptimize(server.take_output());
    if (server.failed()) return state.SkipWithError("failed");
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
void frames_nghttp2(benchmark::State& state) {
  const auto bytes = client_bytes();
  struct Seen {
    Headers headers;
    std::string data;
  };
  for (auto _ : state) {
    Seen seen;
    nghttp2_session_callbacks* cb;
    nghttp2_session_callbacks_new(&cb);
    nghttp2_session_callbacks_set_on_header_callback(
        cb, [](nghttp2_session*, const nghttp2_frame*, const std::uint8_t* n, std::size_t nl,
               const std::uint8_t* v, std::size_t vl, std::uint8_t, void* s) {
          static_cast<Seen*>(s)->headers.push_back({std::string(reinterpret_cast<const char*>(n), nl),
                                                    std::string(reinterpret_cast<const char*>(v), vl)});
          return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        cb, [](nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* d, std::size_t n, void* s) {
          static_cast<Seen*>(s)->data.assign(reinterpret_cast<const char*>(d), n);
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(cb,
                                                         [](nghttp2_session*, const nghttp2_frame*, void* s) {
                                                           static_cast<Seen*>(s)->headers.clear();
                                                           return 0;
                                                         });
    nghttp2_option* option;
    nghttp2_option_new(&option);
    nghttp2_option_set_stream_reset_rate_limit(option, 1'000'000, 1'000'000);
    nghttp2_session* session;
    nghttp2_session_server_new2(&session, cb, &seen, option);
    nghttp2_submit_settings(session, 0, nullptr, 0);
    for (std::size_t at = 0; at < bytes.size(); at += 16'384) {
      const auto n = std::min<std::size_t>(16'384, bytes.size() - at);
      if (nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t*>(bytes.data()) + at, n) !=
          static_cast<ssize_t>(n))
        return state.SkipWithError("recv");
      const std::uint8_t* out;
      while (nghttp2_session_mem_send(session, &out) > 0) {
      }
    }
    nghttp2_session_del(session);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(cb);
  }
  state.SetItemsProcessed(state.iterations() * 1000);
}
BENCHMARK(frames_ours);
BENCHMARK(frames_nghttp2);

}  // namespace
}  // namespace cedarplank::http2
