// An HTTP/1.1 client for the discovery service: one request at a time, each on a connection of its own.
// HTTP/1.1 has no identifier that ties an answer to its request, and answers of the discovery service name no
// request either: on a connection that has carried a request before, an answer may be a second copy of an
// earlier one. After an exchange the next connection is opened ahead, so that a request depends neither on
// this machine having a socket just then nor on the round trip in which a connection comes up.
//
// A request waits for its answer until its owner cancels it: how long an answer may take, and what to do
// meanwhile, is the owner's knowledge.
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

class HttpClient {
 public:
  // Gets the answer, or null and the reason why there is none. Not called before the request was sent.
  using AnswerHandler = std::function<void(const http1::Message* answer, const std::string& why)>;
  HttpClient(loop::Loop& loop, const std::string& address, http1::Bounds bounds);
  ~HttpClient();

  // Changes the address of the server. Drops a request in flight without calling its callback.
  void set_address(const std::string& address);
  bool busy() const { return on_answer_ != nullptr; }
  // Whether a connection is open, or coming up.
  bool connected() const { return stream_ != nullptr; }
  // Opens the connection for the next request, if there is none; only while not busy.
  void open_ahead();
  // Sends a request; only while not busy.
  void send(std::string_view method, std::string_view target, std::string_view body, AnswerHandler done);
  // Drops a request in flight without calling its callback, and closes the connection.
  void cancel();

 private:
  void connect();
  void handle_data(std::string_view bytes);
  // Ends the exchange with this answer.
  void complete(http1::Message answer);
  // Closes the connection and calls the callback.
  void finish(const http1::Message* answer, const std::string& why);
  // The connection was closed or failed.
  void handle_close(const std::string& why);

  loop::Loop& loop_;
  std::string address_;
  const http1::Bounds bounds_;
  std::shared_ptr<net::TcpStream> stream_;
  http1::Parser reader_{http1::Parser::Side::responses};
  bool opened_ahead_ = false;  // the connection was open before the request
  std::string request_;
  AnswerHandler on_answer_;
};

}  // namespace cedarplank::platform
