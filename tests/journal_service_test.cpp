// A relay with a journal on loopback: the answers that its clients get before and after a restart.
#include <gtest/gtest.h>

#include "journal/coordinator.hpp"
#include "node/clock.hpp"
#include "service.hpp"
#include "store/log.hpp"

namespace cedarplank::testing {
namespace {

class JournalService : public ::testing::Test {
 public:
  JournalService() {
    config::JournalSettings j;
    j.folder = s.folder + "/journal";
    j.segment = 1 << 20, j.disk_max = 16 << 20;
    s.settings.journal = j;
  }
  void start() {
    s.start();
    client = std::make_unique<Client>(s.loop, s.node->address());
  }
  // As after a crash: nothing is answered and nobody is notified.
  void restart() {
    client.reset(), s.node.reset();
    start();
  }
  http2::StreamId push(const std::string& path, const std::string& body, const std::string& key,
                       bool async = false, const char* method = "POST") {
    http2::Headers more;
    if (std::string(method) == "POST") more.push_back({"ttl", "10"});
    if (!key.empty()) more.push_back({"idempotency-key", key});
    if (async) more.push_back({"prefer", "wait=5, Respond-Async"});
    return client->push(path, body, more, method);
  }
  std::string answer(http2::StreamId stream) {
    run_until(s.loop, [&] { return client->answers.count(stream) > 0; });
    run_for(s.loop, 5 * kMs);
    return client->status(stream);
  }
  std::string get(const std::string& path, const char* method = "GET") {
    const auto stream = push(path, "", "", false, method);
    const auto status = answer(stream);
    return status + " " + client->bodies[stream];
  }
  bool logged(const std::string& text) const {
    return std::any_of(s.log.begin(), s.log.end(),
                       [&](const auto& l) { return l.find(text) != std::string::npos; });
  }
  Service s;
  std::unique_ptr<Client> client;
};

TEST_F(JournalService, AMessageIsAskedForByItsPlaceBeforeAndAfterAStart) {
  auto& d = s.add("bank", 1);
  start();
  d.endpoints()[0]->begin({.fault = standin::Fault::pause});
  const auto accepted = push("/push/bank/pay", "id=p1;class=pay;", "", true);
  EXPECT_EQ(answer(accepted), "202");
  const auto location = client->field(accepted, "location");
  EXPECT_EQ(get(location).substr(0, 4), "202 ");
  EXPECT_NE(get(location).find("\"answer\":null"), std::string::npos);
  d.endpoints()[0]->end(standin::Fault::pause);
  run_until(s.loop, [&] { return s.effects_of("p1") == 1; });
  run_until(s.loop, [&] { return get(location).find("\"answer\":\"served\"") != std::string::npos; });
  restart();
  EXPECT_EQ(get(location).substr(0, 4), "200 ");
  EXPECT_NE(get(location).find("\"answer\":\"served\""), std::string::npos);
  EXPECT_EQ(get("/message/relay-0-999").substr(0, 4), "404 ");
  EXPECT_EQ(get("/message/other-1").substr(0, 4), "404 ");
  EXPECT_EQ(get(location, "PUT").substr(0, 4), "405 ");
  EXPECT_EQ(get(location, "DELETE").substr(0, 4), "204 ");
  EXPECT_EQ(get(location).substr(0, 4), "404 ");
  EXPECT_EQ(s.effects_of("p1"), 1u);
}

TEST_F(JournalService, ARepeatUnderTheSameKeyWaitsWithTheFirstOrGetsItsAnswer) {
  auto& d = s.add("bank", 1);
  start();
  d.endpoints()[0]->begin({.fault = standin::Fault::pause});
  const auto first = push("/push/bank/pay", "id=k1;class=pay;", "k1");
  run_for(s.loop, 50 * kMs);
  EXPECT_EQ(answer(push("/push/bank/pay", "id=k1;class=pay;", "k1")), "409");
  EXPECT_EQ(answer(push("/push/bank/pay", "id=other;class=pay;", "k1")), "422");
  // The client disconnects and connects again; the message is still being processed.
  client = std::make_unique<Client>(s.loop, s.node->address());
  run_for(s.loop, 20 * kMs);
  const auto again = push("/push/bank/pay", "id=k1;class=pay;", "k1");
  run_for(s.loop, 20 * kMs);
  EXPECT_EQ(client->answers.count(again), 0u);
  d.endpoints()[0]->end(standin::Fault::pause);
  EXPECT_EQ(answer(again), "201");
  EXPECT_EQ(answer(push("/push/bank/pay", "id=k1;class=pay;", "k1")), "201");
  restart();
  EXPECT_EQ(answer(push("/push/bank/pay", "id=k1;class=pay;", "k1")), "201");
  EXPECT_EQ(s.effects_of("k1"), 1u);
  static_cast<void>(first);
}

TEST_F(JournalService, WhatWasHeldIsDeliveredAndWhatIsInDoubtFails) {
  auto& d = s.add("bank", 1);
  start();
  // Both messages take effect, and no answer comes back for either.
  d.endpoints()[0]->begin({.fault = standin::Fault::answer_lost, .share = 1});
  push("/push/bank/pay", "id=out;class=pay;", "out");
  run_until(s.loop, [&] { return s.effects_of("out") == 1; });
  push("/push/bank/status", "id=safe;class=status;", "safe");
  run_until(s.loop, [&] { return s.effects_of("safe") >= 1; });
  d.endpoints()[0]->end(standin::Fault::answer_lost);
  restart();
  EXPECT_TRUE(logged("2 messages held"));
  const auto out = push("/push/bank/pay", "id=out;class=pay;", "out");
  const auto safe = push("/push/bank/status", "id=safe;class=status;", "safe");
  EXPECT_TRUE(answer(out) == "502" || answer(out) == "504") << answer(out);
  EXPECT_EQ(answer(safe), "201");
  EXPECT_EQ(s.effects_of("out"), 1u);
}

// Guards against one client's field that keeps the relay from starting, with all that other clients have
// handed in.
TEST_F(JournalService, AnyOctetsOfAClientsFieldsAreReadAtTheNextStart) {
  auto& d = s.add("bank", 1);
  start();
  d.endpoints()[0]->begin({.fault = standin::Fault::pause});
  const std::string octets = "text/\xff\xfe\x9c";
  int n = 0;
  for (const char* field : {"content-type", "content-encoding", "urgency", "idempotency-key"}) {
    const auto id = "id=o" + std::to_string(++n) + ";class=status;";
    const auto stream =
        client->push("/push/bank/status", id, {{"ttl", "10"}, {"prefer", "respond-async"}, {field, octets}});
    EXPECT_EQ(answer(stream), "202") << field;
  }
  EXPECT_EQ(answer(push("/push/bank/status", "id=other;class=status;", "", true)), "202");
  d.endpoints()[0]->end(standin::Fault::pause);
  restart();
  EXPECT_TRUE(logged("5 messages held"));
  run_until(s.loop, [&] { return s.effects_of("other") >= 1 && s.effects_of("o4") >= 1; });
  EXPECT_GE(s.effects_of("other"), 1u);
  for (int i = 1; i <= n; i++) EXPECT_GE(s.effects_of("o" + std::to_string(i)), 1u) << i;
}

TEST_F(JournalService, AToldWaitHoldsAcrossAStart) {
  auto& d = s.add("bank", 2);
  start();
  for (auto& e : d.endpoints()) e->begin({.fault = standin::Fault::shut, .wait = 2 * kS});
  push("/push/bank/status", "id=w;class=status;", "w");
  run_until(s.loop, [&] { return s.calls() >= 1; });
  run_for(s.loop, 50 * kMs);
  const Time told = s.loop.refresh_now();
  for (auto& e : d.endpoints()) e->end(standin::Fault::shut);
  const auto before = s.calls();
  restart();
  run_for(s.loop, 1'500 * kMs);
  EXPECT_EQ(s.calls(), before);
  run_until(s.loop, [&] { return s.effects_of("w") == 1; });
  EXPECT_GT(s.loop.refresh_now() - told, 1'700 * kMs);
}

// When the journal's limit is reached the relay rejects new messages, delivers those it holds, and then
// accepts again.
TEST_F(JournalService, AFullJournalTurnsAwayAndDeliversWhatItHolds) {
  s.settings.journal->segment = 64 << 10, s.settings.journal->disk_max = 512 << 10;
  auto& d = s.add("bank", 2);
  start();
  for (auto& e : d.endpoints()) e->begin({.fault = standin::Fault::pause});
  std::vector<http2::StreamId> streams;
  for (int i = 0; i < 400; i++)
    streams.push_back(
        push("/push/bank/status", "id=b" + std::to_string(i) + ";" + std::string(1'500, 'x'), ""));
  run_until(s.loop, [&] { return s.node->core().counts().rejected + s.node->core().held() == 400; });
  EXPECT_GT(s.node->core().counts().rejected, 0u);
  EXPECT_GT(s.node->core().held(), 50u);
  for (auto& e : d.endpoints()) e->end(standin::Fault::pause);
  run_until(s.loop, [&] { return client->answers.size() == streams.size(); });
  std::size_t served = 0;
  for (const auto id : streams) served += client->status(id) == "201";
  EXPECT_EQ(served + s.node->core().counts().rejected, 400u);
  run_until(s.loop, [&] { return s.node->journal()->rejection_reason() == nullptr; });
  EXPECT_EQ(answer(push("/push/bank/status", "id=after;", "")), "201");
}

// 20,000 messages are held at a start, more than may be open at once. All must get their answers, and the
// partner, which is cold, must not be overloaded.
TEST_F(JournalService, ALargeBacklogIsTakenUpWithoutPushingThePartnerOver) {
  auto slow_start = Service::quick();
  slow_start.servers = 8, slow_start.service = 2 * kMs, slow_start.queue = 200, slow_start.cold = 1 * kS,
  slow_start.overload_for = 2 * kS;
  s.settings.dispatcher.open_max = 25'000;
  auto& d = s.add("bank", 2, slow_start);
  {
    auto files = store::open_folder(s.folder + "/journal");
    store::LogSettings settings;
    settings.segment_size = 1 << 20;
    store::Log log(*files, settings, 5);
    log.open([](store::Sequence, std::string_view) {});
    const auto clock = node::clock_now();
    const auto write = [&](const journal::Record& r) {
      ASSERT_EQ(log.append(journal::encode(r)), store::Log::AppendResult::appended);
    };
    write({clock.monotonic, journal::record::Base{clock.boot_id, clock.monotonic, clock.wall, 1, 0, 1}});
    for (MessageId id = 1; id <= 20'000; id++) {
      auto m = std::make_shared<relay::NewMessage>();
      m->body = "id=h" + std::to_string(id) + ";class=status;";
      journal::record::Taken t;
      t.id = id, t.destination = "bank", t.message_class = "status", t.message = m;
      t.deadline = clock.monotonic + 30 * kS;
      write({clock.monotonic, t});
    }
    ASSERT_FALSE(log.commit());
  }
  start();
  EXPECT_TRUE(logged("20000 messages held"));
  run_until(s.loop, [&] { return s.node->core().held() == 0; });
  const auto& counts = s.node->core().counts();
  EXPECT_EQ(counts.served + counts.refused + counts.failed, 20'000u);
  EXPECT_GT(counts.served, 15'000u);
  EXPECT_EQ(d.capacity_of("bank-1").overloads(), 0);
}

// A relay that is restarted again and again, each time before it has written a window of records: its log
// must not grow with each run.
TEST_F(JournalService, ManyStartsDoNotFillTheJournal) {
  s.settings.journal->segment = 128 << 10, s.settings.journal->disk_max = 1 << 20;
  s.add("bank", 2);
  std::size_t most = 0;
  for (int run = 0; run < 12; run++) {
    if (run == 0)
      start();
    else
      restart();
    std::vector<http2::StreamId> streams;
    for (int i = 0; i < 60; i++)
      streams.push_back(push("/push/bank/status", "id=r;" + std::string(1'500, 'x'), ""));
    run_until(s.loop, [&] { return client->answers.size() == streams.size(); });
    for (const auto id : streams) EXPECT_EQ(client->status(id), "201") << "run " << run;
    run_for(s.loop, 250 * kMs);
    most = std::max(most, s.node->journal()->writer().segments());
  }
  EXPECT_LE(most, 4u);
}

TEST_F(JournalService, AClassThatIsGoneEndsItsMessagesAndAnotherKeepsItsName) {
  s.add("bank", 1);
  start();
  s.endpoint("bank-1").begin({.fault = standin::Fault::answer_lost, .share = 1});
  push("/push/bank/pay", "id=p;class=pay;", "p");
  push("/push/bank/notice", "id=n;class=notice;", "n");
  run_until(s.loop, [&] { return s.effects.size() >= 2; });
  auto& names = s.settings.names.classes;
  names[1] = "renamed";  // pay
  std::swap(names[2], names[0]);
  std::swap(s.settings.dispatcher.classes[2], s.settings.dispatcher.classes[0]);
  s.endpoint("bank-1").end(standin::Fault::answer_lost);
  restart();
  EXPECT_TRUE(logged("1 messages ended: their class is gone"));
  EXPECT_EQ(answer(push("/push/bank/notice", "id=n;class=notice;", "n")), "201");
  EXPECT_EQ(s.effects_of("p"), 1u);  // the attempt sent before the restart
}

}  // namespace
}  // namespace cedarplank::testing
