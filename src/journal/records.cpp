#include "journal/records.hpp"

#include <xxhash.h>

#include "journal/records.pb.h"
#include "text/text.hpp"

namespace cedarplank::journal {
namespace {

// Tags, lengths and numbers of a record, beside its texts and its body.
constexpr std::size_t kMaxFixedBytes = 256;
constexpr std::uint32_t kRememberedReader = 2;  // the first version that reads record::Remembered
constexpr std::size_t kMaxAttemptBytes = kMaxAttemptEndpointBytes + 48;

std::string bounded_outcome(const std::string& outcome) { return outcome.substr(0, kMaxOutcomeBytes); }

void to_pb(pb::Attempt& to, const Attempt& a) {
  to.set_number(a.number), to.set_zone(a.zone), to.set_at(a.at);
  to.set_endpoint(a.endpoint.substr(0, kMaxAttemptEndpointBytes));
}
Attempt from_pb(const pb::Attempt& a) { return {a.number(), a.endpoint(), a.zone(), a.at()}; }

// Visitor that fills the protobuf record.
struct Encoder {
  pb::Record& to;
  void operator()(const record::Base& r) const {
    auto& p = *to.mutable_base();
    p.set_boot(r.boot), p.set_monotonic(r.monotonic), p.set_wall(r.wall), p.set_next_id(r.next_id);
    p.set_shift(r.shift), p.set_run(r.run);
  }
  void operator()(const record::Taken& r) const {
    auto& p = *to.mutable_taken();
    const auto& m = *r.message;
    p.set_id(r.id), p.set_destination(r.destination), p.set_message_class(r.message_class);
    p.set_tenant(r.tenant), p.set_order_key(m.order_key), p.set_idempotency_key(m.idempotency_key);
    p.set_topic(m.topic), p.set_content_type(m.content_type), p.set_content_encoding(m.content_encoding);
    p.set_urgency(m.urgency), p.set_recipient(m.recipient), p.set_sender(m.sender), p.set_body(m.body);
    p.set_deadline(r.deadline), p.set_owner(m.owner), p.set_attempts(r.attempts), p.set_ran(r.ran);
    p.set_ran_zone(r.ran_zone), p.set_ran_at(r.ran_at);
    p.set_last(bounded_outcome(r.last));
    for (const auto& a : r.out) to_pb(*p.add_out(), a);
  }
  void operator()(const record::Sending& r) const {
    auto& p = *to.mutable_sending();
    p.set_id(r.id), to_pb(*p.mutable_attempt(), r.attempt);
  }
  void operator()(const record::Ended& r) const {
    auto& p = *to.mutable_ended();
    p.set_id(r.id), p.set_attempt(r.attempt), p.set_unrun(r.unrun);
    p.set_what(bounded_outcome(r.what));
  }
  void operator()(const record::Answered& r) const {
    auto& p = *to.mutable_answered();
    p.set_id(r.id), p.set_verdict(static_cast<pb::Answered::Verdict>(r.verdict));
    p.set_come_back(r.come_back), p.set_message_class(r.message_class), p.set_attempts(r.attempts);
    p.set_last(bounded_outcome(r.last)), p.set_destination(r.destination), p.set_tenant(r.tenant);
    p.set_idempotency_key(r.idempotency_key), p.set_owner(r.owner), p.set_fingerprint(r.fingerprint);
    p.set_until(r.until), p.set_remember(r.remember), p.set_handed_over(r.handed_over);
    p.set_owed_until(r.owed_until);
  }
  void operator()(const record::Gone& r) const { to.mutable_gone()->set_id(r.id); }
  void operator()(const record::Told& r) const {
    to.mutable_told()->set_endpoint(r.endpoint), to.mutable_told()->set_until(r.until);
  }
  void operator()(const record::Seen& r) const {
    auto& p = *to.mutable_seen();
    p.set_endpoint(r.endpoint), p.set_health(static_cast<pb::Seen::Health>(r.health));
    p.set_since(r.since), p.set_usual_rate(r.usual_rate);
  }
  void operator()(const record::Remembered& r) const {
    to.set_least_reader(kRememberedReader);
    auto& p = *to.mutable_remembered();
    MessageId previous = 0;
    for (const auto& a : r.answers) {
      p.add_id(static_cast<std::int64_t>(a.id - previous));
      previous = a.id;
      p.add_owner_hash(a.owner_hash);
      p.add_fingerprint(a.fingerprint);
      p.add_verdict(static_cast<std::uint32_t>(a.verdict));
      p.add_owed_until(a.owed_until - to.at());
      p.add_until(a.until - to.at());
      p.add_come_back(a.come_back);
    }
  }
  void operator()(const record::Unknown&) const {}
};

// False if the lists don't fit together or hold an unknown value.
bool remembered_from_pb(const pb::Remembered& p, Time at, record::Remembered& r) {
  const int count = p.id_size();
  for (const int other : {p.owner_hash_size(), p.fingerprint_size(), p.verdict_size(), p.owed_until_size(),
                          p.until_size(), p.come_back_size()})
    if (other != count) return false;
  MessageId id = 0;
  for (int i = 0; i < count; i++) {
    if (p.verdict(i) > static_cast<std::uint32_t>(record::Verdict::failed)) return false;
    id += static_cast<MessageId>(p.id(i));
    r.answers.push_back({id, p.owner_hash(i), p.fingerprint(i), static_cast<record::Verdict>(p.verdict(i)),
                         p.owed_until(i) + at, p.until(i) + at, p.come_back(i)});
  }
  return true;
}

// Moves the body out of `p`.
record::Taken taken_from_pb(pb::Taken& p) {
  record::Taken r;
  auto m = std::make_shared<relay::NewMessage>();
  r.id = p.id(), r.destination = p.destination(), r.message_class = p.message_class(), r.tenant = p.tenant();
  m->order_key = p.order_key(), m->idempotency_key = p.idempotency_key(), m->topic = p.topic();
  m->content_type = p.content_type(), m->content_encoding = p.content_encoding(), m->urgency = p.urgency();
  m->owner = p.owner(), m->recipient = p.recipient(), m->sender = p.sender(),
  m->body = std::move(*p.mutable_body());
  r.message = std::move(m), r.deadline = p.deadline(), r.attempts = p.attempts();
  r.ran = p.ran(), r.ran_zone = p.ran_zone(), r.ran_at = p.ran_at(), r.last = p.last();
  for (const auto& a : p.out()) r.out.push_back(from_pb(a));
  return r;
}

using Json = text::JsonWriter;

// Visitor that writes a record as members of a JSON object. Empty texts are left out.
struct JsonPrinter {
  Json& json;
  void text(const char* key, const std::string& value) const {
    if (!value.empty()) text::write_json(json, key, value);
  }
  void number(const char* key, std::int64_t value) const { json.Key(key), json.Int64(value); }
  void kind(const char* name) const { json.Key("record"), json.String(name); }
  void attempt(const Attempt& a) const {
    number("attempt", a.number), text("endpoint", a.endpoint), number("sent", a.at);
  }
  void operator()(const record::Base& r) const {
    kind("base"), text("boot", r.boot), number("monotonic", r.monotonic), number("wall", r.wall);
    number("next_id", static_cast<std::int64_t>(r.next_id)), number("shift", r.shift);
    number("run", static_cast<std::int64_t>(r.run));
  }
  void operator()(const record::Taken& r) const {
    kind(r.attempts > 0 ? "carried" : "taken"), number("id", static_cast<std::int64_t>(r.id));
    text("destination", r.destination), text("class", r.message_class), text("tenant", r.tenant);
    text("key", r.message->idempotency_key), text("order_key", r.message->order_key);
    number("deadline", r.deadline), number("bytes", static_cast<std::int64_t>(r.message->body.size()));
    if (r.attempts > 0) number("attempts", r.attempts), json.Key("may_have_run"), json.Bool(r.ran);
    if (r.out.empty()) return;
    json.Key("out"), json.StartArray();
    for (const auto& a : r.out) json.StartObject(), attempt(a), json.EndObject();
    json.EndArray();
  }
  void operator()(const record::Sending& r) const {
    kind("sending"), number("id", static_cast<std::int64_t>(r.id)), attempt(r.attempt);
  }
  void operator()(const record::Ended& r) const {
    kind("ended"), number("id", static_cast<std::int64_t>(r.id)), number("attempt", r.attempt);
    json.Key("never_ran"), json.Bool(r.unrun), text("what", r.what);
  }
  void operator()(const record::Answered& r) const {
    static constexpr const char* kNames[] = {"served", "refused", "failed"};
    kind("answered"), number("id", static_cast<std::int64_t>(r.id));
    text("answer", kNames[static_cast<int>(r.verdict)]), text("destination", r.destination);
    text("class", r.message_class), text("tenant", r.tenant), text("key", r.idempotency_key);
    number("attempts", r.attempts), text("last", r.last);
    if (r.until > 0) number("kept_until", r.until);
    if (r.remember > 0) number("remembered_until", r.remember);
    if (r.handed_over) json.Key("handed_over"), json.Bool(true);
  }
  void operator()(const record::Gone& r) const {
    kind("gone"), number("id", static_cast<std::int64_t>(r.id));
  }
  void operator()(const record::Told& r) const {
    kind("told_to_wait"), text("endpoint", r.endpoint), number("until", r.until);
  }
  void operator()(const record::Seen& r) const {
    static constexpr const char* kNames[] = {"well", "out", "returning"};
    kind("seen"), text("endpoint", r.endpoint), text("health", kNames[static_cast<int>(r.health)]);
    number("since", r.since), json.Key("usual_rate"), json.Double(r.usual_rate);
  }
  void operator()(const record::Remembered& r) const {
    kind("remembered"), number("answers", static_cast<std::int64_t>(r.answers.size()));
  }
  void operator()(const record::Unknown&) const { kind("of a later version"); }
};

MessageId message_id_of(const pb::Record& p) {
  switch (p.what_case()) {
    case pb::Record::kTaken:
      return p.taken().id();
    case pb::Record::kSending:
      return p.sending().id();
    case pb::Record::kEnded:
      return p.ended().id();
    case pb::Record::kAnswered:
      return p.answered().id();
    case pb::Record::kGone:
      return p.gone().id();
    default:
      return 0;
  }
}

}  // namespace

std::string encode(const Record& r) {
  pb::Record p;
  p.set_at(r.at);
  std::visit(Encoder{p}, r.what);
  return p.SerializeAsString();
}

DecodeResult decode(std::string_view bytes, Record& record) {
  using Status = DecodeResult::Status;
  pb::Record p;
  // What was read before the place that can't be read is kept.
  if (!p.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {Status::malformed, "can't be decoded", message_id_of(p)};
  if (p.least_reader() > kReaderVersion)
    return {Status::newer_version,
            "needs a program that reads version " + std::to_string(p.least_reader()) + "; this one reads " +
                std::to_string(kReaderVersion),
            message_id_of(p)};
  record.at = p.at();
  switch (p.what_case()) {
    case pb::Record::kBase: {
      const auto& b = p.base();
      record.what = record::Base{b.boot(), b.monotonic(), b.wall(), b.next_id(), b.shift(), b.run()};
      return {};
    }
    case pb::Record::kTaken:
      record.what = taken_from_pb(*p.mutable_taken());
      return {};
    case pb::Record::kSending:
      record.what = record::Sending{p.sending().id(), from_pb(p.sending().attempt())};
      return {};
    case pb::Record::kEnded:
      record.what = record::Ended{p.ended().id(), p.ended().attempt(), p.ended().unrun(), p.ended().what()};
      return {};
    case pb::Record::kAnswered: {
      const auto& a = p.answered();
      if (a.verdict() < 0 || a.verdict() > 2)
        return {Status::malformed, "has an unknown answer value", a.id()};
      record.what = record::Answered{a.id(),
                                     static_cast<record::Verdict>(a.verdict()),
                                     a.come_back(),
                                     a.message_class(),
                                     a.attempts(),
                                     a.last(),
                                     a.destination(),
                                     a.tenant(),
                                     a.idempotency_key(),
                                     a.owner(),
                                     a.fingerprint(),
                                     a.until(),
                                     a.remember(),
                                     a.handed_over(),
                                     a.owed_until()};
      return {};
    }
    case pb::Record::kGone:
      record.what = record::Gone{p.gone().id()};
      return {};
    case pb::Record::kTold:
      record.what = record::Told{p.told().endpoint(), p.told().until()};
      return {};
    case pb::Record::kSeen:
      if (p.seen().health() < 0 || p.seen().health() > 2)
        return {Status::malformed, "has an unknown health value"};
      record.what = record::Seen{p.seen().endpoint(), static_cast<action::Health>(p.seen().health()),
                                 p.seen().since(), p.seen().usual_rate()};
      return {};
    case pb::Record::kRemembered: {
      record::Remembered remembered;
      if (!remembered_from_pb(p.remembered(), p.at(), remembered))
        return {Status::malformed, "has lists that don't fit together"};
      record.what = std::move(remembered);
      return {};
    }
    case pb::Record::WHAT_NOT_SET:
      break;
  }
  record.what = record::Unknown{};
  return {};
}

std::size_t max_record_bytes(const relay::NewMessage& message, std::size_t names) {
  const std::size_t texts = message.order_key.size() + message.idempotency_key.size() + message.topic.size() +
                            message.content_type.size() + message.content_encoding.size() +
                            message.urgency.size() + message.recipient.size() + message.sender.size() +
                            message.owner.size();
  return kMaxFixedBytes + names + texts + message.body.size() + kMaxOutcomeBytes +
         kMaxOpenAttempts * kMaxAttemptBytes;
}

std::uint64_t fingerprint(const std::string& destination, const std::string& message_class,
                          const relay::NewMessage& message) {
  std::uint64_t h = XXH3_64bits(destination.data(), destination.size());
  h = XXH3_64bits_withSeed(message_class.data(), message_class.size(), h);
  return XXH3_64bits_withSeed(message.body.data(), message.body.size(), h);
}

std::uint64_t hash_of_owner(std::string_view owner) { return XXH3_64bits(owner.data(), owner.size()); }

std::string kind_of(const Record& r) {
  static constexpr const char* kKinds[] = {"base", "taken", "sending", "ended",      "answered",
                                           "gone", "told",  "seen",    "remembered", "of a later version"};
  return kKinds[r.what.index()];
}

MessageId message_id_of(const Record& r) {
  return std::visit(
      [](const auto& x) -> MessageId {
        if constexpr (requires { x.id; })
          return x.id;
        else
          return 0;
      },
      r.what);
}

std::string to_json(const Record& r) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("at"), json.Int64(r.at);
  std::visit(JsonPrinter{json}, r.what);
  json.EndObject();
  return buffer.GetString();
}

}  // namespace cedarplank::journal
