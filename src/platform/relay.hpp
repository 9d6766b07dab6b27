// One relay on the platform: the platform's HTTP/1.1 protocol for clients, endpoints and discovery around one
// relay::Core, with a write-ahead journal in between. The dispatcher module makes all decisions on messages;
// this class carries them out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/address_owners.hpp"
#include "platform/attempt_log.hpp"
#include "platform/client_connections.hpp"
#include "platform/config.hpp"
#include "platform/discovery.hpp"
#include "platform/endpoint_transport.hpp"
#include "platform/event_log.hpp"
#include "platform/journal.hpp"
#include "platform/memory_budget.hpp"
#include "platform/notice_sender.hpp"
#include "platform/peers.hpp"
#include "platform/process_usage.hpp"
#include "platform/request_registry.hpp"
#include "platform/semantics.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class Relay final : relay::AnswerSink, relay::Log {
 public:
  using LogSink = EventLog::Sink;
  // Opens the journal, recovers what it holds, and starts to listen. Throws an exception that names the
  // cause. `log_lines_per_second`: the limit for each kind of event.
  Relay(loop::Loop& loop, Config config, LogSink log, int log_lines_per_second = EventLog::kLinesPerSecond);
  ~Relay() override;

  // Applies a new configuration. Only the address of discovery can change while the relay runs.
  void reload(const Config& config);
  // Starts the shutdown: the relay is no longer ready, accepts messages for a while longer, and then waits
  // for the outcomes of attempts in flight. Calls `stopped` once, early enough for a process that is killed
  // after 3.7 s; messages still held then stay in the journal.
  void stop(std::function<void()> stopped);

  bool ready() const { return unready_reason() == nullptr; }
  // Why the relay is not ready to accept messages; null: it is.
  const char* unready_reason() const;
  net::Address address() const { return clients_->address(); }
  std::size_t held() const { return core_->held(); }
  // Bytes of requests that clients have sent ahead of unanswered ones.
  std::size_t client_bytes_unread() const { return clients_->bytes_unread(); }
  std::string counts() const;  // the relay's counters, as one line of JSON
  const MemoryBudget& memory() const { return memory_; }
  const Journal& journal() const { return *journal_; }

 private:
  // A new message that is not acknowledged yet: the dispatcher has to decide on it and its record has to be
  // durable.
  struct Unacknowledged {
    MessageId id;
    std::uint64_t round;  // the core's round count when the message came
  };
  // A client that cancelled its request but may still read an answer, and the answer that it may get.
  struct CancelledRequest {
    ClientConnections::ConnectionId client;
    relay::FinalAnswer final_answer;
  };
  void handle_request(ClientConnections::ConnectionId client, http1::Message& request,
                      ClientConnections::Input input);
  // Answers the platform's readiness check.
  void answer_health_check(ClientConnections::ConnectionId client, const http1::Message& request);
  // Submits a new request to the core, or refuses it with 503.
  void submit(ClientConnections::ConnectionId client, SubmittedMessage in, std::uint64_t fingerprint,
              ClientConnections::Input input);
  // Answers a request whose id is known already.
  void answer_repeat(ClientConnections::ConnectionId client, const std::string& name,
                     const RequestRegistry::KnownRequest& known);
  // Rejects a request with `status` and the text `why`; logs and counts it.
  void reject(ClientConnections::ConnectionId client, const std::string& name, int status, const char* why);
  std::uint64_t fingerprint_of(const relay::NewMessage& message) const;
  // A client disconnected, or ended its sending, before its answer.
  void client_left(ClientConnections::ConnectionId client, ClientConnections::ReadSide reads);
  // Answers cancelled requests whose clients still read, once the journal is durable.
  void answer_cancelled();
  void log_end(const RequestRegistry::EndedRequest& ended, RequestState state,
               const relay::AttemptSummary& account);
  // Passes an endpoint list on to the connections and to the core; `cached`: it is from the configuration.
  void apply_list(const Catalogue& told, bool cached);
  // Recovers the state of the last run from the journal. Its messages go on once the list is settled.
  void recover();
  // From now on messages are accepted and sent, by the list that is known.
  void settle_list(const char* why);
  // A call for the list has failed.
  void handle_list_failure(DiscoveryClient::Failure how);
  // Throws std::runtime_error if the messages of the last run need more memory than there is.
  void check_recovered_memory();
  // Recovers the final answers that copies of ended requests still get.
  void recover_final_answers(Time now);
  // Schedules one turn for when the current event handlers have run.
  void schedule_turn();
  void run_turn();
  // Acknowledges accepted messages to their clients with 202.
  void acknowledge_accepted();
  // Bytes that the message will hold while it is held.
  static std::size_t memory_of(const relay::NewMessage& message);
  // These tell the budget what is held: messages, and all that don't report it themselves.
  void count_messages();
  void count_memory();
  // Periodically: counts memory, and logs who holds it when the process comes close to its limit.
  void watch_memory();
  // Gives free memory back to the system if what is held has changed much since it last did. Returns what the
  // process uses then.
  ProcessUsage release_unused_memory();
  // Calls the callback given to stop() once nothing is in flight.
  void check_stopped();
  // What to add to a Unix time, in us, to get a time of the core's monotonic clock.
  Time unix_to_monotonic() const;
  // Records a message's final state in the registry and returns its name and waiting clients.
  RequestRegistry::EndedRequest record_end(MessageId id, RequestState how, Time come_back = 0);
  // relay::AnswerSink
  void served(MessageId id, const relay::CallResult& ending) override;
  void refused(MessageId id, Time come_back, const relay::AttemptSummary& account) override;
  void failed(MessageId id, const relay::AttemptSummary& account) override;
  // relay::Log
  void line(const std::string& text) override { log_.log_text(Event::module, text); }

  loop::Loop& loop_;
  Config config_;
  EventLog log_;
  // Bytes after free memory was last given back.
  struct Released {
    std::size_t resident = 0, used = 0;
  };
  Released last_release_;
  MemoryBudget memory_;  // before all that hold some
  AddressOwners address_owners_;
  std::unique_ptr<EndpointTransport> endpoints_;
  std::unique_ptr<NoticeSender> notices_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Journal> journal_;
  std::unique_ptr<AttemptLog> attempt_log_;
  std::unique_ptr<relay::Core> core_;
  std::unique_ptr<ClientConnections> clients_;
  RequestRegistry requests_;
  std::vector<std::string> class_names_;  // by index in the settings
  std::vector<Unacknowledged> unacknowledged_;
  std::vector<CancelledRequest> cancelled_requests_;  // not answered yet
  std::set<DestinationId> destinations_;              // all that have appeared in an endpoint list
  MessageId next_id_ = 1;
  // Messages and endpoints of the last run, until the list is settled.
  journal::Recovered recovered_;
  int failed_list_calls_ = 0;  // until the list is settled
  loop::TimerId first_list_timer_ = 0;
  // In this order: discovery has answered since the start, or can't be reached; an endpoint list has named at
  // least one destination; a turn is scheduled; stop() was called; no more rounds of the dispatcher run
  // before the process ends.
  bool list_settled_ = false, has_list_ = false, turn_scheduled_ = false, stopping_ = false,
       no_more_rounds_ = false;
  std::map<std::string, std::uint64_t>
      rejected_by_reason_;  // rejected requests by reason, which is a fixed text
  std::map<std::string, std::uint64_t>
      repeats_by_state_;  // requests under a known id, by that request's state
  std::function<void()> on_stopped_;
  loop::TimerId timer_ = 0, memory_timer_ = 0;
  std::vector<loop::TimerId> stop_timers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // guards deferred callbacks
};

}  // namespace cedarplank::platform
