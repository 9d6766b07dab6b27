#include "node/node.hpp"

#include <time.h>

#include <algorithm>

#include "relay/story.hpp"

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
  if (!settings_.trace_file.empty()) {
    trace_file_ = std::make_unique<trace::File>(
        trace::File::Options{settings_.trace_file, static_cast<std::size_t>(settings_.trace_file_bytes),
                             static_cast<std::size_t>(settings_.trace_files)});
    trace_ = std::make_unique<trace::Recorder>(
        relay::trace_settings(settings_), settings_.seed, [this](trace::Story&& s) {
          timespec t{};
          clock_gettime(CLOCK_REALTIME, &t);
          s.wall = std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000 - (loop_.now() - s.taken);
          s.message = settings_.name + "-" + std::to_string(s.id);
          trace_file_->write(s);
        });
    look_at_trace();
  }
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
          .carried =
              [this](const relay::CallOrder& call, pool::LinkId link, http2::StreamId stream) {
                if (!trace_) return;
                trace::Step step;
                step.at = loop_.now(), step.what = trace::Step::What::carried, step.attempt = call.attempt;
                step.connection = link, step.stream = stream;
                trace_->step(call.message_id, std::move(step));
              },
          .wall = [] { return static_cast<std::int64_t>(time(nullptr)); },
          .log = [this](const std::string& text) { log_("back", text); }});
  core_ = std::make_unique<relay::Core>(
      settings_.dispatcher, decider(settings_.dispatcher, settings_.seed),
      relay::Core::Ports{*back_, router_, *list_, *notes_, core_log_, trace_.get()});
  list_->start();
}

Node::~Node() {
  *alive_ = false;
  loop_.cancel(timer_), loop_.cancel(trace_timer_);
}

// What was written shows within a second; what was lost is told once for all that came since.
void Node::look_at_trace() {
  trace_file_->flush();
  const auto lost = trace_file_->lost() + trace_file_->errors();
  if (lost > trace_lost_)
    log_("trace", std::to_string(lost - trace_lost_) + " stories not written: " +
                      (trace_file_->errors() > 0 ? trace_file_->last_error() : "the disk is too slow"));
  trace_lost_ = lost;
  trace_timer_ = loop_.after(1'000'000, [this] { look_at_trace(); });
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
  std::optional<trace::Head> story;
  if (trace_) story = relay::head_of(message, book_.name_of(message.destination), loop_.now(), settings_);
  const auto answer = door_.ask(tenant, bytes);
  if (answer != admission::Answer::take && !core_->stopping()) {
    core_->turned_away();
    if (story) trace_->turned_away(loop_.now(), id, std::move(*story), text_of(answer));
    return {relay::Core::Taken::full, text_of(answer)};
  }
  router_.places[id] = {&to, tenant, bytes};
  door_.taken(tenant, bytes);
  const auto taken = core_->take(loop_.now(), id, std::move(message));
  if (taken == relay::Core::Taken::yes) {
    if (story) trace_->begin(loop_.now(), id, std::move(*story));
    return {taken, ""};
  }
  router_.take(id);
  const char* why = taken == relay::Core::Taken::full ? text_of(admission::Answer::full)
                                                      : "the relay is stopping; not taken";
  if (story) trace_->turned_away(loop_.now(), id, std::move(*story), why);
  return {taken, why};
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
  settings_.trace_memory = s.trace_memory, settings_.trace_steps = s.trace_steps;
  settings_.trace_sample = s.trace_sample, settings_.trace_per_s = s.trace_per_s;
  settings_.trace_watch = s.trace_watch;
  if (trace_) trace_->set(relay::trace_settings(settings_));
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
