// Calls to endpoints over HTTP/1.1: one call at a time per connection, with connections kept for the next
// call. This class decides nothing: a send leaves in the turn in which it is ordered, on an idle connection
// or a new one. Which answer belongs to which call is decided in answer_matching.hpp.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http1/message.hpp"
#include "loop/loop.hpp"
#include "net/socket.hpp"
#include "platform/answer_matching.hpp"
#include "platform/catalogue.hpp"
#include "platform/event_log.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class EndpointTransport final : public relay::Transport {
 public:
  struct Host {
    // A call has its outcome. Not called from within the relay::Transport functions.
    std::function<void(relay::CallId, relay::CallResult)> ended;
    EventLog* log = nullptr;  // may be null
  };
  struct Bounds {
    std::size_t connections = 256;  // at once, including idle ones
    Time connect_timeout = 1'000'000;
    Time idle = 5'000'000;                      // the endpoint closes a connection that is idle for this long
    bool second_copies = true;                  // a message may be in flight on two connections
    std::vector<bool> repeatable_classes = {};  // by class: whether its messages may run more than once
    std::vector<int> bundle_max = {};           // by kind: the most messages in one call
    std::size_t bulk_answer = 64 * 1024;        // bytes that are kept of an answer to a bulk call
  };
  // spoilt: malformed answers. stale: idle connections found closed, too old or of an old address. moved:
  // calls that went to another connection. full: calls for which no descriptor was left. unasked: how often
  // bytes came that belong to no call, and how many. unproved: answers that may not have been the call's own.
  // unconfirmed: calls that asked to close their connection and got no answer that says so.
  struct Counts {
    std::uint64_t calls = 0, reused = 0, opened = 0, spoilt = 0, stale = 0, moved = 0, full = 0;
    std::uint64_t unasked = 0, unasked_bytes = 0, unproved = 0, unconfirmed = 0;
  };
  EndpointTransport(loop::Loop& loop, Bounds bounds, Host host);
  ~EndpointTransport() override;

  // Applies an endpoint list: addresses to connect to, and idle connections that are of no use any more.
  void apply_list(const Catalogue& catalogue);
  // The endpoint's address has passed to another one: calls that are out have broken with their connections.
  void break_connections(const EndpointId& endpoint);
  // Sends what was ordered since the last flush; the messages of one bundle share a call.
  void flush();
  std::size_t connections() const { return connections_.size(); }
  std::size_t listed() const { return processes_.size(); }
  // Bytes that are allocated for connections, calls and answers.
  std::size_t memory() const;
  std::size_t calls_out() const { return calls_.size(); }
  const Counts& counts() const { return counts_; }

  // relay::Transport
  void send(const relay::OutgoingCall& call) override;
  CancelResult cancel(relay::CallId call) override;
  bool cancel_unsent(relay::CallId call) override;
  bool cancel_buffered(relay::CallId call) override;
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
  void probe(const EndpointId&) override {}  // the platform's protocol has no probes

 private:
  // The process that an endpoint is: one that has started anew, or moved, is another.
  struct Process {
    std::string address;
    std::int64_t started_ms = 0;
    bool operator==(const Process&) const = default;
  };
  struct Connection {
    std::uint64_t number = 0;
    EndpointId endpoint;
    Process process;
    std::unique_ptr<net::TcpStream> stream;
    http1::Parser reader{http1::Parser::Side::responses};
    bool connected = false;
    bool writing_started = false;  // bytes of the call have been written
    std::uint64_t end_offset = 0;  // offset in the stream at which the call ends, once begun
    char last_byte = 0;            // of the call: sent a moment after the other bytes
    Time ordered_at = 0;           // when the call was ordered
    unsigned call_count = 0;       // calls that the connection has carried, with this one
    Time idle_before_call = 0;     // how long it was idle before this call
    std::string last_answered;     // client id of the first message of the last answered call
    AnswerProof proof = AnswerProof::first_on_connection;  // of the call, once writing has started
    bool bulk = false;                                     // the call has the form of a bulk call
    bool asks_to_close = false;                            // the call asks to close the connection
    bool foreign_answers = false;                          // answers came that belong to no call
    std::size_t answer_bytes = 0;                          // of the answer that is being read, so far
    std::vector<std::string> called_ids;                   // client ids of the call's messages, as written
    std::set<std::string> carried_ids;                     // of all its calls
    std::vector<relay::OutgoingCall> members;              // messages of the call that have no outcome yet
    std::size_t message_count = 0;  // messages that the call has, or will start with; 0: idle
    bool outcome_reported = false;  // the outcome is reported; the rest of the answer is still to come
    Time idle_since = 0;
    loop::TimerId timer = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  // Assigns a call to a connection. `ordered`: when it was ordered.
  void assign_connection(std::vector<relay::OutgoingCall> bundle, Time ordered);
  std::pair<Time, Time> wait_key(const relay::OutgoingCall& call) const;
  // Writes the call of a connection that is up.
  void write_call(const ConnectionPtr& conn);
  void move_to_other_connection(const ConnectionPtr& conn);
  ConnectionPtr take_idle_connection(const EndpointId& endpoint, const Process& process);
  // Ensures that one more connection may be opened; false: none may.
  bool ensure_capacity();
  void connect(const ConnectionPtr& conn);
  bool reconnect_later(const ConnectionPtr& conn);
  ConnectionPtr open_connection(const EndpointId& endpoint, const Process& process);
  // Ends the calls to the endpoint that can't have run.
  void end_unsent(const EndpointId& endpoint, const char* why);
  // The connections that have a call to the endpoint.
  std::vector<ConnectionPtr> busy_connections(const EndpointId& endpoint) const;
  void handle_data(const ConnectionPtr& conn, std::string_view bytes);
  // Handles what the reader has of an answer. Returns whether the rest of the bytes is to be read as the next
  // answer.
  bool handle_answer(const ConnectionPtr& conn, std::size_t bytes_left);
  // Handles the head of an answer to a single call: a 200 counts whatever follows it.
  void handle_answer_head(const ConnectionPtr& conn);
  void handle_whole_answer(const ConnectionPtr& conn, AnswerMatch match, std::size_t bytes_left);
  void skip_foreign_answer(const ConnectionPtr& conn);
  AnswerMatch match_answer(const Connection& conn) const;
  // The outcomes that a complete answer gives to the call's messages.
  std::vector<relay::CallResult> outcomes_of_answer(const Connection& conn) const;
  // Whether the status line of an unfinished answer already proves that the single call was served.
  bool status_proves_served(const Connection& conn) const;
  void handle_close(const ConnectionPtr& conn, const std::string& why);
  // Counts and logs bytes that belong to no call.
  void report_unasked(const Connection& conn, std::size_t bytes);
  void log(const std::string& text);
  void handle_early_answer(const ConnectionPtr& conn);
  void finish_early_answer(const ConnectionPtr& conn, const relay::CallResult& ending);
  void handle_malformed_answer(const ConnectionPtr& conn);
  void finish_call(const ConnectionPtr& conn, bool reusable);
  // Reports the outcomes of the call's messages, in the order of `members`.
  void report_outcomes(const ConnectionPtr& conn, const std::vector<relay::CallResult>& endings);
  void report_same_outcome(const ConnectionPtr& conn, const relay::CallResult& ending);
  enum class CloseMode { plain, reset };
  // Closes and forgets the connection.
  void close_connection(const ConnectionPtr& conn, CloseMode how = CloseMode::plain);
  // Whether it is certain that the call has not run: its last byte has not been sent.
  bool cannot_have_run(const Connection& conn) const;
  bool may_repeat(const std::vector<relay::OutgoingCall>& members) const;
  bool takes_bulk(const EndpointId& endpoint) const;
  // Notes whether the endpoint confirms requests to close a connection.
  void note_close_confirmation(const ConnectionPtr& conn, bool confirmed);
  // Periodically closes connections whose idle time is nearly over.
  void close_expired();

  loop::Loop& loop_;
  const Bounds bounds_;
  Host host_;
  std::map<EndpointId, Process> processes_;
  std::map<EndpointId, int> kinds_;
  // Endpoints that did not confirm a request to close the connection: each call gets a new connection.
  std::set<EndpointId> unconfirming_;
  std::vector<relay::OutgoingCall> queued_;
  std::map<std::uint64_t, ConnectionPtr> connections_;
  std::map<EndpointId, std::vector<ConnectionPtr>> idle_;  // most recently used last
  std::map<relay::CallId, ConnectionPtr> calls_;
  std::uint64_t next_connection_ = 1;
  loop::TimerId sweep_timer_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // guards deferred callbacks
};

}  // namespace cedarplank::platform
