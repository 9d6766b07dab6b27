// What a relay writes to its journal, when, and what waits for it. Stands between the core and the outside:
// sends, answers and acknowledgements that must not be seen before a record is durable wait here. Free of I/O
// and clock: records go to a log and come back as durable through ports.
//
// | record   | written when                      | what waits until it is durable | | taken    | a message is
// taken                | word to the client that the relay has it                   | | sending  | the module
// sends an attempt       | the bytes of it, where a repeat may do harm: else a crash   | |          | | would
// leave an attempt that nobody knows of (rule 2)        | | ended    | an attempt has its outcome        |
// nothing: without it the attempt is in doubt, which is safe  | | answered | a final answer is due | the
// answer: else a crash could give a second one, and send  | |          |                                   |
// after the first (rule 1)                                   | | gone     | withdrawn, or no longer kept |
// nothing                                                    | | told     | a destination told us to wait |
// nothing can; and no send to it is decided before it is      | |          | | written, so that none is
// durable without it (rule 6)        | | seen     | the module sees an outage or its  | nothing | | | end | |
//
// Durable means all records up to that one: what is written earlier is never lost alone.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "journal/image.hpp"
#include "relay/core.hpp"

namespace cedarplank::journal {

struct KeeperSettings {
  std::vector<ClassSettings> classes;
  std::vector<std::string> class_names, tenant_names;
  Time answers_for = 3'600'000'000;                              // how long final answers are kept
  std::size_t answers_max = 100'000, answers_bytes = 128 << 20;  // beyond them the oldest goes
  // How long ends of messages with an owner are remembered, once their answer is handed over; as far as they
  // fit into a third of the window.
  Time ends_for = 0;
  std::uint64_t window =
      512ull << 20;  // bytes of records: what is still needed of older ones is written anew
};

// What waits for which record. Another table than this one is for tests that show what breaks then.
struct WaitsFor {
  bool risky_sends = true;      // for `sending`, of classes where a repeat may do harm
  bool answers = true;          // for `answered`
  bool acknowledgement = true;  // for `taken`
};

class Keeper final : public relay::Transport, public relay::Answers, public relay::Witness {
 public:
  struct Ports {
    relay::Transport& transport;
    relay::Answers& answers;
    std::function<std::string(DestinationId)> destination;
    // Numbers the record; 0: it can't be written any more.
    std::function<Sequence(std::string bytes)> append;
    std::function<void(Sequence upto)> release;  // records up to it are no longer needed
    // A send that was held back will never leave. Not called from within send().
    std::function<void(relay::CallId, relay::Ending)> unsent;
  };
  Keeper(KeeperSettings settings, Image image, Ports ports, WaitsFor waits = {});

  // What the log holds already, with its heads, one record after the other: it counts for the window too.
  // Guards against a relay that is started again and again, whose log would grow by a window each time.
  void found(Sequence sequence, std::size_t bytes);
  void begin(const record::Base& base, Time now);
  // All records up to this one are durable: what waited for them goes on.
  void durable(Sequence upto);
  // The journal takes no more. Answers are given without it from now on; sends that may do harm twice are not
  // made any more, since nobody would know of them after a crash.
  void fail(const std::string& why);
  // Nothing becomes durable for now, though it may again: as after fail(), but records go on to be written.
  void stall(bool stalled);
  bool failed() const { return failed_; }
  // While nothing becomes durable for now: answers whose message's time is up are told without their record.
  // A start that finds such a message held sends nothing for it any more, since its time is up then too;
  // every other answer waits, since a start would send the message again after it had been told (rule 1).
  void tell_overdue(Time now);
  // Whether an answer with this record may be told: nobody who asks hears it before its own client may.
  bool may_be_told(Sequence s) const { return failed_ || stalled_ || !waits_.answers || s <= durable_; }
  const std::string& why_failed() const { return why_; }
  // Nothing waits for the journal.
  bool settled() const { return waiting_.empty(); }

  // Runs `then` when what was taken as `id` is durable; at once where it is. Not at all once it has its
  // answer.
  void when_taken(MessageId id, std::function<void()> then);
  // Its answer is kept, where it has a key or `fetched`: someone may ask for it later.
  void keep_answer(MessageId id) {
    if (image_.held().count(id) > 0) asked_for_.insert(id);
  }
  // A kept answer was handed over for good.
  void handed_over(MessageId id);

  // Ends a message of an earlier run whose class is gone from the settings: no one else can decide of it.
  void end_classless(MessageId id);

  // Forgets what is over and writes anew what is old, at most `most` items; to be called now and then. True
  // where more is left to do. `pressed`: the log is short of room, and what can be given up is, window or
  // not.
  bool tidy(Time now, std::size_t most, bool pressed = false);

  // Goes on with what is done when the journal has failed: it answers who asks.
  const Image& image() const { return image_; }
  std::uint64_t written() const { return written_; }  // bytes, with what was found
  // relay::Witness
  void at(Time now) override { now_ = std::max(now_, now); }
  void taken(MessageId id, const std::shared_ptr<const relay::NewMessage>& message, Time deadline) override;
  void ended(const relay::CallOrder& call, const relay::Ending& ending) override;
  void withdrawn(MessageId id) override;
  void seen(const action::Seen& seen) override;
  // relay::Transport
  void send(const relay::CallOrder& call) override;
  Recalled cancel(relay::CallId call) override;
  bool take_back(relay::CallId call) override;
  bool withhold(relay::CallId call) override { return ports_.transport.withhold(call); }
  std::vector<relay::CallId> recall(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override { ports_.transport.close_idle(endpoint); }
  void probe(const EndpointId& endpoint) override { ports_.transport.probe(endpoint); }
  // relay::Answers
  void served(MessageId id, const relay::Ending& ending) override;
  void refused(MessageId id, Time come_back, const relay::Account& account) override;
  void failed(MessageId id, const relay::Account& account) override;

 private:
  struct Waiting {
    enum class Kind { word, call, release } kind = Kind::word;  // word: to a client
    relay::CallId call = 0;
    std::function<void()> go;
    Time due = 0;  // of an answer: when its message's time is up; 0: it has none
  };
  Sequence write(Record record);
  void count(Sequence sequence, std::size_t bytes);
  void let_go();
  void answered(MessageId id, record::Verdict verdict, Time come_back, const relay::Account& account,
                std::function<void()> hand_over);
  void wait_for(Sequence s, Waiting w);
  bool drop_waiting(relay::CallId call);
  bool risky(const relay::NewMessage& message) const;

  const KeeperSettings settings_;
  Image image_;
  Ports ports_;
  const WaitsFor waits_;
  std::multimap<Sequence, Waiting> waiting_;
  std::map<relay::CallId, std::multimap<Sequence, Waiting>::iterator> held_back_;  // calls in it
  std::map<relay::CallId, EndpointId> endpoint_of_;                                // of those
  std::set<MessageId> asked_for_;
  std::deque<std::pair<Sequence, std::uint64_t>> marks_;  // bytes written up to a record, now and then
  std::uint64_t written_ = 0;                             // bytes
  Sequence durable_ = 0, released_ = 0, last_ = 0;
  Sequence anew_to_ = 0;  // while pressed: all before it is written anew
  std::string why_;
  Time now_ = 0;
  bool failed_ = false, stalled_ = false;
};

}  // namespace cedarplank::journal
