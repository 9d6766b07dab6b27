// The relay's counters as one line of JSON: see docs/operate/platform.md.
#include <iterator>

#include "platform/process_usage.hpp"
#include "platform/relay.hpp"

namespace cedarplank::platform {

std::string Relay::counts() const {
  const auto& c = core_->counts();
  const auto& e = endpoints_->counts();
  const auto& k = clients_->counts();
  const auto pair = [](const char* name, std::uint64_t n) {
    return std::string("\"") + name + "\":" + std::to_string(n) + ",";
  };
  std::string text =
      "{" + pair("taken", c.accepted) + pair("not_taken", c.rejected) + pair("served", c.served) +
      pair("refused", c.refused) + pair("failed", c.failed) + pair("withdrawn", c.withdrawn) +
      pair("held", core_->held()) + pair("calls", e.calls) + pair("calls_out", endpoints_->calls_out()) +
      pair("reused", e.reused) + pair("opened", e.opened) + pair("stale", e.stale) + pair("moved", e.moved) +
      pair("spoilt", e.spoilt) + pair("unasked", e.unasked) + pair("unasked_bytes", e.unasked_bytes) +
      pair("unproved", e.unproved) + pair("unconfirmed", e.unconfirmed) + pair("no_descriptor", e.full) +
      pair("links", endpoints_->connections()) + pair("clients", clients_->connections()) +
      pair("accepted", k.accepted) + pair("requests", k.requests) + pair("unread", k.unread) +
      pair("evicted", k.evicted) + pair("ended_once", k.ended_once) + pair("timed_out", k.timed_out) +
      pair("no_room", k.no_room) + pair("unread_answers", k.unread_answers) +
      pair("notices", notices_->size()) + pair("notice_posts", notices_->counts().posts) +
      pair("notice_posts_confirmed", notices_->counts().confirmed_posts) +
      pair("notices_repeated", notices_->counts().repeated_notices) +
      pair("journal_bytes", journal_->bytes()) + pair("journal_stalls", journal_->counts().stalls) +
      pair("journal_stalled_ms", static_cast<std::uint64_t>(journal_->counts().stalled) / 1000) +
      pair("rounds", core_->rounds());
  const ProcessUsage usage = read_process_usage();
  const auto unfinished = clients_->unfinished();
  text += pair("resident", usage.resident) + pair("peak_resident", usage.peak_resident) +
          pair("memory_limit", config_.limits.memory) + pair("descriptors", usage.descriptors) +
          pair("memory_counted", memory_.used());
  for (std::size_t use = 0; use < kMemoryUses; use++)
    text += pair((std::string("memory_") + name_of(static_cast<MemoryUse>(use))).c_str(),
                 memory_.used(static_cast<MemoryUse>(use)));
  text += pair("unfinished", unfinished.requests) + pair("waiting_for_room", unfinished.waiting_for_room) +
          pair("oldest_unfinished_ms", static_cast<std::uint64_t>(unfinished.oldest) / 1000) +
          pair("ends_remembered", requests_.remembered()) +
          pair("ends_in_journal", journal_->image().delivered_answers().size()) +
          pair("ends_owed_in_journal", journal_->image().owed_answers());
  // Attempts by the outcome reported to the dispatcher: their number and mean duration.
  static constexpr const char* kOutcomes[] = {"ok",    "error",     "full",    "timeout", "connect_failed",
                                              "reset", "cancelled", "not_sent"};
  for (std::size_t i = 0; i < std::size(kOutcomes); i++) {
    const auto& told = core_->outcome_stats(static_cast<Outcome>(i));
    if (told.calls == 0) continue;
    text += pair(kOutcomes[i], told.calls);
    text += pair((std::string(kOutcomes[i]) + "_ms").c_str(),
                 static_cast<std::uint64_t>(told.latency) / told.calls / 1000);
  }
  text += pair("ends_forgotten", requests_.forgotten_early());
  for (const auto& [what, n] : repeats_by_state_) text += pair(what.c_str(), n);
  for (const auto& [why, n] : rejected_by_reason_) text += pair(why.c_str(), n);
  for (const auto& [why, n] : core_->unserved_by_reason()) text += pair(why.c_str(), n);
  text.back() = '}';
  return text;
}

}  // namespace cedarplank::platform
