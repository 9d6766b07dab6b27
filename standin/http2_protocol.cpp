// HTTP/2 protocol of a stand-in endpoint: the endpoint of a push gateway (RFC 8030).
#include <map>

#include "http2/connection.hpp"
#include "standin/protocol.hpp"

namespace cedarplank::standin {
namespace {

class Http2ServerProtocol final : public ServerProtocol {
 public:
  explicit Http2ServerProtocol(const ProtocolSettings& settings)
      : endpoint_(settings.endpoint), h2_(http2::Role::server, local_settings(settings.streams)) {}

  void receive(Time now, std::string_view bytes, std::vector<ReceivedCall>& calls) override {
    std::vector<http2::Event> events;
    h2_.receive(now, bytes, events);
    for (auto& e : events) {
      if (e.type == http2::Event::Type::headers) {
        receiving_[e.stream] = {std::move(e.headers), ""};
        if (!e.end_stream) continue;
      } else if (e.type == http2::Event::Type::data) {
        const auto it = receiving_.find(e.stream);
        if (it == receiving_.end()) continue;
        it->second.second += e.data;
        if (!e.end_stream) continue;
      } else {
        if (e.type == http2::Event::Type::reset) receiving_.erase(e.stream);
        continue;
      }
      const auto it = receiving_.find(e.stream);
      if (it == receiving_.end()) continue;
      const auto [headers, body] = std::move(it->second);
      receiving_.erase(it);
      ReceivedCall a;
      a.stream = e.stream, a.message = record::message_id_in(body),
      a.message_class = record::message_class_in(body);
      a.key = http2::find_header(headers, "idempotency-key");
      if (http2::find_header(headers, ":method") != "POST")
        a.status = 405;
      else if (!http2::has_header(headers, "ttl"))
        a.status = 400;
      calls.push_back(std::move(a));
    }
  }
  bool failed() const override { return h2_.failed(); }
  std::size_t open_calls() const override { return h2_.open_streams(); }
  void respond(std::uint32_t stream, int status, Time wait) override {
    http2::Headers headers = {{":status", std::to_string(status)}};
    if (status == 201)
      headers.push_back({"location", "/message/" + endpoint_ + "-" + std::to_string(stream)});
    if (wait > 0) headers.push_back({"retry-after", std::to_string((wait + 999'999) / 1'000'000)});
    h2_.respond(stream, headers, "");
  }
  void refuse(std::uint32_t stream) override { h2_.reset(stream, http2::ErrorCode::refused_stream); }
  void go_away(std::uint32_t stream) override { h2_.goaway_after(stream - 1, http2::ErrorCode::no_error); }
  void announce_shutdown() override { h2_.goaway(); }
  void limit_calls(int streams) override { h2_.limit_streams(static_cast<std::uint32_t>(streams)); }
  std::string take_output() override { return h2_.has_output() ? h2_.take_output() : std::string(); }
  std::string foreign_bytes() const override {
    return "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  }

 private:
  static http2::LocalSettings local_settings(int streams) {
    http2::LocalSettings s;
    s.max_concurrent_streams = static_cast<std::uint32_t>(streams);
    return s;
  }
  std::string endpoint_;
  http2::Connection h2_;
  std::map<http2::StreamId, std::pair<http2::Headers, std::string>> receiving_;  // incomplete requests
};

}  // namespace

std::unique_ptr<ServerProtocol> make_http2_protocol(const ProtocolSettings& s) {
  return std::make_unique<Http2ServerProtocol>(s);
}

}  // namespace cedarplank::standin
