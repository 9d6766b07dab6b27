// Notes between relays as datagrams: "cpn1", the sender's rank in four bytes, then the module's bytes. They
// may be lost, doubled or late; no rule rests on them.
#pragma once

#include <map>
#include <memory>

#include "config/relay_settings.hpp"
#include "net/datagram.hpp"
#include "relay/core.hpp"

namespace cedarplank::node {

class PeerNotes final : public relay::Notes {
 public:
  using Received = std::function<void(int from, std::string body)>;
  PeerNotes(loop::Loop& loop, const config::RelaySettings& settings, Received received);
  void tell(int whom, const std::string& body) override;
  std::string address() const { return datagrams_ ? datagrams_->address().text() : ""; }

 private:
  static constexpr std::size_t kMostBody = 256;
  int rank_;
  std::map<int, net::Address> peers_;
  std::unique_ptr<net::Datagrams> datagrams_;
};

}  // namespace cedarplank::node
