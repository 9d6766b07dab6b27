// One message's way through a relay, step by step: what `cedarplank trace` tells.
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cedarplank::trace {

using Time = std::int64_t;
using MessageId = std::uint64_t;

struct Step {
  enum class What : std::uint8_t {
    taken,      // from the client's stream, or a host of the library (connection 0)
    send,       // the module's decision of a round: an attempt, its endpoint and time-out
    carried,    // the attempt left on a stream of a connection
    ended,      // the attempt is over: how
    refuse,     // the module's last decision: handed back
    fail,       // or given up
    answered,   // the final answer to the client
    withdrawn,  // the client gave it up
  };
  Time at = 0;
  What what = What::taken;
  int attempt = -1;              // -1: none
  std::uint64_t round = 0;       // of the relay's decisions; 0: none
  std::uint64_t connection = 0;  // the client's, or to the endpoint
  std::uint32_t stream = 0;
  Time span = 0;         // send: time-out; ended: since it was sent; refuse, answered: time to come back
  Time told_wait = 0;    // ended: the wait that the endpoint asked for
  std::string endpoint;  // send, ended
  std::string text;      // the reason, or how an attempt ended, as far as it is made up while running
  const char* why = "";  // or as a text that lives as long as the program
  std::string reason() const { return text.empty() ? why : text; }
};
const char* name_of(Step::What what);

// Why a story was worth keeping, worst first.
enum class Verdict : std::uint8_t { failed, refused, turned_away, withdrawn, late, retried, served };
constexpr int kVerdicts = 7;
const char* name_of(Verdict v);

struct Story {
  MessageId id = 0;
  std::string message;                             // the relay's name of it
  std::string key;                                 // the client's: its Idempotency-Key, if any
  std::string destination, message_class, tenant;  // names; the tenant's is empty where there is none
  Time taken = 0, aim = 0, deadline = 0;           // moments; a deadline of 0: it was turned away
  Time over_at = 0;
  std::int64_t wall = 0;  // microseconds since 1970 of `taken`, as the relay's host knew it
  Verdict verdict = Verdict::served;
  bool watched = false;          // kept because its destination is watched
  std::uint64_t stands_for = 1;  // messages of its class and verdict since the last one kept, itself included
  std::uint32_t elided = 0;      // steps left out in the middle
  std::vector<Step> steps;
};

// Where a message's time until its final answer went. The sum is that time.
struct Parts {
  Time held = 0;        // in the relay, with no attempt under way
  Time connection = 0;  // an attempt was decided and waited for a connection
  Time endpoint = 0;    // at least one attempt was on the wire
  bool rough = false;   // steps were left out
};
Parts parts_of(const Story& story);

}  // namespace cedarplank::trace
