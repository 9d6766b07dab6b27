#include "node/node.hpp"

#include <time.h>

#include <algorithm>

namespace cedarplank::node {
relay::Answers* Node::Router::take(MessageId id) {
  const auto it = places.find(id);
  if (it == places.end()) return nullptr;
  const Place place = it->second;
  places.erase(it);
  door.over(place.tenant, place.bytes);
  return place.to;
}
void Node::Router::served(MessageId id, const relay::Ending& ending) {
  if (auto* a = take(id)) a->served(id, ending);
}
void Node::Router::refused(MessageId id, Time come_back, const relay::Account& account) {
  if (auto* a = take(id)) a->refused(id, come_back, account);
}
void Node::Router::failed(MessageId id, const relay::Account& account) {
  if (auto* a = take(id)) a->failed(id, account);
}

Node::Node(loop::Loop& loop, config::RelaySettings settings, LogSink log, DeciderMaker decider, bool serve)
    : loop_(loop), settings_(std::move(settings)), log_(std::move(log)), door_(door_settings()) {
  core_log_.sink = log_;
  list_ = std::make_unique<ListFile>(
      loop_, settings_,
      ListFile::Host{.list =
                         [this](const config::PartnerList& list, bool cached) {
                           auto update = book_.take(list, loop_.now());
                           for (const auto& problem : update.problems) log_("list_problem", problem);
                           back_->set_endpoints(book_.list().endpoints);
                           if (update.whole)
                             core_->list_whole(std::move(update.endpoints), cached);
                           else
                             core_->list_changes(std::move(update.endpoints));
                           poke();
                         },
                     .failed = [this] { core_->list_failed(), poke(); },
                     .log = [this](const std::string& text) { log_("list", text); }});
  notes_ = std::make_unique<PeerNotes>(
      loop_, settings_, [this](int from, std::string body) { core_->note(from, std::move(body)), poke(); });
  if (serve)
    front_ = std::make_unique<gateway::Front>(
        loop_, settings_,
        gateway::Front::Host{
            .destination = [this](const std::string& name) { return book_.destination(name); },
            .take =
                [this](relay::NewMessage message, const std::function<void(MessageId)>& named) {
                  return take(std::move(message), *front_, named);
                },
            .withdraw = [this](MessageId id) { withdraw(id); },
            .streams = [this] { return door_.streams(); },
            .log = [this](const std::string& text) { log_("front", text); }});
  back_ = std::make_unique<gateway::Back>(
      loop_, settings_,
      gateway::Back::Host{
          .ended =
              [this](relay::CallId id, relay::Ending ending) {
                core_->call_ended(loop_.now(), id, std::move(ending)), poke();
              },
          .probe_ended = [this](const EndpointId& e, Outcome outcome,
                                Time latency) { core_->probe_ended(e, outcome, latency), poke(); },
          .wall = [] { return static_cast<std::int64_t>(time(nullptr)); },
          .log = [this](const std::string& text) { log_("back", text); }});
  core_ = std::make_unique<relay::Core>(settings_.dispatcher, decider(settings_.dispatcher, settings_.seed),
                                        relay::Core::Ports{*back_, router_, *list_, *notes_, core_log_});
  list_->start();
}

Node::~Node() {
  *alive_ = false;
  loop_.cancel(timer_);
}

admission::Settings Node::door_settings() const {
  admission::Settings s;
  s.held_max = static_cast<std::size_t>(settings_.dispatcher.open_max);
  s.bytes_max = settings_.held_bytes_max, s.lag_target = settings_.late_at;
  s.streams_max = settings_.client_streams_max;
  s.streams_min = std::min(s.streams_min, s.streams_max);
  for (const auto& t : settings_.dispatcher.tenants) s.weights.push_back(t.quota_per_s);
  return s;
}

relay::Entry Node::take(relay::NewMessage message, relay::Answers& to,
                        const std::function<void(MessageId)>& named) {
  poke();
  const MessageId id = next_message_++;
  const int tenant = message.tenant;
  const auto bytes = static_cast<std::int64_t>(message.body.size());
  named(id);
  const auto answer = door_.ask(tenant, bytes);
  if (answer != admission::Answer::take && !core_->stopping()) {
    core_->turned_away();
    return {relay::Core::Taken::full, text_of(answer)};
  }
  router_.places[id] = {&to, tenant, bytes};
  door_.taken(tenant, bytes);
  const auto taken = core_->take(loop_.now(), id, std::move(message));
  if (taken == relay::Core::Taken::yes) return {taken, ""};
  router_.take(id);
  return {taken, taken == relay::Core::Taken::full ? text_of(admission::Answer::full)
                                                   : "the relay is stopping; not taken"};
}

void Node::withdraw(MessageId id) {
  router_.take(id);
  core_->withdraw(id);
  poke();
}

void Node::end_all() { core_->end_all(loop_.refresh()); }

void Node::stop_taking() {
  core_->stop_taking();
  if (front_) front_->stop_taking();
}

void Node::apply(const config::RelaySettings& s) {
  settings_.drain_within = s.drain_within, settings_.stalled_after = s.stalled_after;
  settings_.body_max = s.body_max, settings_.body_total_max = s.body_total_max;
  settings_.endpoint_connections_max = s.endpoint_connections_max;
  settings_.endpoint_streams_max = s.endpoint_streams_max, settings_.partners_reread = s.partners_reread;
  settings_.endpoint_calls_at_risk = s.endpoint_calls_at_risk, settings_.handshakes_max = s.handshakes_max;
  settings_.endpoint_ping_after = s.endpoint_ping_after;
  settings_.endpoint_ping_timeout = s.endpoint_ping_timeout;
  settings_.held_bytes_max = s.held_bytes_max, settings_.late_at = s.late_at;
  door_.set(door_settings());
  back_->read_settings();
}

void Node::poke() {
  if (poked_) return;
  poked_ = true;
  // At the turn's end, so that all that one turn of the loop brought makes one round.
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    poked_ = false;
    turn();
  });
}

void Node::turn() {
  const Time begun = loop_.now();
  core_->turn(loop_.refresh());
  // How long what came in this turn of the loop had to wait for its work.
  const Time now = loop_.refresh();
  door_.late(now, now - begun);
  rearm();
}

void Node::rearm() {
  const Time due = core_->next_due();
  if (timer_ != 0 && timer_at_ <= due) return;  // it fires in time, and then looks again
  loop_.cancel(timer_), timer_ = 0;
  if (due == std::numeric_limits<Time>::max()) return;
  timer_at_ = due;
  timer_ = loop_.at(due, [this] {
    timer_ = 0;
    turn();
  });
}

}  // namespace cedarplank::node
