// What the fault library does to the process that it is loaded into: plain numbers in a file that both map,
// so that a test changes them while the process runs. 0 means that a call works as ever.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace cedarplank::testing::faults {

constexpr const char* kControlFile = "CEDARPLANK_FAULTS";  // the environment variable that names the file

struct Control {
  // Error numbers of calls on the lasting folder.
  std::atomic<int> write_error, create_error, allocate_error, rename_error, remove_error, read_error;
  std::atomic<int> write_part;     // bytes that a write that fails takes all the same
  std::atomic<int> kill_in_write;  // the next write takes so many bytes less one, then the process is killed
  // Error numbers of calls on sockets.
  std::atomic<int> accept_error, socket_error, connect_error;
  std::atomic<int> receive_error, receive_error_each;  // one in so many reads of a socket fails so
  std::atomic<int> interrupt_polls;                    // every other poll(2) ends with EINTR
  std::atomic<int> short_io;                           // bytes that a read or write of a socket takes at most
  std::atomic<std::int64_t> wall_shift;                // us that the wall clock is ahead
  std::atomic<int> hide_boot_id;
  std::atomic<std::uint64_t> hits;  // calls that were made to fail
};

// Null where the file can't be mapped.
inline Control* map_control(const char* file, bool create) {
  const int fd = open(file, O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), 0600);
  if (fd < 0) return nullptr;
  void* at = MAP_FAILED;
  if (!create || ftruncate(fd, sizeof(Control)) == 0)
    at = mmap(nullptr, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  return at == MAP_FAILED ? nullptr : static_cast<Control*>(at);
}

}  // namespace cedarplank::testing::faults
