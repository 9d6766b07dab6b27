// The records of a relay's journal, as the rest of the program has them: see records.proto for their form on
// the disk. Free of I/O and state.
//
// Times are in microseconds of CLOCK_MONOTONIC of the run that wrote them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "relay/core.hpp"

namespace cedarplank::journal {

constexpr std::uint32_t kReader = 1;  // records up to this version are understood

struct Attempt {
  int number = 0;
  EndpointId endpoint;
  int zone = 0;
  Time at = 0;
};

namespace record {

struct Base {
  std::string boot;
  Time monotonic = 0, wall = 0;
  MessageId next_id = 1;
  Time shift = 0;
  std::uint64_t run = 0;
};

// A message with all that was done for it so far; alone it stands for all records about it before.
struct Taken {
  MessageId id = 0;
  std::string destination, message_class, tenant;
  // Its positions of names in settings and list are the writer's alone: read again they mean nothing.
  std::shared_ptr<const relay::NewMessage> message;
  Time deadline = 0;
  int attempts = 0;
  bool ran = false;
  int ran_zone = 0;
  Time ran_at = 0;
  std::vector<Attempt> out;
  std::string last;
};

struct Sending {
  MessageId id = 0;
  Attempt attempt;
};

struct Ended {
  MessageId id = 0;
  int attempt = 0;
  bool unrun = false;
  std::string what;
};

enum class Verdict { served, refused, failed };

struct Answered {
  MessageId id = 0;
  Verdict verdict = Verdict::served;
  Time come_back = 0;
  std::string message_class;
  int attempts = 0;
  std::string last;
  std::string destination, tenant, idempotency_key, owner;
  std::uint64_t fingerprint = 0;
  Time until = 0;            // 0: not kept
  Time remember = 0;         // once handed over, its end is remembered until then; 0: not at all
  bool handed_over = false;  // only its end is remembered
};

struct Gone {
  MessageId id = 0;
};

struct Told {
  EndpointId endpoint;
  Time until = 0;
};

struct Seen {
  EndpointId endpoint;
  action::Health health = action::Health::well;
  Time since = 0;
  double usual_rate = 0;
};

struct Other {};  // of a later version, which says that it may be passed over

}  // namespace record

struct Record {
  Time at = 0;
  std::variant<record::Base, record::Taken, record::Sending, record::Ended, record::Answered, record::Gone,
               record::Told, record::Seen, record::Other>
      what;
};

std::string encode(const Record& record);
// Empty where the record is understood, else why not.
std::string decode(std::string_view bytes, Record& record);

// The same for the same destination, class and body: tells a repeat from another message under its key.
std::uint64_t fingerprint(const std::string& destination, const std::string& message_class,
                          const relay::NewMessage& message);

std::string kind_of(const Record& record);
MessageId message_of(const Record& record);  // 0: of none
// One line of JSON, for people and programs; the body only as its length.
std::string text_of(const Record& record);

}  // namespace cedarplank::journal
