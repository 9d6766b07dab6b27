// The cost of a timer in both timer structures, and of a descriptor event, as the numbers of timers and of
// descriptors grow.
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <unistd.h>

#include <random>

#include "loop/loop.hpp"

namespace cedarplank::loop {
namespace {

// The pattern of a relay: each call sets a time-out that is nearly always cancelled before it fires.
template <class Timers>
void set_and_cancel(benchmark::State& state) {
  Timers timers;
  std::mt19937_64 random(1);
  Time now = 1'000'000;
  const auto n = static_cast<std::size_t>(state.range(0));
  std::vector<TimerId> ids(n);
  for (auto& id : ids) id = timers.add(now + static_cast<Time>(random() % 8'000'000), [] {});
  Callback callback;
  for (auto _ : state) {
    const auto i = random() % n;
    timers.cancel(ids[i]);
    ids[i] = timers.add(now + static_cast<Time>(random() % 8'000'000), [] {});
    now += 3;
    benchmark::DoNotOptimize(timers.next());
    while (timers.pop_due(now, callback)) callback();
  }
}
// All timers fire.
template <class Timers>
void set_and_fire(benchmark::State& state) {
  std::mt19937_64 random(1);
  const auto n = static_cast<std::size_t>(state.range(0));
  Timers timers;
  Time now = 1'000'000;
  Callback callback;
  const Time gap = static_cast<Time>(2'000'000 / n + 1);
  for (std::size_t i = 0; i < n; i++) timers.add(now + static_cast<Time>(random() % 2'000'000), [] {});
  for (auto _ : state) {
    timers.add(now + static_cast<Time>(random() % 2'000'000), [] {});
    now += gap;
    while (timers.pop_due(now, callback)) callback();
  }
}
BENCHMARK(set_and_cancel<TimerHeap>)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(set_and_cancel<TimerWheel>)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(set_and_fire<TimerHeap>)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(set_and_fire<TimerWheel>)->RangeMultiplier(10)->Range(1'000, 100'000);

// One iteration of the loop over n descriptors, of which one is ready, or a tenth if the second argument
// is 1.
void event_among(benchmark::State& state) {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  const auto n = static_cast<std::size_t>(state.range(0));
  const std::size_t ready = state.range(1) != 0 ? std::max<std::size_t>(1, n / 10) : 1;
  Loop loop;
  std::vector<std::pair<int, int>> pipes;
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < n; i++) {
    int fds[2];
    if (pipe(fds) != 0) return state.SkipWithError("out of descriptors");
    pipes.emplace_back(fds[0], fds[1]);
    loop.watch(fds[0], POLLIN, [&seen, fd = fds[0]](short) {
      char byte;
      seen += static_cast<std::uint64_t>(read(fd, &byte, 1));
    });
  }
  std::size_t next = 0;
  for (auto _ : state) {
    for (std::size_t i = 0; i < ready; i++, next = (next + 7) % n)
      if (write(pipes[next].second, "x", 1) != 1) return state.SkipWithError("write");
    loop.run_once(0);
  }
  state.counters["per_event_ns"] = benchmark::Counter(
      static_cast<double>(seen) * 1e-9, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  for (const auto& [a, b] : pipes) close(a), close(b);
}
BENCHMARK(event_among)->ArgsProduct({{10, 100, 1'000, 5'000}, {0, 1}});

}  // namespace
}  // namespace cedarplank::loop
