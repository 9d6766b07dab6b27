// Stand-in push gateways (RFC 8030 receivers) on real sockets: many endpoints in one process, with scripted
// faults and a log of the effects that really took place.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http2/connection.hpp"
#include "net/socket.hpp"
#include "record/tap.hpp"
#include "standin/model.hpp"

namespace cedarplank::standin {

enum class Fault {
  silent,           // takes calls, never answers, nothing takes effect
  hang_reset,       // as silent, then the connection is reset
  shut,             // turns all calls away, telling a wait if set
  refuse,           // accepts connections and resets them at once
  down,             // no listener, connections reset
  errors,           // a share of the calls gets 500 at once
  slow,             // serves so many times slower
  pause,            // neither reads nor answers, then goes on
  drop_after_take,  // takes effect, then the connection drops without an answer
  answer_lost,      // takes effect, the answer is never sent
  goaway,           // GOAWAY in the middle of a burst: later streams are not taken
  refused_stream,   // a share of the calls gets RST_STREAM(REFUSED_STREAM)
  garbage,          // speaks something else
  dead_idle         // connections that were idle die without a word: nothing on them is read any more
};
const std::map<std::string, Fault>& fault_names();
// Whether the place counts as out, so that it is cold afterwards.
bool is_outage(Fault fault, double share);

struct FaultSettings {
  Fault fault{};
  double share = 1;      // of the calls that it strikes
  double times = 10;     // slow
  Time wait = 0;         // shut: told wait
  Time after = 500'000;  // hang_reset: until the reset; dead_idle: idle for so long
};

struct EndpointSettings {
  std::string id;
  std::string address = "127.0.0.1:0";
  int connections_max = 0;  // 0: no cap
  int streams_max = 100;
};

struct DestinationSettings {
  std::string name;
  bool routes_apart = false;  // each endpoint has its own place
  PlaceSettings place;
  Time key_window = 0;  // how long a key is remembered
  // Answers to the first, second, ... call of each message, whatever the time: a status, "drop" (takes
  // effect, then the connection is lost), "refuse" (REFUSED_STREAM) or "silent". The last word stays; none:
  // by the place and faults.
  std::vector<std::string> answers;
  std::vector<EndpointSettings> endpoints;
};

struct Effect {
  Time at = 0;
  std::string endpoint, destination, message, key;
};

class Destination;

// One endpoint: a listener and its connections.
class Endpoint {
 public:
  Endpoint(loop::Loop& loop, const EndpointSettings& settings, Destination& destination, record::Sink sink,
           std::uint64_t seed);
  ~Endpoint();

  const std::string& id() const { return settings_.id; }
  std::string address() const { return address_; }
  void begin(const FaultSettings& fault);
  void end(Fault fault);
  // As a deploy does: tells clients to go elsewhere, then stops serving.
  void stop();

 private:
  struct Peer {
    std::uint64_t id = 0;
    std::unique_ptr<net::Stream> stream;
    http2::Connection h2;
    record::Tap tap;
    std::map<http2::StreamId, std::pair<http2::Headers, std::string>> coming;
    Time last_used = 0;
    http2::StreamId last_taken = http2::kMaxStream;  // lower after a GOAWAY
    bool dead = false;
    Peer(const http2::LocalSettings& local, record::Tap t)
        : h2(http2::Role::server, local), tap(std::move(t)) {}
  };
  void listen();
  void accept(net::Fd fd);
  void receive(std::uint64_t id, std::string_view bytes);
  void request(Peer& p, http2::StreamId stream, const http2::Headers& headers, const std::string& body);
  bool answer_by_script(Peer& p, http2::StreamId stream, const std::string& message, const std::string& key);
  void respond(std::uint64_t peer, http2::StreamId stream, int status, Time wait);
  void flush(Peer& p);
  void drop(std::uint64_t id, bool abort);
  const FaultSettings* fault(Fault f) const;
  bool strikes(Fault f);

  loop::Loop& loop_;
  EndpointSettings settings_;
  Destination& destination_;
  record::Sink sink_;
  pcg32 random_;
  std::unique_ptr<net::Listener> listener_;
  std::string address_;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  std::map<Fault, FaultSettings> faults_;
  std::vector<std::pair<std::uint64_t, std::string>> held_;  // bytes that came during a pause
  std::uint64_t next_peer_ = 1;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Destination {
 public:
  Destination(loop::Loop& loop, const DestinationSettings& settings, record::Sink frames,
              std::function<void(const Effect&)> effects, std::uint64_t seed);
  Endpoint& add(const EndpointSettings& settings);
  Place& place_of(const std::string& endpoint);
  // The word of `answers` for this call of the message; empty where there are none.
  std::string next_answer(const std::string& message);
  // The effect of a message, unless its key was seen within the window.
  void take_effect(Time now, const std::string& endpoint, const std::string& message, const std::string& key);
  const DestinationSettings& settings() const { return settings_; }
  std::vector<std::unique_ptr<Endpoint>>& endpoints() { return endpoints_; }

 private:
  loop::Loop& loop_;
  DestinationSettings settings_;
  record::Sink frames_;
  std::function<void(const Effect&)> effects_;
  std::uint64_t seed_;
  std::unique_ptr<Place> shared_;
  std::map<std::string, std::unique_ptr<Place>> apart_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::map<std::string, Time> keys_;
  std::map<std::string, std::size_t> calls_;  // of each message, where `answers` are set
};

}  // namespace cedarplank::standin
