#include "platform/peers.hpp"

namespace cedarplank::platform {

Peers::Peers(loop::Loop& loop, const Config& config, Received received) : own_rank_(config.settings.rank) {
  if (!config.settings.peers || config.peer_listen.empty()) return;
  for (const auto& p : config.peers) {
    ranks_by_address_.emplace(p, static_cast<int>(peers_.size()));
    peers_.push_back(net::Address::parse(p));
  }
  if (!config.peers_all.empty()) broadcast_addresses_.push_back(net::Address::parse(config.peers_all));
  datagrams_ = std::make_unique<net::DatagramSocket>(
      loop, net::Address::parse(config.peer_listen),
      [this, received = std::move(received)](std::string_view bytes, const net::Address& from) {
        const auto it = ranks_by_address_.find(from.text());
        if (it == ranks_by_address_.end() || it->second == own_rank_ || bytes.size() > kMaxNoteBytes) return;
        received(it->second, std::string(bytes));
      });
}

void Peers::send_note(int whom, const std::string& body) {
  if (!datagrams_ || body.empty() || body.size() > kMaxNoteBytes) return;
  if (whom >= 0) {
    if (whom != own_rank_ && static_cast<std::size_t>(whom) < peers_.size())
      datagrams_->send(peers_[static_cast<std::size_t>(whom)], body);
    return;
  }
  if (!broadcast_addresses_.empty()) return datagrams_->send(broadcast_addresses_.front(), body);
  for (std::size_t i = 0; i < peers_.size(); i++)
    if (static_cast<int>(i) != own_rank_) datagrams_->send(peers_[i], body);
}

}  // namespace cedarplank::platform
