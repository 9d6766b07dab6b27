// Sockets on the loop: addresses, listeners, and a buffered byte stream without blocking.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.hpp"

namespace cedarplank::net {

using loop::Time;

// A descriptor that closes itself.
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
  int release() {
    const int fd = fd_;
    fd_ = -1;
    return fd;
  }
  void reset(int fd = -1);

 private:
  int fd_ = -1;
};

// An IPv4 or IPv6 address with a port, as "127.0.0.1:80" or "[::1]:80". Names are not resolved here.
class Address {
 public:
  // Throws std::invalid_argument naming the text.
  static Address parse(const std::string& text);
  static Address of_socket(int fd);
  static Address of_peer(int fd);  // of the other end; empty where it has gone
  // One datagram into `buffer`, and where it came from into this; as recvfrom(2).
  ssize_t receive(int fd, char* buffer, std::size_t size);
  const sockaddr* data() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  socklen_t size() const { return size_; }
  int family() const { return storage_.ss_family; }
  std::string text() const;

 private:
  sockaddr_storage storage_{};
  socklen_t size_ = 0;
};

// A byte stream between two ends; the seam where TLS with ALPN comes in, over the same interface.
class Stream {
 public:
  struct Handlers {
    std::function<void()> connected;                 // the connection stands (only after connecting)
    std::function<void(std::string_view)> data;      // bytes came
    std::function<void()> drained;                   // everything written has been handed to the kernel
    std::function<void(const std::string&)> closed;  // the end: why; nothing comes after it
    // The peer sends nothing more, and may still read. Not set: that is the end too.
    std::function<void()> ended = {};
  };
  virtual ~Stream() = default;
  virtual void write(std::string_view bytes) = 0;
  // Bytes accepted by write() and bytes that the kernel took, since the start.
  virtual std::uint64_t queued() const = 0;
  virtual std::uint64_t flushed() const = 0;
  virtual void pause_reading(bool paused) = 0;
  // Closes once what was written is out (at most `linger` us later); `closed` is still called.
  virtual void finish(Time linger) = 0;
  // Closes at once, with a reset where `abort` is set. `closed` is not called.
  virtual void close(bool abort = false) = 0;
};

class TcpStream final : public Stream {
 public:
  // Takes over a connected descriptor.
  TcpStream(loop::Loop& loop, Fd fd, Handlers handlers);
  // Starts connecting; `closed` tells of failure and of a time-out, `connect_timeout` in us.
  TcpStream(loop::Loop& loop, const Address& to, Time connect_timeout, Handlers handlers);
  ~TcpStream() override;

  void write(std::string_view bytes) override;
  std::uint64_t queued() const override { return queued_; }
  std::uint64_t flushed() const override { return flushed_; }
  void pause_reading(bool paused) override;
  void finish(Time linger) override;
  void close(bool abort = false) override;
  // From now on the system resets the connection where the process ends without closing it.
  void reset_on_exit();
  int descriptor() const { return fd_.get(); }
  // Whether the peer's machine has not acknowledged all that the kernel took. A plain close goes on
  // delivering such bytes; one with a reset does not.
  bool unacknowledged() const;
  // It never began to connect, for want of something on this machine that may be there again soon.
  bool failed_here() const { return failed_here_; }

  // For tests: at most so many bytes a read or write (0: no limit).
  static void limit_io(std::size_t most);

 private:
  void ready(short revents);
  void read_some();
  void flush();
  void update_events();
  void end(const std::string& why);

  loop::Loop& loop_;
  Fd fd_;
  Handlers handlers_;
  std::string out_;
  std::size_t out_at_ = 0;
  std::uint64_t queued_ = 0, flushed_ = 0;
  bool failed_here_ = false, reset_on_exit_ = false;
  bool connecting_ = false, paused_ = false, finishing_ = false, read_all_ = false;
  short events_ = 0;
  loop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once closed or destroyed
};

class Listener {
 public:
  // Throws std::system_error naming the address. `accepted` gets connected, non-blocking descriptors.
  Listener(loop::Loop& loop, const Address& on, std::function<void(Fd)> accepted, int backlog = 512);
  ~Listener();
  Address address() const { return Address::of_socket(fd_.get()); }
  void pause(bool paused);
  int descriptor() const { return fd_.get(); }

 private:
  loop::Loop& loop_;
  Fd fd_;
  std::function<void(Fd)> accepted_;
  bool paused_ = false;
  loop::TimerId retry_ = 0;  // accepts again after running out of descriptors
};

}  // namespace cedarplank::net
