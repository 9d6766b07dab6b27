// Coordinator of the write-ahead journal: decides what a relay writes to its journal and when, and holds back
// what depends on it. Stands between the core and the outside: sends, answers and acknowledgements that must
// not be seen before a record is durable wait here. Free of I/O and clock: records go to a log, and become
// durable, through ports.
//
// For each record: when it is written, and what waits until it is durable.
//
// - taken: a message is accepted.
//   Waits: the acknowledgement to the client that the relay has the message.
// - sending: the module sends an attempt.
//   Waits: the attempt's bytes, where a repeat may do harm. Otherwise a crash would leave an attempt that
//   nobody knows of (rule 2).
// - ended: an attempt has its outcome.
//   Waits: nothing. Without the record the attempt counts as one that may have taken effect, which is safe.
// - answered: a final answer is due.
//   Waits: the answer. Otherwise a crash could lead to a second answer, and to a send after
//   the first (rule 1).
// - gone: the client cancelled the message, or its answer is no longer kept.
//   Waits: nothing.
// - told: a destination told the relay to wait.
//   Waits: nothing can. No send to it is decided before the record is written, so no such send is durable
//   without it (rule 6).
// - seen: the module sees an outage or its end.
//   Waits: nothing.
//
// Durable means that all records up to that one are durable: no record is lost while a later one survives.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "journal/state_image.hpp"
#include "relay/core.hpp"

namespace cedarplank::journal {

struct JournalCoordinatorSettings {
  std::vector<ClassSettings> classes;
  std::vector<std::string> class_names, tenant_names;
  Time answers_for = 3'600'000'000;  // how long final answers are kept
  // Limits on kept answers; beyond them the oldest is dropped.
  std::size_t answers_max = 100'000, answers_bytes_max = 128 << 20;
  // How long delivered answers of messages with an owner are remembered, as far as they fit into a third of
  // the window; 0: not at all. Those whose message could still come again in its time are owed: they are
  // remembered however much they take, and has_room_for_message() keeps them within bounds.
  Time delivered_answers_for = 0;
  // No new message is to be accepted beyond these. The first: bytes of what the log needs for held messages,
  // kept answers and owed delivered answers. The second: bytes of owed delivered answers, counting one for
  // each held message and kept answer, as those become one.
  std::uint64_t needed_bytes_max = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t owed_answers_bytes_max = std::numeric_limits<std::uint64_t>::max();
  // Bytes of records. Items that still need older records are rewritten.
  std::uint64_t window_bytes = 512ull << 20;
  // Bytes of one record. A larger one is not written, and what depends on it does not go on.
  std::size_t record_bytes_max = std::numeric_limits<std::size_t>::max();
};

// Which actions wait for their record. All are on in production; tests switch single ones off to show what
// breaks without them.
struct DurabilityWaits {
  bool risky_sends = true;      // sends wait for `sending`, for classes where a repeat may do harm
  bool answers = true;          // final answers wait for `answered`
  bool acknowledgement = true;  // acknowledgements wait for `taken`
};

class JournalCoordinator final : public relay::Transport,
                                 public relay::AnswerSink,
                                 public relay::CoreObserver {
 public:
  struct Ports {
    relay::Transport& transport;
    relay::AnswerSink& answers;
    std::function<std::string(DestinationId)> destination_name;
    // Returns the record's number; 0: the log accepts no more records.
    std::function<Sequence(std::string bytes)> append;
    std::function<void(Sequence upto)> release;  // records up to `upto` are no longer needed
    // A held-back call will never be sent. send() may call this, so the core must be informed later, outside
    // of its own round.
    std::function<void(relay::CallId, relay::CallResult)> call_dropped;
    // Whether the log has space for a record of so many bytes now.
    std::function<bool(std::size_t bytes)> has_room = [](std::size_t) { return true; };
    // A record can't be written, and why.
    std::function<void(const std::string&)> log = [](const std::string&) {};
  };
  JournalCoordinator(JournalCoordinatorSettings settings, StateImage image, Ports ports,
                     DurabilityWaits waits = {});

  // Counts a record that the log already holds, with its header, towards the window; called for each in
  // order. Otherwise the log of a relay that is restarted again and again would grow by a window at each
  // start.
  enum class ExistingRecord { durable, pending };
  void count_existing_record(Sequence sequence, std::size_t bytes,
                             ExistingRecord state = ExistingRecord::durable);
  // Writes the Base of this run. To be called once, after all calls of count_existing_record()
  // and before any other record is written.
  void write_base(const record::Base& base, Time now);
  // All records up to this one are durable. Runs what waited for them.
  void mark_durable(Sequence upto);
  // The journal accepts no more records. From now on answers are given without it. Acknowledgements that wait
  // are never given, and attempts whose repeat may do harm are no longer sent, because nobody would know of
  // them after a crash.
  void fail(const std::string& why);
  // Nothing becomes durable for now, but it may later. Acts as fail() does, but records are still written,
  // and acknowledgements wait for theirs.
  void set_stalled(bool stalled);
  bool failed() const { return failed_; }
  // While nothing becomes durable: gives the answers of messages past their deadline without waiting for
  // their record. If a restart still finds such a message held, it sends nothing more for it, because its
  // deadline has passed. Every other answer waits, because a restart would send the message again after it
  // had been answered (rule 1).
  void deliver_overdue_answers(Time now);
  // Whether an answer with this record may be given. A request for the answer must not get it earlier than
  // the message's own client may.
  bool may_deliver_answer(Sequence s) const {
    return failed_ || stalled_ || !waits_.answers || s <= durable_;
  }
  const std::string& failure_reason() const { return failure_reason_; }
  // True when nothing waits for the journal.
  bool is_idle() const { return waiting_.empty(); }

  // Whether one more message, and its final answer for the time that it is owed, would be within bounds.
  bool has_room_for_message() const;
  // Whether the record of this message can be written, whatever happens to its attempts later.
  bool may_record(const relay::NewMessage& message) const;
  // The record that a message was accepted.
  enum class AcceptanceRecord {
    pending,  // not durable yet
    durable,  // durable, or the message is not held
    rejected  // there is none, and won't be: the message must not be acknowledged
  };
  AcceptanceRecord acceptance_record(MessageId id) const;
  // Runs `then` when the record that the message was accepted is durable; at once if it already is, or if the
  // message is not held. Never runs it if the record is rejected or the journal fails before.
  void when_durable(MessageId id, std::function<void()> then);
  // The answer of this message is to be kept even if it has no idempotency key, for later requests.
  void keep_answer(MessageId id) {
    if (image_.held().count(id) > 0) answers_to_keep_.insert(id);
  }
  // A kept answer was delivered and need not be kept any more.
  void answer_delivered(MessageId id);

  // Ends a message of an earlier run whose class is no longer in the settings: without its class nothing else
  // can decide about it.
  void end_message_without_class(MessageId id);

  // How short of space the log is.
  enum class SpacePressure {
    none,     // items that need records older than the window are rewritten
    low,      // all items are, if that at least halves the log
    critical  // all items are
  };
  struct CompactionLimits {
    std::size_t items = 64;
    std::uint64_t bytes = std::numeric_limits<std::uint64_t>::max();  // of rewritten records
  };
  // Drops expired answers and rewrites items that need old records, as far as the limits and the log's space
  // allow; to be called periodically. The old records are released once the new ones are durable. Returns
  // true if a limit was reached, so that more may be left to do.
  bool compact(Time now, CompactionLimits limits, SpacePressure pressure = SpacePressure::none);

  // The current state. Still updated after the journal has failed, so requests can be answered from it.
  const StateImage& image() const { return image_; }
  std::uint64_t bytes_written() const { return bytes_written_; }  // including the records of earlier runs
  // relay::CoreObserver
  void set_time(Time now) override { now_ = std::max(now_, now); }
  void message_accepted(MessageId id, const std::shared_ptr<const relay::NewMessage>& message,
                        Time deadline) override;
  void attempt_ended(const relay::OutgoingCall& call, const relay::CallResult& ending) override;
  void message_withdrawn(MessageId id) override;
  void endpoint_health_changed(const action::Seen& seen) override;
  // relay::Transport
  void send(const relay::OutgoingCall& call) override;
  CancelResult cancel(relay::CallId call) override;
  bool cancel_unsent(relay::CallId call) override;
  bool cancel_buffered(relay::CallId call) override { return ports_.transport.cancel_buffered(call); }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override { ports_.transport.close_idle(endpoint); }
  void probe(const EndpointId& endpoint) override { ports_.transport.probe(endpoint); }
  // relay::AnswerSink
  void served(MessageId id, const relay::CallResult& ending) override;
  void refused(MessageId id, Time come_back, const relay::AttemptSummary& account) override;
  void failed(MessageId id, const relay::AttemptSummary& account) override;

 private:
  // An action that waits for a record to be durable.
  struct WaitingAction {
    enum class Kind { answer, acknowledgement, call } kind = Kind::answer;
    relay::CallId call = 0;
    std::function<void()> run;
    Time deadline = 0;  // deadline of the message, for an answer; 0: none
  };
  // Encodes, appends and applies the record. Returns its number; 0 if the journal has failed, or if the
  // record is too large, in which case it is not applied either.
  Sequence write_record(Record record);
  // Appends and applies a record that is encoded already. Returns as write_record() does.
  Sequence append_record(const Record& record, std::string bytes);
  // Writes the item that needs the oldest record anew, with others of its kind that need records before
  // `before`, if that can be read back and the log has space for it. Returns the bytes of the record; 0: it
  // was not written.
  std::size_t rewrite_oldest_item(Sequence before);
  // Bytes that delivered answers may take before those that are not owed any more give way.
  std::size_t delivered_answers_bytes_max() const;
  // The first record that is to be kept: items that need earlier ones are rewritten.
  Sequence first_record_to_keep(SpacePressure pressure);
  // Notes which records are needed by the state after the last one.
  void note_needed_records();
  // Releases the records that the durable state doesn't need.
  void release_unneeded();
  void count_bytes(Sequence sequence, std::size_t bytes);
  // Ends all waiting when the journal fails or stalls: answers are given, calls are refused. Acknowledgements
  // are dropped, or go on waiting while it stalls.
  void end_waiting();
  void record_answer(MessageId id, record::Verdict verdict, Time come_back,
                     const relay::AttemptSummary& account, std::function<void()> hand_over);
  void wait_until_durable(Sequence s, WaitingAction w);
  // Removes a held-back call. False where it is not held back.
  bool drop_held_back_call(relay::CallId call);
  bool repeat_may_harm(const relay::NewMessage& message) const;

  const JournalCoordinatorSettings settings_;
  StateImage image_;
  Ports ports_;
  const DurabilityWaits waits_;
  std::multimap<Sequence, WaitingAction> waiting_;
  std::map<relay::CallId, std::multimap<Sequence, WaitingAction>::iterator>
      held_back_calls_;                                        // calls in `waiting_`
  std::map<relay::CallId, EndpointId> endpoint_by_call_;       // of those calls
  std::set<MessageId> answers_to_keep_;                        // their answers are kept
  std::set<MessageId> unrecorded_;                             // accepted messages whose record was rejected
  std::deque<std::pair<Sequence, std::uint64_t>> byte_marks_;  // samples of `bytes_written_` by record
  std::uint64_t bytes_written_ = 0;
  Sequence durable_ = 0, released_ = 0, last_sequence_ = 0;
  // The oldest record that was needed after a record was applied, where that changed; of the records that are
  // not durable yet, and the latest durable one.
  std::deque<std::pair<Sequence, Sequence>> oldest_needed_after_;
  Sequence rewrite_before_ = 0;  // when low on space: items that need earlier records are rewritten
  Sequence unwritable_ = 0;      // the oldest needed record, if it was reported that it can't be rewritten
  std::string failure_reason_;
  Time now_ = 0;
  bool failed_ = false, stalled_ = false;
};

}  // namespace cedarplank::journal
