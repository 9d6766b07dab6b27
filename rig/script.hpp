// Plays a scenario's troubles over a stage, and keeps the facts that the rules are judged by. The same on
// sockets (the drill) and in virtual time (the lab).
#pragma once

#include <functional>

#include "rig/checker.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {

// What a script can do to the world.
class Stage {
 public:
  virtual ~Stage() = default;
  virtual Time now() = 0;
  virtual void at(Time when, std::function<void()> f) = 0;
  virtual void fault_begins(const std::string& endpoint, const emulator::FaultSettings& fault) = 0;
  virtual void fault_ends(const std::string& endpoint, emulator::Fault fault) = 0;
  // A further endpoint of a destination; its address.
  virtual std::string add_endpoint(std::size_t destination, const emulator::EndpointSettings& settings) = 0;
  virtual void stop_endpoint(const std::string& endpoint) = 0;    // as a deploy does
  virtual void vanish_endpoint(const std::string& endpoint) = 0;  // without a word
  virtual void set_slowness(double times) = 0;                    // of all destinations
  enum class Listing { whole, half, gone };
  // Puts the list where the relays read it: whole, cut off in the middle, or not at all.
  virtual void publish(const config::PartnerList& list, Listing how) = 0;
  virtual LoadBook& load() = 0;
  virtual std::string relay_name(int relay) = 0;
  virtual Time relay_started(int relay) = 0;
  virtual void crash(int relay) = 0;
  virtual void start(int relay) = 0;
  virtual void stall(int relay) = 0;
  virtual void go_on(int relay) = 0;
  virtual void set_notes_lost(double share) = 0;
};

class Script {
 public:
  // `list`: the stage's endpoints as they are listed first; it is published at once.
  Script(const Scenario& scenario, const config::RelaySettings& relay, Stage& stage,
         config::PartnerList list);
  // Sets all troubles, counted from now.
  void play();
  // Nothing more is done to the stage.
  void stop() { over_ = true; }
  Facts facts() const;
  bool unseen_503(const std::string& endpoint) const { return facts_.unseen_503.at(endpoint); }

 private:
  void begin(const Trouble& t);
  void end(const Trouble& t);
  void deploy(const Trouble& t);
  void vanish(const Trouble& t);
  void drain_one(std::size_t destination, const std::string& id);
  void write_list();
  void publish();
  void untell();
  void outage(const std::string& endpoint, bool begins);
  void later(Time after, std::function<void()> f);
  std::vector<std::string> endpoints_of(const std::vector<std::string>& names) const;
  void add_place(std::size_t destination, const std::string& endpoint, int kind);

  const Scenario& s_;
  const config::RelaySettings& relay_;
  Stage& stage_;
  config::PartnerList list_;
  pcg64 random_;
  std::vector<std::vector<std::string>> endpoints_;  // of each destination, those of deploys too
  bool list_blocked_ = false, list_half_ = false, over_ = false;
  Time list_late_ = 0;
  Facts facts_;
  std::vector<std::string> pending_told_;  // changes of the list that no relay can have read yet
  std::map<std::string, Time> out_since_;
  std::map<std::string, int> out_count_;
  std::map<const Trouble*, std::vector<std::string>> struck_;  // endpoints, until the trouble ends
};

}  // namespace cedarplank::rig
