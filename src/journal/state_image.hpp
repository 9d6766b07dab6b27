// Materialized state of a journal: the messages held, the answers kept, and the waits and outages of
// endpoints. Records are applied the same way when they are written and when they are read after a restart,
// so the recovered state equals the state before. Also tracks which records are still needed and can express
// an item in one new record, so that the beginning of the log can be released. Free of I/O and clock.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "journal/records.hpp"

namespace cedarplank::journal {

using Sequence = std::uint64_t;  // number of a record in the log, from 1

class StateImage {
 public:
  // A message without a final answer.
  struct Held {
    record::Taken state;       // with the state of its attempts, at most kMaxOpenAttempts of them open
    Sequence needed_from = 0;  // the oldest record that is needed for it
  };
  // A final answer that is kept until it is delivered or its time is up.
  struct Answer {
    record::Answered answered;
    Sequence needed_from = 0;  // the record that holds it
  };

  // Applies records in the order of their sequence. After a crash a record may repeat an earlier one; records
  // about messages that are no longer known are skipped.
  void apply(Sequence sequence, const Record& record);

  const std::map<MessageId, Held>& held() const { return held_; }
  const std::map<MessageId, Answer>& answers() const { return answers_; }
  // A final answer that was delivered. Nothing more is to be sent; it is remembered so that a repeat of the
  // message is recognized.
  struct DeliveredAnswer {
    record::RememberedAnswer answer;
    Sequence needed_from = 0;  // the record that holds it, perhaps with others
  };
  const std::map<MessageId, DeliveredAnswer>& delivered_answers() const { return delivered_answers_; }
  // Forgets delivered answers whose time is up. While all together take more than `bytes_max`, also forgets
  // the oldest of those that are not owed any more; owed ones stay. Writes no record: after a restart they
  // are read from the log and forgotten again.
  void expire_delivered_answers(Time now, std::size_t bytes_max);
  // Delivered answers that were owed at the last call of expire_delivered_answers(), or came since.
  std::size_t owed_answers() const { return owed_answers_.size(); }
  // All delivered answers, in records of a bounded size.
  std::vector<record::Remembered> remembered_records() const;
  static constexpr std::size_t kDeliveredAnswerBytes = 28;  // of one in the log, in a record of many
  // Bytes of memory of one, beyond its approximate size in the log: nodes of three maps.
  static constexpr std::size_t kDeliveredAnswerMemory = 200;
  const std::map<EndpointId, std::pair<record::Told, Sequence>>& waits() const { return waits_; }
  const std::map<EndpointId, std::pair<record::Seen, Sequence>>& health() const { return health_; }
  const record::Base& base() const { return base_; }
  Time last_record_time() const {
    return last_record_time_;
  }  // time of the newest record, in the clock of the last Base
  MessageId next_id() const { return next_id_; }

  // The message with this idempotency key that is held or whose answer is kept. Keys are compared byte by
  // byte.
  std::optional<MessageId> find(const std::string& tenant, const std::string& destination,
                                const std::string& key) const;

  // The oldest record that is still needed; 0: none.
  Sequence oldest_needed() const { return items_by_record_.empty() ? 0 : items_by_record_.begin()->first; }
  // The item of the oldest needed record, complete in one new record. Once that is written and applied, the
  // item depends on the new record only. Delivered answers are small: the record holds also others that need
  // records before `before`. Needs oldest_needed() != 0.
  Record oldest_item_record(Time now, Sequence before = std::numeric_limits<Sequence>::max()) const;
  // The kept answer that expires first, if its time is up or the answers exceed a limit; 0: none.
  MessageId find_expired_answer(Time now, std::size_t answers_max, std::size_t bytes_max) const;
  std::size_t item_count() const { return items_by_record_.size(); }
  // Approximate size in the log of all that is needed.
  std::size_t approximate_bytes() const {
    return answer_bytes_ + held_bytes_ + delivered_answers_.size() * kDeliveredAnswerBytes;
  }
  // Without the delivered answers that are not owed any more, which give way.
  std::size_t approximate_owed_bytes() const {
    return answer_bytes_ + held_bytes_ + owed_answers_.size() * kDeliveredAnswerBytes;
  }
  // The part of a held message.
  static std::size_t approximate_bytes_of(const relay::NewMessage& message);

 private:
  enum class Kind { base, held, answer, delivered, wait, health };
  // An item of the state: id or endpoint is set, depending on the kind.
  using Item = std::tuple<Kind, MessageId, EndpointId>;
  using RequestKey =
      std::tuple<std::string, std::string, std::string>;  // tenant, destination, idempotency key
  // Records that `item` now depends on the record `sequence` instead of `current`, and updates `current`.
  void set_needed_record(Sequence& current, Sequence sequence, Item item);
  void drop_held(MessageId id);
  void drop_answer(MessageId id);
  void add_delivered(Sequence s, const record::RememberedAnswer& answer);
  // Records that a delivered answer now depends on the record `sequence`; 0: on none.
  void set_delivered_record(DeliveredAnswer& delivered, Sequence sequence);
  void drop_delivered(MessageId id);
  void on(Sequence s, Time at, const record::Base& r);
  void on(Sequence s, Time at, const record::Taken& r);
  void on(Sequence s, Time at, const record::Sending& r);
  void on(Sequence s, Time at, const record::Ended& r);
  void on(Sequence s, Time at, const record::Answered& r);
  void on(Sequence s, Time at, const record::Gone& r);
  void on(Sequence s, Time at, const record::Told& r);
  void on(Sequence s, Time at, const record::Seen& r);
  void on(Sequence s, Time at, const record::Remembered& r);
  void on(Sequence, Time, const record::Unknown&) {}

  std::map<MessageId, Held> held_;
  std::map<MessageId, Answer> answers_;
  std::map<MessageId, DeliveredAnswer> delivered_answers_;
  // Of all delivered answers: those that are owed, by the end of that time, and the others, by the time until
  // which they are remembered.
  std::set<std::pair<Time, MessageId>> owed_answers_, surplus_answers_;
  std::set<std::pair<Sequence, MessageId>> delivered_by_record_;  // by the record that they need
  std::map<EndpointId, std::pair<record::Told, Sequence>> waits_;
  std::map<EndpointId, std::pair<record::Seen, Sequence>> health_;
  std::map<RequestKey, MessageId> ids_by_key_;
  std::map<std::pair<Time, MessageId>, char>
      answers_by_expiry_;                          // kept answers by expiry; the value is unused
  std::map<Sequence, Item> items_by_record_;       // items by the record that they need
  std::size_t answer_bytes_ = 0, held_bytes_ = 0;  // approximate
  record::Base base_;
  Sequence base_needed_from_ = 0;
  Time last_record_time_ = 0;
  MessageId next_id_ = 1;
};

}  // namespace cedarplank::journal
