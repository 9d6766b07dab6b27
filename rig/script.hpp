// Carries out a scenario's troubles in an environment and records the checker's input. Used on sockets (the
// `drill` sub-command) and in virtual time (the lab).
#pragma once

#include <functional>

#include "rig/checker.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {

// The environment of a scenario: what a script can do to endpoints, relays, the partner list and the load.
class Stage {
 public:
  virtual ~Stage() = default;
  virtual Time now() = 0;
  virtual void at(Time when, std::function<void()> f) = 0;
  virtual void fault_begins(const std::string& endpoint, const emulator::FaultSettings& fault) = 0;
  virtual void fault_ends(const std::string& endpoint, emulator::Fault fault) = 0;
  // Adds an endpoint to a destination and returns its address.
  virtual std::string add_endpoint(std::size_t destination, const emulator::EndpointSettings& settings) = 0;
  virtual void stop_endpoint(const std::string& endpoint) = 0;    // orderly, as in a deploy
  virtual void vanish_endpoint(const std::string& endpoint) = 0;  // fails for good, without a notice
  virtual void set_slowness(double times) = 0;  // calls at all destinations take `times` as long
  enum class Listing { whole, half, gone };
  // Puts the list where the relays read it: complete, truncated, or removed.
  virtual void publish(const config::PartnerList& list, Listing how) = 0;
  virtual LoadBook& load() = 0;
  virtual std::string relay_name(int relay) = 0;
  virtual Time relay_started(int relay) = 0;
  virtual void crash(int relay) = 0;
  virtual void start(int relay) = 0;
  virtual void stall(int relay) = 0;  // the relay does nothing until it is resumed
  virtual void go_on(int relay) = 0;
  virtual void set_notes_lost(double share) = 0;  // share of the datagrams between relays that is lost
};

// Carries out the troubles of one scenario.
class Script {
 public:
  // `list`: the first partner list, with all endpoints of the environment; it is published at once.
  Script(const Scenario& scenario, const config::RelaySettings& relay, Stage& stage,
         config::PartnerList list);
  // Schedules all troubles, with times relative to now.
  void play();
  // After this the script does nothing more to the environment.
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
  std::vector<std::vector<std::string>> endpoints_;  // by destination, including those added by deploys
  bool list_blocked_ = false, list_half_ = false, over_ = false;
  Time list_late_ = 0;
  Facts facts_;
  std::vector<std::string> pending_told_;  // drained or removed endpoints that no readable list shows yet
  std::map<std::string, Time> out_since_;  // by capacity domain: start of its present outage
  std::map<std::string, int> out_count_;   // by capacity domain: faults now that count as an outage
  // By trouble of kind `fault`: the endpoints at which it was begun, and is to be ended.
  std::map<const Trouble*, std::vector<std::string>> struck_;
};

}  // namespace cedarplank::rig
