// The parts of a simulation in virtual time: relays, connections, endpoints and the world that connects them.
// Internal to the simulation lab.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "back/driver.hpp"
#include "config/relay_settings.hpp"
#include "lab/clock.hpp"
#include "lab/world.hpp"
#include "relay/desk.hpp"
#include "relay/partner_book.hpp"

namespace cedarplank::lab::day {

using rig::kNever;
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

class World;
class Relay;

// A simulated connection between a relay and an endpoint. Each end has its own view of whether it is open.
struct Conn {
  Relay* relay = nullptr;
  std::uint64_t life = 0;  // the relay's incarnation that opened it
  EndpointId endpoint;
  int kind = 0;
  pool::LinkId link = 0;
  std::uint64_t number = 0;
  bool open_here = false;                // at the endpoint
  bool dead = false, went_away = false;  // the endpoint: no longer answers on it; has sent GOAWAY
  Time last_used = 0;
  struct Out {                 // a call at the endpoint
    std::size_t seen = kNone;  // index of its record among the observed calls, once it has arrived
    bool over = false;         // for the endpoint: answered, or reset by the relay
  };
  std::map<relay::CallId, Out> at_endpoint;
  std::set<relay::CallId> at_relay;
};
using ConnRef = std::shared_ptr<Conn>;
// Orders connections by number, that is, in the order in which they were opened. An endpoint that sends to
// all its connections at once sends in the order of the set; ordering by pointer would depend on heap
// addresses, so that equal scenarios could give different results.
struct ByNumber {
  bool operator()(const ConnRef& a, const ConnRef& b) const { return a->number < b->number; }
};

struct Endpoint {
  std::size_t destination = 0;
  emulator::EndpointSettings settings;
  std::set<ConnRef, ByNumber> conns;
  std::vector<std::function<void()>> paused;  // work that arrived during a pause, to be run after it
  bool stopped = false, vanished = false;
};

// The relay's end of a connection, in the form that the endpoint driver uses.
class VirtualLink final : public back::Link {
 public:
  VirtualLink(World& world, ConnRef conn) : w_(world), c_(std::move(conn)) {}
  ~VirtualLink() override { drop(); }
  Submitted submit(const relay::CallOrder& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override;
  std::optional<Room> room() override { return std::nullopt; }  // changes are reported as they occur
  relay::Ending ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  World& w_;
  ConnRef c_;
  bool closed_ = false;
};

// A relay in virtual time: the product's relay core and endpoint driver on simulated connections. It can
// crash and restart, and stall (stand still without losing its state).
class Relay final : relay::Answers, relay::ListSource, relay::Notes, relay::Log {
 public:
  Relay(World& world, int rank);
  void start();
  void crash();
  void stall() { stalled_ = true; }
  void go_on();
  bool up() const { return up_; }
  std::uint64_t life() const { return life_; }  // changes at each start and crash
  Time started() const { return started_; }
  const std::string& name() const { return name_; }
  std::size_t held() const { return desk_ ? desk_->core().held() : 0; }
  // Connections opened in all incarnations.
  std::uint64_t opened() const { return opened_ + (driver_ ? driver_->opened() : 0); }

  // Runs `f` on this relay at a time, unless it has crashed or restarted by then. While the relay is stalled,
  // `f` waits until the stall ends.
  void on_relay(Time when, std::function<void()> f);
  // A client submits a message, or resets its request. `try_index`: the client's try among the observed ones.
  void take(std::size_t try_index, relay::NewMessage message);
  void give_up(std::size_t try_index);
  // Rereads the partner list; where it can't be read, tries again at the reread interval.
  void look_at_list();
  // A note from another relay.
  void note(int from, const std::string& body) { desk_->core().note(from, body), poke(); }

  // Events of a connection, as they arrive from its endpoint.
  void standing(const ConnRef& c, std::uint32_t streams);
  void streams_told(const ConnRef& c, std::uint32_t streams);
  void conn_lost(const ConnRef& c, const std::string& why);
  void conn_closed(const ConnRef& c);  // by this side
  void answered(const ConnRef& c, relay::CallId id, int status, Time wait);
  void turned_back(const ConnRef& c, relay::CallId id);
  void went_away(const ConnRef& c, const std::vector<relay::CallId>& taken);
  void pong(const ConnRef& c);

 private:
  void served(MessageId id, const relay::Ending&) override { answer(id, "201", 0); }
  void refused(MessageId id, Time back, const relay::Account&) override { answer(id, "503", back); }
  void failed(MessageId id, const relay::Account&) override { answer(id, "504", 0); }
  void fetch() override {
    on_relay_now([this] { look_at_list(); });
  }
  void subscribe(bool on) override {
    if (on) fetch();
  }
  void tell(int whom, const std::string& body) override;
  void line(const std::string&) override {}

  void on_relay_now(std::function<void()> f);
  void answer(MessageId id, const char* status, Time back);
  void end_on(const ConnRef& c, relay::CallId id, relay::Ending ending);
  std::unique_ptr<back::Driver> make_driver();
  void poke();        // schedules a turn of the core, once
  void rearm_core();  // schedules the core's next due turn
  void set_endpoints();

  World& w_;
  const int rank_;
  const std::string name_;
  config::RelaySettings settings_;
  std::uint64_t life_ = 0, opened_ = 0;
  bool up_ = false, stalled_ = false;
  std::vector<std::function<void()>> backlog_;
  Time started_ = 0;
  std::unique_ptr<back::Driver> driver_;
  std::unique_ptr<relay::PartnerBook> book_;
  std::unique_ptr<relay::Desk> desk_;
  std::map<MessageId, std::size_t> try_of_;
  std::map<std::size_t, MessageId> message_of_;
  bool poked_ = false;
  Time timer_at_ = 0;
};

// A whole simulation: clients, relays, endpoints and the network between them. The script of the scenario
// drives it as its stage.
class World final : public rig::Stage {
 public:
  World(const rig::Scenario& scenario, const WorldOptions& options)
      : s_(scenario),
        options_(options),
        template_(config::load_relay_settings(scenario.relay_file)),
        random_(scenario.seed * 77 + 5),
        book_(load_settings(scenario)) {}
  Figures run();

  // For the relays.
  Clock clock;
  const config::RelaySettings& settings() const { return template_; }
  Policy policy() const { return options_.policy; }
  Time hop() const { return options_.hop; }
  int relays() const { return s_.relays; }
  std::uint64_t seed() const { return s_.seed; }
  bool keeps_stories() const { return static_cast<bool>(options_.story); }
  void keep(trace::Story&& story) {
    story.wall = story.taken;  // virtual time counts from 1970
    options_.story(std::move(story));
  }
  pcg64& random() { return random_; }
  const config::PartnerList& list() const { return list_; }
  Listing list_state() const { return list_state_; }
  void connect(const ConnRef& c);
  void call(const ConnRef& c, relay::CallId id, std::shared_ptr<const relay::NewMessage> message);
  void reset_call(const ConnRef& c, relay::CallId id);
  void ping(const ConnRef& c);
  void close_conn(const ConnRef& c);                       // by its relay
  void tell(int from, int whom, const std::string& body);  // a note to one relay; whom < 0: to all others
  void answer(std::size_t try_index, const char* status, Time back);

  // rig::Stage.
  Time now() override { return clock.now(); }
  void at(Time when, std::function<void()> f) override { clock.at(when, std::move(f)); }
  void fault_begins(const std::string& id, const emulator::FaultSettings& f) override;
  void fault_ends(const std::string& id, emulator::Fault f) override;
  std::string add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) override;
  void stop_endpoint(const std::string& id) override;
  void vanish_endpoint(const std::string& id) override;
  void set_slowness(double times) override;
  void publish(const config::PartnerList& list, Listing how) override;
  rig::LoadBook& load() override { return book_; }
  std::string relay_name(int r) override { return relay(r).name(); }
  Time relay_started(int r) override { return relay(r).started(); }
  void crash(int r) override;
  void start(int r) override { relay(r).start(); }
  void stall(int r) override { relay(r).stall(); }
  void go_on(int r) override { relay(r).go_on(); }
  void set_notes_lost(double share) override { notes_lost_ = share; }

 private:
  static rig::LoadSettings load_settings(const rig::Scenario& s) {
    auto load = s.load;
    load.seed = s.seed;
    return load;
  }
  Relay& relay(int i) { return *relays_[static_cast<std::size_t>(i)]; }
  emulator::Partner& partner(const Endpoint& e) { return *partners_[e.destination]; }
  // A call reaches the endpoint; is read by it, after a pause if there is one; and is handled as the emulated
  // partner planned.
  void arrive(const ConnRef& c, relay::CallId id, const std::shared_ptr<const relay::NewMessage>& message);
  void read(const ConnRef& c, relay::CallId id, const std::shared_ptr<const relay::NewMessage>& message);
  void carry_out(const ConnRef& c, relay::CallId id, const std::string& message, const std::string& key,
                 const emulator::Plan& plan);
  void tell_streams(const std::string& id);
  void drop(const ConnRef& c);    // the endpoint resets the connection
  void forget(const ConnRef& c);  // removes the connection at the endpoint
  void to_relay(const ConnRef& c, std::function<void(Relay&)> f);
  void ask();  // creates the load's next message and schedules the one after it
  void submit(rig::LoadBook::Message m);
  void follow(rig::LoadBook::Message m, rig::LoadBook::Next next);  // schedules the client's retry, if any
  void sample();  // records once a second how many messages the relays hold
  Figures::Second& second();
  std::string next_address() { return "127.0.0.1:" + std::to_string(next_address_++ % 60'000 + 1); }

  const rig::Scenario& s_;
  const WorldOptions& options_;
  const config::RelaySettings template_;
  pcg64 random_;
  rig::LoadBook book_;
  std::vector<std::unique_ptr<emulator::Partner>> partners_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::unique_ptr<rig::Script> script_;
  config::PartnerList list_;
  Listing list_state_ = Listing::whole;
  double notes_lost_ = 0;
  rig::Observed observed_;
  std::vector<emulator::Effect> effects_;
  std::map<std::size_t, rig::LoadBook::Message> open_;  // tries without a final answer
  std::uint64_t turn_ = 0, next_conn_ = 1, next_address_ = 1;
  bool asking_ = true;
  Figures figures_;
  Time begun_ = 0;
};

}  // namespace cedarplank::lab::day
