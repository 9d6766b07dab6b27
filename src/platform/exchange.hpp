// An HTTP/1.1 client for the discovery service: one request at a time, over a persistent connection.
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
  // Gets the answer, or null and the reason why there is none. Not called before the request was sent.
  using Done = std::function<void(const http1::Message* answer, const std::string& why)>;
  Exchange(loop::Loop& loop, const std::string& address, http1::Bounds bounds);
  ~Exchange();

  // Changes the address of the server. Drops a request in flight without calling its callback.
  void move_to(const std::string& address);
  bool busy() const { return done_ != nullptr; }
  // Sends a request; only while not busy. `within`: how long to wait for the answer.
  void ask(std::string_view method, std::string_view target, std::string_view body, Time within, Done done);
  // Drops a request in flight without calling its callback, and closes the connection.
  void drop();

 private:
  void connect();
  // Closes the connection and calls the callback.
  void end(const http1::Message* answer, const std::string& why);
  // The connection was closed or failed.
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
