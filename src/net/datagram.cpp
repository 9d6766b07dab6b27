#include "net/datagram.hpp"

#include <cerrno>
#include <system_error>

namespace cedarplank::net {

DatagramSocket::DatagramSocket(loop::Loop& loop, const Address& on,
                               std::function<void(std::string_view, const Address&)> received)
    : loop_(loop), on_datagram_(std::move(received)) {
  fd_ = Fd(socket(on.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_ || bind(fd_.get(), on.data(), on.size()) != 0)
    throw std::system_error(errno, std::generic_category(), "UDP socket on " + on.text());
  loop_.watch(fd_.get(), POLLIN, [this](short) {
    char buffer[2048];
    for (int i = 0; i < 64; i++) {
      Address from;
      const auto n = from.receive(fd_.get(), buffer, sizeof buffer);
      if (n < 0) return;
      on_datagram_({buffer, static_cast<std::size_t>(n)}, from);
    }
  });
}

DatagramSocket::~DatagramSocket() { loop_.unwatch(fd_.get()); }

void DatagramSocket::send(const Address& to, std::string_view bytes) {
  [[maybe_unused]] const auto n =
      sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, to.data(), to.size());
}

}  // namespace cedarplank::net
