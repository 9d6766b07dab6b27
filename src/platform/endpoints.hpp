// Calls to endpoints over HTTP/1.1: one call at a time per connection, with connections kept for the next
// call. This class decides nothing: a send leaves in the turn in which it is ordered, on an idle connection
// or a new one.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http1/message.hpp"
#include "loop/loop.hpp"
#include "net/socket.hpp"
#include "platform/catalogue.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class Endpoints final : public relay::Transport {
 public:
  struct Host {
    // A call has its outcome. Not called from within the relay::Transport functions.
    std::function<void(relay::CallId, relay::Ending)> ended;
    std::function<void(const std::string&)> log;
  };
  struct Bounds {
    std::size_t connections = 256;  // at once, including idle ones
    Time connect_timeout = 1'000'000;
    Time idle = 5'000'000;      // the endpoint closes a connection that is idle for this long
    bool second_copies = true;  // a message may be in flight on two connections
  };
  // spoilt: malformed answers. stale: idle connections found closed, too old or of an old address. moved:
  // calls that went to another connection. full: calls for which no descriptor was left.
  struct Counts {
    std::uint64_t calls = 0, reused = 0, opened = 0, spoilt = 0, stale = 0, moved = 0, full = 0;
  };
  Endpoints(loop::Loop& loop, Bounds bounds, Host host);
  ~Endpoints() override;

  // Applies an endpoint list: addresses to connect to, and idle connections that are of no use any more.
  void learn(const Catalogue& catalogue);
  // Sends what was ordered since the last flush; the messages of one bundle share a call.
  void flush();
  std::size_t connections() const { return links_.size(); }
  std::size_t calls_out() const { return calls_.size(); }
  const Counts& counts() const { return counts_; }

  // relay::Transport
  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override;
  bool take_back(relay::CallId call) override;
  bool withhold(relay::CallId call) override;
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId&) override {}  // the platform's protocol has no probes

 private:
  struct Link {  // a connection
    std::uint64_t number = 0;
    EndpointId endpoint;
    std::string address;
    std::unique_ptr<net::TcpStream> stream;
    http1::Reader reader{http1::Reader::Side::responses};
    bool up = false;                        // connected
    bool begun = false;                     // bytes of the call have been written
    std::uint64_t last = 0;                 // offset in the stream at which the call ends, once begun
    char last_byte = 0;                     // of the call: sent a moment after the other bytes
    Time ordered = 0;                       // when the call was ordered
    bool kept = false;                      // the connection has carried an earlier call
    std::vector<relay::CallOrder> members;  // messages of the call that have no outcome yet
    std::size_t size = 0;                   // messages that the call has, or will start with; 0: idle
    bool told = false;  // the outcome is reported; the rest of the answer is still to come
    Time idle_from = 0;
    loop::TimerId timer = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;
  // Assigns a call to a connection. `ordered`: when it was ordered.
  void start(std::vector<relay::CallOrder> bundle, Time ordered);
  std::pair<Time, Time> waited_for(const relay::CallOrder& call) const;
  // Writes the call of a connection that is up.
  void begin(const LinkPtr& conn);
  void move(const LinkPtr& conn);
  LinkPtr idle_link(const EndpointId& endpoint, const std::string& address);
  // Ensures that one more connection may be opened; false: none may.
  bool make_room();
  void connect(const LinkPtr& conn);
  bool connect_again(const LinkPtr& conn);
  LinkPtr open(const EndpointId& endpoint, const std::string& address);
  void data(const LinkPtr& conn, std::string_view bytes);
  void closed(const LinkPtr& conn, const std::string& why);
  void answered_early(const LinkPtr& conn);
  void spoilt(const LinkPtr& conn);
  void rest(const LinkPtr& conn, bool reusable);
  // Reports the outcomes of the call's messages, in the order of `members`.
  void tell(const LinkPtr& conn, const std::vector<relay::Ending>& endings);
  void tell_all(const LinkPtr& conn, const relay::Ending& ending);
  enum class Close { plain, reset };
  // Closes and forgets the connection.
  void drop(const LinkPtr& conn, Close how = Close::plain);
  // Whether it is certain that the call has not run: its last byte has not been sent.
  bool cannot_have_run(const Link& conn) const;
  // Periodically closes connections whose idle time is nearly over.
  void sweep();

  loop::Loop& loop_;
  const Bounds bounds_;
  Host host_;
  std::map<EndpointId, std::string> addresses_;
  std::vector<relay::CallOrder> ordered_;
  std::map<std::uint64_t, LinkPtr> links_;
  std::map<EndpointId, std::vector<LinkPtr>> idle_;  // most recently used last
  std::map<relay::CallId, LinkPtr> calls_;
  std::uint64_t next_link_ = 1;
  loop::TimerId sweep_timer_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // guards deferred callbacks
};

}  // namespace cedarplank::platform
