#include "gateway/semantics.hpp"

#include <time.h>

#include <algorithm>
#include <charconv>

#include "text/text.hpp"

namespace cedarplank::gateway {
namespace {

// Limit of the wait that an endpoint can ask for by Retry-After.
constexpr std::int64_t kMaxToldWaitSeconds = 24 * 3600;
// Limit of a client's TTL.
constexpr std::int64_t kMaxTtlSeconds = 10LL * 365 * 24 * 3600;

// A non-negative decimal number; the largest int64 where it doesn't fit.
std::optional<std::int64_t> parse_whole_number(std::string_view text) {
  std::int64_t v = 0;
  if (text.empty() || text.front() == '-') return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (end != text.data() + text.size()) return std::nullopt;
  if (error == std::errc::result_out_of_range) return std::numeric_limits<std::int64_t>::max();
  return error == std::errc() ? std::optional(v) : std::nullopt;
}

// -1 for any other character.
int hex_digit_value(char c) {
  return c >= '0' && c <= '9'   ? c - '0'
         : c >= 'a' && c <= 'f' ? c - 'a' + 10
         : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                : -1;
}
// Nothing if an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i++) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size() || hex_digit_value(text[i + 1]) < 0 || hex_digit_value(text[i + 2]) < 0)
      return std::nullopt;
    out.push_back(static_cast<char>(hex_digit_value(text[i + 1]) << 4 | hex_digit_value(text[i + 2])));
    i += 2;
  }
  return out;
}

}  // namespace

std::optional<std::int64_t> parse_http_date(std::string_view text) {
  const std::string t(text);
  for (const char* form :
       {"%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT", "%a %b %e %H:%M:%S %Y"}) {
    tm parts{};
    const char* end = strptime(t.c_str(), form, &parts);
    if (end != nullptr && *end == 0) return timegm(&parts);
  }
  return std::nullopt;
}

Time parse_retry_after(std::string_view value, std::string_view date, std::int64_t wall_clock) {
  std::int64_t seconds = 0;
  if (const auto n = parse_whole_number(value)) {
    seconds = *n;
  } else if (const auto until = parse_http_date(value)) {
    // Counted from the peer's own clock if the response has a Date, since the two clocks may differ.
    seconds = *until - parse_http_date(date).value_or(wall_clock);
  }
  return std::clamp<std::int64_t>(seconds, 0, kMaxToldWaitSeconds) * 1'000'000;
}

relay::CallResult result_of_response(const http2::Headers& headers, const config::KindProtocol& kind,
                                     std::int64_t wall_clock) {
  relay::CallResult e;
  const auto status = http2::find_header(headers, ":status");
  e.detail = "status " + std::string(status);
  if (status[0] == '2') {
    e.outcome = Outcome::served;
    e.location = http2::find_header(headers, "location");
  } else if (status == "429" || (status == "503" && kind.unseen_503)) {
    e.outcome = Outcome::full;  // rejected unprocessed (RFC 6585 section 4)
  } else {
    e.outcome = Outcome::error;  // it may have taken effect
  }
  // Retry-After counts with every status.
  e.told_wait = parse_retry_after(http2::find_header(headers, "retry-after"),
                                  http2::find_header(headers, "date"), wall_clock);
  // Load report from the RateLimit fields that some gateways send: the quota and what remains of it.
  const auto limit = parse_whole_number(http2::find_header(headers, "ratelimit-limit"));
  const auto left = parse_whole_number(http2::find_header(headers, "ratelimit-remaining"));
  if (limit && *limit > 0 && left)
    e.report.limit_left = std::min(1.0, static_cast<double>(*left) / static_cast<double>(*limit));
  return e;
}

relay::CallResult result_of_interruption(Interruption how, http2::ErrorCode code, const std::string& why) {
  relay::CallResult e;
  e.detail = why;
  switch (how) {
    case Interruption::no_connection:
      e.outcome = Outcome::connect_failed;
      break;
    case Interruption::refused_stream:
      e.outcome = Outcome::full, e.detail = "REFUSED_STREAM";
      break;
    case Interruption::goaway:
      // An orderly shutdown (NO_ERROR) says nothing about the endpoint's load; any other code counts as a
      // refusal.
      e.outcome = code == http2::ErrorCode::no_error ? Outcome::not_sent : Outcome::full;
      e.detail = std::string("GOAWAY ") + http2::name_of(code);
      break;
    case Interruption::unsent:
      e.outcome = Outcome::connect_failed;
      break;
    case Interruption::reset:
      e.outcome = Outcome::reset;
      if (e.detail.empty()) e.detail = std::string("reset: ") + http2::name_of(code);
      break;
  }
  return e;
}

std::optional<PushTarget> parse_target(std::string_view path) {
  path = path.substr(0, path.find('?'));
  constexpr std::string_view kPrefix = "/push/";
  if (path.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
  path.remove_prefix(kPrefix.size());
  const auto slash = path.find('/');
  if (slash == std::string_view::npos || path.find('/', slash + 1) != std::string_view::npos)
    return std::nullopt;
  const auto destination = percent_decode(path.substr(0, slash)),
             cls = percent_decode(path.substr(slash + 1));
  if (!destination || !cls || destination->empty() || cls->empty()) return std::nullopt;
  return PushTarget{*destination, *cls};
}

std::optional<Time> parse_ttl(std::string_view text) {
  const auto seconds = parse_whole_number(text);
  if (!seconds) return std::nullopt;
  return std::min(*seconds, kMaxTtlSeconds) * 1'000'000;
}

std::string problem_body(const Problem& problem, const std::string& message, const std::string& message_class,
                         const std::string& last_outcome, int attempts) {
  rapidjson::StringBuffer buffer;
  text::JsonWriter w(buffer);
  const auto text = [&](const char* key, const std::string& value) { text::write_json(w, key, value); };
  w.StartObject();
  text("type", "about:blank");
  text("title", problem.title);
  w.Key("status"), w.Int(problem.status);
  if (!problem.detail.empty()) text("detail", problem.detail);
  if (!message.empty()) {
    text("message", message);
    text("class", message_class);
    text("last_outcome", last_outcome.empty() ? "never sent" : last_outcome);
    w.Key("attempts"), w.Int(attempts);
  }
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string message_body(const std::string& message, const relay::MessageRegistry::Entry& e) {
  using State = relay::MessageRegistry::Entry::State;
  rapidjson::StringBuffer buffer;
  text::JsonWriter w(buffer);
  const auto text = [&](const char* key, const std::string& value) { text::write_json(w, key, value); };
  w.StartObject();
  text("message", message);
  text("class", e.message_class);
  if (e.state == State::held)
    w.Key("answer"), w.Null();
  else
    text("answer", e.state == State::served ? "served" : e.state == State::refused ? "refused" : "failed");
  w.Key("attempts"), w.Int(e.summary.attempts);
  if (!e.summary.last_outcome.empty()) text("last_outcome", e.summary.last_outcome);
  if (e.state == State::refused && e.come_back > 0)
    w.Key("retry_after"), w.Int64((e.come_back + 999'999) / 1'000'000);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

bool has_preference(std::string_view prefer, std::string_view name) {
  while (!prefer.empty()) {
    const auto comma = prefer.find(',');
    auto one = prefer.substr(0, comma);
    one = one.substr(0, one.find_first_of(";="));
    while (!one.empty() && (one.front() == ' ' || one.front() == '\t')) one.remove_prefix(1);
    while (!one.empty() && (one.back() == ' ' || one.back() == '\t')) one.remove_suffix(1);
    if (one.size() == name.size() && std::equal(one.begin(), one.end(), name.begin(), [](char a, char b) {
          return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
        }))
      return true;
    if (comma == std::string_view::npos) break;
    prefer.remove_prefix(comma + 1);
  }
  return false;
}

std::string format_retry_after(Time wait) {
  return std::to_string(std::max<Time>(1, (wait + 999'999) / 1'000'000));
}

}  // namespace cedarplank::gateway
