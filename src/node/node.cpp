#include "node/node.hpp"

#include <time.h>

#include <algorithm>

namespace cedarplank::node {
namespace {

constexpr Time kDrainLook = 10'000;      // how often a stop looks whether all answers are out
constexpr Time kLastAnswers = 1'000'000;  // time that they have after the drain's deadline

}  // namespace

Node::Node(loop::Loop& loop, config::RelaySettings settings, LogSink log, DeciderMaker decider)
    : loop_(loop), settings_(std::move(settings)), log_(std::move(log)) {
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
  notes_ = std::make_unique<PeerNotes>(loop_, settings_,
                                       [this](int from, std::string body) { core_->note(from, std::move(body)), poke(); });
  front_ = std::make_unique<gateway::Front>(
      loop_, settings_,
      gateway::Front::Host{
          .destination = [this](const std::string& name) { return book_.destination(name); },
          .take =
              [this](MessageId id, relay::NewMessage message) {
                poke();
                return core_->take(loop_.now(), id, std::move(message));
              },
          .withdraw = [this](MessageId id) { core_->withdraw(id), poke(); },
          .log = [this](const std::string& text) { log_("front", text); }});
  back_ = std::make_unique<gateway::Back>(
      loop_, settings_,
      gateway::Back::Host{
          .ended = [this](relay::CallId id, relay::Ending ending) { core_->call_ended(loop_.now(), id, std::move(ending)), poke(); },
          .probe_ended =
              [this](const EndpointId& e, Outcome outcome, Time latency) { core_->probe_ended(e, outcome, latency), poke(); },
          .wall = [] { return static_cast<std::int64_t>(time(nullptr)); },
          .log = [this](const std::string& text) { log_("back", text); }});
  core_ = std::make_unique<relay::Core>(settings_.dispatcher, decider(settings_.dispatcher, settings_.seed),
                                        relay::Core::Ports{*back_, *front_, *list_, *notes_, core_log_});
  list_->start();
}

Node::~Node() {
  *alive_ = false;
  for (const auto id : {timer_, drain_timer_, poll_timer_}) loop_.cancel(id);
}

void Node::poke() {
  if (poked_) return;
  poked_ = true;
  // At the turn's end, so that all that one turn of the loop brought makes one round.
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    poked_ = false;
    core_->turn(loop_.refresh());
    rearm();
  });
}

void Node::rearm() {
  const Time due = core_->next_due();
  if (timer_ != 0 && timer_at_ <= due) return;  // it fires in time, and then looks again
  loop_.cancel(timer_), timer_ = 0;
  if (due == std::numeric_limits<Time>::max()) return;
  timer_at_ = due;
  timer_ = loop_.at(due, [this] {
    timer_ = 0;
    core_->turn(loop_.now());
    rearm();
  });
}

void Node::drain(std::function<void(std::size_t)> done) {
  if (drained_) return;
  drained_ = std::move(done);
  core_->stop_taking();
  front_->stop_taking();
  drain_timer_ = loop_.after(settings_.drain_within, [this] {
    drain_timer_ = 0;
    ended_ = core_->held();
    core_->end_all(loop_.now());
    // Those that can't take their answers have no more than this.
    drain_timer_ = loop_.after(kLastAnswers, [this] {
      drain_timer_ = 0;
      loop_.cancel(poll_timer_), poll_timer_ = 0;
      if (drained_) drained_(ended_);
    });
  });
  check_drained();
}

void Node::check_drained() {
  poll_timer_ = 0;
  if (core_->held() == 0 && front_->drained()) {
    loop_.cancel(drain_timer_), drain_timer_ = 0;
    const auto done = std::move(drained_);
    if (done) done(ended_);
    return;
  }
  poll_timer_ = loop_.after(kDrainLook, [this] { check_drained(); });
}

}  // namespace cedarplank::node
