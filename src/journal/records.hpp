// In-memory form of the journal's records, with their encoding, decoding and JSON output. The on-disk format
// is in records.proto; structs and fields are named as there. Free of I/O and state.
//
// Times are in microseconds of CLOCK_MONOTONIC of the run that wrote the record.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "relay/core.hpp"

namespace cedarplank::journal {

constexpr std::uint32_t kReaderVersion = 2;  // highest Record.least_reader that this program can read

// Bounds on what the record of a message may grow by after the message was accepted. Outcomes, and the names
// of attempts' endpoints, are only shown to people: they are cut when they are encoded.
constexpr std::size_t kMaxOutcomeBytes = 256;
constexpr std::size_t kMaxAttemptEndpointBytes = 256;
constexpr std::size_t kMaxOpenAttempts = 8;  // whose outcome is not known yet; see StateImage
// Of one record::Remembered. Its size is then below that of any record's limit in use.
constexpr std::size_t kMaxRememberedPerRecord = 1'000;

// One attempt to deliver a message to an endpoint.
struct Attempt {
  int number = 0;
  EndpointId endpoint;  // for people
  int zone = 0;
  Time at = 0;
};

namespace record {

// First record of a run: its clocks, its number and the next message id.
struct Base {
  std::string boot;
  Time monotonic = 0, wall = 0;  // read at the same moment
  MessageId next_id = 1;
  Time shift = 0;         // to be added to all times in earlier records
  std::uint64_t run = 0;  // from 1; 0: no run yet
};

// An accepted message with the state of its attempts. Replaces all earlier records of the message.
struct Taken {
  MessageId id = 0;
  std::string destination, message_class, tenant;
  // Its indexes (destination, class, tenant) are valid only in the run that wrote the record. After a restart
  // use the names above.
  std::shared_ptr<const relay::NewMessage> message;
  Time deadline = 0;
  int attempts = 0;
  bool ran = false;  // an attempt may have taken effect; zone and time of the first one:
  int ran_zone = 0;
  Time ran_at = 0;
  std::vector<Attempt> out;  // sent, outcome not known yet
  std::string last;          // outcome of the last ended attempt, as text
};

// An attempt is about to be sent.
struct Sending {
  MessageId id = 0;
  Attempt attempt;
};

// An attempt ended without the message having been served.
struct Ended {
  MessageId id = 0;
  int attempt = 0;
  bool unrun = false;  // proved not to have taken effect
  std::string what;    // outcome, as text
};

enum class Verdict { served, refused, failed };

// The final answer of a message.
struct Answered {
  MessageId id = 0;
  Verdict verdict = Verdict::served;
  Time come_back = 0;  // refused: how long the client should wait before it tries again
  std::string message_class;
  int attempts = 0;
  std::string last;
  std::string destination, tenant, idempotency_key, owner;
  std::uint64_t fingerprint = 0;
  Time until = 0;            // the answer is kept until then; 0: not kept
  Time remember = 0;         // once delivered, remembered until then; 0: not at all
  bool handed_over = false;  // already delivered; only remembered
  Time owed_until = 0;       // until then a repeat of the request may come in its time
};

// A final answer that was delivered, as far as it is needed to recognize a repeat of its request.
struct RememberedAnswer {
  MessageId id = 0;
  std::uint64_t owner_hash = 0;  // see hash_of_owner()
  std::uint64_t fingerprint = 0;
  Verdict verdict = Verdict::failed;
  Time owed_until = 0, until = 0, come_back = 0;  // as `owed_until`, `remember` and `come_back` of Answered
};

// Final answers that were delivered. Replaces the earlier records of these messages.
struct Remembered {
  std::vector<RememberedAnswer> answers;
};

// The message was cancelled by the client, or its answer is no longer kept.
struct Gone {
  MessageId id = 0;
};

// An endpoint asked to wait.
struct Told {
  EndpointId endpoint;
  Time until = 0;
};

// The health of an endpoint as the relay sees it.
struct Seen {
  EndpointId endpoint;
  action::Health health = action::Health::well;
  Time since = 0;
  double usual_rate = 0;
};

// A record kind of a later version, marked as safe to skip.
struct Unknown {};

}  // namespace record

struct Record {
  Time at = 0;
  std::variant<record::Base, record::Taken, record::Sending, record::Ended, record::Answered, record::Gone,
               record::Told, record::Seen, record::Remembered, record::Unknown>
      what;
};

// Whatever octets a record's texts hold, decode() can read what this returns.
std::string encode(const Record& record);

struct DecodeResult {
  enum class Status {
    ok,
    malformed,
    newer_version  // a later version wrote it, and it must not be skipped
  } status = Status::ok;
  std::string problem;    // why it can't be read
  MessageId message = 0;  // the message that it is about, as far as that could be read
  bool ok() const { return status == Status::ok; }
};
DecodeResult decode(std::string_view bytes, Record& record);

// The most bytes that the record of this message can come to, whatever happens to its attempts. `names`: the
// bytes of the names of its destination, class and tenant together.
std::size_t max_record_bytes(const relay::NewMessage& message, std::size_t names);

// Equal for requests with the same destination, class and body. Distinguishes a repeat from a different
// message sent under the same idempotency key.
std::uint64_t fingerprint(const std::string& destination, const std::string& message_class,
                          const relay::NewMessage& message);

// Stands for a message's owner where only equality counts. The same in each version of the program.
std::uint64_t hash_of_owner(std::string_view owner);

// Name of the record's kind, for counts by kind.
std::string kind_of(const Record& record);
MessageId message_id_of(const Record& record);  // 0: not about a message
// The record as one line of JSON. A message body is given only by its length.
std::string to_json(const Record& record);

}  // namespace cedarplank::journal
