// Tests of the connection pool, without sockets: the tests act as the endpoint.
#include "pool/pool.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cedarplank::pool {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;

// A pool with the record of the steps that it asked for.
struct PoolFixture {
  Settings settings;
  HandshakeLimiter limiter{2};
  LinkId next = 1;
  Pool pool{"e", settings, limiter, next, 7};
  Time now = kS;
  CallId calls = 0;
  std::map<LinkId, std::vector<CallId>> on;  // calls submitted, by connection
  std::vector<LinkId> connects, pings;
  std::vector<std::pair<LinkId, CloseReason>> closes;
  std::vector<CallId> failed;  // calls whose only connection was never ready

  void run() {
    for (std::vector<Step> steps;; steps.clear()) {
      pool.steps(now, steps);
      if (steps.empty()) return;
      for (const auto& s : steps) {
        if (s.kind == Step::Kind::connect) connects.push_back(s.link);
        if (s.kind == Step::Kind::submit) on[s.link].push_back(s.call);
        if (s.kind == Step::Kind::ping) pings.push_back(s.link);
        if (s.kind != Step::Kind::close) continue;
        closes.emplace_back(s.link, s.reason);
        if (s.reason == CloseReason::connect_timeout) {
          for (const auto c : pool.connection_lost(s.link, now).unsent_calls) failed.push_back(c);
        } else {
          pool.set_closing(s.link);
        }
      }
    }
  }
  void add_calls(int n) {
    for (int i = 0; i < n; i++) pool.enqueue(++calls);
    run();
  }
  LinkId make_ready(std::uint32_t streams = 100) {
    const LinkId id = connects.back();
    pool.set_ready(id, now, streams);
    run();
    return id;
  }
  void answered(LinkId link, std::size_t n) {
    for (std::size_t i = 0; i < n; i++) pool.call_ended(link, now), on[link].pop_back();
    run();
  }
  void after(Time t) { now += t, run(); }
};

TEST(Pool, OneConnectionUntilItsLossWouldCostTooMuchThenAnother) {
  PoolFixture r;
  r.settings.calls_at_risk = 10;
  r.add_calls(8);
  EXPECT_EQ(r.connects.size(), 1u);  // all wait for the same connection
  const auto first = r.make_ready();
  EXPECT_EQ(r.on[first].size(), 8u);
  EXPECT_EQ(r.connects.size(), 1u);
  r.add_calls(4);
  EXPECT_EQ(r.on[first].size(), 12u);  // none waits for the second
  ASSERT_EQ(r.connects.size(), 2u);
  const auto second = r.make_ready();
  r.add_calls(10);
  EXPECT_EQ(r.on[second].size(), 10u);
  EXPECT_EQ(r.on[first].size(), 12u);
  ASSERT_EQ(r.connects.size(), 3u);
  r.make_ready();
  // Under light load the fullest connection below calls_at_risk is used, so that the others become idle and
  // close.
  r.answered(first, 12), r.answered(second, 7);
  r.add_calls(1);
  EXPECT_EQ(r.on[second].size(), 4u);
  r.after(r.settings.idle_timeout);
  EXPECT_EQ(r.closes.size(), 2u);
  for (const auto& [link, why] : r.closes) EXPECT_TRUE(why == CloseReason::idle && link != second);
}

TEST(Pool, KeepsToStreamsConnectionsAndTheCapItMet) {
  PoolFixture r;
  r.settings.connections_max = 5;
  r.add_calls(20);
  r.make_ready(1);  // one stream each
  r.make_ready(1);
  EXPECT_EQ(r.pool.waiting(), 18u);
  // Two connect at once now, as many as are ready; the endpoint refuses both, since its limit is two.
  ASSERT_EQ(r.connects.size(), 4u);
  EXPECT_TRUE(
      r.pool.connection_lost(r.connects[2], r.now).unsent_calls.empty());  // others are ready: no call failed
  EXPECT_TRUE(r.pool.connection_lost(r.connects[3], r.now).unsent_calls.empty());
  r.run();
  EXPECT_EQ(r.pool.connection_cap(), 2);
  EXPECT_EQ(r.connects.size(), 4u);
  r.after(r.settings.connection_cap_ttl);  // tried again, in case the limit has been raised
  EXPECT_GT(r.connects.size(), 4u);
  r.make_ready(1);
  EXPECT_EQ(r.pool.connection_cap(), 0);
}

TEST(Pool, WhatWaitsForTheOnlyConnectionFailsWithItAndNothingElse) {
  PoolFixture r;
  r.add_calls(3);
  const auto loss = r.pool.connection_lost(r.connects[0], r.now);
  EXPECT_EQ(loss.unsent_calls, (std::vector<CallId>{1, 2, 3}));
  EXPECT_FALSE(loss.was_ready);
  r.add_calls(1);
  r.after(r.settings.connect_timeout);  // no SETTINGS arrive
  EXPECT_EQ(r.closes.back().second, CloseReason::connect_timeout);
  EXPECT_EQ(r.pool.waiting(), 0u);
  EXPECT_EQ(r.limiter.in_progress(), 0);
}

TEST(Pool, ADeadConnectionTakesNothingNewButWhatIsOutStaysOut) {
  PoolFixture r;
  r.settings.ping_after = 5 * kS;
  r.add_calls(2);
  const auto dead = r.make_ready();
  r.after(5 * kS);
  EXPECT_EQ(r.pings, std::vector<LinkId>{dead});
  r.after(r.settings.ping_timeout);
  r.add_calls(1);  // opens a new connection
  ASSERT_EQ(r.connects.size(), 2u);
  const auto fresh = r.make_ready();
  EXPECT_EQ(r.on[fresh].size(), 1u);
  EXPECT_TRUE(r.closes.empty());  // the module alone gives up the two calls
  // The peer had only been paused: once something is received, the connection is used again.
  r.pool.data_received(dead, r.now);
  r.answered(dead, 2);
  EXPECT_TRUE(r.closes.empty());
  // Again, with no calls out: it is closed before a call could be lost on it.
  r.after(5 * kS), r.after(r.settings.ping_timeout);
  const std::pair<LinkId, CloseReason> unhealthy{dead, CloseReason::unhealthy};
  EXPECT_EQ(std::count(r.closes.begin(), r.closes.end(), unhealthy), 1);
}

TEST(Pool, AGoawayIsReplacedBeforeACallMustWaitAndSpreadInTime) {
  std::set<Time> starts;
  for (std::uint64_t seed = 0; seed < 40; seed++) {
    Settings settings;
    HandshakeLimiter limiter(10);
    LinkId next = 1;
    Pool pool("e", settings, limiter, next, seed);
    std::vector<Step> steps;
    pool.enqueue(1);
    pool.steps(kS, steps);
    pool.set_ready(1, kS, 100);
    pool.steps(kS, steps);
    pool.set_draining(1, kS);
    steps.clear();
    pool.steps(kS, steps);
    EXPECT_TRUE(steps.empty());
    const Time due = pool.next_due();
    EXPECT_LE(due, kS + settings.replace_delay_max);
    starts.insert(due);
    // A call that arrives earlier does not wait for that time.
    if (seed % 2) pool.enqueue(2);
    pool.steps(seed % 2 ? kS + 1 : due, steps);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].kind, Step::Kind::connect);
    // The old connection is closed once its call has ended.
    pool.call_ended(1, due), steps.clear(), pool.steps(due, steps);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].reason, CloseReason::goaway);
  }
  EXPECT_GT(starts.size(), 30u);
}

// A relay that loses all its connections at once never exceeds the handshake limit, and reconnects in order.
TEST(Pool, AReconnectStormPassesTheGateInOrder) {
  Settings settings;
  HandshakeLimiter limiter(5);
  LinkId next = 1;
  std::vector<std::unique_ptr<Pool>> pools;
  std::map<std::string, Pool*> by_name;
  std::vector<std::pair<Pool*, LinkId>> connecting;
  const auto step = [&](Pool& pool) {
    std::vector<Step> steps;
    pool.steps(kS, steps);
    for (const auto& s : steps)
      if (s.kind == Step::Kind::connect) connecting.emplace_back(&pool, s.link);
  };
  for (int i = 0; i < 50; i++) {
    pools.push_back(std::make_unique<Pool>("e" + std::to_string(100 + i), settings, limiter, next, 1));
    by_name["e" + std::to_string(100 + i)] = pools.back().get();
    pools.back()->enqueue(static_cast<CallId>(i + 1));
    step(*pools.back());
  }
  std::vector<Pool*> order;
  while (!connecting.empty()) {
    EXPECT_LE(limiter.in_progress(), 5);
    const auto [pool, link] = connecting.front();
    connecting.erase(connecting.begin());
    order.push_back(pool);
    if (order.size() == 20)
      pools[40]->remove_waiting(41);  // needs no connection any more: leaves the queue when its turn comes
    if (order.size() % 7 == 0)
      pool->connection_lost(link, kS);
    else
      pool->set_ready(link, kS, 100);
    for (int guard = 0; guard < 100; guard++) {
      const auto who = limiter.next_waiting();
      if (!who) break;
      step(*by_name.at(*who));
    }
  }
  EXPECT_EQ(limiter.in_progress(), 0);
  EXPECT_EQ(limiter.queued(), 0u);
  EXPECT_EQ(order.size(), 49u);
  // First come, first served.
  std::vector<Pool*> asked;
  for (const auto& p : pools)
    if (p != pools[40]) asked.push_back(p.get());
  EXPECT_EQ(order, asked);
}

// For random inputs: streams and connections stay within their limits, no call is submitted twice or lost.
TEST(Pool, RandomUseKeepsItsBounds) {
  for (std::uint32_t seed = 1; seed <= 200; seed++) {
    pcg32 random(seed);
    PoolFixture r;
    r.settings.connections_max = 1 + static_cast<int>(random(4)),
    r.settings.streams_max = 1 + static_cast<int>(random(20));
    r.settings.calls_at_risk = 1 + static_cast<int>(random(30)), r.settings.ping_after = random(2) ? kS : 0;
    std::set<LinkId> standing, open, drained;
    std::set<CallId> waiting, out;
    const auto sync = [&] {
      r.run();
      for (const auto id : r.connects) open.insert(id);
      r.connects.clear();
      for (const auto& [id, why] : r.closes) {
        EXPECT_TRUE(r.on[id].empty()) << "connection closed with calls out";
        open.erase(id), standing.erase(id), drained.erase(id);
        r.pool.connection_lost(id, r.now);
      }
      for (const auto c : r.failed) EXPECT_EQ(waiting.erase(c), 1u);
      r.failed.clear();
      r.closes.clear();
      for (auto& [id, calls] : r.on) {
        ASSERT_LE(calls.size(), static_cast<std::size_t>(r.settings.streams_max));
        for (const auto c : calls)
          if (waiting.erase(c) > 0) {
            ASSERT_TRUE(out.insert(c).second);
          }
      }
      ASSERT_EQ(waiting.size(), r.pool.waiting());
    };
    for (int step = 0; step < 400; step++) {
      const auto any = [&](const std::set<LinkId>& s) {
        return *std::next(s.begin(), static_cast<long>(random(static_cast<std::uint32_t>(s.size()))));
      };
      switch (random(8)) {
        case 0:
          for (auto n = random(6); n > 0; n--) waiting.insert(++r.calls), r.pool.enqueue(r.calls);
          break;
        case 1:
          if (!open.empty()) {
            const auto id = any(open);
            if (standing.insert(id).second) r.pool.set_ready(id, r.now, 1 + random(30));
          }
          break;
        case 2:
          if (!open.empty()) {
            const auto id = any(open);
            for (const auto c : r.on[id]) out.erase(c);
            r.on.erase(id), open.erase(id), standing.erase(id), drained.erase(id);
            for (const auto c : r.pool.connection_lost(id, r.now).unsent_calls)
              EXPECT_EQ(waiting.erase(c), 1u);
          }
          break;
        case 3:
          if (!standing.empty()) {
            const auto id = any(standing);
            r.pool.set_draining(id, r.now), drained.insert(id);
          }
          break;
        case 4:
          for (auto& [id, calls] : r.on)
            if (!calls.empty()) {
              r.pool.call_ended(id, r.now), out.erase(calls.back()), calls.pop_back();
              if (random(2)) r.pool.data_received(id, r.now);
            }
          break;
        case 5:
          if (!waiting.empty()) {
            const auto c = *waiting.begin();
            EXPECT_TRUE(r.pool.remove_waiting(c));
            waiting.erase(c);
          }
          break;
        case 6:
          r.pool.set_listed(random(4) != 0);
          break;
        default:
          r.now += random(3) * 400 * kMs;
      }
      sync();
      // Something that stays due with nothing to do would keep the host busy.
      ASSERT_GT(r.pool.next_due(), r.now) << "seed " << seed;
      // Connections that drain or look dead are replaced, and come on top of the limit.
      if (r.settings.ping_after == 0) {
        ASSERT_LE(open.size() - drained.size(), static_cast<std::size_t>(r.settings.connections_max));
      }
    }
    EXPECT_LE(r.limiter.in_progress(), 2);
  }
}

}  // namespace
}  // namespace cedarplank::pool
