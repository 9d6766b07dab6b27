// The push gateway's back: the core's calls to endpoints over HTTP/2 connections, and outcomes back.
//
// A connection counts as standing once the endpoint's SETTINGS have come, and nothing is sent before: until
// then every failure proves that no call ran (docs/design/gateway.md).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/partners.hpp"
#include "gateway/semantics.hpp"
#include "http2/connection.hpp"
#include "net/socket.hpp"
#include "relay/core.hpp"

namespace cedarplank::gateway {

class Back final : public relay::Transport {
 public:
  // The seam for TLS with ALPN.
  using Connector = std::function<std::unique_ptr<net::Stream>(const net::Address& to, Time timeout,
                                                               net::Stream::Handlers)>;
  struct Host {
    std::function<void(relay::CallId, relay::Ending)> ended;
    std::function<void(const EndpointId&, Outcome, Time latency)> probe_ended;
    std::function<std::int64_t()> wall;  // seconds since 1970, for Retry-After dates
    std::function<void(const std::string&)> log;
  };
  Back(loop::Loop& loop, const config::RelaySettings& settings, Host host, Connector connector = {});
  ~Back() override;

  // The endpoints of the list; those no longer there finish what is out and are closed.
  void set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints);

  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override;
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId& endpoint) override;

  std::uint64_t opened() const { return opened_; }

 private:
  using CallId = relay::CallId;
  struct Pool;
  struct Link {  // one connection
    std::uint64_t id = 0;
    Pool* pool = nullptr;
    std::unique_ptr<net::Stream> stream;
    http2::Connection h2{http2::Role::client};
    bool standing = false, closing = false;
    std::map<http2::StreamId, CallId> calls;
    std::map<http2::StreamId, std::pair<Time, std::size_t>> tails;  // answered; their bodies are still coming
    loop::TimerId timer = 0;                                        // connecting, then idle
    Time pinged_at = 0;
    bool probing = false;
  };
  struct Pool {
    config::PartnerEndpoint endpoint;
    std::map<std::uint64_t, std::unique_ptr<Link>> links;
    std::deque<CallId> waiting;
    bool listed = true, probe_wanted = false;
    Time probe_from = 0;
  };
  struct Call {
    relay::CallOrder order;
    Time given = 0;
    Pool* pool = nullptr;
    Link* link = nullptr;  // null: still waiting
    http2::StreamId stream = 0;
    std::uint64_t begins_at = 0;  // place of its first byte in what the connection sends
  };

  void connect(Pool& pool);
  void receive(Pool& pool, std::uint64_t link, std::string_view bytes);
  void on_event(Pool& pool, Link& link, http2::Event& e);
  void pump(Pool& pool);
  bool has_room(const Link& link) const;
  void submit(Link& link, CallId id);
  void end(CallId id, relay::Ending ending);
  void end_stream(Link& link, http2::StreamId stream, Break how, http2::ErrorCode code,
                  const std::string& why);
  void lost(Pool& pool, std::uint64_t link, const std::string& why);
  void close_link(Link& link);
  void settle(Pool& pool, Link& link);
  void flush(Link& link);
  void drop_pool_if_done(const EndpointId& id);

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Host host_;
  Connector connector_;
  std::map<EndpointId, std::unique_ptr<Pool>> pools_;
  std::map<CallId, Call> calls_;
  std::uint64_t next_link_ = 1, opened_ = 0;
};

}  // namespace cedarplank::gateway
