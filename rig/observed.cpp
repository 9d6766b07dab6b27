#include "rig/observed.hpp"

#include <algorithm>

#include "gateway/semantics.hpp"
#include "http2/frame.hpp"

namespace cedarplank::rig {
namespace {

using record::CaptureRecord;

// The relay's name in a Via field, for example "2 relay-0".
std::string relay_of(const CaptureRecord& r) {
  const auto it = r.fields.find("via");
  if (it == r.fields.end()) return "";
  const auto space = it->second.find(' ');
  return space == std::string::npos ? "" : it->second.substr(space + 1);
}

std::string field(const CaptureRecord& r, const char* name) {
  const auto it = r.fields.find(name);
  return it == r.fields.end() ? "" : it->second;
}

struct Reader {
  const std::map<std::string, bool>& unseen_503;
  std::vector<ClientRequest> requests;
  std::vector<Call> calls;
  using ClientStreams = std::map<std::pair<std::uint64_t, std::uint32_t>, std::size_t>;
  using EndpointStreams = std::map<std::tuple<std::string, std::uint64_t, std::uint32_t>, std::size_t>;
  // By endpoint and connection: the last stream of the GOAWAY that the endpoint sent.
  std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> goaway_last_stream;
  void read(const std::vector<CaptureRecord>& records);
  void read_client(const CaptureRecord& r, ClientStreams& streams);
  void read_endpoint(const CaptureRecord& r, EndpointStreams& streams);
};

void Reader::read_client(const CaptureRecord& r,
                         std::map<std::pair<std::uint64_t, std::uint32_t>, std::size_t>& streams) {
  const auto key = std::pair(r.connection, r.stream);
  if (r.what == "HEADERS" && r.sent) {
    ClientRequest t;
    t.relay = r.place, t.sent_at = r.at;
    const auto target = gateway::parse_target(field(r, ":path"));
    if (target) t.destination = target->destination, t.cls = target->message_class;
    t.ttl = gateway::parse_ttl(field(r, "ttl")).value_or(0);
    t.topic = field(r, "topic"), t.key = field(r, "idempotency-key");
    streams[key] = requests.size();
    requests.push_back(std::move(t));
    return;
  }
  if (r.what == "CLOSE" || r.what == "GOAWAY") {
    for (auto it = streams.lower_bound({r.connection, 0});
         it != streams.end() && it->first.first == r.connection; ++it) {
      ClientRequest& t = requests[it->second];
      if (r.what == "CLOSE")
        t.closed_at = std::min(t.closed_at, r.at);
      else if (!r.sent && it->first.second > r.last)
        t.unprocessed = true;
    }
    return;
  }
  const auto it = streams.find(key);
  if (it == streams.end()) return;
  ClientRequest& t = requests[it->second];
  if (r.what == "DATA" && r.sent) {
    t.complete_at = r.at, t.message = r.message;
  } else if (r.what == "HEADERS") {
    const auto status = field(r, ":status");
    if (status.empty() || status[0] == '1') return;
    t.answers++;
    if (t.answered_at == kNever) t.answered_at = r.at, t.status = status;
  } else if (r.what == "RST_STREAM") {
    if (r.sent)
      t.reset_at = std::min(t.reset_at, r.at);
    else if (r.code == static_cast<std::uint32_t>(http2::ErrorCode::refused_stream))
      t.unprocessed = true;
  }
}

void Reader::read_endpoint(
    const CaptureRecord& r,
    std::map<std::tuple<std::string, std::uint64_t, std::uint32_t>, std::size_t>& streams) {
  const auto key = std::tuple(r.place, r.connection, r.stream);
  if (r.what == "HEADERS" && !r.sent) {
    Call c;
    c.endpoint = r.place, c.connection = r.connection, c.stream = r.stream, c.arrived_at = r.at,
    c.relay = relay_of(r);
    c.give_up_not_visible = field(r, "via").rfind("SMPP", 0) == 0;
    // Sent before the relay read the GOAWAY, above its last stream: not accepted either.
    const auto gone = goaway_last_stream.find({r.place, r.connection});
    if (gone != goaway_last_stream.end() && r.stream > gone->second)
      c.proved_not_run = true, c.proved_at = r.at;
    streams[key] = calls.size();
    calls.push_back(std::move(c));
    return;
  }
  if (r.what == "GOAWAY" && r.sent) goaway_last_stream[{r.place, r.connection}] = r.last;
  if (r.what == "CLOSE" || r.what == "GOAWAY") {
    for (auto it = streams.lower_bound({r.place, r.connection, 0});
         it != streams.end() && std::get<0>(it->first) == r.place && std::get<1>(it->first) == r.connection;
         ++it) {
      Call& c = calls[it->second];
      if (r.what == "CLOSE") {
        c.closed_at = std::min(c.closed_at, r.at);
      } else if (r.sent && std::get<2>(it->first) > r.last) {
        c.proved_not_run = true, c.proved_at = std::min(c.proved_at, r.at);
      }
    }
    return;
  }
  const auto it = streams.find(key);
  if (it == streams.end()) return;
  Call& c = calls[it->second];
  if (r.what == "DATA" && !r.sent) {
    c.message = r.message;
  } else if (r.what == "HEADERS" && r.sent) {
    c.answered_at = r.at, c.status = field(r, ":status");
    c.told_wait = gateway::parse_retry_after(field(r, "retry-after"), "", 0);
    const auto unseen = unseen_503.find(r.place);
    if (c.status == "429" || (c.status == "503" && unseen != unseen_503.end() && unseen->second))
      c.proved_not_run = true, c.proved_at = std::min(c.proved_at, r.at);
  } else if (r.what == "RST_STREAM") {
    if (!r.sent)
      c.given_up_at = std::min(c.given_up_at, r.at);
    else if (r.code == static_cast<std::uint32_t>(http2::ErrorCode::refused_stream))
      c.proved_not_run = true, c.proved_at = std::min(c.proved_at, r.at);
  }
}

void Reader::read(const std::vector<CaptureRecord>& records) {
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::size_t> client_streams;
  std::map<std::tuple<std::string, std::uint64_t, std::uint32_t>, std::size_t> endpoint_streams;
  for (const auto& r : records) {
    if (r.side == CaptureRecord::Side::client)
      read_client(r, client_streams);
    else
      read_endpoint(r, endpoint_streams);
  }
}

}  // namespace

Observed observe(std::vector<CaptureRecord> records, const std::map<std::string, bool>& unseen_503) {
  std::stable_sort(records.begin(), records.end(),
                   [](const CaptureRecord& a, const CaptureRecord& b) { return a.at < b.at; });
  Reader reader{unseen_503, {}, {}, {}};
  reader.read(records);
  return {std::move(reader.requests), std::move(reader.calls)};
}

}  // namespace cedarplank::rig
