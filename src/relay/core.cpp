#include "relay/core.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::relay {
namespace {

class DispatcherDecider final : public Decider {
 public:
  DispatcherDecider(const Settings& settings, std::uint64_t seed) : dispatcher_(settings, seed) {}
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    dispatcher_.handle(now, events, actions);
  }

 private:
  Dispatcher dispatcher_;
};

constexpr Time kNever = std::numeric_limits<Time>::max();

// Copies the module's reason for an action into a trace step.
void set_reason(const action::Reason& r, trace::Step& s) {
  s.literal_reason = r.why;
  if (*r.held != '\0') s.composed_reason = std::string(r.why) + "; held before: " + r.held;
}

}  // namespace

std::unique_ptr<Decider> make_dispatcher(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<DispatcherDecider>(settings, seed);
}

Core::Core(const Settings& settings, std::unique_ptr<Decider> decider, Ports ports)
    : settings_(settings), decider_(std::move(decider)), ports_(ports) {}

template <typename Fill>
void Core::trace_step(Time now, MessageId id, trace::Step::What what, Fill fill) {
  if (ports_.trace == nullptr) return;
  trace::Step step;
  step.at = now, step.what = what;
  fill(step);
  ports_.trace->record_step(id, std::move(step));
}

void Core::trace_end(Time now, MessageId id, trace::Verdict verdict, Time come_back) {
  if (ports_.trace == nullptr) return;
  trace::Step step;
  step.at = now, step.span = come_back, step.literal_reason = trace::name_of(verdict);
  step.what =
      verdict == trace::Verdict::withdrawn ? trace::Step::What::withdrawn : trace::Step::What::answered;
  ports_.trace->record_end(id, verdict, std::move(step));
}

Core::AcceptStatus Core::accept(Time now, MessageId id, NewMessage message) {
  if (stopping_ || held_ >= static_cast<std::size_t>(settings_.open_max)) {
    counts_.rejected++;
    return stopping_ ? AcceptStatus::stopping : AcceptStatus::full;
  }
  counts_.accepted++, held_++;
  Message& m = messages_[id];
  const auto& cls = settings_.classes[static_cast<std::size_t>(message.message_class)];
  message.time_left = std::min(message.time_left, cls.deadline);
  m.deadline = now + message.time_left;
  m.message = std::make_shared<const NewMessage>(std::move(message));
  if (ports_.observer != nullptr)
    ports_.observer->set_time(now), ports_.observer->message_accepted(id, m.message, m.deadline);
  // The event carries the deadline, which is converted to the time left when the round is run.
  events_.push_back(event::Arrival{id, m.message->destination, m.message->message_class, m.message->tenant,
                                   m.deadline, m.message->order_key, m.message->repeat});
  return AcceptStatus::accepted;
}

void Core::restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message, Time deadline,
                   const PriorAttempts& before) {
  counts_.accepted++, held_++;
  Message& m = messages_[id];
  m.deadline = deadline, m.message = std::move(message), m.attempts = before.attempts,
  m.last_outcome = before.last_outcome;
  event::Arrival arrival{id,
                         m.message->destination,
                         m.message->message_class,
                         m.message->tenant,
                         deadline,
                         m.message->order_key,
                         true};
  arrival.attempts = before.attempts;
  if (before.ran_zone >= 0) {
    m.history.may_have_run = true, m.ran_sent_at = before.ran_sent_at;
    arrival.ran_zone = before.ran_zone, arrival.ran_for = std::max<Time>(0, now - before.ran_sent_at);
  }
  events_.push_back(std::move(arrival));
}

FinalAnswer Core::withdraw(Time now, MessageId id) {
  now_ = std::max(now_, now);
  const auto it = messages_.find(id);
  if (it == messages_.end() || it->second.ended) return FinalAnswer::fail;
  it->second.ended = true;
  held_--, counts_.withdrawn++;
  trace_end(now_, id, trace::Verdict::withdrawn);
  if (ports_.observer != nullptr) ports_.observer->set_time(now_), ports_.observer->message_withdrawn(id);
  events_.push_back(event::Withdrawn{id});
  const auto& cls = settings_.classes[static_cast<std::size_t>(it->second.message->message_class)];
  AttemptHistory history = it->second.history;
  cancel_waiting_calls(id);
  const auto remaining = messages_.find(id);  // already removed if no call is out
  history.outstanding = remaining != messages_.end() && !remaining->second.calls_out.empty();
  remove_if_done(id);
  return choose_final_answer(cls, history);
}

// Calls of an ended message that were decided before its end and still wait for a connection must not be sent
// any more (rule 1). This happens when a client cancels while its call waits for an endpoint with few
// streams.
void Core::cancel_waiting_calls(MessageId id) {
  const auto at = messages_.find(id);
  if (at == messages_.end()) return;
  const auto out = at->second.calls_out;
  for (const CallId call : out) {
    if (ports_.transport.cancel_unsent(call))
      end_call(now_, calls_.find(call), {Outcome::not_sent, 0, {}, "the message was over", {}});
    else if (ports_.transport.cancel_buffered(call))
      end_call(now_, calls_.find(call), {Outcome::cancelled, 0, {}, "the message was over", {}});
  }
}

void Core::remove_if_done(MessageId id) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.ended || !it->second.calls_out.empty()) return;
  messages_.erase(it);
  if (ports_.trace != nullptr) ports_.trace->close(now_, id);
}

void Core::update_endpoints(const std::vector<Endpoint>& endpoints, bool whole) {
  if (whole)
    for (auto& [id, known] : endpoints_) known.listing = Listing::gone;
  for (const auto& e : endpoints) endpoints_[e.id] = {e.destination, e.kind, e.listing, e.zone};
  // Calls that still wait for a connection must not be sent to an endpoint that drains or is gone (rule 3).
  std::vector<EndpointId> closing;
  for (const auto& [id, known] : endpoints_)
    if (known.listing != Listing::active) closing.push_back(id);
  for (const auto& id : closing) end_unsent_calls(id);
  // Endpoints that are gone are removed once no call to them is out.
  std::set<EndpointId> busy;
  for (const auto& [id, call] : calls_) busy.insert(call.endpoint);
  std::erase_if(endpoints_,
                [&](const auto& k) { return k.second.listing == Listing::gone && busy.count(k.first) == 0; });
}

void Core::list_whole(std::vector<Endpoint> endpoints, bool cached) {
  update_endpoints(endpoints, true);
  events_.push_back(event::ListWhole{std::move(endpoints), cached});
}
void Core::list_changes(std::vector<Endpoint> endpoints) {
  update_endpoints(endpoints, false);
  events_.push_back(event::ListChanges{std::move(endpoints)});
}
void Core::list_failed() { events_.push_back(event::ListFailed{}); }
void Core::peer_note_received(int from, std::string body) {
  events_.push_back(event::PeerNote{from, std::move(body)});
}
void Core::probe_ended(EndpointId endpoint, Outcome outcome, Time latency) {
  events_.push_back(event::ProbeEnded{std::move(endpoint), outcome, latency, {}});
}

// Calls of which nothing has been sent are reported to the module as not sent, which proves that they never
// ran.
void Core::end_unsent_calls(const EndpointId& endpoint) {
  for (const CallId id : ports_.transport.cancel_all_unsent(endpoint)) {
    const auto it = calls_.find(id);
    if (it != calls_.end())
      end_call(now_, it, {Outcome::not_sent, 0, {}, "called back before it was sent", {}});
  }
}

void Core::call_ended(Time now, CallId id, CallResult ending) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;  // already ended: a late outcome is ignored
  const EndpointId endpoint = it->second.endpoint;
  end_call(now, it, ending);
  if (ending.told_wait <= 0) return;
  // A told wait also applies to calls that were decided before it arrived and have not been sent yet (rule
  // 6): those to this route, or those to all endpoints of the destination.
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return end_unsent_calls(endpoint);
  const auto kind = static_cast<std::size_t>(at->second.kind);
  if (kind < settings_.kinds.size() && settings_.kinds[kind].routes_apart) return end_unsent_calls(endpoint);
  std::vector<EndpointId> siblings;
  for (const auto& [other, known] : endpoints_)
    if (known.destination == at->second.destination) siblings.push_back(other);
  for (const auto& other : siblings) end_unsent_calls(other);
}

void Core::end_call(Time now, std::map<CallId, Call>::iterator it, const CallResult& ending) {
  const Call call = it->second;
  const CallId id = it->first;
  calls_.erase(it);
  timeouts_.erase({call.times_out, id}), send_by_.erase({call.send_by, id});
  const auto bundle = bundles_.find(call.bundle);
  if (bundle != bundles_.end() && --bundle->second == 0) bundles_.erase(bundle);
  trace_step(now, call.message, trace::Step::What::ended, [&](trace::Step& s) {
    s.attempt = call.attempt, s.endpoint = call.endpoint, s.span = now - call.sent;
    s.told_wait = ending.told_wait, s.composed_reason = ending.detail;
  });
  const auto at = messages_.find(call.message);
  if (ports_.observer != nullptr) {
    ports_.observer->set_time(now);
    ports_.observer->attempt_ended({id, call.endpoint, call.message, call.attempt, 0, nullptr, call.zone},
                                   ending);
  }
  auto& stats = outcome_stats_[static_cast<std::size_t>(ending.outcome)];
  stats.calls++, stats.latency += now - call.sent;
  bool closed = true;
  if (at != messages_.end()) {
    Message& m = at->second;
    m.calls_out.erase(id);
    m.last_outcome = ending.detail;
    if (!proves_not_run(ending.outcome)) {
      m.history.may_have_run = true;
      m.ran_sent_at = m.ran_sent_at < 0 ? call.sent : std::min(m.ran_sent_at, call.sent);
    }
    m.history.outstanding = !m.calls_out.empty();
    if (ending.outcome == Outcome::served && !m.ended) {
      m.ended = true;
      held_--, counts_.served++;
      trace_end(now, call.message, trace::Verdict::served);
      ports_.answers.served(call.message, ending);
    }
    apply_retry_status(now, call.message, m, ending.retry_status);
    closed = m.ended;
  }
  events_.push_back(event::AttemptEnded{call.message, call.attempt, call.endpoint, ending.outcome,
                                        now - call.sent, closed, ending.told_wait, ending.report});
  if (closed) cancel_waiting_calls(call.message);
  remove_if_done(call.message);
}

// Once an endpoint reports that no further attempts may be sent, the message ends here too, whatever the
// module would try next; calls that are already out may still serve it. Otherwise the message could be sent
// to another endpoint after it has ended (rule 1).
void Core::apply_retry_status(Time now, MessageId id, Message& m, RetryStatus standing) {
  if (standing == RetryStatus::message_ended) m.no_retry_reason = "an endpoint says that it is over";
  if (standing == RetryStatus::exhausted)
    m.no_retry_reason = "an endpoint says that it has had all its attempts";
  if (m.no_retry_reason != nullptr && !m.ended && m.calls_out.empty())
    end_unserved(now, id, m, m.no_retry_reason);
}

// Chooses the answer without the module, from what is known about the message's attempts.
void Core::end_unserved(Time now, MessageId id, Message& m, const char* why) {
  m.ended = true;
  held_--, unserved_by_reason_[why]++;
  const auto& cls = settings_.classes[static_cast<std::size_t>(m.message->message_class)];
  if (choose_final_answer(cls, m.history) == FinalAnswer::refuse) {
    counts_.refused++;
    trace_end(now, id, trace::Verdict::refused);
    ports_.answers.refused(id, 0, summarize(m, why));
  } else {
    counts_.failed++;
    trace_end(now, id, trace::Verdict::failed);
    ports_.answers.failed(id, summarize(m, why));
  }
}

void Core::handle_timeout(Time now, CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  CallResult ending{Outcome::timeout, 0, {}, "no answer in time", {}};
  switch (ports_.transport.cancel(id)) {
    case Transport::CancelResult::sent:
      break;
    case Transport::CancelResult::connecting:
      ending.outcome = Outcome::connect_failed, ending.detail = "no connection in time";
      break;
    case Transport::CancelResult::queued:
      ending.outcome = Outcome::not_sent, ending.detail = "no connection had room in time";
      break;
    case Transport::CancelResult::kept_in_bundle:
      // Wait for it until the message's deadline; it is cancelled for good then.
      it->second.times_out = std::max(messages_.at(it->second.message).deadline, now + settings_.tick);
      timeouts_.insert({it->second.times_out, id});
      return;
  }
  end_call(now, it, ending);
}

Time Core::next_due() const {
  Time due = kNever;
  if (!events_.empty()) due = last_round_ + settings_.tick;
  if (!timers_.empty()) due = std::min(due, std::max(timers_.top().first, last_round_ + settings_.tick));
  if (!timeouts_.empty()) due = std::min(due, timeouts_.begin()->first);
  if (!send_by_.empty()) due = std::min(due, send_by_.begin()->first);
  return due;
}

void Core::run_due(Time now) {
  if (in_round_) return;
  now_ = now = std::max(now, now_);
  while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
    const CallId id = timeouts_.begin()->second;
    timeouts_.erase(timeouts_.begin());
    handle_timeout(now, id);
  }
  // A repeat that was decided within the key window and still waits for a connection must not be sent after
  // the window has ended (rule 2): the receiver no longer knows the key.
  while (!send_by_.empty() && send_by_.begin()->first <= now) {
    const CallId id = send_by_.begin()->second;
    send_by_.erase(send_by_.begin());
    if (ports_.transport.cancel_unsent(id))
      end_call(now, calls_.find(id), {Outcome::not_sent, 0, {}, "its key's time was over", {}});
  }
  if (now < last_round_ + settings_.tick) return;
  while (!timers_.empty() && timers_.top().first <= now) {
    events_.push_back(event::TimerDue{timers_.top().second});
    timers_.pop();
  }
  if (events_.empty()) return;
  in_round_ = true;
  last_round_ = now, round_++;
  std::vector<Event> events;
  events.swap(events_);
  if (ports_.observer != nullptr) ports_.observer->set_time(now);
  // Arrival events hold the deadline until here; the module gets the time left at this round.
  for (auto& e : events)
    if (auto* arrival = std::get_if<event::Arrival>(&e))
      arrival->time_left = std::max<Time>(0, arrival->time_left - now);
  std::vector<Action> actions;
  decider_->handle(now, events, actions);
  carry_out(now, actions);
  in_round_ = false;
}

std::size_t Core::bytes_in_bundle(const NewMessage& message) {
  constexpr std::size_t kFraming = 32;  // separators, line ends and the length
  return message.body.size() + message.owner.size() + message.idempotency_key.size() + kFraming;
}

void Core::send(Time now, const action::Send& a) {
  const auto it = messages_.find(a.id);
  if (it == messages_.end()) return;
  Message& m = it->second;
  const int attempt = m.attempts++;
  const auto at = endpoints_.find(a.endpoint);
  const auto not_sent = [&](const char* why) {
    m.last_outcome = why;
    trace_step(now, a.id, trace::Step::What::ended,
               [&](trace::Step& s) { s.attempt = attempt, s.endpoint = a.endpoint, s.literal_reason = why; });
    events_.push_back(event::AttemptEnded{a.id, attempt, a.endpoint, Outcome::not_sent, 0, m.ended, 0, {}});
  };
  if (m.ended || now >= m.deadline) return not_sent("the message was over");
  if (m.no_retry_reason != nullptr) return not_sent(m.no_retry_reason);
  if (at == endpoints_.end()) return not_sent("the endpoint is in no list");
  if (m.attempts > settings_.attempts_max) return not_sent("no attempts were left");
  // Messages that one round sends to one endpoint share a call, and its slot, up to the kind's bundle_max and
  // to the bytes that a call may have.
  auto& [bundle, messages, bytes] = round_bundles_[a.endpoint];
  const auto kind = static_cast<std::size_t>(at->second.kind);
  const int messages_max = kind < settings_.kinds.size() ? settings_.kinds[kind].bundle_max : 1;
  const std::size_t message_bytes = bytes_in_bundle(*m.message);
  const bool full = messages >= messages_max || bytes + message_bytes > ports_.bundle_bytes_max;
  if (messages == 0 || full) {
    if (bundles_.size() >= static_cast<std::size_t>(settings_.slots)) return not_sent("no slot was free");
    bundle = next_bundle_++, messages = 0, bytes = 0;
  }
  messages++, bundles_[bundle]++, bytes += message_bytes;
  const CallId id = next_call_++;
  const Time times_out = now + std::max<Time>(0, a.timeout);
  const auto& cls = settings_.classes[static_cast<std::size_t>(m.message->message_class)];
  Time ran_sent_at = m.ran_sent_at;
  for (const CallId other : m.calls_out) {
    const Time sent = calls_.at(other).sent;
    ran_sent_at = ran_sent_at < 0 ? sent : std::min(ran_sent_at, sent);
  }
  const Time send_by = cls.effect == Effect::keyed && ran_sent_at >= 0 ? ran_sent_at + cls.key_window : 0;
  calls_[id] = {a.id, attempt, a.endpoint, now, times_out, bundle, send_by, at->second.zone};
  timeouts_.insert({times_out, id});
  if (send_by > 0) send_by_.insert({send_by, id});
  m.calls_out.insert(id);
  m.history.outstanding = true;
  trace_step(now, a.id, trace::Step::What::send, [&](trace::Step& s) {
    s.round = round_, s.attempt = attempt, s.endpoint = a.endpoint, s.span = times_out - now,
    set_reason(a.reason, s);
  });
  ports_.transport.send(
      {id, a.endpoint, a.id, attempt, m.deadline - now, m.message, at->second.zone, times_out - now, bundle});
}

void Core::carry_out(Time now, const std::vector<Action>& actions) {
  round_bundles_.clear();
  for (const auto& any : actions) {
    if (const auto* a = std::get_if<action::Send>(&any)) {
      send(now, *a);
    } else if (const auto* r = std::get_if<action::Refuse>(&any)) {
      const auto it = messages_.find(r->id);
      if (it == messages_.end() || it->second.ended) continue;  // answered or cancelled meanwhile
      it->second.ended = true;
      held_--, counts_.refused++, unserved_by_reason_[r->reason.why]++;
      trace_step(now, r->id, trace::Step::What::refuse,
                 [&](trace::Step& s) { s.round = round_, s.span = r->come_back, set_reason(r->reason, s); });
      trace_end(now, r->id, trace::Verdict::refused, r->come_back);
      ports_.answers.refused(r->id, r->come_back, summarize(it->second, r->reason.why));
      cancel_waiting_calls(r->id);
      remove_if_done(r->id);
    } else if (const auto* f = std::get_if<action::Fail>(&any)) {
      const auto it = messages_.find(f->id);
      if (it == messages_.end() || it->second.ended) continue;
      it->second.ended = true;
      held_--, counts_.failed++, unserved_by_reason_[f->reason.why]++;
      trace_step(now, f->id, trace::Step::What::fail,
                 [&](trace::Step& s) { s.round = round_, set_reason(f->reason, s); });
      trace_end(now, f->id, trace::Verdict::failed);
      ports_.answers.failed(f->id, summarize(it->second, f->reason.why));
      cancel_waiting_calls(f->id);
      remove_if_done(f->id);
    } else if (const auto* c = std::get_if<action::Cancel>(&any)) {
      const auto it = messages_.find(c->id);
      if (it == messages_.end()) continue;
      for (const CallId id : it->second.calls_out) {
        const auto call = calls_.find(id);
        if (call->second.attempt != c->attempt) continue;
        const auto result = ports_.transport.cancel(id);
        if (result == Transport::CancelResult::kept_in_bundle) break;
        const bool sent = result == Transport::CancelResult::sent;
        end_call(now, call, {sent ? Outcome::cancelled : Outcome::not_sent, 0, {}, "given up", {}});
        break;  // end_call() may have removed the message, and with it the set
      }
    } else if (const auto* i = std::get_if<action::CloseIdle>(&any)) {
      ports_.transport.close_idle(i->endpoint);
    } else if (const auto* t = std::get_if<action::SetTimer>(&any)) {
      timers_.push({now + t->after, t->token});
    } else if (std::holds_alternative<action::FetchList>(any)) {
      ports_.list.fetch();
    } else if (const auto* s = std::get_if<action::Subscribe>(&any)) {
      ports_.list.subscribe(s->on);
    } else if (const auto* p = std::get_if<action::Probe>(&any)) {
      ports_.transport.probe(p->endpoint);
    } else if (const auto* n = std::get_if<action::TellPeer>(&any)) {
      ports_.peer_channel.send_note(n->whom, n->body);
    } else if (const auto* l = std::get_if<action::Log>(&any)) {
      ports_.log.line(l->text);
    } else if (const auto* k = std::get_if<action::Seen>(&any)) {
      if (ports_.observer != nullptr) ports_.observer->endpoint_health_changed(*k);
    }
  }
  round_bundles_.clear();
}

void Core::end_all(Time now) { end_messages_due(now, kNever); }

void Core::end_overdue(Time now) { end_messages_due(now, now); }

void Core::end_messages_due(Time now, Time until) {
  if (ports_.observer != nullptr) ports_.observer->set_time(now);
  std::vector<MessageId> ids;
  for (const auto& [id, m] : messages_)
    if (!m.ended && m.deadline <= until) ids.push_back(id);
  for (const MessageId id : ids) {
    // End the calls first: a call that was never sent is proof that it did not run; a sent one may still run.
    const auto out = messages_.at(id).calls_out;
    for (const CallId call : out) {
      const auto it = calls_.find(call);
      const auto result = ports_.transport.cancel(call);
      const bool sent =
          result == Transport::CancelResult::sent || result == Transport::CancelResult::kept_in_bundle;
      end_call(now, it, {sent ? Outcome::cancelled : Outcome::not_sent, 0, {}, "the relay stopped", {}});
    }
    const auto it = messages_.find(id);
    if (it == messages_.end() || it->second.ended) continue;
    end_unserved(now, id, it->second, "the relay stopped");
    events_.push_back(event::Withdrawn{id});
    remove_if_done(id);
  }
}

}  // namespace cedarplank::relay
