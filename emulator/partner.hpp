// Model of one partner: a destination with its endpoints and their faults. It decides the outcome of each
// connection and call. Does no I/O and reads no clock: the stand-ins carry its decisions out on sockets, the
// lab in virtual time.
#pragma once

#include <memory>

#include "emulator/capacity.hpp"

namespace cedarplank::emulator {

// Faults of an endpoint.
enum class Fault {
  silent,           // accepts calls and never answers; nothing takes effect
  hang_reset,       // as silent, then the connection is reset
  shut,             // refuses all calls, with a told wait if one is set
  refuse,           // accepts connections and resets them at once
  down,             // no listener, connections reset
  errors,           // a share of the calls gets 500 at once
  slow,             // calls take `times` as long
  pause,            // neither reads nor answers until the fault ends, then continues
  drop_after_take,  // a call takes effect, then the connection is dropped without an answer
  answer_lost,      // a call takes effect, the answer is never sent
  goaway,           // GOAWAY while several calls are open: later streams are refused
  refused_stream,   // a share of the calls gets RST_STREAM(REFUSED_STREAM)
  garbage,          // sends bytes of another protocol
  dead_idle,        // connections that were idle fail silently: nothing on them is read any more
  handshake_slow,   // new connections get their SETTINGS only after a while
  few_streams,      // SETTINGS_MAX_CONCURRENT_STREAMS drops to `times`, on existing connections too
  // Only for message centres.
  bind_refused,   // new binds get ESME_RBINDFAIL; existing ones continue
  twice,          // a share of the responses is sent twice
  out_of_order,   // a share of the responses is delayed until the next one has been sent
  early_receipt,  // an unrequested receipt is sent before the response
  stray_receipt   // a receipt is sent for an id that was never assigned
};
// The faults by their names in scenario and stand-in files.
const std::map<std::string, Fault>& fault_names();
// Whether the fault is an outage, after which the destination is cold.
bool is_outage(Fault fault, double share);
// Whether existing connections are reset when the fault begins.
bool ends_connections(Fault fault);

struct FaultSettings {
  Fault fault{};
  double share = 1;      // share of the calls that are affected
  double times = 10;     // slow: how many times slower; few_streams: the limit
  Time wait = 0;         // shut: told wait; handshake_slow: until the SETTINGS
  Time after = 500'000;  // hang_reset: until the reset; dead_idle: idle for so long
};

struct EndpointSettings {
  std::string id;
  std::string address = "127.0.0.1:0";
  int connections_max = 0;  // 0: no limit
  int streams_max = 100;
};

struct DestinationSettings {
  std::string name;
  bool routes_apart = false;  // each endpoint has its own capacity; else they share one
  CapacitySettings capacity;
  bool smpp = false;    // a message centre; else a push gateway
  Time key_window = 0;  // how long a key is remembered
  // Fixed answers to the first, second, ... call of each message: a status, "drop" (takes effect, then the
  // connection is lost), "refuse" (REFUSED_STREAM) or "silent". The last one is repeated. If empty, the
  // capacity model and the faults decide.
  std::vector<std::string> answers;
  std::vector<EndpointSettings> endpoints;
};

// An effect that occurred.
struct Effect {
  Time at = 0;
  std::string endpoint, destination, message, key;
};

// The outcome of a call.
struct CallPlan {
  enum class Kind {
    answer,           // `status` at `at`
    no_answer,        // never answered
    drop_connection,  // the connection is lost at `at`
    refuse,           // REFUSED_STREAM at once: the call does not run
    go_away           // GOAWAY at once: this call and later ones on the connection are refused
  };
  Kind kind = Kind::answer;
  Time at = 0;
  int status = 201;
  Time wait = 0;              // told wait in the answer; 0: none
  bool takes_effect = false;  // takes effect at `at`, whether or not the caller still waits
};

class Partner {
 public:
  Partner(const DestinationSettings& settings, std::uint64_t seed);
  void add(const EndpointSettings& settings);  // may also be called later, as in a deploy

  const DestinationSettings& settings() const { return settings_; }
  CapacityModel& capacity_of(const std::string& endpoint);

  // What happens to a new connection while `open` others exist at the endpoint: it is accepted, reset at
  // once, answered in another protocol, or there is no listener.
  enum class ConnectionDecision { accept, reset, garbage, no_listener };
  ConnectionDecision decide_connection(const std::string& endpoint, Time now, std::size_t open);
  Time handshake_delay(const std::string& endpoint) const;  // delay of the SETTINGS on a new connection
  int max_calls(const std::string& endpoint) const;         // most calls open on one connection
  bool is_reading(const std::string& endpoint) const;       // false during a pause
  // Whether a connection that was unused for `idle` has failed (dead_idle).
  bool is_dead(const std::string& endpoint, Time idle) const;

  struct Call {
    std::string message, key, message_class;
    bool alone = true;  // no other call is open on its connection
  };
  // Decides the outcome of a call that arrives now.
  CallPlan call(const std::string& endpoint, Time now, const Call& call);

  void begin(const std::string& endpoint, Time now, const FaultSettings& fault);
  void end(const std::string& endpoint, Time now, Fault fault);
  // The settings of a fault that is present at the endpoint, or null.
  const FaultSettings* fault(const std::string& endpoint, Fault f) const;

 private:
  struct Endpoint {
    EndpointSettings settings;
    std::map<Fault, FaultSettings> faults;
    pcg32 random;
  };
  bool applies(Endpoint& e, Fault f);  // whether the fault is present and its share hits this call
  CallPlan plan_by_state(const std::string& endpoint, Time now, const Call& call);
  // Whether a call with this key was accepted within the key window; if not, remembers this one.
  bool is_repeat(Time now, const std::string& key);
  CallPlan plan_by_answers(Time now, const std::string& message);

  DestinationSettings settings_;
  std::uint64_t seed_;
  std::unique_ptr<CapacityModel> shared_capacity_;
  std::map<std::string, std::unique_ptr<CapacityModel>> endpoint_capacities_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, Time> keys_seen_at_;        // by key: when the first call with it was accepted
  std::map<std::string, std::size_t> call_counts_;  // by message: number of calls, if `answers` are set
};

}  // namespace cedarplank::emulator
