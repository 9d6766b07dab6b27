#include "platform/final_answer_table.hpp"

namespace cedarplank::platform {

const char* name_of(RequestState state) {
  switch (state) {
    case RequestState::waiting:
      return "waiting";
    case RequestState::accepted:
      return "accepted";
    case RequestState::delivered:
      return "delivered";
    case RequestState::returned:
      return "returned";
    case RequestState::failed:
      return "failed";
  }
  return "unknown";
}

void FinalAnswerTable::add(std::uint64_t id_hash, const FinalAnswer& answer) {
  forget_old(answer.since);
  if (!answers_.emplace(id_hash, answer).second) return;
  by_age_.push_back({answer.since, id_hash});
  forget_old(answer.since);
}

const FinalAnswer* FinalAnswerTable::find(Time now, const std::string& id) {
  forget_old(now);
  const auto it = answers_.find(journal::hash_of_owner(id));
  return it == answers_.end() ? nullptr : &it->second;
}

bool FinalAnswerTable::has_room(Time now, std::size_t answers) {
  forget_old(now);
  return answers_.size() + answers <= most_;
}

void FinalAnswerTable::forget_old(Time now) {
  while (!by_age_.empty()) {
    const bool old = now - by_age_.front().at > retention_;
    const bool surplus = when_full_ == WhenFull::forget_oldest && by_age_.size() > most_;
    if (!old && !surplus) break;
    forgotten_early_ += !old;
    answers_.erase(by_age_.front().hash);
    by_age_.pop_front();
  }
}

}  // namespace cedarplank::platform
