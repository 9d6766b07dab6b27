#include "trace/json.hpp"

#include <rapidjson/document.h>

#include <cmath>
#include <stdexcept>

#include "text/text.hpp"

namespace cedarplank::trace {
namespace {

using Writer = text::JsonWriter;

void text(Writer& w, const char* key, const std::string& value) {
  if (!value.empty()) text::write_json(w, key, value);
}

void write(Writer& w, const Step& s, Time from) {
  w.StartObject();
  w.Key("at"), w.Int64(s.at - from);
  w.Key("what"), w.String(name_of(s.what));
  if (s.attempt >= 0) w.Key("attempt"), w.Int(s.attempt);
  if (s.round > 0) w.Key("round"), w.Uint64(s.round);
  if (s.connection > 0) w.Key("connection"), w.Uint64(s.connection);
  if (s.stream > 0) w.Key("stream"), w.Uint(s.stream);
  if (s.span > 0) w.Key("span"), w.Int64(s.span);
  if (s.told_wait > 0) w.Key("told_wait"), w.Int64(s.told_wait);
  text(w, "endpoint", s.endpoint);
  text(w, "why", s.reason());
  w.EndObject();
}

// Largest number accepted: in microseconds since 1970 the year 2112. Sums of a few such values can't
// overflow.
constexpr std::int64_t kMaxNumber = std::int64_t{1} << 52;

// Reads the members of one JSON object. A member of the wrong type is an error; a missing one has its
// default.
class Members {
 public:
  Members(const rapidjson::Value& v, const char* of) : v_(v), of_(of) {
    if (!v.IsObject()) throw std::runtime_error(std::string(of) + " is no object");
  }
  std::string text(const char* key) const {
    const auto* v = find(key);
    if (v == nullptr) return {};
    if (!v->IsString()) fail(key, "a text");
    return {v->GetString(), v->GetStringLength()};
  }
  std::int64_t number(const char* key, std::int64_t min = 0, std::int64_t fallback = 0,
                      std::int64_t max = kMaxNumber) const {
    const auto* v = find(key);
    if (v == nullptr) return fallback;
    if (!v->IsInt64() || v->GetInt64() < min || v->GetInt64() > max) fail(key, "a whole number in range");
    return v->GetInt64();
  }
  bool flag(const char* key) const {
    const auto* v = find(key);
    if (v == nullptr) return false;
    if (!v->IsBool()) fail(key, "true or false");
    return v->GetBool();
  }
  const rapidjson::Value* find(const char* key) const {
    const auto it = v_.FindMember(key);
    return it == v_.MemberEnd() ? nullptr : &it->value;
  }

 private:
  [[noreturn]] void fail(const char* key, const char* wanted) const {
    throw std::runtime_error(std::string(of_) + ": '" + key + "' is not " + wanted);
  }
  const rapidjson::Value& v_;
  const char* of_;
};

// The enumerator whose name_of() is `name`. `of` describes the member in the error message.
template <typename E>
E enumerator_of(const std::string& name, int count, const char* of) {
  for (int i = 0; i < count; i++)
    if (name == name_of(static_cast<E>(i))) return static_cast<E>(i);
  throw std::runtime_error(std::string(of) + ": '" + name + "' is not known");
}

Step read_step(const rapidjson::Value& v, Time from) {
  const Members m(v, "a step");
  Step s;
  s.at = from + m.number("at");
  s.what = enumerator_of<Step::What>(m.text("what"), static_cast<int>(Step::What::withdrawn) + 1,
                                     "a step's 'what'");
  s.attempt = static_cast<int>(m.number("attempt", -1, -1, 1'000'000));
  s.round = static_cast<std::uint64_t>(m.number("round"));
  s.connection = static_cast<std::uint64_t>(m.number("connection"));
  s.stream = static_cast<std::uint32_t>(m.number("stream", 0, 0, 0xffff'ffff));
  s.span = m.number("span"), s.told_wait = m.number("told_wait");
  s.endpoint = m.text("endpoint"), s.composed_reason = m.text("why");
  return s;
}

}  // namespace

std::string to_json(const MessageTrace& s) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  text(w, "message", s.message), text(w, "key", s.key), text(w, "destination", s.destination);
  text(w, "class", s.message_class), text(w, "tenant", s.tenant);
  w.Key("verdict"), w.String(name_of(s.verdict));
  w.Key("wall"), w.Int64(s.wall);
  w.Key("took"), w.Int64(s.ended_at - s.accepted_at);
  if (s.deadline > 0) {
    w.Key("aim"), w.Int64(s.aim - s.accepted_at);
    w.Key("deadline"), w.Int64(s.deadline - s.accepted_at);
  }
  w.Key("stands_for"), w.Uint64(s.stands_for);
  if (s.watched) w.Key("watched"), w.Bool(true);
  if (s.elided > 0) w.Key("elided"), w.Uint(s.elided);
  w.Key("steps"), w.StartArray();
  for (const auto& step : s.steps) write(w, step, s.accepted_at);
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

MessageTrace from_json(std::string_view line) {
  rapidjson::Document d;
  // Parsed iteratively: a line of a million brackets must not exhaust the stack.
  d.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
  if (d.HasParseError()) throw std::runtime_error("this is no JSON");
  const Members m(d, "a story");
  MessageTrace s;
  s.message = m.text("message"), s.key = m.text("key"), s.destination = m.text("destination");
  s.message_class = m.text("class"), s.tenant = m.text("tenant");
  s.verdict = enumerator_of<Verdict>(m.text("verdict"), kVerdictCount, "a story's 'verdict'");
  s.wall = m.number("wall");
  s.accepted_at = s.wall;  // the writer's monotonic clock has no meaning in this process
  s.ended_at = s.accepted_at + m.number("took");
  s.aim = s.accepted_at + m.number("aim");
  s.deadline = m.find("deadline") == nullptr ? 0 : s.accepted_at + m.number("deadline");
  s.stands_for = static_cast<std::uint64_t>(m.number("stands_for", 1, 1));
  s.watched = m.flag("watched"), s.elided = static_cast<std::uint32_t>(m.number("elided", 0, 0, 0xffff'ffff));
  const auto* steps = m.find("steps");
  if (steps == nullptr || !steps->IsArray()) throw std::runtime_error("a story: 'steps' is no list");
  for (const auto& step : steps->GetArray()) s.steps.push_back(read_step(step, s.accepted_at));
  return s;
}

}  // namespace cedarplank::trace
