// Tests of the core, the partner registry, final answers and HTTP semantics, without sockets.
#include "relay/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/semantics.hpp"
#include "relay/partner_registry.hpp"
#include "relay/request_validator.hpp"

namespace cedarplank::relay {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;

// Returns the actions that the test has set, and records the events of each round.
struct ScriptedDecider final : Decider {
  std::vector<std::vector<Event>> rounds;
  std::vector<Action> next;
  void handle(Time, const std::vector<Event>& events, std::vector<Action>& actions) override {
    rounds.push_back(events);
    actions.swap(next);
  }
  template <class E>
  std::vector<E> all() const {
    std::vector<E> found;
    for (const auto& r : rounds)
      for (const auto& e : r)
        if (const auto* x = std::get_if<E>(&e)) found.push_back(*x);
    return found;
  }
};

// Implements all interfaces of the core and records what reaches them.
struct CoreFixture final : Transport, AnswerSink, ListSource, PeerChannel, Log {
  std::vector<OutgoingCall> sent;
  std::vector<CallId> cancelled, waiting;
  std::map<MessageId, std::string> answers;
  CancelResult how = CancelResult::sent;
  Time come_back = 0;
  void send(const OutgoingCall& c) override { sent.push_back(c); }
  CancelResult cancel(CallId c) override { return cancelled.push_back(c), how; }
  bool cancel_unsent(CallId c) override {
    if (std::find(waiting.begin(), waiting.end(), c) == waiting.end()) return false;
    std::erase(waiting, c);
    return true;
  }
  std::vector<CallId> cancel_all_unsent(const EndpointId&) override { return std::exchange(waiting, {}); }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  void served(MessageId id, const CallResult&) override { answers[id] += "served "; }
  void refused(MessageId id, Time back, const AttemptSummary&) override {
    answers[id] += "refused ", come_back = back;
  }
  void failed(MessageId id, const AttemptSummary&) override { answers[id] += "failed "; }
  void fetch() override {}
  void subscribe(bool) override {}
  void send_note(int, const std::string&) override {}
  void line(const std::string&) override {}

  Settings settings;
  ScriptedDecider* script;
  std::unique_ptr<Core> core;
  explicit CoreFixture(int slots = 10, int bundle = 1) {
    settings.classes = {
        {}, {.effect = Effect::unsafe}, {.effect = Effect::keyed, .group = KeyGroup::zone, .key_window = kS}};
    settings.kinds = {{false, bundle}};
    settings.slots = slots, settings.open_max = 5, settings.attempts_max = 3;
    auto owned = std::make_unique<ScriptedDecider>();
    script = owned.get();
    core = std::make_unique<Core>(settings, std::move(owned), Core::Ports{*this, *this, *this, *this, *this});
    core->list_whole({{"e", 0, 0, 0, Listing::active, 1, 0}, {"f", 0, 0, 0, Listing::active, 1, 0}}, false);
    round();
  }
  Time now = kS;
  void round() { core->run_due(now += 10 * kMs); }
  Core::AcceptStatus take(MessageId id, int cls = 0, Time left = 5 * kS) {
    NewMessage m;
    m.message_class = cls, m.time_left = left;
    return core->accept(now, id, m);
  }
  void act(std::vector<Action> actions) {
    script->next = std::move(actions);
    core->peer_note_received(0, "");  // an event, so that there is a round
    round();
  }
};

// A repeat that waits for a connection must not be sent after the receiver has forgotten its key (rule 2).
TEST(Core, ARepeatDoesNotLeaveAfterItsKeysTime) {
  CoreFixture b;
  b.take(1, 2);
  b.act({action::Send{1, "e", 3 * kS}});
  const Time first = b.now;
  b.core->call_ended(b.now, b.sent[0].id, {Outcome::reset, 0, {}, "lost", {}});
  b.act({action::Send{1, "e", 3 * kS}});
  ASSERT_EQ(b.sent.size(), 2u);
  b.waiting = {b.sent[1].id};
  b.core->run_due(b.now = first + kS - 1);
  EXPECT_EQ(b.waiting.size(), 1u);
  EXPECT_EQ(b.core->next_due(), first + kS);
  b.core->run_due(b.now = first + kS);
  EXPECT_TRUE(b.waiting.empty()) << "the repeat may still be sent after its key window";
  EXPECT_EQ(b.core->slots_used(), 0u);
  // A repeat that was sent within the window stays out.
  b.take(2, 2);
  b.act({action::Send{2, "e", 3 * kS}});
  b.core->call_ended(b.now, b.sent[2].id, {Outcome::reset, 0, {}, "lost", {}});
  b.act({action::Send{2, "e", 3 * kS}});
  b.core->run_due(b.now += 2 * kS);
  EXPECT_EQ(b.core->slots_used(), 1u);
}

TEST(Core, BatchesARoundsEventsAndTellsTheTimeThatIsLeft) {
  CoreFixture b;
  b.take(1), b.take(2, 0, 60 * kS);
  EXPECT_EQ(b.core->next_due(), b.now + b.settings.tick);
  b.round();
  const auto arrivals = b.script->all<event::Arrival>();
  ASSERT_EQ(arrivals.size(), 2u);
  EXPECT_EQ(arrivals[0].time_left, 5 * kS - 10 * kMs);
  EXPECT_EQ(arrivals[1].time_left,
            b.settings.classes[0].deadline - 10 * kMs);  // TTL caps, it doesn't lengthen
}

TEST(Core, OneFinalAnswerWhateverComesLate) {
  CoreFixture b;
  b.take(1), b.round();
  b.act({action::Send{1, "e", kS}, action::Send{1, "f", kS}});
  ASSERT_EQ(b.sent.size(), 2u);
  b.core->call_ended(b.now, b.sent[0].id, {Outcome::served, 0, {}, "", ""});
  b.core->call_ended(b.now, b.sent[0].id, {Outcome::error, 0, {}, "", ""});   // twice
  b.core->call_ended(b.now, b.sent[1].id, {Outcome::served, 0, {}, "", ""});  // late
  b.act({action::Fail{1}, action::Refuse{1, 0}, action::Send{1, "e", kS}});
  EXPECT_EQ(b.answers[1], "served ");
  EXPECT_EQ(b.sent.size(), 2u);
  const auto ended = b.script->all<event::AttemptEnded>();
  ASSERT_EQ(ended.size(), 2u);
  EXPECT_TRUE(ended[0].closed && ended[1].closed);
  EXPECT_EQ(b.core->held(), 0u);
}

// Guards against sending a call after its message has ended: the client cancelled while the call waited for a
// stream, and the call was sent afterwards.
TEST(Core, WhatStillWaitsForAConnectionDoesNotLeaveAfterTheMessagesEnd) {
  CoreFixture b;
  for (MessageId id = 1; id <= 4; id++) b.take(id);
  b.round();
  b.act({action::Send{1, "e", kS}, action::Send{2, "e", kS}, action::Send{3, "e", kS},
         action::Send{4, "e", kS}, action::Send{4, "f", kS}});
  ASSERT_EQ(b.sent.size(), 5u);
  for (const auto& call : b.sent) b.waiting.push_back(call.id);
  b.core->withdraw(b.now, 1);
  EXPECT_EQ(b.waiting.size(), 4u);
  b.act({action::Refuse{2, 0}, action::Fail{3}});
  EXPECT_EQ(b.waiting.size(), 2u);
  std::erase(b.waiting, b.sent[3].id);  // this one has been sent
  b.core->call_ended(b.now, b.sent[3].id, {Outcome::served, 0, {}, "", ""});
  EXPECT_TRUE(b.waiting.empty());
  b.round();
  const auto ended = b.script->all<event::AttemptEnded>();
  ASSERT_EQ(ended.size(), 5u);
  for (const auto& e : ended)
    EXPECT_TRUE(e.closed && (e.outcome == Outcome::not_sent || e.outcome == Outcome::served));
  EXPECT_EQ(b.core->slots_used(), 0u);
}

TEST(Core, SlotsAreKeptAndBundlesShareOne) {
  CoreFixture b(2, 3);
  for (MessageId id = 1; id <= 5; id++) b.take(id);
  EXPECT_EQ(b.take(6), Core::AcceptStatus::full);
  b.round();
  b.act({action::Send{1, "e", kS}, action::Send{2, "e", kS}, action::Send{3, "e", kS},
         action::Send{4, "f", kS}, action::Send{5, "e", kS}});
  EXPECT_EQ(b.sent.size(), 4u);  // three in one call, one in another; no slot is free for the fifth
  b.round();
  const auto ended = b.script->all<event::AttemptEnded>();
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::not_sent);
  EXPECT_EQ(b.core->slots_used(), 2u);
  for (int i = 0; i < 2; i++)
    b.core->call_ended(b.now, b.sent[static_cast<std::size_t>(i)].id, {Outcome::served, 0, {}, "", ""});
  EXPECT_EQ(b.core->slots_used(), 2u);  // until all messages of a bundle have their outcomes
  b.core->call_ended(b.now, b.sent[2].id, {Outcome::served, 0, {}, "", ""});
  EXPECT_EQ(b.core->slots_used(), 1u);
}

// The clock jumps: the machine was suspended for a day, or a time lies before the last one. With the real
// module, each message still gets one final answer, and nothing is sent for it after its deadline.
TEST(Core, JumpsOfTheClockLoseAndDoubleNothing) {
  for (const Time jump : {Time{-3'600} * kS, Time{86'400} * kS}) {
    CoreFixture b;
    b.settings.open_max = 100;
    Core core(b.settings, make_dispatcher(b.settings, 1), {b, b, b, b, b});
    core.list_whole({{"e", 0, 0, 0, Listing::active, 1, 0}}, false);
    Time now = 7'200 * kS;
    core.run_due(now);
    for (MessageId id = 1; id <= 30; id++) {
      NewMessage m;
      m.message_class = static_cast<int>(id % 3), m.time_left = 5 * kS;
      ASSERT_EQ(core.accept(now, id, m), Core::AcceptStatus::accepted);
    }
    core.run_due(now += 10 * kMs);
    const auto sent = b.sent.size();
    ASSERT_GT(sent, 0u);
    core.run_due(now + jump);
    if (jump > 0) {
      EXPECT_EQ(b.sent.size(), sent);
    }
    // After the jump, or with the clock back at the right time, each message is answered by its deadline.
    for (Time t = std::max(now, now + jump); core.held() > 0 && t < now + std::max<Time>(jump, 0) + 10 * kS;
         t += 10 * kMs)
      core.run_due(t);
    EXPECT_EQ(core.held(), 0u) << jump;
    EXPECT_EQ(b.answers.size(), 30u);
    for (const auto& [id, answer] : b.answers)
      EXPECT_EQ(std::count(answer.begin(), answer.end(), ' '), 1) << id << answer;
    for (const auto& call : b.sent) EXPECT_GT(call.time_left, 0);
  }
}

TEST(Core, ATimeOutTellsWhetherAnythingHadLeft) {
  const std::vector<std::pair<Transport::CancelResult, Outcome>> cases = {
      {Transport::CancelResult::sent, Outcome::timeout},
      {Transport::CancelResult::connecting, Outcome::connect_failed},
      {Transport::CancelResult::queued, Outcome::not_sent}};
  for (const auto& [how, outcome] : cases) {
    CoreFixture b;
    b.how = how;
    b.take(1, 1), b.round();
    b.act({action::Send{1, "e", 50 * kMs}});
    EXPECT_EQ(b.core->next_due(), b.now + 50 * kMs);
    b.now += 50 * kMs;
    b.round(), b.round();
    ASSERT_EQ(b.cancelled.size(), 1u);
    EXPECT_EQ(b.script->all<event::AttemptEnded>().at(0).outcome, outcome);
    b.core->call_ended(b.now, b.sent[0].id, {Outcome::served, 0, {}, "", ""});  // too late to count
    EXPECT_EQ(b.answers.count(1), 0u);
  }
}

// A message that shares its call and may not be sent elsewhere meanwhile is waited for until its deadline and
// then given up for good. Otherwise its call would be out, and hold its slot, for ever.
TEST(Core, AMessageThatStaysWithItsCallIsGivenUpAtItsDeadline) {
  CoreFixture b;
  b.how = Transport::CancelResult::kept_in_bundle;
  b.take(1, 1), b.round();
  b.act({action::Send{1, "e", 50 * kMs}});
  b.now += 50 * kMs;
  b.round(), b.round();
  EXPECT_EQ(b.cancelled.size(), 1u);
  EXPECT_TRUE(b.script->all<event::AttemptEnded>().empty());
  EXPECT_EQ(b.core->held(), 1u);
  const Time deadline = b.core->next_due();
  EXPECT_GT(deadline, b.now + kS / 2);
  b.how = Transport::CancelResult::sent;
  b.now = deadline;
  b.round(), b.round();
  EXPECT_EQ(b.cancelled.size(), 2u);
  EXPECT_EQ(b.script->all<event::AttemptEnded>().at(0).outcome, Outcome::timeout);
}

TEST(Core, AToldWaitOrADrainCallsBackWhatHasNotLeft) {
  CoreFixture b;
  b.take(1), b.take(2), b.round();
  b.act({action::Send{1, "e", kS}, action::Send{2, "f", kS}});
  b.waiting = {b.sent[1].id};
  b.core->call_ended(b.now, b.sent[0].id, {Outcome::full, 2 * kS, {}, "", ""});
  b.round();
  auto ended = b.script->all<event::AttemptEnded>();
  ASSERT_EQ(ended.size(), 2u);
  EXPECT_EQ(ended[0].told_wait, 2 * kS);
  EXPECT_EQ(ended[1].outcome, Outcome::not_sent);
  b.act({action::Send{2, "f", kS}});
  b.waiting = {b.sent[2].id};
  b.core->list_changes({{"f", 0, 0, 0, Listing::draining, 1, 0}});
  b.round();
  EXPECT_EQ(b.script->all<event::AttemptEnded>().size(), 3u);
}

TEST(Core, WithdrawnMessagesGetNoAnswerAndNothingNew) {
  CoreFixture b;
  b.take(1), b.round();
  b.act({action::Send{1, "e", kS}});
  b.core->withdraw(b.now, 1), b.core->withdraw(b.now, 1);
  b.act({action::Send{1, "e", kS}, action::Refuse{1, 0}});
  EXPECT_EQ(b.sent.size(), 1u);
  EXPECT_TRUE(b.answers.empty());
  b.core->call_ended(b.now, b.sent[0].id, {Outcome::served, 0, {}, "", ""});
  b.round();
  EXPECT_TRUE(b.answers.empty());
  EXPECT_EQ(b.core->counts().withdrawn, 1u);
}

TEST(Core, AStopRefusesOnlyWhatCannotHaveRun) {
  CoreFixture b;
  b.take(1, 0), b.take(2, 1), b.take(3, 1), b.take(4, 2), b.take(5, 1), b.round();
  b.act({action::Send{1, "e", kS}, action::Send{2, "e", kS}, action::Send{4, "e", kS},
         action::Send{5, "e", kS}});
  b.core->call_ended(b.now, b.sent[3].id, {Outcome::full, 0, {}, "", ""});
  b.core->stop_accepting();
  EXPECT_EQ(b.take(6), Core::AcceptStatus::stopping);
  b.core->end_all(b.now);
  const std::map<MessageId, std::string> expected = {
      {1, "refused "}, {2, "failed "}, {3, "refused "}, {4, "failed "}, {5, "refused "}};
  EXPECT_EQ(b.answers, expected);
  EXPECT_EQ(b.core->held(), 0u);
}

TEST(Fate, Table) {
  ClassSettings safe, unsafe, all, zone;
  unsafe.effect = Effect::unsafe, all.effect = zone.effect = Effect::keyed, zone.group = KeyGroup::zone;
  const AttemptHistory none, ran{true, false}, out{false, true};
  EXPECT_EQ(choose_final_answer(safe, ran), FinalAnswer::refuse);
  EXPECT_EQ(choose_final_answer(all, out), FinalAnswer::refuse);
  for (const auto& c : {unsafe, zone}) {
    EXPECT_EQ(choose_final_answer(c, none), FinalAnswer::refuse);
    EXPECT_EQ(choose_final_answer(c, ran), FinalAnswer::fail);
    EXPECT_EQ(choose_final_answer(c, out), FinalAnswer::fail);
  }
}

config::PartnerEndpoint partner(const std::string& id, const std::string& destination,
                                const std::string& address) {
  config::PartnerEndpoint e;
  e.id = id, e.destination = destination, e.address = address, e.path = "/push";
  return e;
}

TEST(PartnerBook, TellsTheWholeListOnceThenChanges) {
  PartnerRegistry registry;
  auto a = partner("a", "x", "1"), b = partner("b", "y", "2");
  auto update = registry.apply_list({1, {a, b}}, 5);
  EXPECT_TRUE(update.whole);
  EXPECT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(registry.apply_list({1, {a, b}}, 6).endpoints.size(), 0u);
  a.listing = Listing::draining;
  update = registry.apply_list({2, {a, partner("c", "x", "3")}}, 7);
  EXPECT_FALSE(update.whole);
  ASSERT_EQ(update.endpoints.size(), 3u);
  EXPECT_EQ(update.endpoints[0].listing, Listing::draining);
  EXPECT_EQ(update.endpoints[1].since, 7);  // added while running
  EXPECT_EQ(update.endpoints[2].listing, Listing::gone);
  EXPECT_FALSE(registry.find_destination("y"));
  EXPECT_TRUE(registry.find_destination("x"));
}

TEST(PartnerBook, AnIdDoesNotMove) {
  PartnerRegistry registry;
  registry.apply_list({1, {partner("a", "x", "1"), partner("b", "x", "2")}}, 5);
  auto update = registry.apply_list({2, {partner("a", "y", "1"), partner("b", "x", "2")}}, 6);
  ASSERT_EQ(update.problems.size(), 1u);
  ASSERT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(update.endpoints[0].listing, Listing::gone);
  // Unlisted endpoints are remembered too; back at its old address, the endpoint is accepted again.
  EXPECT_EQ(registry.apply_list({3, {partner("a", "x", "9"), partner("b", "x", "2")}}, 7).problems.size(),
            1u);
  EXPECT_EQ(registry.apply_list({4, {partner("a", "x", "1"), partner("b", "x", "2")}}, 8).endpoints.size(),
            1u);
}

}  // namespace
}  // namespace cedarplank::relay

namespace cedarplank::gateway {
namespace {

using http2::ErrorCode;

TEST(Semantics, OnlyProofSaysThatACallNeverRan) {
  const config::KindProtocol seen{false}, unseen{true};
  const auto outcome = [](const char* status, const config::KindProtocol& kind) {
    return result_of_response({{":status", status}}, kind, 0).outcome;
  };
  for (const char* status : {"200", "201", "204"}) EXPECT_EQ(outcome(status, seen), Outcome::served);
  for (const char* status : {"400", "404", "410", "500", "502", "503", "504", "301"})
    EXPECT_EQ(outcome(status, seen), Outcome::error) << status;
  EXPECT_EQ(outcome("429", seen), Outcome::full);
  EXPECT_EQ(outcome("503", unseen), Outcome::full);
  EXPECT_EQ(outcome("500", unseen), Outcome::error);
  const auto cut = [](Interruption how, ErrorCode code) {
    return result_of_interruption(how, code, "").outcome;
  };
  EXPECT_EQ(cut(Interruption::no_connection, ErrorCode::no_error), Outcome::connect_failed);
  EXPECT_EQ(cut(Interruption::unsent, ErrorCode::no_error), Outcome::connect_failed);
  EXPECT_EQ(cut(Interruption::refused_stream, ErrorCode::refused_stream), Outcome::full);
  EXPECT_EQ(cut(Interruption::goaway, ErrorCode::no_error), Outcome::not_sent);
  EXPECT_EQ(cut(Interruption::goaway, ErrorCode::enhance_your_calm), Outcome::full);
  EXPECT_EQ(cut(Interruption::reset, ErrorCode::cancel), Outcome::reset);
}

TEST(Semantics, WaitsAreToldInSecondsAndAsDates) {
  EXPECT_EQ(parse_retry_after("3", "", 0), 3'000'000);
  EXPECT_EQ(parse_retry_after("0", "", 0), 0);
  EXPECT_EQ(parse_retry_after("soon", "", 0), 0);
  EXPECT_EQ(parse_retry_after("-5", "", 0), 0);
  EXPECT_EQ(parse_retry_after("99999999999999999999", "", 0), 24 * 3600 * 1'000'000ll);
  const std::int64_t wall = 784111777;  // Sun, 06 Nov 1994 08:49:37 GMT
  for (const char* date :
       {"Sun, 06 Nov 1994 08:49:37 GMT", "Sunday, 06-Nov-94 08:49:37 GMT", "Sun Nov  6 08:49:37 1994"}) {
    EXPECT_EQ(parse_retry_after(date, "", wall - 7), 7'000'000) << date;
    EXPECT_EQ(parse_retry_after(date, "", wall + 7), 0) << date;
  }
  // Dates count from the peer's Date field, if it sends one.
  EXPECT_EQ(parse_retry_after("Sun, 06 Nov 1994 08:49:41 GMT", "Sun, 06 Nov 1994 08:49:37 GMT", wall + 1000),
            4'000'000);
  EXPECT_EQ(format_retry_after(1), "1");
  EXPECT_EQ(format_retry_after(2'000'001), "3");
  // A wait counts whatever the status.
  EXPECT_EQ(result_of_response({{":status", "500"}, {"retry-after", "2"}}, {}, 0).told_wait, 2'000'000);
}

TEST(Semantics, Targets) {
  EXPECT_EQ(parse_target("/push/a%20b/c?x=1")->destination, "a b");
  for (const char* path :
       {"/push/a", "/push//b", "/push/a/", "/push/a/b/c", "/push/a%2/b", "/push/a%zz/b", "/pushy/a/b", "*"})
    EXPECT_FALSE(parse_target(path)) << path;
  EXPECT_FALSE(parse_ttl("1.5"));
  EXPECT_FALSE(parse_ttl(""));
  EXPECT_EQ(parse_ttl("0"), 0);
  EXPECT_GT(*parse_ttl("99999999999999999999999"), 0);
  EXPECT_TRUE(relay::valid_topic("abc-_9"));
  EXPECT_FALSE(relay::valid_topic(std::string(33, 'a')));
}

}  // namespace
}  // namespace cedarplank::gateway
