// A short-lived batch job: submits 5,000 messages from 4 threads, waits for all answers and exits.
// Usage: batch SETTINGS DESTINATION CLASS [COUNT]
#include <atomic>
#include <cedarplank/delivery.hpp>
#include <cstdio>
#include <cstdlib>
#include <thread>

int main(int argc, char** argv) {
  using namespace cedarplank::delivery;
  if (argc < 4) return std::fprintf(stderr, "usage: batch SETTINGS DESTINATION CLASS [COUNT]\n"), 2;
  const int count = argc > 4 ? std::atoi(argv[4]) : 5000, threads = 4;
  try {
    Options options;
    // Well below open_max: the dispatcher refuses messages when its buffer is nearly full.
    options.held_max = 1'000;
    const auto engine = Engine::open(argv[1], std::move(options));
    std::atomic<int> served{0}, other{0};
    std::vector<std::thread> workers;
    for (int t = 0; t < threads; t++)
      workers.emplace_back([&, t] {
        for (int i = t; i < count; i += threads) {
          Message m;
          m.destination = argv[2], m.message_class = argv[3];
          m.body = "id=b" + std::to_string(i) + ";", m.idempotency_key = m.body;
          // Back-pressure: waits until the engine can accept the message, for at most 30 s.
          const auto s = engine->submit_for(std::move(m), 30'000'000, [&](const Answer& a) {
            (a.final == Final::served ? served : other)++;
          });
          if (s.status != Submitted::taken) other++;
        }
      });
    for (auto& w : workers) w.join();
    engine->drain(30'000'000);
    engine->wait(40'000'000);
    std::printf("served %d, other %d of %d\n", served.load(), other.load(), count);
    return served == count ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
