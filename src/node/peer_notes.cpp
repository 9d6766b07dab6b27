#include "node/peer_notes.hpp"

#include "http2/frame.hpp"

namespace cedarplank::node {
namespace {
constexpr std::string_view kMagic = "cpn1";
}

PeerNotes::PeerNotes(loop::Loop& loop, const config::RelaySettings& settings, Received received)
    : rank_(settings.dispatcher.rank) {
  if (settings.notes_listen.empty()) return;
  for (const auto& p : settings.peers)
    if (p.rank != rank_) peers_.emplace(p.rank, net::Address::parse(p.address));
  datagrams_ = std::make_unique<net::DatagramSocket>(
      loop, net::Address::parse(settings.notes_listen),
      [this, received = std::move(received)](std::string_view bytes, const net::Address&) {
        if (bytes.size() < 8 || bytes.size() > 8 + kMaxBodyBytes || bytes.substr(0, 4) != kMagic) return;
        const auto from = static_cast<int>(http2::read_u32(bytes, 4));
        if (peers_.count(from) == 0) return;  // not a peer listed in the settings
        received(from, std::string(bytes.substr(8)));
      });
}

void PeerNotes::send_note(int whom, const std::string& body) {
  if (!datagrams_ || body.size() > kMaxBodyBytes) return;
  std::string bytes(kMagic);
  http2::put_u32(static_cast<std::uint32_t>(rank_), bytes);
  bytes += body;
  for (const auto& [rank, address] : peers_)
    if (whom < 0 || whom == rank) datagrams_->send(address, bytes);
}

}  // namespace cedarplank::node
