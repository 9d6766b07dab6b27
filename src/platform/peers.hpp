// Notes between relays, sent as UDP datagrams: they may come late or be lost. The sender is recognized by its
// address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/datagram.hpp"
#include "platform/config.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class Peers final : public relay::PeerChannel {
 public:
  using Received = std::function<void(int from, std::string body)>;
  Peers(loop::Loop& loop, const Config& config, Received received);

  // relay::Notes: to the peer of rank `whom`, or to all peers if it is negative.
  void send_note(int whom, const std::string& body) override;

 private:
  static constexpr std::size_t kMaxNoteBytes = 256;
  const int own_rank_;
  std::vector<net::Address> peers_;                // by rank
  std::vector<net::Address> broadcast_addresses_;  // the address that reaches all peers; at most one
  std::map<std::string, int> ranks_by_address_;    // by address
  std::unique_ptr<net::DatagramSocket> datagrams_;
};

}  // namespace cedarplank::platform
