// Datagrams on the loop: short notes that may be lost.
#pragma once

#include <functional>
#include <string_view>

#include "net/socket.hpp"

namespace cedarplank::net {

class Datagrams {
 public:
  // Throws std::system_error naming the address. `from` is the sender's address.
  Datagrams(loop::Loop& loop, const Address& on,
            std::function<void(std::string_view, const Address& from)> received);
  ~Datagrams();
  Address address() const { return Address::of_socket(fd_.get()); }
  void send(const Address& to, std::string_view bytes);  // lost where the kernel has no room

 private:
  loop::Loop& loop_;
  Fd fd_;
  std::function<void(std::string_view, const Address& from)> received_;
};

}  // namespace cedarplank::net
