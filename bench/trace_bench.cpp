// The cost of message traces: recording a message that is served immediately, against the number of open
// traces, with ample and with scarce memory; and writing a trace as a line of JSON.
#include <benchmark/benchmark.h>

#include "trace/json.hpp"
#include "trace/recorder.hpp"

namespace cedarplank {
namespace {

using trace::Recorder;
using trace::Step;

trace::MessageInfo head() {
  trace::MessageInfo h;
  h.key = "k-000000000000000001", h.destination = "cellar-17", h.message_class = "pay-and-order";
  h.connection = 12, h.stream = 345, h.aim = 1'000'000, h.deadline = 6'000'000;
  return h;
}

void steps(Recorder& r, trace::MessageId id, trace::Time now) {
  Step s;
  s.at = now, s.what = Step::What::send, s.attempt = 0, s.round = 7, s.endpoint = "cellar-17-1",
  s.literal_reason = "first attempt";
  r.record_step(id, s);
  s.what = Step::What::carried, s.connection = 3, s.stream = 99;
  r.record_step(id, s);
  s.what = Step::What::ended, s.composed_reason = "status 201";
  r.record_step(id, s);
  Step over;
  over.at = now, over.what = Step::What::answered, over.literal_reason = "served";
  r.record_end(id, trace::Verdict::served, over);
  r.close(now, id);
}

void whole_message(benchmark::State& state, std::size_t memory) {
  std::uint64_t kept = 0;
  Recorder r({.max_open_bytes = memory}, 1, [&](trace::MessageTrace&&) { kept++; });
  trace::MessageId id = 1;
  for (; id <= static_cast<trace::MessageId>(state.range(0)); id++) r.begin(0, id, head());
  trace::Time now = 0;
  for (auto _ : state) {
    r.begin(now, id, head());
    steps(r, id, now);
    id++, now += 100;
  }
  state.counters["bytes_an_open_story"] =
      r.open_traces() == 0 ? 0 : static_cast<double>(r.bytes()) / static_cast<double>(r.open_traces());
  state.counters["shed"] = static_cast<double>(r.counts().discarded_for_memory);
}
void ample(benchmark::State& state) { whole_message(state, 1 << 30); }
void is_short(benchmark::State& state) { whole_message(state, 1 << 18); }
BENCHMARK(ample)->Arg(0)->Arg(1'000)->Arg(10'000)->Arg(100'000);
BENCHMARK(is_short)->Arg(10'000)->Arg(100'000);

void as_a_line(benchmark::State& state) {
  trace::MessageTrace message_trace;
  Recorder r({.sample = 1, .max_traces_per_second = 1e9}, 1,
             [&](trace::MessageTrace&& s) { message_trace = std::move(s); });
  r.begin(0, 1, head());
  steps(r, 1, 0);
  std::size_t bytes = 0;
  for (auto _ : state) bytes = trace::to_json(message_trace).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(as_a_line);

}  // namespace
}  // namespace cedarplank
