// A host program with its own main loop: the engine runs on the host's thread, between the host's own work.
// Usage: own_loop SETTINGS DESTINATION CLASS COUNT
#include <cedarplank/delivery.hpp>
#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv) {
  using namespace cedarplank::delivery;
  if (argc != 5) return std::fprintf(stderr, "usage: own_loop SETTINGS DESTINATION CLASS COUNT\n"), 2;
  try {
    Options options;
    options.threading = Options::Threading::host;
    const auto engine = Engine::open(argv[1], std::move(options));
    const int count = std::atoi(argv[4]);
    int submitted = 0, served = 0, other = 0;
    long turns = 0;
    while (served + other < count) {
      // The host's own work goes here. Each iteration also submits as many messages as the engine accepts.
      for (; submitted < count; submitted++) {
        Message m;
        m.destination = argv[2], m.message_class = argv[3];
        m.body = "id=o" + std::to_string(submitted) + ";", m.idempotency_key = m.body;
        const auto s = engine->submit(
            std::move(m), [&](const Answer& a) { (a.final == Final::served ? served : other)++; });
        if (s.status == Submitted::would_block) break;
        if (s.status != Submitted::taken) return std::fprintf(stderr, "%s\n", s.error.c_str()), 1;
      }
      engine->run_once(5'000);
      turns++;
    }
    std::printf("served %d, other %d of %d in %ld turns\n", served, other, count, turns);
    return served == count ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
