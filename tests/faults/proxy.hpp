// A TCP proxy on loopback that holds what passes: new connections reach the target late, and bytes may wait.
// The side that connects sees an open connection at once, as with a proxy or a full accept queue.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/socket.hpp"

namespace cedarplank::testing::faults {

class Proxy {
 public:
  // `delay` gives how long a new connection is held before its bytes pass, in us.
  Proxy(loop::Loop& loop, std::string target, std::function<loop::Time()> delay);
  std::string address() const { return listener_.address().text(); }

 private:
  struct Pair {
    std::unique_ptr<net::TcpStream> near, far;
    std::string held;  // until the far side is connected
    bool ended = false;
  };
  void accepted(net::Fd fd);
  void connect(int number);
  void drop(int number);

  loop::Loop& loop_;
  std::string target_;
  std::function<loop::Time()> delay_;
  std::map<int, std::shared_ptr<Pair>> pairs_;
  int next_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Listener listener_;
};

}  // namespace cedarplank::testing::faults
