#include "faults/rule_checker.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::testing::faults {
namespace {

// Grace after the deadline; later, a request counts as lost (platform protocol).
constexpr Time kOverdue = 350'000;
constexpr Time kAfterReady = 1'500'000;    // no notice counts as overdue earlier than this after a restart
constexpr Time kInFlight = 100'000;        // a call sent before the final answer may still arrive
constexpr Time kReadyWithin = 10'000'000;  // bound for a restarted relay (platform protocol: for nine in ten)

}  // namespace

Time RuleChecker::final_answer_due(const Request& request) const {
  Time due = request.deadline + kOverdue + lag;
  for (const auto& restart : restarts) {
    if (restart.relay != request.relay || restart.signalled > due) continue;
    if (restart.ready == 0) return std::numeric_limits<Time>::max();
    due = std::max(due, restart.ready + kAfterReady + lag);
  }
  return due;
}

bool RuleChecker::left_before(const Call& call, Time moment) const {
  const Time in_flight = kInFlight + lag;
  if (call.received_at <= moment + in_flight) return true;
  return std::any_of(holds.begin(), holds.end(), [&](const Hold& hold) {
    return hold.endpoint == call.endpoint && hold.from <= moment && call.received_at >= hold.until &&
           call.received_at <= hold.until + in_flight;
  });
}

bool RuleChecker::restarted_between(int relay, Time from, Time until) const {
  return std::any_of(restarts.begin(), restarts.end(), [&](const Restart& restart) {
    return restart.relay == relay && restart.signalled > from && restart.signalled < until;
  });
}

void RuleChecker::check_calls(const Request& r, const std::string& label, CheckResult& result) const {
  std::size_t runs = 0;
  for (const auto& call : r.calls) {
    runs += call.ran;
    if (r.ended > 0 && !left_before(call, r.ended))
      result.violations.push_back("sent after its final answer: " + label + ", " + r.ended_by + " at " +
                                  time_text(r.ended) + ", call at " + call.endpoint + " at " +
                                  time_text(call.received_at));
    // A relay that could not record the end, and was killed, does not know of it.
    const bool forgotten = r.end_unrecorded && restarted_between(r.relay, r.endpoint_ended, call.received_at);
    if (r.endpoint_ended > 0 && !forgotten && !left_before(call, r.endpoint_ended))
      result.violations.push_back("sent after an endpoint answered 410 or 504: " + label + ", answered at " +
                                  time_text(r.endpoint_ended) + ", call at " + call.endpoint + " at " +
                                  time_text(call.received_at));
    for (const auto& wait : waits) {
      if (wait.endpoint != call.endpoint || wait.relay != r.relay) continue;
      const bool restarted = std::any_of(restarts.begin(), restarts.end(), [&](const Restart& x) {
        return x.relay == r.relay && x.signalled < call.received_at && x.ready > wait.told;
      });
      if (!left_before(call, wait.told) && call.received_at < wait.until && !restarted)
        result.violations.push_back("sent during a told wait: " + label + ", told at " +
                                    time_text(wait.told) + " until " + time_text(wait.until) + ", call at " +
                                    call.endpoint + " at " + time_text(call.received_at));
    }
  }
  if (runs > 1 && !r.repeatable)
    result.violations.push_back("ran more than once: " + label + ", " + std::to_string(runs) + " times");
}

// All copies of a request must get consistent answers. A refusal may be followed by any answer: it ends the
// request, so check_calls() verifies that nothing is sent after it.
void RuleChecker::check_answers(const Request& r, const std::string& label, CheckResult& result) const {
  bool accepted = false, failed = false;
  for (const auto& answer : r.answers) {
    const bool fails = !answer.accepts() && !answer.refuses();
    // The final answer of an accepted request is the one that its notice reports, before or after this
    // answer.
    const bool matches_notice = r.notified > 0 && r.notified_failed == fails;
    if (!answer.accepts() && accepted && !matches_notice)
      result.violations.push_back("accepted, then answered as ended without a matching notice: " + label +
                                  ", answer " + std::to_string(answer.status) + " at " +
                                  time_text(answer.received_at));
    if (answer.accepts() && failed)
      result.violations.push_back("answered as failed, then accepted: " + label + " at " +
                                  time_text(answer.received_at));
    if (!answer.accepts() && r.delivered > 0 && r.accepted() && r.notified == 0 &&
        answer.received_at > r.delivered + kInFlight + lag)
      result.violations.push_back("delivered, then answered as not delivered: " + label + ", answer " +
                                  std::to_string(answer.status) + " at " + time_text(answer.received_at));
    accepted = accepted || answer.accepts(), failed = failed || fails;
  }
}

// A relay may conclude from an answer only what the endpoint answered to that message. For a message that may
// run twice, it may treat an answer as a refusal of which it says that it is unproved.
void RuleChecker::check_conclusions(CheckResult& result) const {
  struct Answered {
    int delivered = 0, refused = 0;
  };
  std::map<std::pair<std::string, std::string>, Answered> concluded;
  for (const auto& conclusion : conclusions) {
    const auto it = requests.find(conclusion.id);
    if (it == requests.end()) continue;
    const bool unproved = conclusion.reason.find("unproved") != std::string::npos;
    // An error concludes nothing.
    if (unproved && conclusion.outcome != "error" && !it->second.repeatable)
      result.violations.push_back("an unproved answer to a message that must not run twice: " +
                                  conclusion.id);
    Answered& counted = concluded[{conclusion.id, conclusion.endpoint}];
    if (conclusion.outcome == "served") counted.delivered++;
    const bool from_answer = conclusion.reason == "503" || conclusion.reason == "429";
    if (conclusion.outcome == "refused" && from_answer) counted.refused++;
  }
  for (const auto& [key, counted] : concluded) {
    Answered did;
    for (const auto& call : requests.at(key.first).calls) {
      if (call.endpoint != key.second) continue;
      did.delivered += call.answered == 200;
      did.refused += call.answered == 503 || call.answered == 429;
    }
    const auto compare = [&](const char* what, int relay, int endpoint) {
      if (relay > endpoint)
        result.violations.push_back(std::string("taken for ") + what + ": " + key.first + " at " +
                                    key.second + ", " + std::to_string(relay) + " times by the relay, " +
                                    std::to_string(endpoint) + " times by the endpoint");
    };
    compare("delivered", counted.delivered, did.delivered);
    compare("refused", counted.refused, did.refused);
  }
}

CheckResult RuleChecker::check(Time now) const {
  CheckResult result;
  result.violations = immediate_violations;
  check_conclusions(result);
  for (const auto& restart : restarts)
    if ((restart.ready == 0 ? now : restart.ready) - restart.signalled > kReadyWithin + lag)
      result.violations.push_back("relay " + std::to_string(restart.relay) + " signalled at " +
                                  time_text(restart.signalled) + " was not ready again in time");
  for (const auto& [id, r] : requests) {
    result.submitted++;
    result.accepted += r.accepted(),
        result.delivered += r.accepted() && r.delivered > 0 && r.delivered <= r.deadline;
    result.refused += r.status == 503 || r.status == 429;
    result.unanswered += r.status == 0, result.ended += r.ended > 0, result.repeated += r.copies > 1;
    const std::string label = id + " (submitted at " + time_text(r.submitted_at) + ", answer " +
                              std::to_string(r.status) + ", copies " + std::to_string(r.copies) +
                              ", deadline " + time_text(r.deadline) + ")";
    if (r.accepted()) {
      const Time final_at = r.delivered > 0 && r.notified > 0 ? std::min(r.delivered, r.notified)
                                                              : std::max(r.delivered, r.notified);
      if (final_at == 0 ? now > final_answer_due(r) : final_at > final_answer_due(r))
        result.violations.push_back(
            "lost: " + label +
            (final_at == 0 ? ", no final answer" : ", final answer at " + time_text(final_at)));
    }
    check_calls(r, label, result);
    check_answers(r, label, result);
  }
  return result;
}

}  // namespace cedarplank::testing::faults
