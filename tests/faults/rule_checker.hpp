// Rule checker of the fault-injection tests: records what clients, endpoints and the platform observed of
// each request, and finds the delivery rules that this breaks.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "loop/loop.hpp"

namespace cedarplank::testing::faults {

using loop::Time;

// One arrival of a request at an endpoint.
struct Call {
  Time received_at = 0;  // arrival of its last byte
  std::string endpoint;
  bool ran = false;  // the endpoint executed it, or may have
  int answered = 0;  // the status that the endpoint wrote for it; 0: none
};

// The answer that a client received for a request, or for a copy sent under the same id.
struct Answer {
  Time received_at = 0;
  int status = 0;
  bool accepts() const { return status / 100 == 2; }
  // The client may safely submit the request again.
  bool refuses() const { return status == 503 || status == 429; }
};

struct Request {
  std::string id;
  bool repeatable = true;
  int relay = 0, destination = 0;
  Time submitted_at = 0, deadline = 0;
  int status = 0;               // of its first answer; 0: no answer
  std::vector<Answer> answers;  // to all copies, in order of arrival
  int copies = 0;               // number of copies sent
  bool abandoned = false;       // its client stopped waiting, and no copy was answered
  std::vector<Call> calls;
  Time delivered = 0;            // an endpoint first wrote 200; 0: never
  Time ended = 0;                // first answer or notice that it ended undelivered; 0: none
  std::string ended_by;          // "notice returned", "answer 503", ...
  Time notified = 0;             // arrival of its first notice; 0: none
  bool notified_failed = false;  // that notice reported "failed", otherwise "returned"
  Time endpoint_ended = 0;       // an endpoint first answered 410 or 504: send nothing more for it; 0: none
  bool end_unrecorded = false;   // its relay's folder could not be written then
  bool accepted() const {
    return std::any_of(answers.begin(), answers.end(), [](const Answer& a) { return a.accepts(); });
  }
};

// What a relay concluded from the answer to a call, by its log.
struct Conclusion {
  std::string id, endpoint, outcome, reason;
};

// A relay process was terminated or killed, and when the process started in its place was ready.
struct Restart {
  int relay = 0;
  Time signalled = 0, ready = 0;  // 0: not yet
};

// An endpoint sent a relay a Retry-After.
struct ToldWait {
  std::string endpoint;
  int relay = 0;
  Time told = 0, until = 0;
};

// Bytes for an endpoint were delayed in transit: they left the relay at `from` and arrived at `until`.
struct Hold {
  std::string endpoint;
  Time from = 0, until = 0;
};

// Broken rules, and the number of requests with each outcome.
struct CheckResult {
  std::vector<std::string> violations;  // one text per violation
  std::size_t submitted = 0, accepted = 0, refused = 0, unanswered = 0, delivered = 0, ended = 0;
  std::size_t repeated = 0;  // requests sent in more than one copy
  // Share of the submitted requests that were delivered by their deadline.
  double share() const {
    return submitted == 0 ? 0 : static_cast<double>(delivered) / static_cast<double>(submitted);
  }
};

class RuleChecker {
 public:
  std::map<std::string, Request> requests;
  std::vector<Restart> restarts;
  std::vector<ToldWait> waits;
  std::vector<Conclusion> conclusions;
  std::vector<std::string> immediate_violations;  // violations that were found while the test ran
  Time lag = 0;  // longest delay of the test's own loop; added to every bound
  std::vector<Hold> holds;
  Time started_at = 0;  // times in texts count from here

  // Checks all rules on what has been recorded so far.
  CheckResult check(Time now) const;

 private:
  // Latest time for the final answer of an accepted request.
  Time final_answer_due(const Request& request) const;
  // Whether the call may have left the relay before that moment and been in flight since.
  bool left_before(const Call& call, Time moment) const;
  // Whether the relay was ended by a signal in that time.
  bool restarted_between(int relay, Time from, Time until) const;
  void check_calls(const Request& request, const std::string& label, CheckResult& result) const;
  void check_answers(const Request& request, const std::string& label, CheckResult& result) const;
  // Compares what the relays concluded with what the endpoints did, also where the difference did no harm.
  void check_conclusions(CheckResult& result) const;
  // The time since the start of the test, as a text.
  std::string time_text(Time moment) const { return std::to_string((moment - started_at) / 1000) + " ms"; }
};

}  // namespace cedarplank::testing::faults
