// Writes message traces to a file that is rotated at a size limit; a few rotated files are kept. A separate
// thread writes, so that a slow disk does not delay deliveries. If it can't keep up, the oldest queued traces
// are lost and counted.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "trace/message_trace.hpp"

namespace spdlog {
class async_logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace cedarplank::trace {

// A rotating trace file, one JSON object per line.
class TraceFile {
 public:
  struct Options {
    std::string path;                               // path of the current file
    std::size_t max_file_bytes = 64 * 1024 * 1024;  // size limit of one file
    std::size_t kept_files = 4;                     // rotated files kept; FILE.1 is the newest
    std::size_t queue_capacity = 8192;              // traces that may wait to be written
    bool block_when_full = false;  // whether write() blocks when the queue is full, instead of losing traces
  };
  // Throws std::runtime_error naming the file if it can't be opened.
  explicit TraceFile(const Options& options);
  ~TraceFile();  // waits until everything queued is written
  void write(const MessageTrace& message_trace);
  // Asks the writer thread to flush the traces queued so far; does not wait for it.
  void flush();
  std::uint64_t lost_traces() const;  // traces overwritten in a full queue
  std::uint64_t write_errors() const;
  std::string last_error() const;

 private:
  struct Errors;
  std::shared_ptr<Errors> errors_;
  std::shared_ptr<spdlog::details::thread_pool> thread_pool_;
  std::shared_ptr<spdlog::async_logger> logger_;
};

}  // namespace cedarplank::trace
