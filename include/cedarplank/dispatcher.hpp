// cedarplank: decides when and where messages are sent to the endpoints of external systems.
//
// A relay passes the events that it sees to one Dispatcher and carries out the actions that come back, with
// one call of handle() per round. The dispatcher never blocks, does no I/O, reads no clock and keeps no state
// outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Zones, kinds, classes and tenants have no names here: events
// carry their positions in the lists of the settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cedarplank {

using Time = std::int64_t;
using MessageId = std::uint64_t;
using EndpointId = std::string;
using DestinationId = std::int64_t;

// Whether a message may be repeated: always; within its idempotency key's window; never.
enum class Effect { safe, keyed, unsafe };
// Which endpoints of a destination recognize each other's idempotency keys: all, those of a zone or of a
// cell.
enum class KeyGroup { all, zone, cell };
enum class Decay { line, halves };  // how worth falls after the aim: linearly, or by half per aim's time
// What Endpoint::weight holds: nothing, the listed rate, or a rough estimate of it.
enum class WeightKind { none, nominal, rough };

struct ClassSettings {
  double worth = 1;           // full worth of a message
  double late_worth = 0;      // share of the worth that is left at the deadline
  Time aim = 1'000'000;       // a message delivered within this time earns the full worth
  Time deadline = 5'000'000;  // a message must not be delivered after this time
  Effect effect = Effect::safe;
  KeyGroup group = KeyGroup::all;
  Time key_window = 0;   // keyed: how long a destination remembers the key
  bool ordered = false;  // messages with the same order key are sent one at a time
};

struct KindSettings {         // a kind of destination
  bool routes_apart = false;  // each endpoint has its own limit, pace and outages
  int bundle_max = 1;         // maximum number of messages in one call
};

struct TenantSettings {
  double quota_per_s = 0;  // messages a second at full worth, over all relays; 0: unlimited
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // may be empty
  std::vector<double> zone_fees;        // fee of an endpoint with a limit of its own, by zone; may be empty
  Decay decay = Decay::line;
  WeightKind weights = WeightKind::none;
  double refused_price = 0;     // cost of a call refused above a limit, as a share of its class's worth
  double over_share_worth = 1;  // factor on the worth of messages beyond the tenant's quota
  int relays = 1;               // number of relays that share the destinations
  int rank = 0;                 // index of this relay among them
  int zone = 0;                 // zone of this relay
  int slots = 1;                // maximum number of calls in flight
  int open_max = 1;             // maximum number of messages held
  int attempts_max = 1;         // maximum number of attempts for one message
  bool second_copies = false;   // two attempts of a message may be in flight together
  bool cancelling = false;      // calls may be cancelled
  bool probes = false;          // endpoints may be probed
  bool peers = false;           // notes may be sent to other relays
  bool subscribe = false;       // changes of the list are sent to subscribers only
  Time tick = 1'000;            // minimum time between rounds
  Time connect_timeout = 1'000'000;
  Time connection_idle = 10'000'000;  // idle connections are closed after this time
  Time retry_after_max = 0;           // longest told wait that a client obeys
  Time answer_slack = 0;              // how long after the deadline a final answer is still accepted
  Time drain_grace = 0;
  Time must_ask_in = 0;  // 0: no such rule
  // How long an order key is blocked after an attempt that may have run.
  Time settle_after_doubt = 0;
  // A cold destination fails under this multiple of its present capacity if it lasts for `overload_for`.
  double fall_multiple = 2;
  Time overload_for = 1'000'000;
  double cold_from = 0.2;  // share of its capacity that a destination has right after an outage
  Time cold = 10'000'000;  // it has its full capacity again after this time at the latest
};

// Throws std::invalid_argument that names the first invalid setting.
void validate(const Settings& settings);

// How an attempt ended. `full`: refused above a limit, so it did not run; `not_sent`: it did not run,
// which says nothing about the endpoint.
enum class Outcome { served, error, full, timeout, connect_failed, reset, cancelled, not_sent };

// Load report of a destination; negative values were not reported.
struct Report {
  double limit_left = -1;  // unused share of the limit
  double limit_rate = -1;  // calls a second that the limit allows; 0 where there is none
};

enum class Listing { active, draining, gone };

struct Endpoint {
  EndpointId id;
  DestinationId destination = 0;
  int zone = 0;
  int kind = 0;
  Listing listing = Listing::active;
  double weight = 1;
  Time since = 0;  // when it was added; 0: unknown, long ago
};

namespace action {
// Health of an endpoint as the dispatcher judges it. `returning`: after an outage, with a limited rate.
enum class Health { well, out, returning };
}  // namespace action

namespace event {
// The complete list of endpoints.
struct ListWhole {
  std::vector<Endpoint> endpoints;
  bool cached = false;  // an earlier list, because the current one is not available
};
// Endpoints that were added, changed or removed.
struct ListChanges {
  std::vector<Endpoint> endpoints;
};
// A request for the list failed.
struct ListFailed {};
// A client submitted a message.
struct Arrival {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;
  int tenant = -1;  // -1: none
  Time time_left = 0;
  std::string order_key;  // empty: none
  bool repeat = false;    // the client submits it again
  // What an earlier relay had done for the message, if this one continues it.
  int attempts = 0;   // attempts made; the next one has this number
  int ran_zone = -1;  // zone of the first attempt that may have run; -1: none
  Time ran_for = 0;   // time since that attempt was sent
};
// What an earlier relay knew about a listed endpoint and, unless its routes have separate limits, about its
// destination.
struct Known {
  EndpointId endpoint;
  Time wait_left = 0;  // rest of a told wait
  action::Health health = action::Health::well;
  Time for_so_long = 0;   // duration of that health; negative: it begins in the future
  double usual_rate = 0;  // calls a second before the trouble
};
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Time latency = 0;
  bool closed = false;  // the message has ended
  Time told_wait = 0;   // with `full`: nothing may be sent to the destination for this time
  Report report;
};
// The client cancelled the message.
struct Withdrawn {
  MessageId id = 0;
};
struct TimerDue {
  std::uint64_t token = 0;
};
struct ProbeEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::served;
  Time latency = 0;
  Report report;
};
// A note that another relay sent by action::TellPeer.
struct PeerNote {
  int from = 0;
  std::string body;
};
}  // namespace event

using Event =
    std::variant<event::ListWhole, event::ListChanges, event::ListFailed, event::Arrival, event::AttemptEnded,
                 event::Withdrawn, event::TimerDue, event::ProbeEnded, event::PeerNote, event::Known>;

namespace action {
// Reason for an action, for human readers only. The strings are valid for the lifetime of the program.
struct Reason {
  const char* why = "";
  const char* held = "";  // why the message was not sent when last considered; empty: no such reason
};
// Makes an attempt. The attempts of a message are numbered from 0 in the order of their sends.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Time timeout = 0;
  Reason reason = {};
};
// Final answer: not delivered, and submitting the message again is harmless.
struct Refuse {
  MessageId id = 0;
  Time come_back = 0;  // told wait: when the client should submit it again, from now
  Reason reason = {};
};
// Final answer: given up. Says nothing on whether an attempt took effect.
struct Fail {
  MessageId id = 0;
  Reason reason = {};
};
// Abandons an attempt in flight.
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
// Closes the idle connections to an endpoint.
struct CloseIdle {
  EndpointId endpoint;
};
// Requests event::TimerDue after this time.
struct SetTimer {
  Time after = 0;
  std::uint64_t token = 0;
};
struct FetchList {};
// Requests the list and, from then on, its changes.
struct Subscribe {
  bool on = true;
};
struct Probe {
  EndpointId endpoint;
};
// Sends a note to another relay.
struct TellPeer {
  int whom = -1;  // its rank; -1: all others
  std::string body;
};
struct Log {
  std::string text;
};
// The dispatcher's judgement of an endpoint's health has changed. A host may store it for event::Known after
// a restart; it has no other effect.
struct Seen {
  EndpointId endpoint;
  Health health = Health::well;
  Time for_so_long = 0;   // negative: it begins in the future
  double usual_rate = 0;  // calls a second before the trouble
};
}  // namespace action

using Action = std::variant<action::Send, action::Refuse, action::Fail, action::Cancel, action::CloseIdle,
                            action::SetTimer, action::FetchList, action::Subscribe, action::Probe,
                            action::TellPeer, action::Log, action::Seen>;

class Dispatcher {
 public:
  // Throws std::invalid_argument if validate() does.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Handles one round: all events happen at `now`, which must not go back, and the actions take effect at
  // `now`, in their order. Appends to `actions`.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Number of endpoints, destinations, messages, order keys and calls kept, as a measure of memory use.
  std::size_t kept() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cedarplank
