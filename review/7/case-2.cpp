// Discovery is slow: it answers every call 1.95 s after it could. Meanwhile an endpoint of destination 1
// goes, and a new endpoint of destination 2 takes its address. From 7.05 s after discovery had that, nothing
// for destination 1 may come there.
#include "world.hpp"

using namespace world;

namespace {

constexpr Ms kSlowAnswer = 1950;        // of discovery; the site file's limit is 2000
constexpr Ms kTold = 6000 + 1000 + 50;  // told at the latest, the grace of drains, what sockets are allowed

int play() {
  Discovery discovery;
  const auto serve = [](const Arrival&) {
    pause_for(80);
    return Endpoint::Does::answer_200;
  };
  auto first = std::make_unique<Endpoint>("s-a", serve);
  Endpoint second("s-b", serve), other("s-x", serve);
  const std::string shared = first->address();
  discovery.put({"s-a", shared, "old-barn", "small-partners", "ready", 1});
  discovery.put({"s-b", second.address(), "old-barn", "small-partners", "ready", 1});
  discovery.put({"s-x", other.address(), "old-barn", "small-partners", "ready", 2});
  const auto listen = address_of(free_port());
  Relay relay(config(listen, discovery, discovery.list(), settings()), listen);
  relay.start();
  if (!relay.wait_until_ready(10000)) throw CannotRun{"the relay did not become ready"};

  std::atomic<bool> over{false};
  std::thread clients([&] {
    Client client(listen);
    for (int i = 0; !over; i++) {
      const bool pays = i % 3 == 0;
      const int destination = i % 4 == 3 ? 2 : 1;
      client.hand_in({pays ? "pay-and-order" : "load-status",
                      "to-" + std::to_string(destination) + "-" + std::to_string(i), "10 crates", destination,
                      pays ? 24.0 : 6.0});
      pause_for(100);
    }
  });
  pause_for(3000);
  if (trouble()) {
    note("discovery is slow from now on");
    discovery.answer_after(kSlowAnswer);
  }
  pause_for(6000);
  first.reset();  // its process ends, and its connections with it
  Endpoint newcomer("s-c", serve, std::stoi(shared.substr(shared.rfind(':') + 1)));
  discovery.put({"s-a", shared, "old-barn", "small-partners", "gone", 1});
  discovery.put({"s-c", shared, "old-barn", "small-partners", "ready", 2});
  const Ms changed = now();
  pause_for(30000);
  over = true;
  clients.join();

  std::size_t foreign = 0, late = 0;
  Ms last = changed;
  for (const auto& message : newcomer.arrivals()) {
    if (message.id.rfind("to-1-", 0) != 0) continue;
    foreign++, last = std::max(last, message.first_byte);
    if (message.first_byte <= changed + kTold) continue;
    late++;
    note("s-c of destination 2 got " + message.id + " " + std::to_string(message.first_byte - changed) +
         " ms after the change");
  }
  note("messages of destination 1 at s-c: " + std::to_string(foreign) + ", of these later than " +
       std::to_string(kTold) + " ms: " + std::to_string(late) + ", the last after " +
       std::to_string(last - changed) + " ms");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main() { return run(play); }
