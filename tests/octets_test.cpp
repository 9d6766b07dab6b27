// Octets of any kind and any length from outside: in the journal's records, over a restart, in JSON.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <functional>
#include <random>

#include "journal/coordinator.hpp"
#include "journal/record_reader.hpp"
#include "platform/semantics.hpp"
#include "platform_fixture.hpp"
#include "text/text.hpp"

namespace cedarplank {
namespace {

using namespace journal;
using platform::testing::Call;
using platform::testing::Client;
using platform::testing::PlatformFixture;
using platform::testing::Server;

constexpr Time kSecond = 1'000'000;
const std::string kNoise = "\xff\xfe\x9c\x80";

class Octets : public ::testing::Test {
 protected:
  std::size_t draw(std::size_t below) { return random_() % below; }
  // A text of up to so many octets of any kind; half of them are short.
  std::string text(std::size_t longest = 5'000) {
    std::string drawn(draw(draw(2) == 0 ? 12 : longest), '\0');
    for (char& octet : drawn) octet = static_cast<char>(draw(256));
    return drawn;
  }
  Attempt attempt() { return {static_cast<int>(draw(50)), text(), static_cast<int>(draw(9)) - 1, time()}; }
  Time time() { return static_cast<Time>(draw(1'000'000'000)); }
  std::shared_ptr<relay::NewMessage> message() {
    auto m = std::make_shared<relay::NewMessage>();
    for (auto* field : {&m->order_key, &m->idempotency_key, &m->topic, &m->content_type, &m->content_encoding,
                        &m->urgency, &m->recipient, &m->sender, &m->owner, &m->body})
      *field = text();
    return m;
  }
  record::Taken taken() {
    record::Taken r;
    r.id = 1 + draw(1'000), r.message = message(), r.deadline = time();
    r.destination = text(), r.message_class = text(), r.tenant = text(), r.last = text();
    r.attempts = static_cast<int>(draw(20)), r.ran = draw(2) == 0, r.ran_at = time();
    for (std::size_t i = draw(4); i > 0; i--) r.out.push_back(attempt());
    return r;
  }
  record::Answered answered() {
    record::Answered r;
    r.id = 1 + draw(1'000), r.verdict = static_cast<record::Verdict>(draw(3));
    for (auto* field : {&r.message_class, &r.last, &r.destination, &r.tenant, &r.idempotency_key, &r.owner})
      *field = text();
    r.until = time(), r.remember = time(), r.fingerprint = random_();
    return r;
  }
  Record record() {
    Record r{time(), {}};
    switch (draw(8)) {
      case 0:
        r.what = record::Base{text(), time(), time(), draw(99), time(), draw(99)};
        break;
      case 1:
        r.what = record::Sending{draw(99), attempt()};
        break;
      case 2:
        r.what = record::Ended{draw(99), static_cast<int>(draw(9)), draw(2) == 0, text()};
        break;
      case 3:
        r.what = answered();
        break;
      case 4:
        r.what = record::Gone{draw(99)};
        break;
      case 5:
        r.what = record::Told{text(), time()};
        break;
      case 6:
        r.what = record::Seen{text(), action::Health::out, time(), 2.5};
        break;
      default:
        r.what = taken();
    }
    return r;
  }

 private:
  std::mt19937 random_{20'261'204};
};

bool is_json(const std::string& line) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseValidateEncodingFlag>(line.data(), line.size());
  return !d.HasParseError();
}

// ---- Records ----

// Guards against a record that is written and can't be read at the next start, because a text in it is not
// UTF-8.
TEST_F(Octets, WhateverARecordHoldsIsReadBack) {
  for (int i = 0; i < 5'000; i++) {
    const Record written = record();
    const auto bytes = encode(written);
    Record read;
    const auto result = decode(bytes, read);
    ASSERT_TRUE(result.ok()) << kind_of(written) << ": " << result.problem;
    EXPECT_EQ(encode(read), bytes);
    EXPECT_TRUE(is_json(to_json(read)));
  }
}

// Guards against a message whose record fits when it is accepted, and is too large when it is written anew
// with what has become of its attempts.
TEST_F(Octets, NoRecordOfAMessageOutgrowsItsBound) {
  for (int round = 0; round < 200; round++) {
    const auto accepted = message();
    record::Taken first;
    first.id = 7, first.message = accepted, first.deadline = kSecond;
    first.destination = text(), first.message_class = text(), first.tenant = text();
    const std::size_t names = first.destination.size() + first.message_class.size() + first.tenant.size();
    StateImage image;
    image.apply(1, {time(), first});
    for (Sequence s = 2; s < 60; s++) {
      if (draw(3) > 0)
        image.apply(s, {time(), record::Sending{7, attempt()}});
      else
        image.apply(s, {time(), record::Ended{7, static_cast<int>(draw(50)), draw(2) == 0, text(90'000)}});
      EXPECT_LE(encode({time(), image.held().at(7).state}).size(), max_record_bytes(*accepted, names));
    }
    EXPECT_LE(image.held().at(7).state.out.size(), kMaxOpenAttempts);
  }
}

// Guards against an attempt that is forgotten, and with it that a message may have run, because many are
// open.
TEST_F(Octets, AnAttemptThatIsNoLongerListedCountsAsOneThatMayHaveRun) {
  StateImage image;
  record::Taken first;
  first.id = 7, first.message = message();
  image.apply(1, {1, first});
  for (int i = 0; i <= static_cast<int>(kMaxOpenAttempts); i++)
    image.apply(2 + static_cast<Sequence>(i), {1, record::Sending{7, {i, "e", 3, 100 + i}}});
  const auto& held = image.held().at(7).state;
  EXPECT_TRUE(held.ran);
  EXPECT_EQ(held.ran_zone, 3);
  EXPECT_EQ(held.ran_at, 100);
  EXPECT_EQ(held.out.front().number, 1);
}

// Guards against messages that an earlier version has written with texts that it could not read, and that
// stay unreadable.
TEST_F(Octets, RecordsOfAnEarlierVersionThatItCouldNotReadAreRead) {
  // An Ended of message 9, attempt 1, with two octets that are not UTF-8 as its outcome.
  const std::string ended("\x08\x02\x32\x08\x08\x09\x10\x01\x22\x02\xff\xfe", 12);
  Record read;
  ASSERT_TRUE(decode(ended, read).ok());
  EXPECT_EQ(message_id_of(read), 9u);
  EXPECT_EQ(std::get<record::Ended>(read.what).what, "\xff\xfe");
}

// Guards against one unreadable record that keeps the relay from starting, or takes others along.
TEST_F(Octets, ARecordThatCannotBeReadCostsItselfAlone) {
  RecordReader reader;
  record::Taken first = taken(), second = taken();
  first.id = 1, second.id = 2;
  reader.read(1, encode({1, first}));
  std::string cut = encode({2, second});
  cut.resize(cut.size() - 1);  // the length of its last field is wrong now
  reader.read(2, cut);
  second.id = 3;
  reader.read(3, encode({3, second}));
  EXPECT_EQ(reader.image().held().count(1), 1u);
  EXPECT_EQ(reader.image().held().count(3), 1u);
  ASSERT_EQ(reader.problems().size(), 1u);
  EXPECT_EQ(reader.problems()[0].substr(0, 8), "record 2");
  EXPECT_EQ(reader.records().size(), 3u);
  EXPECT_EQ(reader.newer_version(), "");
}

// ---- Coordinator ----

// A coordinator on a log in memory, for records of at most 10,000 bytes.
class Coordinating : public relay::Transport, public relay::AnswerSink {
 public:
  // `image`: of what an earlier version has written, in one record of so many bytes.
  explicit Coordinating(StateImage image = {}, std::size_t record_bytes = 0) {
    JournalCoordinatorSettings settings;
    settings.classes.resize(1), settings.class_names = {"safe"};
    settings.record_bytes_max = 10'000, settings.window_bytes = 20'000;
    coordinator = std::make_unique<JournalCoordinator>(
        settings, std::move(image),
        JournalCoordinator::Ports{
            .transport = *this,
            .answers = *this,
            .destination_name = [](DestinationId) { return std::string("7"); },
            .append = [this](std::string bytes) { return log.push_back(std::move(bytes)), log.size(); },
            .release = [this](Sequence upto) { released = upto; },
            .call_dropped = [](relay::CallId, const relay::CallResult&) {},
            .log = [this](const std::string& line) { lines.push_back(line); }});
    if (record_bytes > 0) {
      log.emplace_back(record_bytes, 'r');
      coordinator->count_existing_record(1, record_bytes);
    }
    coordinator->write_base({"boot", 1, 1, 1, 0, 1}, 1);
  }
  void accept(MessageId id, std::size_t body) {
    auto m = std::make_shared<relay::NewMessage>();
    m->owner = "m", m->body = std::string(body, 'b');
    coordinator->message_accepted(id, m, 100 * kSecond);
  }
  void commit() { coordinator->mark_durable(log.size()); }
  void send(const relay::OutgoingCall&) override {}
  CancelResult cancel(relay::CallId) override { return CancelResult::sent; }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  void served(MessageId, const relay::CallResult&) override {}
  void refused(MessageId, Time, const relay::AttemptSummary&) override {}
  void failed(MessageId, const relay::AttemptSummary&) override {}

  std::vector<std::string> log, lines;
  Sequence released = 0;
  std::unique_ptr<JournalCoordinator> coordinator;
};

// Guards against an acknowledgement of a message that is not written, and against a journal that ends because
// of one record.
TEST_F(Octets, AMessageWithoutARecordIsNotAcknowledgedAndTheJournalGoesOn) {
  using AcceptanceRecord = JournalCoordinator::AcceptanceRecord;
  Coordinating c;
  bool acknowledged = false;
  c.accept(1, 20'000);
  c.coordinator->when_durable(1, [&] { acknowledged = true; });
  c.accept(2, 100);
  EXPECT_EQ(c.coordinator->acceptance_record(2), AcceptanceRecord::pending);
  c.commit();
  EXPECT_EQ(c.coordinator->acceptance_record(1), AcceptanceRecord::rejected);
  EXPECT_EQ(c.coordinator->acceptance_record(2), AcceptanceRecord::durable);
  EXPECT_FALSE(acknowledged);
  EXPECT_FALSE(c.coordinator->failed());
  ASSERT_EQ(c.lines.size(), 1u);
  EXPECT_NE(c.lines[0].find("message 1"), std::string::npos);
}

// Guards against an acknowledgement that is given because nothing can be written.
TEST_F(Octets, AnAcknowledgementWaitsWhileTheJournalStallsAndIsNeverGivenOnceItFails) {
  Coordinating c;
  int acknowledged = 0;
  c.accept(1, 100);
  c.coordinator->when_durable(1, [&] { acknowledged++; });
  c.coordinator->set_stalled(true);
  c.accept(2, 100);
  c.coordinator->when_durable(2, [&] { acknowledged++; });
  EXPECT_EQ(acknowledged, 0);
  c.coordinator->set_stalled(false);
  c.commit();
  EXPECT_EQ(acknowledged, 2);
  c.accept(3, 100);
  c.coordinator->when_durable(3, [&] { acknowledged++; });
  c.coordinator->fail("test");
  c.coordinator->when_durable(3, [&] { acknowledged++; });
  EXPECT_EQ(acknowledged, 2);
}

// Guards against a message that the journal accepts at its size, and can't write anew.
TEST_F(Octets, AMessageIsAcceptedOnlyIfItsRecordFitsWhateverHappensToIt) {
  Coordinating c;
  relay::NewMessage m;
  m.body = std::string(9'900, 'b');
  EXPECT_FALSE(c.coordinator->may_record(m));
  m.body = std::string(6'000, 'b');
  EXPECT_TRUE(c.coordinator->may_record(m));
}

// Guards against readable records that are released for one that can't be written.
TEST_F(Octets, TheRecordsOfAnItemThatCannotBeRewrittenAreKept) {
  // An earlier version has accepted a larger message than this one would.
  StateImage image;
  record::Taken large;
  auto m = std::make_shared<relay::NewMessage>();
  m->body = std::string(30'000, 'b');
  large.id = 5, large.message = m, large.deadline = 100 * kSecond;
  image.apply(1, {1, large});
  Coordinating c(std::move(image), 30'100);
  for (MessageId id = 10; id < 70; id++) c.accept(id, 5'000);
  c.commit();
  c.coordinator->compact(2, {.items = 100});
  c.commit();
  EXPECT_EQ(c.released, 0u);
  EXPECT_EQ(c.lines.size(), 1u);
  EXPECT_FALSE(c.coordinator->failed());
  c.coordinator->refused(5, 0, {});  // once it has its final answer its records are released
  c.commit();
  c.coordinator->compact(3, {.items = 100});
  c.commit();
  EXPECT_GE(c.released, 1u);
}

// ---- The platform's relay ----

class PlatformOctets : public ::testing::Test {
 protected:
  // Two partners: the answers of one are spoilt until the restart, of the other there is enough traffic to
  // make the journal write anew what it holds.
  // `noise`: in place of each message's result in a bulk answer; a long one only for the first message, whose
  // body has `watched_body` bytes. `late`: messages accepted just before the kill.
  void play(const std::string& noise, std::size_t watched_body, int late) {
    auto& settings = platform.settings;
    settings.replace(settings.find("6000000"), 7, "12000000");
    platform.add_endpoint("spoilt", 7, "big");
    platform.add_endpoint("sound", 8);
    platform.endpoint_replies["spoilt"] = [noise](const Call& call) -> Server::Reply {
      if (call.path == "/inbox" && call.id == "watched-1") return {};  // the noise stays its last outcome
      if (call.path == "/inbox") return {http1::build_response(500, {}, {}, false)};
      std::string body;
      for (const auto& id : PlatformFixture::bulk_ids(call))
        body += id + " " + (id == "watched-1" || noise.size() < 10 ? noise : std::string("error")) + "\r\n";
      return {http1::build_response(200, {}, body, false)};
    };
    platform.start();
    for (int i = 0; i < 4; i++) accept("watched-" + std::to_string(i), 7, i == 1 ? watched_body : 10);
    platform.run_until([&] { return platform.call_count("watched-3") >= 2; });
    for (int i = 0; i < 120; i++) accept("usual-" + std::to_string(i), 8, 10'000);
    platform.run_until([] { return false; }, 300'000);
    for (int i = 0; i < late; i++) accept("late-" + std::to_string(i), 7, 10);
    platform.run_until([] { return false; }, 100'000);
    restart();
  }
  void accept(const std::string& id, int destination, std::size_t body) {
    Client client(platform);
    client.submit(id, "status", destination, "12", std::string(body, 'b'));
    EXPECT_EQ(client.status(), 202) << id;
    accepted.push_back(id);
  }
  void restart() {
    platform.kill();
    platform.endpoint_replies.clear();
    for (const auto& id : accepted) sent_before[id] = platform.call_count(id);
    platform.start();
  }
  // Whether each message of the spoilt partner has been sent again since the restart.
  void expect_sent_again() {
    platform.run_until([&] { return platform.relay->held() == 0; }, 12'000'000);
    for (const auto& id : accepted) {
      if (id.find("usual") != std::string::npos) continue;
      EXPECT_TRUE(platform.call_count(id) > sent_before[id] || platform.has_notice(id)) << "lost: " << id;
    }
  }

  PlatformFixture platform;
  std::vector<std::string> accepted;
  std::map<std::string, std::size_t> sent_before;
};

// Guards against messages that are lost at a restart, because the noise of an answer was written with them.
TEST_F(PlatformOctets, MessagesWithNoiseInTheirAnswersOutliveAKill) {
  play(kNoise, 100, 0);
  EXPECT_FALSE(platform.has_log_line("can't be decoded"));
  expect_sent_again();
}

// Guards against a journal that ends unnoticed after a long line in an answer, and 202 that go on.
TEST_F(PlatformOctets, MessagesAcceptedAfterALongLineOfAnAnswerOutliveAKill) {
  play(std::string(63'000, '#'), 64'000, 5);
  expect_sent_again();
}

// Guards against 202, and a readiness check that says 200, after the journal has ended.
TEST_F(PlatformOctets, OnceTheJournalHasEndedNothingIsAcknowledgedAndTheRelayIsNotReady) {
  platform.add_endpoint("sound", 8);
  platform.start();
  auto& journal = const_cast<platform::Journal&>(platform.relay->journal());
  Client client(platform);
  client.submit("earlier", "order", 8);
  EXPECT_EQ(client.status(), 202);
  journal.coordinator().fail("test");
  client.submit("later", "order", 8);
  EXPECT_EQ(client.status(), 503);
  client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(client.status(), 503);
  EXPECT_EQ(platform.call_count("later"), 0u);
}

// ---- Text forms ----

// Guards against log lines, traces and exports that no reader of JSON takes.
TEST_F(Octets, AnyOctetsAreWrittenAsValidJson) {
  for (int i = 0; i < 2'000; i++) {
    rapidjson::StringBuffer buffer;
    text::JsonWriter writer(buffer);
    writer.StartObject();
    const std::string drawn = text(200);
    text::write_json(writer, "text", drawn);
    writer.EndObject();
    EXPECT_TRUE(is_json(buffer.GetString()));
  }
  EXPECT_EQ(text::to_utf8("gr\xc3\xbc\xc3\x9f"), "gr\xc3\xbc\xc3\x9f");
  EXPECT_EQ(text::to_utf8("a\xff"), "a\xef\xbf\xbd");
}

// Guards against octets of an endpoint that break the fields of a log line.
TEST_F(Octets, ALogLinesFieldIsPrintableAndBounded) {
  EXPECT_EQ(text::to_printable("ok\"\n\xff", 64), "ok\\x22\\x0a\\xff");
  EXPECT_EQ(text::to_printable(std::string(100, 'a'), 8), "aaaaaaaa...");
  http1::Message answer;
  answer.status = 200, answer.body = "m-1 " + kNoise + "\r\n";
  EXPECT_EQ(platform::endings_of(answer, true, {"m-1"})[0].detail, "\\xff\\xfe\\x9c\\x80");
}

}  // namespace
}  // namespace cedarplank
