#include "faults/judge.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::testing::faults {
namespace {

constexpr Time kOverdue = 350'000;         // after its time: lost (PROTOCOL, the rules on sockets)
constexpr Time kAfterReady = 1'500'000;    // no notice is overdue until then
constexpr Time kInFlight = 100'000;        // a call that left before the end may still arrive
constexpr Time kReadyWithin = 10'000'000;  // nine in ten restarted relays

}  // namespace

Time Judge::due(const Request& request) const {
  Time due = request.deadline + kOverdue + lag;
  for (const auto& restart : restarts) {
    if (restart.relay != request.relay || restart.signalled > due) continue;
    if (restart.ready == 0) return std::numeric_limits<Time>::max();
    due = std::max(due, restart.ready + kAfterReady + lag);
  }
  return due;
}

bool Judge::left_before(const Call& call, Time moment) const {
  const Time in_flight = kInFlight + lag;
  if (call.at <= moment + in_flight) return true;
  return std::any_of(holds.begin(), holds.end(), [&](const Hold& hold) {
    return hold.endpoint == call.endpoint && hold.from <= moment && call.at >= hold.until &&
           call.at <= hold.until + in_flight;
  });
}

void Judge::check_calls(const Request& r, const std::string& what, Verdict& v) const {
  std::size_t runs = 0;
  for (const auto& call : r.calls) {
    runs += call.ran;
    if (r.ended > 0 && !left_before(call, r.ended))
      v.broken.push_back("sent after its end: " + what + ", " + r.ended_by + " at " + at(r.ended) +
                         ", call at " + call.endpoint + " at " + at(call.at));
    if (r.said_over > 0 && !left_before(call, r.said_over))
      v.broken.push_back("sent after an endpoint said that it is over: " + what + ", said at " +
                         at(r.said_over) + ", call at " + call.endpoint + " at " + at(call.at));
    for (const auto& wait : waits) {
      if (wait.endpoint != call.endpoint || wait.relay != r.relay) continue;
      const bool restarted = std::any_of(restarts.begin(), restarts.end(), [&](const Restart& x) {
        return x.relay == r.relay && x.signalled < call.at && x.ready > wait.told;
      });
      if (!left_before(call, wait.told) && call.at < wait.until && !restarted)
        v.broken.push_back("sent against a told wait: " + what + ", told at " + at(wait.told) + " until " +
                           at(wait.until) + ", call at " + call.endpoint + " at " + at(call.at));
    }
  }
  if (runs > 1 && !r.repeatable)
    v.broken.push_back("ran twice: " + what + ", " + std::to_string(runs) + " times");
}

// All copies of a request hear the same of it, whatever else happens. A refusal may be followed by anything:
// it ends the request, so nothing may be sent after it.
void Judge::check_answers(const Request& r, const std::string& what, Verdict& v) const {
  bool accepted = false, failed = false;
  for (const auto& answer : r.answers) {
    const bool fails = !answer.accepts() && !answer.refuses();
    // What was taken on has the end that its notice tells, sooner or later.
    const bool as_noticed = r.noticed > 0 && r.noticed_failed == fails;
    if (!answer.accepts() && accepted && !as_noticed)
      v.broken.push_back("taken on, then told as over without such a notice: " + what + ", answer " +
                         std::to_string(answer.status) + " at " + at(answer.at));
    if (answer.accepts() && failed)
      v.broken.push_back("told as failed, then accepted: " + what + " at " + at(answer.at));
    if (!answer.accepts() && r.delivered > 0 && r.accepted() && r.noticed == 0 &&
        answer.at > r.delivered + kInFlight + lag)
      v.broken.push_back("delivered, then told as not: " + what + ", answer " +
                         std::to_string(answer.status) + " at " + at(answer.at));
    accepted = accepted || answer.accepts(), failed = failed || fails;
  }
}

Verdict Judge::verdict(Time now) const {
  Verdict v;
  v.broken = crashes;
  for (const auto& restart : restarts)
    if ((restart.ready == 0 ? now : restart.ready) - restart.signalled > kReadyWithin + lag)
      v.broken.push_back("relay " + std::to_string(restart.relay) + " told to end at " +
                         at(restart.signalled) + " was not ready again in time");
  for (const auto& [id, r] : requests) {
    v.handed_in++;
    v.accepted += r.accepted(), v.delivered += r.accepted() && r.delivered > 0 && r.delivered <= r.deadline;
    v.refused += r.status == 503 || r.status == 429;
    v.unanswered += r.status == 0, v.ended += r.ended > 0, v.repeated += r.copies > 1;
    const std::string what = id + " (handed in at " + at(r.handed_in) + ", answer " +
                             std::to_string(r.status) + ", copies " + std::to_string(r.copies) +
                             ", time up at " + at(r.deadline) + ")";
    if (r.accepted()) {
      const Time over = r.delivered > 0 && r.noticed > 0 ? std::min(r.delivered, r.noticed)
                                                         : std::max(r.delivered, r.noticed);
      if (over == 0 ? now > due(r) : over > due(r))
        v.broken.push_back("lost: " + what + (over == 0 ? ", no end" : ", its end came at " + at(over)));
    }
    check_calls(r, what, v);
    check_answers(r, what, v);
  }
  return v;
}

}  // namespace cedarplank::testing::faults
