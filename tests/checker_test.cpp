// Tests of the rule checker on recordings, a correct one and some that break each rule; of scenario files,
// the wire capture, and the capacity model of the stand-ins.
#include "rig/checker.hpp"

#include <gtest/gtest.h>

#include <set>

#include "http2/connection.hpp"
#include "rig/scenario.hpp"

namespace cedarplank::rig {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;
using record::CaptureRecord;

// A short recording: pushes by a client to relay r, and calls by the relay at endpoints.
struct Recording {
  CheckerInput input;
  std::vector<CaptureRecord> records;
  std::vector<standin::Effect> effects;
  std::uint32_t streams = 1;
  std::map<std::string, std::uint32_t> pushes, calls;

  Recording() {
    input.classes = {{"safe", {Effect::safe, 6 * kS, false}},
                     {"pay", {Effect::unsafe, 6 * kS, false}},
                     {"note", {Effect::keyed, 6 * kS, false}},
                     {"gate", {Effect::keyed, 6 * kS, true}}};
    input.domain_of = {{"e1", "d"}, {"e2", "d"}};
    input.domains["d"] = {.capacity = 10,
                          .cold_from = 0.2,
                          .fall_multiple = 2,
                          .cold = 5 * kS,
                          .overload_for = 2 * kS,
                          .outages = {}};
    input.drain_grace = 1 * kS;
  }
  CaptureRecord& add(Time at, CaptureRecord::Side side, const std::string& place, bool sent, const char* what,
                     std::uint32_t stream) {
    CaptureRecord r;
    r.at = at, r.side = side, r.place = place, r.connection = 1, r.sent = sent, r.what = what,
    r.stream = stream;
    records.push_back(r);
    return records.back();
  }
  void push(Time at, const std::string& id, const std::string& cls, const std::string& topic = "") {
    const auto s = pushes[id] = streams += 2;
    auto& h = add(at, CaptureRecord::Side::client, "r", true, "HEADERS", s);
    h.fields = {{":path", "/push/d/" + cls}, {"ttl", "6"}};
    if (!topic.empty()) h.fields["topic"] = topic;
    auto& d = add(at, CaptureRecord::Side::client, "r", true, "DATA", s);
    d.end = true, d.message = id;
  }
  void answer(Time at, const std::string& id, const char* status) {
    add(at, CaptureRecord::Side::client, "r", false, "HEADERS", pushes[id]).fields = {{":status", status}};
  }
  void call(Time at, const std::string& id, const std::string& endpoint) {
    const auto s = calls[id + endpoint] = streams += 2;
    add(at, CaptureRecord::Side::endpoint, endpoint, false, "HEADERS", s).fields = {{"via", "2 r"}};
    auto& d = add(at, CaptureRecord::Side::endpoint, endpoint, false, "DATA", s);
    d.end = true, d.message = id;
  }
  void reply(Time at, const std::string& id, const std::string& endpoint, const char* status,
             const char* wait = nullptr) {
    auto& h = add(at, CaptureRecord::Side::endpoint, endpoint, true, "HEADERS", calls[id + endpoint]);
    h.fields = {{":status", status}};
    if (wait != nullptr) h.fields["retry-after"] = wait;
    if (status[0] == '2') effects.push_back({at, endpoint, "d", id, ""});
  }
  void served(Time at, const std::string& id, const std::string& cls, const std::string& topic = "") {
    push(at, id, cls, topic), call(at + 10 * kMs, id, "e1"), reply(at + 60 * kMs, id, "e1", "201"),
        answer(at + 70 * kMs, id, "201");
  }
  // The numbers of the broken rules, as digits.
  std::string broken() const {
    std::string rules;
    const auto result = check_rules(input, records, effects);
    for (int i = 0; i < 6; i++)
      if (!result.rules[i].violations.empty()) rules += static_cast<char>('1' + i);
    return rules;
  }
};

TEST(Checker, ACleanDay) {
  Recording d;
  for (int i = 0; i < 20; i++)
    d.served(i * 200 * kMs, "m-" + std::to_string(i) + ".0", i % 2 ? "pay" : "safe");
  EXPECT_EQ(d.broken(), "");
  EXPECT_EQ(check_rules(d.input, d.records, d.effects).rules[0].checked, 20u);
}
TEST(Checker, Rule1NoAnswer) {
  Recording d;
  d.push(0, "m-1.0", "safe");
  EXPECT_EQ(d.broken(), "1");
  d.input.ended_runs.push_back(
      {"r", 0, 3 * kS});  // messages that a killed relay held are the client's concern
  EXPECT_EQ(d.broken(), "");
  Recording dead;  // pushed to a relay that was dead already, before its client noticed
  dead.push(kS, "m-1.0", "safe");
  dead.input.ended_runs.push_back({"r", 0, kS - 20 * kMs});
  EXPECT_EQ(dead.broken(), "");
}
// A GOAWAY also proves that calls sent before the relay read it did not run.
TEST(Checker, AGoawayProvesLaterStreamsUnrun) {
  for (const bool goaway : {false, true}) {
    Recording d;
    d.push(0, "m-1.0", "pay");
    if (goaway) d.add(5 * kMs, CaptureRecord::Side::endpoint, "e1", true, "GOAWAY", 0).last = 1;
    d.call(10 * kMs, "m-1.0", "e1"), d.call(kS, "m-1.0", "e2");
    d.reply(kS + 50 * kMs, "m-1.0", "e2", "201"), d.answer(kS + 60 * kMs, "m-1.0", "201");
    EXPECT_EQ(d.broken(), goaway ? "" : "2");
  }
}
TEST(Checker, Rule1LateTwiceOrAfterTheEnd) {
  Recording late;
  late.push(0, "m-1.0", "safe"), late.answer(6'300 * kMs, "m-1.0", "503");
  EXPECT_EQ(late.broken(), "1");
  late.input.stalls.push_back({"r", 5 * kS, 6'290 * kMs});  // a stopped relay is not running
  EXPECT_EQ(late.broken(), "");
  // A message that arrives while the relay is stopped is accepted, and its time starts, when the relay
  // continues.
  Recording stopped;
  stopped.push(0, "m-1.0", "safe"), stopped.answer(7 * kS, "m-1.0", "503");
  EXPECT_EQ(stopped.broken(), "1");
  stopped.input.stalls.push_back({"r", -100 * kMs, kS});
  EXPECT_EQ(stopped.broken(), "");
  Recording twice;
  twice.served(0, "m-1.0", "safe"), twice.answer(kS, "m-1.0", "503");
  EXPECT_EQ(twice.broken(), "1");
  Recording after;
  after.served(0, "m-1.0", "safe"), after.call(kS, "m-1.0", "e2");
  EXPECT_EQ(after.broken(), "1");
  Recording withdrawn;
  withdrawn.push(0, "m-1.0", "safe");
  withdrawn.add(100 * kMs, CaptureRecord::Side::client, "r", true, "RST_STREAM", withdrawn.pushes["m-1.0"]);
  EXPECT_EQ(withdrawn.broken(), "");
  withdrawn.call(kS, "m-1.0", "e1");
  EXPECT_EQ(withdrawn.broken(), "1");
}
TEST(Checker, Rule2EffectsAndProof) {
  Recording twice;
  twice.served(0, "m-1.0", "pay"), twice.served(kS, "m-1.1", "pay");
  EXPECT_EQ(twice.broken(), "2");
  Recording refused;  // refused though it took effect
  refused.push(0, "m-1.0", "pay"), refused.call(10 * kMs, "m-1.0", "e1"),
      refused.reply(20 * kMs, "m-1.0", "e1", "201");
  refused.answer(30 * kMs, "m-1.0", "503");
  EXPECT_EQ(refused.broken(), "2");
  Recording again;  // sent again after a 500, which proves nothing
  again.push(0, "m-1.0", "pay"), again.call(10 * kMs, "m-1.0", "e1"),
      again.reply(20 * kMs, "m-1.0", "e1", "500");
  again.call(30 * kMs, "m-1.0", "e2"), again.reply(40 * kMs, "m-1.0", "e2", "201"),
      again.answer(50 * kMs, "m-1.0", "201");
  EXPECT_EQ(again.broken(), "2");
  Recording proved;  // after a 429 it may be sent again
  proved.push(0, "m-1.0", "pay"), proved.call(10 * kMs, "m-1.0", "e1"),
      proved.reply(20 * kMs, "m-1.0", "e1", "429");
  proved.call(30 * kMs, "m-1.0", "e2"), proved.reply(40 * kMs, "m-1.0", "e2", "201"),
      proved.answer(50 * kMs, "m-1.0", "201");
  EXPECT_EQ(proved.broken(), "");
  Recording keyed;
  keyed.push(0, "m-1.0", "note"), keyed.answer(kS, "m-1.0", "201");
  keyed.effects = {{1, "e1", "d", "m-1.0", "k"}, {2, "e2", "d", "m-1.0", "k"}};
  EXPECT_EQ(keyed.broken(), "2");
}
TEST(Checker, Rule3Drains) {
  Recording d;
  d.input.drain_notices = {{"e1", 1 * kS}};
  d.served(2 * kS, "m-1.0", "safe");
  EXPECT_EQ(d.broken(), "");  // within reread and grace
  d.served(3 * kS, "m-2.0", "safe");
  EXPECT_EQ(d.broken(), "3");
}
TEST(Checker, Rule4PushOver) {
  const auto broken_rules = [](bool knew) {
    Recording d;
    d.input.domains["d"].outages = {{kS, 3 * kS}};
    if (knew) {
      d.push(2 * kS, "m-0.0", "safe"), d.call(2 * kS, "m-0.0", "e1");
      d.add(2'500 * kMs, CaptureRecord::Side::endpoint, "e1", false, "RST_STREAM", d.calls["m-0.0e1"]),
          d.answer(2'500 * kMs, "m-0.0", "503");
    }
    for (int i = 1; i <= 60; i++) d.served(3 * kS + i * 10 * kMs, "m-" + std::to_string(i) + ".0", "safe");
    return d.broken();
  };
  EXPECT_EQ(broken_rules(true), "4");
  EXPECT_EQ(broken_rules(false), "");  // relays that could not know of the outage
}
TEST(Checker, Rule5Order) {
  Recording fine;
  fine.served(0, "m-1.0", "gate", "t"), fine.served(100 * kMs, "m-2.0", "gate", "t");
  EXPECT_EQ(fine.broken(), "");
  Recording overlap;
  overlap.served(0, "m-1.0", "gate", "t"), overlap.served(20 * kMs, "m-2.0", "gate", "t");
  EXPECT_EQ(overlap.broken(), "5");
  Recording doubt;  // given up at 100 ms: the order key is blocked for settle_after_doubt
  doubt.input.settle_after_doubt = kS;
  doubt.push(0, "m-1.0", "gate", "t"), doubt.call(10 * kMs, "m-1.0", "e1");
  doubt.add(100 * kMs, CaptureRecord::Side::endpoint, "e1", false, "RST_STREAM", doubt.calls["m-1.0e1"]),
      doubt.answer(100 * kMs, "m-1.0", "504");
  doubt.served(400 * kMs, "m-2.0", "gate", "t");
  EXPECT_EQ(doubt.broken(), "5");
}
TEST(Checker, Rule6Waits) {
  const auto broken_rules = [](Time next) {
    Recording d;
    d.push(0, "m-1.0", "safe"), d.call(10 * kMs, "m-1.0", "e1"), d.reply(20 * kMs, "m-1.0", "e1", "429", "2"),
        d.answer(30 * kMs, "m-1.0", "503");
    d.push(next, "m-2.0", "safe"), d.call(next, "m-2.0", "e2"), d.reply(next + kMs, "m-2.0", "e2", "201"),
        d.answer(next + 2 * kMs, "m-2.0", "201");
    return d.broken();
  };
  EXPECT_EQ(broken_rules(kS), "6");  // at another endpoint of the same destination
  EXPECT_EQ(broken_rules(2'030 * kMs), "");
}
TEST(Checker, RecordsGoThroughJson) {
  Recording d;
  d.served(0, "m-1.0", "pay");
  for (const auto& r : d.records) {
    const auto back = record::from_json(record::to_json(r));
    EXPECT_EQ(record::to_json(back), record::to_json(r));
  }
  EXPECT_THROW(record::from_json("{\"at\":"), std::runtime_error);
  EXPECT_THROW(record::from_json("{}"), std::runtime_error);
}

TEST(Scenario, TheExampleIsFineAndWrongOnesNameTheirLine) {
  const auto s = load_scenario(EXAMPLES "/bad-day.yaml");
  std::set<int> kinds;
  for (const auto& t : s.troubles) kinds.insert(static_cast<int>(t.kind));
  EXPECT_EQ(kinds.size(), 10u);  // the kinds of trouble that the example contains
  EXPECT_LT(s.lasts, 90 * kS);
  EXPECT_THROW(load_scenario(EXAMPLES "/quickstart/relay.yaml"), config::ConfigError);
}

// The capture decodes frames from pieces of any size.
TEST(Tap, ReadsFramesInPieces) {
  http2::Connection client(http2::Role::client), server(http2::Role::server);
  std::vector<http2::Event> events;
  const auto id = client.request(
      {{":method", "POST"}, {":scheme", "http"}, {":authority", "a"}, {":path", "/push/d/pay"}},
      "id=m-7.0;xxxx");
  const std::string up = client.take_output();
  server.receive(1, up, events);
  server.respond(id, {{":status", "429"}, {"retry-after", "2"}}, "");
  const std::string down = server.take_output();
  std::vector<CaptureRecord> seen;
  record::Http2WireCapture capture(CaptureRecord::Side::client, "r", 1, true,
                                   [&](CaptureRecord&& r) { seen.push_back(std::move(r)); });
  for (const char c : up) capture.process_bytes(1, true, {&c, 1});
  for (const char c : down) capture.process_bytes(2, false, {&c, 1});
  ASSERT_EQ(seen.size(), 3u);
  EXPECT_EQ(seen[0].fields.at(":path"), "/push/d/pay");
  EXPECT_EQ(seen[1].message, "m-7.0");
  EXPECT_EQ(seen[2].fields.at("retry-after"), "2");
}

}  // namespace
}  // namespace cedarplank::rig

namespace cedarplank::standin {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;

TEST(Place, LimitsCountRefusedCallsWhereSet) {
  for (const bool count : {false, true}) {
    CapacitySettings s;
    s.servers = 100, s.service_cv = 0, s.limit_per_s = 10, s.limit_span = kS, s.refused_count = count;
    CapacityModel p(s, 1);
    int served = 0;
    for (Time t = 0; t < 10 * kS; t += 50 * kMs)
      served += p.arrive(t).result == emulator::ArrivalResult::accepted;  // 20 per second
    if (count)
      EXPECT_LE(served, 12);  // refused calls keep the limit used up
    else
      EXPECT_EQ(served, 100);
  }
}
TEST(Place, QueuesThenTurnsAway) {
  CapacitySettings s;
  s.servers = 2, s.service = 100 * kMs, s.service_cv = 0, s.queue = 3;
  CapacityModel p(s, 1);
  std::vector<Time> done;
  for (int i = 0; i < 5; i++) done.push_back(p.arrive(0).done_at);
  EXPECT_EQ(done, (std::vector<Time>{100 * kMs, 100 * kMs, 200 * kMs, 200 * kMs, 300 * kMs}));
  EXPECT_EQ(p.arrive(0).result, emulator::ArrivalResult::queue_full);
}
TEST(Place, BackColdItFallsWhenPushed) {
  CapacitySettings s;
  // 100 calls per second when warm, 20 when cold.
  s.servers = 10, s.service = 100 * kMs, s.cold = 5 * kS, s.fall_multiple = 2;
  CapacityModel gentle(s, 1), pushed(s, 1), warm(s, 1);
  for (CapacityModel* p : {&gentle, &pushed}) p->outage_begins(0), p->outage_ends(kS);
  for (Time t = kS; t < 5 * kS; t += 50 * kMs) gentle.arrive(t);
  for (Time t = kS; t < 5 * kS; t += 5 * kMs) pushed.arrive(t), warm.arrive(t);
  EXPECT_EQ(gentle.overloads(), 0);
  EXPECT_GE(pushed.overloads(), 1);
  EXPECT_EQ(warm.overloads(), 0);
}

}  // namespace
}  // namespace cedarplank::standin
