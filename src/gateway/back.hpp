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
#include "pool/pool.hpp"
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
    // The call has left, on that connection and stream; may be missing.
    std::function<void(const relay::CallOrder&, pool::LinkId, http2::StreamId)> carried;
    std::function<std::int64_t()> wall;  // seconds since 1970, for Retry-After dates
    std::function<void(const std::string&)> log;
  };
  Back(loop::Loop& loop, const config::RelaySettings& settings, Host host, Connector connector = {});
  ~Back() override;

  // The endpoints of the list; those no longer there finish what is out and are closed.
  void set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints);

  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override;
  bool take_back(relay::CallId call) override;
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId& endpoint) override;

  std::uint64_t opened() const { return opened_; }
  // Settings that may change in service have changed.
  void read_settings();

 private:
  using CallId = relay::CallId;
  struct Peer;
  struct Link {  // one connection
    pool::LinkId id = 0;
    std::unique_ptr<net::Stream> stream;
    http2::Connection h2{http2::Role::client};
    bool closing = false;
    std::map<http2::StreamId, CallId> calls;
    std::map<http2::StreamId, std::pair<Time, std::size_t>> tails;  // answered; their bodies are still coming
  };
  struct Peer {  // one endpoint
    config::PartnerEndpoint endpoint;
    pool::Pool pool;
    std::map<pool::LinkId, std::unique_ptr<Link>> links;
    loop::TimerId timer = 0;
    Time timer_at = 0;
    bool pump_due = false;
    Peer(const config::PartnerEndpoint& e, const pool::Settings& s, pool::Gate& gate, pool::LinkId& next,
         std::uint64_t seed)
        : endpoint(e), pool(e.id, s, gate, next, seed) {}
  };
  struct Call {
    relay::CallOrder order;
    Time given = 0;
    Peer* peer = nullptr;
    Link* link = nullptr;  // null: still waiting
    http2::StreamId stream = 0;
    std::uint64_t begins_at = 0;  // place of its first byte in what the connection sends
  };

  Peer* find(const EndpointId& id);
  void pump(const EndpointId& id);  // does what the pool says is to be done
  void pump_soon(Peer& peer);       // at the turn's end, so that sends of one round go out together
  void rearm(Peer& peer);
  void connect(Peer& peer, pool::LinkId id);
  void receive(const EndpointId& id, pool::LinkId link, std::string_view bytes);
  void on_event(Peer& peer, Link& link, http2::Event& e);
  static bool takes_more(const Link& link);
  void look_at_room(Peer& peer, Link& link);
  bool submit(Peer& peer, Link& link, CallId id);  // false: it had no room
  void end(CallId id, relay::Ending ending);
  void end_stream(Peer& peer, Link& link, http2::StreamId stream, Break how, http2::ErrorCode code,
                  const std::string& why);
  void lost(const EndpointId& id, pool::LinkId link, const std::string& why);
  void close_link(Peer& peer, Link& link, pool::Why why);
  void drop_late_tails(Link& link);
  void flush(Link& link);
  void drop_if_done(const EndpointId& id);

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Host host_;
  Connector connector_;
  pool::Settings pool_settings_;
  pool::Gate gate_;
  pool::LinkId next_link_ = 1;
  std::map<EndpointId, std::unique_ptr<Peer>> peers_;
  std::map<CallId, Call> calls_;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::gateway
