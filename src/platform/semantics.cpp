#include "platform/semantics.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <map>

#include "text/text.hpp"

namespace cedarplank::platform {
namespace {

constexpr std::size_t kMaxIdBytes = 128;     // bytes
constexpr Time kMaxBudget = 86'400'000'000;  // one day
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxResultBytes = 64;  // of a bulk answer's line, for logs and records

// Whether the text is one word: ids and keys stand in the lines of bulk calls, separated by spaces.
bool is_word(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// Reads "dest=7", possibly among other parameters.
bool parse_destination(std::string_view text, DestinationId& out) {
  while (!text.empty()) {
    const auto end = text.find_first_of(";, ");
    const auto one = text.substr(0, end);
    if (one.substr(0, 5) == "dest=") {
      const auto number = one.substr(5);
      if (number.empty() || number.size() > 15) return false;
      out = 0;
      for (const char c : number) {
        if (c < '0' || c > '9') return false;
        out = out * 10 + (c - '0');
      }
      return true;
    }
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return false;
}

Report report_of(const http1::Message& answer) {
  Report report;
  const auto* text = answer.find("x-load-report");
  if (text == nullptr || text->size() > 1024) return report;
  // A malformed report is ignored: the answer counts nevertheless.
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(text->data(), text->size());
  if (d.HasParseError() || !d.IsObject()) return report;
  const auto number = [&](const char* name, double& to) {
    const auto it = d.FindMember(name);
    if (it != d.MemberEnd() && it->value.IsNumber()) to = it->value.GetDouble();
  };
  number("x0", report.limit_left), number("x1", report.limit_rate);
  return report;
}

// A line of a bulk answer: a message's id and its result, separated by a space.
struct ResultLine {
  std::string_view id, result;
};
std::vector<ResultLine> result_lines(std::string_view body) {
  std::vector<ResultLine> lines;
  while (!body.empty()) {
    const auto end = body.find('\n');
    auto line = body.substr(0, end);
    body = end == std::string_view::npos ? std::string_view() : body.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto space = line.find(' ');
    if (space != std::string_view::npos) lines.push_back({line.substr(0, space), line.substr(space + 1)});
  }
  return lines;
}

// What stands before a message's bytes in the body of a bulk call.
std::string bulk_line(const CallMessage& m) {
  std::string line = m.id + " " + (m.key.empty() ? "-" : m.key) + " " + std::to_string(m.body.size());
  return line.append(kLineEnd);
}

std::vector<http1::Field> call_fields(Time budget, ConnectionOption connection) {
  std::vector<http1::Field> fields = {{"X-Budget", http1::format_seconds(budget)}};
  if (connection == ConnectionOption::close) fields.push_back({"Connection", "close"});
  return fields;
}

std::string json_line(const std::string& id, const char* state, Time come_back) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("id"), w.String(id.data(), static_cast<rapidjson::SizeType>(id.size()));
  w.Key("state"), w.String(state);
  if (come_back > 0) w.Key("after_ms"), w.Int64((come_back + 999) / 1000);
  w.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

}  // namespace

// Also handles a target in absolute form, which every server must accept (RFC 9112 section 3.2.2).
std::string_view path_of(std::string_view target) {
  const auto scheme = target.find("://");
  if (target.substr(0, 1) != "/" && scheme != std::string_view::npos) {
    const auto path = target.find('/', scheme + 3);
    target = path == std::string_view::npos ? std::string_view() : target.substr(path);
  }
  return target.substr(0, 1) == "/" ? target : std::string_view();
}

std::optional<RequestError> read_request(http1::Message& request, const settings::NameTables& names,
                                         SubmittedMessage& out) {
  std::string_view path = path_of(request.target);
  if (path.empty()) return RequestError{400, "the target is no path"};
  path.remove_prefix(1);
  const auto cls = settings::index_of(names.classes, std::string(path.substr(0, path.find_first_of("/?"))));
  if (cls < 0) return RequestError{404, "no such class"};
  if (request.method != "POST") return RequestError{405, "messages are handed in by POST"};
  auto& m = out.message;
  m.message_class = cls;
  const auto* id = request.find("x-call-id");
  if (id == nullptr || !is_word(*id)) return RequestError{400, "X-Call-Id: one word is needed"};
  out.id = *id;
  const auto* budget = request.find("x-budget");
  if (budget == nullptr || !http1::parse_seconds(*budget, m.time_left) || m.time_left <= 0)
    return RequestError{400, "X-Budget: a positive number of seconds is needed"};
  // Guards against clients that send an arbitrarily large number instead of a deadline: limited to the
  // deadline of the class, their messages would be accepted and sent.
  if (m.time_left > kMaxBudget) return RequestError{400, "X-Budget: more than a day is no message's time"};
  const auto* route = request.find("x-route-to");
  if (route == nullptr || !parse_destination(*route, m.destination))
    return RequestError{400, "X-Route-To: dest=NUMBER is needed"};
  if (const auto* caller = request.find("x-caller")) m.tenant = settings::index_of(names.tenants, *caller);
  // Passed on with every attempt, in a header or in a line of a bulk call. Without it the endpoint could not
  // recognize repeats.
  if (request.has("idempotency-key")) {
    const auto* key = request.find("idempotency-key");
    if (key == nullptr || !is_word(*key)) return RequestError{400, "Idempotency-Key: one word is needed"};
    m.idempotency_key = *key;
  }
  // The key of the message's order, where its class is ordered. The platform's clients send this header,
  // although the protocol does not specify it.
  if (request.has("x-route-hash")) {
    const auto* key = request.find("x-route-hash");
    if (key == nullptr || !is_word(*key)) return RequestError{400, "X-Route-Hash: one word is needed"};
    m.order_key = *key;
  }
  // Any other value means that a relay died while it held the message: that is no repeat by the client.
  const auto* again = request.find("x-again");
  m.repeat = again != nullptr && *again == "1";
  m.owner = out.id;
  m.body = std::move(request.body);
  return std::nullopt;
}

std::string single_call(const CallMessage& m, Time budget, const std::string& host,
                        ConnectionOption connection) {
  std::vector<http1::Field> fields = call_fields(budget, connection);
  fields.insert(fields.begin(), {"X-Call-Id", m.id});
  if (!m.key.empty()) fields.push_back({"Idempotency-Key", m.key});
  return http1::build_request("POST", "/inbox", host, fields, m.body);
}

std::string bulk_call(const std::vector<CallMessage>& messages, Time budget, const std::string& host,
                      ConnectionOption connection) {
  std::string body;
  for (const auto& m : messages) {
    body += bulk_line(m);
    body.append(m.body).append(kLineEnd);
  }
  return http1::build_request("POST", "/inbox/bulk", host, call_fields(budget, connection), body);
}

bool fits_bulk_call(const std::vector<CallMessage>& messages) {
  std::size_t bytes = 0;
  for (const auto& m : messages) bytes += bulk_line(m).size() + m.body.size() + kLineEnd.size();
  return bytes <= kMaxCallBody;
}

std::vector<std::string> ids_in_answer(const http1::Message& answer) {
  std::vector<std::string> ids;
  for (const auto& line : result_lines(answer.body)) ids.emplace_back(line.id);
  return ids;
}

Time told_wait(const http1::Message& answer) {
  const auto* after = answer.find("retry-after");
  Time wait = 0;
  return after != nullptr && http1::parse_seconds(*after, wait) ? wait : 0;
}

relay::CallResult ending_of(const http1::Message& answer) {
  relay::CallResult e;
  e.detail = std::to_string(answer.status);
  e.report = report_of(answer);
  switch (answer.status) {
    case 200:
      e.outcome = Outcome::served;
      break;
    case 429:
    case 503:
      e.outcome = answer.has("x-egress-full") ? Outcome::not_sent : Outcome::full;
      if (e.outcome == Outcome::full) e.told_wait = told_wait(answer);
      break;
    case 410:
      e.outcome = Outcome::not_sent, e.retry_status = relay::RetryStatus::message_ended;
      break;
    case 504:
      e.outcome = Outcome::not_sent, e.retry_status = relay::RetryStatus::exhausted;
      break;
    case 413:
      e.outcome = Outcome::not_sent;
      break;
    default:
      e.outcome = Outcome::error;
  }
  return e;
}

std::vector<relay::CallResult> endings_of(const http1::Message& answer, bool whole,
                                          const std::vector<std::string>& ids) {
  relay::CallResult all = ending_of(answer);
  // 410 and 504 concern a single message; here each message has its own line.
  all.retry_status = relay::RetryStatus::allowed;
  // Nothing of a bulk call that the endpoint could not read has run.
  if (answer.status == 400) all.outcome = Outcome::not_sent;
  // An answer that is incomplete or malformed says nothing about any message: each may have run.
  if (!whole) all = {Outcome::error, 0, {}, "an answer that can't be read", {}};
  if (all.outcome != Outcome::served) return std::vector(ids.size(), all);
  std::map<std::string_view, std::string_view> ends;
  for (const auto& line : result_lines(answer.body)) {
    // Listed twice with different results: the result is unknown.
    const auto [it, fresh] = ends.emplace(line.id, line.result);
    if (!fresh && it->second != line.result) it->second = {};
  }
  const Time wait = told_wait(answer);
  std::vector<relay::CallResult> out;
  for (const auto& id : ids) {
    relay::CallResult e = all;
    const auto it = ends.find(id);
    const auto end = it == ends.end() ? std::string_view("no end told") : it->second;
    e.detail = text::to_printable(end, kMaxResultBytes);
    if (end == "ok")
      e.outcome = Outcome::served;
    else if (end == "later")
      e.outcome = Outcome::full;
    else if (end == "gone")
      e.outcome = Outcome::not_sent, e.retry_status = relay::RetryStatus::message_ended;
    else if (end == "exhausted")
      e.outcome = Outcome::not_sent, e.retry_status = relay::RetryStatus::exhausted;
    else
      e.outcome = Outcome::error;
    e.told_wait = wait;  // applies whatever the result of this message is
    out.push_back(std::move(e));
  }
  return out;
}

std::string failed_notice(const std::string& id) { return json_line(id, "failed", 0); }
std::string returned_notice(const std::string& id, Time come_back) {
  return json_line(id, "returned", come_back);
}

}  // namespace cedarplank::platform
