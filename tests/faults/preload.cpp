// Fault-injection library, loaded into the relay under test with LD_PRELOAD. As the control file says, it
// makes system calls fail, transfer fewer bytes or return a shifted clock. Calls on the journal folder are
// recognized by their kind: only the journal uses pwrite, pread, openat and the like.
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <cstdlib>

#include "faults/control.hpp"

namespace {

using cedarplank::testing::faults::Control;

// Null where no control file is set or it cannot be mapped.
Control* control() {
  static Control* const mapped = [] {
    const char* file = std::getenv(cedarplank::testing::faults::kControlFileVariable);
    return file == nullptr ? nullptr : cedarplank::testing::faults::map_control(file, false);
  }();
  return mapped;
}

// The next definition of the call: the C library's or a sanitizer's.
template <typename Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Whether the call must fail; if so, sets errno.
bool inject_failure(std::atomic<int> Control::*error_field) {
  if (control() == nullptr) return false;
  const int error = (control()->*error_field).load(std::memory_order_relaxed);
  if (error == 0) return false;
  control()->injected_failures++;
  errno = error;
  return true;
}

// The size to pass on, limited as the control file sets it.
size_t limited_size(size_t size) {
  const int most = control() == nullptr ? 0 : control()->max_io_bytes.load(std::memory_order_relaxed);
  return most > 0 ? std::min(size, static_cast<size_t>(most)) : size;
}

bool inject_receive_failure() {
  static std::atomic<int> reads{0};
  if (control() == nullptr || control()->receive_error.load() == 0) return false;
  if (++reads % std::max(1, control()->receive_error_interval.load()) != 0) return false;
  return inject_failure(&Control::receive_error);
}

}  // namespace

extern "C" {

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  static const auto next = real<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  if (control() != nullptr) {
    if (const int kill_at = control()->kill_in_write.exchange(0); kill_at > 0) {
      [[maybe_unused]] const auto n = next(fd, bytes, std::min(size, static_cast<size_t>(kill_at - 1)), at);
      raise(SIGKILL);
    }
    if (control()->write_error.load() != 0) {
      const auto part = static_cast<size_t>(control()->partial_write_bytes.load());
      // As the kernel does: reports the bytes written, and the next write fails.
      if (part > 0 && part < size) {
        control()->partial_write_bytes = 0;
        return next(fd, bytes, part, at);
      }
    }
  }
  return inject_failure(&Control::write_error) ? -1 : next(fd, bytes, size, at);
}
ssize_t pwrite64(int fd, const void* bytes, size_t size, off_t at) { return pwrite(fd, bytes, size, at); }

ssize_t pread(int fd, void* bytes, size_t size, off_t at) {
  static const auto next = real<ssize_t (*)(int, void*, size_t, off_t)>("pread");
  return inject_failure(&Control::read_error) ? -1 : next(fd, bytes, size, at);
}
ssize_t pread64(int fd, void* bytes, size_t size, off_t at) { return pread(fd, bytes, size, at); }

int openat(int folder, const char* name, int flags, ...) {
  static const auto next = real<int (*)(int, const char*, int, mode_t)>("openat");
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, int));
  va_end(more);
  if ((flags & O_CREAT) != 0 && inject_failure(&Control::create_error)) return -1;
  return next(folder, name, flags, mode);
}
int openat64(int folder, const char* name, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, int));
  va_end(more);
  return openat(folder, name, flags, mode);
}

int posix_fallocate(int fd, off_t at, off_t size) {
  static const auto next = real<int (*)(int, off_t, off_t)>("posix_fallocate");
  return inject_failure(&Control::allocate_error) ? errno : next(fd, at, size);
}
int posix_fallocate64(int fd, off_t at, off_t size) { return posix_fallocate(fd, at, size); }

int renameat(int from_folder, const char* from, int to_folder, const char* to) {
  static const auto next = real<int (*)(int, const char*, int, const char*)>("renameat");
  return inject_failure(&Control::rename_error) ? -1 : next(from_folder, from, to_folder, to);
}

int unlinkat(int folder, const char* name, int flags) {
  static const auto next = real<int (*)(int, const char*, int)>("unlinkat");
  return inject_failure(&Control::remove_error) ? -1 : next(folder, name, flags);
}

struct dirent* readdir(DIR* folder) {
  static const auto next = real<struct dirent* (*)(DIR*)>("readdir");
  return inject_failure(&Control::read_error) ? nullptr : next(folder);
}
struct dirent64* readdir64(DIR* folder) {
  static const auto next = real<struct dirent64* (*)(DIR*)>("readdir64");
  return inject_failure(&Control::read_error) ? nullptr : next(folder);
}

int accept4(int fd, struct sockaddr* from, socklen_t* size, int flags) {
  static const auto next = real<int (*)(int, struct sockaddr*, socklen_t*, int)>("accept4");
  return inject_failure(&Control::accept_error) ? -1 : next(fd, from, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto next = real<int (*)(int, int, int)>("socket");
  return inject_failure(&Control::socket_error) ? -1 : next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr* to, socklen_t size) {
  static const auto next = real<int (*)(int, const struct sockaddr*, socklen_t)>("connect");
  return inject_failure(&Control::connect_error) ? -1 : next(fd, to, size);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static const auto next = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  if ((flags & MSG_PEEK) == 0 && inject_receive_failure()) return -1;
  return next(fd, bytes, limited_size(size), flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto next = real<ssize_t (*)(int, const void*, size_t, int)>("send");
  return next(fd, bytes, limited_size(size), flags);
}

int poll(struct pollfd* fds, nfds_t count, int timeout) {
  static const auto next = real<int (*)(struct pollfd*, nfds_t, int)>("poll");
  static std::atomic<int> calls{0};
  if (control() != nullptr && control()->interrupt_polls.load() != 0 && ++calls % 2 == 0) {
    control()->injected_failures++;
    errno = EINTR;
    return -1;
  }
  return next(fds, count, timeout);
}

int clock_gettime(clockid_t which, struct timespec* out) {
  static const auto next = real<int (*)(clockid_t, struct timespec*)>("clock_gettime");
  const int result = next(which, out);
  if (result != 0 || which != CLOCK_REALTIME || control() == nullptr) return result;
  constexpr std::int64_t kMillion = 1'000'000;
  const std::int64_t micros =
      std::int64_t{out->tv_sec} * kMillion + out->tv_nsec / 1000 + control()->wall_clock_offset.load();
  out->tv_sec = micros / kMillion, out->tv_nsec = micros % kMillion * 1000 + out->tv_nsec % 1000;
  return result;
}

FILE* fopen(const char* name, const char* mode) {
  static const auto next = real<FILE* (*)(const char*, const char*)>("fopen");
  if (control() != nullptr && control()->hide_boot_id.load() != 0 && strstr(name, "boot_id") != nullptr) {
    control()->injected_failures++;
    errno = ENFILE;
    return nullptr;
  }
  return next(name, mode);
}
FILE* fopen64(const char* name, const char* mode) { return fopen(name, mode); }

}  // extern "C"
