// Tests of the six rules: for each, events on which the dispatcher would break the rule without its guard.
#include "harness.hpp"

namespace cedarplank::testing {
namespace {

TEST(Lost, HeldMessageEndsByItsDeadline) {
  DispatcherHarness r;
  const auto id = r.arrive(kSafe, 99);  // a destination with no endpoint
  r.run_to(10 * kS);
  ASSERT_EQ(r.refused.count(id) + r.failed.count(id), 1u);
  const Time at = r.refused.count(id) ? r.refused[id] : r.failed[id];
  EXPECT_LE(at, 1 * kS + 6 * kS + 20 * kMs);
  EXPECT_EQ(r.sends_of(id), 0);
}
TEST(Lost, TimeoutAtTheDeadlineIsAnswered) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe, 1, "", 300 * kMs);
  ASSERT_EQ(r.sends_of(id), 1);
  EXPECT_LE(r.sent[0].timeout, 300 * kMs);
  r.run_to(r.now + 300 * kMs);
  if (!r.out.empty()) r.end(id, Outcome::timeout);
  EXPECT_EQ(r.failed.count(id), 1u);
  r.run_to(r.now + 5 * kS);
  EXPECT_EQ(r.sends_of(id), 1);
}
TEST(Lost, NothingIsSentForAMessageThatIsOver) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe);
  r.round({event::Withdrawn{id}});
  r.end(id, Outcome::full);
  r.run_to(r.now + 5 * kS);
  EXPECT_EQ(r.sends_of(id), 1);
  EXPECT_TRUE(r.failed.empty() && r.refused.empty());
}
TEST(Lost, AttemptLimitHolds) {
  auto s = default_settings();
  s.attempts_max = 2;
  DispatcherHarness r(s);
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe);
  r.end(id, Outcome::error);
  r.run_to(r.now + 2 * kS);
  r.end(id, Outcome::error);
  r.run_to(r.now + 2 * kS);
  EXPECT_EQ(r.sends_of(id), 2);
  EXPECT_EQ(r.failed.count(id) + r.refused.count(id), 1u);
}

TEST(Effects, UnsafeIsNotRepeatedWhenItMayHaveRun) {
  for (auto o : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    DispatcherHarness r;
    r.list({{.id = "a", .destination = 1}});
    const auto id = r.arrive(kUnsafe);
    r.end(id, o);
    r.run_to(r.now + 20 * kS);
    EXPECT_EQ(r.sends_of(id), 1);
    EXPECT_EQ(r.failed.count(id), 1u);
    EXPECT_EQ(r.refused.count(id), 0u);
  }
}
TEST(Effects, UnsafeIsTriedAgainWhenItNeverRan) {
  for (auto o : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
    DispatcherHarness r;
    r.list({{.id = "a", .destination = 1}});
    const auto id = r.arrive(kUnsafe);
    r.end(id, o);
    r.run_to(r.now + 5 * kS);
    EXPECT_EQ(r.sends_of(id), 2);
  }
}
TEST(Effects, KeyedIsRepeatedOnlyInItsWindow) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kKeyed);
  const Time first = r.now;
  r.run_to(r.now + 2 * kS);
  r.end(id, Outcome::timeout);
  r.run_to(r.now + 2 * kS);
  ASSERT_EQ(r.sends_of(id), 2);  // inside the window
  r.run_to(first + 5 * kS - 100 * kMs);
  r.end(id, Outcome::timeout);
  r.run_to(r.now + 15 * kS);
  for (const auto& s : r.sent) EXPECT_LE(s.at, first + 5 * kS);
  EXPECT_EQ(r.failed.count(id) + r.refused.count(id), 1u);
}
TEST(Effects, KeyedWindowCountsFromTheAttemptThatMayHaveRun) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kKeyed);
  r.run_to(r.now + 4 * kS);
  r.end(id, Outcome::full);  // did not run, so no key window opens
  r.run_to(r.now + 4 * kS);
  ASSERT_EQ(r.sends_of(id), 2);
  const Time second = r.sent.back().at;
  r.end(id, Outcome::error);
  r.run_to(second + 4 * kS + 900 * kMs);
  EXPECT_EQ(r.sends_of(id), 3);
}
TEST(Effects, KeyedByZoneStaysInTheZone) {
  auto s = default_settings();
  s.classes[kKeyed].group = KeyGroup::zone;
  for (int seed = 1; seed < 6; seed++) {
    DispatcherHarness r(s, static_cast<std::uint64_t>(seed));
    r.list({{.id = "a", .destination = 1, .zone = 0},
            {.id = "b", .destination = 1, .zone = 1},
            {.id = "c", .destination = 1, .zone = 1}});
    const auto id = r.arrive(kKeyed);
    const EndpointId first = r.sent[0].endpoint;
    for (int i = 0; i < 2; i++) {
      r.end(id, Outcome::error);
      r.run_to(r.now + 2 * kS);
      if (r.out.empty()) break;
    }
    for (const auto& sent : r.sent) EXPECT_EQ(sent.endpoint == "a", first == "a");
    EXPECT_EQ(r.refused.count(id), 0u);
    r.run_to(r.now + 20 * kS);
    EXPECT_EQ(r.refused.count(id), 0u);  // it may have run, and not every endpoint drops its repeats
  }
}

TEST(Drains, NothingNewOnceToldThatItDrainsOrIsGone) {
  for (auto listing : {Listing::draining, Listing::gone}) {
    DispatcherHarness r;
    r.list({{.id = "a", .destination = 1}});
    r.change({.id = "a", .destination = 1, .listing = listing});
    r.run_to(r.now + 100 * kMs);
    const auto id = r.arrive(kSafe);
    r.run_to(r.now + 3 * kS);
    EXPECT_EQ(r.sends_of(id), 0);
    r.change({.id = "b", .destination = 1});
    EXPECT_EQ(r.sends_of(id), 1);
  }
}
TEST(Drains, MissingFromAWholeListIsGone) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  r.list({{.id = "b", .destination = 1}});
  for (int i = 0; i < 6; i++) r.arrive(kSafe);
  for (const auto& s : r.sent) EXPECT_EQ(s.endpoint, "b");
  EXPECT_FALSE(r.sent.empty());
}

// After an outage, no time window may hold many more calls than this relay's share of what a cold destination
// withstands.
void expect_gentle_return(Outcome symptom) {
  auto s = default_settings();
  s.fall_multiple = 2, s.cold_from = 0.2, s.cold = 8 * kS;
  DispatcherHarness r(s);
  r.list({{.id = "a", .destination = 1}});
  const auto serve = [](const Sent&) -> std::optional<Outcome> { return Outcome::served; };
  r.run_load(10 * kS, 10, kSafe, 1, serve);
  const auto fail = [&](const Sent&) -> std::optional<Outcome> { return symptom; };
  r.run_load(8 * kS, 10, kSafe, 1, fail);
  EXPECT_LE(r.sends_between(r.now - 3 * kS, r.now), 8) << "calls during the outage";
  const Time back = r.now;
  r.run_load(14 * kS, 10, kSafe, 1, serve);
  Time first = 0;
  for (const auto& sent : r.sent)
    if (sent.at >= back - 100 * kMs && first == 0) first = sent.at;
  ASSERT_GT(first, 0);
  for (Time t = back; t < first + 8 * kS; t += 250 * kMs) {
    const double warm = 0.2 + 0.8 * std::max(0.0, static_cast<double>(t + 2 * kS - first) / (8.0 * kS));
    EXPECT_LE(r.sends_between(t, t + 2 * kS), 2 * 10 * std::min(1.0, warm) * 2 + 2) << (t - back) / kMs;
  }
  EXPECT_GE(r.sends_between(r.now - 2 * kS, r.now), 16) << "served in full again";
}
TEST(Return, AfterRefusedConnects) { expect_gentle_return(Outcome::connect_failed); }
TEST(Return, AfterErrors) { expect_gentle_return(Outcome::error); }
TEST(Return, AfterBeingShut) { expect_gentle_return(Outcome::full); }

TEST(Waits, ToldWaitHoldsEverySendToTheDestination) {
  DispatcherHarness r;
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}, {.id = "c", .destination = 2}});
  const auto id = r.arrive(kSafe);
  const Time told = r.now;
  r.end(id, Outcome::full, 2 * kS);
  r.arrive(kUnsafe);
  r.run_to(told + 1500 * kMs);
  r.arrive(kSafe);
  EXPECT_EQ(r.sends_between(told + 1, told + 2 * kS), 0);
  r.arrive(kSafe, 2);  // other destinations are not held back
  EXPECT_EQ(r.sent.back().endpoint, "c");
  r.run_to(told + 4 * kS);
  EXPECT_GE(r.sends_between(told + 2 * kS, told + 4 * kS), 1);
}
TEST(Waits, ToldWaitHoldsOneRouteWhereRoutesAreApart) {
  auto s = default_settings();
  s.kinds[0].routes_apart = true;
  DispatcherHarness r(s);
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  const auto id = r.arrive(kSafe);
  const EndpointId held = r.sent[0].endpoint;
  const Time told = r.now;
  r.end(id, Outcome::full, 3 * kS);
  for (int i = 0; i < 4; i++) r.arrive(kSafe);
  r.run_to(told + 2900 * kMs);
  EXPECT_EQ(r.sends_between(told + 1, told + 3 * kS, held), 0);
  EXPECT_GT(r.sends_between(told, told + 3 * kS, held == "a" ? "b" : "a"), 0);
}

TEST(Waits, CountFromTheLastOfABundlesOutcomes) {
  auto s = default_settings();
  s.kinds[0].bundle_max = 4;
  DispatcherHarness r(s);
  r.list({{.id = "a", .destination = 1}});
  r.run_load(5 * kS, 10, kSafe, 1, [](const Sent&) { return std::optional(Outcome::served); });
  for (const auto& sent : std::vector<Sent>(r.out)) r.end(sent.id, Outcome::served);
  std::vector<Event> events;
  for (MessageId id = 100; id < 102; id++) {
    event::Arrival a;
    a.id = id, a.destination = 1, a.time_left = 6 * kS;
    events.push_back(a);
  }
  r.round(events);
  ASSERT_EQ(r.out.size(), 2u);  // bundled into one call
  r.end(100, Outcome::full, 1 * kS);
  r.run_to(r.now + 30 * kMs);
  r.end(101, Outcome::full, 1 * kS);
  const Time told = r.now;
  r.run_to(told + 5 * kS);
  EXPECT_EQ(r.sends_between(told, told + 1 * kS), 0);
  EXPECT_GT(r.sends_between(told, told + 5 * kS), 0);
}

Settings ordered() {
  auto s = default_settings();
  s.classes[kSafe].ordered = s.classes[kUnsafe].ordered = true;
  s.settle_after_doubt = 700 * kMs;
  return s;
}
TEST(Order, OneAtATimeInTheOrderTaken) {
  DispatcherHarness r(ordered());
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 2}});
  const auto first = r.arrive(kSafe, 1, "k");
  const auto second = r.arrive(kUnsafe, 2, "k");
  const auto third = r.arrive(kSafe, 1, "k");
  const auto other = r.arrive(kSafe, 1, "k2");
  EXPECT_EQ(r.sends_of(second) + r.sends_of(third), 0);
  EXPECT_EQ(r.sends_of(other), 1);
  r.end(first, Outcome::served);
  EXPECT_EQ(r.sends_of(second), 1);
  EXPECT_EQ(r.sends_of(third), 0);
  r.end(second, Outcome::served);
  EXPECT_EQ(r.sends_of(third), 1);
}
TEST(Order, WithdrawnMessageStillBlocksWhileItsAttemptIsOut) {
  DispatcherHarness r(ordered());
  r.list({{.id = "a", .destination = 1}});
  const auto first = r.arrive(kSafe, 1, "k");
  const auto second = r.arrive(kSafe, 1, "k");
  r.round({event::Withdrawn{first}});
  EXPECT_EQ(r.sends_of(second), 0);
  r.end(first, Outcome::served);
  EXPECT_EQ(r.sends_of(second), 1);
}
TEST(Order, TheKeyRestsAfterDoubt) {
  for (auto o : {Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    DispatcherHarness r(ordered());
    r.list({{.id = "a", .destination = 1}});
    const auto first = r.arrive(kUnsafe, 1, "k");
    const auto second = r.arrive(kSafe, 1, "k");
    r.end(first, o);
    const Time at = r.now;
    EXPECT_EQ(r.failed.count(first), 1u);
    r.run_to(at + 699 * kMs);
    EXPECT_EQ(r.sends_of(second), 0);
    r.run_to(at + 2 * kS);
    EXPECT_EQ(r.sends_of(second), 1);
  }
}

}  // namespace
}  // namespace cedarplank::testing
