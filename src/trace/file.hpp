// Stories to a file that is changed for a fresh one at a size, a few old ones kept. Written by a thread of
// its own: a slow disk delays no delivery; what it can't keep up with is lost, oldest first, and counted.
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

class File {
 public:
  struct Options {
    std::string file;
    std::size_t bytes = 64 * 1024 * 1024;  // of one file
    std::size_t files = 4;                 // old ones kept: FILE.1 is the newest of them
    std::size_t queue = 8192;              // stories that wait for the disk
    bool wait = false;                     // for the disk, instead of losing stories
  };
  // Throws std::runtime_error naming the file where it can't be opened.
  explicit File(const Options& options);
  ~File();  // waits until all is written
  void write(const Story& story);
  // What was written so far goes to the disk soon.
  void flush();
  std::uint64_t lost() const;    // for want of speed
  std::uint64_t errors() const;  // writes that failed
  std::string last_error() const;

 private:
  struct Errors;
  std::shared_ptr<Errors> errors_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::async_logger> logger_;
};

}  // namespace cedarplank::trace
