// SMPP: encoding and decoding of PDUs with the bytes allocated for each; and submits through a whole session
// compared with pushes through a whole HTTP/2 connection in one run.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

#include "http2/connection.hpp"
#include "smpp/session.hpp"
#include "smpp/text.hpp"

namespace {
std::size_t allocated = 0, allocations = 0;
}
[[gnu::noinline]] void* operator new(std::size_t n) {
  allocated += n, allocations++;
  if (void* p = std::malloc(n)) return p;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* p) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace cedarplank::smpp {
namespace {

Pdu submit(int n) {
  Message m;
  m.service_type = "PAY", m.source = {1, 1, "255700000001"}, m.destination = {1, 1, "255700100200"};
  m.validity = "000000000100000R", m.registered_delivery = 1;
  m.text = "Your picking of today: " + std::to_string(n) + " crates, paid on Friday. Thank you.";
  return {Command::submit_sm, 0, static_cast<std::uint32_t>(n), m};
}
Pdu response(int n) {
  return {Command::submit_sm_resp, 0, static_cast<std::uint32_t>(n),
          MessageResp{"relay-0-" + std::to_string(n), {}}};
}
Pdu receipt(int n) {
  Message m;
  m.esm_class = 4;
  m.text =
      "id:relay-0-1 sub:001 dlvrd:001 submit date:2612011200 done date:2612011200 stat:DELIVRD err:000 text:";
  m.tlvs = {{tag::receipted_message_id, "relay-0-1"}, make_tlv(tag::message_state, 2, 1)};
  return {Command::deliver_sm, 0, static_cast<std::uint32_t>(n), m};
}

template <Pdu (*Make)(int)>
void encoding(benchmark::State& state) {
  const Pdu pdu = Make(7);
  std::string out;
  out.reserve(1 << 20);
  const auto before = allocated;
  for (auto _ : state) {
    if (out.size() > 1'000'000) out.clear();
    encode(pdu, out);
  }
  state.SetItemsProcessed(state.iterations());
  state.counters["bytes/PDU"] =
      static_cast<double>(allocated - before) / static_cast<double>(state.iterations());
}
template <Pdu (*Make)(int)>
void decoding(benchmark::State& state) {
  std::string bytes;
  encode(Make(7), bytes);
  const auto before = allocated, many = allocations;
  for (auto _ : state) benchmark::DoNotOptimize(decode(bytes));
  state.SetItemsProcessed(state.iterations());
  state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(bytes.size()));
  state.counters["bytes/PDU"] =
      static_cast<double>(allocated - before) / static_cast<double>(state.iterations());
  state.counters["allocations/PDU"] =
      static_cast<double>(allocations - many) / static_cast<double>(state.iterations());
}

// Per iteration: 50 requests, then their 50 responses.
void submits_over_a_session(benchmark::State& state) {
  Session esme(Role::esme, {}, 0), smsc(Role::smsc, {}, 0);
  std::vector<Event> events;
  const auto to = [&](Session& from, Session& into) {
    events.clear();
    into.receive(1, from.take_output(), events);
  };
  esme.bind(0, Command::bind_transceiver, {"a", "b", "", 0x34, {}});
  to(esme, smsc), smsc.accept(0, "c"), to(smsc, esme);
  const auto message = std::get<Message>(submit(7).body);
  for (auto _ : state) {
    for (int i = 0; i < 50; i++) esme.request(1, Command::submit_sm, message);
    to(esme, smsc);
    for (const auto& e : events) smsc.respond(e.pdu, status::ok, MessageResp{"relay-0-17", {}});
    to(smsc, esme);
  }
  state.SetItemsProcessed(state.iterations() * 50);
}
void pushes_over_a_connection(benchmark::State& state) {
  http2::Connection client(http2::Role::client), server(http2::Role::server);
  std::vector<http2::Event> events;
  const auto to = [&](http2::Connection& from, http2::Connection& into) {
    events.clear();
    if (from.has_output()) into.receive(1, from.take_output(), events);
  };
  to(client, server), to(server, client), to(client, server);
  const std::string text = std::get<Message>(submit(7).body).text;
  for (auto _ : state) {
    for (int i = 0; i < 50; i++)
      client.request({{":method", "POST"},
                      {":scheme", "http"},
                      {":authority", "relay:1"},
                      {":path", "/push/d/pay"},
                      {"ttl", "60"},
                      {"recipient", "+255700100200"}},
                     text);
    to(client, server);
    std::vector<http2::StreamId> streams;
    for (const auto& e : events)
      if (e.end_stream) streams.push_back(e.stream);
    for (const auto s : streams)
      server.respond(s, {{":status", "201"}, {"location", "/message/relay-0-17"}}, "");
    to(server, client), to(client, server);
  }
  state.SetItemsProcessed(state.iterations() * 50);
}
void texts(benchmark::State& state) {
  const std::string words =
      "Prys: 12 €, señor; cosecha de mañana a las 6:30 en la bodega vieja. Gracias {1}.";
  for (auto _ : state) {
    const auto coding = *shortest_coding(words);
    benchmark::DoNotOptimize(encode_text(words, coding));
  }
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(encoding<submit>);
BENCHMARK(encoding<response>);
BENCHMARK(encoding<receipt>);
BENCHMARK(decoding<submit>);
BENCHMARK(decoding<response>);
BENCHMARK(decoding<receipt>);
BENCHMARK(texts);
BENCHMARK(submits_over_a_session);
BENCHMARK(pushes_over_a_connection);

}  // namespace
}  // namespace cedarplank::smpp
