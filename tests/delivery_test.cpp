// The engine as a library: life cycle, communication between threads, and all ways to stop. Stand-in
// endpoints run on a thread of their own.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "engine/engine_access.hpp"
#include "engine/lifecycle.hpp"
#include "standin_thread.hpp"

namespace cedarplank::testing {
namespace {

using namespace delivery;

TEST(Lifecycle, EachStateAndInput) {
  using engine::Input;
  const auto next = [](State s, Input i) { return engine::step(s, i).next; };
  EXPECT_EQ(next(State::opening, Input::opened), State::running);
  EXPECT_EQ(next(State::opening, Input::open_failed), State::stopped);
  EXPECT_EQ(next(State::opening, Input::stop), State::stopped);
  EXPECT_EQ(next(State::running, Input::drain), State::draining);
  EXPECT_EQ(next(State::running, Input::stop), State::stopping);
  EXPECT_EQ(next(State::draining, Input::nothing_held), State::stopping);
  EXPECT_EQ(next(State::draining, Input::drain_deadline), State::stopping);
  EXPECT_EQ(next(State::draining, Input::stop), State::stopping);
  EXPECT_EQ(next(State::stopping, Input::all_answered), State::stopped);
  for (const auto i : {Input::opened, Input::open_failed, Input::drain, Input::nothing_held,
                       Input::drain_deadline, Input::stop, Input::all_answered}) {
    EXPECT_EQ(next(State::stopped, i), State::stopped);
    if (i != Input::all_answered) {
      EXPECT_EQ(next(State::stopping, i), State::stopping);
    }
  }
  EXPECT_TRUE(
      engine::step(State::draining, Input::drain).arm_deadline);  // a second drain may only shorten the first
  EXPECT_TRUE(engine::step(State::running, Input::stop).end_all);
  EXPECT_TRUE(engine::step(State::running, Input::stop).stop_accepting);
  EXPECT_FALSE(engine::accepts_submissions(State::draining));
}

struct Fixture {
  StandinThread standins;
  std::unique_ptr<Engine> engine;
  explicit Fixture(Options options = {}, const std::string& more = "") {
    standins.add("d", "");
    standins.add("mute", "silent");
    standins.start();
    engine = Engine::open(standins.settings_file(more), std::move(options));
  }
};
Message message(const std::string& cls = "status", const std::string& destination = "d") {
  static std::atomic<int> n{0};
  Message m;
  m.destination = destination, m.message_class = cls, m.body = "id=x" + std::to_string(n++) + ";";
  if (cls == "notice" || cls == "gate") m.idempotency_key = m.body;
  return m;
}

TEST(Delivery, AnswersByCallbackFutureAndQueue) {
  Fixture f;
  EXPECT_EQ(f.engine->submit_future(message()).get().final, Final::served);
  std::promise<Answer> called;
  const auto s = f.engine->submit(message("pay"), [&](const Answer& a) { called.set_value(a); });
  ASSERT_EQ(s.status, Submitted::taken);
  EXPECT_EQ(called.get_future().get().ticket, s.ticket);
  const auto queued = f.engine->submit(message());
  pollfd p{f.engine->descriptor(), POLLIN, 0};
  ASSERT_EQ(poll(&p, 1, 30'000), 1);
  std::vector<Answer> answers;
  while (f.engine->poll(answers) == 0) {
  }
  EXPECT_EQ(answers[0].ticket, queued.ticket);
  EXPECT_EQ(f.engine->submit_future(message("status", "nowhere")).get().final, Final::rejected);
  EXPECT_EQ(f.engine->submit(message("other")).status, Submitted::rejected);
  EXPECT_EQ(f.engine->snapshot().served, 3u);
}

TEST(Delivery, BackPressureIsSeenAndAQueueThatIsNeverReadIsBounded) {
  Options o;
  o.held_max = 50;
  Fixture f(std::move(o));
  std::size_t taken = 0, blocked = 0;
  for (int i = 0; i < 500; i++) {
    const auto s = f.engine->submit(message());
    (s.status == Submitted::taken ? taken : blocked)++;
  }
  EXPECT_EQ(taken, 50u);
  EXPECT_EQ(f.engine->submit_for(message(), 50'000).status, Submitted::would_block);
  std::vector<Answer> answers;
  while (answers.size() < 50) f.engine->poll(answers), std::this_thread::yield();
  EXPECT_EQ(f.engine->submit_for(message(), 30'000'000).status, Submitted::taken);
}

TEST(Delivery, WithdrawnOrAnsweredButOnce) {
  Fixture f;
  std::set<Ticket> tickets;
  for (int i = 0; i < 300; i++) {
    const auto s = f.engine->submit(message("status", i % 3 ? "d" : "mute"));
    tickets.insert(s.ticket);
    if (i % 2) f.engine->withdraw(s.ticket);  // at any stage of its delivery
  }
  std::vector<Answer> answers;
  f.engine->stop();
  EXPECT_TRUE(f.engine->wait(30'000'000));
  while (f.engine->poll(answers) > 0) {
  }
  EXPECT_EQ(answers.size(), 300u);
  for (const auto& a : answers) EXPECT_EQ(tickets.erase(a.ticket), 1u);
}

TEST(Delivery, CallbacksThatThrowBlockSubmitAgainOrDestroyTheEngine) {
  Fixture f;
  f.engine->submit(message(), [](const Answer&) { throw std::runtime_error("host"); });
  f.engine->submit(message(), [](const Answer&) { throw 5; });
  std::promise<Answer> again;
  f.engine->submit(message(), [&](const Answer&) {
    f.engine->submit(message(), [&](const Answer& a) { again.set_value(a); });
  });
  EXPECT_EQ(again.get_future().get().final, Final::served);
  EXPECT_EQ(f.engine->snapshot().callback_errors, 2u);
  // A callback that blocks delays answers, not deliveries.
  std::promise<void> go;
  const auto served = f.engine->snapshot().served;
  f.engine->submit(message(), [wait = go.get_future().share()](const Answer&) { wait.wait(); });
  for (int i = 0; i < 20; i++) f.engine->submit(message(), [](const Answer&) {});
  for (int i = 0; i < 3'000 && f.engine->snapshot().served < served + 21; i++)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  EXPECT_EQ(f.engine->snapshot().served, served + 21);
  go.set_value();
  std::promise<void> gone;
  auto* engine = f.engine.release();
  engine->submit(message(), [engine, &gone](const Answer&) {
    delete engine;
    gone.set_value();
  });
  gone.get_future().get();
}

TEST(Delivery, DestructionAnswersAllThatIsHeldFirst) {
  Fixture f;
  std::atomic<int> refused{0}, failed{0}, other{0};
  const auto note = [&](const Answer& a) {
    (a.final == Final::refused ? refused : a.final == Final::failed ? failed : other)++;
  };
  for (int i = 0; i < 5; i++) f.engine->submit(message("pay", "mute"), note);
  for (int i = 0; i < 5; i++) f.engine->submit(message("status", "mute"), note);
  while (f.standins.calls() < 1) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  f.engine.reset();
  // The unsafe messages that were sent to the silent stand-in fail, since they may have taken effect. The
  // dispatcher sends only some of them.
  EXPECT_GE(failed, 1);
  EXPECT_LE(failed, 5);
  EXPECT_EQ(failed + refused, 10);
  EXPECT_EQ(other, 0);
}

TEST(Delivery, DrainEndsEarlyWhenNothingIsHeldAndByItsDeadlineElse) {
  {
    Fixture f;
    auto a = f.engine->submit_future(message("pay"));
    f.engine->drain(60'000'000);
    EXPECT_TRUE(f.engine->wait(20'000'000));
    EXPECT_EQ(a.get().final, Final::served);
    EXPECT_EQ(f.engine->submit(message()).status, Submitted::closed);
  }
  Fixture f;
  auto a = f.engine->submit_future(message("pay", "mute"));
  while (f.standins.calls() < 1) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  f.engine->drain(100'000);
  EXPECT_TRUE(f.engine->wait(20'000'000));
  EXPECT_EQ(a.get().final, Final::failed);
}

// The drain's command comes out of the queue before the submissions of the other thread, in one batch with
// them. It must not refuse them.
TEST(Delivery, ADrainKeepsWhatAnotherThreadSubmittedBeforeIt) {
  Options o;
  o.threading = Options::Threading::host;
  Fixture f(std::move(o));
  std::map<Final, int> finals;
  std::thread other([&] {
    for (int i = 0; i < 40; i++)
      f.engine->submit(message("pay"), [&](const Answer& a) { finals[a.final]++; });
  });
  other.join();
  f.engine->drain(30'000'000);
  EXPECT_TRUE(f.engine->wait(60'000'000));
  EXPECT_EQ(finals[Final::served], 40);
}

// A withdrawal by another thread than the submitter's may come out of the queue before the submission. It
// must not be lost.
TEST(Delivery, AWithdrawalByAnotherThreadIsNotLost) {
  Options o;
  o.threading = Options::Threading::host;
  Fixture f(std::move(o));
  std::vector<Ticket> tickets;
  std::map<Final, int> finals;
  std::thread other([&] {
    for (int i = 0; i < 40; i++)
      tickets.push_back(
          f.engine->submit(message("pay", "mute"), [&](const Answer& a) { finals[a.final]++; }).ticket);
  });
  other.join();
  for (const auto t : tickets) f.engine->withdraw(t);
  for (int i = 0; i < 1'000 && finals[Final::withdrawn] < 40; i++) f.engine->run_once(5'000);
  EXPECT_EQ(finals[Final::withdrawn], 40);
  EXPECT_EQ(f.standins.calls(), 0);
}

TEST(Delivery, OnTheHostsOwnThread) {
  Options o;
  o.threading = Options::Threading::host;
  Fixture f(std::move(o));
  int answered = 0;
  for (int i = 0; i < 100; i++) f.engine->submit(message(), [&](const Answer&) { answered++; });
  for (int i = 0; i < 20'000 && answered < 100; i++) f.engine->run_once(5'000);
  EXPECT_EQ(answered, 100);
  auto* engine = f.engine.release();
  bool gone = false;
  engine->submit(message(), [&, engine](const Answer&) { delete engine, gone = true; });
  while (!gone) engine->run_once(5'000);
}

TEST(Delivery, TwoEnginesAndAForkedChild) {
  Fixture a, b;
  EXPECT_EQ(a.engine->submit_future(message()).get().final, Final::served);
  const pid_t child = fork();
  if (child == 0) {
    const bool closed = a.engine->submit(message()).status == Submitted::closed &&
                        b.engine->submit(message()).status == Submitted::closed;
    a.engine.reset();  // returns without using anything of the parent's
    _exit(closed ? 0 : 1);
  }
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(a.engine->submit_future(message()).get().final, Final::served);
  EXPECT_EQ(b.engine->submit_future(message()).get().final, Final::served);
}

// The tickets of a process that was killed are answered by the next process that opens its journal, each
// exactly once.
TEST(Delivery, TicketsOfAKilledRunAreAnsweredByTheNext) {
  StandinThread standins;
  standins.add("d", "");
  standins.add("mute", "silent");
  standins.start();
  const auto file = standins.settings_file("");
  std::ofstream(file, std::ios::app) << "\njournal: {folder: journal, segment: 1MiB, disk: 16MiB}\n";
  int ready[2];
  ASSERT_EQ(pipe(ready), 0);
  const pid_t child = fork();
  if (child == 0) {
    auto engine = Engine::open(file);
    for (int i = 0; i < 20; i++) engine->submit(message());  // answered, and never polled
    for (int i = 0; i < 5; i++) engine->submit(message("pay", "mute"));
    for (int i = 0; i < 5; i++) engine->submit(message("status", "mute"));
    while (engine->snapshot().served < 20) usleep(1'000);
    usleep(200'000);  // its sends have been made; if not, they are refused instead of failed
    static_cast<void>(!write(ready[1], "r", 1));
    pause();
    _exit(0);
  }
  char byte = 0;
  ASSERT_EQ(read(ready[0], &byte, 1), 1);
  kill(child, SIGKILL);
  ASSERT_EQ(waitpid(child, nullptr, 0), child);
  close(ready[0]), close(ready[1]);

  std::mutex mutex;
  std::map<Ticket, std::vector<Answer>> got;
  Options o;
  o.recovered = [&](const Answer& a) {
    const std::lock_guard lock(mutex);
    got[a.ticket].push_back(a);
  };
  auto engine = Engine::open(file, o);
  const auto many = [&] {
    const std::lock_guard lock(mutex);
    return got.size();
  };
  for (int i = 0; i < 30'000 && many() < 30; i++) usleep(1'000);
  ASSERT_EQ(many(), 30u);
  for (Ticket t = 1; t <= 30; t++) {
    ASSERT_EQ(got[t].size(), 1u) << t;
    const auto final = got[t][0].final;
    EXPECT_TRUE(t <= 20 ? final == Final::served : final == Final::failed || final == Final::refused) << t;
  }
  EXPECT_GT(engine->submit(message()).ticket, 30u);
  engine.reset();
  // Answers that were delivered do not come again. The last message's answer was never polled, so it does.
  got.clear();
  engine = Engine::open(file, o);
  for (int i = 0; i < 30'000 && many() < 1; i++) usleep(1'000);
  EXPECT_EQ(got.size(), 1u);
  EXPECT_GT(got.begin()->first, 30u);
}

TEST(Delivery, ReloadTakesWhatMayChangeAndNamesWhatMayNot) {
  Fixture f;
  EXPECT_TRUE(f.engine->reload(f.standins.settings_file("body_max: 2KiB")).empty());
  const auto refused = f.engine->reload(f.standins.settings_file("name: another"));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_NE(refused[0].find("relay.name"), std::string::npos);
  EXPECT_NE(f.engine->reload("/nowhere.yaml").at(0).find("/nowhere.yaml"), std::string::npos);
  EXPECT_EQ(f.engine->submit_future(message()).get().final, Final::served);
}

// 64 threads submit while the engine is stopped or drained at a random moment, in several rounds. The last
// round is drained near its end.
TEST(Delivery, StressFromManyThreads) {
  StandinThread standins;
  for (int i = 0; i < 20; i++) standins.add("d" + std::to_string(i), "");
  standins.start();
  const auto file = standins.settings_file();
  constexpr int kRounds = 5;
  const int total = std::getenv("CEDARPLANK_STRESS") ? std::atoi(std::getenv("CEDARPLANK_STRESS")) : 9'600;
  const int each = total / 64 / kRounds;
  std::mt19937 random(7);
  for (int round = 0; round < kRounds; round++) {
    const bool last = round == kRounds - 1;
    const auto engine = Engine::open(file);
    std::atomic<std::uint64_t> offered{0}, taken{0}, answered{0}, served{0};
    std::vector<std::thread> hosts;
    for (int t = 0; t < 64; t++)
      hosts.emplace_back([&, t] {
        for (int i = 0; i < each; i++) {
          auto m = message(i % 4 ? "status" : "pay", "d" + std::to_string((t + i) % 20));
          offered++;
          const auto s = engine->submit_for(std::move(m), 60'000'000, [&](const Answer& a) {
            answered++, served += a.final == Final::served;
          });
          taken += s.status == Submitted::taken;
          if (s.status == Submitted::closed) return;
        }
      });
    // Triggered by the number of submissions, not by the clock, so that a slow machine covers the same cases.
    const std::uint64_t part = last ? 90 : 10 + random() % 80;
    while (offered < static_cast<std::uint64_t>(each) * 64 * part / 100)
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    if (!last && round % 2)
      engine->stop();
    else
      engine->drain(last ? 30'000'000 : static_cast<Time>(random() % 20'000));
    for (auto& h : hosts) h.join();
    ASSERT_TRUE(engine->wait(60'000'000));
    EXPECT_EQ(answered, taken) << "round " << round;
    if (last) {
      EXPECT_GT(served, taken / 2);
    }
  }
}

// Messages with the same order key are delivered in the order in which their thread submitted them.
TEST(Delivery, OrderedClassesKeepEachThreadsOrder) {
  Fixture f;
  std::mutex mutex;
  std::map<int, std::vector<int>> order;
  std::vector<std::thread> hosts;
  for (int t = 0; t < 8; t++)
    hosts.emplace_back([&, t] {
      for (int i = 0; i < 20; i++) {
        auto m = message("gate");
        m.topic = "t" + std::to_string(t);
        f.engine->submit(std::move(m), [&, t, i](const Answer& a) {
          const std::lock_guard lock(mutex);
          EXPECT_EQ(a.final, Final::served);
          order[t].push_back(i);
        });
      }
    });
  for (auto& h : hosts) h.join();
  f.engine->drain(60'000'000);
  EXPECT_TRUE(f.engine->wait(60'000'000));
  for (const auto& [t, list] : order)
    EXPECT_TRUE(list.size() == 20 && std::is_sorted(list.begin(), list.end())) << t;
}

// Submissions race with a stop or drain, in many rounds: each accepted ticket is answered exactly once.
TEST(Delivery, RandomShutdowns) {
  StandinThread standins;
  standins.add("d", ""), standins.add("mute", "silent");
  standins.start();
  const auto file = standins.settings_file();
  std::mt19937 random(5);
  const int rounds = std::getenv("CEDARPLANK_ROUNDS") ? std::atoi(std::getenv("CEDARPLANK_ROUNDS")) : 40;
  for (int round = 0; round < rounds; round++) {
    std::mutex mutex;
    std::map<Ticket, int> answers;
    std::atomic<std::uint64_t> taken{0};
    auto engine = Engine::open(file);
    std::vector<std::thread> hosts;
    const int threads = round % 8 == 0 ? 64 : 4;
    for (int t = 0; t < threads; t++)
      hosts.emplace_back([&, t] {
        for (int i = 0; i < 200; i++) {
          const auto s = engine->submit(message(i % 3 ? "status" : "pay", i % 17 == t % 17 ? "mute" : "d"),
                                        [&](const Answer& a) {
                                          const std::lock_guard lock(mutex);
                                          answers[a.ticket]++;
                                        });
          if (s.status == Submitted::closed) return;
          taken += s.status == Submitted::taken;
          if (i % 50 == 7) engine->withdraw(s.ticket);
        }
      });
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 12'000));
    if (round % 2)
      engine->stop();
    else
      engine->drain(static_cast<Time>(random() % 20'000));
    for (auto& h : hosts) h.join();
    ASSERT_TRUE(engine->wait(60'000'000));
    engine.reset();
    ASSERT_EQ(answers.size(), taken.load()) << "round " << round;
    for (const auto& [ticket, n] : answers) ASSERT_EQ(n, 1) << ticket;
  }
}

}  // namespace
}  // namespace cedarplank::testing
