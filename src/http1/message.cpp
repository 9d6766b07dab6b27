#include "http1/message.hpp"

#include <algorithm>

namespace cedarplank::http1 {
namespace {

constexpr int kMaxInterimResponses = 16;         // 1xx responses before one answer
constexpr std::size_t kMaxChunkLineBytes = 256;  // including chunk extensions, which are ignored

// A token by RFC 9110 section 5.6.2.
bool is_token(std::string_view text) {
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kOther.find(c) != std::string_view::npos;
  });
}
// A field value by RFC 9110 section 5.5: visible characters, obs-text, space and tab.
bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return u == '\t' || (u >= 0x20 && u != 0x7f);
  });
}
char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](char c) { return lower(c); });
  return out;
}
std::string_view trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}
bool all_digits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}
// Whether a status line begins within the text, behind its first byte or, in a field, anywhere.
bool contains_status_line(std::string_view text, std::size_t from) {
  constexpr std::string_view kVersion = "HTTP/1.";
  for (auto at = text.find(kVersion, from); at != std::string_view::npos; at = text.find(kVersion, at + 1)) {
    const auto rest = text.substr(at + kVersion.size());
    if (rest.size() >= 5 && all_digits(rest.substr(0, 1)) && rest[1] == ' ' && all_digits(rest.substr(2, 3)))
      return true;
  }
  return false;
}

}  // namespace

std::size_t allocated_bytes(const std::string& text) {
  static const std::size_t kStoredWithin = std::string().capacity();
  return text.capacity() > kStoredWithin ? text.capacity() + 1 : 0;
}

const std::string* Message::find(std::string_view name) const {
  const std::string* found = nullptr;
  for (const auto& f : fields) {
    if (f.name != name) continue;
    if (found != nullptr) return nullptr;
    found = &f.value;
  }
  return found;
}
bool Message::lists(std::string_view name, std::string_view word) const {
  for (const auto& f : fields) {
    if (f.name != name) continue;
    std::string_view rest = f.value;
    while (true) {
      const auto comma = rest.find(',');
      if (lower(trimmed(rest.substr(0, comma))) == word) return true;
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return false;
}

bool Message::has(std::string_view name) const {
  return std::any_of(fields.begin(), fields.end(), [&](const Field& f) { return f.name == name; });
}

bool Parser::fail(int status, const char* problem) {
  state_ = State::broken, error_status_ = status, problem_ = problem;
  return false;
}

// A new message begins with new strings: one that is emptied keeps what was allocated for it.
void Parser::reset_message() {
  Message fresh;
  std::swap(message_, fresh);
  std::string().swap(partial_line_);
  field_text_bytes_ = 0;
  head_bytes_ = 0, body_bytes_ = 0, remaining_ = 0;
  expected_ = Expected::start, expects_continue_ = false;
}

void Parser::next() {
  if (state_ == State::broken) return;
  reset_message();
  state_ = State::waiting;
  interim_responses_ = empty_lines_ = response_status_ = 0;
}

std::size_t Parser::memory() const {
  return allocated_bytes(message_.method) + allocated_bytes(message_.target) +
         message_.fields.capacity() * sizeof(Field) + field_text_bytes_ + allocated_bytes(message_.body) +
         allocated_bytes(partial_line_);
}

void Parser::abandon() {
  if (state_ != State::broken) fail(400, "it was given up");
  reset_message();
}

std::size_t Parser::memory_at_most() const {
  if (state_ == State::complete || state_ == State::broken) return memory();
  // A string that grows may be allocated twice its size.
  const std::size_t line = 2 * bounds_.head;
  if (state_ != State::body) return line + bounds_.head + bounds_.fields * sizeof(Field);
  const std::size_t body = allocated_bytes(message_.body);
  if (expected_ == Expected::fixed_length) return memory() - body + message_.body.size() + remaining_ + 1;
  return memory() - body + bounds_.body + 2 * kMaxChunkLineBytes;
}

void Parser::append_to_body(std::string_view bytes, std::size_t length) {
  std::string& body = message_.body;
  body_bytes_ += bytes.size();
  bytes = bytes.substr(0, kept_body_ - std::min(kept_body_, body.size()));
  const std::size_t needed = body.size() + bytes.size();
  if (needed > body.capacity()) {
    std::string grown;
    grown.reserve(std::max(needed, std::min(2 * body.capacity(), length)));
    grown.append(body);
    body.swap(grown);
  }
  body.append(bytes);
}

void Parser::finish() { state_ = State::complete; }

std::size_t Parser::consume(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size() && state_ != State::complete && state_ != State::broken) {
    const std::string_view rest = bytes.substr(at);
    if (expected_ == Expected::fixed_length || expected_ == Expected::chunk) {
      const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, rest.size()));
      const bool whole_length = expected_ == Expected::fixed_length;
      append_to_body(rest.substr(0, n), whole_length ? body_bytes_ + remaining_ : bounds_.body);
      at += n, remaining_ -= n;
      if (remaining_ > 0) continue;
      if (expected_ == Expected::fixed_length)
        finish();
      else
        expected_ = Expected::chunk_end;
      continue;
    }
    if (expected_ == Expected::until_close) {
      if (body_bytes_ + rest.size() > bounds_.body) {
        fail(413, "a body longer than allowed");
        break;
      }
      append_to_body(rest, bounds_.body);
      return bytes.size();
    }
    if (state_ == State::waiting) state_ = State::head;
    const auto end = rest.find('\n');
    const auto n = end == std::string_view::npos ? rest.size() : end + 1;
    const bool chunk_line = expected_ == Expected::chunk_size || expected_ == Expected::chunk_end;
    head_bytes_ += chunk_line ? 0 : n;
    if (chunk_line && partial_line_.size() + n > kMaxChunkLineBytes) {
      fail(400, "a chunk's line is too long");
      break;
    }
    if (head_bytes_ > bounds_.head) {
      fail(431, "a head longer than allowed");
      break;
    }
    partial_line_.append(rest.substr(0, n));
    at += n;
    if (end == std::string_view::npos) {
      // A bare carriage return does not end a line: rejected as soon as it is seen (RFC 9112 section 2.2).
      const auto cr = partial_line_.find('\r');
      if (cr != std::string::npos && cr + 1 < partial_line_.size())
        fail(400, "a carriage return within a line");
      continue;
    }
    if (partial_line_.size() < 2 || partial_line_[partial_line_.size() - 2] != '\r') {
      fail(400, "a line that ends without a carriage return");
      break;
    }
    std::string whole;
    whole.swap(partial_line_);
    const std::string_view text = std::string_view(whole).substr(0, whole.size() - 2);
    if (text.find('\r') != std::string_view::npos) {
      fail(400, "a carriage return within a line");
      break;
    }
    if (!handle_line(text)) break;
  }
  return at;
}

void Parser::end_of_input() {
  if (state_ == State::body && expected_ == Expected::until_close)
    finish();
  else if (state_ != State::waiting && state_ != State::complete && state_ != State::broken)
    fail(400, "it ended in the middle");
}

bool Parser::handle_line(std::string_view text) {
  // An answer of which only a part was sent, with the next one right behind: the status of the first must not
  // be read with the fields of the second.
  const bool in_head = expected_ == Expected::start || expected_ == Expected::fields;
  if (side_ == Side::responses && in_head && contains_status_line(text, expected_ == Expected::start ? 1 : 0))
    return fail(502, "a status line within a line");
  switch (expected_) {
    case Expected::start:
      // One empty line before a request is ignored (RFC 9112 section 2.2).
      if (text.empty() && side_ == Side::requests && empty_lines_++ == 0)
        return state_ = State::waiting, true;
      return parse_start_line(text);
    case Expected::fields:
      return text.empty() ? finish_head() : parse_field(text);
    case Expected::chunk_size:
      return parse_chunk_size(text);
    case Expected::chunk_end:
      if (!text.empty()) return fail(400, "a chunk is longer than it says");
      expected_ = Expected::chunk_size;
      return true;
    case Expected::trailers:
      if (!text.empty()) return true;  // not used, so not stored (RFC 9112 section 7.1.2)
      finish();
      return true;
    case Expected::fixed_length:
    case Expected::until_close:
    case Expected::chunk:
      break;
  }
  return true;
}

bool Parser::parse_start_line(std::string_view text) {
  const auto version = [&](std::string_view v) {
    if (v.size() != 8 || v.substr(0, 5) != "HTTP/" || v[6] != '.' || !all_digits(v.substr(5, 1)) ||
        !all_digits(v.substr(7, 1)))
      return fail(400, "no HTTP version");
    if (v[5] != '1') return fail(505, "a version other than HTTP/1");
    message_.minor = v[7] - '0';
    return true;
  };
  if (side_ == Side::requests) {
    const auto one = text.find(' ');
    const auto two = one == std::string_view::npos ? one : text.find(' ', one + 1);
    if (two == std::string_view::npos || text.find(' ', two + 1) != std::string_view::npos)
      return fail(400, "no request line");
    message_.method = text.substr(0, one), message_.target = text.substr(one + 1, two - one - 1);
    if (!is_token(message_.method) || message_.target.empty() ||
        !std::all_of(message_.target.begin(), message_.target.end(),
                     [](char c) { return c > ' ' && c < 0x7f; }))
      return fail(400, "no request line");
    if (!version(text.substr(two + 1))) return false;
  } else {
    if (text.size() < 12 || text[8] != ' ' || (text.size() > 12 && text[12] != ' ') ||
        !all_digits(text.substr(9, 3)) || text[9] < '1' || !is_field_value(text))
      return fail(502, "no status line");
    if (!version(text.substr(0, 8))) return false;
    message_.status = (text[9] - '0') * 100 + (text[10] - '0') * 10 + (text[11] - '0');
    if (message_.status >= 200) response_status_ = message_.status;
  }
  expected_ = Expected::fields;
  return true;
}

bool Parser::parse_field(std::string_view text) {
  if (text.front() == ' ' || text.front() == '\t') return fail(400, "a folded line");
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon)) ||
      !is_field_value(text.substr(colon + 1)))
    return fail(400, "a field that can't be read");
  if (message_.fields.size() >= bounds_.fields) return fail(431, "more fields than allowed");
  message_.fields.push_back({lower(text.substr(0, colon)), std::string(trimmed(text.substr(colon + 1)))});
  const Field& field = message_.fields.back();
  field_text_bytes_ += allocated_bytes(field.name) + allocated_bytes(field.value);
  return true;
}

bool Parser::finish_head() {
  if (side_ == Side::responses && message_.status < 200) {
    if (message_.status == 101) return fail(502, "another protocol, not asked for");
    if (++interim_responses_ > kMaxInterimResponses) return fail(502, "interim answers without end");
    reset_message();
    state_ = State::head;
    return true;
  }
  const bool closing = message_.lists("connection", "close");
  message_.close = closing || (message_.minor == 0 && !message_.lists("connection", "keep-alive"));
  state_ = State::body;
  return determine_body_length();
}

// Determines the length of the body: RFC 9112 section 6.3.
bool Parser::determine_body_length() {
  const bool coded = message_.has("transfer-encoding"), counted = message_.has("content-length");
  if (coded && counted) return fail(400, "both Content-Length and Transfer-Encoding");
  if (side_ == Side::requests && message_.minor >= 1 && message_.find("host") == nullptr)
    return fail(400, "not one Host");
  if (side_ == Side::responses && (message_.status == 204 || message_.status == 304)) return finish(), true;
  if (coded) {
    const auto* coding = message_.find("transfer-encoding");
    if (coding == nullptr || message_.minor == 0) return fail(400, "a Transfer-Encoding that can't be told");
    if (lower(*coding) != "chunked") return fail(501, "a transfer coding other than chunked");
    expected_ = Expected::chunk_size, head_bytes_ = 0;
  } else if (counted) {
    const auto* length = message_.find("content-length");
    if (length == nullptr || !all_digits(*length)) return fail(400, "a Content-Length that is no number");
    if (length->size() > 18 || (remaining_ = std::stoull(*length)) > bounds_.body)
      return fail(413, "a body longer than allowed");
    if (remaining_ == 0) return finish(), true;
    expected_ = Expected::fixed_length;
  } else if (side_ == Side::requests) {
    return finish(), true;
  } else {
    expected_ = Expected::until_close, message_.close = true;
  }
  if (side_ == Side::requests && message_.has("expect")) {
    const auto* expect = message_.find("expect");
    if (expect == nullptr || lower(*expect) != "100-continue")
      return fail(417, "an expectation that is not known");
    expects_continue_ = true;
  }
  return true;
}

bool Parser::parse_chunk_size(std::string_view text) {
  const auto hex = text.substr(0, text.find_first_of("; \t"));
  if (hex.empty() || hex.size() > 8) return fail(400, "a chunk without a size");
  std::uint64_t size = 0;
  for (const char c : hex) {
    const char l = lower(c);
    if (!((l >= '0' && l <= '9') || (l >= 'a' && l <= 'f'))) return fail(400, "a chunk without a size");
    size = size * 16 + static_cast<std::uint64_t>(l <= '9' ? l - '0' : l - 'a' + 10);
  }
  if (hex.size() < text.size() && trimmed(text.substr(hex.size())).substr(0, 1) != ";")
    return fail(400, "a chunk's size is followed by something else");
  if (body_bytes_ + size > bounds_.body) return fail(413, "a body longer than allowed");
  remaining_ = size;
  expected_ = size == 0 ? Expected::trailers : Expected::chunk;
  return true;
}

const char* reason_phrase(int status) {
  switch (status) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 417:
      return "Expectation Failed";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "";
  }
}

namespace {
void append_fields(std::string& out, const std::vector<Field>& fields) {
  for (const auto& f : fields) out += f.name, out += ": ", out += f.value, out += "\r\n";
}
}  // namespace

std::string build_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Field>& fields, std::string_view body) {
  std::string out;
  out.reserve(256 + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  append_fields(out, fields);
  if (method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  out.append("\r\n").append(body);
  return out;
}

std::string build_response(int status, const std::vector<Field>& fields, std::string_view body, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
  append_fields(out, fields);
  if (status >= 200 && status != 204) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (close) out += "Connection: close\r\n";
  out.append("\r\n").append(body);
  return out;
}

bool parse_seconds(std::string_view text, std::int64_t& us) {
  constexpr std::int64_t kMost = 172'800'000'000;  // two days
  const auto point = text.find('.');
  const auto whole = text.substr(0, point);
  const auto part = point == std::string_view::npos ? std::string_view() : text.substr(point + 1);
  if (!all_digits(whole) || (point != std::string_view::npos && !all_digits(part))) return false;
  std::int64_t value = 0;
  for (const char c : whole) value = std::min(value * 10 + (c - '0'), kMost);
  std::int64_t fraction = 0, unit = 100'000;
  for (const char c : part.substr(0, 6)) fraction += (c - '0') * unit, unit /= 10;
  us = std::min(value * 1'000'000 + fraction, kMost);
  return true;
}

std::string format_seconds(std::int64_t us) {
  const std::int64_t ms = us <= 0 ? 0 : (us + 999) / 1000;
  std::string part = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - part.size(), '0') + part;
}

}  // namespace cedarplank::http1
