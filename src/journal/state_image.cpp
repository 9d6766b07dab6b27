#include "journal/state_image.hpp"

#include <algorithm>

namespace cedarplank::journal {
namespace {

// Approximate size of the record in the log.
std::size_t size_of(const record::Answered& a) {
  return 100 + a.message_class.size() + a.last.size() + a.destination.size() + a.tenant.size() +
         a.idempotency_key.size() + a.owner.size();
}

record::RememberedAnswer remembered(const record::Answered& answer) {
  return {answer.id,       hash_of_owner(answer.owner), answer.fingerprint,
          answer.verdict,  answer.owed_until,           answer.remember,
          answer.come_back};
}

// The attempt may have taken effect.
void note_run(record::Taken& message, const Attempt& attempt) {
  if (message.ran && message.ran_at <= attempt.at) return;
  message.ran = true;
  message.ran_zone = attempt.zone;
  message.ran_at = attempt.at;
}

}  // namespace

std::size_t StateImage::approximate_bytes_of(const relay::NewMessage& message) {
  constexpr std::size_t kRecordBytes = 300;  // besides its texts
  return kRecordBytes + message.body.size() + message.owner.size() + message.idempotency_key.size();
}

void StateImage::apply(Sequence sequence, const Record& record) {
  // A Base sets the time itself: a new run's clock may be behind the clock of the run before.
  if (!std::holds_alternative<record::Base>(record.what))
    last_record_time_ = std::max(last_record_time_, record.at);
  std::visit([&](const auto& r) { on(sequence, record.at, r); }, record.what);
}

void StateImage::set_needed_record(Sequence& current, Sequence sequence, Item item) {
  items_by_record_.erase(current);
  current = sequence;
  items_by_record_[sequence] = std::move(item);
}

void StateImage::on(Sequence s, Time at, const record::Base& r) {
  if (r.shift != 0) {
    answers_by_expiry_.clear();
    for (auto& [id, h] : held_) {
      h.state.deadline += r.shift, h.state.ran_at += r.shift;
      for (auto& a : h.state.out) a.at += r.shift;
    }
    for (auto& [id, a] : answers_)
      if (a.answered.until != 0) a.answered.until += r.shift, answers_by_expiry_[{a.answered.until, id}] = 0;
    owed_answers_.clear(), surplus_answers_.clear();
    for (auto& [id, delivered] : delivered_answers_) {
      delivered.answer.until += r.shift, delivered.answer.owed_until += r.shift;
      owed_answers_.emplace(delivered.answer.owed_until, id);
    }
    for (auto& [id, w] : waits_) w.first.until += r.shift;
    for (auto& [id, h] : health_) h.first.since += r.shift;
  }
  base_ = r, last_record_time_ = at;
  // The shift has been applied; a rewritten Base must not apply it again (see oldest_item_record()).
  base_.shift = 0;
  next_id_ = std::max(next_id_, r.next_id);
  set_needed_record(base_needed_from_, s, {Kind::base, 0, {}});
}

void StateImage::on(Sequence s, Time, const record::Taken& r) {
  next_id_ = std::max(next_id_, r.id + 1);
  if (answers_.count(r.id) > 0 || delivered_answers_.count(r.id) > 0) return;
  Held& h = held_[r.id];
  if (h.state.message) held_bytes_ -= approximate_bytes_of(*h.state.message);
  held_bytes_ += approximate_bytes_of(*r.message);
  h.state = r;
  set_needed_record(h.needed_from, s, {Kind::held, r.id, {}});
  const auto& key = r.message->idempotency_key;
  if (!key.empty()) ids_by_key_[{r.tenant, r.destination, key}] = r.id;
}

void StateImage::on(Sequence, Time, const record::Sending& r) {
  const auto it = held_.find(r.id);
  if (it == held_.end()) return;
  auto& m = it->second.state;
  m.attempts = std::max(m.attempts, r.attempt.number + 1);
  m.out.push_back(r.attempt);
  if (m.out.size() <= kMaxOpenAttempts) return;
  // Counts as one that may have run, which is what an outcome that is never known means.
  note_run(m, m.out.front());
  m.out.erase(m.out.begin());
}

void StateImage::on(Sequence, Time, const record::Ended& r) {
  const auto it = held_.find(r.id);
  if (it == held_.end()) return;
  auto& m = it->second.state;
  m.last = r.what;
  const auto a =
      std::find_if(m.out.begin(), m.out.end(), [&](const auto& x) { return x.number == r.attempt; });
  if (a == m.out.end()) return;
  if (!r.unrun) note_run(m, *a);
  m.out.erase(a);
}

void StateImage::on(Sequence s, Time, const record::Answered& r) {
  next_id_ = std::max(next_id_, r.id + 1);
  drop_held(r.id), drop_answer(r.id), drop_delivered(r.id);
  if (r.handed_over) return add_delivered(s, remembered(r));
  if (r.until == 0) return;
  Answer& a = answers_[r.id];
  a.answered = r;
  answer_bytes_ += size_of(r);
  set_needed_record(a.needed_from, s, {Kind::answer, r.id, {}});
  answers_by_expiry_[{r.until, r.id}] = 0;
  if (!r.idempotency_key.empty()) ids_by_key_[{r.tenant, r.destination, r.idempotency_key}] = r.id;
}

void StateImage::on(Sequence, Time at, const record::Gone& r) {
  drop_held(r.id);
  const auto it = answers_.find(r.id);
  if (it == answers_.end()) return;
  const Answer answer = it->second;
  drop_answer(r.id);
  if (answer.answered.remember > at) add_delivered(answer.needed_from, remembered(answer.answered));
}

void StateImage::on(Sequence s, Time, const record::Remembered& r) {
  for (const auto& answer : r.answers) {
    next_id_ = std::max(next_id_, answer.id + 1);
    drop_held(answer.id), drop_answer(answer.id), drop_delivered(answer.id);
    add_delivered(s, answer);
  }
}

void StateImage::add_delivered(Sequence s, const record::RememberedAnswer& answer) {
  DeliveredAnswer& delivered = delivered_answers_[answer.id];
  delivered.answer = answer;
  owed_answers_.emplace(answer.owed_until, answer.id);
  set_delivered_record(delivered, s);
}

void StateImage::drop_delivered(MessageId id) {
  const auto it = delivered_answers_.find(id);
  if (it == delivered_answers_.end()) return;
  owed_answers_.erase({it->second.answer.owed_until, id});
  surplus_answers_.erase({it->second.answer.until, id});
  set_delivered_record(it->second, 0);
  delivered_answers_.erase(it);
}

// A record is needed as long as one of its answers is remembered.
void StateImage::set_delivered_record(DeliveredAnswer& delivered, Sequence sequence) {
  const MessageId id = delivered.answer.id;
  if (const Sequence earlier = delivered.needed_from; earlier != 0) {
    delivered_by_record_.erase({earlier, id});
    const auto next = delivered_by_record_.lower_bound({earlier, 0});
    if (next == delivered_by_record_.end() || next->first != earlier) items_by_record_.erase(earlier);
  }
  delivered.needed_from = sequence;
  if (sequence == 0) return;
  delivered_by_record_.emplace(sequence, id);
  items_by_record_[sequence] = {Kind::delivered, 0, {}};
}

void StateImage::expire_delivered_answers(Time now, std::size_t bytes_max) {
  while (!owed_answers_.empty() && owed_answers_.begin()->first <= now) {
    const MessageId id = owed_answers_.begin()->second;
    owed_answers_.erase(owed_answers_.begin());
    surplus_answers_.emplace(delivered_answers_.at(id).answer.until, id);
  }
  while (!surplus_answers_.empty()) {
    const auto [until, id] = *surplus_answers_.begin();
    if (until > now && delivered_answers_.size() * kDeliveredAnswerBytes <= bytes_max) return;
    drop_delivered(id);
  }
}

std::vector<record::Remembered> StateImage::remembered_records() const {
  std::vector<record::Remembered> records;
  for (const auto& [id, delivered] : delivered_answers_) {
    if (records.empty() || records.back().answers.size() == kMaxRememberedPerRecord) records.emplace_back();
    records.back().answers.push_back(delivered.answer);
  }
  return records;
}

void StateImage::on(Sequence s, Time at, const record::Told& r) {
  auto& w = waits_[r.endpoint];
  // A told wait is never shortened. A record with the same end is a rewrite, and the item then depends on it.
  if (w.second != 0 && w.first.until > r.until) return;
  w.first = r;
  set_needed_record(w.second, s, {Kind::wait, 0, r.endpoint});
  // Drops at most one expired wait per record.
  if (const auto first = waits_.begin(); first->second.first.until <= at) {
    items_by_record_.erase(first->second.second);
    waits_.erase(first);
  }
}

void StateImage::on(Sequence s, Time, const record::Seen& r) {
  auto& h = health_[r.endpoint];
  if (r.health == action::Health::well) {
    items_by_record_.erase(h.second);
    health_.erase(r.endpoint);
    return;
  }
  h.first = r;
  set_needed_record(h.second, s, {Kind::health, 0, r.endpoint});
}

void StateImage::drop_held(MessageId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const auto& m = it->second.state;
  const auto name = ids_by_key_.find({m.tenant, m.destination, m.message->idempotency_key});
  if (name != ids_by_key_.end() && name->second == id) ids_by_key_.erase(name);
  items_by_record_.erase(it->second.needed_from);
  held_bytes_ -= approximate_bytes_of(*m.message);
  held_.erase(it);
}

void StateImage::drop_answer(MessageId id) {
  const auto it = answers_.find(id);
  if (it == answers_.end()) return;
  const auto& a = it->second.answered;
  const auto name = ids_by_key_.find({a.tenant, a.destination, a.idempotency_key});
  if (name != ids_by_key_.end() && name->second == id) ids_by_key_.erase(name);
  answers_by_expiry_.erase({a.until, id});
  answer_bytes_ -= size_of(a);
  items_by_record_.erase(it->second.needed_from);
  answers_.erase(it);
}

std::optional<MessageId> StateImage::find(const std::string& tenant, const std::string& destination,
                                          const std::string& key) const {
  const auto it = ids_by_key_.find({tenant, destination, key});
  return it == ids_by_key_.end() ? std::nullopt : std::optional(it->second);
}

Record StateImage::oldest_item_record(Time now, Sequence before) const {
  const auto& [kind, id, endpoint] = items_by_record_.begin()->second;
  switch (kind) {
    case Kind::base: {
      record::Base base = base_;
      base.next_id = next_id_;
      return {now, base};
    }
    case Kind::held:
      return {now, held_.at(id).state};
    case Kind::answer:
      return {now, answers_.at(id).answered};
    case Kind::delivered: {
      const Sequence oldest = items_by_record_.begin()->first;
      record::Remembered all;
      for (const auto& [sequence, answer_id] : delivered_by_record_) {
        if (sequence != oldest && sequence >= before) break;
        if (all.answers.size() == kMaxRememberedPerRecord) break;
        all.answers.push_back(delivered_answers_.at(answer_id).answer);
      }
      return {now, std::move(all)};
    }
    case Kind::wait:
      return {now, waits_.at(endpoint).first};
    case Kind::health:
      break;
  }
  return {now, health_.at(endpoint).first};
}

MessageId StateImage::find_expired_answer(Time now, std::size_t answers_max, std::size_t bytes_max) const {
  if (answers_by_expiry_.empty()) return 0;
  const auto& [until, id] = answers_by_expiry_.begin()->first;
  return until <= now || answers_.size() > answers_max || answer_bytes_ > bytes_max ? id : 0;
}

}  // namespace cedarplank::journal
