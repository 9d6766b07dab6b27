// Protocol state of one connection of the load client (HTTP/2 or SMPP), without the socket: takes pushes and
// received bytes, yields answers and bytes to send.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rig/load_model.hpp"

namespace cedarplank::rig {

// One push of a message to a relay.
struct Push {
  std::string path;  // "/push/<destination>/<class>"
  std::string destination, message_class, key, topic, tenant, tenant_field, body;
  Time ttl = 0;
};

// What the received bytes say about one pushed message.
struct ClientEvent {
  enum class Type {
    answer,        // the final answer: `status` is an HTTP status, `wait` the told wait if there is one
    not_accepted,  // proved not accepted
    accepted,      // accepted; the final answer follows as a receipt for `id`
    receipt        // the final answer to `id`
  };
  Type type{};
  std::uint32_t stream = 0;
  std::string id, status;
  Time wait = 0;
};

class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  // The socket is connected: starts the protocol's handshake.
  virtual void connected(Time now) = 0;
  virtual void receive(Time now, std::string_view bytes, std::vector<ClientEvent>& client_events) = 0;
  virtual bool ready() const = 0;     // the handshake is done
  virtual bool can_push() const = 0;  // one more push is within the peer's limits
  virtual bool failed() const = 0;    // the connection can't be used any more
  // Returns the stream (SMPP: the sequence number) that identifies the push in later events.
  virtual std::uint32_t push(Time now, const Push& push) = 0;
  // Cancels a pushed message. `id`: its id at the relay once that has reported it accepted, else empty.
  virtual void give_up(Time now, std::uint32_t stream, const std::string& id) = 0;
  virtual std::string take_output() = 0;
};
std::unique_ptr<ClientProtocol> make_http2_client_protocol(const std::string& authority);
std::unique_ptr<ClientProtocol> make_smpp_client_protocol(Time now, const std::string& system_id,
                                                          const std::string& password);
// The SMPP service_type of a class: the first five letters of its name.
inline std::string service_type_of(const std::string& message_class) { return message_class.substr(0, 5); }

}  // namespace cedarplank::rig
