// Tests of the platform's journal where each call that changes a file fails once, for a while or permanently,
// and the process is killed after each step: the next start must find every accepted message, and none whose
// final answer was sent.
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "faulty_files.hpp"
#include "platform/journal.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kHour = 3'600'000'000;
constexpr int kSteps = 8;  // messages

// Passes calls on to a folder that outlives the journals opened on it.
class SharedFolder final : public store::Files {
 public:
  explicit SharedFolder(testing::FaultyFiles& files) : files_(files) {}
  std::error_code open(const std::string& name, OpenMode how, std::unique_ptr<store::File>& out) override {
    return files_.open(name, how, out);
  }
  std::error_code list(std::vector<std::string>& names) override { return files_.list(names); }
  std::error_code rename(const std::string& from, const std::string& to) override {
    return files_.rename(from, to);
  }
  std::error_code remove(const std::string& name) override { return files_.remove(name); }
  std::error_code sync_folder() override { return files_.sync_folder(); }

 private:
  testing::FaultyFiles& files_;
};

// Stands for endpoints and clients: records which messages were sent, acknowledged and answered.
class RecordingHost final : public relay::Transport, public relay::AnswerSink {
 public:
  void send(const relay::OutgoingCall& call) override { sent.insert(call.message_id); }
  CancelResult cancel(relay::CallId) override { return CancelResult::sent; }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  void served(MessageId id, const relay::CallResult&) override { answered.insert(id); }
  void refused(MessageId id, Time, const relay::AttemptSummary&) override { answered.insert(id); }
  void failed(MessageId id, const relay::AttemptSummary&) override { answered.insert(id); }
  std::set<MessageId> acknowledged, sent, answered;
};

constexpr std::uint64_t kDisk = 3'000'000;  // bytes

// `delivered_answers_for`: how long delivered answers are remembered; 0: not at all.
std::unique_ptr<Journal> open(loop::Loop& loop, testing::FaultyFiles& files, RecordingHost& host,
                              std::uint64_t disk = kDisk, Time delivered_answers_for = 0) {
  Journal::Settings settings;
  settings.folder = "folder", settings.disk = disk;
  settings.coordinator.delivered_answers_for = delivered_answers_for;
  settings.open = [&files](const std::string&) { return std::make_unique<SharedFolder>(files); };
  ClassSettings safe, unsafe;
  safe.effect = Effect::safe, unsafe.effect = Effect::unsafe;
  settings.coordinator.classes = {safe, unsafe}, settings.coordinator.class_names = {"safe", "unsafe"};
  auto journal = std::make_unique<Journal>(
      loop, std::move(settings),
      Journal::Ports{host, host, [](relay::CallId, const relay::CallResult&) {}, [] {}},
      [](const std::string&) {});
  journal->coordinator().write_base(journal::make_base(journal->image(), {"boot", loop.now(), loop.now()}),
                                    loop.now());
  journal->commit();
  return journal;
}

// Accepts, sends and, for even ids, ends one message, with a commit after each step, as in the relay's loop.
void process_message(Journal& journal, RecordingHost& host, MessageId id, Time now) {
  auto message = std::make_shared<relay::NewMessage>();
  message->owner = "m-" + std::to_string(id), message->body = "hello", message->message_class = 1;
  auto& coordinator = journal.coordinator();
  coordinator.set_time(now);
  coordinator.message_accepted(id, message, now + kHour);
  journal.commit();
  if (!journal.stalled()) host.acknowledged.insert(id);
  relay::OutgoingCall call;
  call.id = id, call.endpoint = "e", call.message_id = id, call.message = message;
  coordinator.send(call);
  journal.commit();
  if (id % 2 == 0) coordinator.refused(id, 0, {});
  journal.commit();
}

// What was acknowledged or sent must be in the journal; what was answered must not be held.
void expect_consistent(const Journal& journal, const RecordingHost& host, const std::string& context) {
  const auto& held = journal.image().held();
  for (const auto id : host.acknowledged)
    EXPECT_TRUE(held.count(id) > 0 || journal.image().answers().count(id) > 0) << context << ": lost " << id;
  for (const auto id : host.answered)
    EXPECT_EQ(held.count(id), 0u) << context << ": answered and held " << id;
  for (const auto id : host.sent)
    EXPECT_TRUE(held.count(id) == 0 || !held.at(id).state.out.empty())
        << context << ": sent without a record " << id;
}

class PlatformJournal : public ::testing::TestWithParam<int> {};

TEST_P(PlatformJournal, WhicheverCallFailsAndWhereverItIsKilledTheOrderHolds) {
  const int failing_calls = GetParam();  // consecutive calls that fail
  for (const auto error : {std::errc::no_space_on_device, std::errc::io_error})
    for (int first = 0; first < 30; first++)
      for (int steps = 1; steps <= kSteps; steps++) {
        testing::FaultyFiles files(static_cast<std::uint64_t>(first * 100 + steps));
        int calls = 0;
        files.before_call = [&](const char*) {
          const int call = calls++;
          return call >= first && call < first + failing_calls ? std::make_error_code(error)
                                                               : std::error_code();
        };
        loop::Loop loop;
        RecordingHost host;
        auto journal = open(loop, files, host);
        for (int i = 1; i <= steps; i++)
          process_message(*journal, host, static_cast<MessageId>(i), loop.now());
        journal.reset();  // as SIGKILL
        files.before_call = nullptr;
        RecordingHost next;
        journal = open(loop, files, next);
        expect_consistent(*journal, host,
                          std::to_string(first) + "+" + std::to_string(failing_calls) + " after " +
                              std::to_string(steps) + " messages");
        ASSERT_FALSE(HasFailure());
      }
}

TEST_P(PlatformJournal, OnceCallsSucceedAgainAllIsWrittenAndTold) {
  const int failing_calls = std::min(GetParam(), 40);
  for (int first = 0; first < 30; first++) {
    testing::FaultyFiles files(static_cast<std::uint64_t>(first));
    int calls = 0;
    files.before_call = [&](const char*) {
      const int call = calls++;
      return call >= first && call < first + failing_calls ? std::make_error_code(std::errc::io_error)
                                                           : std::error_code();
    };
    loop::Loop loop;
    RecordingHost host;
    const auto journal = open(loop, files, host);
    for (int i = 1; i <= kSteps; i++) process_message(*journal, host, static_cast<MessageId>(i), loop.now());
    for (int i = 0; i < 60 && journal->stalled(); i++) journal->commit();
    EXPECT_FALSE(journal->stalled()) << first;
    EXPECT_EQ(host.answered.size(), kSteps / 2u) << first;
    EXPECT_EQ(host.sent.size(), static_cast<std::size_t>(kSteps)) << first;
  }
}

// The first record is damaged: the contents of the others must be found however often a start on this log
// fails and is killed.
TEST_P(PlatformJournal, ADamagedLogIsWrittenAnewWithoutLosingWhatCanBeRead) {
  for (int first = 0; first < 20; first++) {
    testing::FaultyFiles files(static_cast<std::uint64_t>(first));
    loop::Loop loop;
    RecordingHost host;
    auto journal = open(loop, files, host);
    for (int i = 1; i <= kSteps; i++) process_message(*journal, host, static_cast<MessageId>(i), loop.now());
    journal.reset();
    constexpr std::size_t kInFirstRecord = store::Log::kSegmentHeaderSize + store::Log::kRecordHeaderSize + 2;
    files.bytes_of(files.names().begin()->first)[kInFirstRecord] ^= 1;
    int calls = 0;
    files.before_call = [&](const char*) {
      const int call = calls++;
      return call >= first && call < first + GetParam() ? std::make_error_code(std::errc::io_error)
                                                        : std::error_code();
    };
    for (int start = 0; start < 3; start++) {
      RecordingHost next;
      journal = open(loop, files, next);
      expect_consistent(*journal, host, "start " + std::to_string(start) + ", " + std::to_string(first));
      for (int i = 0; i < 5; i++)
        journal->coordinator().compact(loop.now(), {.items = 64}), journal->commit();
      journal.reset();
    }
    files.before_call = nullptr;
    RecordingHost next;
    journal = open(loop, files, next);
    expect_consistent(*journal, host, "last start, " + std::to_string(first));
  }
}

INSTANTIATE_TEST_SUITE_P(CallsThatFail, PlatformJournal, ::testing::Values(1, 5, 100'000));

// A message whose time is up would not be sent by a later start, so its final answer may be sent before it is
// recorded: the client must get it in time. Any other final answer waits for its record.
TEST(PlatformJournalStalled, AnAnswerWhoseTimeIsUpIsToldWithoutItsRecordAndNoOther) {
  testing::FaultyFiles files(1);
  loop::Loop loop;
  RecordingHost host;
  const auto journal = open(loop, files, host);
  auto& coordinator = journal->coordinator();
  for (const auto& [id, left] : {std::pair<MessageId, Time>{1, -1}, {2, kHour}}) {
    auto message = std::make_shared<relay::NewMessage>();
    message->owner = "m-" + std::to_string(id);
    coordinator.message_accepted(id, message, loop.now() + left);
  }
  journal->commit();
  files.before_call = [](const char*) { return std::make_error_code(std::errc::io_error); };
  coordinator.refused(1, 0, {});
  coordinator.refused(2, 0, {});
  journal->commit();
  EXPECT_EQ(host.answered, std::set<MessageId>{1});
  EXPECT_STREQ(journal->rejection_reason(relay::NewMessage()), "the journal can't be written now");
  files.before_call = nullptr;
  journal->commit();
  EXPECT_EQ(host.answered, (std::set<MessageId>{1, 2}));
  EXPECT_EQ(journal->rejection_reason(relay::NewMessage()), nullptr);
}

// Guards against messages that are accepted, and acknowledged, although nothing is written any more.
TEST(PlatformJournalEnd, AJournalThatHasEndedAcceptsAndConfirmsNothing) {
  using AcceptanceRecord = journal::JournalCoordinator::AcceptanceRecord;
  testing::FaultyFiles files(1);
  loop::Loop loop;
  RecordingHost host;
  const auto journal = open(loop, files, host);
  auto& coordinator = journal->coordinator();
  const auto message = std::make_shared<relay::NewMessage>();
  coordinator.message_accepted(1, message, loop.now() + kHour);
  journal->commit();
  coordinator.message_accepted(2, message, loop.now() + kHour);
  coordinator.fail("test");
  coordinator.message_accepted(3, message, loop.now() + kHour);
  EXPECT_TRUE(journal->ended());
  EXPECT_STREQ(journal->rejection_reason(*message), "the journal accepts no more records");
  EXPECT_EQ(coordinator.acceptance_record(1), AcceptanceRecord::durable);
  EXPECT_EQ(coordinator.acceptance_record(2), AcceptanceRecord::rejected);
  EXPECT_EQ(coordinator.acceptance_record(3), AcceptanceRecord::rejected);
}

// Messages of 64,000 bytes of a journal on 3 MB, a third of which they may take.
class LargeMessages : public ::testing::Test {
 protected:
  static constexpr std::size_t kBody = 64'000;

  std::shared_ptr<relay::NewMessage> message(std::size_t body) {
    auto m = std::make_shared<relay::NewMessage>();
    m->owner = "m-" + std::to_string(next_id), m->body = std::string(body, 'b');
    return m;
  }
  // Accepts a message unless the journal has no room. Returns whether it did.
  bool accept(std::size_t body) {
    const auto m = message(body);
    if (journal->rejection_reason(*m) != nullptr) return false;
    journal->coordinator().set_time(loop.now());
    journal->coordinator().message_accepted(next_id, m, loop.now() + kHour);
    held.push_back(next_id++);
    return true;
  }
  // An attempt of each held message that ends without effect.
  void try_all() {
    for (const auto id : held) {
      relay::OutgoingCall call;
      call.id = id, call.endpoint = "e", call.message_id = id, call.message = message(1);
      journal->coordinator().send(call);
      journal->coordinator().attempt_ended(call, {Outcome::full, 0, {}, "503", {}});
    }
    journal->commit();
  }
  void end_last() {
    held.push_front(held.back());
    held.pop_back();
    end_first();
  }
  void end_first() {
    journal->coordinator().refused(held.front(), 0, {});
    journal->coordinator().answer_delivered(held.front());
    held.pop_front();
  }
  void end_all() {
    while (!held.empty()) end_first();
    journal->commit();
  }
  // Messages of another partner, which end at once.
  void pass_others() {
    for (int i = 0; i < 10; i++) {
      ASSERT_TRUE(accept(5'000));
      end_last();
    }
  }
  void run_for(Time time) {
    const Time end = loop::monotonic_now() + time;
    while (loop::monotonic_now() < end) loop.run_once(5'000);
  }

  testing::FaultyFiles files{1};
  loop::Loop loop;
  RecordingHost host;
  std::unique_ptr<Journal> journal = open(loop, files, host);
  std::deque<MessageId> held;
  MessageId next_id = 1;
};

// Guards against a log that is filled by the messages of one turn, before any of them is written, and then
// accepts nothing until a restart.
TEST_F(LargeMessages, OneTurnDoesNotFillTheLog) {
  for (int i = 0; i < 9; i++) {
    ASSERT_TRUE(accept(kBody));
    journal->commit();
  }
  end_all();
  while (accept(kBody)) {
  }
  journal->commit();
  EXPECT_FALSE(journal->stalled());
  end_all();
  run_for(400'000);
  EXPECT_TRUE(accept(kBody));
}

// Guards against a log that is filled by what compaction writes anew, before the old records are released,
// and that then accepts nothing until a restart.
TEST_F(LargeMessages, WhatIsWrittenAnewDoesNotFillTheLog) {
  // 13 of 20 segments, each with one message of which two in three go on being held, and others that have
  // ended.
  for (int i = 0; i < 13; i++) {
    ASSERT_TRUE(accept(kBody));
    if (i % 3 == 2) end_last();
    pass_others();
    journal->commit();
  }
  ASSERT_EQ(held.size(), 9u);
  run_for(400'000);
  EXPECT_FALSE(journal->stalled());
  EXPECT_EQ(journal->image().held().size(), 9u);
  EXPECT_TRUE(accept(500)) << "what was written anew has made no room";
  end_all();
  run_for(400'000);
  EXPECT_TRUE(accept(kBody));
  journal->commit();
  EXPECT_FALSE(journal->stalled());
}

// Guards against the same while messages come and go, of drawn sizes and for drawn times.
TEST_F(LargeMessages, WhateverComesAndGoesTheJournalAcceptsAgain) {
  std::mt19937 random(20'261'204);
  std::size_t accepted = 0;
  for (int round = 0; round < 400; round++) {
    for (std::size_t n = random() % 6; n > 0; n--) accepted += accept(random() % 2 == 0 ? kBody : 500);
    journal->commit();
    if (random() % 4 == 0) try_all();
    if (round % 100 >= 60) {  // the partner is open: what is held ends, a few at a time
      for (int n = 0; n < 4 && !held.empty(); n++) end_first();
      journal->commit();
    }
    run_for(5'000);
    ASSERT_FALSE(journal->stalled()) << "round " << round;
  }
  EXPECT_GT(accepted, 200u);
  end_all();
  run_for(400'000);
  EXPECT_TRUE(accept(kBody));
  // The next start finds what is held.
  journal->commit();
  journal.reset();
  journal = open(loop, files, host);
  EXPECT_EQ(journal->image().held().size(), 1u);
}

// What the next process knows of messages that have ended.
class EndedMessages : public ::testing::Test {
 protected:
  static constexpr Time kDeadline = 24'000'000;    // of a message, us
  static constexpr Time kRemembered = 60'000'000;  // us
  static constexpr std::size_t kMessagesPerTurn = 50;
  static constexpr MessageId kMoreThanFit = 60'000;  // into the room of either folder

  void open_journal(std::uint64_t disk = kDisk) {
    journal.reset();
    journal = open(loop, files, host, disk, kRemembered);
  }
  // Accepts one more message. Returns false if it is refused.
  bool accept(Time deadline = kDeadline) {
    auto message = std::make_shared<relay::NewMessage>();
    message->owner = "9b1f03aa-5c7e-42d4-8a05-" + std::to_string(next_id), message->body = "10 crates";
    if (journal->rejection_reason(*message) != nullptr) return false;
    journal->coordinator().set_time(loop.now());
    journal->coordinator().message_accepted(next_id++, message, loop.now() + deadline);
    return true;
  }
  void deliver(MessageId id) {
    journal->coordinator().served(id, {});
    journal->commit();
    journal->coordinator().answer_delivered(id);
  }
  // Accepts and delivers so many messages, with the upkeep that the relay's loop does.
  void pass(std::size_t messages) {
    for (std::size_t i = 0; i < messages; i++) {
      ASSERT_TRUE(accept()) << "message " << next_id;
      deliver(next_id - 1);
      if (i % kMessagesPerTurn == 0) loop.run_once(5'000);
    }
    run_upkeep();
  }
  void run_upkeep() {
    const Time end = loop::monotonic_now() + 55'000;  // its interval is 50 ms
    while (loop::monotonic_now() < end) loop.run_once(5'000);
    journal->commit();
  }
  // Accepts one more message, once upkeep has made room if there is none.
  bool accept_after_upkeep(Time deadline = kDeadline) {
    if (accept(deadline)) return true;
    run_upkeep();
    return accept(deadline);
  }
  bool is_known(MessageId id) const {
    const auto& image = journal->image();
    return image.held().count(id) > 0 || image.answers().count(id) > 0 ||
           image.delivered_answers().count(id) > 0;
  }
  void expect_all_known() {
    for (MessageId id = 1; id < next_id; id++) ASSERT_TRUE(is_known(id)) << "message " << id;
  }

  testing::FaultyFiles files{1};
  loop::Loop loop;
  RecordingHost host;
  std::unique_ptr<Journal> journal;
  MessageId next_id = 1;
};

// Guards against a delivered message that comes again in its time after a kill and runs twice, because a
// crowd of later messages has pushed its end out of the folder.
TEST_F(EndedMessages, ACrowdOfOthersPushesOutNoEndThatIsOwed) {
  open_journal();
  for (int kills = 0; kills < 3; kills++) {
    pass(2'800);
    open_journal();  // as after a kill
    expect_all_known();
  }
}

// Guards against ends that are lost when the process is killed again and again while it writes them anew.
TEST_F(EndedMessages, EndsOutliveKillsWhileTheyAreWrittenAnew) {
  open_journal();
  for (int kills = 0; kills < 60; kills++) {
    for (int i = 0; i < 100; i++) {
      ASSERT_TRUE(accept());
      deliver(next_id - 1);
    }
    run_upkeep();
    for (int i = 0; i < kills % 5; i++) ASSERT_TRUE(accept());  // not committed
    next_id -= static_cast<MessageId>(kills % 5);
    open_journal();
    expect_all_known();
  }
}

// Guards against ends that are forgotten in their time, or a log that runs full, where the folder is too
// small for all: new messages are refused instead.
TEST_F(EndedMessages, NewMessagesAreRefusedBeforeAnOwedEndIsForgotten) {
  open_journal(1'000'000);
  while (next_id < kMoreThanFit && accept_after_upkeep()) deliver(next_id - 1);
  EXPECT_LT(next_id, kMoreThanFit);
  EXPECT_FALSE(journal->stalled());
  EXPECT_GT(next_id, 4'000u);
  open_journal(1'000'000);
  expect_all_known();
}

// Guards against notices that a restart no longer owes, because later ones have pushed them out.
TEST_F(EndedMessages, NoAnswerThatIsStillToBeToldIsPushedOut) {
  open_journal();
  while (next_id < kMoreThanFit && accept_after_upkeep()) {
    journal->coordinator().failed(next_id - 1, {});
    journal->commit();
  }
  EXPECT_FALSE(journal->stalled());
  run_upkeep();
  open_journal();
  EXPECT_EQ(journal->image().answers().size(), next_id - 1);
}

// Guards against refusals for ends that nobody is owed any more: they give way to new messages.
TEST_F(EndedMessages, EndsWhoseTimeIsUpGiveWay) {
  open_journal(1'000'000);
  for (int i = 0; i < 12'000; i++) {
    ASSERT_TRUE(accept_after_upkeep(-2'000'000)) << "message " << next_id;
    deliver(next_id - 1);
  }
}

}  // namespace
}  // namespace cedarplank::platform
