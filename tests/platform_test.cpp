// Tests of the platform protocol on loopback: every outcome, malformed requests and answers, restarts,
// reloads and limits. All parties run in one event loop; no test sleeps.
#include "platform/semantics.hpp"
#include "platform_fixture.hpp"

namespace cedarplank::platform::testing {
namespace {

class Platform : public ::testing::Test, public PlatformFixture {
 protected:
  // Starts the relay, with one endpoint unless the test has added others.
  void serve() {
    if (endpoints.empty()) add_endpoint("s-1", 7);
    start();
  }
  // Submits one message and returns its outcome as the platform learns it: a status other than 202, the state
  // in its notice, or "delivered" where there is no notice.
  std::string outcome(const std::string& id, const std::string& cls = "status",
                      const std::string& budget = "6.0") {
    Client c(*this);
    c.submit(id, cls, 7, budget);
    const int status = c.status();
    if (status != 202) return std::to_string(status);
    if (!run_until([&] { return relay->held() == 0; })) return "held";
    run_until([&] { return has_notice(id); }, 200'000);
    for (const auto& n : notices)
      if (n.find(id) != std::string::npos)
        return n.find("failed") != std::string::npos ? "failed" : "returned";
    return "delivered";
  }
  static Server::Reply once(int& n, const std::string& first, const Call& call) {
    return n++ == 0 ? Server::Reply{first} : Server::Reply{ok_answer(call)};
  }
};

TEST_F(Platform, AMessageIsTakenOnAndDeliveredOverAConnectionThatIsKept) {
  serve();
  EXPECT_EQ(outcome("m-1"), "delivered");
  EXPECT_EQ(outcome("m-2", "order"), "delivered");
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[0].connection, calls[1].connection);
  EXPECT_EQ(calls[0].body, "hello");
  EXPECT_EQ(calls[0].path, "/inbox");
  EXPECT_TRUE(notices.empty());
  // The relay closes a connection shortly before the endpoint's idle limit, so that no call is sent while the
  // endpoint closes it.
  EXPECT_TRUE(run_until([&] { return endpoints.at("s-1").server->connections() == 0; }));
  EXPECT_EQ(outcome("m-3"), "delivered");
}

TEST_F(Platform, HealthIsWellOnceAListIsKnown) {
  add_endpoint("s-1", 7);
  discoveries[0]->stop();
  start(false);
  Client c(*this);
  c.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(c.status(), 503);
  discoveries[0]->restart();
  EXPECT_TRUE(run_until([&] { return relay->ready(); }));
  c.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(c.status(), 200);
}

// Each outcome in the protocol's table, with a message that must not run twice: it is sent again where it
// provably never ran, and fails where it may have run.
TEST_F(Platform, WhatNeverRanGoesAgainAndWhatMayHaveRunDoesNot) {
  serve();
  const struct {
    const char* what;
    Server::Reply reply;
    const char* expected;
  } cases[] = {
      {"429", {"HTTP/1.1 429 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"}, "delivered"},
      {"503", {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}, "delivered"},
      {"503 own slots", {"HTTP/1.1 503 No\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n"}, "delivered"},
      {"500", {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"}, "failed"},
      {"reset", {"", Server::Reply::Disposition::abort}, "failed"},
      {"closed", {"", Server::Reply::Disposition::close}, "failed"},
      {"cut", {"HTTP/1.1 50", Server::Reply::Disposition::close}, "failed"},
      {"half a 503",
       {"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhalf", Server::Reply::Disposition::close},
       "failed"},
      {"noise", {"\x01\x02 noise\r\n"}, "failed"},
      {"head that can't be read", {"HTTP/1.1 503 No\r\nno colon\r\n\r\n"}, "failed"},
      {"3 GB", {"HTTP/1.1 500 Oh\r\nContent-Length: 3000000000\r\n\r\nxxxx"}, "failed"},
      {"200, then spoilt", {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n"}, "delivered"},
      {"200, 3 GB", {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx"}, "delivered"},
      {"200, head without end", {"HTTP/1.1 200 OK\r\nX-A: "}, "delivered"},
      {"200, cut", {"HTTP/1.1 200 OK\r\nX-A", Server::Reply::Disposition::close}, "delivered"},
      {"1xx ahead", {"HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, "delivered"},
      {"a report that can't be read",
       {"HTTP/1.1 200 OK\r\nX-Load-Report: {\"x0\":[[[\r\nContent-Length: 0\r\n\r\n"},
       "delivered"},
  };
  int n = 0;
  for (const auto& c : cases) {
    int answered = 0;
    endpoint_replies["s-1"] = [&](const Call& call) {
      return answered++ == 0 ? c.reply : Server::Reply{ok_answer(call)};
    };
    const std::string id = "t-" + std::to_string(n++);
    EXPECT_EQ(outcome(id, "order"), c.expected) << c.what;
    const bool resent = std::string(c.expected) == "delivered" && std::string(c.what).substr(0, 2) != "20" &&
                        std::string(c.what).substr(0, 2) != "1x" && std::string(c.what).substr(0, 2) != "a ";
    EXPECT_EQ(call_count(id), resent ? 2u : 1u) << c.what;
  }
}

TEST_F(Platform, AnEndpointThatCannotBeReachedHasRunNothing) {
  serve();
  endpoints.at("s-1").server->stop();
  Client c(*this);
  c.submit("m-1", "order");
  EXPECT_EQ(c.status(), 202);
  endpoints.at("s-1").server->restart();
  EXPECT_TRUE(run_until([&] { return relay->held() == 0; }));
  EXPECT_EQ(call_count("m-1"), 1u);
  EXPECT_TRUE(notices.empty());
}

TEST_F(Platform, ASecondAnswerBehindAGoodOneEndsTheConnection) {
  serve();
  const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{good + good}; };
  EXPECT_EQ(outcome("m-1"), "delivered");
  endpoint_replies["s-1"] = [&](const Call&) {
    return Server::Reply{"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"};
  };
  // The second answer must not be read as the answer to the next call.
  EXPECT_EQ(outcome("m-2", "order"), "failed");
  EXPECT_NE(calls[0].connection, calls[1].connection);
}

// Guards against an answer that is given to another call because nothing ties it to its own.
TEST(AnswerMatching, AnAnswerIsTheCallsOwnOnlyByItsProof) {
  using enum AnswerProof;
  EXPECT_EQ(choose_proof(true, false, false), first_on_connection);
  EXPECT_EQ(choose_proof(false, true, true), message_ids);
  EXPECT_EQ(choose_proof(false, false, true), close_confirmed) << "a refusal names no message";
  EXPECT_EQ(choose_proof(false, true, false), close_confirmed);
  http1::Message answer;
  answer.status = 503;
  EXPECT_EQ(match_answer(first_on_connection, answer, {"a"}), AnswerMatch::own);
  EXPECT_EQ(match_answer(close_confirmed, answer, {"a"}), AnswerMatch::foreign);
  EXPECT_EQ(match_answer(message_ids, answer, {"a"}), AnswerMatch::unproved);
  answer.close = true;
  EXPECT_EQ(match_answer(close_confirmed, answer, {"a"}), AnswerMatch::own);
  answer.status = 200, answer.body = "b ok\r\na later\r\n";
  EXPECT_EQ(match_answer(message_ids, answer, {"a", "b"}), AnswerMatch::own);
  EXPECT_EQ(match_answer(message_ids, answer, {"c"}), AnswerMatch::foreign);
  EXPECT_EQ(match_answer(message_ids, answer, {"a"}), AnswerMatch::unproved);
  answer.body.clear();
  EXPECT_EQ(match_answer(message_ids, answer, {"a"}), AnswerMatch::foreign);
}

TEST_F(Platform, AConnectionClosedWhileIdleIsNotWrittenTo) {
  serve();
  EXPECT_EQ(outcome("m-1"), "delivered");
  endpoints.at("s-1").server->stop();
  endpoints.at("s-1").server->restart();
  // Had the call been in doubt, it would have failed.
  EXPECT_EQ(outcome("m-2", "order"), "delivered");
}

// Guards against treating such a call as fully sent, and so as in doubt: half of the messages lost on a day
// of stale connections were lost this way.
TEST_F(Platform, AKeptConnectionResetAtTheNextRequestHasRunNothing) {
  serve();
  endpoints.at("s-1").server->reset_at_request = [](int, int requests) { return requests == 1; };
  for (int i = 0; i < 6; i++) {
    const std::string id = "m-" + std::to_string(i);
    EXPECT_EQ(outcome(id, "order"), "delivered");
    EXPECT_EQ(call_count(id), 1u);
  }
  // The core saw no error: the call was moved to a new connection.
  EXPECT_NE(relay->counts().find("\"moved\":5"), std::string::npos) << relay->counts();
  EXPECT_EQ(relay->counts().find("reset"), std::string::npos);
}

TEST_F(Platform, ANewConnectionResetBeforeTheCallIsWholeHasRunNothing) {
  serve();
  endpoints.at("s-1").server->reset_at_request = [](int connection, int) { return connection == 1; };
  EXPECT_EQ(outcome("m-1", "order"), "delivered");
  EXPECT_EQ(call_count("m-1"), 1u);
  EXPECT_NE(relay->counts().find("\"connect_failed\":1"), std::string::npos) << relay->counts();
}

TEST_F(Platform, ALateOrMissingAnswerIsGivenUpByClosingTheConnection) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{}; };
  EXPECT_EQ(outcome("m-1", "order", "0.4"), "failed");
  EXPECT_TRUE(run_until([&] { return endpoints.at("s-1").server->connections() == 0; }));
  EXPECT_LE(std::stod(calls[0].budget), 0.4);
}

TEST_F(Platform, SendsOfOneTurnToAKindThatBundlesTravelTogether) {
  add_endpoint("b-1", 7, "big");
  serve();
  Client a(*this), b(*this), c(*this);
  run_until([&] { return false; }, 20'000);  // connected
  a.submit("m-1", "order", 7, "6.0", "one\r\ntwo"), b.submit("m-2", "order"), c.submit("m-3", "order");
  endpoint_replies["b-1"] = [&](const Call& call) -> Server::Reply {
    if (call.path == "/inbox") return {ok_answer(call)};
    std::string body;
    const std::map<std::string, std::string> ends = {{"m-1", " ok"}, {"m-2", " later"}, {"m-3", " error"}};
    for (const auto& id : bulk_ids(call)) body += id + ends.at(id) + "\r\n";
    return {http1::build_response(200, {}, body, false)};
  };
  ASSERT_EQ(a.status(), 202);
  ASSERT_EQ(b.status(), 202);
  ASSERT_EQ(c.status(), 202);
  EXPECT_TRUE(run_until([&] { return relay->held() == 0 && has_notice("m-3"); }));
  ASSERT_EQ(calls[0].path, "/inbox/bulk");
  EXPECT_NE(calls[0].body.find("m-1 - 8\r\none\r\ntwo\r\n"), std::string::npos);
  EXPECT_EQ(call_count("m-1"), 1u);
  EXPECT_EQ(call_count("m-2"), 2u);  // "later": it never ran
  EXPECT_TRUE(has_notice(R"({"id":"m-3","state":"failed"})"));
}

// 'gone' and 'exhausted' mean 410 and 504 for one message of the call; a 410 for the call as a whole ends
// none of its messages.
TEST_F(Platform, WhatABulkAnswerSaysIsOverIsNotSentAgain) {
  add_endpoint("b-1", 7, "big");
  serve();
  Client a(*this), b(*this), c(*this);
  run_until([&] { return false; }, 20'000);  // connected
  a.submit("m-1", "order"), b.submit("m-2", "order"), c.submit("m-3", "order");
  endpoint_replies["b-1"] = [&](const Call& call) -> Server::Reply {
    if (call.path == "/inbox") return {ok_answer(call)};
    std::string body;
    const std::map<std::string, std::string> ends = {
        {"m-1", " gone"}, {"m-2", " exhausted"}, {"m-3", " later"}};
    for (const auto& id : bulk_ids(call)) body += id + ends.at(id) + "\r\n";
    return {http1::build_response(200, {}, body, false)};
  };
  EXPECT_TRUE(run_until([&] { return relay->held() == 0 && has_notice("m-1") && has_notice("m-2"); }));
  ASSERT_EQ(calls[0].path, "/inbox/bulk");
  EXPECT_EQ(call_count("m-1"), 1u);
  EXPECT_EQ(call_count("m-2"), 1u);
  EXPECT_EQ(call_count("m-3"), 2u);
  EXPECT_TRUE(has_notice(R"({"id":"m-1","state":"returned"})"));
  EXPECT_FALSE(has_notice("m-3"));
  http1::Message whole;
  whole.status = 410;
  for (const auto& ending : endings_of(whole, true, {"m-1", "m-2"}))
    EXPECT_EQ(ending.retry_status, relay::RetryStatus::allowed);
}

TEST_F(Platform, ABulkAnswerCutInItsMiddleLeavesEachInDoubt) {
  add_endpoint("b-1", 7, "big");
  serve();
  Client a(*this), b(*this);
  run_until([&] { return false; }, 20'000);
  a.submit("m-1", "order"), b.submit("m-2", "order");
  endpoint_replies["b-1"] = [&](const Call&) -> Server::Reply {
    return {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nm-1 ok\r\nm-", Server::Reply::Disposition::close};
  };
  ASSERT_EQ(a.status(), 202);
  ASSERT_EQ(b.status(), 202);
  EXPECT_TRUE(run_until([&] { return has_notice("m-1") && has_notice("m-2"); }));
  EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Platform, RequestsThatCannotBeReadAreTurnedAwayAndNothingOfThemIsSent) {
  serve();
  const auto with = [](const std::string& from, const std::string& to) {
    std::string r = Client::request("bad");
    const auto at = r.find(from);
    return r.replace(at, from.size(), to);
  };
  const struct {
    std::string bytes;
    int status;
  } cases[] = {
      {with("/status", "/nothing"), 404},
      {with("POST", "GET"), 405},
      {with("dest=7", "dest=99"), 503},
      {with("dest=7", "dest=-7"), 400},
      {with("dest=7", "7"), 400},
      {with("X-Budget: 6.0", "X-Budget: soon"), 400},
      {with("X-Budget: 6.0", "X-Budget: -1"), 400},
      {with("X-Budget: 6.0", "X-Budget: 0"), 400},
      {with("X-Budget: 6.0", "X-Budget: nan"), 400},
      {with("X-Budget: 6.0", "X-Budget: 86400.5"), 400},
      {with("X-Budget: 6.0", "X-Budget: 99999999999999999999999"), 400},
      {with("X-Call-Id: bad\r\n", ""), 400},
      {with("X-Call-Id: bad", "X-Call-Id: two words"), 400},
      {with("Content-Length: 5", "Content-Length: -5"), 400},
      {with("Content-Length: 5", "Content-Length: 60000000"), 413},
      {with("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"), 400},
      {"nonsense\r\n\r\n", 400},
  };
  for (const auto& c : cases) {
    Client client(*this);
    client.write(c.bytes);
    EXPECT_EQ(client.status(), c.status) << c.bytes;
  }
  EXPECT_EQ(relay->held(), 0u);
  EXPECT_TRUE(calls.empty());
}

TEST_F(Platform, AnIdThatIsHeldIsNotTakenTwice) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{}; };
  Client a(*this), b(*this);
  a.submit("m-1");
  EXPECT_EQ(a.status(), 202);
  b.submit("m-1");
  EXPECT_EQ(b.status(), 202);  // the same answer as the first copy's
  EXPECT_EQ(relay->held(), 1u);
  Client other(*this);
  other.submit("m-1", "status", 7, "6.0", "something else");
  EXPECT_EQ(other.status(), 409);
  EXPECT_EQ(relay->held(), 1u);
  EXPECT_TRUE(run_until([&] { return call_count("m-1") > 0; }));
  run_until([] { return false; }, 100'000);
  EXPECT_EQ(call_count("m-1"), 1u);
}

// Copies that are read before the first copy is answered wait for the same answer. A client that disconnects
// while another copy waits does not cancel the message.
TEST_F(Platform, CopiesHearTheSameWordAndOneThatLeavesWithdrawsNothing) {
  settings.replace(settings.find("\"Tick\":5000"), 11, "\"Tick\":400000");  // the answer waits for the round
  serve();
  Client warm(*this), first(*this), second(*this);
  warm.submit("m-0");
  EXPECT_EQ(warm.status(), 202);  // a round was a moment ago
  first.submit("m-1", "order");
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"taken\":2") != std::string::npos; }));
  second.submit("m-1", "order");
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"repeated_waiting\":1") != std::string::npos; }));
  first.close();
  const int status = second.status();
  EXPECT_TRUE(status == 202 || status == 200) << status;
  EXPECT_TRUE(run_until([&] { return call_count("m-1") == 1; }));
  EXPECT_FALSE(has_log_line("withdrawn"));
}

// A client that only shuts down its sending cancels nothing while another one waits for the same answer; it
// receives that answer too.
TEST_F(Platform, ACopyWhoseClientSendsNoMoreHearsTheWordAndItsConnectionEnds) {
  settings.replace(settings.find("\"Tick\":5000"), 11, "\"Tick\":400000");
  serve();
  Client warm(*this), first(*this), second(*this, relay->address(), true);
  warm.submit("m-0");
  EXPECT_EQ(warm.status(), 202);
  first.submit("m-1");
  second.submit("m-1");
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"repeated_waiting\":1") != std::string::npos; }));
  second.shutdown_sending();
  for (Client* client : {&first, &second}) {
    const int status = client->status();
    EXPECT_TRUE(status == 202 || status == 200) << status;
  }
  EXPECT_TRUE(run_until([&] { return second.sending_ended || second.closed; }, 1'000'000));
  EXPECT_FALSE(has_log_line("withdrawn"));
}

// A client that was informed that its request has ended gets the same answer to a copy of it.
TEST_F(Platform, ACopyOfAWithdrawnRequestThatWasToldAsOverIsNotTakenAnew) {
  settings.replace(settings.find("\"Tick\":5000"), 11, "\"Tick\":400000");
  serve();
  Client warm(*this), first(*this, relay->address(), true);
  warm.submit("m-0");
  EXPECT_EQ(warm.status(), 202);
  first.submit("m-1", "order");
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"taken\":2") != std::string::npos; }));
  first.shutdown_sending();
  EXPECT_EQ(first.status(), 503);
  Client second(*this);
  second.submit("m-1", "order");
  EXPECT_EQ(second.status(), 503);
  EXPECT_EQ(call_count("m-1"), 0u);
}

TEST_F(Platform, ManyRequestsOnOneConnectionAreAnsweredInTheirOrder) {
  serve();
  Client c(*this);
  std::string all;
  for (int i = 0; i < 30; i++) all += Client::request("m-" + std::to_string(i), "status", i % 2 ? 7 : 99);
  c.write(all);
  for (int i = 0; i < 30; i++) {
    const int status = c.status();
    if (i % 2)
      EXPECT_TRUE(status == 202 || status == 200) << i;
    else
      EXPECT_EQ(status, 503) << i;
  }
}

TEST_F(Platform, AClientThatLeavesBeforeItsAnswerHasWithdrawn) {
  settings.replace(settings.find("\"Tick\":5000"), 11, "\"Tick\":400000");  // the answer waits for the round
  serve();
  {
    Client first(*this), c(*this);
    first.submit("m-0");
    EXPECT_EQ(first.status(), 202);  // a round was a moment ago
    c.submit("m-1", "order");
    EXPECT_TRUE(run_until([&] { return relay->counts().find("\"taken\":2") != std::string::npos; }));
    c.close();
  }
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"withdrawn\":1") != std::string::npos; }));
  EXPECT_TRUE(run_until([&] { return relay->held() == 0; }));
  EXPECT_EQ(call_count("m-1"), 0u);
  EXPECT_TRUE(notices.empty());
}

TEST_F(Platform, ClientsThatSayNothingOrStopHalfwayAreClosedInTime) {
  serve();
  Client silent(*this), half(*this);
  half.write("POST /status HTTP/1.1\r\nHost: b\r\nX-Ca");
  const Time from = loop::monotonic_now();
  EXPECT_EQ(silent.status(), 0);
  EXPECT_EQ(half.status(), 408);
  EXPECT_LT(loop::monotonic_now() - from, 3'000'000);
}

TEST_F(Platform, AFloodOfConnectionsLeavesRoomForThoseThatAsk) {
  serve();
  std::vector<std::unique_ptr<Client>> flood;
  for (int i = 0; i < 150; i++) flood.push_back(std::make_unique<Client>(*this));
  EXPECT_EQ(outcome("m-1"), "delivered");
  const auto closed = std::count_if(flood.begin(), flood.end(), [](const auto& c) { return c->closed; });
  EXPECT_GT(closed, 60);  // 128 descriptors in all
}

// Guards against each new connection evicting the one accepted just before it: with many idle clients, two
// thirds of the messages never reached the relay.
TEST_F(Platform, ACrowdThatAskedOnceAndStaysLeavesRoomForAllThatHandIn) {
  serve();
  std::vector<std::unique_ptr<Client>> crowd, clients;
  for (int i = 0; i < 120; i++) {
    crowd.push_back(std::make_unique<Client>(*this));
    crowd.back()->write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    loop.run_once(0);
  }
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"accepted\":120,") != std::string::npos; }));
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < 20; i++) {
      clients.push_back(std::make_unique<Client>(*this));
      clients.back()->submit("m-" + std::to_string(clients.size()));
    }
  for (auto& c : clients) {
    const int status = c->status();
    EXPECT_TRUE(status == 202 || status == 200 || status == 503) << status;  // at most 50 are held
  }
}

// Guards against two faults of a full connection table: an endless search where all connections had just
// received bytes, and closing a connection whose request had partly arrived.
TEST_F(Platform, AFullTableIsGoneThroughOnceAndNoOneIsClosedUponWhileItAsks) {
  serve();
  std::vector<std::unique_ptr<Client>> clients;
  const std::string ask = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int i = 0; i < 62; i++) {
    clients.push_back(std::make_unique<Client>(*this));
    clients.back()->write(ask);
    EXPECT_EQ(clients.back()->status(), 200);
  }
  for (const std::string& part : {std::string(), ask.substr(0, 9)}) {
    for (auto& c : clients) c->write(part);
    if (!part.empty()) run_until([&] { return false; }, 20'000);  // read
    Client next(*this);
    for (auto& c : clients) c->write(ask.substr(part.size()));
    loop.run_once(0);
    for (auto& c : clients) EXPECT_EQ(c->status(), 200);
    EXPECT_TRUE(run_until([&] { return next.closed; }));
  }
}

// Clients that send one request per connection and keep it open used up the clients' third of the
// descriptors. Closing every connection after its answer did not help: clients that reuse connections lost
// theirs too, and a relay that was terminating received nothing more.
TEST_F(Platform, CrowdedConnectionsUsedOnceEndAndThoseUsedAgainStay) {
  serve();
  std::vector<std::unique_ptr<Client>> usual, once;
  for (int i = 0; i < 5; i++) {
    usual.push_back(std::make_unique<Client>(*this));
    for (int n = 0; n < 2; n++) {
      usual.back()->submit("u-" + std::to_string(i) + std::to_string(n));
      EXPECT_EQ(usual.back()->status() / 100, 2);
    }
  }
  once.push_back(std::make_unique<Client>(*this));
  once.back()->submit("m-0");
  EXPECT_EQ(once.back()->status() / 100, 2);
  run_until([&] { return false; }, 500'000);
  EXPECT_FALSE(once.back()->closed);  // not crowded
  for (int i = 1; i < 30; i++) {
    once.push_back(std::make_unique<Client>(*this));
    once.back()->submit("m-" + std::to_string(i));
  }
  for (auto& c : once) c->status();
  EXPECT_TRUE(run_until([&] { return once.front()->closed; }));
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"ended_once\":0") == std::string::npos; }));
  for (auto& c : usual) EXPECT_FALSE(c->closed);
  // A terminating relay keeps accepting messages on reused connections and closes none after one use: no new
  // connections come in their place.
  for (int i = 30; i < 55; i++) {
    once.push_back(std::make_unique<Client>(*this));
    once.back()->submit("m-" + std::to_string(i));
    once.back()->status();
  }
  relay->stop([] {});
  run_until([&] { return false; }, 500'000);
  EXPECT_EQ(std::count_if(once.begin() + 30, once.end(), [](const auto& c) { return c->closed; }), 0);
  for (auto& c : usual) {
    c->submit("last-" + std::to_string(&c - usual.data()));
    EXPECT_EQ(c->status() / 100, 2);
  }
}

TEST_F(Platform, ADrainedEndpointGetsNothingNewAndItsSuccessorMayHaveItsAddress) {
  serve();
  EXPECT_TRUE(run_until([&] { return !open_watches.empty(); }));
  add_endpoint("s-2", 7);
  change_status("s-1", "draining");
  EXPECT_TRUE(run_until([&] { return open_watches.size() == 1; }));
  for (int i = 0; i < 5; i++) EXPECT_EQ(outcome("m-" + std::to_string(i)), "delivered");
  for (const auto& c : calls) EXPECT_EQ(c.endpoint, "s-2");
  // Another endpoint takes over its address.
  auto server = std::move(endpoints.at("s-1").server);
  endpoints["s-3"] = {7, "small", "ready", std::move(server)};
  endpoints.erase("s-1");
  endpoints["s-1"] = {7, "small", "gone", std::make_unique<Server>(loop, Server::Handler{})};
  change_status("s-2", "draining");
  EXPECT_TRUE(run_until([&] { return open_watches.size() == 1; }));
  EXPECT_EQ(outcome("m-9"), "delivered");
  EXPECT_EQ(calls.back().endpoint, "s-1");  // the test server still reports its first name
}

TEST_F(Platform, TheWatchGoesOnAndIsTakenUpAgainAfterAnOutage) {
  serve();
  EXPECT_TRUE(run_until([&] { return !open_watches.empty(); }));
  open_watches.clear();
  discoveries[0]->stop();
  EXPECT_TRUE(run_until([&] { return has_log_line("discovery: "); }));
  add_endpoint("s-2", 8);
  list_index++;
  discoveries[0]->restart();
  EXPECT_TRUE(run_until([&] { return !open_watches.empty(); }));
  Client c(*this);
  c.submit("m-1", "status", 8);
  EXPECT_EQ(c.status(), 202);
}

TEST_F(Platform, AReloadMovesCatalogueAndNoticesAtOnce) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) {
    return Server::Reply{"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"};
  };
  EXPECT_TRUE(run_until([&] { return !open_watches.empty(); }));
  outcome_status = 503;
  Client c(*this);
  c.submit("m-1", "order");
  EXPECT_EQ(c.status(), 202);
  EXPECT_TRUE(run_until([&] { return has_log_line("outcomes: answered 503"); }));
  open_watches.clear();
  discoveries[0]->stop();
  discovery_index = 1;
  const auto next = read_config(config_json(), 0);
  relay->reload(next), relay->reload(next);
  outcome_status = 204;
  EXPECT_TRUE(run_until([&] { return has_notice("m-1"); }));
  EXPECT_TRUE(
      run_until([&] { return open_watches.size() == 1 && open_watches[0].first == discoveries[1].get(); }));
}

// Killed while messages are held, in doubt, or ended without a delivered notice: the next process gives each
// exactly one final answer.
TEST_F(Platform, WhatWasTakenOnOutlivesAKill) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{}; };
  outcome_status = 503;
  for (const char* id : {"safe-out", "order-out"}) {
    Client c(*this);
    c.submit(id, std::string(id).substr(0, 4) == "safe" ? "status" : "order", 7, "12");
    EXPECT_EQ(c.status(), 202);
  }
  EXPECT_TRUE(run_until([&] { return call_count("safe-out") == 1 && call_count("order-out") == 1; }));
  change_status("s-1", "draining");
  EXPECT_TRUE(run_until([&] { return open_watches.size() == 1; }));
  Client c(*this);
  c.submit("order-held", "order", 7, "12");
  EXPECT_EQ(c.status(), 202);
  c.submit("order-late", "order", 7, "0.3");
  EXPECT_EQ(c.status(), 202);
  // order-late has ended, and its notice is not delivered.
  EXPECT_TRUE(run_until([&] { return has_log_line("outcomes: answered 503"); }));
  kill();
  EXPECT_FALSE(has_notice("order-late"));
  endpoints.at("s-1").status = "ready", list_index++;
  endpoint_replies.clear(), outcome_status = 204;
  start();
  EXPECT_TRUE(
      run_until([&] { return relay->held() == 0 && has_notice("order-out") && has_notice("order-late"); }));
  EXPECT_TRUE(has_notice(R"({"id":"order-out","state":"failed"})"));  // it may have run
  EXPECT_EQ(call_count("order-out"), 1u);
  EXPECT_EQ(call_count("safe-out"), 2u);
  EXPECT_EQ(call_count("order-held"), 1u);
  EXPECT_EQ(call_count("order-late"), 0u);
  // A third process neither sends nor reports anything again.
  EXPECT_TRUE(run_until([&] { return relay->counts().find("\"notices\":0") != std::string::npos; }));
  loop.run_once(0);
  kill();
  const auto calls_before = calls.size(), notices_before = notices.size();
  start();
  run_until([&] { return false; }, 200'000);
  EXPECT_EQ(calls.size(), calls_before);
  EXPECT_EQ(notices.size(), notices_before);
}

TEST_F(Platform, ToldToEndItFinishesWhatIsOutAndKeepsWhatIsHeld) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{}; };
  Client c(*this);
  c.submit("m-1", "order", 7, "12");
  EXPECT_EQ(c.status(), 202);
  EXPECT_TRUE(run_until([&] { return call_count("m-1") == 1; }));
  bool stopped = false;
  relay->stop([&] { stopped = true; });
  c.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(c.status(), 503);
  c.submit("m-2", "order", 7, "12");  // clients keep using the connections that they have
  EXPECT_EQ(c.status(), 202);
  const Time from = loop::monotonic_now();
  EXPECT_TRUE(run_until([&] { return stopped; }));
  EXPECT_LT(loop::monotonic_now() - from, 3'650'000);
  kill();
  endpoint_replies.clear();
  start();
  EXPECT_TRUE(run_until([&] { return relay->held() == 0 && has_notice("m-1"); }));
  EXPECT_EQ(call_count("m-1"), 1u);
}

TEST_F(Platform, ADamagedJournalIsReadAsFarAsItCanBe) {
  serve();
  endpoint_replies["s-1"] = [&](const Call&) { return Server::Reply{}; };
  Client c(*this);
  for (int i = 0; i < 5; i++) {
    c.submit("m-" + std::to_string(i), "status", 7, "6");
    EXPECT_EQ(c.status(), 202);
  }
  kill();
  for (const auto& entry : std::filesystem::directory_iterator(state_folder)) {
    if (entry.path().filename().string().rfind("log-", 0) != 0) continue;
    FILE* f = fopen(entry.path().c_str(), "r+b");
    fseek(f, 180, SEEK_SET), fputs("damage", f), fclose(f);  // in the first records
  }
  endpoint_replies.clear();
  start();
  EXPECT_TRUE(has_log_line("journal: damaged"));
  EXPECT_TRUE(run_until([&] { return relay->held() == 0; }));
  EXPECT_GE(call_count("m-4"), 1u);
}

TEST_F(Platform, TheJournalsFilesFitTheirDisk) {
  for (const std::uint64_t disk : {1'000'000ull, 3'000'000ull, 50'000'000ull}) {
    const auto s = Journal::log_settings(disk);
    // All segments, the spare ones, and one that is being created.
    EXPECT_LE((s.segments_max + s.spares_max + 1) * s.segment_size, disk) << disk;
    EXPECT_GE(s.segments_max, 4u);
    EXPECT_EQ(s.segment_size % 512, 0u);
  }
  EXPECT_GE(Journal::log_settings(3'000'000).record_size_max, 64u * 1024 + 2048);
  disk_mb = "1";
  serve();
  Client c(*this);
  for (int i = 0; i < 300; i++) {
    c.submit("m-" + std::to_string(i), "status", 7, "6", std::string(i % 10 == 0 ? 60'000 : 500, 'x'));
    const int status = c.status();
    ASSERT_TRUE(status == 202 || status == 200 || status == 503) << status;
  }
  EXPECT_TRUE(run_until([&] { return relay->held() == 0; }));
  EXPECT_EQ(outcome("m-last"), "delivered");
  std::uint64_t used = 0;
  for (const auto& e : std::filesystem::directory_iterator(state_folder))
    used += (e.file_size() + 511) / 512 * 512;
  EXPECT_LE(used, 1'000'000u);
}

TEST_F(Platform, TheJournalStaysWithinItsDiskWhateverIsHandedIn) {
  settings = settings_json();
  settings.replace(settings.find("\"OpenCap\":50"), 12, "\"OpenCap\":500");
  serve();
  endpoint_replies["s-1"] = [&](const Call& call) {
    return calls.size() % 3 == 0 ? Server::Reply{ok_answer(call)}
                                 : Server::Reply{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"};
  };
  const auto used = [&] {
    std::uint64_t bytes = 0;
    for (const auto& e : std::filesystem::directory_iterator(state_folder))
      bytes += (e.file_size() + 511) / 512 * 512;
    return bytes;
  };
  Client c(*this);
  const std::string large(60'000, 'x');
  int full = 0;
  for (int i = 0; i < 150; i++) {
    c.submit("m-" + std::to_string(i), "status", 7, "6", large);
    const int status = c.status();
    full += status == 503;
    ASSERT_TRUE(status == 503 || status == 202 || status == 200) << status;
    ASSERT_LE(used(), 3'000'000u);
  }
  EXPECT_GT(full, 0);
  // The same over several restarts with all messages held.
  for (int i = 0; i < 5; i++) {
    kill();
    start();
    ASSERT_LE(used(), 3'000'000u);
  }
  endpoint_replies.clear();
  EXPECT_TRUE(run_until([&] { return relay->held() == 0; }, 10'000'000));
  EXPECT_EQ(outcome("m-last"), "delivered");
  EXPECT_LE(used(), 3'000'000u);
}

TEST_F(Platform, ErrorsInTheConfigurationNameTheirPlace) {
  add_endpoint("s-1", 7);
  const auto error_for = [&](const std::string& from, const std::string& to) {
    std::string text = config_json();
    text.replace(text.find(from), from.size(), to);
    try {
      read_config(text, 0);
    } catch (const settings::FieldError& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_EQ(error_for("\"sockets\":128", "\"sockets\":-1"), "config.limits.sockets: must be above 0");
  EXPECT_EQ(error_for("\"disk_mb\":3", "\"disk_mb\":0.2"), "config.limits.disk_mb: must be 1 or more");
  EXPECT_EQ(error_for("\"Workers\":8", "\"Workers\":\"8\""),
            "config.settings.FamilyInfo.Workers: must be an integer");
  EXPECT_EQ(error_for("\"status\":\"ready\"", "\"status\":\"up\""),
            "config.known.endpoints[0].status: unknown word 'up'");
  EXPECT_NE(error_for("\"seed\":\"8c1f", "\"seed\":\"zzzz").find("config.seed"), std::string::npos);
  EXPECT_NE(error_for("\"settings\"", "\"set\"").find("config.settings: missing"), std::string::npos);
  EXPECT_NE(error_for("{\"name\"", "{name").find("offset"), std::string::npos);
}

}  // namespace
}  // namespace cedarplank::platform::testing
