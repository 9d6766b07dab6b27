// One relay without its I/O: admission control, core and trace recorder, assembled in the same way for
// sockets (node::Node) and for simulation in virtual time (lab::World).
//
// All times are in microseconds of one monotonic clock that the host passes in.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "admission/door.hpp"
#include "config/relay_settings.hpp"
#include "relay/core.hpp"
#include "trace/recorder.hpp"

namespace cedarplank::relay {

// Owns admission control, core and trace recorder, and routes each final answer to the message's submitter.
class Desk {
 public:
  struct Ports {
    Transport& transport;
    ListSource& list;
    Notes& notes;
    Log& log;
    trace::Recorder::Sink story = {};  // if set, message traces are recorded as configured and passed to it
    // Interfaces put between the core and the outside, such as the journal's.
    struct Between {
      Transport& transport;
      Answers& answers;
      Witness& witness;
    };
    // If set, creates those interfaces; `answers` is where they pass final answers on to.
    std::function<Between(Answers& answers)> between = {};
  };
  Desk(const config::RelaySettings& settings, std::unique_ptr<Decider> decider, Ports ports);

  // Submits a message from a client; its final answer goes to `answers`. `on_id` is called with its id before
  // any answer can arrive. Admission control rejects the message if the relay is short of buffer, memory or
  // time; a rejected message was never accepted, so that repeating it is harmless.
  Entry take(Time now, NewMessage message, const std::string& destination, Answers& answers,
             const std::function<void(MessageId)>& on_id);
  // Restores a message that an earlier run accepted: see Core::restore().
  void restore(Time now, MessageId id, std::shared_ptr<const NewMessage> message,
               const std::string& destination, Time deadline, const Before& before, Answers& answers);
  // New ids start at `id` at the lowest; those below were assigned by earlier runs.
  void number_from(MessageId id) { next_ = std::max(next_, id); }
  // The client cancels the message; no final answer is given.
  void withdraw(Time now, MessageId id);
  // Records in the trace that an attempt was sent on a stream of a connection (stream 0: not known).
  void carried(Time now, const CallOrder& call, std::uint64_t connection, std::uint32_t stream);
  // Applies changed settings, as far as they may change while the relay runs.
  void set(const config::RelaySettings& settings);

  Core& core() { return core_; }
  const Core& core() const { return core_; }
  admission::Door& door() { return door_; }
  const admission::Door& door() const { return door_; }
  const trace::Recorder* stories() const { return stories_.get(); }  // null if traces are not recorded

 private:
  // Routes final answers to the submitters of the messages.
  struct Router final : Answers {
    struct Place {
      Answers* to = nullptr;
      int tenant = -1;
      std::int64_t bytes = 0;
    };
    explicit Router(admission::Door& d) : door(d) {}
    admission::Door& door;
    std::map<MessageId, Place> places;
    // Removes the message's entry, also from admission control; null if there is none.
    Answers* take(MessageId id);
    void served(MessageId id, const Ending& ending) override;
    void refused(MessageId id, Time come_back, const Account& account) override;
    void failed(MessageId id, const Account& account) override;
  };

  Core::Ports core_ports(const Ports& ports);

  const config::RelaySettings& settings_;
  admission::Door door_;
  Router router_{door_};
  std::unique_ptr<trace::Recorder> stories_;
  Core core_;
  MessageId next_ = 1;
};

}  // namespace cedarplank::relay
