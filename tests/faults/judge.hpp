// What clients, endpoints and the platform saw of each request, and which rules that breaks.
#pragma once

#include <algorithm>
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

// What a client of it, or of a copy under its id, heard.
struct Answer {
  Time at = 0;
  int status = 0;
  bool accepts() const { return status / 100 == 2; }
  // Handing it in again is harmless.
  bool refuses() const { return status == 503 || status == 429; }
};

struct Request {
  std::string id;
  bool repeatable = true;
  int relay = 0, destination = 0;
  Time handed_in = 0, deadline = 0;
  int status = 0;               // of its first answer; 0: none came
  std::vector<Answer> answers;  // to every copy, in their order
  int copies = 0;               // sent
  bool abandoned = false;       // its client gave up waiting, and no copy of it was answered
  std::vector<Call> calls;
  Time delivered = 0;           // 200 was written; 0: never
  Time ended = 0;               // told as over without a delivery, first time
  std::string ended_by;         // "notice returned", "answer 503", ...
  Time noticed = 0;             // the first notice of it came; 0: none did
  bool noticed_failed = false;  // it said "failed", else "returned"
  Time said_over = 0;           // an endpoint answered that nothing is to be sent for it any more, first time
  bool accepted() const {
    return std::any_of(answers.begin(), answers.end(), [](const Answer& a) { return a.accepts(); });
  }
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

// A proxy held bytes for an endpoint: they left the relay at `from` and arrived at `until`.
struct Hold {
  std::string endpoint;
  Time from = 0, until = 0;
};

struct Verdict {
  std::vector<std::string> broken;
  std::size_t handed_in = 0, accepted = 0, refused = 0, unanswered = 0, delivered = 0, ended = 0;
  std::size_t repeated = 0;  // requests of which more than one copy was sent
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
  std::vector<Hold> holds;
  Time began = 0;  // times are told from here

  Verdict verdict(Time now) const;

 private:
  Time due(const Request& request) const;
  // Whether this call may have left the relay before that moment.
  bool left_before(const Call& call, Time moment) const;
  void check_calls(const Request& request, const std::string& what, Verdict& verdict) const;
  void check_answers(const Request& request, const std::string& what, Verdict& verdict) const;
  std::string at(Time moment) const { return std::to_string((moment - began) / 1000) + " ms"; }
};

}  // namespace cedarplank::testing::faults
