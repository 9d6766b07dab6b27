#include "platform/endpoint_transport.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "platform/memory_budget.hpp"
#include "platform/semantics.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kIdleMargin = 250'000;  // before the endpoint's idle time: its close must not cross a call
constexpr Time kSweepInterval = 50'000;
// From the call's other bytes to its last one, for a dead connection to show.
constexpr Time kLastByteDelay = 2'000;
constexpr Time kHeadTimeout = 100'000;          // from a status line with 200 to the end of the head
constexpr Time kReconnectDelay = 30'000;        // until the next try after this machine ran out of a resource
constexpr std::size_t kMaxPeekedBytes = 1'024;  // looked at on an idle connection, for the log
constexpr Time kRestTimeout = 1'000'000;        // from an outcome to the end of the answer

constexpr std::size_t kMaxCarriedIds = 1'024;  // names of messages that a connection may carry in its life
constexpr const char* kTakenOver = "another endpoint has its address";

// Whether the outcome forbids sends that might follow it: of the message, or to the destination for a time.
bool binds_later_sends(const relay::CallResult& ending) {
  return ending.told_wait > 0 || ending.retry_status != relay::RetryStatus::allowed;
}

}  // namespace

EndpointTransport::EndpointTransport(loop::Loop& loop, Bounds bounds, Host host)
    : loop_(loop), bounds_(bounds), host_(std::move(host)) {
  sweep_timer_ = loop_.after(kSweepInterval, [this] { close_expired(); });
}

EndpointTransport::~EndpointTransport() {
  loop_.cancel(sweep_timer_);
  for (const auto& [n, conn] : connections_) {
    loop_.cancel(conn->timer);
    // A call in flight now is ended as possibly run at the next start; reset, it can't be delivered after
    // that.
    conn->stream->close(conn->message_count > 0 && conn->stream->has_unacknowledged_data());
  }
}

void EndpointTransport::apply_list(const Catalogue& catalogue) {
  auto before = std::move(processes_);
  processes_.clear();
  if (!catalogue.whole) processes_ = before;
  for (const auto& l : catalogue.endpoints) {
    if (l.endpoint.listing == Listing::gone) {
      processes_.erase(l.endpoint.id);
      continue;
    }
    processes_[l.endpoint.id] = {l.address, l.started_ms};
    kinds_[l.endpoint.id] = l.endpoint.kind;
  }
  const auto unlisted = [this](const EndpointId& id) { return processes_.count(id) == 0; };
  std::erase_if(kinds_, [&](const auto& entry) { return unlisted(entry.first); });
  std::erase_if(unconfirming_, unlisted);
  for (const auto& [id, process] : before) {
    const auto it = processes_.find(id);
    if (it != processes_.end() && it->second == process) continue;
    close_idle(id);
    if (it != processes_.end()) end_unsent(id, "its endpoint has started anew or moved");
  }
}

std::vector<EndpointTransport::ConnectionPtr> EndpointTransport::busy_connections(
    const EndpointId& endpoint) const {
  std::vector<ConnectionPtr> busy;
  for (const auto& [number, conn] : connections_)
    if (conn->endpoint == endpoint && conn->message_count > 0) busy.push_back(conn);
  return busy;
}

void EndpointTransport::end_unsent(const EndpointId& endpoint, const char* why) {
  for (const auto& conn : busy_connections(endpoint)) {
    if (!cannot_have_run(*conn)) continue;
    report_same_outcome(conn, {Outcome::not_sent, 0, {}, why, {}});
    close_connection(conn);
  }
}

void EndpointTransport::break_connections(const EndpointId& endpoint) {
  end_unsent(endpoint, kTakenOver);
  for (const auto& conn : busy_connections(endpoint)) {
    if (!conn->outcome_reported) report_same_outcome(conn, {Outcome::reset, 0, {}, kTakenOver, {}});
    close_connection(conn, CloseMode::reset);
  }
  close_idle(endpoint);
}

std::size_t EndpointTransport::memory() const {
  std::size_t bytes = 0;
  for (const auto& [number, conn] : connections_)
    bytes += MemoryPlan::kEndpointConnectionBytes + conn->stream->memory() + conn->reader.memory();
  return bytes;
}

void EndpointTransport::send(const relay::OutgoingCall& call) { queued_.push_back(call); }

void EndpointTransport::flush() {
  std::vector<relay::OutgoingCall> ordered;
  ordered.swap(queued_);
  std::map<std::uint64_t, std::size_t> positions;
  std::vector<std::vector<relay::OutgoingCall>> bundles;
  for (auto& call : ordered) {
    const auto [it, fresh] = positions.emplace(call.bundle, bundles.size());
    if (fresh) bundles.emplace_back();
    bundles[it->second].push_back(std::move(call));
  }
  counts_.calls += bundles.size();
  for (auto& bundle : bundles) assign_connection(std::move(bundle), loop_.now());
}

// The message that is waited for longest goes first. Guards against a call whose first message ends before
// the others: the endpoint may treat the whole call as abandoned and not answer it.
void EndpointTransport::assign_connection(std::vector<relay::OutgoingCall> bundle, Time ordered) {
  const EndpointId endpoint = bundle.front().endpoint;
  const auto at = processes_.find(endpoint);
  ConnectionPtr conn;
  if (at != processes_.end()) {
    conn = take_idle_connection(endpoint, at->second);
    if (!conn && ensure_capacity()) conn = open_connection(endpoint, at->second);
  }
  if (!conn) {
    const char* why = at == processes_.end() ? "its endpoint has left the list" : "no descriptor is left";
    // Deferred, so as not to call back within the core's own round.
    loop_.defer([this, weak = std::weak_ptr(alive_), bundle = std::move(bundle), why] {
      if (weak.expired()) return;
      for (const auto& call : bundle) host_.ended(call.id, {Outcome::not_sent, 0, {}, why, {}});
    });
    return;
  }
  std::stable_sort(bundle.begin(), bundle.end(),
                   [this](const auto& a, const auto& b) { return wait_key(a) > wait_key(b); });
  for (const auto& call : bundle) calls_[call.id] = conn;
  conn->message_count = bundle.size(), conn->members = std::move(bundle);
  conn->ordered_at = ordered, conn->outcome_reported = conn->writing_started = false;
  conn->idle_before_call = conn->call_count > 0 ? loop_.now() - conn->idle_since : 0;
  conn->call_count++;
  if (conn->connected) write_call(conn);
}

// How long a message that shares a call is waited for, as a sort key: if it may not be sent elsewhere
// meanwhile, until its deadline (see cancel()).
std::pair<Time, Time> EndpointTransport::wait_key(const relay::OutgoingCall& call) const {
  return bounds_.second_copies ? std::pair(call.timeout, call.time_left)
                               : std::pair(call.time_left, call.timeout);
}

// The call's bytes are built only when the connection is up. Guards against a message that ended or was
// abandoned meanwhile and would be sent along with the others of its call.
//
// A call runs only once its last byte has arrived, so that byte is sent a moment after the others. Guards
// against connections that the endpoint has abandoned and that fail only at the next request: if the call had
// been sent whole, it would be unknown whether it ran, and a message that must not run twice would be lost.
void EndpointTransport::write_call(const ConnectionPtr& conn) {
  std::vector<CallMessage> called;
  conn->called_ids.clear();
  for (const auto& m : conn->members) {
    called.push_back({m.message->owner, m.message->idempotency_key, m.message->body});
    conn->called_ids.push_back(m.message->owner);
  }
  const Time wait =
      called.size() == 1 ? conn->members.front().timeout : wait_key(conn->members.front()).first;
  const Time budget = std::max<Time>(1'000, wait - (loop_.now() - conn->ordered_at));
  bool names_are_new = true;
  for (const auto& id : conn->called_ids) names_are_new &= conn->carried_ids.insert(id).second;
  conn->proof = choose_proof(conn->call_count == 1, may_repeat(conn->members),
                             takes_bulk(conn->endpoint) && names_are_new && fits_bulk_call(called));
  // Only bulk answers say something in their body.
  conn->bulk = called.size() > 1 || conn->proof == AnswerProof::message_ids;
  conn->asks_to_close =
      conn->proof == AnswerProof::close_confirmed || unconfirming_.count(conn->endpoint) > 0;
  conn->reader.keep_body(conn->bulk ? bounds_.bulk_answer : 0);
  const auto option = conn->asks_to_close ? ConnectionOption::close : ConnectionOption::keep;
  const std::string request = conn->bulk ? bulk_call(called, budget, conn->process.address, option)
                                         : single_call(called.front(), budget, conn->process.address, option);
  conn->message_count = called.size(), conn->writing_started = true;
  conn->end_offset = conn->stream->bytes_written() + request.size(), conn->last_byte = request.back();
  conn->stream->write(std::string_view(request).substr(0, request.size() - 1));
  conn->timer = loop_.after(kLastByteDelay, [this, conn] {
    conn->timer = 0;
    conn->stream->write({&conn->last_byte, 1});
  });
}

// Moves a call that can't have run to another connection, with the messages that are left in it. Its kept
// connection broke before the last byte was sent, as if it had been found dead earlier, or one of its
// messages ended by then.
void EndpointTransport::move_to_other_connection(const ConnectionPtr& conn) {
  counts_.moved++;
  auto members = std::exchange(conn->members, {});
  close_connection(conn);  // first, to free its descriptor for the new connection
  for (const auto& m : members) calls_.erase(m.id);
  assign_connection(std::move(members), conn->ordered_at);
}

// Takes the most recently used idle connection; the others reach their idle time sooner.
EndpointTransport::ConnectionPtr EndpointTransport::take_idle_connection(const EndpointId& endpoint,
                                                                         const Process& process) {
  // Looked up again each time: closing an endpoint's last idle connection erases its map entry.
  for (auto it = idle_.find(endpoint); it != idle_.end() && !it->second.empty(); it = idle_.find(endpoint)) {
    const ConnectionPtr conn = it->second.back();
    it->second.pop_back();
    // Guards against a connection that was closed, or on which bytes arrived, since the last poll: a call
    // written to it might or might not run, or get the answer to another call.
    char unread[kMaxPeekedBytes];
    const ssize_t received = recv(conn->stream->descriptor(), unread, sizeof unread, MSG_PEEK | MSG_DONTWAIT);
    const bool quiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (received > 0) report_unasked(*conn, static_cast<std::size_t>(received));
    const bool old = loop_.now() - conn->idle_since > bounds_.idle - kIdleMargin;
    if (quiet && !old && conn->process == process) return counts_.reused++, conn;
    counts_.stale++;
    close_connection(conn);
  }
  return nullptr;
}

// Descriptors are limited: at the limit the longest idle connection to another endpoint is closed.
bool EndpointTransport::ensure_capacity() {
  if (connections_.size() < bounds_.connections) return true;
  ConnectionPtr oldest;
  for (const auto& [id, conns] : idle_)
    if (!conns.empty() && (!oldest || conns.front()->idle_since < oldest->idle_since)) oldest = conns.front();
  if (!oldest) return counts_.full++, false;
  close_connection(oldest);
  return true;
}

EndpointTransport::ConnectionPtr EndpointTransport::open_connection(const EndpointId& endpoint,
                                                                    const Process& process) {
  auto conn = std::make_shared<Connection>();
  conn->number = next_connection_++, conn->endpoint = endpoint, conn->process = process;
  connections_[conn->number] = conn;
  counts_.opened++;
  connect(conn);
  return conn;
}

void EndpointTransport::connect(const ConnectionPtr& conn) {
  const std::weak_ptr<Connection> weak = conn;
  conn->stream = std::make_unique<net::TcpStream>(
      loop_, net::Address::parse(conn->process.address), bounds_.connect_timeout,
      net::Stream::Handlers{.connected =
                                [this, weak] {
                                  const auto l = weak.lock();
                                  if (!l) return;
                                  l->connected = true;
                                  if (l->message_count > 0) write_call(l);
                                },
                            .data =
                                [this, weak](std::string_view bytes) {
                                  if (const auto l = weak.lock()) handle_data(l, bytes);
                                },
                            .drained = {},
                            .closed =
                                [this, weak](const std::string& why) {
                                  if (const auto l = weak.lock()) handle_close(l, why);
                                }});
  // Guards against a call that the system goes on delivering after this process is killed, when the next
  // process has already ended its message (rule 1).
  conn->stream->reset_on_exit();
}

// A temporary lack of resources on this machine says nothing about the endpoint: its call waits and connects
// again, within the connect timeout. Guards against all endpoints being treated as down, and then as cold, at
// once.
bool EndpointTransport::reconnect_later(const ConnectionPtr& conn) {
  if (conn->connected || conn->message_count == 0 || !conn->stream->failed_locally()) return false;
  if (loop_.now() >= conn->ordered_at + bounds_.connect_timeout) return false;
  loop_.cancel(conn->timer);
  conn->timer = loop_.after(kReconnectDelay, [this, conn] {
    conn->timer = 0;
    connect(conn);
  });
  return true;
}

bool EndpointTransport::cannot_have_run(const Connection& conn) const {
  return !conn.writing_started || conn.stream->bytes_flushed() < conn.end_offset;
}

bool EndpointTransport::may_repeat(const std::vector<relay::OutgoingCall>& members) const {
  return std::all_of(members.begin(), members.end(), [this](const auto& member) {
    const auto cls = static_cast<std::size_t>(member.message->message_class);
    return cls < bounds_.repeatable_classes.size() && bounds_.repeatable_classes[cls];
  });
}

bool EndpointTransport::takes_bulk(const EndpointId& endpoint) const {
  const auto it = kinds_.find(endpoint);
  if (it == kinds_.end() || it->second < 0) return false;
  const auto kind = static_cast<std::size_t>(it->second);
  return kind < bounds_.bundle_max.size() && bounds_.bundle_max[kind] > 1;
}

void EndpointTransport::handle_data(const ConnectionPtr& conn, std::string_view bytes) {
  if (conn->message_count == 0) {
    report_unasked(*conn, bytes.size());
    return close_connection(conn);
  }
  while (true) {
    const auto taken = conn->reader.consume(bytes);
    bytes.remove_prefix(taken);
    conn->answer_bytes += taken;
    if (cannot_have_run(*conn)) return handle_early_answer(conn);
    if (!handle_answer(conn, bytes.size()) || bytes.empty()) return;
  }
}

bool EndpointTransport::handle_answer(const ConnectionPtr& conn, std::size_t bytes_left) {
  using State = http1::Parser::State;
  const auto state = conn->reader.state();
  if (state == State::broken) {
    counts_.spoilt++;
    log("malformed answer from " + conn->endpoint + ": " + conn->reader.problem());
    handle_malformed_answer(conn);
    return false;
  }
  if (state != State::complete) {
    if (!conn->bulk && !conn->outcome_reported) handle_answer_head(conn);
    if (conn->outcome_reported && conn->timer == 0)
      conn->timer = loop_.after(kRestTimeout, [this, conn] { conn->timer = 0, close_connection(conn); });
    return false;
  }
  const auto match = match_answer(*conn);
  if (match == AnswerMatch::foreign) {
    const auto said = ending_of(conn->reader.message());
    skip_foreign_answer(conn);
    if (!binds_later_sends(said)) return true;
    report_same_outcome(
        conn, {Outcome::error, said.told_wait, {}, said.detail + ", unproved", {}, said.retry_status});
    close_connection(conn);
    return false;
  }
  handle_whole_answer(conn, match, bytes_left);
  return false;
}

void EndpointTransport::handle_answer_head(const ConnectionPtr& conn) {
  if (conn->reader.response_status() != 200) return;
  if (conn->reader.state() != http1::Parser::State::body) {
    if (conn->timer == 0)
      conn->timer =
          loop_.after(kHeadTimeout, [this, conn] { conn->timer = 0, handle_malformed_answer(conn); });
    return;
  }
  if (match_answer(*conn) == AnswerMatch::own) report_outcomes(conn, {ending_of(conn->reader.message())});
}

void EndpointTransport::handle_whole_answer(const ConnectionPtr& conn, AnswerMatch match,
                                            std::size_t bytes_left) {
  const bool own = match == AnswerMatch::own;
  if (!own) counts_.unproved++;
  if (own && conn->asks_to_close) note_close_confirmation(conn, conn->reader.message().close);
  if (bytes_left > 0) report_unasked(*conn, bytes_left);
  // After an unproved answer the call may still be out, and a connection carries one call at a time.
  // No copy of an answer that binds later sends may meet a later call: it would have to be heeded.
  const bool binds =
      told_wait(conn->reader.message()) > 0 || binds_later_sends(ending_of(conn->reader.message()));
  const bool names_left = conn->carried_ids.size() < kMaxCarriedIds;
  const bool reusable = own && names_left && !binds && bytes_left == 0 && !conn->foreign_answers &&
                        !conn->asks_to_close && !conn->reader.message().close;
  if (!conn->outcome_reported) report_outcomes(conn, outcomes_of_answer(*conn));
  finish_call(conn, reusable);
}

// The call's own answer is still to come.
void EndpointTransport::skip_foreign_answer(const ConnectionPtr& conn) {
  loop_.cancel(conn->timer), conn->timer = 0;
  conn->foreign_answers = true;
  report_unasked(*conn, conn->answer_bytes);
  conn->reader.next();
  conn->answer_bytes = 0;
}

AnswerMatch EndpointTransport::match_answer(const Connection& conn) const {
  return platform::match_answer(conn.proof, conn.reader.message(), conn.called_ids);
}

std::vector<relay::CallResult> EndpointTransport::outcomes_of_answer(const Connection& conn) const {
  const auto& answer = conn.reader.message();
  if (!conn.bulk) return std::vector(conn.members.size(), ending_of(answer));
  std::vector<std::string> ids;
  for (const auto& member : conn.members) ids.push_back(member.message->owner);
  if (match_answer(conn) == AnswerMatch::own) return endings_of(answer, true, ids);
  const bool refusal = ending_of(answer).outcome != Outcome::served;
  auto endings = endings_of(answer, refusal, ids);
  for (auto& ending : endings) ending.detail += ", unproved";
  return endings;
}

bool EndpointTransport::status_proves_served(const Connection& conn) const {
  if (conn.bulk || conn.reader.response_status() != 200) return false;
  // The rest of the head may be missing or malformed.
  return conn.proof == AnswerProof::first_on_connection ||
         (conn.proof == AnswerProof::close_confirmed && conn.reader.message().lists("connection", "close"));
}

void EndpointTransport::note_close_confirmation(const ConnectionPtr& conn, bool confirmed) {
  if (confirmed) {
    unconfirming_.erase(conn->endpoint);
    return;
  }
  counts_.unconfirmed++;
  if (!unconfirming_.insert(conn->endpoint).second) return;
  log("no confirmation that a connection closes from " + conn->endpoint +
      ": each call gets a connection of its own");
  close_idle(conn->endpoint);
}

// The endpoint answered before the call's last byte, which is not written any more: it rejected the call
// without having read it. Whatever else the answer says, nothing has run.
void EndpointTransport::handle_early_answer(const ConnectionPtr& conn) {
  const auto state = conn->reader.state();
  loop_.cancel(conn->timer), conn->timer = 0;
  relay::CallResult ending{Outcome::connect_failed, 0, {}, "an answer before the call was whole", {}};
  if (state == http1::Parser::State::complete) {
    const auto said = ending_of(conn->reader.message());
    if (said.outcome == Outcome::full || said.outcome == Outcome::not_sent) ending = said;
  } else if (state != http1::Parser::State::broken) {
    conn->timer = loop_.after(kHeadTimeout, [this, conn, ending] {
      conn->timer = 0;
      finish_early_answer(conn, ending);
    });
    return;
  }
  finish_early_answer(conn, ending);
}

// On a connection that has carried a call before, the answer may be a copy of that call's: it ends nothing
// but the connection, unless it binds later sends.
void EndpointTransport::finish_early_answer(const ConnectionPtr& conn, const relay::CallResult& ending) {
  if (conn->call_count > 1 && !binds_later_sends(ending)) {
    report_unasked(*conn, conn->answer_bytes);
    return move_to_other_connection(conn);
  }
  report_same_outcome(conn, ending);
  close_connection(conn);
}

// The answer is malformed or incomplete: nothing more is read on this connection.
void EndpointTransport::handle_malformed_answer(const ConnectionPtr& conn) {
  if (!conn->outcome_reported) {
    relay::CallResult ending{
        Outcome::error, 0, {}, std::string("spoilt answer: ") + conn->reader.problem(), {}};
    if (status_proves_served(*conn)) ending = {Outcome::served, 0, {}, "200", {}};
    report_same_outcome(conn, ending);
  }
  close_connection(conn);
}

void EndpointTransport::handle_close(const ConnectionPtr& conn, const std::string& why) {
  if (reconnect_later(conn)) return;
  if (conn->message_count > 0 && !conn->outcome_reported)
    log("closed " + conn->endpoint + ": " + why + (cannot_have_run(*conn) ? ", nothing has run" : ""));
  conn->reader.end_of_input();
  if (conn->message_count > 0 && !conn->outcome_reported) {
    const bool whole = conn->reader.state() == http1::Parser::State::complete;
    if (cannot_have_run(*conn)) {
      // The last byte was never sent: the call has not run.
      if (conn->call_count > 1) return move_to_other_connection(conn);
      report_same_outcome(conn, {Outcome::connect_failed, 0, {}, why, {}});
    } else if (status_proves_served(*conn)) {
      report_same_outcome(conn, {Outcome::served, 0, {}, "200", {}});
    } else if (whole && match_answer(*conn) != AnswerMatch::foreign) {
      report_outcomes(conn, outcomes_of_answer(*conn));
    } else {
      report_same_outcome(conn, {Outcome::reset, 0, {}, why, {}});
    }
  }
  close_connection(conn);
}

void EndpointTransport::report_unasked(const Connection& conn, std::size_t bytes) {
  counts_.unasked++, counts_.unasked_bytes += bytes;
  if (host_.log == nullptr) return;
  host_.log->line(Event::unasked, conn.last_answered, [&] {
    return "endpoint=" + conn.endpoint + " connection=" + std::to_string(conn.number) +
           " calls=" + std::to_string(conn.call_count) + " bytes=" + std::to_string(bytes) +
           (conn.message_count == 0 ? " idle_ms=" + std::to_string((loop_.now() - conn.idle_since) / 1000)
                                    : " during a call");
  });
}

void EndpointTransport::log(const std::string& text) {
  if (host_.log != nullptr) host_.log->log_text(Event::endpoints, text);
}

// After a call: keeps the connection as idle, or closes it.
void EndpointTransport::finish_call(const ConnectionPtr& conn, bool reusable) {
  loop_.cancel(conn->timer), conn->timer = 0;
  if (!reusable || cannot_have_run(*conn) || processes_.count(conn->endpoint) == 0)
    return close_connection(conn);
  conn->reader.next();
  conn->answer_bytes = 0;
  conn->message_count = 0, conn->outcome_reported = false, conn->members.clear();
  conn->idle_since = loop_.now();
  idle_[conn->endpoint].push_back(conn);
}

void EndpointTransport::report_outcomes(const ConnectionPtr& conn,
                                        const std::vector<relay::CallResult>& endings) {
  conn->outcome_reported = true;
  auto members = std::move(conn->members);
  conn->members.clear();
  if (!members.empty()) conn->last_answered = members.front().message->owner;
  for (const auto& m : members) calls_.erase(m.id);
  for (std::size_t i = 0; i < members.size(); i++) {
    relay::CallResult ending = endings[i];
    ending.connection = {conn->number, conn->call_count, conn->idle_before_call};
    host_.ended(members[i].id, std::move(ending));
  }
}

void EndpointTransport::report_same_outcome(const ConnectionPtr& conn, const relay::CallResult& ending) {
  report_outcomes(conn, std::vector(conn->members.size(), ending));
}

void EndpointTransport::close_connection(const ConnectionPtr& conn, CloseMode how) {
  loop_.cancel(conn->timer), conn->timer = 0;
  const bool ended_unproved = conn->asks_to_close && conn->foreign_answers && !conn->outcome_reported;
  if (conn->message_count > 0 && ended_unproved) note_close_confirmation(conn, false);
  // Keeps the object alive: one of its own callbacks may be running now.
  loop_.defer([conn] {});
  conn->stream->close(how == CloseMode::reset);
  connections_.erase(conn->number);
  const auto it = idle_.find(conn->endpoint);
  if (it == idle_.end()) return;
  std::erase(it->second, conn);
  if (it->second.empty()) idle_.erase(it);
}

relay::Transport::CancelResult EndpointTransport::cancel(relay::CallId call) {
  const auto waiting =
      std::find_if(queued_.begin(), queued_.end(), [&](const auto& o) { return o.id == call; });
  if (waiting != queued_.end()) {
    queued_.erase(waiting);
    return CancelResult::queued;
  }
  const auto it = calls_.find(call);
  if (it == calls_.end()) return CancelResult::sent;
  const ConnectionPtr conn = it->second;
  const bool whole = !cannot_have_run(*conn), up = conn->connected;
  const auto member =
      std::find_if(conn->members.begin(), conn->members.end(), [&](const auto& m) { return m.id == call; });
  // The other messages of the call are still waited for, so their connection has to stay open, and this
  // message stays in flight on it. If that means it may not be sent elsewhere, it stays in the call.
  const bool over = loop_.now() >= conn->ordered_at + member->time_left;
  if (whole && conn->members.size() > 1 && !bounds_.second_copies && !over)
    return CancelResult::kept_in_bundle;
  calls_.erase(it);
  conn->members.erase(member);
  // Guards against bytes that wait in this machine's buffers: after a plain close the system would go on
  // delivering them once the message has ended (rule 1).
  if (conn->members.empty())
    close_connection(conn,
                     whole && conn->stream->has_unacknowledged_data() ? CloseMode::reset : CloseMode::plain);
  else if (!conn->writing_started)
    conn->message_count = conn->members.size();
  else if (!whole)
    move_to_other_connection(conn);
  return whole ? CancelResult::sent : up ? CancelResult::queued : CancelResult::connecting;
}

bool EndpointTransport::cancel_unsent(relay::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return cancel(call) == CancelResult::queued;
  if (!cannot_have_run(*it->second)) return false;
  cancel(call);
  return true;
}

// A call of several messages is not withheld: the others are still waited for.
bool EndpointTransport::cancel_buffered(relay::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || it->second->members.size() > 1 || !it->second->stream->has_unacknowledged_data())
    return false;
  cancel(call);
  return true;
}

std::vector<relay::CallId> EndpointTransport::cancel_all_unsent(const EndpointId& endpoint) {
  std::vector<relay::CallId> back;
  std::erase_if(queued_,
                [&](const auto& o) { return o.endpoint == endpoint && (back.push_back(o.id), true); });
  std::vector<ConnectionPtr> conns;
  for (const auto& [number, conn] : connections_)
    if (conn->endpoint == endpoint && conn->message_count > 0 && cannot_have_run(*conn))
      conns.push_back(conn);
  for (const auto& conn : conns) {
    for (const auto& m : conn->members) back.push_back(m.id), calls_.erase(m.id);
    close_connection(conn);
  }
  return back;
}

void EndpointTransport::close_idle(const EndpointId& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  const auto conns = it->second;
  for (const auto& conn : conns) close_connection(conn);
}

void EndpointTransport::close_expired() {
  std::vector<ConnectionPtr> old;
  for (const auto& [id, conns] : idle_)
    for (const auto& conn : conns)
      if (loop_.now() - conn->idle_since > bounds_.idle - kIdleMargin) old.push_back(conn);
  for (const auto& conn : old) close_connection(conn);
  sweep_timer_ = loop_.after(kSweepInterval, [this] { close_expired(); });
}

}  // namespace cedarplank::platform
