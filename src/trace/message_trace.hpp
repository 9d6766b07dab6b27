// The trace of one message: each step of its delivery by a relay. `cedarplank trace` shows them.
//
// All times are in microseconds of one monotonic clock that the caller passes in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cedarplank::trace {

using Time = std::int64_t;
using MessageId = std::uint64_t;

// One event in the delivery of a message.
struct Step {
  enum class What : std::uint8_t {
    taken,      // accepted from a client's stream, or from the host program of the library (connection 0)
    send,       // the dispatcher decided on an attempt in a round: its endpoint and time-out
    carried,    // the attempt was sent on a stream of a connection
    ended,      // the attempt ended, with its outcome
    refuse,     // the dispatcher's last decision: refuse the message
    fail,       // the dispatcher's last decision: give the message up
    answered,   // the final answer was given to the client
    withdrawn,  // the client cancelled the message
  };
  Time at = 0;
  What what = What::taken;
  int attempt = -1;              // -1: none
  std::uint64_t round = 0;       // of the dispatcher's decisions; 0: none
  std::uint64_t connection = 0;  // from the client, or to the endpoint
  std::uint32_t stream = 0;
  Time span =
      0;  // send: time-out; ended: time since it was sent; refuse, answered: when the client may retry
  Time told_wait = 0;           // ended: the wait that the endpoint asked for
  std::string endpoint;         // send, ended
  std::string composed_reason;  // the reason, or an attempt's outcome, where it is composed at run time
  const char* literal_reason =
      "";  // the same where it is a string literal; used if the composed text is empty
  std::string reason() const { return composed_reason.empty() ? literal_reason : composed_reason; }
};
const char* name_of(Step::What what);

// The outcome of a message, which decides whether its trace is worth keeping; worst first.
enum class Verdict : std::uint8_t { failed, refused, turned_away, withdrawn, late, retried, served };
constexpr int kVerdictCount = 7;
const char* name_of(Verdict v);

// The trace of one message.
struct MessageTrace {
  MessageId id = 0;
  std::string message;                             // its id at the relay
  std::string key;                                 // the client's Idempotency-Key, if any
  std::string destination, message_class, tenant;  // names; `tenant` is empty if there is none
  Time accepted_at = 0, aim = 0, deadline = 0;     // points in time; a deadline of 0: rejected at admission
  Time ended_at = 0;
  std::int64_t wall = 0;  // time of acceptance in microseconds since 1970, by the clock of the relay's host
  Verdict verdict = Verdict::served;
  bool watched = false;  // kept because its destination is watched
  std::uint64_t stands_for =
      1;                     // messages of its class and verdict since the last kept trace, itself included
  std::uint32_t elided = 0;  // steps left out in the middle
  std::vector<Step> steps;
};

// How the time until a message's final answer was spent. The parts add up to that time.
struct TimeBreakdown {
  Time held = 0;             // in the relay with no attempt under way
  Time connection = 0;       // attempts were decided on, but all of them waited for a connection
  Time endpoint = 0;         // at least one attempt had been sent
  bool approximate = false;  // some steps were left out, so the parts are approximate
};
TimeBreakdown time_breakdown(const MessageTrace& message_trace);

}  // namespace cedarplank::trace
