// Calls to endpoints over HTTP/1.1: one call a connection, connections kept for the next call. Nothing is
// decided here: a send leaves in the turn it is ordered in, on an idle connection or a new one.
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
    // Not called from within the transport's own calls.
    std::function<void(relay::CallId, relay::Ending)> ended;
    std::function<void(const std::string&)> log;
  };
  struct Bounds {
    std::size_t connections = 256;  // at once, idle ones included
    Time connect_timeout = 1'000'000;
    Time idle = 5'000'000;      // the other side closes one that is idle for so long
    bool second_copies = true;  // a message may be out on two connections
  };
  struct Counts {
    std::uint64_t calls = 0, reused = 0, opened = 0, spoilt = 0, stale = 0, moved = 0, full = 0;
  };
  Endpoints(loop::Loop& loop, Bounds bounds, Host host);
  ~Endpoints() override;

  void learn(const Catalogue& catalogue);
  // What was ordered since the last flush leaves: calls of one bundle together.
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
  void probe(const EndpointId&) override {}  // the platform has none

 private:
  struct Link {  // a connection
    std::uint64_t number = 0;
    EndpointId endpoint;
    std::string address;
    std::unique_ptr<net::TcpStream> stream;
    http1::Reader reader{http1::Reader::Side::responses};
    bool up = false;
    bool begun = false;                     // bytes of its call have been written
    std::uint64_t last = 0;                 // of the stream's bytes: where its call ends, once begun
    char last_byte = 0;                     // of the call, held back for a moment: see begin()
    Time ordered = 0;                       // when its call was
    bool kept = false;                      // it has carried a call before this one
    std::vector<relay::CallOrder> members;  // messages of its call without an outcome
    std::size_t size = 0;                   // that the call has, or will begin with; 0: idle
    bool told = false;                      // the call has its outcome; the rest of the answer is to come
    Time idle_from = 0;
    loop::TimerId timer = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;
  void start(std::vector<relay::CallOrder> bundle, Time ordered);
  std::pair<Time, Time> waited_for(const relay::CallOrder& call) const;
  void begin(const LinkPtr& link);
  void move(const LinkPtr& link);
  LinkPtr idle_link(const EndpointId& endpoint, const std::string& address);
  bool make_room();
  void connect(const LinkPtr& link);
  bool connect_again(const LinkPtr& link);
  LinkPtr open(const EndpointId& endpoint, const std::string& address);
  void data(const LinkPtr& link, std::string_view bytes);
  void closed(const LinkPtr& link, const std::string& why);
  void answered_early(const LinkPtr& link);
  void spoilt(const LinkPtr& link);
  void rest(const LinkPtr& link, bool reusable);
  void tell(const LinkPtr& link, const std::vector<relay::Ending>& endings);
  void tell_all(const LinkPtr& link, const relay::Ending& ending);
  enum class Close { plain, reset };
  void drop(const LinkPtr& link, Close how = Close::plain);
  bool cannot_have_run(const Link& link) const;
  void sweep();

  loop::Loop& loop_;
  const Bounds bounds_;
  Host host_;
  std::map<EndpointId, std::string> addresses_;
  std::vector<relay::CallOrder> ordered_;
  std::map<std::uint64_t, LinkPtr> links_;
  std::map<EndpointId, std::vector<LinkPtr>> idle_;  // used last at the back
  std::map<relay::CallId, LinkPtr> calls_;
  std::uint64_t next_link_ = 1;
  loop::TimerId sweep_timer_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what was deferred
};

}  // namespace cedarplank::platform
