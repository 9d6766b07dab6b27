// Endpoint driver: sends the core's calls to endpoints and reports their outcomes, independently of the
// protocol. A pool::Pool for each endpoint decides which connections are opened and closed. The driver does
// no I/O and reads no clock itself: HTTP/2 connections, SMPP binds and the simulator's virtual connections
// implement the Link interface.
//
// All times are in microseconds of the host's monotonic clock.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "back/link.hpp"
#include "config/partners.hpp"

namespace cedarplank::back {

class EndpointDriver final : public relay::Transport {
 public:
  // What the driver needs from the program that runs it.
  struct Host {
    std::function<Time()> now;
    std::function<void(std::function<void()>)> defer;     // runs it at the end of the loop's current turn
    std::function<void(Time, std::function<void()>)> at;  // runs it at that time
    // Starts a connection. It reports its events to this driver, but never from within this call.
    // Throws if the connection cannot be created.
    std::function<std::unique_ptr<Link>(const config::PartnerEndpoint&, pool::LinkId)> connect;
    std::function<void(CallId, relay::CallResult)> call_ended;  // the call has its outcome
    std::function<void(const EndpointId&, Outcome, Time latency)> probe_ended;
    // The call was sent, on that connection and stream. Optional.
    std::function<void(const relay::OutgoingCall&, pool::LinkId, std::uint32_t stream)> call_sent;
    std::function<void(const std::string&)> log;  // optional
  };
  EndpointDriver(const config::RelaySettings& settings, Host host);
  ~EndpointDriver() override;

  // Takes over the endpoints of the partner list. Endpoints that are no longer listed finish their
  // outstanding calls and are then closed.
  void set_endpoints(const std::vector<config::PartnerEndpoint>& endpoints);
  // Reads the settings again that may change while the relay runs.
  void read_settings();
  std::uint64_t connections_opened() const {
    return connections_opened_;
  }  // connections opened since the start

  void send(const relay::OutgoingCall& call) override;
  CancelResult cancel(CallId call) override;
  bool cancel_unsent(CallId call) override;
  std::vector<CallId> cancel_all_unsent(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId& endpoint) override;

  // Events reported by connections. Those of a connection that the driver no longer knows are ignored.

  // The connection is ready for calls; the peer allows `calls_max` at once.
  void connection_ready(const EndpointId& id, pool::LinkId link, std::uint32_t calls_max);
  // Something was received from the peer.
  void data_received(const EndpointId& id, pool::LinkId link);
  // The call has its outcome.
  void call_answered(const EndpointId& id, pool::LinkId link, CallId call, relay::CallResult ending);
  // The peer has answered a ping.
  void pong_received(const EndpointId& id, pool::LinkId link);
  void connection_draining(const EndpointId& id, pool::LinkId link);  // the peer accepts no more calls on it
  // The peer has changed the number of calls that it allows at once.
  void set_calls_max(const EndpointId& id, pool::LinkId link, std::uint32_t most);
  // The connection has closed or could not be established. Its outstanding calls end.
  void connection_closed(const EndpointId& id, pool::LinkId link, const std::string& why);

  // Carries out the steps that the endpoint's pool asks for now. To be called when the state of a connection
  // may have changed.
  void pump(const EndpointId& id);
  // The same at the end of the turn.
  void connection_changed(const EndpointId& id);

 private:
  struct Connection {
    std::unique_ptr<Link> link;
    std::set<CallId> calls;
    bool closing = false;
  };
  struct Peer {  // one endpoint with its connections
    config::PartnerEndpoint endpoint;
    pool::Pool pool;
    std::map<pool::LinkId, Connection> links;
    Time timer_at = 0;
    bool pump_scheduled = false;
    Peer(const config::PartnerEndpoint& e, const pool::Settings& s, pool::HandshakeLimiter& limiter,
         pool::LinkId& next, std::uint64_t seed)
        : endpoint(e), pool(e.id, s, limiter, next, seed) {}
  };
  struct Call {
    relay::OutgoingCall order;
    Time submitted_at = 0;  // when the core passed it to send()
    pool::LinkId link = 0;  // 0: still waiting for a connection
  };

  Peer* find(const EndpointId& id);
  Connection* find(Peer* peer, pool::LinkId link);
  void schedule_pump(Peer& peer);  // at the end of the turn, so that the sends of one round go out together
  // carry_out() and submit() append to `no_room` the calls for which the connection had no free capacity;
  // they return to the queue in their order.
  void carry_out(Peer& peer, const pool::Step& step, std::vector<CallId>& no_room);
  void connect(Peer& peer, pool::LinkId link);
  void submit(Peer& peer, pool::LinkId link, CallId id, std::vector<CallId>& no_room);
  void close(Peer& peer, pool::LinkId link, pool::CloseReason why);
  void rearm(Peer& peer);            // sets the timer for the pool's next due time
  void update_capacity(Peer& peer);  // passes the connections' current capacity on to the pool
  void end_call(CallId id, relay::CallResult ending);
  void end_call_later(CallId id, relay::CallResult ending);
  void drop_if_done(const EndpointId& id);

  const config::RelaySettings& settings_;
  Host host_;
  pool::Settings pool_settings_;
  pool::HandshakeLimiter handshake_limit_;
  pool::LinkId next_link_ = 1;
  std::map<EndpointId, std::unique_ptr<Peer>> peers_;
  std::map<CallId, Call> calls_;
  std::uint64_t connections_opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::back
