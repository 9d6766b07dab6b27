#include "journal/keeper.hpp"

#include <algorithm>

#include "journal/recovery.hpp"

namespace cedarplank::journal {
namespace {

constexpr std::uint64_t kBytesPerMark = 64 * 1024;  // bytes between two entries of marks_

}  // namespace

Keeper::Keeper(KeeperSettings settings, Image image, Ports ports, WaitsFor waits)
    : settings_(std::move(settings)), image_(std::move(image)), ports_(std::move(ports)), waits_(waits) {}

Sequence Keeper::write(Record record) {
  std::string bytes;
  if (!failed_) bytes = encode(record);
  const std::size_t size = bytes.size();
  const Sequence s = failed_ ? 0 : ports_.append(std::move(bytes));
  last_ = s != 0 ? s : last_ + 1;
  image_.apply(last_, record);
  if (s == 0)
    fail("the log accepts no more records");
  else
    count(s, size);
  return s;
}

void Keeper::count(Sequence sequence, std::size_t bytes) {
  written_ += bytes;
  if (marks_.empty() || written_ - marks_.back().second >= kBytesPerMark)
    marks_.emplace_back(sequence, written_);
}

void Keeper::found(Sequence sequence, std::size_t bytes) {
  last_ = durable_ = sequence;  // opening the log made it durable
  count(sequence, bytes);
}

void Keeper::wait_for(Sequence s, Waiting w) {
  const auto kind = w.kind;
  const relay::CallId call = w.call;
  const auto it = waiting_.emplace(s, std::move(w));
  if (kind == Waiting::Kind::call) held_back_[call] = it;
}

void Keeper::begin(const record::Base& base, Time now) {
  at(now);
  write({now_, base});
}

void Keeper::durable(Sequence upto) {
  durable_ = std::max(durable_, upto);
  // One by one, because an action may call back and cancel others that wait.
  while (!waiting_.empty() && waiting_.begin()->first <= durable_) {
    auto w = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    if (w.kind == Waiting::Kind::call) held_back_.erase(w.call), endpoint_of_.erase(w.call);
    w.go();
  }
}

void Keeper::fail(const std::string& why) {
  if (failed_) return;
  failed_ = true, why_ = why;
  let_go();
}

void Keeper::stall(bool stalled) {
  stalled_ = stalled;
  if (stalled) let_go();
}

void Keeper::tell_overdue(Time now) {
  std::vector<std::function<void()>> overdue;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool late = it->second.kind == Waiting::Kind::word && it->second.due != 0 && it->second.due <= now;
    if (late) overdue.push_back(std::move(it->second.go));
    it = late ? waiting_.erase(it) : std::next(it);
  }
  for (const auto& give_answer : overdue) give_answer();
}

// Clients get their answers in time even without a journal. Calls whose repeat may do harm are not sent
// without a durable record.
void Keeper::let_go() {
  auto waiting = std::move(waiting_);
  waiting_.clear(), held_back_.clear(), endpoint_of_.clear();
  for (auto& [s, w] : waiting) {
    if (w.kind == Waiting::Kind::word)
      w.go();
    else if (w.kind == Waiting::Kind::call)
      ports_.unsent(w.call, {Outcome::not_sent, 0, {}, "the journal can't be written", {}});
    else if (!failed_)
      wait_for(s, std::move(w));
  }
}

bool Keeper::risky(const relay::NewMessage& message) const {
  return settings_.classes[static_cast<std::size_t>(message.message_class)].effect != Effect::safe;
}

// ---- messages and attempts ----

void Keeper::taken(MessageId id, const std::shared_ptr<const relay::NewMessage>& message, Time deadline) {
  record::Taken r;
  r.id = id, r.message = message, r.deadline = deadline;
  r.destination = ports_.destination(message->destination);
  r.message_class = settings_.class_names[static_cast<std::size_t>(message->message_class)];
  if (message->tenant >= 0) r.tenant = settings_.tenant_names[static_cast<std::size_t>(message->tenant)];
  write({now_, std::move(r)});
}

void Keeper::when_taken(MessageId id, std::function<void()> then) {
  const auto it = image_.held().find(id);
  const Sequence s = it == image_.held().end() ? 0 : it->second.first;
  if (!waits_.acknowledgement || failed_ || stalled_ || s <= durable_) return then();
  wait_for(s, {Waiting::Kind::word, 0, std::move(then), 0});
}

void Keeper::send(const relay::CallOrder& call) {
  const bool wait = waits_.risky_sends && risky(*call.message);
  const Sequence s =
      write({now_, record::Sending{call.message_id, {call.attempt, call.endpoint, call.zone, now_}}});
  if ((s == 0 || stalled_) && wait) {
    ports_.unsent(call.id, {Outcome::not_sent, 0, {}, "the journal can't be written", {}});
    return;
  }
  if (!wait) return ports_.transport.send(call);
  endpoint_of_[call.id] = call.endpoint;
  // Time spent waiting for the record counts against the message's time left.
  wait_for(s, {Waiting::Kind::call, call.id,
               [this, call, decided = now_] {
                 relay::CallOrder order = call;
                 order.time_left = std::max<Time>(0, call.time_left - (now_ - decided));
                 ports_.transport.send(order);
               },
               0});
}

void Keeper::ended(const relay::CallOrder& call, const relay::Ending& ending) {
  // The wait is written first, so that no send decided later can be durable without it.
  if (ending.told_wait > 0) write({now_, record::Told{call.endpoint, now_ + ending.told_wait}});
  if (ending.outcome == Outcome::served) return;  // recorded with the answer, or the message already had one
  write(
      {now_, record::Ended{call.message_id, call.attempt, relay::proves_unrun(ending.outcome), ending.what}});
}

void Keeper::withdrawn(MessageId id) {
  asked_for_.erase(id);
  write({now_, record::Gone{id}});
}

void Keeper::seen(const action::Seen& s) {
  write({now_, record::Seen{s.endpoint, s.health, now_ - s.for_so_long, s.usual_rate}});
}

// ---- held-back sends ----

bool Keeper::drop_waiting(relay::CallId call) {
  const auto it = held_back_.find(call);
  if (it == held_back_.end()) return false;
  waiting_.erase(it->second);
  held_back_.erase(it), endpoint_of_.erase(call);
  return true;
}

relay::Transport::Recalled Keeper::cancel(relay::CallId call) {
  return drop_waiting(call) ? Recalled::waiting : ports_.transport.cancel(call);
}

bool Keeper::take_back(relay::CallId call) { return drop_waiting(call) || ports_.transport.take_back(call); }

std::vector<relay::CallId> Keeper::recall(const EndpointId& endpoint) {
  auto calls = ports_.transport.recall(endpoint);
  std::vector<relay::CallId> held_back;
  for (const auto& [call, at] : endpoint_of_)
    if (at == endpoint) held_back.push_back(call);
  for (const auto call : held_back) drop_waiting(call);
  calls.insert(calls.end(), held_back.begin(), held_back.end());
  return calls;
}

// ---- answers ----

void Keeper::answered(MessageId id, record::Verdict verdict, Time come_back, const relay::Account& account,
                      std::function<void()> deliver) {
  record::Answered r;
  r.id = id, r.verdict = verdict, r.come_back = come_back;
  r.attempts = account.attempts, r.last = account.last;
  Time due = 0;
  if (const auto it = image_.held().find(id); it != image_.held().end()) {
    const auto& m = it->second.now;
    r.message_class = m.message_class, r.destination = m.destination, r.tenant = m.tenant,
    r.owner = m.message->owner;
    due = m.deadline;
    r.idempotency_key = m.message->idempotency_key;
    r.fingerprint = fingerprint(m.destination, m.message_class, *m.message);
  }
  const bool keep = asked_for_.erase(id) > 0;
  if (keep || !r.idempotency_key.empty() || !r.owner.empty()) r.until = now_ + settings_.answers_for;
  if (settings_.ends_for > 0 && !r.owner.empty()) r.remember = now_ + settings_.ends_for;
  const Sequence s = write({now_, std::move(r)});
  if (s == 0 || stalled_ || !waits_.answers) return deliver();
  wait_for(s, {Waiting::Kind::word, 0, std::move(deliver), due});
}

void Keeper::served(MessageId id, const relay::Ending& ending) {
  answered(id, record::Verdict::served, 0, {0, 0, ending.what},
           [this, id, ending] { ports_.answers.served(id, ending); });
}

void Keeper::refused(MessageId id, Time come_back, const relay::Account& account) {
  answered(id, record::Verdict::refused, come_back, account,
           [this, id, come_back, account] { ports_.answers.refused(id, come_back, account); });
}

void Keeper::failed(MessageId id, const relay::Account& account) {
  answered(id, record::Verdict::failed, 0, account,
           [this, id, account] { ports_.answers.failed(id, account); });
}

void Keeper::handed_over(MessageId id) {
  if (image_.answers().count(id) > 0) write({now_, record::Gone{id}});
}

void Keeper::end_classless(MessageId id) {
  const auto it = image_.held().find(id);
  if (it == image_.held().end()) return;
  const auto before = before_of(it->second.now);
  relay::Account account{-1, before.attempts, before.last};
  const auto verdict = before.ran_zone >= 0 ? record::Verdict::failed : record::Verdict::refused;
  answered(id, verdict, 0, account, [] {});
}

// ---- compaction ----

bool Keeper::tidy(Time now, std::size_t max_items, bool low_on_space) {
  at(now);
  std::size_t done = 0;
  while (done < max_items && !failed_) {
    const MessageId expired = image_.outlived(now_, settings_.answers_max, settings_.answers_bytes);
    if (expired == 0) break;
    write({now_, record::Gone{expired}}), done++;
  }
  image_.forget_ends(now_, static_cast<std::size_t>(settings_.window / 3));
  // Records before this one are older than the window.
  Sequence keep_from = 0;
  while (marks_.size() > 1 && written_ - marks_[1].second > settings_.window) marks_.pop_front();
  if (!marks_.empty() && written_ - marks_.front().second > settings_.window)
    keep_from = marks_.front().first;
  // While the log is short of space no new messages are accepted, so the window would never advance. All that
  // is needed is rewritten then, if it is smaller than the window and rewriting would at least halve the log.
  if (low_on_space && image_.oldest() >= anew_to_ && image_.bytes() < settings_.window) {
    std::uint64_t before = 0;  // bytes written before the oldest needed record
    for (const auto& [s, bytes] : marks_)
      if (s <= image_.oldest()) before = bytes;
    if (written_ - before > 2 * image_.bytes() + kBytesPerMark) anew_to_ = last_ + 1;
  }
  keep_from = std::max(keep_from, anew_to_);
  while (done < max_items && !failed_ && image_.oldest() != 0 && image_.oldest() < keep_from)
    write(image_.carried(now_)), done++;
  // Rewritten records must be durable before the old ones are released.
  const Sequence needed = image_.oldest();
  if (needed > released_ + 1 && !failed_) {
    released_ = needed - 1;
    const Sequence after = released_;
    if (last_ <= durable_)
      ports_.release(after);
    else
      wait_for(last_, {Waiting::Kind::release, 0, [this, after] { ports_.release(after); }, 0});
  }
  return done >= max_items;
}

}  // namespace cedarplank::journal
