// A relay in virtual time, and its end of simulated connections.
#include <algorithm>

#include "gateway/semantics.hpp"
#include "lab/day.hpp"

namespace cedarplank::lab::day {

Relay::Relay(World& world, int rank) : w_(world), rank_(rank), name_("relay-" + std::to_string(rank)) {
  settings_ = w_.settings();
  settings_.dispatcher.relays = w_.relays(), settings_.dispatcher.rank = rank;
  settings_.dispatcher.peers = true;  // as in runs on sockets, where each relay is configured with its peers
}

void Relay::start() {
  life_++, up_ = true, stalled_ = false, started_ = w_.clock.now();
  book_ = std::make_unique<relay::PartnerBook>();
  const std::uint64_t seed = w_.seed() * 1000 + static_cast<std::uint64_t>(rank_) + 1;
  settings_.seed = seed;
  trace::Recorder::Sink story;
  if (w_.keeps_stories())
    story = [this](trace::Story&& told) {
      told.message = name_ + "-" + std::to_string(life_) + "-" + std::to_string(told.id);
      w_.keep(std::move(told));
    };
  driver_ = make_driver();
  desk_ = std::make_unique<relay::Desk>(settings_, make_decider(w_.policy(), settings_.dispatcher, seed),
                                        relay::Desk::Ports{*driver_, *this, *this, *this, std::move(story)});
  poked_ = false, timer_at_ = 0;
  // If the list can't be read now, the relay starts from the copy that it kept of it.
  auto update = book_->take(w_.list(), w_.clock.now());
  set_endpoints();
  desk_->core().list_whole(std::move(update.endpoints), w_.list_state() != rig::Stage::Listing::whole);
  poke();
}

void Relay::crash() {
  up_ = false, life_++;
  opened_ += driver_->opened();
  desk_.reset(), driver_.reset(), try_of_.clear(), message_of_.clear(), backlog_.clear();
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
    if (timer_at_ != due) return;  // an earlier one has been set since
    timer_at_ = 0;
    desk_->core().turn(w_.clock.now());
    rearm_core();
  });
}

void Relay::take(std::size_t try_index, relay::NewMessage message) {
  const auto destination = book_->destination(message.topic.substr(0, message.topic.find('/')));
  if (!destination) return w_.answer(try_index, "404", 0);
  message.destination = *destination, message.topic.clear();
  const std::string destination_name = book_->name_of(*destination);
  MessageId id = 0;
  const auto entry =
      desk_->take(w_.clock.now(), std::move(message), destination_name, *this, [&](MessageId assigned) {
        id = assigned;
        try_of_[id] = try_index, message_of_[try_index] = id;
      });
  // As the push server does: a full buffer is a passing state, so the client is asked to retry after 1 s.
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

void Relay::set_endpoints() { driver_->set_endpoints(book_->list().endpoints); }

void Relay::tell(int whom, const std::string& body) { w_.tell(rank_, whom, body); }

std::unique_ptr<back::Driver> Relay::make_driver() {
  return std::make_unique<back::Driver>(
      settings_,
      back::Driver::Host{
          .now = [this] { return w_.clock.now(); },
          .defer = [this](std::function<void()> f) { on_relay_now(std::move(f)); },
          .at = [this](Time when, std::function<void()> f) { on_relay(when, std::move(f)); },
          .connect =
              [this](const config::PartnerEndpoint& e, pool::LinkId n) {
                auto c = std::make_shared<Conn>();
                c->relay = this, c->life = life_, c->endpoint = e.id, c->kind = e.kind, c->link = n;
                w_.connect(c);
                return std::make_unique<VirtualLink>(w_, c);
              },
          .ended =
              [this](relay::CallId id, relay::Ending ending) {
                desk_->core().call_ended(w_.clock.now(), id, std::move(ending)), poke();
              },
          .probe_ended = [this](const EndpointId& e, Outcome outcome,
                                Time latency) { desk_->core().probe_ended(e, outcome, latency), poke(); },
          .carried = [this](const relay::CallOrder& call, pool::LinkId link,
                            std::uint32_t stream) { desk_->carried(w_.clock.now(), call, link, stream); },
          .log = {}});
}

void Relay::end_on(const ConnRef& c, relay::CallId id, relay::Ending ending) {
  c->at_relay.erase(id);
  driver_->answered(c->endpoint, c->link, id, std::move(ending));
}

void Relay::standing(const ConnRef& c, std::uint32_t streams) {
  driver_->standing(c->endpoint, c->link, streams);
  driver_->pump(c->endpoint);
}

void Relay::streams_told(const ConnRef& c, std::uint32_t streams) {
  driver_->calls_max(c->endpoint, c->link, streams);
  driver_->pump(c->endpoint);
}

void Relay::conn_lost(const ConnRef& c, const std::string& why) { driver_->gone(c->endpoint, c->link, why); }

void Relay::conn_closed(const ConnRef& c) {
  on_relay_now([this, c] { conn_lost(c, "closed"); });
}

void Relay::answered(const ConnRef& c, relay::CallId id, int status, Time wait) {
  http2::Headers headers = {{":status", std::to_string(status)}};
  if (wait > 0) headers.push_back({"retry-after", std::to_string((wait + 999'999) / 1'000'000)});
  const auto& kinds = w_.settings().kind_wire;
  const auto kind = static_cast<std::size_t>(c->kind);
  driver_->heard(c->endpoint, c->link);
  end_on(c, id,
         gateway::ending_of_response(headers, kind < kinds.size() ? kinds[kind] : config::KindWire{}, 0));
}
void Relay::turned_back(const ConnRef& c, relay::CallId id) {
  driver_->heard(c->endpoint, c->link);
  end_on(c, id,
         gateway::ending_of_break(gateway::Break::refused_stream, http2::ErrorCode::refused_stream, ""));
}
void Relay::went_away(const ConnRef& c, const std::vector<relay::CallId>& taken) {
  driver_->heard(c->endpoint, c->link);
  driver_->draining(c->endpoint, c->link);
  std::vector<relay::CallId> untaken;
  for (const auto id : c->at_relay)
    if (std::find(taken.begin(), taken.end(), id) == taken.end()) untaken.push_back(id);
  for (const auto id : untaken)
    end_on(c, id, gateway::ending_of_break(gateway::Break::goaway, http2::ErrorCode::no_error, ""));
  driver_->pump(c->endpoint);
}
void Relay::pong(const ConnRef& c) {
  driver_->heard(c->endpoint, c->link);
  driver_->pong(c->endpoint, c->link);
  driver_->pump(c->endpoint);
}

// ---- The relay's end of a connection ----

back::Link::Submitted VirtualLink::submit(const relay::CallOrder& call, Time) {
  c_->at_relay.insert(call.id);
  w_.call(c_, call.id, call.message);
  return {Submitted::Went::yes, 0, {}};
}
void VirtualLink::reset(relay::CallId call) {
  c_->at_relay.erase(call);
  w_.reset_call(c_, call);
}
void VirtualLink::ping() { w_.ping(c_); }
void VirtualLink::close() {
  drop();
  c_->relay->conn_closed(c_);
}
void VirtualLink::drop() {
  if (!closed_) w_.close_conn(c_);
  closed_ = true;
}
relay::Ending VirtualLink::ending_when_lost(relay::CallId, const std::string& why) {
  return gateway::ending_of_break(gateway::Break::reset, http2::ErrorCode::no_error, why);
}

}  // namespace cedarplank::lab::day
