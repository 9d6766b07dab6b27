#include "sms/submissions.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::sms {

bool Submissions::has_capacity(const std::string& client, std::size_t have, std::size_t most,
                               std::size_t bytes) const {
  const auto it = waiting_by_client_.find(client);
  const std::size_t own = it == waiting_by_client_.end() ? 0 : it->second;
  return have < most && own < (settings_.parts_max + settings_.scheduled_max) / 2 &&
         bytes_ + bytes <= settings_.bytes_max;
}

void Submissions::adjust_waiting(const std::string& client, int by) {
  const auto it = waiting_by_client_.try_emplace(client, 0).first;
  it->second = static_cast<std::size_t>(static_cast<std::int64_t>(it->second) + by);
  if (it->second == 0) waiting_by_client_.erase(it);
}

Submissions::Added Submissions::add_part(Time now, const std::string& key, const smpp::PartInfo& part,
                                         Submission submission, std::string text) {
  Added added;
  auto it = incomplete_.find(key);
  const bool is_new = it == incomplete_.end();
  if (!is_new && it->second.total == part.total && it->second.part_texts.count(part.number) > 0)
    return {Part::duplicate, it->second.submission.id, {}};
  if (!is_new && it->second.total != part.total) return added;
  if (is_new ? !has_capacity(submission.client, incomplete_.size(), settings_.parts_max, text.size())
             : bytes_ + text.size() > settings_.bytes_max)
    return added;
  if (is_new) {
    adjust_waiting(submission.client, 1);
    const Time due = std::min(submission.expires_at, now + settings_.parts_timeout);
    parts_due_.insert({due, key});
    it = incomplete_.emplace(key, IncompleteMessage{std::move(submission), due, part.total, 0, 0, {}}).first;
  } else {
    // A receipt is sent where any part asks for one.
    it->second.submission.registered_delivery |= submission.registered_delivery;
  }
  IncompleteMessage& open = it->second;
  added.id = open.submission.id;
  open.received++, open.bytes += text.size(), bytes_ += text.size();
  open.part_texts[part.number] = std::move(text);
  added.part = is_new ? Part::first : Part::more;
  if (open.received < open.total) return added;
  added.part = Part::completed;
  for (auto& [number, piece] : open.part_texts) open.submission.request.body += piece;
  bytes_ -= open.bytes;
  parts_due_.erase({open.due, key});
  adjust_waiting(open.submission.client, -1);
  added.completed = std::move(open.submission);
  incomplete_.erase(it);
  return added;
}

bool Submissions::schedule(Submission& s) {
  if (!has_capacity(s.client, scheduled_.size(), settings_.scheduled_max, s.request.body.size()))
    return false;
  adjust_waiting(s.client, 1);
  bytes_ += s.request.body.size();
  const Key key{s.id, next_number_++};
  scheduled_due_.insert({s.not_before, key});
  scheduled_[key] = std::move(s);
  return true;
}

void Submissions::take_due(Time now, std::vector<Submission>& start, std::vector<Submission>& incomplete) {
  while (!scheduled_due_.empty() && scheduled_due_.begin()->first <= now) {
    const auto it = scheduled_.find(scheduled_due_.begin()->second);
    scheduled_due_.erase(scheduled_due_.begin());
    bytes_ -= it->second.request.body.size();
    adjust_waiting(it->second.client, -1);
    start.push_back(std::move(it->second));
    scheduled_.erase(it);
  }
  while (!parts_due_.empty() && parts_due_.begin()->first <= now) {
    const auto it = incomplete_.find(parts_due_.begin()->second);
    parts_due_.erase(parts_due_.begin());
    bytes_ -= it->second.bytes;
    adjust_waiting(it->second.submission.client, -1);
    incomplete.push_back(std::move(it->second.submission));
    incomplete_.erase(it);
  }
}

Time Submissions::next_due() const {
  Time due = std::numeric_limits<Time>::max();
  if (!scheduled_due_.empty()) due = scheduled_due_.begin()->first;
  if (!parts_due_.empty()) due = std::min(due, parts_due_.begin()->first);
  return due;
}

std::vector<Submission> Submissions::take_all() {
  std::vector<Submission> all;
  take_due(std::numeric_limits<Time>::max(), all, all);
  return all;
}

void Submissions::add_accepted(MessageId message, Submission s) {
  accepted_by_id_.emplace(s.id, message);
  by_connection_[s.connection]++;
  accepted_[message] = std::move(s);
}

std::optional<Submission> Submissions::remove_ended(MessageId message) {
  const auto it = accepted_.find(message);
  if (it == accepted_.end()) return std::nullopt;
  Submission s = std::move(it->second);
  accepted_.erase(it);
  if (const auto at = by_connection_.find(s.connection); --at->second == 0) by_connection_.erase(at);
  const auto [from, to] = accepted_by_id_.equal_range(s.id);
  for (auto at = from; at != to; ++at)
    if (at->second == message) {
      accepted_by_id_.erase(at);
      break;
    }
  return s;
}

std::size_t Submissions::accepted_count(std::uint64_t connection) const {
  const auto it = by_connection_.find(connection);
  return it == by_connection_.end() ? 0 : it->second;
}

Submissions::Cancelled Submissions::cancel(const std::string& client, const std::string& id, Time wall) {
  Cancelled c;
  for (const auto& key : scheduled(client, id)) {
    const auto it = scheduled_.find(key);
    bytes_ -= it->second.request.body.size();
    scheduled_due_.erase({it->second.not_before, key});
    scheduled_.erase(it);
    adjust_waiting(client, -1);
    c.found = true;
  }
  const auto [from, to] = accepted_by_id_.equal_range(id);
  for (auto at = from; at != to; ++at)
    if (accepted_.at(at->second).client == client) c.messages.push_back(at->second);
  for (const auto message : c.messages) remove_ended(message);
  c.found = c.found || !c.messages.empty();
  if (c.found) record_final_state(client, id, kDeleted, wall);
  return c;
}

std::vector<Submissions::Key> Submissions::scheduled(const std::string& client, const std::string& id) const {
  std::vector<Key> keys;
  for (auto it = scheduled_.lower_bound({id, 0}); it != scheduled_.end() && it->first.first == id; ++it)
    if (it->second.client == client) keys.push_back(it->first);
  return keys;
}

bool Submissions::replace(const std::string& client, const std::string& id, Content content,
                          std::optional<Time> starts, std::optional<Time> ends) {
  const auto keys = scheduled(client, id);
  std::size_t bytes = bytes_;
  for (const auto& key : keys) bytes = bytes - scheduled_.at(key).request.body.size() + content.body.size();
  if (keys.empty() || bytes > settings_.bytes_max) return false;
  bytes_ = bytes;
  for (const auto& key : keys) {
    Submission& s = scheduled_.at(key);
    s.request.body = content.body, s.request.content_type = content.type;
    scheduled_due_.erase({s.not_before, key});
    s.not_before = starts.value_or(s.not_before), s.expires_at = ends.value_or(s.expires_at);
    scheduled_due_.insert({s.not_before, key});
  }
  return true;
}

std::optional<Submissions::State> Submissions::state(const std::string& client, const std::string& id) const {
  if (!scheduled(client, id).empty()) return State{};
  const auto [from, to] = accepted_by_id_.equal_range(id);
  for (auto it = from; it != to; ++it)
    if (accepted_.at(it->second).client == client) return State{};
  for (const auto& [key, open] : incomplete_)
    if (open.submission.id == id && open.submission.client == client) return State{};
  const auto end = final_states_.find(id);
  if (end == final_states_.end() || end->second.first != client) return std::nullopt;
  return end->second.second;
}

void Submissions::record_final_state(const std::string& client, const std::string& id, std::uint8_t state,
                                     Time wall) {
  if (settings_.states_max == 0) return;
  const auto [it, fresh] = final_states_.try_emplace(id, std::pair(client, State{state, wall}));
  // For several recipients under one id, the worst state is reported: delivered only where all were.
  if (!fresh && it->second.second.state == kDelivered) it->second.second = {state, wall};
  if (!fresh) return;
  final_states_order_.push_back(id);
  if (final_states_order_.size() <= settings_.states_max) return;
  final_states_.erase(final_states_order_.front());
  final_states_order_.pop_front();
}

}  // namespace cedarplank::sms
