// HTTP/1.1 test server on loopback. Runs in the caller's event loop.
#pragma once

#include <sys/socket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http1/message.hpp"
#include "net/socket.hpp"

namespace cedarplank::platform::testing {

// Reads requests on every connection and answers each with the bytes that the handler returns; where it
// returns none, write() sends the answer later.
class Server {
 public:
  struct Reply {
    std::string bytes;
    enum class Then { keep, close, abort } then = Then::keep;
  };
  using On = std::function<Reply(const http1::Message&, int connection)>;
  Server(loop::Loop& loop, On handler) : loop_(loop), on_(std::move(handler)) { listen("127.0.0.1:0"); }
  std::string address() const { return address_; }
  bool up() const { return listener_ != nullptr; }
  // Stops listening and closes all connections.
  void down() { listener_.reset(), links_.clear(); }
  // Listens on the same address again.
  void again() { listen(address_); }
  // From now on new connections are not established: the only slot of the accept queue is taken, and nothing
  // is accepted.
  void shut_out() {
    listener_.reset();
    listen(address_, 0);
    listener_->pause(true);
    filler_ = std::make_unique<net::TcpStream>(loop_, net::Address::parse(address_), 60'000'000,
                                               net::Stream::Handlers{});
  }
  // Accepts again: each client's next SYN, one second after its first, succeeds.
  void let_in() { listener_->pause(false); }
  void write(int connection, const std::string& bytes) { links_.at(connection)->stream->write(bytes); }
  // Whether to stop reading: connections are accepted, and unread bytes stay in small receive buffers.
  void deafen(bool paused) {
    deaf_ = paused;
    if (paused) listener_.reset(), listen(address_);
    for (auto& [n, link] : links_) link->stream->pause_reading(paused);
  }
  // Whether the connection is open.
  bool has(int connection) const { return links_.count(connection) > 0; }
  void reset(int connection) {
    if (!has(connection)) return;
    links_.at(connection)->stream->close(true);
    drop(connection);
  }
  std::size_t connections() const { return links_.size(); }
  int opened = 0;  // connections accepted so far; the number of the last one
  // Called at the first bytes of each request with the connection and the number of requests before it on
  // that connection; true resets the connection.
  std::function<bool(int, int)> resets;

 private:
  struct Link {
    std::unique_ptr<net::TcpStream> stream;
    http1::Reader reader{http1::Reader::Side::requests};
    int requests = 0;  // begun, counted only where the test may reset requests
  };
  void listen(const std::string& at, int backlog = 512) {
    listener_ = std::make_unique<net::Listener>(
        loop_, net::Address::parse(at),
        [this](net::Fd fd) {
          const int n = ++opened;
          auto link = std::make_shared<Link>();
          std::weak_ptr<Link> weak = link;
          link->stream = std::make_unique<net::TcpStream>(
              loop_, std::move(fd),
              net::Stream::Handlers{.connected = {},
                                    .data =
                                        [this, weak, n](std::string_view bytes) {
                                          if (const auto l = weak.lock()) read(l, n, bytes);
                                        },
                                    .drained = {},
                                    .closed = [this, n](const std::string&) { drop(n); }});
          if (deaf_) link->stream->pause_reading(true);
          links_[n] = std::move(link);
        },
        backlog);
    if (deaf_) setsockopt(listener_->descriptor(), SOL_SOCKET, SO_RCVBUF, &kSmall, sizeof kSmall);
    address_ = listener_->address().text();
  }
  void read(const std::shared_ptr<Link>& l, int n, std::string_view bytes) {
    while (!bytes.empty() && links_.count(n) > 0) {
      if (l->reader.state() == http1::Reader::State::waiting && resets && resets(n, l->requests++)) {
        l->stream->close(true);
        return drop(n);
      }
      bytes.remove_prefix(l->reader.take(bytes));
      if (l->reader.state() != http1::Reader::State::complete) return;
      const http1::Message request = l->reader.message();
      l->reader.next();
      const Reply reply = on_(request, n);
      if (links_.count(n) == 0) return;
      if (!reply.bytes.empty()) l->stream->write(reply.bytes);
      if (reply.then != Reply::Then::keep) l->stream->close(reply.then == Reply::Then::abort), drop(n);
    }
  }
  void drop(int n) {
    const auto it = links_.find(n);
    if (it == links_.end()) return;
    loop_.defer([keep = it->second] {});
    links_.erase(it);
  }
  loop::Loop& loop_;
  static constexpr int kSmall = 4096;  // receive buffer while not reading, bytes
  bool deaf_ = false;
  On on_;
  std::string address_;
  std::unique_ptr<net::Listener> listener_;
  std::unique_ptr<net::TcpStream> filler_;  // takes the slot of the accept queue
  std::map<int, std::shared_ptr<Link>> links_;
};

}  // namespace cedarplank::platform::testing
