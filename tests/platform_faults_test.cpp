// Relays as real processes with a failing journal folder, clock steps and failing system calls: the delivery
// rules must hold.
#include <gtest/gtest.h>

#include "faults/fleet.hpp"

namespace cedarplank::testing::faults {
namespace {

FleetSettings settings() {
  FleetSettings s;
  s.program = PROGRAM, s.fault_library = FAULT_LIBRARY;
  s.endpoints_per_destination = 1, s.unsafe_deadline = s.safe_deadline;
  return s;
}

class PlatformFaults : public ::testing::Test {
 public:
  PlatformFaults() : fleet(settings()) {}
  void expect_rules_kept() {
    const auto verdict = fleet.checker.check(loop::monotonic_now());
    for (const auto& broken : verdict.violations) ADD_FAILURE() << broken;
    if (HasFailure())
      for (const auto& line : fleet.log(0)) std::fprintf(stderr, "%s\n", line.c_str());
  }
  // Submits so many messages, of both classes and to all destinations, and waits for the last one's answer.
  std::vector<std::string> hold(int messages) {
    std::vector<std::string> ids;
    for (int i = 0; i < messages; i++) ids.push_back(fleet.submit(0, i % 2 == 0, i % 3));
    fleet.run_until([&] { return fleet.checker.requests.at(ids.back()).status != 0; }, 1'000'000);
    return ids;
  }
  Fleet fleet;
};

// Guards against a transient error of the folder disabling the journal for good: messages that were answered
// as ended in the meantime had no record, and the next process sent them again.
TEST_F(PlatformFaults, WhatEndsWhileTheFolderFailsIsNotSentAfterTheNextStart) {
  for (const int error : {ENOSPC, EIO}) {
    ASSERT_TRUE(fleet.running(0) || fleet.start(0));
    // The told wait is longer than the messages' time, so they are refused at once.
    fleet.reply = [](const auto&, const auto&) { return Reply{Reply::Kind::told_wait, 400'000, 2'000'000}; };
    hold(20);
    fleet.faults(0).write_error = error;
    fleet.run(700'000);
    fleet.faults(0).write_error = 0;
    fleet.kill(0);
    fleet.run(500'000);
    fleet.reply = [](const auto&, const auto&) { return Reply{}; };
    fleet.settle();
    EXPECT_GT(fleet.faults(0).injected_failures, 0u);
    EXPECT_FALSE(fleet.checker.restarts.empty());
  }
  expect_rules_kept();
}

TEST_F(PlatformFaults, OnceTheFolderCanBeWrittenAgainMessagesAreTaken) {
  for (const int error : {ENOSPC, EIO}) {
    ASSERT_TRUE(fleet.running(0) || fleet.start(0));
    fleet.faults(0).write_error = error;
    hold(4);
    fleet.run(1'000'000);
    fleet.faults(0).write_error = 0;
    fleet.run(300'000);
    std::vector<std::string> ids = hold(10);
    for (const auto& id : ids) EXPECT_TRUE(fleet.checker.requests.at(id).accepted()) << id;
    fleet.settle();
  }
  expect_rules_kept();
}

TEST_F(PlatformFaults, AnErrorWhileTheFolderIsOpenedLosesNothing) {
  for (const int error : {ENOSPC, EIO}) {
    ASSERT_TRUE(fleet.running(0) || fleet.start(0));
    fleet.reply = [](const auto&, const auto&) { return Reply{Reply::Kind::refuse}; };
    const auto ids = hold(20);
    Control& faults = fleet.faults(0);
    fleet.kill_in_write(0, 20);  // leaves a torn tail, which the next start has to clear
    fleet.submit(0, true);
    fleet.run(100'000);
    faults.write_error = faults.create_error = faults.allocate_error = error;
    fleet.run(1'200'000);
    fleet.reply = [](const auto&, const auto&) { return Reply{}; };
    faults.write_error = faults.create_error = faults.allocate_error = 0;
    fleet.settle();
    for (const auto& id : ids) EXPECT_NE(fleet.final_answer_of(id), "") << id;
  }
  expect_rules_kept();
}

// Local socket errors are no evidence about the endpoints: no endpoint is closed for them, and delivery
// continues once they stop.
TEST_F(PlatformFaults, SystemCallsOfSocketsThatFailForAMomentCostNoMessage) {
  ASSERT_TRUE(fleet.start(0));
  Control& c = fleet.faults(0);
  for (auto* call : {&c.socket_error, &c.connect_error, &c.accept_error}) {
    fleet.traffic(0);
    fleet.run(2'500'000);  // idle connections close
    fleet.traffic(30);
    *call = call == &c.connect_error ? EADDRNOTAVAIL : ENOBUFS;
    fleet.run(300'000);
    *call = 0;
    fleet.run(300'000);
  }
  fleet.settle();
  EXPECT_GT(c.injected_failures, 0u);
  EXPECT_FALSE(fleet.has_log_line(0, "closed s-"));
  for (const auto& [id, request] : fleet.checker.requests)
    EXPECT_TRUE(!request.accepted() || request.delivered > 0) << id;
  expect_rules_kept();
}

// Guards against a busy loop: poll(2) reports a waiting connection again and again while accept fails, so a
// failing accept must not be retried at every poll.
TEST_F(PlatformFaults, AcceptsThatFailDoNotSpin) {
  ASSERT_TRUE(fleet.start(0));
  for (const int error : {ENFILE, ENOBUFS, ENOMEM}) {
    const auto before = fleet.faults(0).injected_failures.load();
    fleet.faults(0).accept_error = error;
    fleet.submit(0, true);
    fleet.submit(0, true);
    fleet.run(1'000'000);
    fleet.faults(0).accept_error = 0;
    fleet.run(300'000);
    EXPECT_GT(fleet.faults(0).injected_failures, before);
    EXPECT_LT(fleet.faults(0).injected_failures, before + 40) << error;
  }
}

// One call in fifty is refused, whatever the load. Guards against a pace that is set at each first refusal
// and cut at each further one: 132 of 546 messages were then served.
TEST(PlatformShare, AFewRefusalsHoldBackLittle) {
  FleetSettings s = settings();
  s.slots = 40, s.safe_deadline = 3'000'000;
  Fleet fleet(s);
  fleet.reply = [&](const auto&, const auto&) {
    const Time after = static_cast<Time>(fleet.random() % 250'000);
    return Reply{fleet.random() % 50 == 0 ? Reply::Kind::refuse : Reply::Kind::ok, after};
  };
  ASSERT_TRUE(fleet.start(0));
  fleet.traffic(100, 0);
  fleet.run(6'000'000);
  fleet.settle();
  const auto verdict = fleet.checker.check(loop::monotonic_now());
  EXPECT_GT(verdict.share(), 0.85) << verdict.delivered << " of " << verdict.submitted;
  for (const auto& broken : verdict.violations) ADD_FAILURE() << broken;
}

// The platform protocol requires a fresh id for every request, but a faulty client may send the id of another
// request, which may already have its final answer.
TEST_F(PlatformFaults, AnIdThatHadItsEndIsNotSentAgain) {
  ASSERT_TRUE(fleet.start(0));
  fleet.reply = [](const auto&, const auto&) { return Reply{Reply::Kind::error}; };
  const auto ids = hold(20);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.final_answer_of(ids[1]) != ""; }, 2'000'000))
      << fleet.final_answer_of(ids[1]);
  fleet.run(200'000);
  fleet.reply = [](const auto&, const auto&) { return Reply{}; };
  for (int i = 0; i < 40; i++) fleet.repeat_ended_request(0);
  fleet.run(500'000);
  EXPECT_TRUE(fleet.has_log_line(0, "\"repeated\""));
  fleet.kill(0);  // the id is known after a restart too
  ASSERT_TRUE(fleet.run_until([&] { return fleet.ready(0); }, 5'000'000));
  for (int i = 0; i < 40; i++) fleet.repeat_ended_request(0);
  fleet.settle();
  expect_rules_kept();
}

TEST_F(PlatformFaults, AStepOfTheWallClockOverAStartMovesNoDeadline) {
  for (const std::int64_t step : {-7, 7, -3600, 3600}) {
    ASSERT_TRUE(fleet.running(0) || fleet.start(0));
    fleet.reply = [](const auto&, const auto&) { return Reply{Reply::Kind::refuse}; };
    const auto ids = hold(10);
    fleet.faults(0).hide_boot_id = 1;
    fleet.faults(0).wall_clock_offset += step * 1'000'000;
    fleet.kill(0);
    fleet.run(3'500'000);
    for (const auto& id : ids) EXPECT_EQ(fleet.final_answer_of(id).substr(0, 6), "notice") << id;
    fleet.faults(0).hide_boot_id = 0;
    EXPECT_GT(fleet.faults(0).injected_failures, 0u);
  }
  fleet.settle();
  expect_rules_kept();
}

}  // namespace
}  // namespace cedarplank::testing::faults
