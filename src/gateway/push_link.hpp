// The push gateway's client side: one HTTP/2 connection to an endpoint, on which each call is a request.
//
// The connection counts as established once the endpoint's SETTINGS were received, and no call is sent
// before: until then every failure proves that no call ran (docs/design/gateway.md).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "back/driver.hpp"
#include "gateway/semantics.hpp"
#include "net/socket.hpp"

namespace cedarplank::gateway {

// One connection to an endpoint, as the endpoint driver uses it.
class PushLink final : public back::Link {
 public:
  // Opens the connection; another one can be set, for TLS with ALPN for example.
  using Connector = std::function<std::unique_ptr<net::Stream>(const net::Address& to, Time timeout,
                                                               net::Stream::Handlers)>;
  struct Host {
    std::function<std::int64_t()> wall_clock;  // seconds since 1970, for Retry-After dates
    std::function<void(const std::string&)> log;
  };
  // Starts to connect. Throws if no connection to the address can be started.
  PushLink(loop::Loop& loop, const config::RelaySettings& settings, const config::PartnerEndpoint& endpoint,
           pool::LinkId id, back::EndpointDriver& driver, Host host, const Connector& connector = {});

  SubmitResult submit(const relay::OutgoingCall& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override { stream_->close(); }
  std::optional<Capacity> capacity() override;
  void run_maintenance() override;
  relay::CallResult ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  // A call that was sent and has no result yet.
  struct SentCall {
    http2::StreamId stream = 0;
    std::uint64_t begin_offset = 0;  // offset of its first byte in all that the connection has written
  };
  void receive(std::string_view bytes);
  void on_event(http2::Event& e);
  // Reports the result of the call on that stream, if it has one out.
  void finish_call(http2::StreamId stream, relay::CallResult result);
  bool can_send() const;
  void flush();

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  const config::PartnerEndpoint endpoint_;
  const pool::LinkId id_;
  back::EndpointDriver& driver_;
  Host host_;
  http2::Connection h2_{http2::Role::client};
  std::unique_ptr<net::Stream> stream_;
  std::map<http2::StreamId, relay::CallId> calls_by_stream_;  // calls without a result, by stream
  std::map<relay::CallId, SentCall> sent_calls_;              // the same calls, by id
  // Streams whose response headers were received and whose bodies are not complete: since when, and the bytes
  // received so far.
  std::map<http2::StreamId, std::pair<Time, std::size_t>> unfinished_responses_;
};

}  // namespace cedarplank::gateway
