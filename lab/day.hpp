// The parts of a virtual day: relays, connections, endpoints and what holds them together. Inside the lab
// only.
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

// A connection between a relay and an endpoint; each end has its own view of whether it is open.
struct Conn {
  Relay* relay = nullptr;
  std::uint64_t life = 0;  // of the relay
  EndpointId endpoint;
  int kind = 0;
  pool::LinkId link = 0;
  std::uint64_t number = 0;
  bool open_here = false;  // at the endpoint
  bool dead = false, went_away = false;
  Time last_used = 0;
  struct Out {
    std::size_t seen = kNone;  // place in what was observed, once it has arrived
    bool over = false;         // for the endpoint: answered, or its caller gave it up
  };
  std::map<relay::CallId, Out> at_endpoint;
  std::set<relay::CallId> at_relay;
};
using ConnRef = std::shared_ptr<Conn>;
// By number, as opened. Guards against days that differ from run to run: pointers order by where the heap had
// room, and what an endpoint sends to all its connections at once goes out in the set's order.
struct ByNumber {
  bool operator()(const ConnRef& a, const ConnRef& b) const { return a->number < b->number; }
};

struct Endpoint {
  std::size_t destination = 0;
  emulator::EndpointSettings settings;
  std::set<ConnRef, ByNumber> conns;
  std::vector<std::function<void()>> paused;  // what came during a pause
  bool stopped = false, vanished = false;
};

// One relay's end of a connection, as the driver knows it.
class VirtualLink final : public back::Link {
 public:
  VirtualLink(World& world, ConnRef conn) : w_(world), c_(std::move(conn)) {}
  ~VirtualLink() override { drop(); }
  Submitted submit(const relay::CallOrder& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override;
  std::optional<Room> room() override { return std::nullopt; }  // told as it changes
  relay::Ending ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  World& w_;
  ConnRef c_;
  bool closed_ = false;
};

class Relay final : relay::Answers, relay::ListSource, relay::Notes, relay::Log {
 public:
  Relay(World& world, int rank);
  void start();
  void crash();
  void stall() { stalled_ = true; }
  void go_on();
  bool up() const { return up_; }
  std::uint64_t life() const { return life_; }
  Time started() const { return started_; }
  const std::string& name() const { return name_; }
  std::size_t held() const { return desk_ ? desk_->core().held() : 0; }
  std::uint64_t opened() const { return opened_ + (driver_ ? driver_->opened() : 0); }

  // Runs `f` on this relay at a time, unless that life is over by then; later where it stands still.
  void on_relay(Time when, std::function<void()> f);
  void take(std::size_t try_index, relay::NewMessage message);
  void give_up(std::size_t try_index);
  void look_at_list();
  void note(int from, const std::string& body) { desk_->core().note(from, body), poke(); }

  // From endpoints.
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
  void poke();
  void rearm_core();
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

class World final : public rig::Stage {
 public:
  World(const rig::Scenario& scenario, const WorldOptions& options)
      : s_(scenario),
        options_(options),
        template_(config::load_relay_settings(scenario.relay_file)),
        random_(scenario.seed * 77 + 5),
        book_(load_settings(scenario)) {}
  Figures run();

  // For relays.
  Clock clock;
  const config::RelaySettings& settings() const { return template_; }
  Policy policy() const { return options_.policy; }
  Time hop() const { return options_.hop; }
  int relays() const { return s_.relays; }
  std::uint64_t seed() const { return s_.seed; }
  bool keeps_stories() const { return static_cast<bool>(options_.story); }
  void keep(trace::Story&& story) {
    story.wall = story.taken;  // virtual time begins at 1970
    options_.story(std::move(story));
  }
  pcg64& random() { return random_; }
  const config::PartnerList& list() const { return list_; }
  Listing list_state() const { return list_state_; }
  void connect(const ConnRef& c);
  void call(const ConnRef& c, relay::CallId id, std::shared_ptr<const relay::NewMessage> message);
  void reset_call(const ConnRef& c, relay::CallId id);
  void ping(const ConnRef& c);
  void close_conn(const ConnRef& c);  // by its relay
  void tell(int from, int whom, const std::string& body);
  void answer(std::size_t try_index, const char* status, Time back);

  // Stage.
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
  void arrive(const ConnRef& c, relay::CallId id, const std::shared_ptr<const relay::NewMessage>& message);
  void read(const ConnRef& c, relay::CallId id, const std::shared_ptr<const relay::NewMessage>& message);
  void carry_out(const ConnRef& c, relay::CallId id, const std::string& message, const std::string& key,
                 const emulator::Plan& plan);
  void tell_streams(const std::string& id);
  void drop(const ConnRef& c);    // by its endpoint, with a reset
  void forget(const ConnRef& c);  // at the endpoint
  void to_relay(const ConnRef& c, std::function<void(Relay&)> f);
  void ask();
  void submit(rig::LoadBook::Message m);
  void follow(rig::LoadBook::Message m, rig::LoadBook::Next next);
  void sample();
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
  std::map<std::size_t, rig::LoadBook::Message> open_;  // tries without an end
  std::uint64_t turn_ = 0, next_conn_ = 1, next_address_ = 1;
  bool asking_ = true;
  Figures figures_;
  Time begun_ = 0;
};

}  // namespace cedarplank::lab::day
