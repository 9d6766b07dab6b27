// A TCP proxy on loopback that delays new connections: it opens the connection to the target late and buffers
// bytes until then. The connecting side sees an open connection at once, as with a real proxy or a full
// accept queue.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/socket.hpp"

namespace cedarplank::testing::faults {

class Proxy {
 public:
  // `delay` is called for each new connection and returns how long to wait before connecting to the target,
  // us.
  Proxy(loop::Loop& loop, std::string target, std::function<loop::Time()> delay);
  std::string address() const { return listener_.address().text(); }

 private:
  struct ConnectionPair {
    std::unique_ptr<net::TcpStream> client_side, target_side;  // towards the client and the target
    std::string buffered;        // bytes from the near side until the far side is opened
    bool client_closed = false;  // the near side has closed
  };
  void handle_accepted(net::Fd fd);
  void connect_target(int number);
  void close_pair(int number);

  loop::Loop& loop_;
  std::string target_;
  std::function<loop::Time()> delay_;
  std::map<int, std::shared_ptr<ConnectionPair>> pairs_;
  int next_number_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Listener listener_;
};

}  // namespace cedarplank::testing::faults
