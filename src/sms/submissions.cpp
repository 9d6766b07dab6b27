#include "sms/submissions.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::sms {

bool Submissions::has_room(const std::string& client, std::size_t have, std::size_t most,
                           std::size_t bytes) const {
  const auto it = waiting_.find(client);
  const std::size_t own = it == waiting_.end() ? 0 : it->second;
  return have < most && own < (settings_.parts_max + settings_.scheduled_max) / 2 &&
         bytes_ + bytes <= settings_.bytes_max;
}

void Submissions::counted(const std::string& client, int by) {
  const auto it = waiting_.try_emplace(client, 0).first;
  it->second = static_cast<std::size_t>(static_cast<std::int64_t>(it->second) + by);
  if (it->second == 0) waiting_.erase(it);
}

Submissions::Added Submissions::add_part(Time now, const std::string& key, const smpp::PartOf& part,
                                         Submission submission, std::string text) {
  Added added;
  auto it = parts_.find(key);
  const bool is_new = it == parts_.end();
  if (!is_new && it->second.total == part.total && it->second.texts.count(part.number) > 0)
    return {Part::again, it->second.submission.id, {}};
  if (!is_new && it->second.total != part.total) return added;
  if (is_new ? !has_room(submission.client, parts_.size(), settings_.parts_max, text.size())
             : bytes_ + text.size() > settings_.bytes_max)
    return added;
  if (is_new) {
    counted(submission.client, 1);
    const Time due = std::min(submission.ends, now + settings_.parts_within);
    parts_due_.insert({due, key});
    it = parts_.emplace(key, Open{std::move(submission), due, part.total, 0, 0, {}}).first;
  } else {
    // A receipt is sent where any part asks for one.
    it->second.submission.registered |= submission.registered;
  }
  Open& open = it->second;
  added.id = open.submission.id;
  open.have++, open.bytes += text.size(), bytes_ += text.size();
  open.texts[part.number] = std::move(text);
  added.part = is_new ? Part::first : Part::more;
  if (open.have < open.total) return added;
  added.part = Part::whole;
  for (auto& [number, piece] : open.texts) open.submission.request.body += piece;
  bytes_ -= open.bytes;
  parts_due_.erase({open.due, key});
  counted(open.submission.client, -1);
  added.whole = std::move(open.submission);
  parts_.erase(it);
  return added;
}

bool Submissions::schedule(Submission& s) {
  if (!has_room(s.client, scheduled_.size(), settings_.scheduled_max, s.request.body.size())) return false;
  counted(s.client, 1);
  bytes_ += s.request.body.size();
  const Key key{s.id, next_number_++};
  scheduled_due_.insert({s.starts, key});
  scheduled_[key] = std::move(s);
  return true;
}

void Submissions::due(Time now, std::vector<Submission>& start, std::vector<Submission>& incomplete) {
  while (!scheduled_due_.empty() && scheduled_due_.begin()->first <= now) {
    const auto it = scheduled_.find(scheduled_due_.begin()->second);
    scheduled_due_.erase(scheduled_due_.begin());
    bytes_ -= it->second.request.body.size();
    counted(it->second.client, -1);
    start.push_back(std::move(it->second));
    scheduled_.erase(it);
  }
  while (!parts_due_.empty() && parts_due_.begin()->first <= now) {
    const auto it = parts_.find(parts_due_.begin()->second);
    parts_due_.erase(parts_due_.begin());
    bytes_ -= it->second.bytes;
    counted(it->second.submission.client, -1);
    incomplete.push_back(std::move(it->second.submission));
    parts_.erase(it);
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
  due(std::numeric_limits<Time>::max(), all, all);
  return all;
}

void Submissions::with_relay(MessageId message, Submission s) {
  by_id_.emplace(s.id, message);
  by_connection_[s.connection]++;
  relay_[message] = std::move(s);
}

std::optional<Submission> Submissions::ended(MessageId message) {
  const auto it = relay_.find(message);
  if (it == relay_.end()) return std::nullopt;
  Submission s = std::move(it->second);
  relay_.erase(it);
  if (const auto at = by_connection_.find(s.connection); --at->second == 0) by_connection_.erase(at);
  const auto [from, to] = by_id_.equal_range(s.id);
  for (auto at = from; at != to; ++at)
    if (at->second == message) {
      by_id_.erase(at);
      break;
    }
  return s;
}

std::size_t Submissions::with_relay(std::uint64_t connection) const {
  const auto it = by_connection_.find(connection);
  return it == by_connection_.end() ? 0 : it->second;
}

Submissions::Cancelled Submissions::cancel(const std::string& client, const std::string& id, Time wall) {
  Cancelled c;
  for (const auto& key : scheduled(client, id)) {
    const auto it = scheduled_.find(key);
    bytes_ -= it->second.request.body.size();
    scheduled_due_.erase({it->second.starts, key});
    scheduled_.erase(it);
    counted(client, -1);
    c.found = true;
  }
  const auto [from, to] = by_id_.equal_range(id);
  for (auto at = from; at != to; ++at)
    if (relay_.at(at->second).client == client) c.messages.push_back(at->second);
  for (const auto message : c.messages) ended(message);
  c.found = c.found || !c.messages.empty();
  if (c.found) note_end(client, id, kDeleted, wall);
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
    scheduled_due_.erase({s.starts, key});
    s.starts = starts.value_or(s.starts), s.ends = ends.value_or(s.ends);
    scheduled_due_.insert({s.starts, key});
  }
  return true;
}

std::optional<Submissions::State> Submissions::state(const std::string& client, const std::string& id) const {
  if (!scheduled(client, id).empty()) return State{};
  const auto [from, to] = by_id_.equal_range(id);
  for (auto it = from; it != to; ++it)
    if (relay_.at(it->second).client == client) return State{};
  for (const auto& [key, open] : parts_)
    if (open.submission.id == id && open.submission.client == client) return State{};
  const auto end = ends_.find(id);
  if (end == ends_.end() || end->second.first != client) return std::nullopt;
  return end->second.second;
}

void Submissions::note_end(const std::string& client, const std::string& id, std::uint8_t state, Time wall) {
  if (settings_.states_max == 0) return;
  const auto [it, fresh] = ends_.try_emplace(id, std::pair(client, State{state, wall}));
  // For several recipients under one id, the worst state is reported: delivered only where all were.
  if (!fresh && it->second.second.state == kDelivered) it->second.second = {state, wall};
  if (!fresh) return;
  ends_order_.push_back(id);
  if (ends_order_.size() <= settings_.states_max) return;
  ends_.erase(ends_order_.front());
  ends_order_.pop_front();
}

}  // namespace cedarplank::sms
