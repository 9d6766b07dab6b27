// One relay on an event loop: puts together the core, the endpoint driver, the partner list, the journal and,
// if `serve` is set, the servers for HTTP/2 and SMPP clients. Single-threaded; cedarplank::delivery adds
// threads.
#pragma once

#include <functional>
#include <memory>

#include "back/driver.hpp"
#include "gateway/push_server.hpp"
#include "node/journal.hpp"
#include "node/partner_list_file.hpp"
#include "node/peer_notes.hpp"
#include "relay/partner_registry.hpp"
#include "relay/relay_assembly.hpp"
#include "sms/smpp_server.hpp"
#include "trace/trace_file.hpp"

namespace cedarplank::node {

class Node {
 public:
  using DeciderFactory = std::function<std::unique_ptr<relay::Decider>(const Settings&, std::uint64_t seed)>;
  using LogSink = std::function<void(const char* event, const std::string& text)>;

  // An owner, besides the servers, of messages that an earlier run left in the journal. Called while the node
  // starts.
  struct RecoveryHandler {
    // Returns the receiver of a held message's answer; null: the message belongs to another owner.
    std::function<relay::AnswerSink*(MessageId, const std::string& owner)> held;
    std::function<void(const journal::record::Answered&)> answered;  // the message has its answer
  };
  // Throws ConfigError, std::system_error or std::runtime_error if it cannot start.
  Node(loop::Loop& loop, config::RelaySettings settings, LogSink log,
       DeciderFactory decider = relay::make_dispatcher, bool serve = true,
       const RecoveryHandler& recovery = {});
  ~Node();

  // The addresses on which the HTTP/2 and the SMPP server listen; empty if there is none.
  std::string address() const { return push_server_ ? push_server_->address() : ""; }
  std::string smpp_address() const { return smpp_server_ ? smpp_server_->address() : ""; }

  // Submits a message, whose answer goes to `to`. `on_id` receives the message's id, or 0 if the node
  // rejects it at once, before any answer can come. Admission control rejects the message if the relay is
  // short of buffer, memory or time; a rejected message was never accepted, so it is harmless to repeat.
  relay::AcceptResult accept(relay::NewMessage message, relay::AnswerSink& to,
                             const std::function<void(MessageId)>& on_id);
  // Cancelled by its client: no answer is given.
  void withdraw(MessageId id);
  // The message's answer, which the journal keeps, has reached its receiver.
  void answer_delivered(MessageId id) {
    if (journal_) journal_->coordinator().answer_delivered(id);
  }
  std::optional<DestinationId> destination(const std::string& name) const {
    return partner_registry_.find_destination(name);
  }
  const std::string& name_of(DestinationId id) const { return partner_registry_.name_of(id); }
  // Gives every held message its final answer now.
  void end_all();
  // Accepts no further messages.
  void stop_accepting();
  // Takes over the settings that may change while the relay runs: see engine::reload_refusals().
  void apply(const config::RelaySettings& settings);
  const config::RelaySettings& settings() const { return settings_; }

  // No message is held, and every client's answer is written.
  bool drained() const {
    return core().held() == 0 && (!journal_ || journal_->settled()) &&
           (!push_server_ || push_server_->drained()) && (!smpp_server_ || smpp_server_->drained());
  }

  const relay::Core& core() const { return assembly_->core(); }
  const admission::AdmissionController& admission_controller() const {
    return assembly_->admission_control();
  }
  const Journal* journal() const { return journal_.get(); }  // null: the settings have none
  // Connections to endpoints, since the start.
  std::uint64_t connections_opened() const { return endpoint_driver_->connections_opened(); }

 private:
  // SMPP settings for endpoints of that kind; null: the kind uses HTTP/2.
  const config::SmppEndpointSettings* smpp_settings_of(int kind) const;
  // The only place where a partner's protocol is chosen, by its kind.
  std::unique_ptr<back::Link> connect(const config::PartnerEndpoint& endpoint, pool::LinkId link);
  void write_trace(trace::MessageTrace&& message_trace);  // to the trace file
  void flush_traces();   // each second: flushes the trace file, logs lost traces
  void schedule_turn();  // schedules a turn of the core for the end of the loop's turn
  void turn();           // lets the core do what is due
  void rearm();          // sets the timer for the core's next due time

  struct CoreLog final : relay::Log {
    LogSink sink;
    void line(const std::string& text) override { sink("module", text); }
  };

  loop::Loop& loop_;
  config::RelaySettings settings_;
  LogSink log_;
  CoreLog core_log_;
  relay::PartnerRegistry partner_registry_;
  std::unique_ptr<trace::TraceFile> trace_file_;  // null: no traces are written
  struct {
    std::uint64_t shed = 0, dropped = 0, slow = 0, errors = 0;
  } logged_trace_losses_;  // numbers of lost traces at the last log line
  std::uint64_t trace_flushes_ = 0;
  loop::TimerId trace_timer_ = 0;
  std::unique_ptr<Journal> journal_;  // null: the settings have none
  // Receives answers to messages that an earlier run accepted and no server or owner waits for: the journal
  // keeps them.
  struct DiscardedAnswers final : relay::AnswerSink {
    void served(MessageId, const relay::CallResult&) override {}
    void refused(MessageId, Time, const relay::AttemptSummary&) override {}
    void failed(MessageId, const relay::AttemptSummary&) override {}
  } discarded_answers_;
  JournalMessageRegistry message_index_{journal_};
  std::unique_ptr<PartnerListFile> list_;
  std::unique_ptr<PeerNotes> notes_;
  std::unique_ptr<gateway::PushServer> push_server_;
  std::unique_ptr<sms::SmppServer> smpp_server_;
  std::unique_ptr<back::EndpointDriver> endpoint_driver_;
  std::unique_ptr<relay::RelayAssembly> assembly_;
  bool turn_scheduled_ = false;
  loop::TimerId timer_ = 0;
  Time timer_at_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::node
