#include "faults/proxy.hpp"

namespace cedarplank::testing::faults {

constexpr loop::Time kConnectWithin = 5'000'000;

Proxy::Proxy(loop::Loop& loop, std::string target, std::function<loop::Time()> delay)
    : loop_(loop),
      target_(std::move(target)),
      delay_(std::move(delay)),
      listener_(loop, net::Address::parse("127.0.0.1:0"),
                [this](net::Fd fd) { handle_accepted(std::move(fd)); }) {}

void Proxy::handle_accepted(net::Fd fd) {
  const int number = next_number_++;
  auto pair = std::make_shared<ConnectionPair>();
  pairs_[number] = pair;
  const std::weak_ptr<ConnectionPair> weak = pair;
  pair->client_side = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data =
                                [weak](std::string_view bytes) {
                                  const auto p = weak.lock();
                                  if (!p) return;
                                  if (p->target_side)
                                    p->target_side->write(bytes);
                                  else
                                    p->buffered += bytes;
                                },
                            .drained = {},
                            // Buffered bytes are still delivered, as they would be from a kernel queue.
                            .closed =
                                [this, weak, number](const std::string&) {
                                  const auto p = weak.lock();
                                  if (!p) return;
                                  p->client_closed = true;
                                  if (p->target_side) close_pair(number);
                                }});
  loop_.after(delay_(), [this, number, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) connect_target(number);
  });
}

void Proxy::connect_target(int number) {
  const auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  const auto pair = it->second;
  const std::weak_ptr<ConnectionPair> weak = pair;
  pair->target_side = std::make_unique<net::TcpStream>(
      loop_, net::Address::parse(target_), kConnectWithin,
      net::Stream::Handlers{.connected = {},
                            .data =
                                [weak](std::string_view bytes) {
                                  if (const auto p = weak.lock(); p && !p->client_closed)
                                    p->client_side->write(bytes);
                                },
                            .drained = {},
                            .closed = [this, number](const std::string&) { close_pair(number); }});
  pair->target_side->write(pair->buffered);
  if (pair->client_closed) pair->target_side->finish(kConnectWithin);
}

void Proxy::close_pair(int number) {
  const auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  loop_.defer([keep = it->second] {});
  if (it->second->client_side) it->second->client_side->close();
  if (it->second->target_side) it->second->target_side->close();
  pairs_.erase(it);
}

}  // namespace cedarplank::testing::faults
