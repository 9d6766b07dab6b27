// What a journal's records come to: the messages held, the answers kept, the waits and outages known. The
// same fold runs while records are written and when they are read again, so that what is recovered is what
// was there. Also tells which records are still needed, and writes an item anew in one record, so that the
// log's beginning can move on. Free of I/O and clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "journal/records.hpp"

namespace cedarplank::journal {

using Sequence = std::uint64_t;  // of a record in the log, from 1

class Image {
 public:
  struct Held {
    record::Taken now;  // with all that was done for it so far
    Sequence first = 0;
  };
  struct Answer {
    record::Answered is;
    Sequence first = 0;
  };

  // Records in the order of their sequence. Any record may come again after a crash, and any may speak of a
  // message that is no longer known: it is passed over then.
  void apply(Sequence sequence, const Record& record);

  const std::map<MessageId, Held>& held() const { return held_; }
  const std::map<MessageId, Answer>& answers() const { return answers_; }
  // Ends of messages whose answer was handed over: nothing is owed, but a copy of the message is known by
  // them.
  struct End {
    std::string owner;
    record::Verdict verdict = record::Verdict::failed;
    Time come_back = 0, until = 0;  // remembered until then
    std::uint64_t fingerprint = 0;
    Sequence first = 0;
    record::Answered as_record(MessageId id) const;
  };
  const std::map<MessageId, End>& remembered() const { return remembered_; }
  // Forgets those whose time is over, and the oldest ones beyond so many bytes. Needs no record: read again
  // from the log they are forgotten again.
  void forget_ends(Time now, std::size_t bytes_max);
  const std::map<EndpointId, std::pair<record::Told, Sequence>>& waits() const { return waits_; }
  const std::map<EndpointId, std::pair<record::Seen, Sequence>>& health() const { return health_; }
  const record::Base& base() const { return base_; }
  Time last_at() const { return last_at_; }  // of the newest record, in the last base's clock
  MessageId next_id() const { return next_id_; }

  // The message that a client named so: held, or with an answer kept. Names compare as they are.
  std::optional<MessageId> find(const std::string& tenant, const std::string& destination,
                                const std::string& key) const;

  // The oldest record that is needed, and the item alone in one record: its place is the new record's then.
  // 0: none is.
  Sequence oldest() const { return places_.empty() ? 0 : places_.begin()->first; }
  Record carried(Time now) const;
  // The oldest answer whose time is over by `now`, or which is one too many or too much; 0: none.
  MessageId outlived(Time now, std::size_t answers_max, std::size_t bytes_max) const;
  std::size_t items() const { return places_.size(); }
  std::size_t bytes() const { return answer_bytes_ + held_bytes_ + end_bytes_; }  // in the log, about

 private:
  enum class Kind { base, held, answer, end, wait, health };
  using Place = std::tuple<Kind, MessageId, EndpointId>;
  using Name = std::tuple<std::string, std::string, std::string>;
  void place(Sequence& at, Sequence sequence, Place what);
  void drop_held(MessageId id);
  void drop_answer(MessageId id);
  void remember(Sequence s, const record::Answered& answer);
  void drop_end(MessageId id);
  void on(Sequence s, Time at, const record::Base& r);
  void on(Sequence s, Time at, const record::Taken& r);
  void on(Sequence s, Time at, const record::Sending& r);
  void on(Sequence s, Time at, const record::Ended& r);
  void on(Sequence s, Time at, const record::Answered& r);
  void on(Sequence s, Time at, const record::Gone& r);
  void on(Sequence s, Time at, const record::Told& r);
  void on(Sequence s, Time at, const record::Seen& r);
  void on(Sequence, Time, const record::Other&) {}

  std::map<MessageId, Held> held_;
  std::map<MessageId, Answer> answers_;
  std::map<MessageId, End> remembered_;
  std::deque<std::pair<Time, MessageId>> remembered_until_;  // in the order of their records
  std::map<EndpointId, std::pair<record::Told, Sequence>> waits_;
  std::map<EndpointId, std::pair<record::Seen, Sequence>> health_;
  std::map<Name, MessageId> names_;
  std::map<std::pair<Time, MessageId>, char> ends_;                // of kept answers
  std::map<Sequence, Place> places_;                               // what needs which record, oldest first
  std::size_t answer_bytes_ = 0, held_bytes_ = 0, end_bytes_ = 0;  // about
  record::Base base_;
  Sequence base_first_ = 0;
  Time last_at_ = 0;
  MessageId next_id_ = 1;
};

}  // namespace cedarplank::journal
