// Records message traces and decides which to keep, within limits of memory and of traces per second. Uses no
// I/O and reads no clock.
//
// The steps of every message are recorded while the relay holds it. Whether its trace is worth keeping is
// decided at its end, when that is known. No delivery depends on tracing: if memory or the rate limit runs
// short, traces are lost and counted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "trace/message_trace.hpp"

namespace cedarplank::trace {

// Limits, and which traces of messages that went well are kept.
struct Settings {
  std::size_t max_open_bytes = 16 * 1024 * 1024;  // of traces that are still open
  int max_steps_per_trace = 32;                   // of one trace; beyond it steps in the middle are left out
  int sample = 100;                    // of messages that went well one in this many is kept; 0: none
  double max_traces_per_second = 200;  // traces kept per second, of all kinds together
  // Destinations whose messages are all worth keeping, whatever their outcome.
  std::set<std::string> watch = {};
};

// A rate limit on kept traces, shared so that no kind of trouble crowds out the others: half of the rate is
// split evenly between the recently seen kinds, the other half is first come, first served.
class TraceRateLimit {
 public:
  using Kind = std::pair<std::string, int>;  // message class, and a number for verdict and watched or not
  explicit TraceRateLimit(double per_second) : rate_(per_second), shared_bucket_{burst(rate_ / 2), 0} {}
  bool try_acquire(Time now, const Kind& kind);  // whether a trace of this kind may be kept now
  void set_rate(double per_second) { rate_ = per_second; }

 private:
  struct Bucket {
    double tokens = 0;
    Time at = 0;
  };
  static double burst(double rate) { return std::max(1.0, rate); }  // tokens of one second, at least 1
  static bool try_take(Bucket& b, Time now, double rate);
  double rate_;
  Bucket shared_bucket_;
  std::map<Kind, Bucket> bucket_by_kind_;
};

// What is known about a message when it arrives.
struct MessageInfo {
  std::string key, destination, message_class, tenant;
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  Time aim = 0, deadline = 0;  // points in time
};

// Collects the steps of messages and passes finished traces that are worth keeping to a sink.
class Recorder {
 public:
  using Sink = std::function<void(MessageTrace&&)>;
  Recorder(Settings settings, std::uint64_t seed, Sink sink);

  // A message was accepted.
  void begin(Time now, MessageId id, MessageInfo head);
  // A message was rejected at admission: its trace consists of its arrival and that answer, and ends at once.
  void record_rejection(Time now, MessageId id, MessageInfo head, const char* why);
  // Adds a step; ignored if the message has no open trace. Steps may still come after the final answer.
  void record_step(MessageId id, Step step);
  // The final answer has been given, or the client has cancelled the message; `step` describes it.
  void record_end(MessageId id, Verdict verdict, Step step);
  // No attempt is under way any more: the trace is kept or discarded.
  void close(Time now, MessageId id);
  void update_settings(Settings settings);

  struct Counts {
    std::uint64_t begun = 0;                 // messages seen
    std::uint64_t discarded_for_memory = 0;  // traces discarded for lack of memory
    std::uint64_t kept = 0;                  // handed to the sink
    std::uint64_t over_rate_limit = 0;       // worth keeping, but over the rate limit
  };
  const Counts& counts() const { return counts_; }
  std::size_t bytes() const { return bytes_; }  // memory of the open traces
  std::size_t open_traces() const { return open_traces_.size(); }

 private:
  struct OpenTrace {
    MessageTrace message_trace;
    std::size_t bytes = 0;
    bool trouble_free = true;  // nothing has gone wrong so far
  };
  using OpenTraces = std::unordered_map<MessageId, OpenTrace>;  // only looked up, never iterated
  static std::size_t size_of(const Step& s);
  static MessageTrace make_trace(Time now, MessageId id, MessageInfo&& head);
  // Discards traces, but not that of `keep`, until `bytes` more fit. False if that is not possible.
  bool free_memory(std::size_t bytes, MessageId keep);
  void add(OpenTrace& live, Step&& step);
  void erase_trace(OpenTraces::iterator it);
  void keep_or_discard(Time now,
                       MessageTrace&& message_trace);  // passes the trace to the sink if it is worth keeping
  void mark_trouble(MessageId id, OpenTrace& live);

  Settings settings_;
  const std::uint64_t seed_;
  Sink sink_;
  TraceRateLimit rate_limit_;
  OpenTraces open_traces_;
  std::set<MessageId> trouble_free_;  // open traces in which nothing has gone wrong
  std::map<TraceRateLimit::Kind, std::uint64_t>
      since_last_kept_;  // messages since the last trace that was kept
  std::size_t bytes_ = 0;
  Counts counts_;
};

}  // namespace cedarplank::trace
