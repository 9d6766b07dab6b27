// Reads the messages of one connection in the order of their bytes. It owns the parser and the bytes behind
// the message that the parser has completed, and is the only way to the parser: whatever is received while
// bytes wait goes behind them. Free of I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http1/message.hpp"

namespace cedarplank::http1 {

class MessageReader {
 public:
  explicit MessageReader(Parser::Side side, Bounds bounds = {}) : parser_(side, bounds) {}

  // Adds received bytes, and reads on like read().
  void receive(std::string_view bytes);
  // Reads received bytes up to the end of one message. Reads nothing while a message is complete or broken.
  void read();
  // Starts with the next message. Its bytes are read by the next call of receive() or read().
  void next() { parser_.next(); }
  // As Parser::memory_at_most(), with the bytes that wait.
  std::size_t memory_at_most() const { return parser_.memory_at_most() + allocated_bytes(unread_); }
  // Drops the received bytes that have not been read, and the message of which a part has. Nothing more is
  // read.
  void abandon();
  // Bytes received and not read yet.
  std::size_t unread() const { return unread_.size() - offset_; }

  // Bytes that are allocated for the current message and for those that wait.
  std::size_t memory() const { return parser_.memory() + allocated_bytes(unread_); }

  Parser::State state() const { return parser_.state(); }
  const Parser& parser() const { return parser_; }
  Message& message() { return parser_.message(); }
  const Message& message() const { return parser_.message(); }

 private:
  void discard_unread();

  Parser parser_;
  std::string unread_;      // received bytes, of which
  std::size_t offset_ = 0;  // so many have been read
};

}  // namespace cedarplank::http1
