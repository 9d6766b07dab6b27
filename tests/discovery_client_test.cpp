// Tests of the calls for lists to a discovery service that is slow, far away or silent.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http1_server.hpp"
#include "platform/discovery.hpp"

namespace cedarplank::platform::testing {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kToldAfter = 6 * kSecond;  // a change counts as told then, by the platform's protocol
constexpr Time kSlackOnSockets = 50'000;
// Of an answer: the 2 s that a call may wait at discovery, and the four ways of a connection and an answer,
// each of 38 ms and 35 % of jitter.
constexpr Time kLongestAnswer = 2'205'000;
constexpr Time kDispatcherPause = 600'000;  // after a first failed call
constexpr int kFirstIndex = 5;

// A discovery service whose list is its index alone: it answers each call some time after it could.
class DiscoveryClientTest : public ::testing::Test {
 protected:
  Server::Reply handle(const http1::Message& call, int connection) {
    connections_at_calls.push_back(connection);
    if (silent_calls > 0) return silent_calls--, Server::Reply{};
    const int after = number_in(call.target, "after=");
    const int wait_ms = number_in(call.target, "wait_ms=");
    if (after < index || wait_ms == 0) return answer_later(connection), Server::Reply{};
    watches[connection] = loop.after(Time{wait_ms} * 1'000, [this, connection] {
      watches.erase(connection);
      answer_later(connection);
    });
    return {};
  }
  static int number_in(const std::string& target, const std::string& name) {
    const auto at = target.find(name);
    return at == std::string::npos ? -1 : std::stoi(target.substr(at + name.size()));
  }
  // Answers with what is known now, when the time for that has passed.
  void answer_later(int connection) {
    const std::string list = R"({"index":)" + std::to_string(index) + R"(,"snapshot":true,"endpoints":[]})";
    loop.after(answer_delay, [this, connection, list] {
      server.write_unasked(connection, http1::build_response(200, {}, list, false));
    });
  }
  void change() {
    index++;
    for (const auto& [connection, timeout] : std::exchange(watches, {})) {
      loop.cancel(timeout);
      answer_later(connection);
    }
  }
  bool run_until(const std::function<bool()>& condition, Time within) {
    const Time end = loop::monotonic_now() + within;
    while (!condition()) {
      if (loop::monotonic_now() > end) return false;
      loop.run_once(5'000);
    }
    return true;
  }
  void run_for(Time time) {
    run_until([] { return false; }, time);
  }
  void expect_change_heard_in_time() {
    change();
    EXPECT_TRUE(run_until([&] { return heard == index; }, kToldAfter + kSlackOnSockets)) << "index " << index;
  }
  void start() {
    client.start_from(index);
    client.subscribe(true);
    ASSERT_TRUE(run_until([&] { return !watches.empty(); }, 5 * kSecond));
  }

  loop::Loop loop;
  int index = kFirstIndex, silent_calls = 0;
  Time answer_delay = 0;
  std::map<int, loop::TimerId> watches;  // the end of the wait of each call that waits, by connection
  std::vector<int> connections_at_calls;
  std::int64_t heard = 0;  // index of the last list that the client reported
  int failures = 0;
  Server server{loop, [this](const http1::Message& call, int n) { return handle(call, n); }};
  settings::NameTables names;
  DiscoveryClient client{loop,
                         server.address(),
                         names,
                         1 << 20,
                         {.list = [this](const Catalogue& c) { heard = c.index; },
                          .failed =
                              [this](DiscoveryClient::Failure) {
                                failures++;
                                loop.after(kDispatcherPause, [this] { client.subscribe(true); });
                              },
                          .log = [](const std::string&) {},
                          .unix_to_monotonic = [] { return Time{0}; }}};
};

// Guards against changes that are never heard of because discovery takes as long for each answer as it may:
// every call was given up just before its answer came.
TEST_F(DiscoveryClientTest, ChangesAreHeardFromADiscoveryThatTakesAsLongAsItMay) {
  start();
  answer_delay = kLongestAnswer;
  run_for(5 * kSecond);
  for (int i = 0; i < 3; i++) expect_change_heard_in_time();
}

// Guards against a start without a known list that never gets one from a discovery that takes as long as it
// may.
TEST_F(DiscoveryClientTest, TheFirstListIsHeardFromADiscoveryThatTakesAsLongAsItMay) {
  answer_delay = kLongestAnswer;
  client.subscribe(true);
  EXPECT_TRUE(run_until([&] { return heard == index; }, kToldAfter));
}

// Guards against a change that is missed because a call hangs, and the next one takes as long as it may.
TEST_F(DiscoveryClientTest, ASilentWatchIsNoticedInTimeForASlowAnswer) {
  start();
  silent_calls = 1;
  change();  // the next watch gets no answer
  ASSERT_TRUE(run_until([&] { return silent_calls == 0; }, 5 * kSecond));
  answer_delay = kLongestAnswer;
  expect_change_heard_in_time();
}

// Guards against a watch that counts as ended because its next call had to wait for a connection.
TEST_F(DiscoveryClientTest, TheNextCallOfAWatchHasItsConnectionBeforeTheAnswer) {
  start();
  const int last_call = connections_at_calls.back();
  ASSERT_TRUE(run_until([&] { return server.accepted_count > last_call; }, kSecond));
  const int opened_before_answer = server.accepted_count;
  const auto calls_before_answer = connections_at_calls.size();
  change();
  ASSERT_TRUE(run_until([&] { return connections_at_calls.size() > calls_before_answer; }, kSecond));
  EXPECT_LE(connections_at_calls.back(), opened_before_answer);
  EXPECT_NE(connections_at_calls.back(), last_call);
}

}  // namespace
}  // namespace cedarplank::platform::testing
