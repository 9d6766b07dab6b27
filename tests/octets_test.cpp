// Octets of any kind and any length from outside: in the journal's records, over a restart, in JSON.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <functional>
#include <random>

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
