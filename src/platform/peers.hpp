// Notes between relays, as datagrams: late or never, known by their sender's address.
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

class Peers final : public relay::Notes {
 public:
  using Received = std::function<void(int from, std::string body)>;
  Peers(loop::Loop& loop, const Config& config, Received received);

  // relay::Notes
  void tell(int whom, const std::string& body) override;

 private:
  static constexpr std::size_t kMostBytes = 256;
  const int own_;
  std::vector<net::Address> peers_;  // by rank
  std::vector<net::Address> all_;    // one at most
  std::map<std::string, int> ranks_;
  std::unique_ptr<net::Datagrams> datagrams_;
};

}  // namespace cedarplank::platform
