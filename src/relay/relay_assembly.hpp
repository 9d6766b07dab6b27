// One relay without its I/O: admission control, core and trace recorder, assembled in the same way for
// sockets (node::Node) and for simulation in virtual time (lab::Simulation).
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "admission/admission_controller.hpp"
#include "config/relay_settings.hpp"
#include "relay/core.hpp"
#include "trace/recorder.hpp"

namespace cedarplank::relay {

// Owns admission control, core and trace recorder, and routes each final answer to the message's submitter.
class RelayAssembly {
 public:
  struct Ports {
    Transport& transport;
    ListSource& list;
    PeerChannel& peer_channel;
    Log& log;
    trace::Recorder::Sink trace_sink =
        {};  // if set, message traces are recorded as configured and passed to it
    // Interfaces put between the core and the outside, such as the journal's.
    struct Interceptors {
      Transport& transport;
      AnswerSink& answers;
      CoreObserver& observer;
    };
    // If set, creates those interfaces; `answers` is where they pass final answers on to.
    std::function<Interceptors(AnswerSink& answers)> make_interceptors = {};
  };
  RelayAssembly(const config::RelaySettings& settings, std::unique_ptr<Decider> decider, Ports ports);

  // Submits a message from a client; its final answer goes to `answers`. `on_id` is called with its id before
  // any answer can arrive. Admission control rejects the message if the relay is short of buffer, memory or
  // time; a rejected message was never accepted, so that repeating it is harmless.
  AcceptResult accept(Time now, NewMessage message, const std::string& destination, AnswerSink& answers,
                      const std::function<void(MessageId)>& on_id);
  // Restores a message that an earlier run accepted: see Core::restore().
  void restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message,
               const std::string& destination, Time deadline, const PriorAttempts& before,
               AnswerSink& answers);
  // New ids start at `id` at the lowest; those below were assigned by earlier runs.
  void reserve_ids_below(MessageId id) { next_id_ = std::max(next_id_, id); }
  // The client cancels the message; no final answer is given.
  void withdraw(Time now, MessageId id);
  // Records in the trace that an attempt was sent on a stream of a connection (stream 0: not known).
  void attempt_sent(Time now, const OutgoingCall& call, std::uint64_t connection, std::uint32_t stream);
  // Applies changed settings, as far as they may change while the relay runs.
  void update_settings(const config::RelaySettings& settings);

  Core& core() { return core_; }
  const Core& core() const { return core_; }
  admission::AdmissionController& admission_control() { return admission_control_; }
  const admission::AdmissionController& admission_control() const { return admission_control_; }
  const trace::Recorder* trace_recorder() const {
    return trace_recorder_.get();
  }  // null if traces are not recorded

 private:
  // Routes final answers to the submitters of the messages.
  struct AnswerRouter final : AnswerSink {
    struct PendingAnswer {
      AnswerSink* sink = nullptr;
      int tenant = -1;
      std::int64_t bytes = 0;
    };
    explicit AnswerRouter(admission::AdmissionController& d) : admission_control(d) {}
    admission::AdmissionController& admission_control;
    std::map<MessageId, PendingAnswer> pending;
    // Removes the message's entry, also from admission control; null if there is none.
    AnswerSink* remove(MessageId id);
    void served(MessageId id, const CallResult& ending) override;
    void refused(MessageId id, Time come_back, const AttemptSummary& account) override;
    void failed(MessageId id, const AttemptSummary& account) override;
  };

  Core::Ports core_ports(const Ports& ports);

  const config::RelaySettings& settings_;
  admission::AdmissionController admission_control_;
  AnswerRouter router_{admission_control_};
  std::unique_ptr<trace::Recorder> trace_recorder_;
  Core core_;
  MessageId next_id_ = 1;
};

}  // namespace cedarplank::relay
