#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace cedarplank::net {
namespace {

std::size_t io_limit = 0;  // bytes of one read or write, for tests; 0: no limit
constexpr std::size_t kReadSize = 32 * 1024;
constexpr std::size_t kKeptOutputBytes = 1'024;  // of an empty buffer, for the next writes
constexpr int kReadsPerTurn = 4;                 // limits how long one busy peer can occupy the loop
constexpr Time kAcceptRetryDelay = 100'000;      // microseconds

// Whether an error is a local condition that may pass, such as a lack of descriptors, memory or ports. It
// says nothing about the peer.
bool is_temporary_local_error(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM ||
         error == EADDRNOTAVAIL || error == ENETUNREACH || error == EAGAIN;
}

// With {1, 0} closing resets the connection and discards data that has not been acknowledged (socket(7)).
void set_linger(int fd, linger how) { setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof how); }

}  // namespace

void Fd::reset(int fd) {
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd;
}

Address Address::parse(const std::string& text) {
  const auto bad = [&](const char* why) {
    throw std::invalid_argument("address '" + text + "': " + why +
                                " (expected 127.0.0.1:PORT or [::1]:PORT)");
  };
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) bad("has no port");
  unsigned port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || first == last || port > 65535)
    bad("the port is not a number from 0 to 65535");
  std::string host = text.substr(0, colon);
  Address a;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* in6 = reinterpret_cast<sockaddr_in6*>(&a.storage_);
    if (inet_pton(AF_INET6, host.c_str(), &in6->sin6_addr) != 1) bad("is not an IPv6 address");
    in6->sin6_family = AF_INET6, in6->sin6_port = htons(static_cast<std::uint16_t>(port));
    a.size_ = sizeof(sockaddr_in6);
  } else {
    auto* in = reinterpret_cast<sockaddr_in*>(&a.storage_);
    if (inet_pton(AF_INET, host.c_str(), &in->sin_addr) != 1) bad("is not an IPv4 address");
    in->sin_family = AF_INET, in->sin_port = htons(static_cast<std::uint16_t>(port));
    a.size_ = sizeof(sockaddr_in);
  }
  return a;
}

Address Address::of_socket(int fd) {
  Address a;
  a.size_ = sizeof a.storage_;
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&a.storage_), &a.size_) != 0)
    throw std::system_error(errno, std::generic_category(), "getsockname");
  return a;
}

Address Address::of_peer(int fd) {
  Address a;
  a.size_ = sizeof a.storage_;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&a.storage_), &a.size_) != 0) a = Address();
  return a;
}

ssize_t Address::receive(int fd, char* buffer, std::size_t size) {
  size_ = sizeof storage_;
  return recvfrom(fd, buffer, size, 0, reinterpret_cast<sockaddr*>(&storage_), &size_);
}

std::string Address::text() const {
  char buffer[INET6_ADDRSTRLEN] = {};
  if (family() == AF_INET6) {
    const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&storage_);
    inet_ntop(AF_INET6, &in6->sin6_addr, buffer, sizeof buffer);
    return "[" + std::string(buffer) + "]:" + std::to_string(ntohs(in6->sin6_port));
  }
  const auto* in = reinterpret_cast<const sockaddr_in*>(&storage_);
  inet_ntop(AF_INET, &in->sin_addr, buffer, sizeof buffer);
  return std::string(buffer) + ":" + std::to_string(ntohs(in->sin_port));
}

void TcpStream::limit_io_size(std::size_t max_bytes) { io_limit = max_bytes; }

TcpStream::TcpStream(loop::Loop& loop, Fd fd, Handlers handlers)
    : loop_(loop), fd_(std::move(fd)), handlers_(std::move(handlers)) {
  const int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  events_ = POLLIN;
  loop_.watch(fd_.get(), events_, [this](short revents) { handle_events(revents); });
}

TcpStream::TcpStream(loop::Loop& loop, const Address& to, Time connect_timeout, Handlers handlers)
    : loop_(loop), handlers_(std::move(handlers)), connecting_(true) {
  const auto fail = [this](std::string why) {
    // Reported by a deferred call, because the owner has no pointer to this object before the constructor
    // returns.
    loop_.defer([this, alive = alive_, why = std::move(why)] {
      if (*alive) close_with_reason(why);
    });
  };
  fd_ = Fd(socket(to.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_) {
    failed_locally_ = is_temporary_local_error(errno);
    fail(std::string("socket: ") + std::strerror(errno));
    return;
  }
  const int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  // A connect() that a signal interrupts continues in the background, as a non-blocking one does.
  if (connect(fd_.get(), to.data(), to.size()) != 0 && errno != EINPROGRESS && errno != EINTR) {
    failed_locally_ = is_temporary_local_error(errno);
    fail(std::string("connect: ") + std::strerror(errno));
    return;
  }
  events_ = POLLOUT;
  loop_.watch(fd_.get(), events_, [this](short revents) { handle_events(revents); });
  timer_ = loop_.after(connect_timeout, [this] {
    timer_ = 0;
    close_with_reason("connect: timed out");
  });
}

TcpStream::~TcpStream() { close(); }

void TcpStream::handle_events(short revents) {
  const auto alive = alive_;
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return close_with_reason(std::string("connect: ") + std::strerror(error));
    connecting_ = false;
    loop_.cancel(timer_), timer_ = 0;
    if (handlers_.connected) handlers_.connected();
    if (!*alive) return;
    flush();
    if (*alive) update_events();
    return;
  }
  // poll(2) reports POLLHUP and POLLERR whatever events are requested, on every call until they are handled.
  // A paused stream has no other way to learn that its peer has gone; ignored, they would make the loop spin.
  if ((paused_ || input_ended_) && !finishing_ && (revents & (POLLHUP | POLLERR))) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return close_with_reason(error == 0 ? "closed by the peer"
                                        : std::string("read: ") + std::strerror(error));
  }
  if (revents & (POLLIN | POLLHUP | POLLERR)) read_some();
  if (*alive && (revents & POLLOUT)) flush();
  if (*alive) update_events();
}

void TcpStream::read_some() {
  static thread_local char buffer[kReadSize];
  const auto alive = alive_;
  for (int i = 0; i < kReadsPerTurn && *alive && (!paused_ || finishing_); i++) {
    const std::size_t most = finishing_ ? kReadSize : std::min(read_limit_, kReadSize);
    const auto n = recv(fd_.get(), buffer, io_limit > 0 ? std::min(io_limit, most) : most, 0);
    if (n > 0) {
      if (!finishing_ && handlers_.data) handlers_.data({buffer, static_cast<std::size_t>(n)});
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n == 0 && handlers_.end_of_input && !finishing_) {
      if (!std::exchange(input_ended_, true)) handlers_.end_of_input();
      return;
    }
    return close_with_reason(n == 0 ? "closed by the peer" : std::string("read: ") + std::strerror(errno));
  }
}

void TcpStream::write(std::string_view bytes) {
  if (!*alive_ || finishing_) return;
  output_.append(bytes);
  bytes_written_ += bytes.size();
  if (connecting_) return;
  flush();
  if (*alive_) update_events();
}

void TcpStream::flush() {
  const auto alive = alive_;
  while (output_offset_ < output_.size()) {
    std::size_t n = output_.size() - output_offset_;
    if (io_limit > 0) n = std::min(n, io_limit);
    const auto sent = send(fd_.get(), output_.data() + output_offset_, n, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      if (output_offset_ > output_.size() / 2) output_.erase(0, output_offset_), output_offset_ = 0;
      return;
    }
    if (sent < 0) {
      // Reported by a deferred call: `closed` may destroy the owner, which must not happen while it is in
      // write().
      const std::string why = std::string("write: ") + std::strerror(errno);
      release_output();
      loop_.defer([this, alive, why] {
        if (*alive) close_with_reason(why);
      });
      return;
    }
    output_offset_ += static_cast<std::size_t>(sent);
    bytes_flushed_ += static_cast<std::uint64_t>(sent);
  }
  const bool wrote = !output_.empty();
  release_output();
  if (finishing_) {
    shutdown(fd_.get(), SHUT_WR);
    return;
  }
  if (wrote && handlers_.drained) handlers_.drained();
}

// A string that is emptied keeps what was allocated for it.
void TcpStream::release_output() {
  output_.clear(), output_offset_ = 0;
  if (output_.capacity() > kKeptOutputBytes) std::string().swap(output_);
}

void TcpStream::update_events() {
  if (!fd_ || connecting_) return;
  const short wanted = static_cast<short>(((paused_ || input_ended_) && !finishing_ ? 0 : POLLIN) |
                                          (output_offset_ < output_.size() ? POLLOUT : 0));
  if (wanted == events_) return;
  events_ = wanted;
  loop_.set_events(fd_.get(), wanted);
}

void TcpStream::pause_reading(bool paused) {
  paused_ = paused;
  if (*alive_) update_events();
}

void TcpStream::finish(Time linger) {
  if (!*alive_ || finishing_) return;
  finishing_ = true;
  loop_.cancel(timer_);
  // The stream ends when the peer closes it or when this timer fires.
  timer_ = loop_.after(linger, [this] {
    timer_ = 0;
    close_with_reason("closed here");
  });
  if (connecting_) return;
  flush();
  update_events();
}

void TcpStream::close_with_reason(const std::string& why) {
  if (!*alive_) return;
  const auto closed = std::move(handlers_.closed);
  close();
  if (closed) closed(why);
}

bool TcpStream::has_unacknowledged_data() const {
  int waiting = 0;
  return fd_ && ioctl(fd_.get(), SIOCOUTQ, &waiting) == 0 && waiting > 0;
}

void TcpStream::reset_on_exit() {
  reset_on_exit_ = true;
  if (fd_) set_linger(fd_.get(), {1, 0});
}

void TcpStream::close(bool abort) {
  if (!*alive_) return;
  *alive_ = false;
  loop_.cancel(timer_), timer_ = 0;
  if (!fd_) return;
  loop_.unwatch(fd_.get());
  if (abort)
    set_linger(fd_.get(), {1, 0});
  else if (reset_on_exit_)
    set_linger(fd_.get(), {0, 0});
  fd_.reset();
}

Listener::Listener(loop::Loop& loop, const Address& on, std::function<void(Fd)> accepted, int backlog)
    : loop_(loop), on_accept_(std::move(accepted)) {
  const auto fail = [&](const char* what) {
    throw std::system_error(errno, std::generic_category(), "listening on " + on.text() + ": " + what);
  };
  fd_ = Fd(socket(on.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd_) fail("socket");
  const int yes = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind(fd_.get(), on.data(), on.size()) != 0) fail("bind");
  if (listen(fd_.get(), backlog) != 0) fail("listen");
  loop_.watch(fd_.get(), POLLIN, [this](short) {
    for (int i = 0; i < 64 && !paused_; i++) {
      const int fd = accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return;
        // Out of descriptors or memory: the connection stays in the backlog, and poll(2) reports it on every
        // call. Accepting is paused for a while so that the loop does not spin.
        pause(true);
        loop_.cancel(resume_timer_);
        resume_timer_ = loop_.after(kAcceptRetryDelay, [this] { pause(false); });
        return;
      }
      on_accept_(Fd(fd));
    }
  });
}

Listener::~Listener() {
  loop_.cancel(resume_timer_);
  if (fd_) loop_.unwatch(fd_.get());
}

void Listener::pause(bool paused) {
  paused_ = paused;
  loop_.set_events(fd_.get(), paused ? short{0} : short{POLLIN});
}

}  // namespace cedarplank::net
