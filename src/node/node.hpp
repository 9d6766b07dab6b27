// One relay on a loop: settings in, a serving push gateway out. The program `cedarplank relay` is a shell
// around this.
#pragma once

#include <functional>
#include <memory>

#include "gateway/back.hpp"
#include "gateway/front.hpp"
#include "node/list_file.hpp"
#include "node/peer_notes.hpp"
#include "relay/partner_book.hpp"

namespace cedarplank::node {

class Node {
 public:
  using DeciderMaker = std::function<std::unique_ptr<relay::Decider>(const Settings&, std::uint64_t seed)>;
  using LogSink = std::function<void(const char* event, const std::string& text)>;

  // Throws ConfigError or std::system_error where it can't start.
  Node(loop::Loop& loop, config::RelaySettings settings, LogSink log, DeciderMaker decider = relay::make_dispatcher);
  ~Node();

  std::string address() const { return front_->address(); }
  const config::RelaySettings& settings() const { return settings_; }

  // Takes nothing more, lets what is held end, and ends the rest when `drain_within` has passed; then calls
  // `done`, with how many had to be ended that way.
  void drain(std::function<void(std::size_t ended)> done);

  const relay::Core& core() const { return *core_; }
  std::size_t endpoint_connections() const { return back_->connections(); }
  std::uint64_t connections_opened() const { return back_->opened(); }

 private:
  void poke();  // what is due now or later gets its turn
  void rearm();
  void check_drained();

  struct CoreLog final : relay::Log {
    LogSink sink;
    void line(const std::string& text) override { sink("module", text); }
  };

  loop::Loop& loop_;
  config::RelaySettings settings_;
  LogSink log_;
  CoreLog core_log_;
  relay::PartnerBook book_;
  std::unique_ptr<ListFile> list_;
  std::unique_ptr<PeerNotes> notes_;
  std::unique_ptr<gateway::Front> front_;
  std::unique_ptr<gateway::Back> back_;
  std::unique_ptr<relay::Core> core_;
  bool poked_ = false;
  loop::TimerId timer_ = 0, drain_timer_ = 0, poll_timer_ = 0;
  Time timer_at_ = 0;
  std::function<void(std::size_t)> drained_;
  std::size_t ended_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::node
