// Writes message traces to a file that is rotated at a size limit; a few rotated files are kept. A separate
// thread writes, so that a slow disk does not delay deliveries. If it can't keep up, the oldest queued traces
// are lost and counted.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "trace/story.hpp"

namespace spdlog {
class async_logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace cedarplank::trace {

// A rotating trace file, one JSON object per line.
class File {
 public:
  struct Options {
    std::string file;                      // path of the current file
    std::size_t bytes = 64 * 1024 * 1024;  // size limit of one file
    std::size_t files = 4;                 // rotated files kept; FILE.1 is the newest
    std::size_t queue = 8192;              // traces that may wait to be written
    bool wait = false;  // whether write() blocks when the queue is full, instead of losing traces
  };
  // Throws std::runtime_error naming the file if it can't be opened.
  explicit File(const Options& options);
  ~File();  // waits until everything queued is written
  void write(const Story& story);
  // Asks the writer thread to flush the traces queued so far; does not wait for it.
  void flush();
  std::uint64_t lost() const;    // traces overwritten in a full queue
  std::uint64_t errors() const;  // failed writes
  std::string last_error() const;

 private:
  struct Errors;
  std::shared_ptr<Errors> errors_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::async_logger> logger_;
};

}  // namespace cedarplank::trace
