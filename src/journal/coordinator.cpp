#include "journal/coordinator.hpp"

#include <algorithm>
#include <utility>

#include "journal/recovery.hpp"

namespace cedarplank::journal {
namespace {

// A client that has had no answer hands a message in again within its time; how long the copy may be on its
// way: the client waits 400 ms, and either side may be held up.
constexpr Time kRepeatTransit = 1'000'000;
constexpr std::uint64_t kBytesPerMark = 64 * 1024;  // bytes between two entries of byte_marks_

std::string describe(const Record& record) {
  const auto id = message_id_of(record);
  return "record '" + kind_of(record) + "'" + (id == 0 ? "" : " of message " + std::to_string(id));
}

}  // namespace

JournalCoordinator::JournalCoordinator(JournalCoordinatorSettings settings, StateImage image, Ports ports,
                                       DurabilityWaits waits)
    : settings_(std::move(settings)), image_(std::move(image)), ports_(std::move(ports)), waits_(waits) {}

Sequence JournalCoordinator::write_record(Record record) {
  std::string bytes;
  if (!failed_) bytes = encode(record);
  if (bytes.size() <= settings_.record_bytes_max) return append_record(record, std::move(bytes));
  ports_.log(describe(record) + " of " + std::to_string(bytes.size()) +
             " bytes is larger than a record may be, and is not written");
  return 0;
}

Sequence JournalCoordinator::append_record(const Record& record, std::string bytes) {
  const std::size_t size = bytes.size();
  const Sequence s = failed_ ? 0 : ports_.append(std::move(bytes));
  last_sequence_ = s != 0 ? s : last_sequence_ + 1;
  image_.apply(last_sequence_, record);
  note_needed_records();
  if (s == 0)
    fail("the log accepts no more records");
  else
    count_bytes(s, size);
  return s;
}

void JournalCoordinator::count_bytes(Sequence sequence, std::size_t bytes) {
  bytes_written_ += bytes;
  if (byte_marks_.empty() || bytes_written_ - byte_marks_.back().second >= kBytesPerMark)
    byte_marks_.emplace_back(sequence, bytes_written_);
}

void JournalCoordinator::count_existing_record(Sequence sequence, std::size_t bytes, ExistingRecord state) {
  last_sequence_ = sequence;
  if (state == ExistingRecord::durable) durable_ = sequence;
  count_bytes(sequence, bytes);
}

void JournalCoordinator::wait_until_durable(Sequence s, WaitingAction w) {
  const auto kind = w.kind;
  const relay::CallId call = w.call;
  const auto it = waiting_.emplace(s, std::move(w));
  if (kind == WaitingAction::Kind::call) held_back_calls_[call] = it;
}

void JournalCoordinator::write_base(const record::Base& base, Time now) {
  set_time(now);
  note_needed_records();
  write_record({now_, base});
}

void JournalCoordinator::mark_durable(Sequence upto) {
  durable_ = std::max(durable_, upto);
  // One by one, because an action may call back and cancel others that wait.
  while (!waiting_.empty() && waiting_.begin()->first <= durable_) {
    auto w = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (w.kind == WaitingAction::Kind::call) held_back_calls_.erase(w.call), endpoint_by_call_.erase(w.call);
    w.run();
  }
  release_unneeded();
}

void JournalCoordinator::fail(const std::string& why) {
  if (failed_) return;
  failed_ = true, failure_reason_ = why;
  end_waiting();
}

void JournalCoordinator::set_stalled(bool stalled) {
  stalled_ = stalled;
  if (stalled) end_waiting();
}

void JournalCoordinator::deliver_overdue_answers(Time now) {
  std::vector<std::function<void()>> overdue;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool late = it->second.kind == WaitingAction::Kind::answer && it->second.deadline != 0 &&
                      it->second.deadline <= now;
    if (late) overdue.push_back(std::move(it->second.run));
    it = late ? waiting_.erase(it) : std::next(it);
  }
  for (const auto& give_answer : overdue) give_answer();
}

// Clients get their answers in time even without a journal. Calls whose repeat may do harm are not sent
// without a durable record.
void JournalCoordinator::end_waiting() {
  auto waiting = std::move(waiting_);
  waiting_.clear(), held_back_calls_.clear(), endpoint_by_call_.clear();
  for (auto& [s, w] : waiting) {
    if (w.kind == WaitingAction::Kind::answer)
      w.run();
    else if (w.kind == WaitingAction::Kind::call)
      ports_.call_dropped(w.call, {Outcome::not_sent, 0, {}, "the journal can't be written", {}});
    else if (!failed_)
      wait_until_durable(s, std::move(w));
  }
}

bool JournalCoordinator::repeat_may_harm(const relay::NewMessage& message) const {
  return settings_.classes[static_cast<std::size_t>(message.message_class)].effect != Effect::safe;
}

// ---- messages and attempts ----

void JournalCoordinator::message_accepted(MessageId id,
                                          const std::shared_ptr<const relay::NewMessage>& message,
                                          Time deadline) {
  record::Taken r;
  r.id = id, r.message = message, r.deadline = deadline;
  r.destination = ports_.destination_name(message->destination);
  r.message_class = settings_.class_names[static_cast<std::size_t>(message->message_class)];
  if (message->tenant >= 0) r.tenant = settings_.tenant_names[static_cast<std::size_t>(message->tenant)];
  if (write_record({now_, std::move(r)}) == 0) unrecorded_.insert(id);
}

bool JournalCoordinator::has_room_for_message() const {
  const std::size_t answers = image_.owed_answers() + image_.answers().size() + image_.held().size() + 1;
  return answers * StateImage::kDeliveredAnswerBytes <= settings_.owed_answers_bytes_max &&
         image_.approximate_owed_bytes() < settings_.needed_bytes_max;
}

std::size_t JournalCoordinator::delivered_answers_bytes_max() const {
  const std::uint64_t delivered = image_.delivered_answers().size() * StateImage::kDeliveredAnswerBytes;
  const std::uint64_t others = image_.approximate_bytes() - delivered;
  const std::uint64_t left = settings_.needed_bytes_max - std::min(settings_.needed_bytes_max, others);
  return static_cast<std::size_t>(std::min(settings_.window_bytes / 3, left));
}

bool JournalCoordinator::may_record(const relay::NewMessage& message) const {
  std::size_t names = ports_.destination_name(message.destination).size();
  names += settings_.class_names[static_cast<std::size_t>(message.message_class)].size();
  if (message.tenant >= 0) names += settings_.tenant_names[static_cast<std::size_t>(message.tenant)].size();
  return max_record_bytes(message, names) <= settings_.record_bytes_max;
}

JournalCoordinator::AcceptanceRecord JournalCoordinator::acceptance_record(MessageId id) const {
  if (unrecorded_.count(id) > 0) return AcceptanceRecord::rejected;
  const auto it = image_.held().find(id);
  if (it == image_.held().end() || it->second.needed_from <= durable_) return AcceptanceRecord::durable;
  return failed_ ? AcceptanceRecord::rejected : AcceptanceRecord::pending;
}

void JournalCoordinator::when_durable(MessageId id, std::function<void()> then) {
  const auto record = acceptance_record(id);
  if (record == AcceptanceRecord::rejected) return;
  if (record == AcceptanceRecord::durable || !waits_.acknowledgement) return then();
  wait_until_durable(image_.held().at(id).needed_from,
                     {WaitingAction::Kind::acknowledgement, 0, std::move(then), 0});
}

void JournalCoordinator::send(const relay::OutgoingCall& call) {
  const bool wait = waits_.risky_sends && repeat_may_harm(*call.message);
  const Sequence s =
      write_record({now_, record::Sending{call.message_id, {call.attempt, call.endpoint, call.zone, now_}}});
  if ((s == 0 || stalled_) && wait) {
    ports_.call_dropped(call.id, {Outcome::not_sent, 0, {}, "the journal can't be written", {}});
    return;
  }
  if (!wait) return ports_.transport.send(call);
  endpoint_by_call_[call.id] = call.endpoint;
  // Time spent waiting for the record counts against the message's time left.
  wait_until_durable(s, {WaitingAction::Kind::call, call.id,
                         [this, call, decided = now_] {
                           relay::OutgoingCall order = call;
                           order.time_left = std::max<Time>(0, call.time_left - (now_ - decided));
                           ports_.transport.send(order);
                         },
                         0});
}

void JournalCoordinator::attempt_ended(const relay::OutgoingCall& call, const relay::CallResult& ending) {
  // The wait is written first, so that no send decided later can be durable without it.
  if (ending.told_wait > 0) write_record({now_, record::Told{call.endpoint, now_ + ending.told_wait}});
  if (ending.outcome == Outcome::served) return;  // recorded with the answer, or the message already had one
  write_record({now_, record::Ended{call.message_id, call.attempt, relay::proves_not_run(ending.outcome),
                                    ending.detail}});
}

void JournalCoordinator::message_withdrawn(MessageId id) {
  answers_to_keep_.erase(id), unrecorded_.erase(id);
  write_record({now_, record::Gone{id}});
}

void JournalCoordinator::endpoint_health_changed(const action::Seen& s) {
  write_record({now_, record::Seen{s.endpoint, s.health, now_ - s.for_so_long, s.usual_rate}});
}

// ---- held-back sends ----

bool JournalCoordinator::drop_held_back_call(relay::CallId call) {
  const auto it = held_back_calls_.find(call);
  if (it == held_back_calls_.end()) return false;
  waiting_.erase(it->second);
  held_back_calls_.erase(it), endpoint_by_call_.erase(call);
  return true;
}

relay::Transport::CancelResult JournalCoordinator::cancel(relay::CallId call) {
  return drop_held_back_call(call) ? CancelResult::queued : ports_.transport.cancel(call);
}

bool JournalCoordinator::cancel_unsent(relay::CallId call) {
  return drop_held_back_call(call) || ports_.transport.cancel_unsent(call);
}

std::vector<relay::CallId> JournalCoordinator::cancel_all_unsent(const EndpointId& endpoint) {
  auto calls = ports_.transport.cancel_all_unsent(endpoint);
  std::vector<relay::CallId> held_back;
  for (const auto& [call, at] : endpoint_by_call_)
    if (at == endpoint) held_back.push_back(call);
  for (const auto call : held_back) drop_held_back_call(call);
  calls.insert(calls.end(), held_back.begin(), held_back.end());
  return calls;
}

// ---- answers ----

void JournalCoordinator::record_answer(MessageId id, record::Verdict verdict, Time come_back,
                                       const relay::AttemptSummary& account, std::function<void()> deliver) {
  record::Answered r;
  r.id = id, r.verdict = verdict, r.come_back = come_back;
  r.attempts = account.attempts, r.last = account.last_outcome;
  Time due = 0;
  if (const auto it = image_.held().find(id); it != image_.held().end()) {
    const auto& m = it->second.state;
    r.message_class = m.message_class, r.destination = m.destination, r.tenant = m.tenant,
    r.owner = m.message->owner;
    due = m.deadline;
    r.idempotency_key = m.message->idempotency_key;
    r.fingerprint = fingerprint(m.destination, m.message_class, *m.message);
  }
  unrecorded_.erase(id);
  const bool keep = answers_to_keep_.erase(id) > 0;
  if (keep || !r.idempotency_key.empty() || !r.owner.empty()) r.until = now_ + settings_.answers_for;
  if (settings_.delivered_answers_for > 0 && !r.owner.empty()) {
    r.owed_until = due + kRepeatTransit;
    r.remember = std::max(now_ + settings_.delivered_answers_for, r.owed_until);
  }
  const Sequence s = write_record({now_, std::move(r)});
  if (s == 0 || stalled_ || !waits_.answers) return deliver();
  wait_until_durable(s, {WaitingAction::Kind::answer, 0, std::move(deliver), due});
}

void JournalCoordinator::served(MessageId id, const relay::CallResult& ending) {
  record_answer(id, record::Verdict::served, 0, {0, 0, ending.detail},
                [this, id, ending] { ports_.answers.served(id, ending); });
}

void JournalCoordinator::refused(MessageId id, Time come_back, const relay::AttemptSummary& account) {
  record_answer(id, record::Verdict::refused, come_back, account,
                [this, id, come_back, account] { ports_.answers.refused(id, come_back, account); });
}

void JournalCoordinator::failed(MessageId id, const relay::AttemptSummary& account) {
  record_answer(id, record::Verdict::failed, 0, account,
                [this, id, account] { ports_.answers.failed(id, account); });
}

void JournalCoordinator::answer_delivered(MessageId id) {
  if (image_.answers().count(id) > 0) write_record({now_, record::Gone{id}});
}

void JournalCoordinator::end_message_without_class(MessageId id) {
  const auto it = image_.held().find(id);
  if (it == image_.held().end()) return;
  const auto before = prior_attempts_of(it->second.state);
  relay::AttemptSummary account{-1, before.attempts, before.last_outcome};
  const auto verdict = before.ran_zone >= 0 ? record::Verdict::failed : record::Verdict::refused;
  record_answer(id, verdict, 0, account, [] {});
}

// ---- compaction ----

// The old records are released for the new one. Guards against one that takes their place and can't be read,
// or was never written: the old ones stay until their item has ended.
std::size_t JournalCoordinator::rewrite_oldest_item(Sequence before) {
  const Record record = image_.oldest_item_record(now_, before);
  std::string bytes = encode(record);
  const std::size_t size = bytes.size();
  Record read_back;
  const auto result = decode(bytes, read_back);
  if (result.ok() && size <= settings_.record_bytes_max) {
    if (!ports_.has_room(size)) return 0;
    return append_record(record, std::move(bytes)) != 0 ? size : 0;
  }
  if (std::exchange(unwritable_, image_.oldest_needed()) != image_.oldest_needed())
    ports_.log(describe(record) + " of " + std::to_string(size) + " bytes can't be rewritten" +
               (result.ok() ? "" : ": " + result.problem) + "; the earlier records are kept");
  return 0;
}

Sequence JournalCoordinator::first_record_to_keep(SpacePressure pressure) {
  // Records before this one are older than the window.
  Sequence keep_from = 0;
  while (byte_marks_.size() > 1 && bytes_written_ - byte_marks_[1].second > settings_.window_bytes)
    byte_marks_.pop_front();
  if (!byte_marks_.empty() && bytes_written_ - byte_marks_.front().second > settings_.window_bytes)
    keep_from = byte_marks_.front().first;
  // While the log is short of space no new messages are accepted, so the window would never advance. All that
  // is needed is rewritten then, once.
  const bool rewritten = image_.oldest_needed() >= rewrite_before_;
  if (pressure == SpacePressure::critical && rewritten) rewrite_before_ = last_sequence_ + 1;
  if (pressure == SpacePressure::low && rewritten && image_.approximate_bytes() < settings_.window_bytes) {
    std::uint64_t before = 0;  // bytes written before the oldest needed record
    for (const auto& [s, bytes] : byte_marks_)
      if (s <= image_.oldest_needed()) before = bytes;
    if (bytes_written_ - before > 2 * image_.approximate_bytes() + kBytesPerMark)
      rewrite_before_ = last_sequence_ + 1;
  }
  return std::max(keep_from, rewrite_before_);
}

bool JournalCoordinator::compact(Time now, CompactionLimits limits, SpacePressure pressure) {
  set_time(now);
  std::size_t items = 0;
  std::uint64_t bytes = 0;
  while (items < limits.items && !failed_) {
    const MessageId expired =
        image_.find_expired_answer(now_, settings_.answers_max, settings_.answers_bytes_max);
    if (expired == 0) break;
    write_record({now_, record::Gone{expired}}), items++;
  }
  image_.expire_delivered_answers(now_, delivered_answers_bytes_max());
  note_needed_records();
  const Sequence keep_from = first_record_to_keep(pressure);
  while (items < limits.items && bytes < limits.bytes && !failed_ && image_.oldest_needed() != 0 &&
         image_.oldest_needed() < keep_from) {
    const std::size_t written = rewrite_oldest_item(keep_from);
    if (written == 0) break;
    items++, bytes += written;
  }
  release_unneeded();
  return items >= limits.items || bytes >= limits.bytes;
}

void JournalCoordinator::note_needed_records() {
  const Sequence needed = image_.oldest_needed();
  if (oldest_needed_after_.empty() || oldest_needed_after_.back().second != needed)
    oldest_needed_after_.emplace_back(last_sequence_, needed);
}

// Guards against records that are released although what replaces them may yet be lost, and against a log
// that stays full of records that nothing needs any more: what the durable state needs is known at any time,
// also while later records can't be written.
void JournalCoordinator::release_unneeded() {
  if (failed_) return;
  while (oldest_needed_after_.size() > 1 && oldest_needed_after_[1].first <= durable_)
    oldest_needed_after_.pop_front();
  if (oldest_needed_after_.empty() || oldest_needed_after_.front().first > durable_) return;
  const Sequence needed = oldest_needed_after_.front().second;
  if (needed <= released_ + 1) return;
  released_ = needed - 1;
  ports_.release(released_);
}

}  // namespace cedarplank::journal
