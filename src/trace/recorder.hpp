// Which messages' stories are recorded and kept, within bounds of memory and of lines a second. Free of I/O
// and clock. docs/design/trace.md weighs the options.
//
// Every message's steps are recorded while it is held; what is worth keeping is decided at its end, when that
// can be told. Nothing that a relay delivers depends on it: where memory or the budget runs short, stories
// are lost, and counted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "trace/story.hpp"

namespace cedarplank::trace {

struct Settings {
  std::size_t bytes_max = 16 * 1024 * 1024;  // of stories that are still open
  int steps_max = 32;                        // of one story; beyond it steps in the middle are left out
  int sample = 100;         // one in so many of the messages that went as they should is kept; 0: none
  double per_second = 200;  // stories kept, of all kinds together
  std::set<std::string> watch = {};  // destinations whose messages are all worth keeping
};

// Stories a second, shared so that no kind of trouble crowds out the others: half of the rate is split evenly
// over the kinds seen of late, the other half goes to who comes first.
class Budget {
 public:
  using Kind = std::pair<std::string, int>;
  explicit Budget(double per_second) : rate_(per_second), shared_{burst(rate_ / 2), 0} {}
  bool spend(Time now, const Kind& kind);
  void set(double per_second) { rate_ = per_second; }

 private:
  struct Bucket {
    double tokens = 0;
    Time at = 0;
  };
  static double burst(double rate) { return std::max(1.0, rate); }  // one second's worth
  static bool take(Bucket& b, Time now, double rate);
  double rate_;
  Bucket shared_;
  std::map<Kind, Bucket> kinds_;
};

// What is known of a message when it comes.
struct Head {
  std::string key, destination, message_class, tenant;
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  Time aim = 0, deadline = 0;  // moments
};

class Recorder {
 public:
  using Sink = std::function<void(Story&&)>;
  Recorder(Settings settings, std::uint64_t seed, Sink sink);

  void begin(Time now, MessageId id, Head head);
  // One that the door turned away has no more than this step.
  void turned_away(Time now, MessageId id, Head head, const char* why);
  // Ignored where the message's story is not recorded; told late steps too, after the answer.
  void step(MessageId id, Step step);
  // The final answer is given; `step` tells it. Or the client withdrew.
  void over(MessageId id, Verdict verdict, Step step);
  // No attempt is left: the story is kept or forgotten.
  void close(Time now, MessageId id);
  void set(Settings settings);

  struct Counts {
    std::uint64_t begun = 0;    // messages seen
    std::uint64_t shed = 0;     // stories given up for want of memory
    std::uint64_t kept = 0;     // handed to the sink
    std::uint64_t dropped = 0;  // worth keeping, but over the budget
  };
  const Counts& counts() const { return counts_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t open() const { return stories_.size(); }

 private:
  struct Live {
    Story story;
    std::size_t bytes = 0;
    bool plain = true;  // nothing has gone wrong so far
  };
  using Stories = std::unordered_map<MessageId, Live>;  // looked up only, never walked
  static std::size_t size_of(const Step& s);
  static Story make(Time now, MessageId id, Head&& head);
  bool make_room(std::size_t bytes, MessageId keep);
  void add(Live& live, Step&& step);
  void drop(Stories::iterator it);
  void judge(Time now, Story&& story);
  void not_plain(MessageId id, Live& live);

  Settings settings_;
  const std::uint64_t seed_;
  Sink sink_;
  Budget budget_;
  Stories stories_;
  std::set<MessageId> plain_;  // of the open ones
  std::map<Budget::Kind, std::uint64_t> unkept_;
  std::size_t bytes_ = 0;
  Counts counts_;
};

}  // namespace cedarplank::trace
