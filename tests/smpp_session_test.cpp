// Tests of both sides of an SMPP session connected without sockets: states, sequence numbers, windows,
// timers, and a peer whose responses are late, duplicate, out of order or invalid.
#include <gtest/gtest.h>

#include <random>

#include "smpp/session.hpp"

namespace cedarplank::smpp {
namespace {

using Type = Event::Type;
constexpr Time kS = 1'000'000;

Message text(const std::string& words) {
  Message m;
  m.destination = {1, 1, "255700"}, m.text = words;
  return m;
}

struct Pair {
  explicit Pair(SessionSettings s = {}, Command how = Command::bind_transceiver)
      : esme(Role::esme, s, now), smsc(Role::smsc, s, now) {
    esme.bind(now, how, {"bank", "secret", "", 0x34, {}});
    pass();
    smsc.accept(now, "centre");
    pass();
    EXPECT_TRUE(esme.bound());
    at_esme.clear(), at_smsc.clear();
  }
  // Passes bytes in both directions, in pieces of random sizes.
  void pass() {
    while (esme.has_output() || smsc.has_output()) {
      carry(esme.take_output(), smsc, at_smsc);
      carry(smsc.take_output(), esme, at_esme);
    }
  }
  void carry(const std::string& bytes, Session& to, std::vector<Event>& events) {
    for (std::size_t i = 0; i < bytes.size();) {
      const std::size_t n = 1 + random() % 23;
      to.receive(now, std::string_view(bytes).substr(i, n), events);
      i += n;
    }
  }
  std::size_t count(const std::vector<Event>& events, Type type) const {
    std::size_t n = 0;
    for (const auto& e : events) n += e.type == type;
    return n;
  }
  void wait(Time span) {
    for (const Time until = now + span; now < until;) {
      now = std::min({until, esme.next_due(), smsc.next_due()});
      esme.tick(now, at_esme), smsc.tick(now, at_smsc);
      if (quiet) continue;
      pass();
    }
  }
  Time now = kS;
  bool quiet = false;
  std::mt19937 random{7};
  Session esme, smsc;
  std::vector<Event> at_esme, at_smsc;
};

TEST(SmppSession, BindsAndAnswersInEachState) {
  for (const auto how : {Command::bind_transmitter, Command::bind_receiver, Command::bind_transceiver}) {
    Pair p({}, how);
    EXPECT_EQ(p.esme.can_request(), how != Command::bind_receiver);
    EXPECT_EQ(p.smsc.can_request(), how != Command::bind_transmitter);
    if (!p.esme.can_request()) {
      // Section 2.3: a request sent anyway is answered with an error and not accepted.
      p.esme.request(p.now, Command::submit_sm, text("no"));
      p.pass();
      ASSERT_EQ(p.count(p.at_esme, Type::response), 1u);
      EXPECT_EQ(p.at_esme[0].pdu.status, status::wrong_bind_state);
      EXPECT_EQ(p.count(p.at_smsc, Type::request), 0u);
    }
  }
}

TEST(SmppSession, ARefusedBindAndASecondOne) {
  Session esme(Role::esme, {}, 0), smsc(Role::smsc, {}, 0);
  std::vector<Event> events;
  esme.bind(0, Command::bind_transmitter, {"bank", "wrong", "", 0x34, {}});
  const auto bind = esme.take_output();
  smsc.receive(0, bind, events);
  smsc.receive(0, bind, events);  // a second bind before the answer is rejected and has no effect
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[1].type, Type::invalid_pdu);
  smsc.reject(status::wrong_password);
  events.clear();
  esme.receive(0, smsc.take_output(), events);
  ASSERT_GE(events.size(), 1u);
  EXPECT_EQ(events[0].type, Type::refused);
  EXPECT_EQ(esme.state(), State::closed);
}

TEST(SmppSession, ResponsesOutOfOrderTwiceAndLate) {
  SessionSettings s;
  s.response_timeout = 2 * kS, s.window = 4;
  Pair p(s);
  std::vector<std::uint32_t> numbers;
  for (int i = 0; i < 4; i++) numbers.push_back(p.esme.request(p.now, Command::submit_sm, text("m")));
  EXPECT_FALSE(p.esme.can_request());
  p.pass();
  ASSERT_EQ(p.count(p.at_smsc, Type::request), 4u);
  const auto requests = p.at_smsc;
  p.smsc.respond(requests[3].pdu, status::ok, MessageResp{"id-3", {}});
  const auto answer = p.smsc.take_output();
  p.carry(answer, p.esme, p.at_esme);
  p.carry(answer, p.esme, p.at_esme);  // a duplicate
  ASSERT_EQ(p.at_esme.size(), 2u);
  EXPECT_EQ(p.at_esme[0].type, Type::response);
  EXPECT_EQ(p.at_esme[0].pdu.sequence, numbers[3]);
  EXPECT_EQ(p.at_esme[1].type, Type::unmatched);
  // An abandoned request stays in the window, and its response is reported as late.
  p.esme.abandon(numbers[0]);
  p.smsc.respond(requests[0].pdu, status::ok, MessageResp{"id-0", {}});
  p.pass();
  EXPECT_EQ(p.at_esme.back().type, Type::late);
  // The other requests expire; their responses come too late.
  p.quiet = true;
  p.wait(2 * kS);
  EXPECT_EQ(p.count(p.at_esme, Type::expired), 2u);
  EXPECT_TRUE(p.esme.can_request(4));
  p.smsc.respond(requests[1].pdu, status::ok, MessageResp{"id-1", {}});
  p.pass();
  EXPECT_EQ(p.at_esme.back().type, Type::late);
  // A response of another type than the request does not answer it.
  const auto n = p.esme.request(p.now, Command::submit_sm, text("m"));
  std::string odd;
  encode({Command::query_sm_resp, status::ok, n, QueryResp{"x", "", 2, 0}}, odd);
  p.carry(odd, p.esme, p.at_esme);
  EXPECT_EQ(p.at_esme.back().type, Type::unmatched);
  EXPECT_EQ(p.esme.outstanding(), 1u);
}

TEST(SmppSession, NumbersWrapAndPassOverThoseStillOut) {
  SessionSettings s;
  s.window = 10;
  Pair p(s);
  p.esme.set_next_sequence(1);
  EXPECT_EQ(p.esme.request(p.now, Command::submit_sm, text("long out")), 1u);
  p.esme.set_next_sequence(kMaxSequence - 1);
  EXPECT_EQ(p.esme.request(p.now, Command::submit_sm, text("a")), kMaxSequence - 1);
  EXPECT_EQ(p.esme.request(p.now, Command::submit_sm, text("b")), kMaxSequence);
  EXPECT_EQ(p.esme.request(p.now, Command::submit_sm, text("c")), 2u);
  p.pass();
  for (const auto& e : std::vector<Event>(p.at_smsc)) p.smsc.respond(e.pdu, status::ok, MessageResp{"x", {}});
  p.pass();
  EXPECT_EQ(p.count(p.at_esme, Type::response), 4u);
}

TEST(SmppSession, ALengthOfFourGigabytesEndsItAtOnce) {
  Pair p;
  std::string bad("\xff\xff\xff\xff\0\0\0\x04", 8);
  p.smsc.receive(p.now, bad, p.at_smsc);
  ASSERT_EQ(p.count(p.at_smsc, Type::failed), 1u);
  EXPECT_EQ(p.smsc.state(), State::closed);
  p.pass();
  EXPECT_EQ(p.count(p.at_esme, Type::unmatched), 1u);  // its generic_nack
}

TEST(SmppSession, MistakesAreAnsweredAndTooManyEndIt) {
  SessionSettings s;
  s.max_invalid_pdus = 3;
  Pair p(s);
  const auto odd = [&](std::uint32_t command) {
    std::string pdu("\0\0\0\x10", 4);
    for (int shift = 24; shift >= 0; shift -= 8) pdu += static_cast<char>(command >> shift & 0xff);
    return pdu + std::string("\0\0\0\0\0\0\0\x63", 8);
  };
  p.smsc.receive(p.now, odd(0x55), p.at_smsc);  // no such command
  p.smsc.receive(p.now, odd(0x04), p.at_smsc);  // submit_sm without a body
  Pdu got;
  Framer f;
  f.receive(p.smsc.take_output());
  decode(std::string(*f.next()), &got);
  EXPECT_EQ(got.command, Command::generic_nack);
  EXPECT_EQ(got.status, status::invalid_command);
  EXPECT_EQ(got.sequence, 0x63u);
  decode(std::string(*f.next()), &got);
  EXPECT_EQ(got.command, Command::submit_sm_resp);
  EXPECT_NE(got.status, status::ok);
  EXPECT_TRUE(p.smsc.bound());
  EXPECT_EQ(p.smsc.unanswered(), 0u);
  p.smsc.receive(p.now, odd(0x55), p.at_smsc);
  EXPECT_EQ(p.smsc.state(), State::closed);
}

TEST(SmppSession, AnEnquiryUnansweredWhileSubmitsFlowIsNoLoss) {
  SessionSettings s;
  s.enquire_after = 1 * kS, s.response_timeout = 2 * kS;
  Pair p(s);
  p.wait(10 * kS);
  EXPECT_TRUE(p.esme.bound()) << "no messages, but enquire_link is answered";
  EXPECT_GE(p.count(p.at_esme, Type::enquiry_answered), 3u);
  // The peer answers submits, but not enquire_link.
  const auto answer_submits_only = [&] {
    const auto n = p.esme.request(p.now, Command::submit_sm, text("m"));
    p.esme.take_output();
    std::string answer;
    encode({Command::submit_sm_resp, status::ok, n, MessageResp{"x", {}}}, answer);
    p.esme.receive(p.now, answer, p.at_esme);
  };
  p.quiet = true;
  p.esme.enquire(p.now);
  for (int i = 0; i < 20; i++) {
    p.now += kS / 2;
    answer_submits_only();
    p.esme.tick(p.now, p.at_esme);
    ASSERT_TRUE(p.esme.bound()) << i;
  }
  // Without any response the session fails.
  for (int i = 0; i < 10 && p.esme.bound(); i++) p.now += kS, p.esme.tick(p.now, p.at_esme);
  EXPECT_EQ(p.at_esme.back().what, "enquire_link was not answered");
}

TEST(SmppSession, UnbindWaitsForResponsesThatAreOut) {
  Pair p;
  p.esme.request(p.now, Command::submit_sm, text("last"));
  p.pass();
  const auto request = p.at_smsc.back().pdu;
  p.smsc.unbind(p.now);
  p.carry(p.smsc.take_output(), p.esme, p.at_esme);
  EXPECT_EQ(p.at_esme.back().type, Type::unbind);
  EXPECT_FALSE(p.esme.can_request());
  EXPECT_FALSE(p.esme.has_output()) << "the submit has no response yet";
  p.smsc.respond(request, status::ok, MessageResp{"x", {}});
  p.pass();
  EXPECT_EQ(p.count(p.at_esme, Type::response), 1u);
  EXPECT_EQ(p.count(p.at_esme, Type::unbound), 1u);
  EXPECT_EQ(p.count(p.at_smsc, Type::unbound), 1u);
}

TEST(SmppSession, TimersEndWhatNeverBindsOrNeverSpeaks) {
  SessionSettings s;
  s.session_init = 3 * kS, s.inactivity_timeout = 5 * kS;
  Session smsc(Role::smsc, s, 0);
  std::vector<Event> events;
  smsc.tick(smsc.next_due(), events);
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].what, "not bound in time");
  Pair p(s);
  p.wait(6 * kS);
  EXPECT_EQ(p.esme.state(), State::closed);
  EXPECT_EQ(p.smsc.state(), State::closed);
  EXPECT_EQ(p.count(p.at_esme, Type::failed) + p.count(p.at_smsc, Type::failed), 0u);
}

TEST(SmppSession, APeerThatNeverWaitsIsThrottled) {
  SessionSettings s;
  s.window = 100, s.peer_window = 10;
  Pair p(s);
  for (int i = 0; i < 100; i++) p.esme.request(p.now, Command::submit_sm, text("flood"));
  p.pass();
  EXPECT_EQ(p.count(p.at_smsc, Type::request), 10u);
  EXPECT_EQ(p.smsc.unanswered(), 10u);
  ASSERT_EQ(p.count(p.at_esme, Type::response), 90u);
  EXPECT_EQ(p.at_esme[0].pdu.status, status::throttled);
}

}  // namespace
}  // namespace cedarplank::smpp
