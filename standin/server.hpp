// Stand-in partners on real sockets: push gateways (RFC 8030 receivers) and message centres (SMPP), many
// endpoints in one process. emulator::Partner decides the outcome of each connection and call; this module
// carries it out and reports the effects that occurred.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/partner.hpp"
#include "net/socket.hpp"
#include "record/wire_capture.hpp"
#include "standin/protocol.hpp"

namespace cedarplank::standin {

using emulator::CapacityModel;
using emulator::CapacitySettings;
using emulator::DestinationSettings;
using emulator::Effect;
using emulator::EndpointSettings;
using emulator::Fault;
using emulator::FaultSettings;

class Destination;

// One endpoint: a listener and its connections.
class Endpoint {
 public:
  Endpoint(loop::Loop& loop, const EndpointSettings& settings, Destination& destination, record::Sink sink);
  ~Endpoint();

  const std::string& id() const { return settings_.id; }
  std::string address() const { return address_; }
  void begin(const FaultSettings& fault);
  void end(Fault fault);
  // Orderly shutdown, as in a deploy: sends GOAWAY or unbind on each connection and accepts no new ones.
  void stop();

 private:
  // A connection by a client.
  struct ClientConnection {
    std::uint64_t id = 0;
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<ServerProtocol> protocol;
    std::unique_ptr<record::WireCapture> capture;
    Time last_used = 0;
    bool dead = false, garbage = false;  // affected by the faults dead_idle and garbage
    Time silent_until = 0;               // nothing is sent until then (handshake_slow)
    bool goaway_sent = false;
    std::uint32_t last_accepted = 0;  // last stream accepted before the GOAWAY
  };
  void listen();
  void send_stream_limit();
  void accept(net::Fd fd);
  void receive(std::uint64_t id, std::string_view bytes);
  void read(std::uint64_t id, std::string_view bytes);
  void request(ClientConnection& p, const ReceivedCall& call);
  void carry_out(ClientConnection& p, const ReceivedCall& call, const emulator::CallPlan& plan);
  void respond(std::uint64_t peer, std::uint32_t stream, int status, Time wait);
  void flush(ClientConnection& p);
  void close_connection(std::uint64_t id, bool abort);

  loop::Loop& loop_;
  EndpointSettings settings_;
  Destination& destination_;
  record::Sink sink_;
  std::unique_ptr<net::Listener> listener_;
  std::string address_;
  std::map<std::uint64_t, std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::pair<std::uint64_t, std::string>>
      paused_input_;  // by connection: bytes received during a pause
  std::uint64_t next_connection_ = 1;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A destination with its endpoints. `frames` gets the recorded frames, `effects` each effect.
class Destination {
 public:
  Destination(loop::Loop& loop, const DestinationSettings& settings, record::Sink frames,
              std::function<void(const Effect&)> effects, std::uint64_t seed);
  Endpoint& add(const EndpointSettings& settings);
  CapacityModel& capacity_of(const std::string& endpoint) { return partner_.capacity_of(endpoint); }
  emulator::Partner& partner() { return partner_; }
  // Reports that a message takes effect.
  void report_effect(Time now, const std::string& endpoint, const std::string& message,
                     const std::string& key);
  const DestinationSettings& settings() const { return partner_.settings(); }
  std::vector<std::unique_ptr<Endpoint>>& endpoints() { return endpoints_; }

 private:
  loop::Loop& loop_;
  emulator::Partner partner_;
  record::Sink frames_;
  std::function<void(const Effect&)> effects_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
};

}  // namespace cedarplank::standin
