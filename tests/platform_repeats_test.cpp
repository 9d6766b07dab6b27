// Tests that the relay sends nothing for a request after it has ended that request.
//
// The failure: after seconds of traffic over breaking connections, with a kill or two, endpoints answered 410
// (message ended) for messages that the relay still held and kept trying. A client whose connection closes
// without an answer sends its request once more under the same id; hedging clients do so too, and some
// clients use an id that is not theirs. The relay had read the first copy and answered the second with 409,
// by which the client takes its request as failed; then it sent the first copy. The state of an id was kept
// in several places, and each party was answered from another one: a held id was "in use", an ended one was
// "ended" whatever its final answer, and an endpoint's 410 was treated as a refusal. Every copy of a held
// request was answered 409, and 6 to 10 of 10 were then sent.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <set>

#include "faults/fleet.hpp"

namespace cedarplank::testing::faults {
namespace {

FleetSettings settings() {
  FleetSettings s;
  s.program = PROGRAM, s.fault_library = FAULT_LIBRARY;
  s.endpoints_per_destination = 1, s.endpoints_answer_gone = true;
  return s;
}

// A line of the relay's log, parsed as an operator's tools parse it.
struct LogLine {
  std::string event, text;
};

class PlatformRepeats : public ::testing::Test {
 public:
  explicit PlatformRepeats(FleetSettings s = settings()) : fleet(std::move(s)) {}
  void expect_rules_kept() {
    const auto verdict = fleet.checker.check(loop::monotonic_now());
    for (const auto& broken : verdict.violations) ADD_FAILURE() << broken;
    if (HasFailure())
      for (const auto& line : fleet.log(0)) std::fprintf(stderr, "%s\n", line.c_str());
  }
  const Request& request(const std::string& id) { return fleet.checker.requests.at(id); }
  void set_endpoint_reply(Reply reply) {
    fleet.reply = [reply](const auto&, const auto&) { return reply; };
  }
  // Submits so many requests of both classes and waits for their answers.
  std::vector<std::string> hand_in(int messages) {
    std::vector<std::string> ids;
    for (int i = 0; i < messages; i++) ids.push_back(fleet.submit(0, i % 2 == 0, i % 3));
    fleet.run_until([&] { return answered(ids, 1); }, 1'000'000);
    return ids;
  }
  bool answered(const std::vector<std::string>& ids, std::size_t times) {
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return request(id).answers.size() >= times; });
  }
  // Sends one more copy of each and waits for the answers.
  void repeat(const std::vector<std::string>& ids) {
    const std::size_t before = request(ids.front()).answers.size();
    for (const auto& id : ids) fleet.repeat(id);
    EXPECT_TRUE(fleet.run_until([&] { return answered(ids, before + 1); }, 1'000'000));
  }
  // The relay's log lines with this event.
  std::vector<LogLine> log_lines(const std::string& event) {
    std::vector<LogLine> found;
    for (const auto& raw : fleet.log(0)) {
      rapidjson::Document d;
      d.Parse(raw.c_str());
      if (!d.IsObject() || !d.HasMember("event") || !d.HasMember("text")) continue;
      if (event == d["event"].GetString()) found.push_back({event, d["text"].GetString()});
    }
    return found;
  }
  // Whether the log has such a line for the request that contains the text.
  bool has_log_line(const std::string& event, const std::string& id, const std::string& text) {
    const auto all = log_lines(event);
    return std::any_of(all.begin(), all.end(), [&](const LogLine& line) {
      return line.text.find("id=" + id + " ") == 0 && line.text.find(text) != std::string::npos;
    });
  }
  Fleet fleet;
};

TEST_F(PlatformRepeats, ACopyOfAHeldRequestHearsThatItIsTakenOn) {
  ASSERT_TRUE(fleet.start(0));
  set_endpoint_reply({Reply::Kind::refuse});
  const auto ids = hand_in(10);
  fleet.run(150'000);
  repeat(ids);
  set_endpoint_reply({});
  fleet.settle();
  for (const auto& id : ids) {
    ASSERT_EQ(request(id).answers.size(), 2u) << id;
    EXPECT_TRUE(request(id).answers[0].accepts() && request(id).answers[1].accepts()) << id;
  }
  expect_rules_kept();
}

TEST_F(PlatformRepeats, ACopyOfAHeldRequestHearsTheSameAfterAStart) {
  ASSERT_TRUE(fleet.start(0));
  set_endpoint_reply({Reply::Kind::refuse});
  const auto ids = hand_in(10);
  fleet.kill(0);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.ready(0); }, 5'000'000));
  repeat(ids);
  set_endpoint_reply({});
  fleet.settle();
  // Calls that were out at the kill may have run: the next process fails such a request at its start, answers
  // copies accordingly, and reports it in a notice at that time or shortly after.
  int accepted = 0;
  for (const auto& id : ids) {
    const bool failed = request(id).notified > 0 && request(id).notified_failed;
    EXPECT_EQ(request(id).answers.back().status, failed ? 500 : 202) << id;
    accepted += !failed;
  }
  EXPECT_GE(accepted, 5);
  expect_rules_kept();
}

// Connections that are reset within a few ms of a request's last byte, and clients that send hedged copies.
TEST_F(PlatformRepeats, RequestsThatAreSentOnceMoreHaveOneEnd) {
  ASSERT_TRUE(fleet.start(0));
  fleet.reply = [&](const auto&, const auto&) {
    return Reply{fleet.random() % 3 == 0 ? Reply::Kind::refuse : Reply::Kind::ok, 1'000};
  };
  fleet.client_reset_after = [&]() -> std::optional<Time> {
    if (fleet.random() % 3 != 0) return std::nullopt;
    return static_cast<Time>(fleet.random() % 10'000);
  };
  fleet.hedged_share = 0.3;
  fleet.traffic(100);
  fleet.run(3'000'000);
  fleet.settle();
  EXPECT_GT(fleet.checker.check(loop::monotonic_now()).repeated, 50u);
  expect_rules_kept();
}

// The final answer is kept, across a restart too: a copy of a delivered message is answered as delivered.
TEST_F(PlatformRepeats, ACopyOfAnEndedRequestHearsItsEnd) {
  ASSERT_TRUE(fleet.start(0));
  const auto all_ended = [&](const std::vector<std::string>& ids) {
    const auto ended = [&](const auto& id) { return fleet.final_answer_of(id) != ""; };
    return fleet.run_until([&] { return std::all_of(ids.begin(), ids.end(), ended); }, 5'000'000);
  };
  const auto delivered = hand_in(6);
  ASSERT_TRUE(all_ended(delivered));
  set_endpoint_reply({Reply::Kind::error});
  const auto failed = hand_in(6);
  ASSERT_TRUE(all_ended(failed));
  set_endpoint_reply({Reply::Kind::told_wait, 1'000, 2'000'000});
  const auto returned = hand_in(6);
  ASSERT_TRUE(all_ended(returned));
  for (const bool after_restart : {false, true}) {
    if (after_restart) {
      fleet.kill(0);
      ASSERT_TRUE(fleet.run_until([&] { return fleet.ready(0); }, 5'000'000));
    }
    for (const auto* ids : {&delivered, &returned, &failed}) repeat(*ids);
    for (const auto& id : delivered) EXPECT_EQ(request(id).answers.back().status, 200) << id;
    std::set<int> statuses;
    for (const auto* ids : {&failed, &returned})
      for (const auto& id : *ids) {
        statuses.insert(request(id).answers.back().status);
        EXPECT_EQ(request(id).answers.back().status, request(id).ended_by == "notice failed" ? 500 : 503)
            << id << ", " << request(id).ended_by;
      }
    EXPECT_EQ(statuses, (std::set<int>{500, 503}));
  }
  for (const auto& id : delivered) EXPECT_EQ(request(id).calls.size(), 1u) << id;
  fleet.settle();
  expect_rules_kept();
}

// 410 means that a message has ended, 504 that its attempts are exhausted. Guards against treating both as
// "not sent, try another endpoint", up to eight times.
TEST_F(PlatformRepeats, WhatAnEndpointSaysIsOverIsNotSentAgain) {
  ASSERT_TRUE(fleet.start(0));
  for (const auto what : {Reply::Kind::gone, Reply::Kind::exhausted}) {
    set_endpoint_reply({what, 1'000});
    const auto ids = hand_in(6);  // twice as many must stay within the log lines allowed per second
    fleet.run(500'000);
    for (const auto& id : ids) {
      EXPECT_EQ(request(id).calls.size(), 1u) << id;
      EXPECT_EQ(fleet.final_answer_of(id), "notice returned") << id;
      EXPECT_TRUE(has_log_line("said_over", id, what == Reply::Kind::gone ? "410" : "504")) << id;
    }
  }
  fleet.settle();
  expect_rules_kept();
}

class PlatformLargeRequests : public PlatformRepeats {
 public:
  PlatformLargeRequests() : PlatformRepeats(large()) {}
  static FleetSettings large() {
    FleetSettings s = settings();
    s.body = std::string(20'000, 'x');
    return s;
  }
};

// Part of a call that was fully written and then given up waits in the relay host's send buffer: a plain
// close would still deliver it, after the final answer that was sent in the meantime.
TEST_F(PlatformLargeRequests, ACallThatIsGivenUpDoesNotArriveAfterTheEnd) {
  ASSERT_TRUE(fleet.start(0));
  for (const char* endpoint : {"s-0-0", "s-1-0", "s-2-0"}) fleet.pause_reading(endpoint, true);
  const auto ids = hand_in(6);
  ASSERT_TRUE(fleet.run_until(
      [&] {
        return std::all_of(ids.begin(), ids.end(),
                           [&](const auto& id) { return fleet.final_answer_of(id) != ""; });
      },
      5'000'000));
  for (const char* endpoint : {"s-0-0", "s-1-0", "s-2-0"}) fleet.pause_reading(endpoint, false);
  fleet.settle();
  expect_rules_kept();
}

// The same where the process is killed: the kernel continues to deliver its call, and the next process ends
// the message.
TEST_F(PlatformLargeRequests, ACallThatWasOutAtAKillDoesNotArriveAfterTheEnd) {
  ASSERT_TRUE(fleet.start(0));
  for (const char* endpoint : {"s-0-0", "s-1-0", "s-2-0"}) fleet.pause_reading(endpoint, true);
  const auto ids = hand_in(6);
  fleet.run(100'000);
  fleet.kill(0);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.final_answer_of(ids[1]) != ""; }, 5'000'000));
  fleet.run(200'000);
  for (const char* endpoint : {"s-0-0", "s-1-0", "s-2-0"}) fleet.pause_reading(endpoint, false);
  fleet.settle();
  expect_rules_kept();
}

// The folder holds some 40 requests of this size before its oldest records are dropped. Guards against copies
// of delivered requests being accepted as new ones after a restart: requests that must not run twice ran
// twice.
TEST_F(PlatformLargeRequests, EndsAreKnownOverAStartHoweverMuchWasWrittenSince) {
  ASSERT_TRUE(fleet.start(0));
  const auto delivered = hand_in(6);
  fleet.traffic(80);
  fleet.run(2'500'000);
  fleet.traffic(0);
  for (int starts = 0; starts < 2; starts++) {
    fleet.kill(0);
    ASSERT_TRUE(fleet.run_until([&] { return fleet.ready(0); }, 5'000'000));
    repeat(delivered);
    for (const auto& id : delivered) EXPECT_EQ(request(id).answers.back().status, 200) << id;
    for (const auto& id : delivered) EXPECT_EQ(request(id).calls.size(), 1u) << id;
  }
  fleet.settle();
  expect_rules_kept();
}

// An operator can find by its id each request that was not accepted as a new one, with its known state and
// the answer.
TEST_F(PlatformRepeats, LinesNameTheRequestsThatCameAgainOrWereTurnedAway) {
  ASSERT_TRUE(fleet.start(0));
  set_endpoint_reply({Reply::Kind::refuse});
  const auto held = hand_in(2);
  repeat(held);
  int misused = 0;
  fleet.send_other_body_under_id(held[0], [&](int status) { misused = status; });
  EXPECT_TRUE(fleet.run_until([&] { return misused != 0; }, 1'000'000));
  EXPECT_EQ(misused, 409);
  const auto unlisted = fleet.submit(0, true, 90);  // its destination is in no list
  EXPECT_TRUE(fleet.run_until([&] { return !request(unlisted).answers.empty(); }, 1'000'000));
  fleet.run(50'000);
  const auto answer_text = "answer=" + std::to_string(request(held[0]).answers.back().status);
  EXPECT_TRUE(has_log_line("repeated", held[0], answer_text));
  EXPECT_TRUE(has_log_line("repeated", held[0], "state="));
  EXPECT_TRUE(has_log_line("turned_away", held[0], "status=409"));
  EXPECT_TRUE(has_log_line("turned_away", unlisted, "status=503"));
  for (const auto& line : log_lines("turned_away")) EXPECT_EQ(line.text.find("id= "), std::string::npos);
}

}  // namespace
}  // namespace cedarplank::testing::faults
