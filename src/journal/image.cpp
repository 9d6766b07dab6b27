#include "journal/image.hpp"

#include <algorithm>

namespace cedarplank::journal {
namespace {

// Approximate size of the record in the log.
std::size_t size_of(const record::Answered& a) {
  return 100 + a.message_class.size() + a.last.size() + a.destination.size() + a.tenant.size() +
         a.idempotency_key.size() + a.owner.size();
}

std::size_t size_of(const Image::End& end) { return 80 + end.owner.size(); }

std::size_t size_of(const relay::NewMessage& m) {
  return 300 + m.body.size() + m.owner.size() + m.idempotency_key.size();
}

}  // namespace

void Image::apply(Sequence sequence, const Record& record) {
  // A Base sets the time itself: a new run's clock may be behind the clock of the run before.
  if (!std::holds_alternative<record::Base>(record.what)) last_at_ = std::max(last_at_, record.at);
  std::visit([&](const auto& r) { on(sequence, record.at, r); }, record.what);
}

void Image::place(Sequence& current, Sequence sequence, Place item) {
  places_.erase(current);
  current = sequence;
  places_[sequence] = std::move(item);
}

void Image::on(Sequence s, Time at, const record::Base& r) {
  if (r.shift != 0) {
    ends_.clear();
    for (auto& [id, h] : held_) {
      h.now.deadline += r.shift, h.now.ran_at += r.shift;
      for (auto& a : h.now.out) a.at += r.shift;
    }
    for (auto& [id, a] : answers_)
      if (a.is.until != 0) a.is.until += r.shift, ends_[{a.is.until, id}] = 0;
    for (auto& [id, end] : remembered_) end.until += r.shift;
    for (auto& [until, id] : remembered_until_) until += r.shift;
    for (auto& [id, w] : waits_) w.first.until += r.shift;
    for (auto& [id, h] : health_) h.first.since += r.shift;
  }
  base_ = r, last_at_ = at;
  // The shift has been applied; a rewritten Base must not apply it again (see carried()).
  base_.shift = 0;
  next_id_ = std::max(next_id_, r.next_id);
  place(base_first_, s, {Kind::base, 0, {}});
}

void Image::on(Sequence s, Time, const record::Taken& r) {
  next_id_ = std::max(next_id_, r.id + 1);
  if (answers_.count(r.id) > 0 || remembered_.count(r.id) > 0) return;
  Held& h = held_[r.id];
  if (h.now.message) held_bytes_ -= size_of(*h.now.message);
  held_bytes_ += size_of(*r.message);
  h.now = r;
  place(h.first, s, {Kind::held, r.id, {}});
  const auto& key = r.message->idempotency_key;
  if (!key.empty()) names_[{r.tenant, r.destination, key}] = r.id;
}

void Image::on(Sequence, Time, const record::Sending& r) {
  const auto it = held_.find(r.id);
  if (it == held_.end()) return;
  auto& m = it->second.now;
  m.attempts = std::max(m.attempts, r.attempt.number + 1);
  m.out.push_back(r.attempt);
}

void Image::on(Sequence, Time, const record::Ended& r) {
  const auto it = held_.find(r.id);
  if (it == held_.end()) return;
  auto& m = it->second.now;
  m.last = r.what;
  const auto a =
      std::find_if(m.out.begin(), m.out.end(), [&](const auto& x) { return x.number == r.attempt; });
  if (a == m.out.end()) return;
  if (!r.unrun && (!m.ran || a->at < m.ran_at)) m.ran = true, m.ran_zone = a->zone, m.ran_at = a->at;
  m.out.erase(a);
}

void Image::on(Sequence s, Time, const record::Answered& r) {
  next_id_ = std::max(next_id_, r.id + 1);
  drop_held(r.id), drop_answer(r.id), drop_end(r.id);
  if (r.handed_over) return remember(s, r);
  if (r.until == 0) return;
  Answer& a = answers_[r.id];
  a.is = r;
  answer_bytes_ += size_of(r);
  place(a.first, s, {Kind::answer, r.id, {}});
  ends_[{r.until, r.id}] = 0;
  if (!r.idempotency_key.empty()) names_[{r.tenant, r.destination, r.idempotency_key}] = r.id;
}

void Image::on(Sequence, Time at, const record::Gone& r) {
  drop_held(r.id);
  const auto it = answers_.find(r.id);
  if (it == answers_.end()) return;
  const Answer answer = it->second;
  drop_answer(r.id);
  if (answer.is.remember > at) remember(answer.first, answer.is);
}

record::Answered Image::End::as_record(MessageId id) const {
  record::Answered answer;
  answer.id = id, answer.verdict = verdict, answer.come_back = come_back, answer.owner = owner;
  answer.fingerprint = fingerprint, answer.remember = until, answer.handed_over = true;
  return answer;
}

void Image::remember(Sequence s, const record::Answered& answer) {
  End& end = remembered_[answer.id];
  end.owner = answer.owner, end.verdict = answer.verdict, end.come_back = answer.come_back;
  end.until = answer.remember, end.fingerprint = answer.fingerprint;
  end_bytes_ += size_of(end);
  remembered_until_.emplace_back(end.until, answer.id);
  place(end.first, s, {Kind::end, answer.id, {}});
}

void Image::drop_end(MessageId id) {
  const auto it = remembered_.find(id);
  if (it == remembered_.end()) return;
  end_bytes_ -= size_of(it->second);
  places_.erase(it->second.first);
  remembered_.erase(it);
}

void Image::forget_ends(Time now, std::size_t bytes_max) {
  while (!remembered_until_.empty()) {
    const auto [until, id] = remembered_until_.front();
    if (until > now && end_bytes_ <= bytes_max) return;
    remembered_until_.pop_front();
    drop_end(id);
  }
}

void Image::on(Sequence s, Time at, const record::Told& r) {
  auto& w = waits_[r.endpoint];
  // A told wait is never shortened. A record with the same end is a rewrite, and the item then depends on it.
  if (w.second != 0 && w.first.until > r.until) return;
  w.first = r;
  place(w.second, s, {Kind::wait, 0, r.endpoint});
  // Drops at most one expired wait per record.
  if (const auto first = waits_.begin(); first->second.first.until <= at) {
    places_.erase(first->second.second);
    waits_.erase(first);
  }
}

void Image::on(Sequence s, Time, const record::Seen& r) {
  auto& h = health_[r.endpoint];
  if (r.health == action::Health::well) {
    places_.erase(h.second);
    health_.erase(r.endpoint);
    return;
  }
  h.first = r;
  place(h.second, s, {Kind::health, 0, r.endpoint});
}

void Image::drop_held(MessageId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  const auto& m = it->second.now;
  const auto name = names_.find({m.tenant, m.destination, m.message->idempotency_key});
  if (name != names_.end() && name->second == id) names_.erase(name);
  places_.erase(it->second.first);
  held_bytes_ -= size_of(*m.message);
  held_.erase(it);
}

void Image::drop_answer(MessageId id) {
  const auto it = answers_.find(id);
  if (it == answers_.end()) return;
  const auto& a = it->second.is;
  const auto name = names_.find({a.tenant, a.destination, a.idempotency_key});
  if (name != names_.end() && name->second == id) names_.erase(name);
  ends_.erase({a.until, id});
  answer_bytes_ -= size_of(a);
  places_.erase(it->second.first);
  answers_.erase(it);
}

std::optional<MessageId> Image::find(const std::string& tenant, const std::string& destination,
                                     const std::string& key) const {
  const auto it = names_.find({tenant, destination, key});
  return it == names_.end() ? std::nullopt : std::optional(it->second);
}

Record Image::carried(Time now) const {
  const auto& [kind, id, endpoint] = places_.begin()->second;
  switch (kind) {
    case Kind::base: {
      record::Base base = base_;
      base.next_id = next_id_;
      return {now, base};
    }
    case Kind::held:
      return {now, held_.at(id).now};
    case Kind::answer:
      return {now, answers_.at(id).is};
    case Kind::end:
      return {now, remembered_.at(id).as_record(id)};
    case Kind::wait:
      return {now, waits_.at(endpoint).first};
    case Kind::health:
      break;
  }
  return {now, health_.at(endpoint).first};
}

MessageId Image::outlived(Time now, std::size_t answers_max, std::size_t bytes_max) const {
  if (ends_.empty()) return 0;
  const auto& [until, id] = ends_.begin()->first;
  return until <= now || answers_.size() > answers_max || answer_bytes_ > bytes_max ? id : 0;
}

}  // namespace cedarplank::journal
