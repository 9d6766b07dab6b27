// A UDP socket on the event loop. Datagrams may be lost.
#pragma once

#include <functional>
#include <string_view>

#include "net/socket.hpp"

namespace cedarplank::net {

class DatagramSocket {
 public:
  // Binds to `on` and calls `received` for each datagram, with the sender's address in `from`. Throws
  // std::system_error naming the address.
  DatagramSocket(loop::Loop& loop, const Address& on,
                 std::function<void(std::string_view, const Address& from)> received);
  ~DatagramSocket();
  Address address() const { return Address::of_socket(fd_.get()); }
  // Sends one datagram; it is lost if the kernel's send buffer is full or on any other error.
  void send(const Address& to, std::string_view bytes);

 private:
  loop::Loop& loop_;
  Fd fd_;
  std::function<void(std::string_view, const Address& from)> on_datagram_;
};

}  // namespace cedarplank::net
