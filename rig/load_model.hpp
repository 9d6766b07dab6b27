// Model of the clients behind a load, without I/O: which messages are created, what a client does with each
// answer, and the counts. LoadClient drives it on sockets, the lab in virtual time.
#pragma once

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"

namespace cedarplank::rig {

// A message class as the clients use it.
struct LoadClass {
  std::string name;
  double share = 1;  // of all messages, relative to the other classes
  Effect effect = Effect::safe;
  Time deadline = 6'000'000;
  Time key_window = 0;
  bool ordered = false;
  Time aim = 1'000'000;
};

struct LoadSettings {
  std::uint64_t seed = 1;
  double rate = 100;            // messages per second; 0: as fast as `outstanding` allows
  std::uint64_t count = 0;      // total number of messages; 0: no limit
  std::size_t outstanding = 0;  // most messages without an answer; 0: no limit
  std::vector<LoadClass> classes;
  std::vector<std::string> destinations;
  double skew = 0.8;  // destination n gets a share of 1 / n^skew
  std::vector<std::string> tenants;
  std::string tenant_field;
  int topics = 40;                            // order keys of each destination, for ordered classes
  int retries = 2;                            // of refused messages
  Time backoff = 500'000;                     // before a retry without a told wait
  double honour = 1;                          // share of told waits that the clients keep
  double reset_share = 0;                     // share of requests that the client gives up before the answer
  std::size_t body = 256;                     // bytes
  int connections = 1;                        // to each target
  std::string smpp_system_id, smpp_password;  // if set: `smpp_share` of the messages goes by SMPP
  double smpp_share = 0;
};

class LoadModel {
 public:
  struct Message {
    std::uint64_t number = 0;
    std::size_t cls = 0, destination = 0;
    std::string key, topic;
    int tenant = -1;
    Time created_at = 0, last_request_at = 0;
    int request_count = 0;  // pushes so far
  };
  struct Tally {
    std::uint64_t created = 0, served = 0, refused = 0, failed = 0, unexpected = 0, lost = 0, reset = 0,
                  requests = 0;
    std::uint64_t within_aim = 0;  // served within the class's aim
    std::vector<Time> latencies;   // of served messages, from their creation
  };
  explicit LoadModel(const LoadSettings& settings);

  // The next message, created now; and the time until the one after it.
  Message create_message(Time now);
  Time next_interval();
  bool all_created() const { return settings_.count > 0 && next_number_ > settings_.count; }

  // For a request of a message: its name on the wire ("m-<number>.<request>"), the time to live that it
  // states in whole seconds, and whether and when its client gives it up.
  std::string request_name(const Message& m) const;
  // Whether this message goes by SMPP; the same for all messages of an order key.
  bool uses_smpp(const Message& m) const;
  Time ttl(const Message& m, Time now) const;
  void count_request(Message& m, Time now);
  bool draw_give_up();
  Time draw_give_up_delay();

  // What the client does after a request has ended: another after `wait`, or none.
  struct NextStep {
    bool retry = false;
    Time wait = 0;
  };
  NextStep on_answer(const Message& m, std::string_view status, Time told_wait, Time now);
  NextStep on_not_accepted(const Message& m, Time now);  // proved not accepted
  NextStep on_lost(const Message& m, Time now);          // the connection or relay was lost
  void on_given_up(const Message& m);

  void set_rate_multiplier(double times) { rate_multiplier_ = times; }
  void set_hot_destination(int destination, double share) {
    hot_destination_ = destination, hot_share_ = share;
  }
  // One tenant sends `times` its share of the messages.
  void set_greedy_tenant(int tenant, double times) { greedy_tenant_ = tenant, greedy_multiplier_ = times; }

  const LoadSettings& settings() const { return settings_; }
  const std::vector<Tally>& tallies() const { return tallies_; }  // by class
  std::uint64_t created() const { return next_number_ - 1; }
  std::uint64_t answered() const { return answered_; }
  std::size_t unanswered() const { return unanswered_; }  // messages without their final answer

 private:
  NextStep retry_or_refuse(const Message& m, Time wait, Time now);
  void count_ended() { answered_++, unanswered_--; }
  double uniform();

  LoadSettings settings_;
  pcg64 random_;
  std::vector<double> weights_;  // cumulative, of destinations
  std::vector<Tally> tallies_;
  std::uint64_t next_number_ = 1, answered_ = 0;
  std::size_t unanswered_ = 0;
  double rate_multiplier_ = 1, hot_share_ = 0, greedy_multiplier_ = 1;
  int hot_destination_ = -1, greedy_tenant_ = -1;
};

// The percentile `p` (0 to 1) of `values`, which it sorts; 0 if they are empty.
Time percentile(std::vector<Time>& values, double p);

}  // namespace cedarplank::rig
