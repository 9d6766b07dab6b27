// Requests that a client sends without waiting for the answers before them.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "platform_fixture.hpp"

namespace cedarplank::platform::testing {
namespace {

constexpr int kListed = 7, kUnlisted = 9;  // destinations; of the second no endpoint is listed

// The relay with one endpoint.
class PlatformPipelining : public ::testing::Test {
 protected:
  void SetUp() override {
    platform.add_endpoint("e1", kListed);
    platform.start();
  }
  // Runs the loop until the client has so many answers or its connection has ended. Returns their statuses.
  std::vector<int> statuses(const Client& client, std::size_t count) {
    platform.run_until([&] { return client.answers.size() >= count || client.closed; });
    std::vector<int> all;
    for (const auto& answer : client.answers) all.push_back(answer.status);
    return all;
  }
  // Whether each message is delivered exactly once, and none that isn't among them.
  void expect_delivered_once(const std::vector<std::string>& ids) {
    platform.run_until([&] {
      return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return platform.call_count(id) > 0; });
    });
    for (const auto& id : ids) EXPECT_EQ(platform.call_count(id), 1u) << id;
    EXPECT_EQ(platform.calls.size(), ids.size());
  }

  PlatformFixture platform;
};

std::string health_check() { return http1::build_request("GET", "/_health", "backend.local", {}, {}); }

// Guards against requests that are skipped, and whose answers go to later requests, when more bytes are read
// before those behind a request that was answered at once.
TEST_F(PlatformPipelining, ARequestAnsweredAtOnceSkipsNoneOfThoseSentBehindIt) {
  std::vector<int> expected = {503};
  std::vector<std::string> accepted;
  std::string bytes = Client::request("refused", "status", kUnlisted);
  for (int i = 0; i < 23; i++) {
    accepted.push_back("m" + std::to_string(i));
    bytes += Client::request(accepted.back(), "status", kListed, "6.0", std::string(2'000, 'a'));
    expected.push_back(202);
  }
  Client client(platform);
  client.write(bytes);
  EXPECT_EQ(statuses(client, expected.size()), expected);
  expect_delivered_once(accepted);
}

// Guards against text of a body that is read as a request, because the second read begins with it.
TEST_F(PlatformPipelining, TextInABodyIsNoRequest) {
  constexpr std::size_t kReadSize = 32 * 1024;  // bytes of one read from a socket
  const std::string first = Client::request("first", "status", kUnlisted);
  std::string second = Client::request("second", "status", kListed, "6.0", std::string(60'000, '.'));
  second.replace(kReadSize - first.size(), 300, Client::request("inner").append(300, '.').substr(0, 300));
  Client client(platform);
  client.write(first + second + Client::request("third"));
  EXPECT_EQ(statuses(client, 3), (std::vector<int>{503, 202, 202}));
  expect_delivered_once({"second", "third"});
}

// Guards against bytes that overtake a long row of requests that are answered at once: the loop interrupts it
// and reads from the socket before it goes on.
TEST_F(PlatformPipelining, ALongRowOfRequestsAnsweredAtOnceIsReadInItsOrder) {
  std::string bytes;
  std::vector<int> expected;
  for (int i = 0; i < 400; i++) {
    bytes += i % 3 == 0 ? health_check() : Client::request("r" + std::to_string(i), "status", kUnlisted);
    expected.push_back(i % 3 == 0 ? 200 : 503);
  }
  Client client(platform);
  client.write(bytes);
  client.write(Client::request("last"));
  expected.push_back(202);
  EXPECT_EQ(statuses(client, expected.size()), expected);
  expect_delivered_once({"last"});
}

// Guards against answers that are lost, exchanged or doubled, whatever the requests are and in whatever
// pieces their bytes arrive.
TEST_F(PlatformPipelining, EachRequestGetsItsOwnAnswerInWhateverPiecesItsBytesArrive) {
  std::mt19937 random(20'261'204);
  const auto draw = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  std::vector<std::string> accepted;
  for (int round = 0; round < 12; round++) {
    std::string bytes;
    std::vector<int> expected;
    for (int i = 0; i < 60; i++) {
      const std::string id = std::to_string(round) + "-" + std::to_string(i);
      const std::string body(static_cast<std::size_t>(draw(4) == 0 ? draw(20'000) : draw(200)), 'b');
      const int kind = draw(4);
      if (kind == 0) bytes += health_check(), expected.push_back(200);
      if (kind == 1) bytes += Client::request(id, "status", kUnlisted, "6.0", body), expected.push_back(503);
      if (kind == 2) bytes += Client::request(id, "unknown", kListed, "6.0", body), expected.push_back(404);
      if (kind == 3) {
        bytes += Client::request(id, "status", kListed, "6.0", body), expected.push_back(202);
        accepted.push_back(id);
      }
    }
    Client client(platform);
    const int largest_piece = 1 << draw(18);
    for (std::size_t at = 0; at < bytes.size();) {
      const auto piece = static_cast<std::size_t>(1 + draw(largest_piece));
      client.write(bytes.substr(at, piece));
      at += piece;
      if (largest_piece > 64 && draw(2) == 0) platform.loop.run_once(0);
    }
    EXPECT_EQ(statuses(client, expected.size()), expected) << "round " << round;
    // The relay refuses what it has no room for, so what was accepted has to be gone before the next round.
    expect_delivered_once(accepted);
  }
}

// Guards against requests that were sent whole and get no answer, because their client ended its sending
// behind them.
TEST_F(PlatformPipelining, RequestsSentWholeBeforeTheEndOfInputAreEachAnswered) {
  Client client(platform, platform.relay->address(), true);
  client.write(health_check() + Client::request("refused", "status", kUnlisted) + Client::request("one") +
               Client::request("two") + health_check() + "POST /status HTTP/1.1\r\nHost: half");
  ASSERT_TRUE(platform.run_until([&] { return client.connected; }));
  client.shutdown_sending();
  // A client that has ended its sending may have gone: its messages are not accepted, and it hears so.
  EXPECT_EQ(statuses(client, 5), (std::vector<int>{200, 503, 503, 503, 200}));
  platform.run_until([&] { return client.sending_ended || client.closed; });
  EXPECT_TRUE(client.sending_ended || client.closed);
  EXPECT_EQ(platform.calls.size(), 0u);
  // A client that sends much and goes takes no room in the journal from the others.
  EXPECT_NE(platform.relay->counts().find("\"taken\":0,"), std::string::npos);
}

// Guards against a client that fills the memory with requests which it sends ahead.
TEST_F(PlatformPipelining, WhatIsReadAheadOfAnOpenRequestIsBounded) {
  constexpr std::size_t kMost = (128 + 32) * 1024;  // bytes: the bound and one read
  platform.endpoint_replies["e1"] = [](const Call&) { return Server::Reply{}; };
  Client client(platform);
  std::string bytes;
  for (int i = 0; i < 40; i++)
    bytes += Client::request("m" + std::to_string(i), "status", kListed, "6.0", std::string(60'000, 'c'));
  client.write(bytes);
  std::size_t most = 0;
  platform.run_until([&] {
    most = std::max(most, platform.relay->client_bytes_unread());
    return client.answers.size() == 40;
  });
  EXPECT_LE(most, kMost);
  for (const auto& answer : client.answers) EXPECT_TRUE(answer.status == 202 || answer.status == 503);
  EXPECT_EQ(client.answers.size(), 40u);
}

}  // namespace
}  // namespace cedarplank::platform::testing
