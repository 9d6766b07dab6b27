#include "node/node.hpp"

#include <time.h>

#include <algorithm>

#include "gateway/push_link.hpp"
#include "sms/bind_link.hpp"

namespace cedarplank::node {

Node::Node(loop::Loop& loop, config::RelaySettings settings, LogSink log, DeciderMaker decider, bool serve,
           const Heir& recovery)
    : loop_(loop), settings_(std::move(settings)), log_(std::move(log)) {
  core_log_.sink = log_;
  // First of all, so that a start that fails because the folder cannot be locked or read has no other effect.
  if (settings_.journal)
    journal_ = std::make_unique<Journal>(loop_, settings_,
                                         [this](const std::string& text) { log_("journal", text); });
  trace::Recorder::Sink trace_sink;
  if (!settings_.trace_file.empty()) {
    trace_file_ = std::make_unique<trace::File>(
        trace::File::Options{.file = settings_.trace_file,
                             .bytes = static_cast<std::size_t>(settings_.trace_file_bytes),
                             .files = static_cast<std::size_t>(settings_.trace_files)});
    trace_sink = [this](trace::Story&& s) { keep(std::move(s)); };
  }
  list_ = std::make_unique<ListFile>(
      loop_, settings_,
      ListFile::Host{.list =
                         [this](const config::PartnerList& list, bool cached) {
                           auto update = book_.take(list, loop_.now());
                           for (const auto& problem : update.problems) log_("list_problem", problem);
                           back_->set_endpoints(book_.list().endpoints);
                           if (update.whole)
                             desk_->core().list_whole(std::move(update.endpoints), cached);
                           else
                             desk_->core().list_changes(std::move(update.endpoints));
                           poke();
                         },
                     .failed = [this] { desk_->core().list_failed(), poke(); },
                     .log = [this](const std::string& text) { log_("list", text); }});
  notes_ = std::make_unique<PeerNotes>(loop_, settings_, [this](int from, std::string body) {
    desk_->core().note(from, std::move(body)), poke();
  });
  if (serve)
    front_ = std::make_unique<gateway::Front>(
        loop_, settings_,
        gateway::Front::Host{
            .destination = [this](const std::string& name) { return book_.destination(name); },
            .take =
                [this](relay::NewMessage message, const std::function<void(MessageId)>& on_id) {
                  return take(std::move(message), *front_, on_id);
                },
            .withdraw = [this](MessageId id) { withdraw(id); },
            .streams = [this] { return desk_->door().streams(); },
            .log = [this](const std::string& text) { log_("front", text); },
            .book = journal_ ? &journal_book_ : nullptr});
  if (serve && settings_.smpp)
    smpp_ = std::make_unique<sms::Front>(
        loop_, settings_,
        sms::Front::Host{.destination = [this](const std::string& name) { return book_.destination(name); },
                         .take =
                             [this](relay::NewMessage message, const std::function<void(MessageId)>& on_id) {
                               return take(std::move(message), *smpp_, on_id);
                             },
                         .withdraw = [this](MessageId id) { withdraw(id); },
                         .open = [this] { return desk_->door().streams(); },
                         .wall =
                             [] {
                               timespec t{};
                               clock_gettime(CLOCK_REALTIME, &t);
                               return std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000;
                             },
                         .log = [this](const std::string& text) { log_("smpp", text); },
                         .book = journal_ ? &journal_book_ : nullptr});
  back_ = std::make_unique<back::Driver>(
      settings_,
      back::Driver::Host{
          .now = [this] { return loop_.now(); },
          .defer = [this](std::function<void()> f) { loop_.defer(std::move(f)); },
          .at = [this](Time when, std::function<void()> f) { loop_.at(when, std::move(f)); },
          .connect = [this](const config::PartnerEndpoint& e, pool::LinkId n) { return connect(e, n); },
          .ended =
              [this](relay::CallId id, relay::Ending ending) {
                desk_->core().call_ended(loop_.now(), id, std::move(ending)), poke();
              },
          .probe_ended = [this](const EndpointId& e, Outcome outcome,
                                Time latency) { desk_->core().probe_ended(e, outcome, latency), poke(); },
          .carried = [this](const relay::CallOrder& call, pool::LinkId link,
                            std::uint32_t stream) { desk_->carried(loop_.now(), call, link, stream); },
          .log = [this](const std::string& text) { log_("back", text); }});
  std::function<relay::Desk::Ports::Between(relay::Answers&)> between;
  if (journal_)
    between = [this](relay::Answers& answers) -> relay::Desk::Ports::Between {
      auto& coordinator =
          journal_->connect({*back_, answers, [this](DestinationId id) { return book_.name_of(id); },
                             [this, alive = alive_](relay::CallId id, relay::Ending ending) {
                               if (!*alive) return;
                               desk_->core().call_ended(loop_.now(), id, std::move(ending));
                               poke();
                             }});
      return {coordinator, coordinator, coordinator};
    };
  desk_ = std::make_unique<relay::Desk>(
      settings_, decider(settings_.dispatcher, settings_.seed),
      relay::Desk::Ports{*back_, *list_, *notes_, core_log_, std::move(trace_sink), std::move(between)});
  list_->start();
  if (journal_) {
    journal_->recover(*desk_, book_,
                      {.held = [this, &recovery](MessageId id, const std::string& owner) -> relay::Answers& {
                         if (auto* to = recovery.held ? recovery.held(id, owner) : nullptr) return *to;
                         if (smpp_ && smpp_->restore(id, owner)) return *smpp_;
                         return front_ ? static_cast<relay::Answers&>(*front_) : nobody_;
                       },
                       .answered =
                           [this, &recovery](const journal::record::Answered& a) {
                             if (recovery.answered) recovery.answered(a);
                             if (smpp_)
                               smpp_->owed(a.id, a.owner, static_cast<sms::Receipt::State>(a.verdict),
                                           a.come_back);
                           }});
    poke();
  }
  if (trace_file_) look_at_trace();
}

Node::~Node() {
  *alive_ = false;
  loop_.cancel(timer_), loop_.cancel(trace_timer_);
}

const config::SmppBack* Node::smpp_of(int kind) const {
  const auto k = static_cast<std::size_t>(kind);
  if (k >= settings_.kind_wire.size()) return nullptr;
  const auto& smpp = settings_.kind_wire[k].smpp;
  return smpp ? &*smpp : nullptr;
}

std::unique_ptr<back::Link> Node::connect(const config::PartnerEndpoint& endpoint, pool::LinkId link) {
  const auto log = [this](const std::string& text) { log_("back", text); };
  if (smpp_of(endpoint.kind) != nullptr)
    return std::make_unique<sms::BindLink>(loop_, settings_, endpoint, link, *back_, log);
  return std::make_unique<gateway::PushLink>(
      loop_, settings_, endpoint, link, *back_,
      gateway::PushLink::Host{.wall = [] { return static_cast<std::int64_t>(time(nullptr)); }, .log = log});
}

void Node::keep(trace::Story&& s) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  s.wall = std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000 - (loop_.now() - s.taken);
  s.message = settings_.name + "-" + std::to_string(s.id);
  trace_file_->write(s);
}

// Written traces are visible in the file within a second. Lost traces are logged every ten seconds, in one
// line for each cause.
void Node::look_at_trace() {
  trace_file_->flush();
  const auto log_lost = [this](std::uint64_t now, std::uint64_t& logged, const std::string& why) {
    if (now > logged) log_("trace", std::to_string(now - logged) + " stories lost: " + why);
    logged = now;
  };
  if (trace_looks_++ % 10 == 0) {
    const auto& counts = desk_->stories()->counts();
    log_lost(counts.shed, trace_told_.shed, "trace.memory is full");
    log_lost(counts.dropped, trace_told_.dropped, "more than trace.rate");
    log_lost(trace_file_->lost(), trace_told_.slow, "the disk is too slow");
    log_lost(trace_file_->errors(), trace_told_.errors, trace_file_->last_error());
  }
  trace_timer_ = loop_.after(1'000'000, [this] { look_at_trace(); });
}

relay::Entry Node::take(relay::NewMessage message, relay::Answers& to,
                        const std::function<void(MessageId)>& on_id) {
  const std::string& destination = book_.name_of(message.destination);
  if (const auto* smpp = smpp_of(book_.kind_of(message.destination))) {
    const auto cls = static_cast<std::size_t>(message.message_class);
    if (const char* why = sms::unfit(*smpp, message, settings_.dispatcher.classes[cls].effect)) {
      on_id(0);
      return {relay::Core::Taken::unfit, why};
    }
  }
  if (journal_)
    if (const char* why = journal_->turns_away()) {
      desk_->core().turned_away();
      on_id(0);
      return {relay::Core::Taken::full, why};
    }
  poke();
  return desk_->take(loop_.now(), std::move(message), destination, to, on_id);
}

void Node::withdraw(MessageId id) {
  desk_->withdraw(loop_.now(), id);
  poke();
}

void Node::end_all() { desk_->core().end_all(loop_.refresh()); }

void Node::stop_taking() {
  desk_->core().stop_taking();
  if (front_) front_->stop_taking();
  if (smpp_) smpp_->stop_taking();
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
  settings_.held_bytes_max = s.held_bytes_max, settings_.late_at = s.late_at;
  desk_->set(settings_);
  back_->read_settings();
}

void Node::poke() {
  if (poked_) return;
  poked_ = true;
  // At the end of the turn, so that all events of one turn of the loop are handled in one round.
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    poked_ = false;
    turn();
  });
}

void Node::turn() {
  const Time begun = loop_.now();
  desk_->core().turn(loop_.refresh());
  // Reports to admission control how long the events of this turn of the loop had to wait.
  const Time now = loop_.refresh();
  desk_->door().late(now, now - begun);
  rearm();
}

void Node::rearm() {
  const Time due = desk_->core().next_due();
  if (timer_ != 0 && timer_at_ <= due) return;  // it fires early enough, and sets the next one then
  loop_.cancel(timer_), timer_ = 0;
  if (due == std::numeric_limits<Time>::max()) return;
  timer_at_ = due;
  timer_ = loop_.at(due, [this] {
    timer_ = 0;
    turn();
  });
}

}  // namespace cedarplank::node
