// Event loop, timers and sockets.
#include "loop/loop.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <random>
#include <set>
#include <thread>

#include "net/socket.hpp"

namespace cedarplank::loop {
namespace {

// Compares a timer structure with a plain multimap over random additions, cancellations and clock steps.
template <class Timers>
void against_model(Time late) {
  std::mt19937_64 random(7);
  Timers timers;
  std::multimap<Time, int> model;
  std::map<int, std::pair<TimerId, Time>> live;
  std::vector<int> fired;
  Time now = 1'000'000;
  int next = 0;
  for (int step = 0; step < 20'000; step++) {
    const auto dice = random() % 10;
    if (dice < 5) {
      const Time spans[] = {100, 5'000, 300'000, 20'000'000, 4'000'000'000};
      const Time at = now + static_cast<Time>(random() % static_cast<std::uint64_t>(spans[random() % 5]));
      const int n = next++;
      live[n] = {timers.add(at, [n, &fired] { fired.push_back(n); }), at};
      model.emplace(at, n);
    } else if (dice < 7 && !live.empty()) {
      auto it = live.begin();
      std::advance(it, static_cast<long>(random() % live.size()));
      EXPECT_TRUE(timers.cancel(it->second.first));
      EXPECT_FALSE(timers.cancel(it->second.first));
      auto [a, b] = model.equal_range(it->second.second);
      for (; a != b; ++a)
        if (a->second == it->first) {
          model.erase(a);
          break;
        }
      live.erase(it);
    } else {
      if (!model.empty()) {
        EXPECT_LE(timers.next(), model.begin()->first + late);
      }
      now += static_cast<Time>(random() % (dice == 9 ? 2'000'000 : 2'000));
      fired.clear();
      Callback callback;
      while (timers.pop_due(now, callback)) callback();
      for (const int n : fired) {
        EXPECT_LE(live.at(n).second, now) << "fired before its deadline";
        auto [a, b] = model.equal_range(live.at(n).second);
        for (; a != b; ++a)
          if (a->second == n) {
            model.erase(a);
            break;
          }
        live.erase(n);
      }
      if (!model.empty()) {
        EXPECT_GT(model.begin()->first + late, now) << "a due timer did not fire";
      }
    }
    ASSERT_EQ(timers.size(), live.size());
  }
}
TEST(Timers, HeapAgainstModel) { against_model<TimerHeap>(0); }
TEST(Timers, WheelAgainstModel) { against_model<TimerWheel>(512); }

TEST(Loop, TimersFireInOrderAndCancelledOnesDont) {
  Loop loop;
  std::vector<int> order;
  loop.after(3'000, [&] { order.push_back(3), loop.stop(); });
  loop.after(1'000, [&] { order.push_back(1); });
  const auto cancelled = loop.after(2'000, [&] { order.push_back(2); });
  loop.after(500, [&] { loop.cancel(cancelled); });
  loop.run();
  EXPECT_EQ(order, (std::vector<int>{1, 3}));
}

TEST(Loop, WakesFromManyThreadsAndKeepsEachOnesOrder) {
  Loop loop;
  std::map<int, std::vector<int>> seen;
  int total = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < 8; t++)
    threads.emplace_back([&, t] {
      for (int i = 0; i < 1'000; i++)
        loop.post([&, t, i] {
          seen[t].push_back(i);
          if (++total == 8'000) loop.stop();
        });
    });
  loop.run();
  for (auto& t : threads) t.join();
  for (const auto& [t, list] : seen)
    EXPECT_TRUE(std::is_sorted(list.begin(), list.end()) && list.size() == 1'000);
}

TEST(Loop, SignalsComeThroughTheSelfPipe) {
  Loop loop;
  int seen = 0;
  loop.on_signal(SIGUSR1, [&] { seen++, loop.stop(); });
  loop.defer([] { ::raise(SIGUSR1); });
  loop.run();
  EXPECT_EQ(seen, 1);
}

TEST(Loop, ADescriptorUnwatchedByAnotherCallbackIsNotCalled) {
  Loop loop;
  int a[2], b[2], calls = 0;
  ASSERT_EQ(pipe(a), 0);
  ASSERT_EQ(pipe(b), 0);
  for (int* p : {a, b}) ASSERT_EQ(write(p[1], "x", 1), 1);
  loop.watch(a[0], POLLIN, [&](short) { calls++, loop.unwatch(a[0]), loop.unwatch(b[0]); });
  loop.watch(b[0], POLLIN, [&](short) { calls++, loop.unwatch(a[0]), loop.unwatch(b[0]); });
  loop.run_once(0);
  loop.run_once(0);
  EXPECT_EQ(calls, 1);
  for (int* p : {a, b}) close(p[0]), close(p[1]);
}

TEST(Loop, ATimerThatSetsItselfAgainDoesNotStarveTheRest) {
  Loop loop;
  std::function<void()> again = [&] { loop.at(0, again); };
  again();
  loop.post([&] { loop.stop(); });
  loop.run();
}

}  // namespace
}  // namespace cedarplank::loop

namespace cedarplank::net {
namespace {

TEST(Net, BytesPassWholeThroughOneByteReadsAndWrites) {
  loop::Loop loop;
  TcpStream::limit_io_size(1);
  std::unique_ptr<TcpStream> server;
  std::string got, why;
  Listener listener(loop, Address::parse("127.0.0.1:0"), [&](Fd fd) {
    server = std::make_unique<TcpStream>(
        loop, std::move(fd),
        Stream::Handlers{.connected = {},
                         .data = [&](std::string_view b) { got += b; },
                         .drained = {},
                         .closed = [&](const std::string& w) { why = w, loop.stop(); }});
  });
  const std::string text(5'000, 'k');
  TcpStream client(loop, listener.address(), 1'000'000,
                   {.connected = [&] { client.write(text), client.finish(5'000'000); },
                    .data = {},
                    .drained = {},
                    .closed = {}});
  loop.run();
  TcpStream::limit_io_size(0);
  EXPECT_EQ(got, text);
  EXPECT_EQ(why, "closed by the peer");
  EXPECT_EQ(client.bytes_flushed(), client.bytes_written());
}

// poll(2) reports that a peer has gone whatever events are requested. A stream that is not being read must
// handle it, otherwise the loop would spin until reading resumes.
TEST(Net, APausedStreamHearsThatItsPeerHasGone) {
  loop::Loop loop;
  std::unique_ptr<net::TcpStream> server;
  bool closed = false;
  net::Listener listener(loop, net::Address::parse("127.0.0.1:0"), [&](net::Fd fd) {
    server = std::make_unique<net::TcpStream>(
        loop, std::move(fd),
        net::Stream::Handlers{.connected = {}, .data = {}, .drained = {}, .closed = [&](const std::string&) {
                                closed = true;
                              }});
    server->pause_reading(true);
  });
  net::TcpStream client(loop, listener.address(), 1'000'000, net::Stream::Handlers{});
  while (!server) loop.run_once(5'000);
  client.write("unread");
  client.close(true);
  const auto end = loop::monotonic_now() + 2'000'000;
  while (!closed && loop::monotonic_now() < end) loop.run_once(5'000);
  EXPECT_TRUE(closed);
}

TEST(Net, ARefusedConnectionIsTold) {
  loop::Loop loop;
  std::string why;
  auto listener = std::make_unique<Listener>(loop, Address::parse("127.0.0.1:0"), [](Fd) {});
  const Address address = listener->address();
  listener.reset();
  TcpStream client(loop, address, 1'000'000,
                   {.connected = {}, .data = {}, .drained = {}, .closed = [&](const std::string& w) {
                      why = w, loop.stop();
                    }});
  loop.run();
  EXPECT_NE(why.find("refused"), std::string::npos) << why;
}

TEST(Net, WrongAddressesNameTheirText) {
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "localhost:80", "[::1:80", "1.2.3.4:5x"}) {
    try {
      Address::parse(text);
      FAIL() << text;
    } catch (const std::invalid_argument& e) {
      EXPECT_NE(std::string(e.what()).find(std::string("'") + text + "'"), std::string::npos);
    }
  }
  EXPECT_EQ(Address::parse("[::1]:80").text(), "[::1]:80");
}

}  // namespace
}  // namespace cedarplank::net
