// Tests of admission control, without sockets.
#include "admission/admission_controller.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <pcg_random.hpp>

namespace cedarplank::admission {
namespace {

constexpr Time kMs = 1'000;

TEST(Door, TakesAllWhileThereIsRoom) {
  AdmissionController d({.held_max = 100, .bytes_max = 1'000});
  for (int i = 0; i < 95; i++) {
    ASSERT_EQ(d.decide(0, 10), Decision::accept) << i;
    d.accepted(0, 10);
  }
  // A single tenant may use the whole buffer: there is no other to keep capacity for.
  EXPECT_EQ(d.decide(0, 10), Decision::accept);
  EXPECT_EQ(d.decide(0, 51), Decision::no_memory);
  for (int i = 95; i < 100; i++) d.accepted(0, 0);
  EXPECT_EQ(d.decide(0, 0), Decision::full);
  for (int i = 0; i < 100; i++) d.released(0, i < 95 ? 10 : 0);
  EXPECT_EQ(d.held(), 0u);
  EXPECT_EQ(d.decide(0, 1'000), Decision::accept);
}

// One tenant sends six times its share: the other tenants' messages are accepted all the same.
TEST(Door, AFloodOfOneTenantLeavesTheOthersTheirShare) {
  for (const bool weighted : {false, true}) {
    Settings s{.held_max = 1'000};
    if (weighted) s.weights = {1, 1, 2};
    AdmissionController d(s);
    pcg32 random(3);
    std::deque<int> held;
    std::map<int, int> asked, taken;
    for (int step = 0; step < 60'000; step++) {
      // One message is submitted each step and one served every other step; tenant 0 submits six times as
      // much as each of the others.
      const int dice = static_cast<int>(random(8));
      const int tenant = dice < 6 ? 0 : dice - 5;
      if (step > 5'000) asked[tenant]++;
      if (d.decide(tenant, 100) == Decision::accept) {
        d.accepted(tenant, 100), held.push_back(tenant);
        if (step > 5'000) taken[tenant]++;
      }
      if (step % 2 == 0 && !held.empty()) d.released(held.front(), 100), held.pop_front();
      ASSERT_LE(d.held(), 1'000u);
    }
    // Half of all messages can be served. The other tenants submit a quarter and get it; tenant 0 gets the
    // rest.
    for (const int tenant : {1, 2}) EXPECT_GT(taken[tenant], asked[tenant] * 95 / 100) << tenant;
    EXPECT_LT(taken[0], asked[0] / 2);
    EXPECT_GT(taken[0], asked[0] / 4);
  }
}

TEST(Door, SharesFollowWeightsAndWhoIsThere) {
  AdmissionController d({.held_max = 900, .weights = {1, 2, 0}});
  EXPECT_DOUBLE_EQ(d.fair_share(0), 900);
  d.accepted(1, 0);
  EXPECT_DOUBLE_EQ(d.fair_share(0), 300);
  EXPECT_DOUBLE_EQ(d.fair_share(1), 900);
  d.accepted(-1, 0), d.accepted(0, 0);  // messages without tenant count as one tenant
  EXPECT_DOUBLE_EQ(d.fair_share(1), 400);
  EXPECT_DOUBLE_EQ(d.fair_share(2), 225);  // without a weight: the mean
  d.released(1, 0), d.released(0, 0), d.released(-1, 0);
  EXPECT_DOUBLE_EQ(d.fair_share(1), 900);
}

TEST(Door, LatenessThatLastsIsOverloadAndCutsWhatClientsMayHaveOpen) {
  AdmissionController d({.held_max = 1'000, .streams_max = 400, .streams_min = 10});
  Time now = 0;
  const auto go = [&](Time lag, Time span) {
    for (const Time end = now + span; now < end; now += 10 * kMs) d.report_lag(now, lag);
  };
  go(0, 2'000 * kMs);
  EXPECT_EQ(d.stream_limit(), 400);
  // A burst that is worked off in between is no overload.
  for (int i = 0; i < 20; i++) go(300 * kMs, 200 * kMs), go(20 * kMs, 20 * kMs);
  EXPECT_FALSE(d.overloaded());
  go(300 * kMs, 1'100 * kMs);
  EXPECT_TRUE(d.overloaded());
  EXPECT_LE(d.stream_limit(), 200);
  // Now the tenant that holds most is rejected, and tenants that hold little are accepted.
  for (int i = 0; i < 90; i++) d.accepted(0, 1);
  for (int i = 0; i < 10; i++) d.accepted(1, 1);
  EXPECT_EQ(d.decide(0, 1), Decision::overloaded);
  EXPECT_EQ(d.decide(1, 1), Decision::accept);
  EXPECT_EQ(d.decide(2, 1), Decision::accept);
  go(300 * kMs, 10'000 * kMs);
  EXPECT_EQ(d.stream_limit(), 10);
  go(0, 1'100 * kMs);
  EXPECT_FALSE(d.overloaded());
  EXPECT_EQ(d.decide(0, 1), Decision::accept);
  EXPECT_LT(d.stream_limit(), 100);
  go(0, 15'000 * kMs);
  EXPECT_EQ(d.stream_limit(), 400);
}

}  // namespace
}  // namespace cedarplank::admission
