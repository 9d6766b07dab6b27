#include "faults/proxy.hpp"

namespace cedarplank::testing::faults {

constexpr loop::Time kConnectWithin = 5'000'000;

Proxy::Proxy(loop::Loop& loop, std::string target, std::function<loop::Time()> delay)
    : loop_(loop),
      target_(std::move(target)),
      delay_(std::move(delay)),
      listener_(loop, net::Address::parse("127.0.0.1:0"), [this](net::Fd fd) { accepted(std::move(fd)); }) {}

void Proxy::accepted(net::Fd fd) {
  const int number = next_++;
  auto pair = std::make_shared<Pair>();
  pairs_[number] = pair;
  const std::weak_ptr<Pair> weak = pair;
  pair->near = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data =
                                [weak](std::string_view bytes) {
                                  const auto p = weak.lock();
                                  if (!p) return;
                                  if (p->far)
                                    p->far->write(bytes);
                                  else
                                    p->held += bytes;
                                },
                            .drained = {},
                            // Buffered bytes are still delivered, as they would be from a kernel queue.
                            .closed =
                                [this, weak, number](const std::string&) {
                                  const auto p = weak.lock();
                                  if (!p) return;
                                  p->ended = true;
                                  if (p->far) drop(number);
                                }});
  loop_.after(delay_(), [this, number, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) connect(number);
  });
}

void Proxy::connect(int number) {
  const auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  const auto pair = it->second;
  const std::weak_ptr<Pair> weak = pair;
  pair->far = std::make_unique<net::TcpStream>(
      loop_, net::Address::parse(target_), kConnectWithin,
      net::Stream::Handlers{.connected = {},
                            .data =
                                [weak](std::string_view bytes) {
                                  if (const auto p = weak.lock(); p && !p->ended) p->near->write(bytes);
                                },
                            .drained = {},
                            .closed = [this, number](const std::string&) { drop(number); }});
  pair->far->write(pair->held);
  if (pair->ended) pair->far->finish(kConnectWithin);
}

void Proxy::drop(int number) {
  const auto it = pairs_.find(number);
  if (it == pairs_.end()) return;
  loop_.defer([keep = it->second] {});
  if (it->second->near) it->second->near->close();
  if (it->second->far) it->second->far->close();
  pairs_.erase(it);
}

}  // namespace cedarplank::testing::faults
