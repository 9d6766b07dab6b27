// HTTP/1.1 with discovery: one request at a time, over a connection that is kept.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http1/message.hpp"
#include "loop/loop.hpp"
#include "net/socket.hpp"

namespace cedarplank::platform {

using loop::Time;

class Exchange {
 public:
  // The answer, or why there is none. Not called from within ask().
  using Done = std::function<void(const http1::Message* answer, const std::string& why)>;
  Exchange(loop::Loop& loop, const std::string& address, http1::Bounds bounds);
  ~Exchange();

  // From now on. What is out there ends without a word.
  void move_to(const std::string& address);
  bool busy() const { return done_ != nullptr; }
  // Only while not busy. `within` is how long an answer is waited for.
  void ask(std::string_view method, std::string_view target, std::string_view body, Time within, Done done);
  // Gives up what is out, without a word.
  void drop();

 private:
  void connect();
  void end(const http1::Message* answer, const std::string& why);
  void lost(const std::string& why);

  loop::Loop& loop_;
  std::string address_;
  const http1::Bounds bounds_;
  std::shared_ptr<net::TcpStream> stream_;
  http1::Reader reader_{http1::Reader::Side::responses};
  bool used_ = false;  // the connection has carried an answer
  std::string request_;
  Done done_;
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::platform
