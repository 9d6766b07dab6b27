// Hand-over of messages between threads: submissions per second by 1 to 64 threads through the lock-free
// queue and through a deque with a mutex, with coalesced wake-ups; latencies through the engine; and the
// memory of a held message.
#include <benchmark/benchmark.h>
#include <concurrentqueue/concurrentqueue.h>
#include <malloc.h>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "cedarplank/delivery.hpp"
#include "config/relay_settings.hpp"
#include "loop/loop.hpp"
#include "node/node.hpp"
#include "relay/core.hpp"
#include "standin/server.hpp"

namespace cedarplank {
namespace {

struct Item {
  std::uint64_t ticket;
  relay::NewMessage message;
};
Item item() {
  Item i{1, {}};
  i.message.body.assign(256, 'x'), i.message.idempotency_key = "k-000000000000000001";
  return i;
}

struct LockFree {
  moodycamel::ConcurrentQueue<Item> queue;
  void put(Item i) { queue.enqueue(std::move(i)); }
  std::size_t take(Item* out, std::size_t n) { return queue.try_dequeue_bulk(out, n); }
};
struct Locked {
  std::mutex mutex;
  std::deque<Item> queue;
  void put(Item i) {
    const std::lock_guard lock(mutex);
    queue.push_back(std::move(i));
  }
  std::size_t take(Item* out, std::size_t n) {
    const std::lock_guard lock(mutex);
    std::size_t got = 0;
    for (; got < n && !queue.empty(); got++) out[got] = std::move(queue.front()), queue.pop_front();
    return got;
  }
};

template <class Queue>
void hand_over(benchmark::State& state) {
  constexpr int kEach = 4'000;
  const int threads = static_cast<int>(state.range(0));
  std::uint64_t wakeups = 0;
  for (auto _ : state) {
    Queue queue;
    loop::Loop loop;
    std::atomic<bool> woken{false};
    int got = 0;
    std::function<void()> drain = [&] {
      woken = false;
      wakeups++;
      Item batch[64];
      for (std::size_t n; (n = queue.take(batch, 64)) > 0;) got += static_cast<int>(n);
      if (got == threads * kEach) loop.stop();
    };
    std::vector<std::thread> hosts;
    for (int t = 0; t < threads; t++)
      hosts.emplace_back([&] {
        for (int i = 0; i < kEach; i++) {
          queue.put(item());
          if (!woken.exchange(true)) loop.post(drain);
        }
      });
    loop.run();
    for (auto& h : hosts) h.join();
  }
  state.SetItemsProcessed(state.iterations() * threads * kEach);
  state.counters["per_wake"] =
      static_cast<double>(state.iterations()) * threads * kEach / static_cast<double>(wakeups);
}
BENCHMARK(hand_over<LockFree>)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Arg(64)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(hand_over<Locked>)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->UseRealTime()->Unit(benchmark::kMillisecond);

// Round trip of post(): to the loop of another thread and back.
void wake_up(benchmark::State& state) {
  loop::Loop there, back;
  std::thread t([&] { there.run(); });
  for (auto _ : state) {
    there.post([&] { back.post([&] { back.stop(); }); });
    back.run();
  }
  there.stop();
  t.join();
}
BENCHMARK(wake_up)->UseRealTime();

// From submit() to the callback of a message that is answered without a call, because its destination is
// unknown: the hand-over in both directions, with the engine on threads of its own and on the host's thread.
void answer(benchmark::State& state) {
  const auto folder = std::filesystem::temp_directory_path() / "cedarplank-bench";
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "partners.yaml") << "partners: []\n";
  delivery::Options o;
  const bool host = state.range(0) != 0;
  if (host) o.threading = delivery::Options::Threading::host;
  const auto engine = delivery::Engine::open_text(
      (folder / "relay.yaml").string(),
      "relay: {listen: \"127.0.0.1:0\"}\npartners: {file: partners.yaml}\nclasses: [{name: c}]\n",
      std::move(o));
  for (auto _ : state) {
    std::atomic<bool> done{false};
    delivery::Message m;
    m.destination = "none", m.message_class = "c";
    if (engine->submit(std::move(m), [&](const delivery::Answer&) { done = true; }).status !=
        delivery::Submitted::taken)
      return state.SkipWithError("not accepted");
    while (!done)
      if (host) engine->run_once(-1);
  }
}
BENCHMARK(answer)->ArgName("host")->Arg(0)->Arg(1)->UseRealTime();

// Round trip of one message at a time to a stand-in that answers immediately: with the node called directly
// on its own loop, the engine on threads of its own, and the engine on the host's thread. The difference is
// the overhead of the library.
struct Gateway {
  loop::Loop loop;
  std::unique_ptr<standin::Destination> destination;
  std::filesystem::path folder = std::filesystem::temp_directory_path() / "cedarplank-bench-gateway";
  std::thread thread;
  Gateway() {
    standin::DestinationSettings d;
    d.name = "d", d.answers = {"201"};
    d.endpoints.push_back({.id = "d-1"});
    destination = std::make_unique<standin::Destination>(
        loop, d, [](record::CaptureRecord&&) {}, [](const standin::Effect&) {}, 1);
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "partners.yaml")
        << "version: 1\npartners:\n  - {destination: d, endpoints: [{id: d-1, address: \""
        << destination->endpoints()[0]->address() << "\"}]}\n";
    thread = std::thread([this] { loop.run(); });
  }
  ~Gateway() { loop.stop(), thread.join(); }
  std::string file() const { return (folder / "relay.yaml").string(); }
  static constexpr const char* kSettings =
      "relay: {listen: \"127.0.0.1:0\"}\npartners: {file: partners.yaml}\nclasses: [{name: c, aim: 5s, "
      "deadline: 30s}]\nkinds: [{name: k}]\n"
      "dispatcher: {slots: 100, open_max: 1000, tick: 0s}\n";
};
struct LastAnswer final : relay::AnswerSink {
  bool done = false, good = false;
  void served(MessageId, const relay::CallResult&) override { done = good = true; }
  void refused(MessageId, Time, const relay::AttemptSummary&) override { done = true, good = false; }
  void failed(MessageId, const relay::AttemptSummary&) override { done = true, good = false; }
};
void round_trip_node(benchmark::State& state) {
  Gateway gateway;
  loop::Loop loop;
  node::Node node(
      loop, config::parse_relay_settings(gateway.file(), Gateway::kSettings),
      [](const char*, const std::string&) {}, relay::make_dispatcher, false);
  while (!node.destination("d")) loop.run_once(1'000);
  for (auto _ : state) {
    LastAnswer last;
    relay::NewMessage m;
    m.destination = *node.destination("d"), m.time_left = 30'000'000;
    node.accept(std::move(m), last, [](MessageId) {});
    while (!last.done) loop.run_once(-1);
    if (!last.good) return state.SkipWithError("not served");
  }
}
BENCHMARK(round_trip_node)->UseRealTime();
void round_trip_engine(benchmark::State& state) {
  Gateway gateway;
  delivery::Options o;
  const bool host = state.range(0) != 0;
  if (host) o.threading = delivery::Options::Threading::host;
  const auto engine = delivery::Engine::open_text(gateway.file(), Gateway::kSettings, std::move(o));
  for (auto _ : state) {
    std::atomic<int> done{0};
    delivery::Message m;
    m.destination = "d", m.message_class = "c";
    engine->submit(std::move(m),
                   [&](const delivery::Answer& a) { done = a.final == delivery::Final::served ? 1 : 2; });
    while (done == 0)
      if (host) engine->run_once(-1);
    if (done != 1) return state.SkipWithError("not served");
  }
}
BENCHMARK(round_trip_engine)->ArgName("host")->Arg(0)->Arg(1)->UseRealTime();

// Does nothing in every role that the core needs.
struct NullPorts final : relay::Transport,
                         relay::AnswerSink,
                         relay::ListSource,
                         relay::PeerChannel,
                         relay::Log,
                         relay::Decider {
  void send(const relay::OutgoingCall&) override {}
  CancelResult cancel(relay::CallId) override { return CancelResult::sent; }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  void served(MessageId, const relay::CallResult&) override {}
  void refused(MessageId, Time, const relay::AttemptSummary&) override {}
  void failed(MessageId, const relay::AttemptSummary&) override {}
  void fetch() override {}
  void subscribe(bool) override {}
  void send_note(int, const std::string&) override {}
  void line(const std::string&) override {}
  void handle(Time, const std::vector<Event>&, std::vector<Action>&) override {}
};
// Bytes per held message in the core and the dispatcher together, for a body of 256 bytes and a destination
// that accepts nothing.
void held_bytes(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  double bytes = 0;
  for (auto _ : state) {
    NullPorts ports;
    Settings s;
    s.classes = {{.aim = 1'000'000, .deadline = 3'600'000'000}};
    s.kinds = {{}};
    s.open_max = static_cast<int>(n) * 2;
    relay::Core core(s, relay::make_dispatcher(s, 1), {ports, ports, ports, ports, ports});
    core.list_whole({{"e", 0, 0, 0, Listing::active, 1, 0}}, false);
    core.run_due(1'000'000);
    const auto before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < n; i++) {
      Item one = item();
      one.message.time_left = 3'600'000'000;
      core.accept(1'000'000, i + 1, std::move(one.message));
    }
    core.run_due(1'100'000);
    bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(n);
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(held_bytes)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace cedarplank
