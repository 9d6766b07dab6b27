// The relay's core: feeds events to one decision module (Dispatcher) and carries out the actions that it
// returns. Does no I/O: clock, transport, client answers and endpoint list are passed in through narrow
// interfaces, so that the same code runs on sockets and in scripted tests.
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "relay/final_answer.hpp"
#include "trace/recorder.hpp"

namespace cedarplank::relay {

using CallId = std::uint64_t;  // identifies one attempt handed to the transport

// A message as a protocol server submits it.
struct NewMessage {
  DestinationId destination = 0;
  int message_class = 0;
  int tenant = -1;  // -1: none
  Time time_left = 0;
  std::string order_key;        // empty: none
  std::string idempotency_key;  // forwarded to the endpoint
  std::string topic, content_type, content_encoding, urgency;
  std::string recipient, sender;  // at the destination, as "+255700100200"; empty: none
  std::string body;
  // Opaque data that the protocol server needs to recognize the message after a restart; stored with the
  // message and its answer. Empty: none.
  std::string owner;
  bool repeat = false;  // the client marked it as a resubmission
  // The client's connection and stream, for the message trace; 0: submitted through the library.
  std::uint64_t client_connection = 0;
  std::uint32_t client_stream = 0;
};

// One attempt, as the core hands it to the transport.
struct OutgoingCall {
  CallId id = 0;
  EndpointId endpoint;
  MessageId message_id = 0;
  int attempt = 0;
  Time time_left = 0;  // of the message
  std::shared_ptr<const NewMessage> message;
  int zone = 0;              // of the endpoint
  Time timeout = 0;          // how long to wait for the outcome of this attempt
  std::uint64_t bundle = 0;  // attempts with the same bundle may be sent as one call and share one slot
};

// What an endpoint reports about a message in addition to the outcome of the call: whether further attempts
// may be sent.
enum class RetryStatus {
  allowed,        // nothing known against further attempts
  message_ended,  // the message has already ended elsewhere
  exhausted,      // the message has used all its attempts
};

// Which connection a call went out on, as far as the transport reports it.
struct ConnectionUse {
  std::uint64_t number = 0;  // of the connection, within this run of the relay; 0: not reported
  unsigned call = 0;         // the connection's n-th call, from 1
  Time idle = 0;             // how long the connection had been idle before the call
};

// The result of a call, as seen on the connection.
struct CallResult {
  Outcome outcome = Outcome::served;
  Time told_wait = 0;
  Report report;
  std::string detail;    // status or reason, as text for logs and clients
  std::string location;  // served: the location of the message as reported by the endpoint
  RetryStatus retry_status = RetryStatus::allowed;
  ConnectionUse connection = {};
};

// Sends calls to endpoints and cancels them.
class Transport {
 public:
  // How far a cancelled call had got.
  enum class CancelResult {
    sent,        // some of it may have been sent
    connecting,  // it waited for a connection that was being opened
    queued,      // it waited for capacity on a connection
    // Not cancelled: the message shares its call with others that are still waited for. It may not be sent to
    // another endpoint meanwhile, and ends with that call.
    kept_in_bundle
  };
  virtual ~Transport() = default;
  virtual void send(const OutgoingCall& call) = 0;
  // Cancels the call. Nothing is reported for it afterwards, unless it is kept with its bundle.
  virtual CancelResult cancel(CallId call) = 0;
  // Cancels a call of which nothing has been sent yet. False if some of it has, or if the call is unknown.
  virtual bool cancel_unsent(CallId call) = 0;
  // Cancels a call that has been written but of which bytes are still in this machine's buffers; those are
  // discarded. False if no bytes are buffered, or if the call is unknown.
  virtual bool cancel_buffered(CallId call) {
    static_cast<void>(call);
    return false;
  }
  // Cancels all calls to the endpoint of which nothing has been sent yet, and returns them.
  virtual std::vector<CallId> cancel_all_unsent(const EndpointId& endpoint) = 0;
  // Closes the connections to the endpoint that have no calls out.
  virtual void close_idle(const EndpointId& endpoint) = 0;
  // Checks whether the endpoint answers; the result goes to Core::probe_ended().
  virtual void probe(const EndpointId& endpoint) = 0;
};

// Summary of a message that ended without being served.
struct AttemptSummary {
  int message_class = 0;
  int attempts = 0;
  std::string last_outcome;  // how the last attempt ended; empty: no attempt was made
  const char* reason = "";   // why the message was ended, as text for logs
};

// Receives the final answer of each message.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void served(MessageId id, const CallResult& ending) = 0;
  // Refused: submitting the message again is harmless. `come_back`: how long the client should wait; 0: not
  // stated.
  virtual void refused(MessageId id, Time come_back, const AttemptSummary& account) = 0;
  // Failed: the message may or may not have taken effect.
  virtual void failed(MessageId id, const AttemptSummary& account) = 0;
};

// Provides the endpoint list; results go to Core::list_whole(), list_changes() and list_failed().
class ListSource {
 public:
  virtual ~ListSource() = default;
  virtual void fetch() = 0;
  virtual void subscribe(bool on) = 0;
};

// Sends the decision module's notes to the peer relays.
class PeerChannel {
 public:
  virtual ~PeerChannel() = default;
  virtual void send_note(int peer, const std::string& body) = 0;  // -1: every peer; may be lost
};

// Receives the decision module's log lines.
class Log {
 public:
  virtual ~Log() = default;
  virtual void line(const std::string& text) = 0;
};

// The attempts made for a message by an earlier run of the relay: see Core::restore().
struct PriorAttempts {
  int attempts = 0;
  int ran_zone = -1;         // endpoint zone of the first attempt that may have run; -1: none
  Time ran_sent_at = 0;      // when that attempt was sent
  std::string last_outcome;  // how the last attempt ended
};

// Observer of everything that a relay must know again after a crash, in the order in which it happens. Sends
// and final answers are not reported here; they pass through Transport and AnswerSink.
class CoreObserver {
 public:
  virtual ~CoreObserver() = default;
  virtual void set_time(Time now) = 0;  // sets the time of the reports that follow
  virtual void message_accepted(MessageId id, const std::shared_ptr<const NewMessage>& message,
                                Time deadline) = 0;
  virtual void attempt_ended(const OutgoingCall& call, const CallResult& ending) = 0;
  virtual void message_withdrawn(MessageId id) = 0;
  virtual void endpoint_health_changed(const action::Seen& seen) = 0;
};

// Interface to the decision module, so that tests can substitute a decider that breaks a rule.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) = 0;
};
// The product's decision module.
std::unique_ptr<Decider> make_dispatcher(const Settings& settings, std::uint64_t seed);

// Holds the accepted messages, runs the decision rounds and gives each message one final answer.
class Core {
 public:
  struct Ports {
    Transport& transport;
    AnswerSink& answers;
    ListSource& list;
    PeerChannel& peer_channel;
    Log& log;
    trace::Recorder* trace = nullptr;  // records message traces; may be null
    CoreObserver* observer = nullptr;  // records the state for the next run; may be null
    // Bytes of the messages that share one call; a message that is larger by itself has a call of its own.
    std::size_t bundle_bytes_max = std::numeric_limits<std::size_t>::max();
  };
  Core(const Settings& settings, std::unique_ptr<Decider> decider, Ports ports);

  // Whether a message was accepted, and if not, why.
  enum class AcceptStatus {
    accepted,
    full,        // the buffer is full
    stopping,    // the relay is stopping
    unsupported  // set by the host only: the destination's protocol can't carry the message
  };
  // Accepts a message from a client.
  AcceptStatus accept(Time now, MessageId id, NewMessage message);
  // Restores a message that an earlier run of this relay accepted; `deadline` may have passed. The host must
  // run what is due afterwards.
  void restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message, Time deadline,
               const PriorAttempts& before);
  // Restores what an earlier run knew about an endpoint. To be called after the list that contains the
  // endpoint.
  void restore_endpoint(event::Known known) { events_.push_back(std::move(known)); }
  // Counts a message that was rejected before it reached the core with those that the core rejected.
  void count_rejected() { counts_.rejected++; }
  // The client cancels the message; no final answer is given. Returns the one that would have been correct;
  // `fail` also for a message that is unknown or has ended.
  FinalAnswer withdraw(Time now, MessageId id);

  // The transport reports the result of a call; ignored if the call has already ended.
  void call_ended(Time now, CallId call, CallResult ending);
  void probe_ended(EndpointId endpoint, Outcome outcome, Time latency);
  // A note arrived from a peer relay.
  void peer_note_received(int from, std::string body);
  // The whole endpoint list; `cached`: an earlier copy instead of a fresh one.
  void list_whole(std::vector<Endpoint> endpoints, bool cached);
  void list_changes(std::vector<Endpoint> endpoints);
  // The list could not be fetched.
  void list_failed();

  // Handles what is due: time-outs, timers, and a decision round if there are events and the tick has passed.
  void run_due(Time now);
  // When something is due next; a time in the past means now.
  Time next_due() const;

  // Starts the shutdown: no more messages are accepted.
  void stop_accepting() { stopping_ = true; }
  // Gives every held message its final answer now, by what is known about its attempts.
  void end_all(Time now);
  // The same, only for messages whose deadline has passed: for a host that no longer runs decision rounds.
  void end_overdue(Time now);

  bool stopping() const { return stopping_; }
  std::size_t held() const { return held_; }
  std::uint64_t rounds() const { return round_; }
  std::size_t slots_used() const { return bundles_.size(); }
  struct Counts {
    std::uint64_t accepted = 0, rejected = 0, served = 0, refused = 0, failed = 0, withdrawn = 0;
  };
  const Counts& counts() const { return counts_; }
  // Calls by the outcome that was reported to the decision module, and their total latency.
  struct OutcomeStats {
    std::uint64_t calls = 0;
    Time latency = 0;
  };
  // Messages that were refused or failed, by reason.
  const std::map<std::string, std::uint64_t>& unserved_by_reason() const { return unserved_by_reason_; }
  const OutcomeStats& outcome_stats(Outcome outcome) const {
    return outcome_stats_[static_cast<std::size_t>(outcome)];
  }

 private:
  struct Message {
    std::shared_ptr<const NewMessage> message;
    Time deadline = 0;
    int attempts = 0;
    AttemptHistory history;    // whether attempts may have run
    std::string last_outcome;  // how the last attempt ended
    bool ended = false;        // answered, or cancelled by the client
    // Why an endpoint wants no further attempts, if it does; the message then ends with its last call.
    const char* no_retry_reason = nullptr;
    std::set<CallId> calls_out;  // calls without an outcome
    Time ran_sent_at = -1;       // when the first attempt that may have run was sent; -1: none
  };
  struct Call {
    MessageId message = 0;
    int attempt = 0;
    EndpointId endpoint;
    Time sent = 0, times_out = 0;
    std::uint64_t bundle = 0;
    Time send_by = 0;  // must not be sent later than this; 0: no limit
    int zone = 0;      // of the endpoint
  };
  struct ListedEndpoint {  // an endpoint that was in a list; one that is gone stays while calls to it are out
    DestinationId destination = 0;
    int kind = 0;
    Listing listing = Listing::active;
    int zone = 0;
  };
  // Updates the known endpoints from a list and recalls calls to those that drain or are gone.
  void update_endpoints(const std::vector<Endpoint>& endpoints, bool whole);
  // Ends the calls to the endpoint of which nothing has been sent.
  void end_unsent_calls(const EndpointId& endpoint);
  // Ends all messages with a deadline up to `until`.
  void end_messages_due(Time now, Time until);
  void end_call(Time now, std::map<CallId, Call>::iterator it, const CallResult& ending);
  // Handles a call whose timeout has passed; the outcome depends on how far it had got.
  void handle_timeout(Time now, CallId id);
  // Ends the message if the endpoint reports that no further attempts may be sent and none is out.
  void apply_retry_status(Time now, MessageId id, Message& message, RetryStatus standing);
  // Gives the message its final answer without a decision of the module.
  void end_unserved(Time now, MessageId id, Message& message, const char* why);
  // Cancels calls of an ended message that have not been sent yet.
  void cancel_waiting_calls(MessageId id);
  // Removes the message once it has ended and has no calls out.
  void remove_if_done(MessageId id);
  // Adds a step to the message's trace; `fill` is called only if traces are recorded.
  template <typename Fill>
  void trace_step(Time now, MessageId id, trace::Step::What what, Fill fill);
  // Adds the final step of the message's trace.
  void trace_end(Time now, MessageId id, trace::Verdict verdict, Time come_back = 0);
  AttemptSummary summarize(const Message& m, const char* why) const {
    return {m.message->message_class, m.attempts, m.last_outcome, why};
  }
  void carry_out(Time now, const std::vector<Action>& actions);
  void send(Time now, const action::Send& a);

  const Settings settings_;
  std::unique_ptr<Decider> decider_;
  Ports ports_;
  std::map<MessageId, Message> messages_;
  std::map<CallId, Call> calls_;
  std::map<EndpointId, ListedEndpoint> endpoints_;
  std::map<std::uint64_t, int> bundles_;  // number of calls out by bundle; each bundle takes one slot
  // The current bundle of an endpoint in this round.
  struct RoundBundle {
    std::uint64_t id = 0;
    int messages = 0;
    std::size_t bytes = 0;
  };
  // What a message adds to a call that it shares with others, at most.
  static std::size_t bytes_in_bundle(const NewMessage& message);
  std::map<EndpointId, RoundBundle> round_bundles_;
  std::set<std::pair<Time, CallId>> timeouts_;
  std::set<std::pair<Time, CallId>> send_by_;  // repeats of keyed messages, by the end of their key window
  std::priority_queue<std::pair<Time, std::uint64_t>, std::vector<std::pair<Time, std::uint64_t>>,
                      std::greater<>>
      timers_;
  std::vector<Event> events_;
  CallId next_call_ = 1;
  std::uint64_t next_bundle_ = 1, round_ = 0;
  std::size_t held_ = 0;  // messages without a final answer
  Time last_round_ = 0, now_ = 0;
  bool stopping_ = false, in_round_ = false;
  Counts counts_;
  std::map<std::string, std::uint64_t> unserved_by_reason_;
  std::array<OutcomeStats, 8> outcome_stats_{};  // indexed by Outcome
};

// Result of submitting a message, with the reason as text if it was not accepted.
struct AcceptResult {
  Core::AcceptStatus status = Core::AcceptStatus::accepted;
  const char* reason = "";
};

}  // namespace cedarplank::relay
