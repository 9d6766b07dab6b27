// Reading stories again: one message's tries over all relays, and where the time of many went.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trace/story.hpp"

namespace cedarplank::trace {

struct Read {
  std::size_t stories = 0;
  std::size_t torn = 0;  // last lines that a relay had not finished
};
// Hands each story of the files to `f`. Throws std::runtime_error naming file and line.
Read read_stories(const std::vector<std::string>& files, const std::function<void(Story&&)>& f);

// Whether `name` is the relay's or the client's name of the message.
bool is_named(const Story& s, const std::string& name);
// In the order of their beginning, which on relays of one host is that of one clock.
void sort_by_time(std::vector<Story>& stories);

// A story for people, a line a step.
std::string tell(const Story& s);

// Of many stories, by class and verdict: how many messages they stand for and where their time went.
class Account {
 public:
  void add(const Story& s);
  // A table with the middle and the 99th hundredth of each part.
  std::string table() const;

 private:
  struct Weighted {
    double value, weight;
  };
  struct Row {
    std::uint64_t stories = 0, messages = 0, attempts = 0;
    std::vector<Weighted> whole, added, held, connection, endpoint;
  };
  static double quantile(std::vector<Weighted> values, double q);
  std::map<std::pair<std::string, Verdict>, Row> rows_;
};

}  // namespace cedarplank::trace
