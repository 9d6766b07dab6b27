#include "platform/peers.hpp"

namespace cedarplank::platform {

Peers::Peers(loop::Loop& loop, const Config& config, Received received) : own_(config.settings.rank) {
  if (!config.settings.peers || config.peer_listen.empty()) return;
  for (const auto& p : config.peers) {
    ranks_.emplace(p, static_cast<int>(peers_.size()));
    peers_.push_back(net::Address::parse(p));
  }
  if (!config.peers_all.empty()) all_.push_back(net::Address::parse(config.peers_all));
  datagrams_ = std::make_unique<net::Datagrams>(
      loop, net::Address::parse(config.peer_listen),
      [this, received = std::move(received)](std::string_view bytes, const net::Address& from) {
        const auto it = ranks_.find(from.text());
        if (it == ranks_.end() || it->second == own_ || bytes.size() > kMostBytes) return;
        received(it->second, std::string(bytes));
      });
}

void Peers::tell(int whom, const std::string& body) {
  if (!datagrams_ || body.empty() || body.size() > kMostBytes) return;
  if (whom >= 0) {
    if (whom != own_ && static_cast<std::size_t>(whom) < peers_.size())
      datagrams_->send(peers_[static_cast<std::size_t>(whom)], body);
    return;
  }
  if (!all_.empty()) return datagrams_->send(all_.front(), body);
  for (std::size_t i = 0; i < peers_.size(); i++)
    if (static_cast<int>(i) != own_) datagrams_->send(peers_[i], body);
}

}  // namespace cedarplank::platform
