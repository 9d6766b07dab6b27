// A message that must not run twice is delivered. Some 4,000 further messages are delivered, the relay is
// killed and started again, and the message comes again within its time.
#include "world.hpp"

using namespace world;

namespace {

constexpr int kRate = 300;      // messages a second; the pages have up to three times 120
constexpr Ms kTraffic = 14000;  // ms of it
constexpr int kPayments = 5, kClients = 12;

std::string payment(int i) { return "9b1f03aa5c7e2d4" + std::to_string(i); }

int play() {
  Discovery discovery;
  const auto serve = [](const Arrival&) {
    pause_for(20);
    return Endpoint::Does::answer_200;
  };
  Endpoint a("s-a", serve), b("s-b", serve);
  discovery.put({"s-a", a.address(), "old-barn", "small-partners"});
  discovery.put({"s-b", b.address(), "main-house", "small-partners"});
  const auto listen = address_of(free_port());
  Relay relay(config(listen, discovery, discovery.list(), settings()), listen);
  relay.start();
  if (!relay.wait_until_ready(10000)) throw CannotRun{"the relay did not become ready"};

  const auto ran = [&](int i) { return a.times(payment(i)) + b.times(payment(i)); };
  Client client(listen);
  const Ms sent = now();
  for (int i = 0; i < kPayments; i++) client.hand_in({"pay-and-order", payment(i), "10 rand", 1, 24.0});
  std::vector<std::thread> others;
  for (int t = 0; t < kClients; t++)
    others.emplace_back([&, t] {
      Client other(listen);
      for (int i = 0;; i++) {
        const Ms due = sent + 200 + Ms{i * kClients + t} * 1000 / kRate;
        if (due > sent + kTraffic) return;
        if (now() < due) pause_for(due - now());
        char id[32];
        snprintf(id, sizeof id, "%08x%08x", t + 1, i);
        other.hand_in({"load-status", id, "10 crates", 1, 6.0});
      }
    });
  for (auto& other : others) other.join();
  for (int i = 0; i < kPayments; i++)
    if (ran(i) != 1) throw CannotRun{payment(i) + " was not delivered once before the kill"};
  note("handed in " + std::to_string(a.arrivals().size() + b.arrivals().size()) + " messages that arrived");
  if (trouble()) {
    relay.kill_and_wait();
    pause_for(600);
    relay.start();
    if (!relay.wait_until_ready(8000)) throw CannotRun{"the relay did not become ready again"};
  }
  for (int i = 0; i < kPayments; i++) {
    const double left = 24.0 - static_cast<double>(now() - sent) / 1000;
    if (left < 1) throw CannotRun{"too late for the messages to come again in their time"};
    client.hand_in({"pay-and-order", payment(i), "10 rand", 1, left});
  }
  pause_for(3000);
  int twice = 0;
  for (int i = 0; i < kPayments; i++) {
    note(payment(i) + " has run " + std::to_string(ran(i)) + " times");
    twice += ran(i) > 1;
  }
  return twice > 0 ? 1 : 0;
}

}  // namespace

int main() { return run(play); }
