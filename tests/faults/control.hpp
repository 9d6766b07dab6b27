// Control block of the fault-injection library (preload.cpp): plain numbers in a file that the test and the
// relay process both map, so that a test can change them while the process runs. 0 leaves a call unchanged.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace cedarplank::testing::faults {

// Environment variable with the path of the file.
constexpr const char* kControlFileVariable = "CEDARPLANK_FAULTS";

struct Control {
  // errno values for calls on the journal folder.
  std::atomic<int> write_error, create_error, allocate_error, rename_error, remove_error, read_error;
  std::atomic<int> partial_write_bytes;  // bytes that the first failing write still writes
  std::atomic<int> kill_in_write;        // n > 0: the next write writes n - 1 bytes, then SIGKILL
  // errno values for calls on sockets.
  std::atomic<int> accept_error, socket_error, connect_error;
  std::atomic<int> receive_error, receive_error_interval;  // every n-th socket read fails with receive_error
  std::atomic<int> interrupt_polls;                        // every other poll(2) fails with EINTR
  std::atomic<int> max_io_bytes;                           // maximum bytes per socket read or write
  std::atomic<std::int64_t> wall_clock_offset;             // us added to the wall clock
  std::atomic<int> hide_boot_id;                           // opening the boot id file fails with ENFILE
  std::atomic<std::uint64_t> injected_failures;            // calls made to fail so far
};

// Maps the control file, creating it if asked to. Returns null where the file cannot be mapped.
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
