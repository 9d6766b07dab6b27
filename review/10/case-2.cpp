// A partner falls silent for 12 s. The relay sees one call fail there during that time and gets nothing more
// for the partner until it is back, cold. Then a clump comes. The calls that the cold partner gets in any 2 s
// are counted.
#include <algorithm>
#include <cmath>

#include "world.hpp"

using namespace world;

namespace {

constexpr Ms kOutage = 12000;                     // the brief: 8.4 to 17 s
constexpr double kCapacity = 10;                  // calls a second that the partner handles when warm
constexpr int kClump = 34;                        // what it takes in 3.4 s; the brief: 1.3 to 3.4 s
constexpr double kColdFrom = 0.17, kCold = 9.2;   // as in the settings
constexpr double kMultiple = 2.0, kWindow = 2.0;  // as in the settings
constexpr int kClients = 8;

// Calls that the partner stands in the window that begins so many seconds after its return.
double allowed_from(double begin) {
  double n = 0;
  constexpr double kStep = 0.01;
  for (double t = begin; t < begin + kWindow; t += kStep)
    n += kStep * kMultiple * kCapacity * std::min(1.0, kColdFrom + (1 - kColdFrom) * t / kCold);
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

int play() {
  Discovery discovery;
  std::atomic<bool> silent{false};
  Endpoint partner("s-a", [&](const Arrival&) {
    if (silent) return Endpoint::Does::hang;
    pause_for(100);
    return Endpoint::Does::answer_200;
  });
  discovery.put({"s-a", partner.address(), "old-barn", "small-partners"});
  const auto listen = address_of(free_port());
  Relay relay(config(listen, discovery, discovery.list(), settings()), listen);
  relay.start();
  if (!relay.wait_until_ready(10000)) throw CannotRun{"the relay did not become ready"};
  Client client(listen);
  for (int i = 0; i < 30; i++) {
    client.hand_in(
        {i % 2 == 0 ? "pay-and-order" : "load-status", "before-" + std::to_string(i), "10 crates"});
    pause_for(600);
  }
  silent = trouble();
  const Ms began = now();
  note("the outage begins");
  client.hand_in({"pay-and-order", "during-0", "10 crates", 1, 24.0});
  pause_for(began + kOutage - now());
  silent = false;
  const Ms back = now();
  note("the partner is back");
  if (trouble() && discovery.notices().count("during-0") == 0)
    throw CannotRun{"the relay has not seen a call fail during the outage"};
  pause_for(200);
  std::vector<std::thread> clients;
  for (int t = 0; t < kClients; t++)
    clients.emplace_back([&, t] {
      Client other(listen);
      for (int i = t; i < kClump; i += kClients)
        other.hand_in({"load-status", "clump-" + std::to_string(i), "10 crates"});
    });
  for (auto& other : clients) other.join();
  pause_for(10000);

  std::vector<double> calls;  // seconds after the return
  for (const auto& message : partner.arrivals())
    if (message.last_byte >= back) calls.push_back(static_cast<double>(message.last_byte - back) / 1000);
  std::sort(calls.begin(), calls.end());
  double worst = 0;
  for (const double begin : calls) {
    const auto count = static_cast<double>(std::count_if(
        calls.begin(), calls.end(), [&](double t) { return t >= begin && t < begin + kWindow; }));
    worst = std::max(worst, count / allowed_from(begin));
  }
  note("calls after the return: " + std::to_string(calls.size()) +
       "; in the worst 2 s, as a multiple of what is allowed: " + std::to_string(worst));
  return trouble() && worst > 1 ? 1 : 0;
}

}  // namespace

int main() { return run(play); }
