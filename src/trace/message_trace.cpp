#include "trace/message_trace.hpp"

#include <map>

namespace cedarplank::trace {

const char* name_of(Step::What what) {
  constexpr const char* kNames[] = {"taken",  "send", "carried",  "ended",
                                    "refuse", "fail", "answered", "withdrawn"};
  return kNames[static_cast<std::size_t>(what)];
}

const char* name_of(Verdict v) {
  constexpr const char* kNames[] = {"failed", "refused", "turned away", "withdrawn",
                                    "late",   "retried", "served"};
  return kNames[static_cast<std::size_t>(v)];
}

TimeBreakdown time_breakdown(const MessageTrace& message_trace) {
  TimeBreakdown parts;
  parts.approximate = message_trace.elided > 0;
  std::map<int, bool> under_way;  // by attempt: whether it has been sent on a connection
  Time last = message_trace.accepted_at;
  const auto add_time = [&](Time until) {
    bool waiting = false, out = false;
    for (const auto& [attempt, left] : under_way) (left ? out : waiting) = true;
    (out ? parts.endpoint : waiting ? parts.connection : parts.held) += until - last;
    last = until;
  };
  for (const auto& s : message_trace.steps) {
    if (s.at > message_trace.ended_at) break;
    add_time(s.at);
    if (s.what == Step::What::send)
      under_way[s.attempt] = false;
    else if (s.what == Step::What::carried)
      under_way[s.attempt] = true;
    else if (s.what == Step::What::ended)
      under_way.erase(s.attempt);
  }
  add_time(std::max(last, message_trace.ended_at));
  return parts;
}

}  // namespace cedarplank::trace
