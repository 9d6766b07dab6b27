// Carries out a scenario's troubles in an environment and records the checker's input. Used on sockets (the
// `drill` sub-command) and in virtual time (the lab).
#pragma once

#include <functional>

#include "rig/checker.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {

// The environment of a scenario: what a script can do to endpoints, relays, the partner list and the load.
class ScenarioEnvironment {
 public:
  virtual ~ScenarioEnvironment() = default;
  virtual Time now() = 0;
  virtual void run_at(Time when, std::function<void()> f) = 0;
  virtual void begin_fault(const std::string& endpoint, const emulator::FaultSettings& fault) = 0;
  virtual void end_fault(const std::string& endpoint, emulator::Fault fault) = 0;
  // Adds an endpoint to a destination and returns its address.
  virtual std::string add_endpoint(std::size_t destination, const emulator::EndpointSettings& settings) = 0;
  virtual void stop_endpoint(const std::string& endpoint) = 0;    // orderly, as in a deploy
  virtual void vanish_endpoint(const std::string& endpoint) = 0;  // fails for good, without a notice
  virtual void set_slowness(double times) = 0;  // calls at all destinations take `times` as long
  enum class ListState { complete, truncated, missing };
  // Puts the list where the relays read it: complete, truncated, or removed.
  virtual void publish(const config::PartnerList& list, ListState how) = 0;
  virtual LoadModel& load_model() = 0;
  virtual std::string relay_name(int relay) = 0;
  virtual Time relay_started(int relay) = 0;
  virtual void crash(int relay) = 0;
  virtual void start(int relay) = 0;
  virtual void stall(int relay) = 0;  // the relay does nothing until it is resumed
  virtual void resume(int relay) = 0;
  virtual void set_peer_loss(double share) = 0;  // share of the datagrams between relays that is lost
};

// Carries out the troubles of one scenario.
class ScenarioScript {
 public:
  // `list`: the first partner list, with all endpoints of the environment; it is published at once.
  ScenarioScript(const Scenario& scenario, const config::RelaySettings& relay, ScenarioEnvironment& stage,
                 config::PartnerList list);
  // Schedules all troubles, with times relative to now.
  void start();
  // After this the script does nothing more to the environment.
  void stop() { stopped_ = true; }
  CheckerInput checker_input() const;
  bool unseen_503(const std::string& endpoint) const { return input_.unseen_503.at(endpoint); }

 private:
  void begin(const Trouble& t);
  void end(const Trouble& t);
  void deploy(const Trouble& t);
  void vanish(const Trouble& t);
  void replace_endpoint(std::size_t destination, const std::string& id);
  void publish_change();
  void publish();
  void retract_unread_notices();
  void record_outage(const std::string& endpoint, bool begins);
  void schedule(Time after, std::function<void()> f);
  std::vector<std::string> endpoints_of(const std::vector<std::string>& names) const;
  void register_endpoint(std::size_t destination, const std::string& endpoint, int kind);

  const Scenario& scenario_;
  const config::RelaySettings& relay_settings_;
  ScenarioEnvironment& environment_;
  config::PartnerList list_;
  pcg64 random_;
  std::vector<std::vector<std::string>> endpoints_;  // by destination, including those added by deploys
  bool list_missing_ = false, list_truncated_ = false, stopped_ = false;
  Time list_delay_ = 0;
  CheckerInput input_;
  std::vector<std::string> pending_notices_;  // drained or removed endpoints that no readable list shows yet
  std::map<std::string, Time> outage_since_;  // by capacity domain: start of its present outage
  std::map<std::string, int> outage_faults_;  // by capacity domain: faults now that count as an outage
  // By trouble of kind `fault`: the endpoints at which it was begun, and is to be ended.
  std::map<const Trouble*, std::vector<std::string>> faulty_endpoints_;
};

}  // namespace cedarplank::rig
