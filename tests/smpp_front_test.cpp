// Tests of the SMPP server over loopback sockets: which submits are accepted, the status of those that are
// not, and the delivery of receipts.
#include <random>

#include "esme.hpp"
#include "sms/bind_rate_limiter.hpp"
#include "sms/password.hpp"
#include "sms/receipt_queue.hpp"

namespace cedarplank::testing {
namespace {

namespace st = smpp::status;
using smpp::Command;

std::string body(const std::string& id, const char* cls = "status") {
  return "id=" + id + ";class=" + cls + ";";
}

struct SmppFront : ::testing::Test {
  Service s;
  SmppFront() {
    auto& f = s.settings.smpp.emplace();
    f.listen = "127.0.0.1:0";
    static const auto hash = sms::hash_password("secret", 1000);
    f.clients = {{"bank", hash, 0, 4}, {"cellar", hash, -1, 2}};
    f.classes = {
        {"PAY", {}, "pay"}, {"KEY", {}, "notice"}, {"ORD", {}, "gate"}, {"", 3, "pay"}, {"", {}, "status"}};
    f.routes = {{"+2557", "centre"}, {"+25571", "push"}};
    f.bind_rest = 500 * kMs, f.receipts_for = 20 * kS;
  }
  std::unique_ptr<Esme> bound(const std::string& who = "bank", Command how = Command::bind_transceiver) {
    auto e = std::make_unique<Esme>(s.loop, s.node->smpp_address(), who, "secret", how);
    run_until(s.loop, [&] { return e->session.bound(); });
    return e;
  }
  void answered(Esme& e, std::size_t n) {
    run_until(s.loop, [&] { return e.responses.size() >= n; });
  }
  void receipted(Esme& e, std::size_t n) {
    run_until(s.loop, [&] { return e.receipts.size() >= n; });
  }
};

TEST_F(SmppFront, MessagesComeInBySmppAndLeaveByEither) {
  s.add("push", 2), s.add_message_centre("centre", 2);
  s.start();
  auto e = bound();
  const auto a = e->submit(Esme::message("push", "", body("to-push"))),
             b = e->submit(Esme::message("centre", "PAY", body("to-centre", "pay")));
  const auto c = e->submit(Esme::message("+255711", "", body("by-prefix"))),
             d = e->submit(Esme::message("+255799", "", body("by-number")));
  answered(*e, 4), receipted(*e, 4);
  for (const auto n : {a, b, c, d}) EXPECT_EQ(e->receipt_state(n), sms::kDelivered);
  EXPECT_EQ(s.calls("push-1") + s.calls("push-2"), 2u);
  EXPECT_EQ(s.effects.size(), 4u);
  const auto& receipt = e->deliveries[0];
  EXPECT_EQ(receipt.text.substr(0, 3), "id:");
  EXPECT_NE(receipt.text.find("stat:DELIVRD"), std::string::npos);
  EXPECT_EQ(receipt.destination.digits, "255700");  // back to its sender
}

TEST_F(SmppFront, WhatIsWrongIsToldAndNotTaken) {
  s.add("push", 1), s.add_message_centre("centre", 1, "plain-sms");
  s.start();
  auto e = bound();
  std::map<std::uint32_t, smpp::Status> expected;
  const auto wrong = [&](smpp::Status status, smpp::Message m) {
    expected[e->submit(std::move(m))] = status;
  };
  wrong(st::invalid_destination, Esme::message("nowhere", "", "x"));
  wrong(st::invalid_destination, Esme::message("+99", "", "x"));
  wrong(st::invalid_service_type, Esme::message("push", "XYZ", "x"));
  wrong(st::invalid_tlv_value, Esme::message("push", "KEY", "keyed, without its key"));
  wrong(st::invalid_destination, Esme::message("centre", "", "no recipient there"));
  auto m = Esme::message("push", "", "x");
  m.validity = "000000000000000X", wrong(st::invalid_validity, m);
  m.validity = sms::format_relative_time(1 * kS), m.schedule = sms::format_relative_time(9 * kS),
  wrong(st::invalid_validity, m);
  m.schedule = "999999999999999Z", wrong(st::invalid_schedule, m);
  m = Esme::message("push", "", "x"), m.esm_class = 2, wrong(st::invalid_esm_class, m);
  m = Esme::message("push", "", "x"), m.esm_class = 0x40, wrong(st::invalid_esm_class, m);
  m = Esme::message("push", "", "x"), m.replace_if_present = 1, wrong(st::invalid_replace_flag, m);
  m = Esme::message("push", "", "odd"), m.data_coding = 8, wrong(st::submit_failed, m);
  m = Esme::message("push", "", ""), m.tlvs.push_back({smpp::tag::message_payload, std::string(5000, 'x')});
  wrong(st::invalid_message_length, m);
  expected[e->submit(Esme::message("push", "", "right"))] = st::ok;
  answered(*e, expected.size());
  for (const auto& [n, status] : expected) EXPECT_EQ(e->status(n), status) << n;
  run_for(s.loop, 50 * kMs);
  EXPECT_EQ(s.calls(), 1u) << "only the valid one";
}

TEST_F(SmppFront, ALongMessageIsOneWithOneReceipt) {
  s.add("push", 1);
  s.start();
  auto e = bound();
  std::string text = body("long");
  while (text.size() < 600) text += "word ";
  auto parts =
      smpp::split_message(Esme::message("push", "", ""), text, smpp::Coding::gsm7, smpp::Split::udh, 7);
  ASSERT_GE(parts.size(), 4u);
  std::swap(parts[0], parts[2]);
  parts.insert(parts.begin() + 1, parts[0]);  // and one comes twice
  std::set<std::uint32_t> all;
  for (const auto& p : parts) all.insert(e->submit(p));
  answered(*e, parts.size()), receipted(*e, 1);
  for (const auto n : all) EXPECT_EQ(e->message_ids[n], e->message_ids[*all.begin()]);
  EXPECT_EQ(e->receipt_state(*all.begin()), sms::kDelivered);
  EXPECT_EQ(s.effects_of("long"), 1u);
  // An incomplete message is refused when its validity ends.
  parts =
      smpp::split_message(Esme::message("push", "PAY", ""), text, smpp::Coding::gsm7, smpp::Split::sar, 8);
  parts[1].validity = sms::format_relative_time(1 * kS);
  const auto n = e->submit(parts[1]);
  receipted(*e, 2);
  EXPECT_EQ(e->receipt_state(n), sms::kRejected);
}

TEST_F(SmppFront, ReceiptsWaitForAClientThatHasUnbound) {
  auto capacity = Service::quick();
  capacity.service = 300 * kMs;
  s.add("push", 1, capacity);
  s.start();
  auto e = bound("bank", Command::bind_transmitter);
  std::set<std::string> ids;
  for (int i = 0; i < 20; i++) e->submit(Esme::message("push", "PAY", body("m-" + std::to_string(i), "pay")));
  answered(*e, 20);
  for (const auto& [n, id] : e->message_ids) ids.insert(id);
  e->session.unbind(s.loop.now()), e->flush();  // while all of them are in flight
  run_until(s.loop, [&] { return e->closed; });
  run_until(s.loop, [&] { return s.effects.size() == 20 && s.node->core().held() == 0; });
  auto other = bound("cellar");  // another client gets none of them
  run_for(s.loop, 50 * kMs);
  EXPECT_TRUE(other->deliveries.empty());
  // Receipts sent on a bind that closes without answering them are not lost.
  auto mute =
      std::make_unique<Esme>(s.loop, s.node->smpp_address(), "bank", "secret", Command::bind_receiver);
  mute->answer_receipts = false;
  run_until(s.loop, [&] { return mute->deliveries.size() == 20; });
  mute->stream->close(true);
  auto again = bound("bank", Command::bind_receiver);
  receipted(*again, 20);
  for (const auto& [id, all] : again->receipts) {
    EXPECT_EQ(all.size(), 1u);
    EXPECT_EQ(ids.count(id), 1u);
  }
}

TEST_F(SmppFront, RefusedAndFailedEndsSayWhatTheyPromise) {
  s.add("push", 1);
  s.start();
  auto e = bound();
  s.endpoint("push-1").begin({.fault = emulator::Fault::errors});
  const auto doubt = e->submit(Esme::message("push", "PAY", body("doubt", "pay")));
  receipted(*e, 1);
  EXPECT_EQ(e->receipt_state(doubt), sms::kUnknown);
  s.endpoint("push-1").end(emulator::Fault::errors);
  s.endpoint("push-1").begin({.fault = emulator::Fault::down});
  auto m = Esme::message("push", "PAY", body("unsent", "pay"));
  m.validity = sms::format_relative_time(2 * kS);
  const auto unsent = e->submit(m);
  m.registered_delivery = 0;
  e->submit(m);  // asks for no receipt
  receipted(*e, 2);
  EXPECT_EQ(e->receipt_state(unsent), sms::kRejected);
  run_until(s.loop, [&] { return s.node->core().held() == 0; });
  run_for(s.loop, 50 * kMs);
  EXPECT_EQ(e->receipts.size(), 2u);
}

TEST_F(SmppFront, ScheduledReplacedCancelledQueried) {
  s.add("push", 1);
  s.start();
  auto e = bound();
  auto m = Esme::message("push", "", body("first"));
  m.schedule = sms::format_relative_time(1 * kS), m.validity = sms::format_relative_time(8 * kS);
  const Time asked = s.loop.refresh_now();
  const auto kept = e->submit(m), gone = e->submit(m);
  answered(*e, 2);
  const auto replaced = e->send_request(
      Command::replace_sm, smpp::Replace{e->message_ids[kept], m.source, "", "", 1, 0, body("second")});
  const auto cancelled =
      e->send_request(Command::cancel_sm, smpp::Cancel{"", e->message_ids[gone], m.source, m.destination});
  const auto query = e->send_request(Command::query_sm, smpp::Query{e->message_ids[kept], m.source});
  auto stranger = bound("cellar");
  const auto theirs = stranger->send_request(Command::query_sm, smpp::Query{e->message_ids[kept], m.source}),
             theft = stranger->send_request(Command::cancel_sm,
                                            smpp::Cancel{"", e->message_ids[kept], m.source, m.destination});
  answered(*e, 5), answered(*stranger, 2);
  EXPECT_EQ(e->status(replaced), st::ok);
  EXPECT_EQ(e->status(cancelled), st::ok);
  EXPECT_EQ(std::get<smpp::QueryResp>(e->responses[query].body).message_state, sms::kEnroute);
  EXPECT_EQ(stranger->status(theirs), st::invalid_message_id);
  EXPECT_EQ(stranger->status(theft), st::cancel_failed);
  receipted(*e, 1);
  EXPECT_GE(s.loop.refresh_now() - asked, 1 * kS);
  EXPECT_EQ(s.effects_of("second"), 1u);
  EXPECT_EQ(s.effects_of("first"), 0u);
  const auto after = e->send_request(Command::query_sm, smpp::Query{e->message_ids[kept], m.source}),
             too_late = e->send_request(Command::cancel_sm,
                                        smpp::Cancel{"", e->message_ids[kept], m.source, m.destination}),
             deleted = e->send_request(Command::query_sm, smpp::Query{e->message_ids[gone], m.source});
  answered(*e, 8);
  EXPECT_EQ(std::get<smpp::QueryResp>(e->responses[after].body).message_state, sms::kDelivered);
  EXPECT_EQ(e->status(too_late), st::cancel_failed);
  EXPECT_EQ(std::get<smpp::QueryResp>(e->responses[deleted].body).message_state, sms::kDeleted);
}

TEST_F(SmppFront, SeveralRecipientsAndDataSm) {
  s.add("push", 1), s.add_message_centre("centre", 1);
  s.start();
  auto e = bound();
  smpp::Multi multi;
  multi.message = Esme::message("push", "", body("multi"));
  multi.recipients.resize(3);
  multi.recipients[0].address = {1, 1, "255799"}, multi.recipients[1].address = {1, 1, "99"};
  multi.recipients[2].list = "everybody";
  const auto n = e->send_request(Command::submit_multi, multi);
  smpp::Data d;
  d.destination = {5, 0, "push"}, d.registered_delivery = 1;
  d.tlvs = {{smpp::tag::message_payload, body("data")}, smpp::make_tlv(0x0017, 5, 4)};
  const auto data = e->send_request(Command::data_sm, d);
  answered(*e, 2), receipted(*e, 2);
  const auto& resp = std::get<smpp::MultiResp>(e->responses[n].body);
  ASSERT_EQ(resp.failed.size(), 2u);
  EXPECT_EQ(resp.failed[0].error, st::invalid_destination);
  EXPECT_EQ(resp.failed[1].error, st::invalid_list_name);
  EXPECT_EQ(e->receipts.count(resp.message_id), 1u);
  EXPECT_EQ(e->receipt_state(data), sms::kDelivered);
}

TEST_F(SmppFront, SeveralRecipientsScheduledAreAllAnswered) {
  s.add_message_centre("centre", 1);
  s.start();
  auto e = bound();
  smpp::Multi multi;
  multi.message = Esme::message("centre", "", body("multi"));
  multi.message.schedule = sms::format_relative_time(1 * kS);
  multi.recipients.resize(3);
  for (int i = 0; i < 3; i++)
    multi.recipients[static_cast<std::size_t>(i)].address = {1, 1, "25579" + std::to_string(i / 2)};
  const auto n = e->send_request(Command::submit_multi, multi);
  answered(*e, 1);
  const auto& id = std::get<smpp::MultiResp>(e->responses[n].body).message_id;
  run_until(s.loop, [&] { return e->receipts[id].size() == 3; });
  EXPECT_EQ(s.effects_of("multi"), 3u);
}

TEST_F(SmppFront, AReceiptThatIsNotAnsweredComesAgain) {
  s.settings.smpp->response = 300 * kMs;
  s.add("push", 1);
  s.start();
  auto e = bound();
  e->answer_receipts = false;
  e->submit(Esme::message("push", "", body("m")));
  run_until(s.loop, [&] { return e->deliveries.size() == 1; });
  e->answer_receipts = true;
  run_until(
      s.loop, [&] { return e->deliveries.size() == 2; }, 10 * kS);
  EXPECT_EQ(e->deliveries[0], e->deliveries[1]);
}

TEST_F(SmppFront, AFloodOfBindsLocksNobodyElseOut) {
  s.add("push", 1);
  s.start();
  auto first = bound();  // its password is verified from now on
  std::vector<std::unique_ptr<Esme>> flood;
  std::size_t throttled = 0, wrong = 0;
  for (int round = 0; round < 10; round++) {
    for (int i = 0; i < 20; i++)
      flood.push_back(
          std::make_unique<Esme>(s.loop, s.node->smpp_address(), "bank", "guess" + std::to_string(i)));
    run_until(s.loop, [&] {
      return std::all_of(flood.begin(), flood.end(), [](const auto& e) { return e->refused != 0; });
    });
    for (const auto& e : flood)
      throttled += e->refused == st::throttled, wrong += e->refused == st::wrong_password;
    flood.clear();
  }
  EXPECT_EQ(throttled + wrong, 200u);
  EXPECT_LE(wrong, 40u) << "attempts for which PBKDF2 was computed";
  auto second = bound();
  const auto n = second->submit(Esme::message("push", "", body("m")));
  // Either bind of the client may get the receipt.
  run_until(s.loop, [&] { return first->receipts.size() + second->receipts.size() == 1; });
  EXPECT_EQ(second->status(n), st::ok);
  // The limit of binds per client holds.
  std::vector<std::unique_ptr<Esme>> more;
  for (int i = 0; i < 3; i++) more.push_back(std::make_unique<Esme>(s.loop, s.node->smpp_address()));
  run_until(s.loop, [&] {
    return std::all_of(more.begin(), more.end(),
                       [](const auto& e) { return e->session.bound() || e->refused != 0; });
  });
  EXPECT_EQ(
      std::count_if(more.begin(), more.end(), [](const auto& e) { return e->refused == st::bind_failed; }),
      1);
}

TEST_F(SmppFront, StoppingTurnsBackDeliversWhatIsOwedAndUnbinds) {
  auto capacity = Service::quick();
  capacity.service = 200 * kMs;
  s.add("push", 1, capacity);
  s.start();
  auto e = bound();
  auto later = Esme::message("push", "PAY", body("later", "pay"));
  later.schedule = sms::format_relative_time(60 * kS), later.validity.clear();
  const auto a = e->submit(Esme::message("push", "PAY", body("now", "pay"))), b = e->submit(later);
  answered(*e, 2);
  s.node->stop_accepting();
  const auto c = e->submit(Esme::message("push", "", body("too late")));
  run_until(s.loop, [&] { return s.node->drained() && e->unbound; });
  EXPECT_EQ(e->receipt_state(a), sms::kDelivered);
  EXPECT_EQ(e->receipt_state(b), sms::kRejected);
  EXPECT_EQ(e->status(c), st::queue_full);
}

// ---- Components without sockets ----

TEST(Submissions, PartsAndSchedulesAreBoundedByClientBytesAndTime) {
  sms::Submissions submissions(
      {.scheduled_max = 20, .parts_max = 20, .states_max = 3, .bytes_max = 100, .parts_timeout = 5 * kS});
  const auto of = [](const std::string& client, const std::string& id, Time ends) {
    sms::Submission s;
    s.client = client, s.id = id, s.expires_at = ends, s.not_before = ends, s.registered_delivery = 0;
    return s;
  };
  using Part = sms::Submissions::Part;
  for (int i = 0; i < 30; i++) {
    const auto name = std::to_string(i);
    const auto added = submissions.add_part(0, name, {1, 1, 2}, of("loud", name, 999 * kS), "x");
    EXPECT_EQ(added.part, i < 20 ? Part::first : Part::no_capacity);
  }
  auto later = of("loud", "s", kS);
  EXPECT_FALSE(submissions.schedule(later)) << "one client may use half of the capacity";
  later = of("quiet", "q", 2 * kS), later.request.body = std::string(60, 'x');
  EXPECT_TRUE(submissions.schedule(later));
  EXPECT_FALSE(submissions.replace("quiet", "q", {std::string(90, 'x'), ""}, {}, {})) << "exceeds bytes_max";
  EXPECT_TRUE(submissions.replace("quiet", "q", {std::string(70, 'x'), ""}, 3 * kS, {}));
  EXPECT_EQ(submissions.add_part(0, "7", {1, 2, 2}, of("loud", "other", 1), "y").part, Part::completed);
  EXPECT_EQ(submissions.add_part(0, "8", {1, 1, 2}, of("loud", "other", 1), "y").part, Part::duplicate);
  EXPECT_EQ(submissions.add_part(0, "8", {1, 2, 3}, of("loud", "other", 1), "y").part, Part::no_capacity)
      << "part with another total";
  std::vector<sms::Submission> start, never;
  EXPECT_EQ(submissions.next_due(), 3 * kS);
  submissions.take_due(5 * kS, start, never);
  EXPECT_EQ(start.size(), 1u);
  EXPECT_EQ(never.size(), 19u) << "dropped after parts_within, although valid for longer";
  EXPECT_EQ(submissions.bytes(), 0u);
  EXPECT_EQ(submissions.held(), 0u);
  // Only the latest states_max final states are kept, and only their client can query them; for several
  // recipients the worst state counts.
  for (int i = 0; i < 5; i++) submissions.record_final_state("c", std::to_string(i), sms::kDelivered, 1);
  submissions.record_final_state("c", "4", sms::kUnknown, 2);
  EXPECT_FALSE(submissions.state("c", "1"));
  EXPECT_FALSE(submissions.state("d", "4"));
  EXPECT_EQ(submissions.state("c", "4")->state, sms::kUnknown);
}

TEST(Passwords, HashesMatchTheirPasswordOnly) {
  const auto hash = sms::hash_password("secret", 1000);
  EXPECT_TRUE(sms::matches_hash("secret", hash));
  EXPECT_FALSE(sms::matches_hash("secreT", hash));
  EXPECT_NE(hash, sms::hash_password("secret", 1000)) << "each hash has its own salt";
  for (const char* bad : {"", "secret", "pbkdf2-sha256$0$00$00", "pbkdf2-sha256$x$y$z", "md5$1$00$00"})
    EXPECT_THROW(sms::matches_hash("secret", bad), std::invalid_argument) << bad;
}

TEST(BindGuard, WaitsDoubleAndMemoryIsBounded) {
  sms::BindRateLimiter g(
      {.max_failures = 3, .initial_delay = 1 * kS, .max_delay = 8 * kS, .max_entries = 100});
  Time now = 0, rests = 0;
  for (int round = 0; round < 5; round++) {
    for (int i = 0; i < 3; i++) {
      ASSERT_TRUE(g.may_attempt(now, "bank", "10.0.0.1"));
      g.record_failure(now, "bank", "10.0.0.1");
    }
    ASSERT_FALSE(g.may_attempt(now, "bank", "10.0.0.1"));
    EXPECT_TRUE(g.may_attempt(now, "bank", "10.0.0.2"))
        << "the same system_id from another address is not blocked";
    const Time from = now;
    while (!g.may_attempt(now, "bank", "10.0.0.1")) now += kS / 10;
    EXPECT_GE(now - from, std::min<Time>(8 * kS, kS << rests++));
  }
  for (int i = 0; i < 1000; i++) g.record_failure(now, "name-" + std::to_string(i), "10.0.0.3");
  EXPECT_LE(g.entry_count(), 100u);
  EXPECT_FALSE(g.may_attempt(now, "fresh-name", "10.0.0.3"));
}

TEST(ReceiptBook, KeepsOrderBoundsAndTime) {
  sms::ReceiptQueue receipts({.max_waiting = 10, .retention = 5 * kS, .retry_delay = kS});
  const auto receipt = [](int i) {
    smpp::Message m;
    m.text = std::to_string(i);
    return m;
  };
  receipts.add(0, "quiet", receipt(0));
  for (int i = 0; i < 30; i++) receipts.add(0, "loud", receipt(i));
  EXPECT_EQ(receipts.waiting(), 10u);
  EXPECT_EQ(receipts.waiting("quiet"), 1u) << "the oldest receipt of the client with the most is dropped";
  EXPECT_EQ(receipts.counts().dropped, 21u);
  const auto a = receipts.next(0, "loud"), b = receipts.next(0, "loud");
  EXPECT_EQ(a->second.text, "21");
  receipts.requeue(b->first), receipts.requeue(a->first);
  EXPECT_EQ(receipts.next(0, "loud")->second.text, "21");
  const auto c = receipts.next(0, "loud");
  receipts.postpone(0, c->first);
  EXPECT_FALSE(receipts.next(kS / 2, "loud"));
  EXPECT_EQ(receipts.next_retry(kS / 2), kS);
  EXPECT_GT(receipts.next_retry(kS), 5 * kS) << "only postponed receipts count";

  EXPECT_EQ(receipts.next(kS, "loud")->second.text, "22");
  receipts.tick(5 * kS);
  EXPECT_EQ(receipts.waiting(), 0u);
  EXPECT_EQ(receipts.counts().expired, 8u);
}

TEST(SmppTimes, AbsoluteAndRelative) {
  const Time wall = 1'767'225'600LL * kS;  // 2026-01-01 00:00:00 UTC
  EXPECT_EQ(sms::time_until("000000000130000R", wall), 90 * kS);
  EXPECT_EQ(sms::time_until("000100000000000R", wall), 31LL * 86'400 * kS) << "January";
  EXPECT_EQ(sms::time_until("260101000100000+", wall), 60 * kS);
  EXPECT_EQ(sms::time_until("260101030000512+", wall), 500'000)
      << "three hours ahead of UTC, plus half a second";
  EXPECT_EQ(sms::time_until("251231235959000+", wall), 0);
  EXPECT_EQ(sms::time_until("251231210100012-", wall), 60 * kS);
  for (const char* bad : {"", "26010100010000+", "261301000100000+", "260101240100000+", "260101000100049+",
                          "26010100010000x+", "260101000100000Z"})
    EXPECT_FALSE(sms::time_until(bad, wall)) << bad;
  EXPECT_EQ(sms::format_relative_time(90 * kS + 1), "000000000131000R");
  std::mt19937 random(1);
  for (int i = 0; i < 1000; i++) {
    const Time span = static_cast<Time>(random() % 2'000'000 + 1) * kS;
    EXPECT_EQ(sms::time_until(sms::format_relative_time(span), wall), span);
  }
}

TEST(SmppStatuses, OnlyWhatSpeaksOfThePduProvesThatNothingRan) {
  config::SmppEndpointSettings kind;
  EXPECT_EQ(sms::proof_of(st::ok, kind), sms::Proof::ran);
  EXPECT_EQ(sms::proof_of(st::throttled, kind), sms::Proof::refused);
  EXPECT_EQ(sms::proof_of(st::queue_full, kind), sms::Proof::refused);
  EXPECT_EQ(sms::proof_of(st::invalid_destination, kind), sms::Proof::not_run);
  for (const smpp::Status s :
       {st::system_error, st::submit_failed, st::receiver_temporary, st::receiver_permanent,
        st::delivery_failure, st::unknown_error, smpp::Status{0x400}, smpp::Status{0x1234}})
    EXPECT_EQ(sms::proof_of(s, kind), sms::Proof::in_doubt) << s;
  kind.unseen = {0x400};
  EXPECT_EQ(sms::proof_of(0x400, kind), sms::Proof::refused);
  // Parts: one accepted and one refused leave doubt; all refused prove that nothing ran; all accepted but
  // some unsent leave doubt.
  const relay::CallResult ok{Outcome::served, 0, {}, "", {}}, full{Outcome::full, 0, {}, "", {}},
      lost{Outcome::reset, 0, {}, "", {}};
  EXPECT_EQ(sms::result_of_parts({ok, ok}, true).outcome, Outcome::served);
  EXPECT_EQ(sms::result_of_parts({ok, ok}, false).outcome, Outcome::error);
  EXPECT_EQ(sms::result_of_parts({ok, full}, true).outcome, Outcome::error);
  EXPECT_EQ(sms::result_of_parts({full, full}, true).outcome, Outcome::full);
  EXPECT_EQ(sms::result_of_parts({full}, false).outcome, Outcome::full);
  EXPECT_EQ(sms::result_of_parts({full, lost}, true).outcome, Outcome::reset);
}

// With a journal, the next run delivers the receipts of messages that this run accepted, each once; a receipt
// that was delivered is not sent again; and a submit is answered only when the message is durable.
TEST_F(SmppFront, ReceiptsOutliveTheRelayWithAJournal) {
  auto& j = s.settings.journal.emplace();
  j.folder = s.folder + "/journal", j.segment = 1 << 20, j.disk_max = 16 << 20;
  auto& d = s.add("push", 1);
  s.start();
  auto e = bound();
  const auto done = e->submit(Esme::message("push", "", body("done")));
  answered(*e, 1), receipted(*e, 1);
  EXPECT_EQ(e->receipt_state(done), sms::kDelivered);
  run_for(s.loop, 20 * kMs);
  // One message whose receipt is not answered, one whose attempt is in flight, and one that asks for no
  // receipt.
  e->answer_receipts = false;
  const auto owed = e->submit(Esme::message("push", "", body("owed")));
  run_until(s.loop, [&] { return e->deliveries.size() == 2; });
  auto quiet = Esme::message("push", "", body("quiet"));
  quiet.registered_delivery = 0;
  e->submit(quiet);
  answered(*e, 3);
  run_until(s.loop, [&] { return s.effects_of("quiet") == 1; });
  d.endpoints()[0]->begin({.fault = standin::Fault::answer_lost, .share = 1});
  const auto out = e->submit(Esme::message("push", "PAY", body("out", "pay")));
  answered(*e, 4);
  run_until(s.loop, [&] { return s.effects_of("out") == 1; });
  d.endpoints()[0]->end(standin::Fault::answer_lost);
  s.node.reset();
  const auto ids = e->message_ids;
  s.start();
  auto again = bound();
  receipted(*again, 2);
  run_for(s.loop, 50 * kMs);
  EXPECT_EQ(again->receipts.size(), 2u);
  ASSERT_EQ(again->receipts[ids.at(owed)].size(), 1u);
  EXPECT_EQ(again->receipts[ids.at(owed)][0].state, sms::kDelivered);
  ASSERT_EQ(again->receipts[ids.at(out)].size(), 1u);
  EXPECT_EQ(again->receipts[ids.at(out)][0].state, sms::kUnknown);
  EXPECT_EQ(s.effects_of("out"), 1u);
  // All receipts are delivered: a third run sends none.
  s.node.reset();
  s.start();
  auto third = bound();
  run_for(s.loop, 50 * kMs);
  EXPECT_TRUE(third->receipts.empty());
}

}  // namespace
}  // namespace cedarplank::testing
