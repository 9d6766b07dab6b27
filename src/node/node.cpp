#include "node/node.hpp"

#include <time.h>

#include <algorithm>

#include "gateway/push_link.hpp"
#include "sms/bind_link.hpp"

namespace cedarplank::node {

Node::Node(loop::Loop& loop, config::RelaySettings settings, LogSink log, DeciderFactory decider, bool serve,
           const RecoveryHandler& recovery)
    : loop_(loop), settings_(std::move(settings)), log_(std::move(log)) {
  core_log_.sink = log_;
  // First of all, so that a start that fails because the folder cannot be locked or read has no other effect.
  if (settings_.journal)
    journal_ = std::make_unique<Journal>(loop_, settings_,
                                         [this](const std::string& text) { log_("journal", text); });
  trace::Recorder::Sink trace_sink;
  if (!settings_.trace_file.empty()) {
    trace_file_ = std::make_unique<trace::TraceFile>(
        trace::TraceFile::Options{.path = settings_.trace_file,
                                  .max_file_bytes = static_cast<std::size_t>(settings_.trace_file_bytes),
                                  .kept_files = static_cast<std::size_t>(settings_.trace_files)});
    trace_sink = [this](trace::MessageTrace&& s) { write_trace(std::move(s)); };
  }
  list_ = std::make_unique<PartnerListFile>(
      loop_, settings_,
      PartnerListFile::Host{.list =
                                [this](const config::PartnerList& list, bool cached) {
                                  auto update = partner_registry_.apply_list(list, loop_.now());
                                  for (const auto& problem : update.problems) log_("list_problem", problem);
                                  endpoint_driver_->set_endpoints(partner_registry_.list().endpoints);
                                  if (update.whole)
                                    assembly_->core().list_whole(std::move(update.endpoints), cached);
                                  else
                                    assembly_->core().list_changes(std::move(update.endpoints));
                                  schedule_turn();
                                },
                            .failed = [this] { assembly_->core().list_failed(), schedule_turn(); },
                            .log = [this](const std::string& text) { log_("list", text); }});
  notes_ = std::make_unique<PeerNotes>(loop_, settings_, [this](int from, std::string body) {
    assembly_->core().peer_note_received(from, std::move(body)), schedule_turn();
  });
  if (serve)
    push_server_ = std::make_unique<gateway::PushServer>(
        loop_, settings_,
        gateway::PushServer::Host{
            .find_destination =
                [this](const std::string& name) { return partner_registry_.find_destination(name); },
            .accept =
                [this](relay::NewMessage message, const std::function<void(MessageId)>& on_id) {
                  return accept(std::move(message), *push_server_, on_id);
                },
            .withdraw = [this](MessageId id) { withdraw(id); },
            .client_streams_max = [this] { return assembly_->admission_control().stream_limit(); },
            .log = [this](const std::string& text) { log_("front", text); },
            .message_registry = journal_ ? &message_index_ : nullptr});
  if (serve && settings_.smpp)
    smpp_server_ = std::make_unique<sms::SmppServer>(
        loop_, settings_,
        sms::SmppServer::Host{
            .find_destination =
                [this](const std::string& name) { return partner_registry_.find_destination(name); },
            .accept =
                [this](relay::NewMessage message, const std::function<void(MessageId)>& on_id) {
                  return accept(std::move(message), *smpp_server_, on_id);
                },
            .withdraw = [this](MessageId id) { withdraw(id); },
            .max_open_messages = [this] { return assembly_->admission_control().stream_limit(); },
            .wall_clock =
                [] {
                  timespec t{};
                  clock_gettime(CLOCK_REALTIME, &t);
                  return std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000;
                },
            .log = [this](const std::string& text) { log_("smpp", text); },
            .message_registry = journal_ ? &message_index_ : nullptr});
  endpoint_driver_ = std::make_unique<back::EndpointDriver>(
      settings_,
      back::EndpointDriver::Host{
          .now = [this] { return loop_.now(); },
          .defer = [this](std::function<void()> f) { loop_.defer(std::move(f)); },
          .at = [this](Time when, std::function<void()> f) { loop_.at(when, std::move(f)); },
          .connect = [this](const config::PartnerEndpoint& e, pool::LinkId n) { return connect(e, n); },
          .call_ended =
              [this](relay::CallId id, relay::CallResult ending) {
                assembly_->core().call_ended(loop_.now(), id, std::move(ending)), schedule_turn();
              },
          .probe_ended =
              [this](const EndpointId& e, Outcome outcome, Time latency) {
                assembly_->core().probe_ended(e, outcome, latency), schedule_turn();
              },
          .call_sent =
              [this](const relay::OutgoingCall& call, pool::LinkId link, std::uint32_t stream) {
                assembly_->attempt_sent(loop_.now(), call, link, stream);
              },
          .log = [this](const std::string& text) { log_("back", text); }});
  std::function<relay::RelayAssembly::Ports::Interceptors(relay::AnswerSink&)> between;
  if (journal_)
    between = [this](relay::AnswerSink& answers) -> relay::RelayAssembly::Ports::Interceptors {
      auto& coordinator = journal_->connect(
          {*endpoint_driver_, answers, [this](DestinationId id) { return partner_registry_.name_of(id); },
           [this, alive = alive_](relay::CallId id, relay::CallResult ending) {
             if (!*alive) return;
             assembly_->core().call_ended(loop_.now(), id, std::move(ending));
             schedule_turn();
           }});
      return {coordinator, coordinator, coordinator};
    };
  assembly_ = std::make_unique<relay::RelayAssembly>(
      settings_, decider(settings_.dispatcher, settings_.seed),
      relay::RelayAssembly::Ports{*endpoint_driver_, *list_, *notes_, core_log_, std::move(trace_sink),
                                  std::move(between)});
  list_->start();
  if (journal_) {
    journal_->recover(
        *assembly_, partner_registry_,
        {.held = [this, &recovery](MessageId id, const std::string& owner) -> relay::AnswerSink& {
           if (auto* to = recovery.held ? recovery.held(id, owner) : nullptr) return *to;
           if (smpp_server_ && smpp_server_->restore_message(id, owner)) return *smpp_server_;
           return push_server_ ? static_cast<relay::AnswerSink&>(*push_server_) : discarded_answers_;
         },
         .answered =
             [this, &recovery](const journal::record::Answered& a) {
               if (recovery.answered) recovery.answered(a);
               if (smpp_server_)
                 smpp_server_->restore_receipt(a.id, a.owner, static_cast<sms::Receipt::State>(a.verdict),
                                               a.come_back);
             }});
    schedule_turn();
  }
  if (trace_file_) flush_traces();
}

Node::~Node() {
  *alive_ = false;
  loop_.cancel(timer_), loop_.cancel(trace_timer_);
}

const config::SmppEndpointSettings* Node::smpp_settings_of(int kind) const {
  const auto k = static_cast<std::size_t>(kind);
  if (k >= settings_.kind_protocols.size()) return nullptr;
  const auto& smpp = settings_.kind_protocols[k].smpp;
  return smpp ? &*smpp : nullptr;
}

std::unique_ptr<back::Link> Node::connect(const config::PartnerEndpoint& endpoint, pool::LinkId link) {
  const auto log = [this](const std::string& text) { log_("back", text); };
  if (smpp_settings_of(endpoint.kind) != nullptr)
    return std::make_unique<sms::BindLink>(loop_, settings_, endpoint, link, *endpoint_driver_, log);
  return std::make_unique<gateway::PushLink>(
      loop_, settings_, endpoint, link, *endpoint_driver_,
      gateway::PushLink::Host{.wall_clock = [] { return static_cast<std::int64_t>(time(nullptr)); },
                              .log = log});
}

void Node::write_trace(trace::MessageTrace&& s) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  s.wall = std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000 - (loop_.now() - s.accepted_at);
  s.message = settings_.name + "-" + std::to_string(s.id);
  trace_file_->write(s);
}

// Written traces are visible in the file within a second. Lost traces are logged every ten seconds, in one
// line for each cause.
void Node::flush_traces() {
  trace_file_->flush();
  const auto log_lost = [this](std::uint64_t now, std::uint64_t& logged, const std::string& why) {
    if (now > logged) log_("trace", std::to_string(now - logged) + " stories lost: " + why);
    logged = now;
  };
  if (trace_flushes_++ % 10 == 0) {
    const auto& counts = assembly_->trace_recorder()->counts();
    log_lost(counts.discarded_for_memory, logged_trace_losses_.shed, "trace.memory is full");
    log_lost(counts.over_rate_limit, logged_trace_losses_.dropped, "more than trace.rate");
    log_lost(trace_file_->lost_traces(), logged_trace_losses_.slow, "the disk is too slow");
    log_lost(trace_file_->write_errors(), logged_trace_losses_.errors, trace_file_->last_error());
  }
  trace_timer_ = loop_.after(1'000'000, [this] { flush_traces(); });
}

relay::AcceptResult Node::accept(relay::NewMessage message, relay::AnswerSink& to,
                                 const std::function<void(MessageId)>& on_id) {
  const std::string& destination = partner_registry_.name_of(message.destination);
  if (const auto* smpp = smpp_settings_of(partner_registry_.kind_of(message.destination))) {
    const auto cls = static_cast<std::size_t>(message.message_class);
    if (const char* why = sms::unsupported_reason(*smpp, message, settings_.dispatcher.classes[cls].effect)) {
      on_id(0);
      return {relay::Core::AcceptStatus::unsupported, why};
    }
  }
  if (journal_ && !journal_->may_record(message)) {
    on_id(0);
    return {relay::Core::AcceptStatus::unsupported, "the journal takes no record so large"};
  }
  if (journal_)
    if (const char* why = journal_->rejection_reason()) {
      assembly_->core().count_rejected();
      on_id(0);
      return {relay::Core::AcceptStatus::full, why};
    }
  schedule_turn();
  return assembly_->accept(loop_.now(), std::move(message), destination, to, on_id);
}

void Node::withdraw(MessageId id) {
  assembly_->withdraw(loop_.now(), id);
  schedule_turn();
}

void Node::end_all() { assembly_->core().end_all(loop_.refresh_now()); }

void Node::stop_accepting() {
  assembly_->core().stop_accepting();
  if (push_server_) push_server_->stop_accepting();
  if (smpp_server_) smpp_server_->stop_accepting();
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
  assembly_->update_settings(settings_);
  endpoint_driver_->read_settings();
}

void Node::schedule_turn() {
  if (turn_scheduled_) return;
  turn_scheduled_ = true;
  // At the end of the turn, so that all events of one turn of the loop are handled in one round.
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    turn_scheduled_ = false;
    turn();
  });
}

void Node::turn() {
  const Time begun = loop_.now();
  assembly_->core().run_due(loop_.refresh_now());
  // Reports to admission control how long the events of this turn of the loop had to wait.
  const Time now = loop_.refresh_now();
  assembly_->admission_control().report_lag(now, now - begun);
  rearm();
}

void Node::rearm() {
  const Time due = assembly_->core().next_due();
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
