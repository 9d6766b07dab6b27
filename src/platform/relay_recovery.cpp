// Recovery of the relay's state from the journal: held messages, final answers still to be reported, and
// final answers that are remembered for copies.
#include <algorithm>
#include <stdexcept>

#include "node/clock.hpp"
#include "platform/relay.hpp"
#include "platform/semantics.hpp"

namespace cedarplank::platform {
namespace {

RequestState state_of(journal::record::Verdict verdict) {
  switch (verdict) {
    case journal::record::Verdict::served:
      return RequestState::delivered;
    case journal::record::Verdict::refused:
      return RequestState::returned;
    case journal::record::Verdict::failed:
      break;
  }
  return RequestState::failed;
}

std::uint64_t fingerprint_of(const journal::record::Taken& taken) {
  return journal::fingerprint(taken.destination, taken.message_class, *taken.message);
}

}  // namespace

void Relay::recover() {
  auto& coordinator = journal_->coordinator();
  const Time now = loop_.refresh_now();
  const auto clock = node::clock_now();
  coordinator.write_base(journal::make_base(coordinator.image(), clock), now);
  const auto place = [](const settings::NameIndex& names, const std::string& name) {
    const int at = settings::index_of(names, name);
    return at < 0 ? std::nullopt : std::optional(at);
  };
  auto found = journal::recover(
      coordinator.image(), now,
      {.destination = [](const std::string& name) { return static_cast<DestinationId>(std::stoll(name)); },
       .message_class = [&](const std::string& name) { return place(config_.names.classes, name); },
       .tenant = [&](const std::string& name) { return place(config_.names.tenants, name); }});
  next_id_ = coordinator.image().next_id();
  check_recovered_memory();
  for (const auto& m : found.messages) {
    const auto& accepted = coordinator.image().held().at(m.id).state;
    requests_.restore(now, m.id, m.message->owner, platform::fingerprint_of(accepted));
    attempt_log_->follow(m.id);
    log_.line(Event::recovered, m.message->owner, [&] {
      return "attempts=" + std::to_string(m.prior_attempts.attempts) +
             " left_ms=" + std::to_string((m.deadline - now) / 1000) +
             (m.prior_attempts.ran_zone >= 0 ? " may have run" : "");
    });
  }
  // Final answers that may not have been reported: reported again, which is harmless.
  std::vector<journal::record::Answered> ended;
  for (const auto& [id, answer] : coordinator.image().answers()) ended.push_back(answer.answered);
  recover_final_answers(now);
  for (const auto& a : ended) {
    if (a.verdict == journal::record::Verdict::served || a.owner.empty())
      coordinator.answer_delivered(a.id);
    else
      notices_->add(a.id, a.verdict == journal::record::Verdict::refused
                              ? returned_notice(a.owner, a.come_back)
                              : failed_notice(a.owner));
  }
  for (const auto id : found.without_class) {
    const auto it = coordinator.image().held().find(id);
    if (it != coordinator.image().held().end()) {
      const auto& accepted = it->second.state;
      const std::string& name = accepted.message->owner;
      requests_.remember_end(name, {RequestState::failed, platform::fingerprint_of(accepted), now});
      notices_->add(id, failed_notice(name));
    }
    coordinator.end_message_without_class(id);
  }
  if (!found.messages.empty() || !ended.empty())
    log_.log_text(Event::recovered, std::to_string(found.messages.size()) + " messages held, " +
                                        std::to_string(ended.size()) + " ends to be told, " +
                                        std::to_string(found.known_endpoints.size()) + " endpoints known");
  recovered_ = std::move(found);
}

// What was accepted is owed, so a relay with too little memory for it does not start: it would be killed
// while it works.
void Relay::check_recovered_memory() {
  count_messages();
  const std::size_t needed = memory_.used(MemoryUse::messages);
  const std::size_t left = memory_.plan().reserved_for_messages + memory_.plan().shared;
  if (needed <= left) return;
  throw std::runtime_error("journal: " + std::to_string(journal_->image().held().size()) +
                           " messages are held, which need " + std::to_string(needed) +
                           " bytes of memory; limits.memory_mb leaves " + std::to_string(left) +
                           ": start the relay with more");
}

void Relay::recover_final_answers(Time now) {
  const auto& image = journal_->coordinator().image();
  const auto remember = [&](std::uint64_t name_hash, std::uint64_t fingerprint,
                            journal::record::Verdict verdict, Time come_back, Time until) {
    const Time ended_at = std::min(now, until - final_answer_retention(config_.settings));
    requests_.remember_end(name_hash,
                           {state_of(verdict), fingerprint, now, come_back > 0 ? ended_at + come_back : 0});
  };
  for (const auto& [id, delivered] : image.delivered_answers()) {
    const auto& is = delivered.answer;
    remember(is.owner_hash, is.fingerprint, is.verdict, is.come_back, is.until);
  }
  for (const auto& [id, answer] : image.answers()) {
    const auto& is = answer.answered;
    remember(journal::hash_of_owner(is.owner), is.fingerprint, is.verdict, is.come_back, is.remember);
  }
}

}  // namespace cedarplank::platform
