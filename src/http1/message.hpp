// HTTP/1.1 messages (RFC 9112) for servers and clients: a parser and functions that build messages. Free of
// I/O. The parser is strict: a message that two parsers could interpret differently is rejected (RFC 9112
// section 11.2), and every length is checked against its bound before anything is stored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
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
  bool close = false;  // the connection ends after this message (RFC 9112 section 9.3)

  // The value of a field, by its name in lower case; nullptr: there is none, or more than one.
  const std::string* find(std::string_view name) const;
  bool has(std::string_view name) const;
  // Whether the comma-separated values of the fields with this name have this word, in lower case.
  bool lists(std::string_view name, std::string_view word) const;
};

struct Bounds {
  std::size_t head = 16 * 1024;  // bytes of start line and fields together; the same again for trailers
  std::size_t fields = 64;
  std::size_t body = 64 * 1024;  // bytes
};

// Parses the messages of one connection, one after the other.
class Parser {
 public:
  enum class Side { requests, responses };
  enum class State {
    waiting,   // for the first byte of a message
    head,      // in the start line or the fields
    body,      // the head is complete: see message()
    complete,  // the message is complete, until next() is called
    broken     // the message is malformed or too long: see problem(); nothing more can be read
  };
  explicit Parser(Side side, Bounds bounds = {}) : side_(side), bounds_(bounds) {}

  // Consumes bytes up to the end of one message. Returns how many; the rest belongs to the next message.
  std::size_t consume(std::string_view bytes);
  // The peer sends nothing more: completes a response whose body lasts until the connection ends (RFC 9112
  // section 6.3 (8)).
  void end_of_input();
  // Starts with the next message.
  void next();
  // Drops the message of which a part has been read; nothing more can be read.
  void abandon();
  // Keeps at most so many bytes of each body from now on; the rest is read and dropped.
  void keep_body(std::size_t max_bytes) { kept_body_ = max_bytes; }

  State state() const { return state_; }
  // The status of a response whose status line could be read, else 0. Interim responses (1xx) do not count.
  int response_status() const { return response_status_; }
  const Message& message() const { return message_; }
  Message& message() { return message_; }
  // If broken: the status that a server answers with, and the reason.
  int error_status() const { return error_status_; }
  const char* problem() const { return problem_; }
  // Bytes that are allocated for the message and for a line whose end has not arrived.
  std::size_t memory() const;
  // Bytes that will be allocated at most once the message is complete, as far as what has been read tells.
  std::size_t memory_at_most() const;
  // Whether the client waits for "100 Continue" before it sends the body (RFC 9110 section 10.1.1).
  bool expects_continue() const { return state_ == State::body && expects_continue_; }

 private:
  // What comes next in the message. A body is read by its Content-Length, until the connection ends, or in
  // chunks.
  enum class Expected { start, fields, fixed_length, until_close, chunk_size, chunk, chunk_end, trailers };
  // These handle a line without its end, the end of the head, and the body's length; false: broken.
  bool handle_line(std::string_view text);
  bool parse_start_line(std::string_view text);
  bool parse_field(std::string_view text);
  bool parse_chunk_size(std::string_view text);
  bool finish_head();
  bool determine_body_length();
  bool fail(int status, const char* problem);
  void finish();
  void reset_message();
  // Adds to a body that won't be longer than `length`: no more than that is allocated.
  void append_to_body(std::string_view bytes, std::size_t length);

  Side side_;
  Bounds bounds_;
  State state_ = State::waiting;
  Expected expected_ = Expected::start;
  Message message_;
  std::string partial_line_;          // a line whose end has not arrived
  std::size_t field_text_bytes_ = 0;  // allocated for the texts of the fields
  std::size_t head_bytes_ = 0;        // bytes of the head, or of the trailers, so far
  std::size_t body_bytes_ = 0;        // bytes of the body that were read
  std::size_t kept_body_ = std::numeric_limits<std::size_t>::max();
  std::uint64_t remaining_ = 0;                  // bytes of the body, or of this chunk, still to come
  int interim_responses_ = 0, empty_lines_ = 0;  // interim responses, and empty lines, before this message
  int response_status_ = 0, error_status_ = 0;
  const char* problem_ = "";
  bool expects_continue_ = false;
};

// Bytes that the string has allocated; 0 while its text is stored within the string itself.
std::size_t allocated_bytes(const std::string& text);

// Build complete messages. Content-Length is added where there is a body or may be one.
std::string build_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Field>& fields, std::string_view body);
std::string build_response(int status, const std::vector<Field>& fields, std::string_view body, bool close);
const char* reason_phrase(int status);

// Reads a number of seconds from a header, whole or decimal (digits with at most one point), into
// microseconds; larger values become two days. Returns false for anything else.
bool parse_seconds(std::string_view text, std::int64_t& us);
// A number of seconds for a header, rounded up to milliseconds.
std::string format_seconds(std::int64_t us);

}  // namespace cedarplank::http1
