// Pairs of events that meet on the relay's connections, each forced into the order that does harm: by a peer
// that acts at a given byte, a place in a queue that is taken, or the transport driven by hand. The table is
// in docs/design/platform.md.
#include "platform/endpoints.hpp"
#include "platform_world.hpp"

namespace cedarplank::platform::testing {
namespace {

class Crossings : public ::testing::Test, public World {};

// The transport alone: what the core would order and call off is done by hand, so that nothing comes between.
class EndpointsCrossings : public ::testing::Test, public World {
 protected:
  void open(bool second_copies = true) {
    transport = std::make_unique<Endpoints>(
        loop, Endpoints::Bounds{8, 3'000'000, 5'000'000, second_copies},
        Endpoints::Host{.ended = [this](relay::CallId c, relay::Ending e) { ends[c] = e; }, .log = {}});
    Catalogue list;
    list.whole = true;
    for (const auto& [name, e] : endpoints) {
      platform::Listed l;
      l.endpoint.id = name, l.endpoint.destination = e.group, l.address = e.server->address();
      list.endpoints.push_back(l);
    }
    transport->learn(list);
  }
  void order(relay::CallId id, const std::string& name, Time timeout, std::uint64_t bundle = 1,
             Time time_left = 6'000'000) {
    auto m = std::make_shared<relay::NewMessage>();
    m->owner = name, m->body = "hello";
    relay::CallOrder o;
    o.id = id, o.endpoint = "s-1", o.message = m, o.timeout = timeout, o.bundle = bundle;
    o.time_left = time_left;
    transport->send(o);
  }
  void keep_one_connection() {
    order(1000, "first", 1'000'000, 1000);
    transport->flush();
    ASSERT_TRUE(until([&] { return ends.count(1000) > 0; }));
    ASSERT_EQ(transport->connections(), 1u);
  }
  ~EndpointsCrossings() override {
    transport.reset();
    loop.run_once(0);
  }
  std::map<relay::CallId, relay::Ending> ends;
  std::unique_ptr<Endpoints> transport;
};

// A message is over while the connection for its call still comes up: the others go without it.
TEST_F(Crossings, AMessageOverBeforeItsConnectionIsUpStaysOutOfTheCall) {
  const std::string was = R"("ConnectTimeout":500000)";
  settings.replace(settings.find(was), was.size(), R"("ConnectTimeout":4000000)");
  add("b-1", 7, "big");
  start();
  Client a(*this), b(*this);
  until([&] { return false; }, 20'000);  // connected
  endpoints.at("b-1").server->shut_out();
  a.hand_in("m-short", "order", 7, "0.4"), b.hand_in("m-long", "order", 7, "6.0");
  ASSERT_EQ(a.status(), 202);
  ASSERT_EQ(b.status(), 202);
  ASSERT_TRUE(until([&] { return noticed("m-short"); }));
  EXPECT_EQ(calls.size(), 0u);
  endpoints.at("b-1").server->let_in();
  ASSERT_TRUE(until([&] { return called("m-long") == 1; }));
  EXPECT_EQ(called("m-short"), 0u);
  // And it is told how long it is waited for from then on, not from when it was ordered.
  EXPECT_LT(std::stod(calls[0].budget), 5.9);
  EXPECT_TRUE(until([&] { return relay->held() == 0; }));
}

// Both go out in one call; one is called off before the last byte has left: the other goes alone.
TEST_F(EndpointsCrossings, AMessageCalledOffBeforeTheLastByteIsNotInTheCall) {
  add("s-1", 7);
  open();
  keep_one_connection();
  order(1, "m-1", 1'000'000), order(2, "m-2", 1'000'000);
  transport->flush();  // written but for its last byte, in this very call
  EXPECT_EQ(transport->cancel(1), relay::Transport::Recalled::waiting);
  ASSERT_TRUE(until([&] { return ends.count(2) > 0; }));
  EXPECT_EQ(ends.at(2).outcome, Outcome::served);
  EXPECT_EQ(called("m-1"), 0u);
  EXPECT_EQ(called("m-2"), 1u);
  EXPECT_EQ(ends.count(1), 0u);
}

TEST_F(EndpointsCrossings, AMessageThatIsOverTakesBackItsPartOfACallThatIsNotWhole) {
  add("s-1", 7);
  open();
  keep_one_connection();
  order(1, "m-1", 1'000'000), order(2, "m-2", 1'000'000);
  transport->flush();
  EXPECT_TRUE(transport->take_back(2));
  ASSERT_TRUE(until([&] { return ends.count(1) > 0; }));
  EXPECT_EQ(called("m-2"), 0u);
  EXPECT_FALSE(transport->take_back(2));
}

// The message waited for longest is named first: when it is over, so are the others.
TEST_F(EndpointsCrossings, TheMessageWaitedForLongestStandsFirst) {
  add("s-1", 7);
  open();
  order(1, "m-short", 500'000), order(2, "m-long", 2'000'000), order(3, "m-middle", 1'000'000);
  transport->flush();
  ASSERT_TRUE(until([&] { return ends.size() == 3; }));
  EXPECT_EQ(ids_of(calls.at(0)), (std::vector<std::string>{"m-long", "m-middle", "m-short"}));
  EXPECT_LE(std::stod(calls[0].budget), 2.0);
}

// One of a call is given up, the others are waited for: while their connection is open, it is out there too.
TEST_F(EndpointsCrossings, WhereNoSecondCopyMayBeOutAMessageStaysWithItsCall) {
  for (const bool second_copies : {false, true}) {
    add("s-1", 7);
    int connection = 0;
    answers["s-1"] = [&](const Call& call) {
      connection = call.connection;
      return Server::Reply{};
    };
    open(second_copies);
    ends.clear(), calls.clear();
    order(1, "m-1", 1'000'000), order(2, "m-2", 2'000'000);
    order(3, "m-3", 0, 1, 0);  // its own time is up: it goes nowhere any more
    transport->flush();
    ASSERT_TRUE(until([&] { return calls.size() == 1; }));
    EXPECT_EQ(transport->cancel(1),
              second_copies ? relay::Transport::Recalled::sent : relay::Transport::Recalled::kept);
    EXPECT_EQ(transport->cancel(3), relay::Transport::Recalled::sent);
    endpoints.at("s-1").server->write(connection, ok(calls[0]));
    ASSERT_TRUE(until([&] { return ends.count(2) > 0; }));
    EXPECT_EQ(ends.count(1), second_copies ? 0u : 1u);
    EXPECT_EQ(ends.count(3), 0u);
    transport.reset();
    loop.run_once(0);
    endpoints.clear(), answers.clear();
  }
}

}  // namespace
}  // namespace cedarplank::platform::testing
