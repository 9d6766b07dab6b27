// Sends the dispatcher's notes between relays as datagrams: "cpn1", the sender's rank in four bytes, then the
// note itself. Datagrams may be lost, duplicated or late; none of the six rules depends on them.
#pragma once

#include <map>
#include <memory>

#include "config/relay_settings.hpp"
#include "net/datagram.hpp"
#include "relay/core.hpp"

namespace cedarplank::node {

class PeerNotes final : public relay::PeerChannel {
 public:
  using Received = std::function<void(int from, std::string body)>;
  PeerNotes(loop::Loop& loop, const config::RelaySettings& settings, Received received);
  // Sends the note to the relay of that rank, or to all peers if `whom` is negative. Notes above the size
  // limit are dropped.
  void send_note(int whom, const std::string& body) override;
  std::string address() const { return datagrams_ ? datagrams_->address().text() : ""; }

 private:
  static constexpr std::size_t kMaxBodyBytes = 256;  // bytes
  int rank_;
  std::map<int, net::Address> peers_;               // by rank, without this relay
  std::unique_ptr<net::DatagramSocket> datagrams_;  // null: no address to listen on is set
};

}  // namespace cedarplank::node
