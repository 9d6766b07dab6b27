// Messages that SMPP clients have submitted, by the message id that the client got: long messages whose parts
// are still arriving, scheduled messages, messages that the relay holds, and the final states of the latest
// ones. Does no I/O and reads no clock; bounded.
//
// A message has one id, however many parts it has, and one final state; none is dropped without a final
// state.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "relay/request_validator.hpp"
#include "sms/semantics.hpp"

namespace cedarplank::sms {

struct Submission {
  std::string id, client;                // the message id, and the client's system_id
  std::uint8_t registered_delivery = 0;  // registered_delivery, section 5.2.17: whether a receipt is wanted
  Receipt receipt;                       // the receipt so far
  relay::Request request;                // has its body once all parts are there
  int tenant = -1;
  Time not_before = 0;           // not submitted to the relay before
  Time expires_at = 0;           // end of its validity
  std::uint64_t connection = 0;  // the client connection, for the message trace too
  std::uint32_t sequence = 0;    // sequence number of its submit, for the message trace
};

class Submissions {
 public:
  struct Settings {
    std::size_t scheduled_max = 10'000, parts_max = 10'000, states_max = 10'000;
    std::size_t bytes_max = 64 * 1024 * 1024;  // text of parts and scheduled messages
    Time parts_timeout = 300'000'000;  // us; a long message must be complete by then, whatever its validity
  };
  explicit Submissions(const Settings& settings) : settings_(settings) {}

  // ---- Long messages ----
  // What a part was: the first one, a further one, the one that completed the message, a duplicate, or
  // rejected for want of capacity.
  enum class Part { first, more, completed, duplicate, no_capacity };
  struct Added {
    Part part = Part::no_capacity;
    std::string id;                       // the id of the message that the part belongs to
    std::optional<Submission> completed;  // the complete message, its undecoded text in request.body
  };
  // `key` identifies the sender and its reference number. The submission of the first part is used for the
  // whole message. One client may use at most half of the capacity, so that it cannot shut out the others.
  Added add_part(Time now, const std::string& key, const smpp::PartInfo& part, Submission submission,
                 std::string text);

  // ---- Scheduled messages ----
  bool schedule(Submission& submission);  // moves from it; false: no capacity, and it is unchanged
  // Removes the scheduled messages that are due, and the long messages that ran out of time before they were
  // complete.
  void take_due(Time now, std::vector<Submission>& start, std::vector<Submission>& incomplete);
  Time next_due() const;
  // Removes everything that waits, for when the relay stops.
  std::vector<Submission> take_all();

  // ---- Messages that the relay holds ----
  // Records that the relay accepted the submission under this id.
  void add_accepted(MessageId message, Submission submission);
  // Removes the submission of a message that has ended.
  std::optional<Submission> remove_ended(MessageId message);
  // How many messages of that connection the relay holds.
  std::size_t accepted_count(std::uint64_t connection) const;
  // Cancels the scheduled messages under this id, and returns those that the relay holds for the caller to
  // cancel. Finds nothing where the id is not of this client or the messages have ended.
  struct Cancelled {
    bool found = false;
    std::vector<MessageId> messages;
  };
  Cancelled cancel(const std::string& client, const std::string& id, Time wall);
  // Replaces the content and times of a scheduled message; false where this client has none under this id, or
  // the new text exceeds the limit on bytes.
  bool replace(const std::string& client, const std::string& id, Content content, std::optional<Time> starts,
               std::optional<Time> ends);

  // ---- Message states, for query_sm ----
  struct State {
    std::uint8_t state = kEnroute;
    Time wall = 0;  // when it ended, us since 1970; 0: not yet
  };
  std::optional<State> state(const std::string& client, const std::string& id) const;
  void record_final_state(const std::string& client, const std::string& id, std::uint8_t state, Time wall);

  std::size_t held() const { return accepted_.size() + scheduled_.size() + incomplete_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  // Message id and a number: the recipients of one submit_multi share an id, so each message has its own
  // number.
  using Key = std::pair<std::string, std::uint64_t>;
  std::vector<Key> scheduled(const std::string& client, const std::string& id) const;
  struct IncompleteMessage {  // a long message that is not complete
    Submission submission;
    Time due = 0;
    int total = 0, received = 0;
    std::size_t bytes = 0;
    std::map<int, std::string> part_texts;
  };
  bool has_capacity(const std::string& client, std::size_t have, std::size_t most, std::size_t bytes) const;
  // Changes the client's number of incomplete and scheduled messages.
  void adjust_waiting(const std::string& client, int by);

  Settings settings_;
  std::map<std::string, std::size_t> waiting_by_client_;  // incomplete and scheduled messages, by client
  std::map<std::string, IncompleteMessage> incomplete_;   // by key
  std::set<std::pair<Time, std::string>> parts_due_;
  std::map<Key, Submission> scheduled_;
  std::set<std::pair<Time, Key>> scheduled_due_;
  std::uint64_t next_number_ = 1;
  std::map<MessageId, Submission> accepted_;                           // held by the relay
  std::map<std::uint64_t, std::size_t> by_connection_;                 // number of messages in accepted_
  std::multimap<std::string, MessageId> accepted_by_id_;               // the relay's ids of a message id
  std::map<std::string, std::pair<std::string, State>> final_states_;  // by id: client and state
  std::deque<std::string> final_states_order_;                         // oldest first
  std::size_t bytes_ = 0;
};

}  // namespace cedarplank::sms
