// Protocol state of one connection of the load client (HTTP/2 or SMPP), without the socket: takes pushes and
// received bytes, yields answers and bytes to send.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rig/load_book.hpp"

namespace cedarplank::rig {

// One push of a message to a relay.
struct Push {
  std::string path;  // "/push/<destination>/<class>"
  std::string destination, message_class, key, topic, tenant, tenant_field, body;
  Time ttl = 0;
};

// What the received bytes say about one pushed message.
struct Heard {
  enum class What {
    answer,     // the final answer: `status` is an HTTP status, `wait` the told wait if there is one
    not_taken,  // proved not accepted
    taken,      // accepted; the final answer follows as a receipt for `id`
    receipt     // the final answer to `id`
  };
  What what{};
  std::uint32_t stream = 0;
  std::string id, status;
  Time wait = 0;
};

class ClientWire {
 public:
  virtual ~ClientWire() = default;
  // The socket is connected: starts the protocol's handshake.
  virtual void connected(Time now) = 0;
  virtual void receive(Time now, std::string_view bytes, std::vector<Heard>& client_events) = 0;
  virtual bool up() const = 0;        // the handshake is done
  virtual bool can_push() const = 0;  // one more push is within the peer's limits
  virtual bool failed() const = 0;    // the connection can't be used any more
  // Returns the stream (SMPP: the sequence number) that identifies the push in later events.
  virtual std::uint32_t push(Time now, const Push& push) = 0;
  // Cancels a pushed message. `id`: its id at the relay once that has reported it accepted, else empty.
  virtual void give_up(Time now, std::uint32_t stream, const std::string& id) = 0;
  virtual std::string take_output() = 0;
};
std::unique_ptr<ClientWire> http2_client_wire(const std::string& authority);
std::unique_ptr<ClientWire> smpp_client_wire(Time now, const std::string& system_id,
                                             const std::string& password);
// The SMPP service_type of a class: the first five letters of its name.
inline std::string service_type_of(const std::string& message_class) { return message_class.substr(0, 5); }

}  // namespace cedarplank::rig
