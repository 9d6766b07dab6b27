// Unit tests of the journal: records, materialized state, clocks across restarts, and the writer thread on a
// failing disk.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

#include "faulty_files.hpp"
#include "journal/recovery.hpp"
#include "store/writer.hpp"

namespace cedarplank::testing {
namespace {

using namespace journal;
constexpr Time kS = 1'000'000;

record::Taken taken(MessageId id, Time deadline) {
  auto m = std::make_shared<relay::NewMessage>();
  m->idempotency_key = "k" + std::to_string(id), m->body = "body", m->owner = "o";
  record::Taken t;
  t.id = id, t.destination = "bank", t.message_class = "pay", t.message = m, t.deadline = deadline;
  return t;
}

std::string text_of(const StateImage& image) {
  std::string text;
  for (const auto& [id, h] : image.held()) text += encode({0, h.state}) + "\n";
  for (const auto& [id, a] : image.answers()) text += encode({0, a.answered}) + "\n";
  for (const auto& all : image.remembered_records()) text += encode({0, all}) + "\n";
  for (const auto& [id, w] : image.waits()) text += encode({0, w.first}) + "\n";
  for (const auto& [id, h] : image.health()) text += encode({0, h.first}) + "\n";
  return text + std::to_string(image.next_id());
}

TEST(Image, AnEndThatWasHandedOverIsRememberedForItsTime) {
  StateImage image;
  image.apply(1, {1, record::Base{"boot", 1, 1, 1, 0, 1}});
  record::Answered answered;
  answered.id = 7, answered.verdict = record::Verdict::failed, answered.owner = "o", answered.fingerprint = 9;
  answered.until = kS, answered.remember = 5'000;
  image.apply(2, {10, taken(7, kS)});
  image.apply(3, {20, answered});
  EXPECT_TRUE(image.delivered_answers().empty());
  image.apply(4, {30, record::Gone{7}});
  EXPECT_TRUE(image.answers().empty());
  ASSERT_EQ(image.delivered_answers().count(7), 1u);
  // Reading only the rewritten record gives the same state.
  StateImage later;
  Record anew;
  ASSERT_EQ(image.remembered_records().size(), 1u);
  const auto bytes = encode({40, image.remembered_records().front()});
  ASSERT_TRUE(decode(bytes, anew).ok());
  later.apply(1, anew);
  ASSERT_EQ(later.delivered_answers().count(7), 1u);
  const auto& read_back = later.delivered_answers().at(7).answer;
  EXPECT_EQ(read_back.owner_hash, hash_of_owner("o"));
  EXPECT_EQ(read_back.fingerprint, 9u);
  EXPECT_EQ(read_back.verdict, record::Verdict::failed);
  EXPECT_EQ(read_back.until, 5'000);
  later.apply(2, {50, taken(7, kS)});
  EXPECT_TRUE(later.held().empty());
  image.expire_delivered_answers(4'999, 10'000);
  EXPECT_EQ(image.delivered_answers().size(), 1u);
  image.expire_delivered_answers(5'000, 10'000);
  EXPECT_TRUE(image.delivered_answers().empty());
  later.expire_delivered_answers(0, 0);  // a limit of 0 bytes
  EXPECT_EQ(later.oldest_needed(), 0u);
  EXPECT_EQ(later.approximate_bytes(), 0u);
  // An answer delivered after its time is up is not remembered.
  image.apply(5, {60, answered});
  image.apply(6, {5'001, record::Gone{7}});
  EXPECT_TRUE(image.delivered_answers().empty());
}

// Rewritten records replace all earlier ones: a log that begins with them gives the same state.
TEST(Image, WhatIsCarriedStandsForAllBeforeIt) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 50; round++) {
    StateImage image;
    Sequence next = 1;
    image.apply(next++, {1, record::Base{"boot", 1, 1, 1, 0, 1}});
    for (int i = 0; i < 300; i++) {
      const Time at = 10 + i;
      const MessageId id = 1 + random() % 20;
      const auto endpoint = "e" + std::to_string(random() % 4);
      Record r{at, taken(id, at + kS)};
      switch (random() % 8) {
        case 0:
          r.what = record::Sending{id, {static_cast<int>(random() % 5), endpoint, 1, at}};
          break;
        case 1:
          r.what = record::Ended{id, static_cast<int>(random() % 5), random() % 2 == 0, "x"};
          break;
        case 2:
          r.what = record::Answered{id,
                                    record::Verdict::served,
                                    0,
                                    "pay",
                                    1,
                                    "201",
                                    "bank",
                                    "",
                                    "k",
                                    "o",
                                    9,
                                    random() % 3 == 0 ? 0 : at + kS,
                                    random() % 2 == 0 ? 0 : at + 500};
          break;
        case 3:
          r.what = record::Gone{id};
          break;
        case 4:
          r.what = record::Told{endpoint, at + 1'000 + static_cast<Time>(random() % 50)};
          break;
        case 5:
          r.what = record::Seen{endpoint, static_cast<action::Health>(random() % 3), at, 2.5};
          break;
        default:
          break;
      }
      image.apply(next++, r);
    }
    const auto before = text_of(image);
    StateImage later;
    for (const Sequence from = next; image.oldest_needed() < from;) {
      const auto r = image.oldest_item_record(400);
      Record again;
      ASSERT_TRUE(decode(encode(r), again).ok());
      image.apply(next, r), later.apply(next, again), next++;
    }
    EXPECT_EQ(text_of(image), before);
    EXPECT_EQ(text_of(later), before);
    EXPECT_EQ(later.item_count(), image.item_count());
  }
}

// A message never gets more time than it had left, whatever the clocks do. Within one boot only the monotonic
// clock counts.
TEST(Recovery, ClocksAcrossStarts) {
  const auto left = [](const Clock& now) {
    StateImage image;
    image.apply(1, {100 * kS, record::Base{"a", 100 * kS, 1'000 * kS, 1, 0, 1}});
    image.apply(2, {110 * kS, taken(1, 130 * kS)});  // 20 s were left at the last record
    const auto base = make_base(image, now);
    image.apply(3, {now.monotonic, base});
    return image.held().at(1).state.deadline - now.monotonic;
  };
  EXPECT_EQ(left({"a", 115 * kS, 1'015 * kS}), 15 * kS);
  EXPECT_EQ(left({"a", 115 * kS, 5 * kS}), 15 * kS);          // the wall clock was moved
  EXPECT_EQ(left({"b", 3 * kS, 1'018 * kS}), 12 * kS);        // another boot, 18 s after the Base
  EXPECT_EQ(left({"b", 3 * kS, 500 * kS}), 20 * kS);          // and the wall clock was moved back
  EXPECT_EQ(left({"b", 300 * kS, 9'000 * kS}), -7'970 * kS);  // long past its deadline
}

TEST(Records, ALaterVersionsAreRefusedOrPassedOverAsTheySay) {
  Record r;
  EXPECT_EQ(decode(std::string("\x10\x03", 2), r).status,
            DecodeResult::Status::newer_version);               // least_reader 3
  EXPECT_TRUE(decode(std::string("\xa2\x06\x00", 3), r).ok());  // an unknown kind
  EXPECT_TRUE(std::holds_alternative<record::Unknown>(r.what));
  EXPECT_EQ(decode("\xff\xff", r).status, DecodeResult::Status::malformed);
}

// A writer on a faulty folder, with until() acting as the owner's thread.
struct WriterFixture {
  std::mutex mutex;
  std::vector<std::function<void()>> posted;
  std::atomic<int> error{0};       // errno of calls that need space on the device; 0: none
  std::atomic<int> sync_error{0};  // errno of syncs; 0: none
  std::unique_ptr<store::Writer> writer;
  explicit WriterFixture(std::size_t segments = 16) {
    auto files = std::make_unique<FaultyFiles>(1);
    files->before_call = [this](const char* call) -> std::error_code {
      const std::string name = call;
      if (name == "sync") return {sync_error.load(), std::generic_category()};
      if (name == "write" || name == "allocate" || name == "create")
        return {error.load(), std::generic_category()};
      return {};
    };
    store::WriterSettings s;
    s.log.segment_size = 4'096, s.log.record_size_max = 1'000, s.log.segments_max = segments;
    writer = std::make_unique<store::Writer>(std::move(files), s, 1,
                                             store::Writer::Ports{[this](std::function<void()> f) {
                                                                    const std::lock_guard lock(mutex);
                                                                    posted.push_back(std::move(f));
                                                                  },
                                                                  [] {}});
    EXPECT_FALSE(writer->open([](store::Sequence, std::string_view) {}).problem);
  }
  // Runs posted functions until `done`, for at most 30,000 turns of 1 ms.
  template <class Done>
  void until(Done done) {
    for (int i = 0; i < 30'000 && !done(); i++) {
      std::vector<std::function<void()>> now;
      {
        const std::lock_guard lock(mutex);
        now.swap(posted);
      }
      for (auto& f : now) f();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ASSERT_TRUE(done());
  }
};

TEST(Writer, AFullDeviceIsToldAndPasses) {
  WriterFixture w;
  store::Sequence last = 0;
  for (int i = 0; i < 100; i++) last = w.writer->append(std::string(100, 'a'));
  w.until([&] { return w.writer->durable() == last; });
  EXPECT_TRUE(w.writer->has_room());
  w.error = ENOSPC;
  for (int i = 0; i < 100; i++) last = w.writer->append(std::string(100, 'b'));
  w.until([&] { return w.writer->state() == store::Writer::State::blocked; });
  EXPECT_FALSE(w.writer->has_room());
  EXPECT_NE(w.writer->problem().find("No space"), std::string::npos);
  EXPECT_LT(w.writer->durable(), last);
  w.error = 0;
  w.until([&] { return w.writer->durable() == last && w.writer->state() == store::Writer::State::healthy; });
  EXPECT_TRUE(w.writer->has_room());
}

TEST(Writer, AFailedSyncIsNeverTrustedAgain) {
  WriterFixture w;
  w.sync_error = EIO;
  EXPECT_NE(w.writer->append("a"), 0u);
  w.until([&] { return w.writer->state() == store::Writer::State::failed; });
  w.sync_error = 0;
  EXPECT_EQ(w.writer->append("b"), 0u);
  EXPECT_EQ(w.writer->durable(), 0u);
  EXPECT_FALSE(w.writer->has_room());
}

TEST(Writer, TheBoundStopsTakingAndReleasesMakeRoom) {
  WriterFixture w(8);
  store::Sequence last = 0;
  while (w.writer->has_room()) last = w.writer->append(std::string(500, 'a'));
  // The other half of the limit is for records that must still be written.
  for (int i = 0; i < 10; i++) last = w.writer->append(std::string(500, 'b'));
  w.until([&] { return w.writer->durable() == last; });
  EXPECT_FALSE(w.writer->has_room());
  w.writer->release(last);
  w.until([&] { return w.writer->has_room(); });
}

}  // namespace
}  // namespace cedarplank::testing
