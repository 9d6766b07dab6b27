// Non-blocking TCP sockets on the event loop: addresses, listeners and buffered byte streams.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.hpp"

namespace cedarplank::net {

using loop::Time;

// Owns a file descriptor and closes it on destruction.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() { reset(); }
  Fd(Fd&& o) noexcept : fd_(o.release()) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) reset(o.release());
    return *this;
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  // Gives up ownership without closing.
  int release() {
    const int fd = fd_;
    fd_ = -1;
    return fd;
  }
  void reset(int fd = -1);  // closes the descriptor and takes ownership of `fd`

 private:
  int fd_ = -1;
};

// An IPv4 or IPv6 address with a port, such as "127.0.0.1:80" or "[::1]:80". Host names are not resolved.
class Address {
 public:
  // Throws std::invalid_argument, which quotes `text`.
  static Address parse(const std::string& text);
  static Address of_socket(int fd);  // the local address that the socket is bound to
  static Address of_peer(int fd);    // the remote address; empty if the socket is no longer connected
  // Reads one datagram into `buffer` and sets this address to its sender's. Returns what recvfrom(2) returns.
  ssize_t receive(int fd, char* buffer, std::size_t size);
  const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  socklen_t size() const { return size_; }
  int family() const { return storage_.ss_family; }
  std::string text() const;

 private:
  sockaddr_storage storage_{};
  socklen_t size_ = 0;
};

// A byte stream between two endpoints. An interface, so that TLS with ALPN can be added behind it.
class Stream {
 public:
  struct Handlers {
    std::function<void()> connected;                 // connected; only for streams that connect themselves
    std::function<void(std::string_view)> data;      // bytes were received
    std::function<void()> drained;                   // everything written has been handed to the kernel
    std::function<void(const std::string&)> closed;  // closed, with the reason; no handler is called after it
    // The peer has finished sending but may still read. If not set, the stream is closed in that case.
    std::function<void()> end_of_input = {};
  };
  virtual ~Stream() = default;
  // Buffers what the kernel does not accept at once.
  virtual void write(std::string_view bytes) = 0;
  // Bytes passed to write() so far, and those of them that have been handed to the kernel.
  virtual std::uint64_t bytes_written() const = 0;
  virtual std::uint64_t bytes_flushed() const = 0;
  virtual void pause_reading(bool paused) = 0;
  // Sends what was written and shuts down the sending side; the stream ends when the peer closes it, or after
  // `linger` microseconds. `closed` is still called.
  virtual void finish(Time linger) = 0;
  // Closes at once, with a connection reset if `abort` is set. `closed` is not called.
  virtual void close(bool abort = false) = 0;
};

// A stream over a TCP connection.
class TcpStream final : public Stream {
 public:
  // Takes ownership of a connected descriptor.
  TcpStream(loop::Loop& loop, Fd fd, Handlers handlers);
  // Starts connecting. Failure, or a time-out after `connect_timeout` microseconds, is reported to `closed`.
  TcpStream(loop::Loop& loop, const Address& to, Time connect_timeout, Handlers handlers);
  ~TcpStream() override;

  void write(std::string_view bytes) override;
  std::uint64_t bytes_written() const override { return bytes_written_; }
  std::uint64_t bytes_flushed() const override { return bytes_flushed_; }
  void pause_reading(bool paused) override;
  // From now on reads at most so many bytes at once.
  void limit_reads(std::size_t max_bytes) { read_limit_ = max_bytes; }
  void finish(Time linger) override;
  void close(bool abort = false) override;
  // Bytes that were written and that the kernel has not accepted yet.
  std::size_t unsent() const { return output_.size() - output_offset_; }
  // Bytes that are allocated for what was written.
  std::size_t memory() const { return output_.capacity(); }
  // From now on the kernel resets the connection if the process exits without closing it.
  void reset_on_exit();
  int descriptor() const { return fd_.get(); }
  // Whether some bytes that the kernel accepted have not been acknowledged by the peer's machine. After a
  // plain close the kernel goes on delivering them; after a reset it does not.
  bool has_unacknowledged_data() const;
  // Whether connecting could not start because of a temporary shortage on this machine, such as of
  // descriptors.
  bool failed_locally() const { return failed_locally_; }

  // For tests: limits each read and write to `max_bytes` (0: no limit).
  static void limit_io_size(std::size_t max_bytes);

 private:
  void handle_events(short revents);
  void read_some();
  void flush();
  void update_events();
  void close_with_reason(const std::string& why);

  loop::Loop& loop_;
  Fd fd_;
  Handlers handlers_;
  std::string output_;             // bytes to write, and
  std::size_t output_offset_ = 0;  // how many of them the kernel has accepted
  std::size_t read_limit_ = std::numeric_limits<std::size_t>::max();
  void release_output();
  std::uint64_t bytes_written_ = 0, bytes_flushed_ = 0;
  bool failed_locally_ = false, reset_on_exit_ = false;
  bool connecting_ = false, paused_ = false, finishing_ = false, input_ended_ = false;
  short events_ = 0;
  loop::TimerId timer_ = 0;  // connect time-out, or the time limit of finish()
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once closed or destroyed
};

// A listening TCP socket.
class Listener {
 public:
  // Calls `accepted` with each connected, non-blocking descriptor. Throws std::system_error naming the
  // address.
  Listener(loop::Loop& loop, const Address& on, std::function<void(Fd)> accepted, int backlog = 512);
  ~Listener();
  Address address() const { return Address::of_socket(fd_.get()); }
  void pause(bool paused);  // stops or resumes accepting; connections wait in the backlog meanwhile
  int descriptor() const { return fd_.get(); }

 private:
  loop::Loop& loop_;
  Fd fd_;
  std::function<void(Fd)> on_accept_;
  bool paused_ = false;
  loop::TimerId resume_timer_ = 0;  // resumes accepting after a lack of descriptors or memory
};

}  // namespace cedarplank::net
