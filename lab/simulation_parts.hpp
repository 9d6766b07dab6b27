// The parts of a simulation in virtual time: relays, connections, endpoints and the simulation that connects
// them. Internal to the simulation lab.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "back/driver.hpp"
#include "config/relay_settings.hpp"
#include "lab/simulation.hpp"
#include "lab/virtual_clock.hpp"
#include "relay/partner_registry.hpp"
#include "relay/relay_assembly.hpp"

namespace cedarplank::lab::day {

using rig::kNever;
constexpr std::size_t kNotObserved = static_cast<std::size_t>(-1);

class Simulation;
class SimulatedRelay;

// A simulated connection between a relay and an endpoint. Each end has its own view of whether it is open.
struct Connection {
  SimulatedRelay* relay = nullptr;
  std::uint64_t incarnation = 0;  // the relay's incarnation that opened it
  EndpointId endpoint;
  int kind = 0;
  pool::LinkId link = 0;
  std::uint64_t number = 0;
  bool open_at_endpoint = false;
  bool dead = false, goaway_sent = false;  // the endpoint no longer answers on it; it has sent GOAWAY
  Time last_used = 0;
  struct EndpointCall {
    // Index of its record among the observed calls, once it has arrived.
    std::size_t observed_index = kNotObserved;
    bool ended = false;  // for the endpoint: answered, or reset by the relay
  };
  std::map<relay::CallId, EndpointCall> endpoint_calls;
  std::set<relay::CallId> relay_calls;
};
using ConnectionRef = std::shared_ptr<Connection>;
// Orders connections by number, that is, in the order in which they were opened. An endpoint that sends to
// all its connections at once sends in the order of the set; ordering by pointer would depend on heap
// addresses, so that equal scenarios could give different results.
struct ByNumber {
  bool operator()(const ConnectionRef& a, const ConnectionRef& b) const { return a->number < b->number; }
};

struct SimulatedEndpoint {
  std::size_t destination = 0;
  emulator::EndpointSettings settings;
  std::set<ConnectionRef, ByNumber> connections;
  std::vector<std::function<void()>> paused_work;  // work that arrived during a pause, to be run after it
  bool stopped = false, vanished = false;
};

// The relay's end of a connection, in the form that the endpoint driver uses.
class SimulatedLink final : public back::Link {
 public:
  SimulatedLink(Simulation& simulation, ConnectionRef conn)
      : simulation_(simulation), connection_(std::move(conn)) {}
  ~SimulatedLink() override { drop(); }
  SubmitResult submit(const relay::OutgoingCall& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override;
  std::optional<Capacity> capacity() override { return std::nullopt; }  // changes are reported as they occur
  relay::CallResult ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  Simulation& simulation_;
  ConnectionRef connection_;
  bool closed_ = false;
};

// A relay in virtual time: the product's relay core and endpoint driver on simulated connections. It can
// crash and restart, and stall (stand still without losing its state).
class SimulatedRelay final : relay::AnswerSink, relay::ListSource, relay::PeerChannel, relay::Log {
 public:
  SimulatedRelay(Simulation& simulation, int rank);
  void start();
  void crash();
  void stall() { stalled_ = true; }
  void resume();
  bool up() const { return up_; }
  std::uint64_t incarnation() const { return incarnation_; }  // changes at each start and crash
  Time started() const { return started_; }
  const std::string& name() const { return name_; }
  std::size_t held() const { return assembly_ ? assembly_->core().held() : 0; }
  // Connections opened in all incarnations.
  std::uint64_t connections_opened() const {
    return connections_opened_ + (driver_ ? driver_->connections_opened() : 0);
  }

  // Runs `f` on this relay at a time, unless it has crashed or restarted by then. While the relay is stalled,
  // `f` waits until the stall ends.
  void run_at(Time when, std::function<void()> f);
  // A client submits a message, or resets its request. `try_index`: the client's try among the observed ones.
  void submit(std::size_t try_index, relay::NewMessage message);
  void abandon(std::size_t try_index);
  // Rereads the partner list; where it can't be read, tries again at the reread interval.
  void reread_list();
  // A note from another relay.
  void note_received(int from, const std::string& body) {
    assembly_->core().peer_note_received(from, body), schedule_turn();
  }

  // Events of a connection, as they arrive from its endpoint.
  void connection_ready(const ConnectionRef& c, std::uint32_t streams);
  void streams_changed(const ConnectionRef& c, std::uint32_t streams);
  void connection_lost(const ConnectionRef& c, const std::string& why);
  void connection_closed(const ConnectionRef& c);  // by this side
  void call_answered(const ConnectionRef& c, relay::CallId id, int status, Time wait);
  void stream_refused(const ConnectionRef& c, relay::CallId id);
  void goaway_received(const ConnectionRef& c, const std::vector<relay::CallId>& taken);
  void pong_received(const ConnectionRef& c);

 private:
  void served(MessageId id, const relay::CallResult&) override { answer(id, "201", 0); }
  void refused(MessageId id, Time back, const relay::AttemptSummary&) override { answer(id, "503", back); }
  void failed(MessageId id, const relay::AttemptSummary&) override { answer(id, "504", 0); }
  void fetch() override {
    run_soon([this] { reread_list(); });
  }
  void subscribe(bool on) override {
    if (on) fetch();
  }
  void send_note(int whom, const std::string& body) override;
  void line(const std::string&) override {}

  void run_soon(std::function<void()> f);
  void answer(MessageId id, const char* status, Time back);
  void end_call(const ConnectionRef& c, relay::CallId id, relay::CallResult ending);
  std::unique_ptr<back::EndpointDriver> make_driver();
  void schedule_turn();     // schedules a turn of the core, once
  void rearm_core_timer();  // schedules the core's next due turn
  void set_endpoints();

  Simulation& simulation_;
  const int rank_;
  const std::string name_;
  config::RelaySettings settings_;
  std::uint64_t incarnation_ = 0, connections_opened_ = 0;
  bool up_ = false, stalled_ = false;
  std::vector<std::function<void()>> stalled_work_;
  Time started_ = 0;
  std::unique_ptr<back::EndpointDriver> driver_;
  std::unique_ptr<relay::PartnerRegistry> registry_;
  std::unique_ptr<relay::RelayAssembly> assembly_;
  std::map<MessageId, std::size_t> try_by_message_;
  std::map<std::size_t, MessageId> message_by_try_;
  bool turn_scheduled_ = false;
  Time timer_at_ = 0;
};

// A whole simulation: clients, relays, endpoints and the network between them. The script of the scenario
// drives it through rig::ScenarioEnvironment.
class Simulation final : public rig::ScenarioEnvironment {
 public:
  Simulation(const rig::Scenario& scenario, const SimulationOptions& options)
      : scenario_(scenario),
        options_(options),
        relay_template_(config::load_relay_settings(scenario.relay_file)),
        random_(scenario.seed * 77 + 5),
        load_model_(load_settings(scenario)) {}
  SimulationResult run();

  // For the relays.
  VirtualClock clock;
  const config::RelaySettings& settings() const { return relay_template_; }
  Policy policy() const { return options_.policy; }
  Time one_way_delay() const { return options_.one_way_delay; }
  int relays() const { return scenario_.relays; }
  std::uint64_t seed() const { return scenario_.seed; }
  bool traces_enabled() const { return static_cast<bool>(options_.trace_sink); }
  void write_trace(trace::MessageTrace&& message_trace) {
    message_trace.wall = message_trace.accepted_at;  // virtual time counts from 1970
    options_.trace_sink(std::move(message_trace));
  }
  pcg64& random() { return random_; }
  const config::PartnerList& list() const { return list_; }
  ListState list_state() const { return list_state_; }
  void connect(const ConnectionRef& c);
  void call(const ConnectionRef& c, relay::CallId id, std::shared_ptr<const relay::NewMessage> message);
  void reset_call(const ConnectionRef& c, relay::CallId id);
  void ping(const ConnectionRef& c);
  void close_connection(const ConnectionRef& c);  // by its relay
  void send_note(int from, int whom,
                 const std::string& body);  // a note to one relay; whom < 0: to all others
  void answer(std::size_t try_index, const char* status, Time back);

  // rig::ScenarioEnvironment.
  Time now() override { return clock.now(); }
  void run_at(Time when, std::function<void()> f) override { clock.at(when, std::move(f)); }
  void begin_fault(const std::string& id, const emulator::FaultSettings& f) override;
  void end_fault(const std::string& id, emulator::Fault f) override;
  std::string add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) override;
  void stop_endpoint(const std::string& id) override;
  void vanish_endpoint(const std::string& id) override;
  void set_slowness(double times) override;
  void publish(const config::PartnerList& list, ListState how) override;
  rig::LoadModel& load_model() override { return load_model_; }
  std::string relay_name(int r) override { return relay(r).name(); }
  Time relay_started(int r) override { return relay(r).started(); }
  void crash(int r) override;
  void start(int r) override { relay(r).start(); }
  void stall(int r) override { relay(r).stall(); }
  void resume(int r) override { relay(r).resume(); }
  void set_peer_loss(double share) override { notes_lost_ = share; }

 private:
  static rig::LoadSettings load_settings(const rig::Scenario& s) {
    auto load = s.load;
    load.seed = s.seed;
    return load;
  }
  SimulatedRelay& relay(int i) { return *relays_[static_cast<std::size_t>(i)]; }
  emulator::Partner& partner(const SimulatedEndpoint& e) { return *partners_[e.destination]; }
  // A call reaches the endpoint; is read by it, after a pause if there is one; and is handled as the emulated
  // partner planned.
  void call_arrived(const ConnectionRef& c, relay::CallId id,
                    const std::shared_ptr<const relay::NewMessage>& message);
  void read_call(const ConnectionRef& c, relay::CallId id,
                 const std::shared_ptr<const relay::NewMessage>& message);
  void execute_plan(const ConnectionRef& c, relay::CallId id, const std::string& message,
                    const std::string& key, const emulator::CallPlan& plan);
  void announce_streams(const std::string& id);
  void reset_connection(const ConnectionRef& c);   // by the endpoint
  void remove_connection(const ConnectionRef& c);  // at the endpoint
  void run_on_relay(const ConnectionRef& c, std::function<void(SimulatedRelay&)> f);
  void submit_next_message();  // creates the load's next message and schedules the one after it
  void submit(rig::LoadModel::Message m);
  void schedule_retry(rig::LoadModel::Message m,
                      rig::LoadModel::NextStep next);  // schedules the client's retry, if any
  void sample_held();  // records once a second how many messages the relays hold
  SimulationResult::Second& current_second();
  std::string next_address() { return "127.0.0.1:" + std::to_string(next_address_++ % 60'000 + 1); }

  const rig::Scenario& scenario_;
  const SimulationOptions& options_;
  const config::RelaySettings relay_template_;
  pcg64 random_;
  rig::LoadModel load_model_;
  std::vector<std::unique_ptr<emulator::Partner>> partners_;
  std::map<EndpointId, SimulatedEndpoint> endpoints_;
  std::vector<std::unique_ptr<SimulatedRelay>> relays_;
  std::unique_ptr<rig::ScenarioScript> script_;
  config::PartnerList list_;
  ListState list_state_ = ListState::complete;
  double notes_lost_ = 0;
  rig::Observed observed_;
  std::vector<emulator::Effect> effects_;
  std::map<std::size_t, rig::LoadModel::Message> open_tries_;  // tries without a final answer
  std::uint64_t next_relay_ = 0, next_connection_ = 1, next_address_ = 1;
  bool load_running_ = true;
  SimulationResult figures_;
  Time started_at_ = 0;
};

}  // namespace cedarplank::lab::day
