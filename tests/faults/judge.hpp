// What clients, endpoints and the platform saw of each request, and which rules that breaks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "loop/loop.hpp"

namespace cedarplank::testing::faults {

using loop::Time;

struct Call {
  Time at = 0;  // its last byte arrived
  std::string endpoint;
  bool ran = false;
};

struct Request {
  std::string id;
  bool repeatable = true;
  int relay = 0, destination = 0;
  Time handed_in = 0, deadline = 0;
  int status = 0;          // of its answer; 0: none came
  Time answered = 0;       // when
  bool abandoned = false;  // its client gave up waiting, or its connection broke with the process
  std::vector<Call> calls;
  Time delivered = 0;    // 200 was written; 0: never
  Time ended = 0;        // told as over without a delivery, first time
  std::string ended_by;  // "notice returned", "answer 503", ...
  bool accepted() const { return status / 100 == 2; }
};

// One process of a relay that was told to end or killed, and when its successor was ready.
struct Restart {
  int relay = 0;
  Time signalled = 0, ready = 0;  // 0: not yet
};

// An endpoint told a relay to wait.
struct ToldWait {
  std::string endpoint;
  int relay = 0;
  Time told = 0, until = 0;
};

struct Verdict {
  std::vector<std::string> broken;
  std::size_t handed_in = 0, accepted = 0, refused = 0, unanswered = 0, delivered = 0, ended = 0;
  double share() const {
    return handed_in == 0 ? 0 : static_cast<double>(delivered) / static_cast<double>(handed_in);
  }
};

class Judge {
 public:
  std::map<std::string, Request> requests;
  std::vector<Restart> restarts;
  std::vector<ToldWait> waits;
  std::vector<std::string> crashes;
  Time lag = 0;  // longest time that the observer itself was held up
  // Longest time that a proxy held the bytes of a call: it left the relay so much earlier than it arrived.
  Time held_on_the_way = 0;
  Time began = 0;  // times are told from here

  Verdict verdict(Time now) const;

 private:
  Time due(const Request& request) const;
};

}  // namespace cedarplank::testing::faults
