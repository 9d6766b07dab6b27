// Runs a complete relay, stand-in endpoints and a scripted client on one event loop, over loopback sockets.
#pragma once

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include "node/node.hpp"
#include "standin/server.hpp"

namespace cedarplank::testing {

constexpr Time kMs = 1'000, kS = 1'000'000;

// Runs the loop until `done` returns true; fails after `within`.
template <class Done>
void run_until(loop::Loop& loop, Done done, Time within = 60 * kS) {
  const Time until = loop.refresh_now() + within;
  while (!done()) {
    ASSERT_LT(loop.refresh_now(), until) << "the expected condition did not occur in time";
    loop.run_once(10 * kMs);
  }
}
// Runs the loop for a given time.
inline void run_for(loop::Loop& loop, Time time) {
  const Time until = loop.refresh_now() + time;
  while (loop.refresh_now() < until) loop.run_once(std::min<Time>(5 * kMs, until - loop.now()));
}

// An HTTP/2 client whose requests and frames the test controls.
class Client {
 public:
  Client(loop::Loop& loop, const std::string& address, const http2::LocalSettings& local = {})
      : h2(http2::Role::client, local) {
    stream = std::make_unique<net::TcpStream>(
        loop, net::Address::parse(address), 5 * kS,
        net::Stream::Handlers{.connected = [this] { flush(); },
                              .data =
                                  [this, &loop](std::string_view b) {
                                    std::vector<http2::Event> events;
                                    h2.receive(loop.now(), b, events);
                                    for (auto& e : events) handle_event(e);
                                    flush();
                                  },
                              .drained = {},
                              .closed = [this](const std::string&) { closed = true; }});
  }
  void flush() {
    if (h2.has_output()) stream->write(h2.take_output());
  }
  http2::StreamId push(const std::string& path, const std::string& body,
                       http2::Headers more = {{"ttl", "10"}}, const char* method = "POST") {
    http2::Headers all = {{":method", method}, {":scheme", "http"}, {":authority", "relay"}, {":path", path}};
    all.insert(all.end(), more.begin(), more.end());
    const auto id = h2.request(all, body);
    if (stream->bytes_flushed() > 0) flush();
    return id;
  }
  void handle_event(http2::Event& e) {
    if (e.type == http2::Event::Type::headers) {
      answers[e.stream]++;
      headers[e.stream] = e.headers;
    } else if (e.type == http2::Event::Type::data) {
      bodies[e.stream] += e.data;
    } else if (e.type == http2::Event::Type::unprocessed) {
      unprocessed.push_back(e.stream);
    } else if (e.type == http2::Event::Type::goaway) {
      goaway = true;
    } else if (e.type == http2::Event::Type::reset) {
      resets[e.stream] = e.code;
    }
  }
  std::string status(http2::StreamId id) const {
    const auto it = headers.find(id);
    return it == headers.end() ? "" : std::string(http2::find_header(it->second, ":status"));
  }
  std::string field(http2::StreamId id, const char* name) const {
    const auto it = headers.find(id);
    return it == headers.end() ? "" : std::string(http2::find_header(it->second, name));
  }
  http2::Connection h2;
  std::unique_ptr<net::Stream> stream;
  std::map<http2::StreamId, int> answers;
  std::map<http2::StreamId, http2::Headers> headers;
  std::map<http2::StreamId, std::string> bodies;
  std::map<http2::StreamId, http2::ErrorCode> resets;
  std::vector<http2::StreamId> unprocessed;
  bool closed = false, goaway = false;
};

// A relay with its stand-in endpoints, settings and partner list.
class Service {
 public:
  loop::Loop loop;
  std::vector<record::CaptureRecord> frames;  // sent and received at the endpoints
  std::vector<standin::Effect> effects;
  std::vector<std::unique_ptr<standin::Destination>> destinations;
  std::vector<std::string> log;
  config::PartnerList list;
  config::RelaySettings settings;
  node::Node::DeciderFactory decider = relay::make_dispatcher;
  std::unique_ptr<node::Node> node;

  Service() {
    std::string name = (std::filesystem::temp_directory_path() / "cedarplank-test-XXXXXX").string();
    folder = mkdtemp(name.data());
    settings = config::parse_relay_settings(
        folder + "/relay.yaml",
        R"(relay: {name: relay-0, listen: "127.0.0.1:0", seed: 1, tenant_field: x-tenant, drain_within: 1s, body_max: 4KiB, stalled_after: 2s}
partners: {file: partners.yaml, cache: cache.yaml, reread: 20ms}
classes:
  - {name: status, aim: 1s, deadline: 6s, effect: safe}
  - {name: pay, worth: 3, late_worth: 0.3, aim: 1s, deadline: 8s, effect: unsafe}
  - {name: notice, aim: 1s, deadline: 6s, effect: keyed, key_window: 8s}
  - {name: gate, aim: 1s, deadline: 8s, effect: keyed, key_window: 8s, ordered: true}
kinds:
  - {name: plain}
  - {name: unseen, unseen_503: true}
  - {name: sms, smpp: {system_id: relay-0, password: secret, sender: cedar, recipient: "+255700100200", own_tags: true, window: 100, response: 20s}}
  - {name: plain-sms, smpp: {system_id: relay-0, password: secret, bind: transceiver, long: sar, window: 4}}
tenants: [{name: a, quota: 1000/s}]
dispatcher: {slots: 500, open_max: 2000, tick: 1ms, connect_timeout: 300ms, connection_idle: 5s, retry_after_max: 4s, drain_grace: 100ms, overload_for: 2s, cold: 1s}
)");
  }
  ~Service() {
    node.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  // Adds a destination with `n` stand-in endpoints, which answer quickly by default.
  standin::Destination& add(const std::string& name, int n, standin::CapacitySettings capacity = quick(),
                            int streams_max = 100, bool smpp = false, int kind = 0) {
    standin::DestinationSettings d;
    d.name = name, d.capacity = capacity, d.key_window = 8 * kS, d.smpp = smpp;
    for (int i = 0; i < n; i++) {
      standin::EndpointSettings e;
      e.id = name + "-" + std::to_string(i + 1), e.streams_max = streams_max;
      d.endpoints.push_back(e);
    }
    destinations.push_back(std::make_unique<standin::Destination>(
        loop, d, [this](record::CaptureRecord&& r) { frames.push_back(std::move(r)); },
        [this](const standin::Effect& e) { effects.push_back(e); }, destinations.size() + 1));
    for (auto& e : destinations.back()->endpoints()) list_endpoint(name, e->id(), e->address(), kind);
    return *destinations.back();
  }
  // Adds a destination whose endpoints are message centres (SMPP).
  standin::Destination& add_message_centre(const std::string& name, int n, const char* kind = "sms",
                                           standin::CapacitySettings capacity = quick()) {
    const auto& kinds = settings.names.kinds;
    return add(name, n, capacity, 100, true,
               static_cast<int>(std::find(kinds.begin(), kinds.end(), kind) - kinds.begin()));
  }
  static standin::CapacitySettings quick() {
    standin::CapacitySettings p;
    p.servers = 64, p.service = 3 * kMs, p.service_cv = 0, p.queue = 10'000;
    return p;
  }
  void list_endpoint(const std::string& destination, const std::string& id, const std::string& address,
                     int kind = 0) {
    config::PartnerEndpoint e;
    e.id = id, e.destination = destination, e.address = address, e.path = "/push", e.kind = kind;
    list.endpoints.push_back(e);
  }
  void write_list() {
    list.version++;
    write_text(config::write_partners(list, settings.names));
  }
  void write_text(const std::string& text) {
    std::ofstream(folder + "/next", std::ios::binary) << text;
    std::filesystem::rename(folder + "/next", folder + "/partners.yaml");
  }
  void start() {
    write_list();
    node = std::make_unique<node::Node>(
        loop, settings,
        [this](const char* event, const std::string& text) {
          log.push_back(std::string(event) + ": " + text);
        },
        decider);
  }
  standin::Endpoint& endpoint(const std::string& id) {
    for (auto& d : destinations)
      for (auto& e : d->endpoints())
        if (e->id() == id) return *e;
    throw std::logic_error(id);
  }
  // Requests received at the endpoint, or at all endpoints, since `from`.
  std::size_t calls(const std::string& endpoint = "", Time from = 0) const {
    std::size_t n = 0;
    for (const auto& r : frames)
      n += r.what == "HEADERS" && !r.sent && r.at >= from && (endpoint.empty() || r.place == endpoint);
    return n;
  }
  std::size_t effects_of(const std::string& message) const {
    std::size_t n = 0;
    for (const auto& e : effects) n += e.message == message;
    return n;
  }
  std::string folder;
};

}  // namespace cedarplank::testing
