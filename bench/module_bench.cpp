// The cost of a dispatcher round against the numbers of held messages, endpoints and relays. Held messages
// wait for destinations that accept few at a time; each round brings one arrival and one answer, as under
// load.
#include <benchmark/benchmark.h>

#include <deque>

#include "cedarplank/dispatcher.hpp"

namespace cedarplank {
namespace {

struct Load {
  Settings settings;
  Dispatcher dispatcher;
  int destinations, endpoints_each;
  Time now = 1'000'000;
  MessageId next = 1;
  struct Out {
    MessageId id;
    EndpointId endpoint;
    int attempt;
    Time sent;
  };
  std::deque<Out> out;
  std::map<MessageId, int> attempts;
  std::vector<Event> events;
  std::vector<Action> actions;

  static Settings make(int held, int relays) {
    Settings s;
    const Time hour = 3'600'000'000;
    s.classes = {
        {.aim = 1'000'000, .deadline = hour},
        {.worth = 3, .late_worth = 0.3, .aim = 2'000'000, .deadline = hour, .effect = Effect::unsafe}};
    s.kinds = {{}};
    s.slots = 64, s.open_max = 2 * held + 100, s.attempts_max = 8, s.relays = relays, s.cancelling = true,
    s.peers = true;
    return s;
  }
  Load(int held, int d, int e, int relays)
      : settings(make(held, relays)), dispatcher(settings, 1), destinations(d), endpoints_each(e) {
    event::ListWhole list;
    for (int i = 0; i < d; i++)
      for (int j = 0; j < e; j++)
        list.endpoints.push_back(
            {"e" + std::to_string(i) + "-" + std::to_string(j), i, 0, 0, Listing::active, 1, 0});
    events.push_back(list);
    for (int i = 0; i < held; i++) arrive();
    round();
  }
  void arrive() {
    events.push_back(event::Arrival{next,
                                    static_cast<DestinationId>(next % static_cast<MessageId>(destinations)),
                                    static_cast<int>(next % 2),
                                    -1,
                                    3'600'000'000,
                                    {},
                                    false});
    next++;
  }
  void round() {
    now += 5'000;
    actions.clear();
    dispatcher.handle(now, events, actions);
    events.clear();
    for (const auto& a : actions)
      if (const auto* s = std::get_if<action::Send>(&a))
        out.push_back({s->id, s->endpoint, attempts[s->id]++, now});
  }
  // One message is served after 100 ms and a new one arrives, so that the number held stays constant.
  void turn() {
    if (!out.empty() && now - out.front().sent >= 100'000) {
      const Out o = out.front();
      out.pop_front();
      attempts.erase(o.id);
      events.push_back(
          event::AttemptEnded{o.id, o.attempt, o.endpoint, Outcome::served, now - o.sent, true, 0, {}});
      arrive();
    }
    round();
  }
};

void rounds(benchmark::State& state, int held, int destinations, int endpoints, int relays) {
  Load load(held, destinations, endpoints, relays);
  for (int i = 0; i < 40; i++) load.turn();
  for (auto _ : state) load.turn();
  state.counters["us_a_held"] =
      benchmark::Counter(static_cast<double>(held) * 1e-6,
                         benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
void by_held(benchmark::State& s) { rounds(s, static_cast<int>(s.range(0)), 1, 2, 3); }
void by_endpoints(benchmark::State& s) { rounds(s, 1'000, static_cast<int>(s.range(0)) / 2, 2, 3); }
void by_relays(benchmark::State& s) { rounds(s, 1'000, 10, 2, static_cast<int>(s.range(0))); }
BENCHMARK(by_held)->RangeMultiplier(10)->Range(100, 100'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(by_endpoints)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(by_relays)->RangeMultiplier(10)->Range(1, 1'000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace cedarplank
