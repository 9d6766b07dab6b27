// Protocol state of one connection at a stand-in endpoint (HTTP/2 or SMPP), without the socket: takes
// received bytes and yields calls; takes the answers and yields bytes to send. The endpoint (server.hpp) does
// what is common to the protocols.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/partner.hpp"
#include "record/wire_capture.hpp"

namespace cedarplank::standin {

using emulator::Time;

// A call that has been received completely.
struct ReceivedCall {
  std::uint32_t stream = 0;
  std::string message, key, message_class;
  int status = 0;  // 0: the partner model decides; else the call is malformed and gets this status
};

class ServerProtocol {
 public:
  virtual ~ServerProtocol() = default;
  virtual void receive(Time now, std::string_view bytes, std::vector<ReceivedCall>& calls) = 0;
  virtual bool failed() const = 0;             // the connection can't be used any more
  virtual std::size_t open_calls() const = 0;  // calls without an answer
  virtual void respond(std::uint32_t stream, int status, Time wait) = 0;
  virtual void refuse(std::uint32_t stream) = 0;  // refuses the call at once, provably not run
  // Refuses this call and all later ones on the connection (GOAWAY); earlier calls are finished.
  virtual void go_away(std::uint32_t stream) = 0;
  virtual void announce_shutdown() = 0;       // orderly shutdown (GOAWAY, unbind), as in a deploy
  virtual void limit_calls(int streams) = 0;  // most calls that may be open at once from now on
  virtual std::string take_output() = 0;
  virtual std::string foreign_bytes() const = 0;  // bytes that are not of this protocol
};

struct ProtocolSettings {
  std::string endpoint;
  int streams = 100;
  // SMPP only: the partner whose faults apply, and the seed of the random choices.
  const emulator::Partner* partner = nullptr;
  std::uint64_t seed = 1;
};
std::unique_ptr<ServerProtocol> make_http2_protocol(const ProtocolSettings& settings);
std::unique_ptr<ServerProtocol> make_smsc_protocol(const ProtocolSettings& settings);

}  // namespace cedarplank::standin
