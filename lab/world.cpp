#include "lab/world.hpp"

#include <chrono>
#include <random>
#include <set>

#include "config/relay_settings.hpp"
#include "gateway/semantics.hpp"
#include "lab/clock.hpp"
#include "pool/pool.hpp"
#include "relay/desk.hpp"
#include "relay/partner_book.hpp"

namespace cedarplank::lab {
namespace {

using rig::kNever;
constexpr Time kFindsOut = 150'000;  // a client without a relay tries again
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

class World;
class Relay;

// A connection between a relay and an endpoint; each end has its own view of whether it is open.
struct Conn {
  Relay* relay = nullptr;
  std::uint64_t life = 0;  // of the relay
  EndpointId endpoint;
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

struct Endpoint {
  std::size_t destination = 0;
  emulator::EndpointSettings settings;
  std::set<ConnRef> conns;
  std::vector<std::function<void()>> paused;  // what came during a pause
  bool stopped = false, vanished = false;
};

class Relay final : public relay::Transport, relay::Answers, relay::ListSource, relay::Notes, relay::Log {
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
  std::uint64_t opened() const { return opened_; }

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
  void answered(const ConnRef& c, relay::CallId id, int status, Time wait);
  void turned_back(const ConnRef& c, relay::CallId id);
  void went_away(const ConnRef& c, const std::vector<relay::CallId>& taken);
  void heard(const ConnRef& c);
  void pong(const ConnRef& c);

 private:
  struct Peer {
    config::PartnerEndpoint endpoint;
    pool::Pool pool;
    std::map<pool::LinkId, ConnRef> conns;
    Time timer_at = 0;
    bool pump_due = false;
    Peer(const config::PartnerEndpoint& e, const pool::Settings& s, pool::Gate& gate, pool::LinkId& next,
         std::uint64_t seed)
        : endpoint(e), pool(e.id, s, gate, next, seed) {}
  };
  struct Call {
    relay::CallOrder order;
    ConnRef conn;  // null: still waiting
  };

  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override;
  bool take_back(relay::CallId call) override;
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId& endpoint) override;
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
  void end(relay::CallId id, relay::Ending ending);
  void end_on(const ConnRef& c, relay::CallId id, relay::Ending ending);
  void pump(const EndpointId& id);
  void pump_soon(Peer& peer);
  void rearm(Peer& peer);
  void poke();
  void rearm_core();
  void set_endpoints();
  Peer* find(const EndpointId& id);

  World& w_;
  const int rank_;
  const std::string name_;
  config::RelaySettings settings_;
  std::uint64_t life_ = 0, opened_ = 0;
  bool up_ = false, stalled_ = false;
  std::vector<std::function<void()>> backlog_;
  Time started_ = 0;
  pool::Settings pool_settings_;
  pool::LinkId next_link_ = 1;
  std::unique_ptr<pool::Gate> gate_;
  std::map<EndpointId, std::unique_ptr<Peer>> peers_;
  std::map<relay::CallId, Call> calls_;
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

// ---- The relay ----

Relay::Relay(World& world, int rank) : w_(world), rank_(rank), name_("relay-" + std::to_string(rank)) {
  const auto& s = settings_ = w_.settings();
  settings_.dispatcher.relays = w_.relays(), settings_.dispatcher.rank = rank;
  settings_.dispatcher.peers = true;  // as on sockets, where drills give each relay its peers
  pool_settings_.connections_max = s.endpoint_connections_max,
  pool_settings_.streams_max = s.endpoint_streams_max;
  pool_settings_.calls_at_risk = s.endpoint_calls_at_risk;
  pool_settings_.ping_after = s.endpoint_ping_after, pool_settings_.ping_timeout = s.endpoint_ping_timeout;
  pool_settings_.connect_timeout = s.dispatcher.connect_timeout,
  pool_settings_.idle = s.dispatcher.connection_idle;
}

void Relay::start() {
  life_++, up_ = true, stalled_ = false, started_ = w_.clock.now();
  gate_ = std::make_unique<pool::Gate>(w_.settings().handshakes_max);
  book_ = std::make_unique<relay::PartnerBook>();
  const std::uint64_t seed = w_.seed() * 1000 + static_cast<std::uint64_t>(rank_) + 1;
  settings_.seed = seed;
  trace::Recorder::Sink story;
  if (w_.keeps_stories())
    story = [this](trace::Story&& told) {
      told.message = name_ + "-" + std::to_string(life_) + "-" + std::to_string(told.id);
      w_.keep(std::move(told));
    };
  desk_ = std::make_unique<relay::Desk>(settings_, make_decider(w_.policy(), settings_.dispatcher, seed),
                                        relay::Desk::Ports{*this, *this, *this, *this, std::move(story)});
  poked_ = false, timer_at_ = 0;
  // Started while the list can't be read: by the copy that it kept.
  auto update = book_->take(w_.list(), w_.clock.now());
  set_endpoints();
  desk_->core().list_whole(std::move(update.endpoints), w_.list_state() != rig::Stage::Listing::whole);
  poke();
}

void Relay::crash() {
  up_ = false, life_++;
  for (auto& [id, peer] : peers_)
    for (auto& [n, c] : peer->conns) w_.close_conn(c);
  desk_.reset(), peers_.clear(), calls_.clear(), try_of_.clear(), message_of_.clear(), backlog_.clear();
  gate_.reset();
}

void Relay::go_on() {
  stalled_ = false;
  auto all = std::move(backlog_);
  backlog_.clear();
  for (auto& f : all) f();
}

void Relay::on_relay(Time when, std::function<void()> f) {
  w_.clock.at(when, [this, life = life_, f = std::move(f)]() mutable {
    if (life != life_ || !up_) return;
    if (stalled_)
      backlog_.push_back(std::move(f));
    else
      f();
  });
}
void Relay::on_relay_now(std::function<void()> f) { on_relay(w_.clock.now(), std::move(f)); }

void Relay::poke() {
  if (poked_) return;
  poked_ = true;
  on_relay_now([this] {
    poked_ = false;
    desk_->core().turn(w_.clock.now());
    rearm_core();
  });
}

void Relay::rearm_core() {
  const Time due = desk_->core().next_due();
  if (due == kNever || (timer_at_ > w_.clock.now() && timer_at_ <= due)) return;
  timer_at_ = due;
  on_relay(due, [this, due] {
    if (timer_at_ != due) return;  // an earlier one was set meanwhile
    timer_at_ = 0;
    desk_->core().turn(w_.clock.now());
    rearm_core();
  });
}

void Relay::take(std::size_t try_index, relay::NewMessage message) {
  const auto destination = book_->destination(message.topic.substr(0, message.topic.find('/')));
  if (!destination) return w_.answer(try_index, "404", 0);
  message.destination = *destination, message.topic.clear();
  const std::string name = book_->name_of(*destination);
  MessageId id = 0;
  const auto entry = desk_->take(w_.clock.now(), std::move(message), name, *this, [&](MessageId named) {
    id = named;
    try_of_[id] = try_index, message_of_[try_index] = id;
  });
  // As the front does: short of room, which passes.
  if (entry.taken != relay::Core::Taken::yes)
    answer(id, "503", entry.taken == relay::Core::Taken::full ? 1'000'000 : 0);
  poke();
}

void Relay::give_up(std::size_t try_index) {
  const auto it = message_of_.find(try_index);
  if (it == message_of_.end()) return;
  const MessageId id = it->second;
  try_of_.erase(id), message_of_.erase(it);
  desk_->withdraw(w_.clock.now(), id);
  poke();
}

void Relay::answer(MessageId id, const char* status, Time back) {
  const auto it = try_of_.find(id);
  if (it == try_of_.end()) return;
  const std::size_t index = it->second;
  try_of_.erase(it), message_of_.erase(index);
  w_.answer(index, status, back <= 0 ? 0 : (back + 999'999) / 1'000'000 * 1'000'000);
}

void Relay::look_at_list() {
  if (w_.list_state() != rig::Stage::Listing::whole) {
    desk_->core().list_failed();
    on_relay(w_.clock.now() + w_.settings().partners_reread, [this] { look_at_list(); });
    return poke();
  }
  auto update = book_->take(w_.list(), w_.clock.now());
  set_endpoints();
  desk_->core().list_changes(std::move(update.endpoints));
  poke();
}

void Relay::set_endpoints() {
  for (auto& [id, peer] : peers_) peer->pool.set_listed(false);
  for (const auto& e : book_->list().endpoints) {
    auto& peer = peers_[e.id];
    if (!peer)
      peer = std::make_unique<Peer>(e, pool_settings_, *gate_, next_link_,
                                    w_.seed() + next_link_ + static_cast<std::uint64_t>(rank_) * 7'919);
    peer->endpoint = e;
    peer->pool.set_listed(true);
  }
  std::vector<EndpointId> ids;
  for (const auto& [id, peer] : peers_) ids.push_back(id);
  for (const auto& id : ids) pump(id);
}

void Relay::tell(int whom, const std::string& body) { w_.tell(rank_, whom, body); }

Relay::Peer* Relay::find(const EndpointId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : it->second.get();
}

void Relay::send(const relay::CallOrder& call) {
  Peer* peer = find(call.endpoint);
  if (peer == nullptr)
    return on_relay_now([this, id = call.id] {
      end(id, {Outcome::not_sent, 0, {}, "the endpoint is not listed", {}});
    });
  calls_[call.id] = {call, nullptr};
  peer->pool.wait(call.id);
  pump_soon(*peer);
}

void Relay::end(relay::CallId id, relay::Ending ending) {
  calls_.erase(id);
  desk_->core().call_ended(w_.clock.now(), id, std::move(ending));
  poke();
}

void Relay::end_on(const ConnRef& c, relay::CallId id, relay::Ending ending) {
  if (c->at_relay.erase(id) == 0) return;
  if (Peer* peer = find(c->endpoint)) {
    peer->pool.over(c->link, w_.clock.now());
    pump_soon(*peer);
  }
  end(id, std::move(ending));
}

void Relay::pump_soon(Peer& peer) {
  if (peer.pump_due) return;
  peer.pump_due = true;
  on_relay_now([this, id = peer.endpoint.id] { pump(id); });
}

void Relay::pump(const EndpointId& id) {
  std::vector<pool::Step> steps;
  for (Peer* peer = find(id); peer != nullptr; peer = find(id), steps.clear()) {
    peer->pump_due = false;
    peer->pool.steps(w_.clock.now(), steps);
    if (steps.empty()) {
      rearm(*peer);
      break;
    }
    for (const auto& step : steps) {
      if (step.what == pool::Step::Do::connect) {
        auto c = std::make_shared<Conn>();
        c->relay = this, c->life = life_, c->endpoint = id, c->link = step.link;
        peer->conns[step.link] = c;
        opened_++;
        w_.connect(c);
        continue;
      }
      const auto it = peer->conns.find(step.link);
      if (it == peer->conns.end()) continue;
      const ConnRef c = it->second;
      if (step.what == pool::Step::Do::submit) {
        Call& call = calls_.at(step.call);
        call.conn = c;
        c->at_relay.insert(step.call);
        desk_->carried(w_.clock.now(), call.order, step.link, 0);
        w_.call(c, step.call, call.order.message);
      } else if (step.what == pool::Step::Do::ping) {
        w_.ping(c);
      } else if (step.why == pool::Why::connect_timeout) {
        w_.close_conn(c);
        conn_lost(c, text_of(step.why));
      } else {
        peer->pool.closing(step.link);
        w_.close_conn(c);
        peer->conns.erase(step.link);
        peer->pool.lost(step.link, w_.clock.now());
      }
    }
  }
  Peer* peer = find(id);
  if (peer != nullptr && peer->pool.done() && peer->conns.empty()) peers_.erase(id);
  if (const auto next = gate_->next(); next && *next != id)
    if (Peer* other = find(*next)) pump_soon(*other);
}

void Relay::rearm(Peer& peer) {
  const Time due = peer.pool.next_due(), now = w_.clock.now();
  if (due == pool::kNever || (peer.timer_at > now && peer.timer_at <= due)) return;
  peer.timer_at = due;
  on_relay(due, [this, id = peer.endpoint.id, due] {
    Peer* p = find(id);
    if (p == nullptr || p->timer_at != due) return;
    p->timer_at = 0;
    pump(id);
  });
}

relay::Transport::Recalled Relay::cancel(relay::CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return Recalled::sent;
  const Call call = it->second;
  calls_.erase(it);
  Peer* peer = find(call.order.endpoint);
  if (call.conn) {
    call.conn->at_relay.erase(id);
    w_.reset_call(call.conn, id);
    if (peer != nullptr) peer->pool.over(call.conn->link, w_.clock.now()), pump_soon(*peer);
    return Recalled::sent;
  }
  if (peer == nullptr) return Recalled::waiting;
  peer->pool.withdraw(id);
  return !peer->pool.any_standing() && peer->pool.any_connecting() ? Recalled::connecting : Recalled::waiting;
}

bool Relay::take_back(relay::CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.conn) return false;
  if (Peer* peer = find(it->second.order.endpoint)) peer->pool.withdraw(id);
  calls_.erase(it);
  return true;
}

std::vector<relay::CallId> Relay::recall(const EndpointId& endpoint) {
  Peer* peer = find(endpoint);
  if (peer == nullptr) return {};
  auto ids = peer->pool.recall();
  for (const auto id : ids) calls_.erase(id);
  return ids;
}

void Relay::close_idle(const EndpointId& endpoint) {
  if (Peer* peer = find(endpoint)) peer->pool.close_idle(), pump_soon(*peer);
}
void Relay::probe(const EndpointId& endpoint) {
  if (Peer* peer = find(endpoint)) peer->pool.probe(w_.clock.now()), pump_soon(*peer);
}

void Relay::standing(const ConnRef& c, std::uint32_t streams) {
  Peer* peer = find(c->endpoint);
  if (peer == nullptr || peer->conns.count(c->link) == 0) return;
  peer->pool.standing(c->link, w_.clock.now(), streams);
  pump(c->endpoint);
}

void Relay::streams_told(const ConnRef& c, std::uint32_t streams) {
  if (Peer* peer = find(c->endpoint)) peer->pool.set_streams_max(c->link, streams), pump(c->endpoint);
}

void Relay::conn_lost(const ConnRef& c, const std::string& why) {
  Peer* peer = find(c->endpoint);
  if (peer == nullptr || peer->conns.erase(c->link) == 0) return;
  const auto loss = peer->pool.lost(c->link, w_.clock.now());
  const auto out = std::exchange(c->at_relay, {});
  for (const auto id : out)
    end(id, gateway::ending_of_break(gateway::Break::reset, http2::ErrorCode::no_error, why));
  if (loss.probe)
    desk_->core().probe_ended(c->endpoint, loss.was_standing ? Outcome::reset : Outcome::connect_failed,
                              *loss.probe);
  for (const auto id : loss.no_connection)
    end(id, gateway::ending_of_break(gateway::Break::no_connection, http2::ErrorCode::no_error, why));
  if (Peer* still = find(c->endpoint)) pump_soon(*still);
  poke();
}

void Relay::answered(const ConnRef& c, relay::CallId id, int status, Time wait) {
  const Peer* peer = find(c->endpoint);
  http2::Headers headers = {{":status", std::to_string(status)}};
  if (wait > 0) headers.push_back({"retry-after", std::to_string((wait + 999'999) / 1'000'000)});
  const auto& kinds = w_.settings().kind_wire;
  const auto kind = peer == nullptr ? kinds.size() : static_cast<std::size_t>(peer->endpoint.kind);
  heard(c);
  end_on(c, id,
         gateway::ending_of_response(headers, kind < kinds.size() ? kinds[kind] : config::KindWire{}, 0));
}
void Relay::turned_back(const ConnRef& c, relay::CallId id) {
  heard(c);
  end_on(c, id,
         gateway::ending_of_break(gateway::Break::refused_stream, http2::ErrorCode::refused_stream, ""));
}
void Relay::went_away(const ConnRef& c, const std::vector<relay::CallId>& taken) {
  heard(c);
  if (Peer* peer = find(c->endpoint)) peer->pool.draining(c->link, w_.clock.now());
  std::vector<relay::CallId> untaken;
  for (const auto id : c->at_relay)
    if (std::find(taken.begin(), taken.end(), id) == taken.end()) untaken.push_back(id);
  for (const auto id : untaken)
    end_on(c, id, gateway::ending_of_break(gateway::Break::goaway, http2::ErrorCode::no_error, ""));
  pump(c->endpoint);
}
void Relay::heard(const ConnRef& c) {
  if (Peer* peer = find(c->endpoint)) peer->pool.heard(c->link, w_.clock.now());
}
void Relay::pong(const ConnRef& c) {
  heard(c);
  Peer* peer = find(c->endpoint);
  if (peer == nullptr) return;
  if (const auto latency = peer->pool.pong(c->link, w_.clock.now())) {
    desk_->core().probe_ended(c->endpoint, Outcome::served, *latency);
    poke();
  }
  pump(c->endpoint);
}

// ---- Endpoints ----

void World::to_relay(const ConnRef& c, std::function<void(Relay&)> f) {
  if (c->relay->life() != c->life) return;
  c->relay->on_relay(clock.now() + hop(), [c, f = std::move(f)] { f(*c->relay); });
}

void World::connect(const ConnRef& c) {
  clock.after(hop(), [this, c] {
    if (c->life != c->relay->life()) return;
    Endpoint& e = endpoints_.at(c->endpoint);
    const auto door = e.stopped || e.vanished ? emulator::Partner::Door::closed
                                              : partner(e).door(c->endpoint, clock.now(), e.conns.size());
    using Door = emulator::Partner::Door;
    if (door == Door::closed || door == Door::turned_away || door == Door::garbage)
      return to_relay(c, [c](Relay& r) { r.conn_lost(c, "refused"); });
    c->open_here = true, c->number = next_conn_++, c->last_used = clock.now();
    e.conns.insert(c);
    const auto shake = [this, c, streams = partner(e).streams(c->endpoint)] {
      if (c->open_here)
        to_relay(c, [c, streams](Relay& r) { r.standing(c, static_cast<std::uint32_t>(streams)); });
    };
    if (!partner(e).reads(c->endpoint)) return e.paused.push_back(shake);
    clock.after(partner(e).handshake(c->endpoint), shake);
  });
}

void World::call(const ConnRef& c, relay::CallId id, std::shared_ptr<const relay::NewMessage> message) {
  clock.after(hop(), [this, c, id, message = std::move(message)] { arrive(c, id, message); });
}

void World::arrive(const ConnRef& c, relay::CallId id,
                   const std::shared_ptr<const relay::NewMessage>& message) {
  if (!c->open_here) return;  // its relay learns of the loss by itself
  Endpoint& e = endpoints_.at(c->endpoint);
  auto& p = partner(e);
  const Time now = clock.now();
  const std::string name = record::message_in(message->body);
  auto& out = c->at_endpoint[id];
  out.seen = observed_.calls.size();
  rig::Call seen;
  seen.endpoint = c->endpoint, seen.relay = c->relay->name(), seen.message = name;
  seen.connection = c->number, seen.stream = static_cast<std::uint32_t>(id), seen.at = now;
  observed_.calls.push_back(std::move(seen));
  figures_.calls++, second().calls++;
  // Seen when it comes, also where it is read later: the relay has sent it by now.
  if (!p.reads(c->endpoint)) return e.paused.push_back([this, c, id, message] { read(c, id, message); });
  read(c, id, message);
}

void World::read(const ConnRef& c, relay::CallId id,
                 const std::shared_ptr<const relay::NewMessage>& message) {
  const auto it = c->at_endpoint.find(id);
  if (!c->open_here || it == c->at_endpoint.end() || it->second.over) return;
  auto& p = partner(endpoints_.at(c->endpoint));
  const Time now = clock.now();
  if (p.dead(c->endpoint, now - c->last_used)) c->dead = true;
  c->last_used = now;
  if (c->went_away) {
    // Above the last stream that its GOAWAY named: that proves that it was not taken.
    auto& seen = observed_.calls[it->second.seen];
    seen.proved_unrun = true, seen.proved_at = now;
  }
  if (c->dead || c->went_away) return;
  const std::string name = record::message_in(message->body);
  std::size_t alone = 0;
  for (const auto& [other, o] : c->at_endpoint) alone += !o.over;
  const emulator::Partner::Call call{name, message->idempotency_key, record::class_in(message->body),
                                     alone <= 1};
  carry_out(c, id, name, message->idempotency_key, p.call(c->endpoint, now, call));
}

void World::carry_out(const ConnRef& c, relay::CallId id, const std::string& message, const std::string& key,
                      const emulator::Plan& plan) {
  using Do = emulator::Plan::Do;
  auto& out = c->at_endpoint.at(id);
  rig::Call& seen = observed_.calls[out.seen];
  if (plan.what == Do::turn_back) {
    seen.proved_unrun = true, seen.proved_at = clock.now(), out.over = true;
    return to_relay(c, [c, id](Relay& r) { r.turned_back(c, id); });
  }
  if (plan.what == Do::go_away) {
    seen.proved_unrun = true, seen.proved_at = clock.now();
    c->went_away = true;
    std::vector<relay::CallId> taken;
    for (const auto& [other, o] : c->at_endpoint)
      if (other != id) taken.push_back(other);
    return to_relay(c, [c, taken](Relay& r) { r.went_away(c, taken); });
  }
  const auto then = [this, c, id, message, key, plan] {
    Endpoint& e = endpoints_.at(c->endpoint);
    // What was taken takes effect, whether or not its caller still waits.
    if (plan.runs)
      effects_.push_back({clock.now(), c->endpoint, partner(e).settings().name, message, key});
    if (plan.what == Do::lose) return drop(c);
    const auto it = c->at_endpoint.find(id);
    if (plan.what != Do::answer || !c->open_here || it == c->at_endpoint.end() || it->second.over) return;
    const auto answer = [this, c, id, plan] {
      const auto at = c->at_endpoint.find(id);
      if (!c->open_here || at == c->at_endpoint.end() || at->second.over) return;
      rig::Call& s = observed_.calls[at->second.seen];
      s.answered_at = clock.now(), s.status = std::to_string(plan.status);
      s.told_wait = plan.wait <= 0 ? 0 : (plan.wait + 999'999) / 1'000'000 * 1'000'000;
      const bool unseen = script_->unseen_503(c->endpoint);
      if (plan.status == 429 || (plan.status == 503 && unseen))
        s.proved_unrun = true, s.proved_at = clock.now();
      if (plan.status == 429 || plan.status == 503) figures_.refused_calls++, second().refused_calls++;
      c->at_endpoint.erase(at);
      to_relay(c, [c, id, plan](Relay& r) { r.answered(c, id, plan.status, plan.wait); });
    };
    if (!partner(e).reads(c->endpoint))
      e.paused.push_back(answer);
    else
      answer();
  };
  if (plan.at <= clock.now()) return then();
  clock.at(plan.at, then);
}

void World::reset_call(const ConnRef& c, relay::CallId id) {
  clock.after(hop(), [this, c, id] {
    const auto it = c->at_endpoint.find(id);
    if (!c->open_here || it == c->at_endpoint.end() || it->second.over) return;
    it->second.over = true;
    auto& seen = observed_.calls[it->second.seen];
    seen.given_up_at = std::min(seen.given_up_at, clock.now());
  });
}

void World::ping(const ConnRef& c) {
  clock.after(hop(), [this, c] {
    if (!c->open_here || c->dead) return;
    Endpoint& e = endpoints_.at(c->endpoint);
    if (partner(e).dead(c->endpoint, clock.now() - c->last_used)) {
      c->dead = true;
      return;
    }
    c->last_used = clock.now();
    const auto ack = [this, c] {
      if (c->open_here) to_relay(c, [c](Relay& r) { r.pong(c); });
    };
    if (!partner(e).reads(c->endpoint))
      e.paused.push_back(ack);
    else
      ack();
  });
}

void World::forget(const ConnRef& c) {
  c->open_here = false;
  for (auto& [id, out] : c->at_endpoint) {
    auto& seen = observed_.calls[out.seen];
    seen.closed_at = std::min(seen.closed_at, clock.now());
  }
  c->at_endpoint.clear();
  endpoints_.at(c->endpoint).conns.erase(c);
}

void World::close_conn(const ConnRef& c) {
  clock.after(hop(), [this, c] { forget(c); });
}

void World::drop(const ConnRef& c) {
  if (!c->open_here) return;
  forget(c);
  to_relay(c, [c](Relay& r) { r.conn_lost(c, "reset by the endpoint"); });
}

void World::tell(int from, int whom, const std::string& body) {
  for (int r = 0; r < s_.relays; r++) {
    if (r == from || (whom >= 0 && whom != r) || !relay(r).up()) continue;
    if (notes_lost_ > 0 && std::uniform_real_distribution<double>()(random_) < notes_lost_) continue;
    relay(r).on_relay(clock.now() + hop(), [this, r, from, body] { relay(r).note(from, body); });
  }
}

// ---- Stage ----

void World::fault_begins(const std::string& id, const emulator::FaultSettings& f) {
  Endpoint& e = endpoints_.at(id);
  partner(e).begin(id, clock.now(), f);
  if (f.fault == emulator::Fault::few_streams) tell_streams(id);
  if (!emulator::ends_connections(f.fault)) return;
  const auto conns = e.conns;
  for (const auto& c : conns) drop(c);
}

void World::fault_ends(const std::string& id, emulator::Fault f) {
  Endpoint& e = endpoints_.at(id);
  partner(e).end(id, clock.now(), f);
  if (f == emulator::Fault::few_streams) tell_streams(id);
  if (f != emulator::Fault::pause) return;
  auto paused = std::move(e.paused);
  e.paused.clear();
  for (auto& g : paused) g();
}

void World::tell_streams(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  const auto streams = static_cast<std::uint32_t>(partner(e).streams(id));
  for (const auto& c : e.conns) to_relay(c, [c, streams](Relay& r) { r.streams_told(c, streams); });
}

std::string World::add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) {
  endpoints_[settings.id] = {d, settings, {}, {}, false, false};
  partners_[d]->add(settings);
  return next_address();
}

void World::stop_endpoint(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  e.stopped = true;
  for (const auto& c : e.conns) {
    std::vector<relay::CallId> taken;
    for (const auto& [call, o] : c->at_endpoint) taken.push_back(call);
    c->went_away = true;
    to_relay(c, [c, taken](Relay& r) { r.went_away(c, taken); });
  }
}

void World::vanish_endpoint(const std::string& id) {
  Endpoint& e = endpoints_.at(id);
  e.vanished = true;
  const auto conns = e.conns;
  for (const auto& c : conns) drop(c);
}

void World::set_slowness(double times) {
  for (auto& [id, e] : endpoints_) partner(e).place_of(id).set_slowness(times);
}

void World::publish(const config::PartnerList& list, Listing how) {
  list_state_ = how;
  if (how == Listing::whole) list_ = list;
  for (auto& r : relays_) {
    const auto phase = static_cast<Time>(random_(static_cast<std::uint64_t>(template_.partners_reread)));
    if (r->up()) r->on_relay(clock.now() + phase, [relay = r.get()] { relay->look_at_list(); });
  }
}

void World::crash(int r) {
  const std::string name = relay(r).name();
  relay(r).crash();
  clock.after(hop(), [this, name] {
    std::vector<std::pair<std::size_t, rig::LoadBook::Message>> lost;
    for (auto& [i, m] : open_)
      if (observed_.tries[i].relay == name) lost.emplace_back(i, m);
    for (auto& [i, m] : lost) {
      open_.erase(i);
      observed_.tries[i].closed_at = clock.now();
      const auto next = book_.lost(m, clock.now());
      follow(std::move(m), next);
    }
  });
}

// ---- Clients ----

Figures::Second& World::second() {
  const auto i = static_cast<std::size_t>((clock.now() - begun_) / 1'000'000);
  while (figures_.seconds.size() <= i) {
    figures_.seconds.emplace_back();
    figures_.seconds.back().served_by_class.resize(s_.load.classes.size());
  }
  return figures_.seconds[i];
}

void World::ask() {
  if (!asking_) return;
  auto m = book_.ask(clock.now());
  second().asked++;
  submit(std::move(m));
  clock.after(book_.gap(), [this] { ask(); });
}

void World::submit(rig::LoadBook::Message m) {
  // Messages of one key keep to one relay while it runs; the others go round.
  const auto n = relays_.size();
  std::size_t at = m.topic.empty() ? static_cast<std::size_t>(turn_++) : std::hash<std::string>()(m.topic),
              looked = 0;
  while (looked < n && !relays_[at % n]->up()) at++, looked++;
  if (looked == n) {
    clock.after(kFindsOut, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
    return;
  }
  Relay& r = *relays_[at % n];
  const auto& cls = s_.load.classes[m.cls];
  rig::Try t;
  t.relay = r.name(), t.message = book_.name_of(m), t.cls = cls.name;
  t.destination = s_.load.destinations[m.destination], t.topic = m.topic, t.key = m.key;
  t.sent_at = t.whole_at = clock.now(), t.ttl = book_.ttl(m, clock.now());
  relay::NewMessage message;
  message.message_class =
      static_cast<int>(std::find(template_.names.classes.begin(), template_.names.classes.end(), cls.name) -
                       template_.names.classes.begin());
  message.tenant = m.tenant, message.time_left = t.ttl;
  if (cls.ordered) message.order_key = t.destination + "/" + m.topic;
  message.idempotency_key = m.key;
  message.topic = t.destination + "/" + m.topic;  // read and taken off by the relay
  message.body = "id=" + t.message + ";class=" + cls.name + ";";
  book_.tried(m, clock.now());
  const std::size_t index = observed_.tries.size();
  observed_.tries.push_back(std::move(t));
  const bool gives_up = book_.gives_up();
  open_[index] = std::move(m);
  r.on_relay(clock.now() + hop(),
             [&r, index, message = std::move(message)]() mutable { r.take(index, std::move(message)); });
  if (!gives_up) return;
  clock.after(book_.gives_up_after(), [this, &r, index] {
    const auto it = open_.find(index);
    if (it == open_.end()) return;
    const auto gone = std::move(it->second);
    open_.erase(it);
    observed_.tries[index].reset_at = clock.now();
    book_.gave_up(gone);
    r.on_relay(clock.now() + hop(), [&r, index] { r.give_up(index); });
  });
}

void World::answer(std::size_t index, const char* status, Time back) {
  clock.after(hop(), [this, index, status, back] {
    rig::Try& t = observed_.tries[index];
    t.answers++;
    if (t.answered_at == kNever) t.answered_at = clock.now(), t.status = status;
    const auto it = open_.find(index);
    if (it == open_.end()) {
      figures_.doubled += t.reset_at == kNever && t.closed_at == kNever;
      return;
    }
    auto m = std::move(it->second);
    open_.erase(it);
    const bool served = status[0] == '2';
    if (served) {
      auto& s = second();
      s.served++, s.served_by_class[m.cls]++;
      s.in_aim += clock.now() - m.first_at <= s_.load.classes[m.cls].aim;
    }
    const auto next = book_.answered(m, status, back, clock.now());
    follow(std::move(m), next);
  });
}

void World::follow(rig::LoadBook::Message m, rig::LoadBook::Next next) {
  if (next.again) clock.after(next.wait, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
}

void World::sample() {
  std::size_t held = 0;
  for (const auto& r : relays_) held += r->held();
  second().held = held;
  figures_.held_most = std::max(figures_.held_most, held);
  clock.after(1'000'000, [this] { sample(); });
}

Figures World::run() {
  const auto started = std::chrono::steady_clock::now();
  begun_ = clock.now();
  std::uint64_t seed = s_.seed;
  for (std::size_t d = 0; d < s_.destinations.size(); d++) {
    auto settings = s_.destinations[d].settings;
    partners_.push_back(std::make_unique<emulator::Partner>(settings, ++seed * 104'729));
    for (const auto& e : settings.endpoints) endpoints_[e.id] = {d, e, {}, {}, false, false};
  }
  auto list = standin::partner_list(s_.destinations, template_.names, 1,
                                    [this](std::size_t, std::size_t) { return next_address(); });
  for (int i = 0; i < s_.relays; i++) relays_.push_back(std::make_unique<Relay>(*this, i));
  script_ = std::make_unique<rig::Script>(s_, template_, *this, std::move(list));
  for (auto& r : relays_) r->start();
  script_->play();
  ask(), sample();
  clock.run(begun_ + s_.lasts, [] { return false; });
  asking_ = false;
  clock.run(begun_ + s_.lasts + s_.settle, [this] { return book_.waiting() == 0; });
  // What was on its way when the last answer came.
  clock.run(clock.now() + 2'000'000, [] { return false; });
  script_->stop();

  Figures& f = figures_;
  for (const auto& c : s_.load.classes) f.class_names.push_back(c.name);
  f.tallies = book_.tallies();
  f.effects = effects_.size(), f.unanswered = book_.waiting(), f.events = clock.ran();
  for (const auto& r : relays_) f.connections += r->opened();
  std::set<const emulator::Place*> places;
  for (auto& [id, e] : endpoints_) places.insert(&partner(e).place_of(id));
  for (const auto* p : places) f.falls += static_cast<std::uint64_t>(p->falls());
  f.virtual_s = static_cast<double>(clock.now() - begun_) * 1e-6;
  if (options_.judge) {
    auto facts = script_->facts();
    facts.slack = 4 * hop() + template_.dispatcher.tick;  // nothing here is slow
    f.verdict = rig::check_rules(facts, observed_, effects_);
  }
  f.real_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  return std::move(figures_);
}

}  // namespace

std::uint64_t Figures::asked() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.asked;
  return n;
}
double Figures::served_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.served;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double Figures::in_aim_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.in_aim;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double Figures::attempts_per_message() const {
  return static_cast<double>(calls) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}

Figures run_virtual(const rig::Scenario& scenario, const WorldOptions& options) {
  return World(scenario, options).run();
}

}  // namespace cedarplank::lab
