// A relay in virtual time, and its end of simulated connections.
#include <algorithm>

#include "gateway/semantics.hpp"
#include "lab/simulation_parts.hpp"

namespace cedarplank::lab::day {

SimulatedRelay::SimulatedRelay(Simulation& simulation, int rank)
    : simulation_(simulation), rank_(rank), name_("relay-" + std::to_string(rank)) {
  settings_ = simulation_.settings();
  settings_.dispatcher.relays = simulation_.relays(), settings_.dispatcher.rank = rank;
  settings_.dispatcher.peers = true;  // as in runs on sockets, where each relay is configured with its peers
}

void SimulatedRelay::start() {
  incarnation_++, up_ = true, stalled_ = false, started_ = simulation_.clock.now();
  registry_ = std::make_unique<relay::PartnerRegistry>();
  const std::uint64_t seed = simulation_.seed() * 1000 + static_cast<std::uint64_t>(rank_) + 1;
  settings_.seed = seed;
  trace::Recorder::Sink trace_sink;
  if (simulation_.traces_enabled())
    trace_sink = [this](trace::MessageTrace&& message_trace) {
      message_trace.message =
          name_ + "-" + std::to_string(incarnation_) + "-" + std::to_string(message_trace.id);
      simulation_.write_trace(std::move(message_trace));
    };
  driver_ = make_driver();
  assembly_ = std::make_unique<relay::RelayAssembly>(
      settings_, make_decider(simulation_.policy(), settings_.dispatcher, seed),
      relay::RelayAssembly::Ports{*driver_, *this, *this, *this, std::move(trace_sink)});
  turn_scheduled_ = false, timer_at_ = 0;
  // If the list can't be read now, the relay starts from the copy that it kept of it.
  auto update = registry_->apply_list(simulation_.list(), simulation_.clock.now());
  set_endpoints();
  assembly_->core().list_whole(std::move(update.endpoints),
                               simulation_.list_state() != rig::ScenarioEnvironment::ListState::complete);
  schedule_turn();
}

void SimulatedRelay::crash() {
  up_ = false, incarnation_++;
  connections_opened_ += driver_->connections_opened();
  assembly_.reset(), driver_.reset(), try_by_message_.clear(), message_by_try_.clear(), stalled_work_.clear();
}

void SimulatedRelay::resume() {
  stalled_ = false;
  auto all = std::move(stalled_work_);
  stalled_work_.clear();
  for (auto& f : all) f();
}

void SimulatedRelay::run_at(Time when, std::function<void()> f) {
  simulation_.clock.at(when, [this, life = incarnation_, f = std::move(f)]() mutable {
    if (life != incarnation_ || !up_) return;
    if (stalled_)
      stalled_work_.push_back(std::move(f));
    else
      f();
  });
}
void SimulatedRelay::run_soon(std::function<void()> f) { run_at(simulation_.clock.now(), std::move(f)); }

void SimulatedRelay::schedule_turn() {
  if (turn_scheduled_) return;
  turn_scheduled_ = true;
  run_soon([this] {
    turn_scheduled_ = false;
    assembly_->core().run_due(simulation_.clock.now());
    rearm_core_timer();
  });
}

void SimulatedRelay::rearm_core_timer() {
  const Time due = assembly_->core().next_due();
  if (due == kNever || (timer_at_ > simulation_.clock.now() && timer_at_ <= due)) return;
  timer_at_ = due;
  run_at(due, [this, due] {
    if (timer_at_ != due) return;  // an earlier one has been set since
    timer_at_ = 0;
    assembly_->core().run_due(simulation_.clock.now());
    rearm_core_timer();
  });
}

void SimulatedRelay::submit(std::size_t try_index, relay::NewMessage message) {
  const auto destination = registry_->find_destination(message.topic.substr(0, message.topic.find('/')));
  if (!destination) return simulation_.answer(try_index, "404", 0);
  message.destination = *destination, message.topic.clear();
  const std::string destination_name = registry_->name_of(*destination);
  MessageId id = 0;
  const auto entry = assembly_->accept(simulation_.clock.now(), std::move(message), destination_name, *this,
                                       [&](MessageId assigned) {
                                         id = assigned;
                                         try_by_message_[id] = try_index, message_by_try_[try_index] = id;
                                       });
  // As the push server does: a full buffer is a passing state, so the client is asked to retry after 1 s.
  if (entry.status != relay::Core::AcceptStatus::accepted)
    answer(id, "503", entry.status == relay::Core::AcceptStatus::full ? 1'000'000 : 0);
  schedule_turn();
}

void SimulatedRelay::abandon(std::size_t try_index) {
  const auto it = message_by_try_.find(try_index);
  if (it == message_by_try_.end()) return;
  const MessageId id = it->second;
  try_by_message_.erase(id), message_by_try_.erase(it);
  assembly_->withdraw(simulation_.clock.now(), id);
  schedule_turn();
}

void SimulatedRelay::answer(MessageId id, const char* status, Time back) {
  const auto it = try_by_message_.find(id);
  if (it == try_by_message_.end()) return;
  const std::size_t index = it->second;
  try_by_message_.erase(it), message_by_try_.erase(index);
  simulation_.answer(index, status, back <= 0 ? 0 : (back + 999'999) / 1'000'000 * 1'000'000);
}

void SimulatedRelay::reread_list() {
  if (simulation_.list_state() != rig::ScenarioEnvironment::ListState::complete) {
    assembly_->core().list_failed();
    run_at(simulation_.clock.now() + simulation_.settings().partners_reread, [this] { reread_list(); });
    return schedule_turn();
  }
  auto update = registry_->apply_list(simulation_.list(), simulation_.clock.now());
  set_endpoints();
  assembly_->core().list_changes(std::move(update.endpoints));
  schedule_turn();
}

void SimulatedRelay::set_endpoints() { driver_->set_endpoints(registry_->list().endpoints); }

void SimulatedRelay::send_note(int whom, const std::string& body) {
  simulation_.send_note(rank_, whom, body);
}

std::unique_ptr<back::EndpointDriver> SimulatedRelay::make_driver() {
  return std::make_unique<back::EndpointDriver>(
      settings_, back::EndpointDriver::Host{
                     .now = [this] { return simulation_.clock.now(); },
                     .defer = [this](std::function<void()> f) { run_soon(std::move(f)); },
                     .at = [this](Time when, std::function<void()> f) { run_at(when, std::move(f)); },
                     .connect =
                         [this](const config::PartnerEndpoint& e, pool::LinkId n) {
                           auto c = std::make_shared<Connection>();
                           c->relay = this, c->incarnation = incarnation_, c->endpoint = e.id,
                           c->kind = e.kind, c->link = n;
                           simulation_.connect(c);
                           return std::make_unique<SimulatedLink>(simulation_, c);
                         },
                     .call_ended =
                         [this](relay::CallId id, relay::CallResult ending) {
                           assembly_->core().call_ended(simulation_.clock.now(), id, std::move(ending)),
                               schedule_turn();
                         },
                     .probe_ended =
                         [this](const EndpointId& e, Outcome outcome, Time latency) {
                           assembly_->core().probe_ended(e, outcome, latency), schedule_turn();
                         },
                     .call_sent =
                         [this](const relay::OutgoingCall& call, pool::LinkId link, std::uint32_t stream) {
                           assembly_->attempt_sent(simulation_.clock.now(), call, link, stream);
                         },
                     .log = {}});
}

void SimulatedRelay::end_call(const ConnectionRef& c, relay::CallId id, relay::CallResult ending) {
  c->relay_calls.erase(id);
  driver_->call_answered(c->endpoint, c->link, id, std::move(ending));
}

void SimulatedRelay::connection_ready(const ConnectionRef& c, std::uint32_t streams) {
  driver_->connection_ready(c->endpoint, c->link, streams);
  driver_->pump(c->endpoint);
}

void SimulatedRelay::streams_changed(const ConnectionRef& c, std::uint32_t streams) {
  driver_->set_calls_max(c->endpoint, c->link, streams);
  driver_->pump(c->endpoint);
}

void SimulatedRelay::connection_lost(const ConnectionRef& c, const std::string& why) {
  driver_->connection_closed(c->endpoint, c->link, why);
}

void SimulatedRelay::connection_closed(const ConnectionRef& c) {
  run_soon([this, c] { connection_lost(c, "closed"); });
}

void SimulatedRelay::call_answered(const ConnectionRef& c, relay::CallId id, int status, Time wait) {
  http2::Headers headers = {{":status", std::to_string(status)}};
  if (wait > 0) headers.push_back({"retry-after", std::to_string((wait + 999'999) / 1'000'000)});
  const auto& kinds = simulation_.settings().kind_protocols;
  const auto kind = static_cast<std::size_t>(c->kind);
  driver_->data_received(c->endpoint, c->link);
  end_call(
      c, id,
      gateway::result_of_response(headers, kind < kinds.size() ? kinds[kind] : config::KindProtocol{}, 0));
}
void SimulatedRelay::stream_refused(const ConnectionRef& c, relay::CallId id) {
  driver_->data_received(c->endpoint, c->link);
  end_call(c, id,
           gateway::result_of_interruption(gateway::Interruption::refused_stream,
                                           http2::ErrorCode::refused_stream, ""));
}
void SimulatedRelay::goaway_received(const ConnectionRef& c, const std::vector<relay::CallId>& taken) {
  driver_->data_received(c->endpoint, c->link);
  driver_->connection_draining(c->endpoint, c->link);
  std::vector<relay::CallId> untaken;
  for (const auto id : c->relay_calls)
    if (std::find(taken.begin(), taken.end(), id) == taken.end()) untaken.push_back(id);
  for (const auto id : untaken)
    end_call(c, id,
             gateway::result_of_interruption(gateway::Interruption::goaway, http2::ErrorCode::no_error, ""));
  driver_->pump(c->endpoint);
}
void SimulatedRelay::pong_received(const ConnectionRef& c) {
  driver_->data_received(c->endpoint, c->link);
  driver_->pong_received(c->endpoint, c->link);
  driver_->pump(c->endpoint);
}

// ---- The relay's end of a connection ----

back::Link::SubmitResult SimulatedLink::submit(const relay::OutgoingCall& call, Time) {
  connection_->relay_calls.insert(call.id);
  simulation_.call(connection_, call.id, call.message);
  return {SubmitResult::Status::sent, 0, {}};
}
void SimulatedLink::reset(relay::CallId call) {
  connection_->relay_calls.erase(call);
  simulation_.reset_call(connection_, call);
}
void SimulatedLink::ping() { simulation_.ping(connection_); }
void SimulatedLink::close() {
  drop();
  connection_->relay->connection_closed(connection_);
}
void SimulatedLink::drop() {
  if (!closed_) simulation_.close_connection(connection_);
  closed_ = true;
}
relay::CallResult SimulatedLink::ending_when_lost(relay::CallId, const std::string& why) {
  return gateway::result_of_interruption(gateway::Interruption::reset, http2::ErrorCode::no_error, why);
}

}  // namespace cedarplank::lab::day
