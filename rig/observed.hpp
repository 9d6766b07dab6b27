// What the checker works on: every request by a client and every call as the endpoint saw it. Extracted from
// frames recorded at the sockets, or filled in by the lab's simulation.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "record/wire_capture.hpp"

namespace cedarplank::rig {

using Time = std::int64_t;
constexpr Time kNever = std::numeric_limits<Time>::max();

// One request: a push of a message by a client to a relay. A message that is tried again has several.
struct ClientRequest {
  std::string relay, message, cls, destination, topic, key;
  Time sent_at = 0, complete_at = kNever, ttl = 0;  // first byte sent; last byte sent
  Time answered_at = kNever, reset_at = kNever, closed_at = kNever;
  std::string status;
  int answers = 0;
  bool unprocessed = false;  // the relay's GOAWAY or REFUSED_STREAM proves that it was not accepted
};

// One call by a relay as the endpoint saw it.
struct Call {
  std::string endpoint, relay, message;
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  Time arrived_at = 0;  // when its HEADERS arrived
  Time answered_at = kNever, given_up_at = kNever, closed_at = kNever;
  std::string status;
  Time told_wait = 0;
  bool proved_not_run = false;  // the endpoint proved that the call did not take effect
  Time proved_at = kNever;
  bool give_up_not_visible = false;  // the protocol doesn't show when the caller gives the call up (SMPP)
  Time ended_at() const { return std::min({answered_at, given_up_at, closed_at, proved_at}); }
};

struct Observed {
  std::vector<ClientRequest> requests;
  std::vector<Call> calls;
};
// Extracts requests and calls from records, which may be in any order. `unseen_503`: endpoints whose 503
// proves that the call did not run.
Observed observe(std::vector<record::CaptureRecord> records, const std::map<std::string, bool>& unseen_503);

}  // namespace cedarplank::rig
