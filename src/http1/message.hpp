// HTTP/1.1 messages (RFC 9112), both sides, free of I/O: bytes in, messages out, and the bytes of messages.
// Strict: what two readers could take differently is refused, not guessed (RFC 9112 section 11.2), and every
// length is bounded before anything is kept.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cedarplank::http1 {

struct Field {
  std::string name;  // in lower case
  std::string value;
};

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  int minor = 1;               // of HTTP/1.x
  std::vector<Field> fields;
  std::string body;
  bool close = false;  // the connection carries nothing after it (RFC 9112 section 9.3)

  const std::string* find(std::string_view name) const;  // in lower case; nullptr: none, or more than one
  bool has(std::string_view name) const;
};

struct Bounds {
  std::size_t head = 16 * 1024;  // bytes: start line and fields; and again for trailers
  std::size_t fields = 64;
  std::size_t body = 64 * 1024;  // bytes
};

// Reads messages of one connection, one after the other.
class Reader {
 public:
  enum class Side { requests, responses };
  enum class State {
    waiting,   // for a message's first byte
    head,      // in its start line or fields
    body,      // its head is whole: see message()
    complete,  // until next()
    broken     // for good: see problem()
  };
  explicit Reader(Side side, Bounds bounds = {}) : side_(side), bounds_(bounds) {}

  // Takes bytes up to the end of one message. Returns how many were taken; the rest belongs to the next one.
  std::size_t take(std::string_view bytes);
  // The peer sends nothing more: ends a response whose body is all that comes (RFC 9112 section 6.3 (8)).
  void end();
  // On to the next message.
  void next();

  State state() const { return state_; }
  // Of a response whose first line could be read, else 0. Interim ones (1xx) do not count.
  int first_line() const { return first_line_; }
  const Message& message() const { return message_; }
  Message& message() { return message_; }
  // Broken: the status that a server answers with, and why.
  int status() const { return status_; }
  const char* problem() const { return problem_; }
  // A request that waits for "100 Continue" before it sends its body (RFC 9110 section 10.1.1).
  bool expects_continue() const { return state_ == State::body && expects_continue_; }

 private:
  enum class Part { start, fields, counted, to_end, chunk_size, chunk, chunk_end, trailers };
  bool line(std::string_view text);  // false: broken
  bool start_line(std::string_view text);
  bool field_line(std::string_view text);
  bool chunk_line(std::string_view text);
  bool head_done();
  bool framing();
  bool fail(int status, const char* problem);
  void finish();
  void begin();

  Side side_;
  Bounds bounds_;
  State state_ = State::waiting;
  Part part_ = Part::start;
  Message message_;
  std::string line_;        // of which the end has not come
  std::size_t head_ = 0;    // bytes of the head, or of the trailers, so far
  std::uint64_t left_ = 0;  // bytes of the body, or of this chunk, to come
  int interim_ = 0, empty_ = 0;
  int first_line_ = 0, status_ = 0;
  const char* problem_ = "";
  bool expects_continue_ = false;
};

// Whole messages. Content-Length is added where there is a body, or may be one.
std::string request(std::string_view method, std::string_view target, std::string_view host,
                    const std::vector<Field>& fields, std::string_view body);
std::string response(int status, const std::vector<Field>& fields, std::string_view body, bool close);
const char* reason_phrase(int status);

// A number of seconds as headers give it, whole or decimal (digits, at most one point); in us, at most two
// days. False: anything else.
bool seconds_of(std::string_view text, std::int64_t& us);
std::string seconds_text(std::int64_t us);  // in milliseconds' steps, rounded up

}  // namespace cedarplank::http1
