// Reads message traces back: shows one message's attempts across relays, and summarizes where the time of
// many messages went.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trace/message_trace.hpp"

namespace cedarplank::trace {

struct ReadResult {
  std::size_t traces = 0;
  std::size_t incomplete_lines = 0;  // incomplete last lines, which a relay had not finished writing
};
// Passes each trace of the files to `f`. Throws std::runtime_error naming file and line.
ReadResult read_traces(const std::vector<std::string>& files, const std::function<void(MessageTrace&&)>& f);

// Whether `name` is the message's id at the relay or the client's idempotency key.
bool matches_name(const MessageTrace& s, const std::string& name);
// Sorts by the time at which the messages were accepted. Relays on one host share the clock of these times.
void sort_by_wall_time(std::vector<MessageTrace>& traces);

// A trace as text for people, a line for each step.
std::string format_trace(const MessageTrace& s);

// Summarizes traces by class and verdict: how many messages they stand for and where their time went.
class TraceSummary {
 public:
  void add(const MessageTrace& s);
  // A table with the median and the 99th percentile of each part of the time.
  std::string format_table() const;

 private:
  struct WeightedValue {
    double value, weight;  // weight: the number of messages that the trace stands for
  };
  struct Row {
    std::uint64_t traces = 0, messages = 0, attempts = 0;
    std::vector<WeightedValue> total, added, held, connection, endpoint;
  };
  static double quantile(std::vector<WeightedValue> values, double q);
  std::map<std::pair<std::string, Verdict>, Row> rows_;
};

}  // namespace cedarplank::trace
