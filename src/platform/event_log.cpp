#include "platform/event_log.hpp"

#include <utility>

namespace cedarplank::platform {

const char* name_of(Event event) {
  switch (event) {
    case Event::module:
      return "module";
    case Event::endpoints:
      return "endpoints";
    case Event::clients:
      return "clients";
    case Event::discovery:
      return "discovery";
    case Event::outcomes:
      return "outcomes";
    case Event::journal:
      return "journal";
    case Event::turned_away:
      return "turned_away";
    case Event::repeated:
      return "repeated";
    case Event::withdrawn:
      return "withdrawn";
    case Event::attempt:
      return "attempt";
    case Event::delivered:
      return "delivered";
    case Event::unasked:
      return "unasked";
    case Event::retry:
      return "retry";
    case Event::said_over:
      return "said_over";
    case Event::ended:
      return "ended";
    case Event::recovered:
      return "recovered";
    case Event::memory:
      return "memory";
    case Event::state:
      return "state";
    case Event::reloaded:
      return "reloaded";
  }
  return "unknown";
}

bool EventLog::admit(Event event) {
  constexpr std::int64_t kSecond = 1'000'000;
  LineBudget& share = budgets_[event];
  const std::int64_t second = loop::monotonic_now() / kSecond;
  if (second != share.second) {
    share.second = second, share.lines = 0;
    if (const auto left_out = std::exchange(share.suppressed, 0); left_out > 0)
      sink_("left_out", std::to_string(left_out) + " lines of " + name_of(event) +
                            std::exchange(share.suppressed_ids, {}));
  }
  if (share.lines >= lines_per_second_) return share.suppressed++, false;
  share.lines++;
  return true;
}

void EventLog::note_suppressed(Event event, const std::string& id) {
  std::string& ids = budgets_[event].suppressed_ids;
  if (ids.size() + id.size() + 1 <= kMaxSuppressedIdBytes) ids += " " + id;
}

}  // namespace cedarplank::platform
