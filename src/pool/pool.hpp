// Connection pool of one endpoint: decides how many connections are open and which of them carries which
// call. Has no I/O and no clock: the endpoint driver runs it on sockets, the simulation in virtual time.
//
// The pool must not decide whether, when or where a message is sent. It carries the calls that the module has
// decided on and never gives up one that has been sent: a connection that looks dead gets no new calls, but
// calls that are out on it stay out until the module gives them up. docs/design/pool.md weighs the options.
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace cedarplank::pool {

using Time = std::int64_t;
using LinkId = std::uint64_t;  // a connection, unique within the host
using CallId = std::uint64_t;
constexpr Time kNever = std::numeric_limits<Time>::max();

struct Settings {
  int connections_max = 8;  // to one endpoint
  int streams_max = 100;    // calls on one connection, if the peer allows more
  int calls_at_risk = 50;   // calls on one connection before another is opened, to limit the cost of a loss
  Time connect_timeout = 1'000'000;  // until the peer is ready for calls: SETTINGS or bind_resp
  Time idle_timeout = 10'000'000;    // a connection without calls for this long is closed
  Time ping_after = 0;               // nothing received for this long: sends a PING or enquire_link; 0: never
  Time ping_timeout = 2'000'000;     // no answer to it within this time: the connection gets no new calls
  Time connection_cap_ttl = 30'000'000;  // how long an observed connection limit of the endpoint is kept
  Time replace_delay_max = 1'000'000;  // random delay of a replacement for which no call is waiting, at most
};

// Limits the handshakes that a relay has in progress over all endpoints: when many connections are lost at
// once, the reconnects beyond the limit queue, first come first served, instead of all starting together.
class HandshakeLimiter {
 public:
  explicit HandshakeLimiter(int limit) : limit_(limit) {}
  // Whether `name` may start a handshake now. If not, it is queued.
  bool acquire(const std::string& name);
  // A handshake has ended.
  void release() { in_progress_--; }
  // The first in the queue, if it may start now; nothing if none waits or the limit is reached.
  std::optional<std::string> next_waiting();
  // Removes `name` from the queue.
  void cancel_wait(const std::string& name);
  void set_limit(int limit) { limit_ = limit; }
  int in_progress() const { return in_progress_; }
  std::size_t queued() const { return queue_.size(); }

 private:
  int limit_, in_progress_ = 0;
  std::deque<std::string> queue_;
  std::set<std::string> queued_;
};

// Why a connection is closed.
enum class CloseReason {
  idle,            // without calls for the idle time
  goaway,          // the peer accepts no more calls on it
  unlisted,        // the endpoint is no longer in the list
  unhealthy,       // a PING or enquire_link was not answered
  requested,       // close_idle() was called
  connect_timeout  // not ready for calls in time
};
const char* text_of(CloseReason reason);

// What the driver is to do next.
struct Step {
  enum class Kind { connect, submit, ping, close };
  Kind kind = Kind::connect;
  LinkId link = 0;                         // for connect: the id of the new connection
  CallId call = 0;                         // for submit
  CloseReason reason = CloseReason::idle;  // for close
};

// The connections and waiting calls of one endpoint.
class Pool {
 public:
  // `next_link` is the host's counter for connection ids, shared by all pools.
  Pool(std::string name, const Settings& settings, HandshakeLimiter& limiter, LinkId& next_link,
       std::uint64_t seed);
  ~Pool();
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  // Queues a call until a connection can carry it.
  void enqueue(CallId call) { waiting_.push_back(call); }
  // Puts calls back whose connections turned out to have no capacity: ahead of the others, in this order.
  void requeue(const std::vector<CallId>& calls) {
    waiting_.insert(waiting_.begin(), calls.begin(), calls.end());
  }
  bool remove_waiting(CallId call);          // removes a waiting call; false if it was not waiting
  std::vector<CallId> remove_all_waiting();  // removes and returns all waiting calls
  void call_ended(LinkId link, Time now);    // a call on the connection has ended, with any outcome

  // Connections.
  void set_ready(LinkId link, Time now, std::uint32_t streams_max);  // the peer is ready for calls
  void set_streams_max(LinkId link, std::uint32_t streams_max);
  void data_received(LinkId link, Time now);                 // something was received
  std::optional<Time> pong_received(LinkId link, Time now);  // the latency, if this answers a probe
  void set_blocked(LinkId link, bool blocked);               // the peer does not read what was written
  void set_draining(LinkId link, Time now);                  // GOAWAY or unbind: no new calls
  void set_closing(LinkId link);                             // this side is closing it; no longer counted
  struct LostConnection {
    std::vector<CallId> unsent_calls;  // calls that waited for this connection only: never sent
    std::optional<Time> probe_time;    // time since the request of a probe that fails with the connection
    bool was_ready = false;
  };
  // The connection has closed or could not be opened.
  LostConnection connection_lost(LinkId link, Time now);

  // Closes the connections without calls at the next steps().
  void close_idle() { close_idle_ = true; }
  void probe(Time now);  // by PING or enquire_link, on a ready connection or a new one
  void set_listed(bool listed) { listed_ = listed; }

  // Appends what is to be done now; to be called after inputs and at next_due().
  void steps(Time now, std::vector<Step>& out);
  Time next_due() const;

  // The endpoint is unlisted and nothing is left to do for it.
  bool done() const { return !listed_ && links_.empty() && waiting_.empty(); }
  bool any_ready() const;
  bool any_connecting() const;
  std::size_t connections() const { return links_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  // Connections that were open when the endpoint refused another; 0: no limit observed.
  int connection_cap() const { return connection_cap_; }

 private:
  struct Link {
    enum class State { connecting, ready, draining, closing };
    State state = State::connecting;
    Time since = 0;        // start of connecting; then when it became ready or its last call ended
    Time received_at = 0,  // when something was last received
        pinged_at = 0;     // when a PING was sent that is not answered yet; 0: none
    std::uint32_t streams_max = 0;
    int calls_out = 0;                // calls without an outcome
    bool blocked = false,             // the peer does not read what was written
        suspect = false,              // a PING was not answered in time
        in_handshake = false;         // counted as a handshake in progress
    std::optional<Time> probe_since;  // when the probe was requested for which a PING is out
  };
  bool usable(const Link& l) const { return l.state == Link::State::ready && !l.suspect; }
  bool has_capacity(const Link& l) const;
  std::map<LinkId, Link>::iterator pick();
  // Closes, pings and times out connections.
  void maintain_connections(Time now, std::vector<Step>& out);
  void submit(Time now, std::vector<Step>& out);
  void connect(Time now, std::vector<Step>& out);
  // Ends the connection's handshake, if it is counted as one in progress.
  void end_handshake(Link& l);
  Time idle_deadline(const Link& l) const { return l.since + settings_.idle_timeout; }

  std::string name_;
  const Settings& settings_;
  HandshakeLimiter& handshake_limiter_;
  LinkId& next_link_;
  pcg32 random_;
  std::map<LinkId, Link> links_;
  std::deque<CallId> waiting_;
  bool listed_ = true, close_idle_ = false;
  std::optional<Time> probe_requested_at_;
  Time replace_at_ = kNever;  // when a replacement of a draining connection is due
  bool replace_due_ = false;  // it is due, and not started yet
  int connection_cap_ = 0;
  Time connection_cap_until_ = 0;  // when the observed limit expires
};

}  // namespace cedarplank::pool
