// Short runs in virtual time of core, module, journal coordinator and log on an in-memory file system. The
// machine crashes at each call that changes a file, and again during the recovery; data that was not synced
// is lost in any part and order. The run is checked by what clients and partner observed.
#include <gtest/gtest.h>

#include <memory>
#include <random>

#include "faulty_files.hpp"
#include "journal/coordinator.hpp"
#include "journal/recovery.hpp"
#include "store/log.hpp"

namespace cedarplank::testing {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;

Settings settings() {
  Settings s;
  for (const auto effect : {Effect::safe, Effect::unsafe, Effect::keyed}) {
    ClassSettings c;
    c.aim = 1 * kS, c.deadline = 10 * kS, c.effect = effect, c.key_window = 8 * kS;
    s.classes.push_back(c);
  }
  s.kinds.push_back({});
  s.slots = 50, s.open_max = 100, s.attempts_max = 4, s.retry_after_max = 4 * kS;
  return s;
}

// What survives a crash of the relay: clients, the partner and the disk.
struct Environment {
  explicit Environment(std::uint64_t seed) : files(seed), random(seed) {}
  struct Message {
    int cls = 0;
    MessageId id = 0;  // in this run; 0: not submitted yet
    bool acknowledged = false;
    int effects = 0;
    char final = 0;
    int final_run = 0;
  };
  FaultyFiles files;
  std::mt19937_64 random;
  std::vector<Message> messages;
  Time now = 1 * kS, told_until = 0;
  bool told_durable = false;
  int told_run = 0, run = 0;
  journal::DurabilityWaits waits;
  std::vector<std::string> violations;
  void report(std::size_t m, const std::string& why) {
    violations.push_back("message " + std::to_string(m) + ", run " + std::to_string(run) + ": " + why);
  }
};

// One run of the relay, until all messages are answered or the machine crashes.
class RelayRun final : public relay::Transport,
                       public relay::AnswerSink,
                       public relay::ListSource,
                       public relay::PeerChannel,
                       public relay::Log {
 public:
  explicit RelayRun(Environment& o) : o_(o), log_(o.files, log_settings(), 7) {
    o_.run++;
    journal::StateImage image;
    const auto opened = log_.open([&](store::Sequence s, std::string_view bytes) {
      journal::Record r;
      EXPECT_TRUE(journal::decode(bytes, r).ok());
      image.apply(s, r);
    });
    EXPECT_FALSE(opened.problem) << opened.problem->text;
    const auto base = journal::make_base(image, {"boot", o_.now, o_.now});
    const auto found = journal::recover(
        image, o_.now,
        {.destination = [](const std::string&) { return DestinationId{0}; },
         .message_class = [](const std::string& name) { return std::optional<int>(name[0] - 'a'); },
         .tenant = [](const std::string&) { return std::optional<int>(); }});
    next_id_ = image.next_id();
    journal::JournalCoordinatorSettings k;
    k.classes = settings().classes, k.class_names = {"a", "b", "c"};
    k.window_bytes = 3'000;
    keeper_ = std::make_unique<journal::JournalCoordinator>(
        k, std::move(image),
        journal::JournalCoordinator::Ports{.transport = *this,
                                           .answers = *this,
                                           .destination_name = [](DestinationId) { return std::string("d"); },
                                           .append = [this](const std::string& bytes) -> journal::Sequence {
                                             const auto s = log_.next();
                                             return log_.append(bytes) == store::Log::AppendResult::appended
                                                        ? s
                                                        : 0;
                                           },
                                           .release = [this](journal::Sequence upto) { log_.release(upto); },
                                           .call_dropped = {}},
        o_.waits);
    core_ = std::make_unique<relay::Core>(
        settings(), relay::make_dispatcher(settings(), 1),
        relay::Core::Ports{*keeper_, *keeper_, *this, *this, *this, nullptr, keeper_.get()});
    keeper_->write_base(base, o_.now);
    core_->list_whole({{"e1", 0, 0, 0, Listing::active, 1, 0}, {"e2", 0, 0, 0, Listing::active, 1, 0}},
                      false);
    for (const auto& w : found.known_endpoints) core_->restore_endpoint(w);
    for (const auto& m : found.messages)
      core_->restore(o_.now, m.id, m.message, m.deadline, m.prior_attempts);
    ask_again();
  }

  void play() {
    for (int step = 0; step < 4'000 && !all_answered(); step++) {
      o_.now += 5 * kMs;
      for (std::size_t i = 0; i < o_.messages.size(); i++)
        if (o_.messages[i].id == 0 && o_.messages[i].final == 0 && static_cast<Time>(i) * 10 * kMs < o_.now)
          hand_in(i);
      for (auto it = calls_.begin(); it != calls_.end();) {
        if (it->second.at > o_.now) {
          ++it;
          continue;
        }
        const auto [id, call] = *it;
        it = calls_.erase(it);
        end(id, call);
        commit();
      }
      core_->run_due(o_.now);
      commit();
      keeper_->compact(o_.now, {.items = 5});
    }
    EXPECT_TRUE(all_answered()) << "a message has no final answer";
  }

  // relay::Transport
  void send(const relay::OutgoingCall& order) override {
    const std::size_t m = number(*order.message);
    auto& message = o_.messages[m];
    if (message.final != 0) o_.report(m, "rule 1: sent after its final answer");
    if (o_.now < o_.told_until && o_.told_durable) o_.report(m, "rule 6: sent while told to wait");
    Call call{m, o_.now + static_cast<Time>(5 + o_.random() % 40) * kMs, 0};
    const auto draw = o_.random() % 16;
    call.outcome = draw < 9 ? 's' : draw < 11 ? 'f' : draw < 12 ? 'w' : draw < 14 ? 'l' : 'r';
    // Bytes that were sent take effect, whatever happens to the relay.
    if (call.outcome == 's' || call.outcome == 'l') {
      const bool repeat = message.cls == 2 && message.effects > 0;
      if (!repeat && ++message.effects > 1 && message.cls != 0) o_.report(m, "rule 2: an effect twice");
    }
    calls_[order.id] = call;
  }
  CancelResult cancel(relay::CallId id) override {
    calls_.erase(id);
    return CancelResult::sent;
  }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  // relay::AnswerSink
  void served(MessageId id, const relay::CallResult&) override { answer(id, 's'); }
  void refused(MessageId id, Time, const relay::AttemptSummary&) override { answer(id, 'r'); }
  void failed(MessageId id, const relay::AttemptSummary&) override { answer(id, 'f'); }
  void fetch() override {}
  void subscribe(bool) override {}
  void send_note(int, const std::string&) override {}
  void line(const std::string&) override {}

 private:
  struct Call {
    std::size_t message = 0;
    Time at = 0;
    char outcome = 0;  // s served, f full, w full with a told wait, l effect without an answer, r reset
  };
  static store::LogSettings log_settings() {
    store::LogSettings s;
    s.segment_size = 4'096, s.segments_max = 64, s.spares_max = 1, s.record_size_max = 2'000;
    return s;
  }
  static std::size_t number(const relay::NewMessage& m) { return std::stoul(m.idempotency_key); }

  void commit() {
    ASSERT_FALSE(log_.commit());
    if (o_.told_run == o_.run) o_.told_durable = true;
    keeper_->mark_durable(log_.durable());
  }
  void hand_in(std::size_t i) {
    auto& m = o_.messages[i];
    relay::NewMessage message;
    message.message_class = m.cls, message.time_left = 10 * kS;
    message.idempotency_key = std::to_string(i), message.body = std::string(100, 'b');
    m.id = next_id_++;
    ASSERT_EQ(core_->accept(o_.now, m.id, std::move(message)), relay::Core::AcceptStatus::accepted);
    keeper_->when_durable(m.id, [this, i] { o_.messages[i].acknowledged = true; });
  }
  // Clients ask, under their keys, for the answers that they don't have yet.
  void ask_again() {
    for (std::size_t i = 0; i < o_.messages.size(); i++) {
      auto& m = o_.messages[i];
      const auto id = keeper_->image().find("", "d", std::to_string(i));
      const bool kept = id && keeper_->image().answers().count(*id) > 0;
      if (m.final != 0 && !kept) o_.report(i, "rule 1: its answer is forgotten");
      if (m.final == 0 && !id && m.acknowledged) o_.report(i, "rule 1: lost after it was acknowledged");
      if (m.final != 0) continue;
      m.id = id ? *id : 0;
      if (!kept) continue;
      static constexpr char kVerdicts[] = {'s', 'r', 'f'};
      deliver(i, kVerdicts[static_cast<int>(keeper_->image().answers().at(*id).answered.verdict)]);
    }
  }
  void end(relay::CallId id, const Call& call) {
    switch (call.outcome) {
      case 's':
        return core_->call_ended(o_.now, id, {Outcome::served, 0, {}, "201", {}});
      case 'w':
        o_.told_until = o_.now + 300 * kMs, o_.told_durable = false, o_.told_run = o_.run;
        return core_->call_ended(o_.now, id, {Outcome::full, 300 * kMs, {}, "429", {}});
      case 'f':
        return core_->call_ended(o_.now, id, {Outcome::full, 0, {}, "429", {}});
      default:
        return core_->call_ended(o_.now, id, {Outcome::reset, 0, {}, "reset", {}});
    }
  }
  void answer(MessageId id, char verdict) {
    for (std::size_t i = 0; i < o_.messages.size(); i++)
      if (o_.messages[i].id == id) deliver(i, verdict);
  }
  void deliver(std::size_t i, char verdict) {
    auto& m = o_.messages[i];
    if (m.final != 0) o_.report(i, "rule 1: two final answers");
    if (verdict == 'r' && m.cls == 1 && m.effects > 0) o_.report(i, "rule 2: refused, and it had an effect");
    m.final = verdict, m.final_run = o_.run;
  }
  bool all_answered() const {
    for (const auto& m : o_.messages)
      if (m.final == 0) return false;
    return true;
  }

  Environment& o_;
  store::Log log_;
  std::unique_ptr<journal::JournalCoordinator> keeper_;
  std::unique_ptr<relay::Core> core_;
  std::map<relay::CallId, Call> calls_;
  MessageId next_id_ = 1;
};

struct Played {
  std::size_t calls = 0;  // that change a file
  std::string violation;  // the first one; empty: none
};
// The machine crashes at the `first`th call that changes a file, and at the `second`th after that (0: no
// crash).
Played play(std::uint64_t seed, std::size_t first, std::size_t second, std::size_t short_writes,
            journal::DurabilityWaits waits = {}) {
  Environment o(seed);
  o.files.short_writes = short_writes, o.waits = waits;
  for (int i = 0; i < 18; i++) {
    Environment::Message m;
    m.cls = i % 3;
    o.messages.push_back(m);
  }
  Played played;
  std::size_t until = first;
  o.files.before_call = [&](const char*) -> std::error_code {
    played.calls++;
    if (until > 0 && --until == 0) throw Crash{};
    return {};
  };
  for (const std::size_t next : {second, std::size_t{0}, std::size_t{0}}) {
    try {
      RelayRun run(o);
      run.play();
      break;
    } catch (const Crash&) {
      o.files.crash();
      until = next;
    }
  }
  if (!o.violations.empty())
    played.violation = o.violations.front() + " (seed " + std::to_string(seed) + ", calls " +
                       std::to_string(first) + " and " + std::to_string(second) + ")";
  return played;
}

TEST(JournalCrash, AtEveryWriteOfAShortRun) {
  std::size_t runs = 0;
  for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); seed++) {
    const std::size_t short_writes = seed % 2 == 0 ? 29 : 0;
    const std::size_t calls = play(seed, 0, 0, short_writes).calls;
    ASSERT_GT(calls, 30u);
    for (std::size_t at = 1; at <= calls && !HasFailure(); at++, runs++)
      EXPECT_EQ(play(seed, at, 0, short_writes).violation, "");
  }
  std::cout << runs << " crashes\n";
}

// A second crash during the recovery or soon after it.
TEST(JournalCrash, AgainInTheRecovery) {
  std::size_t runs = 0;
  for (std::uint64_t seed = 11; seed <= 13 && !HasFailure(); seed++) {
    const std::size_t calls = play(seed, 0, 0, 0).calls;
    for (std::size_t at = 2; at <= calls; at += 7)
      for (std::size_t again = 1; again <= 25 && !HasFailure(); again++, runs++)
        EXPECT_EQ(play(seed, at, again, 0).violation, "");
  }
  std::cout << runs << " double crashes\n";
}

// With one wait switched off some crash must show a violation.
TEST(JournalCrash, EachMissingWaitShows) {
  const auto shows = [](journal::DurabilityWaits waits) {
    for (std::uint64_t seed = 1; seed <= 6; seed++)
      for (std::size_t at = 1, calls = play(seed, 0, 0, 0).calls; at <= calls; at++)
        if (!play(seed, at, 0, 0, waits).violation.empty()) return true;
    return false;
  };
  EXPECT_TRUE(shows({.risky_sends = false}));
  EXPECT_TRUE(shows({.answers = false}));
  EXPECT_TRUE(shows({.acknowledgement = false}));
}

}  // namespace
}  // namespace cedarplank::testing
