#include "trace/trace_file.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/rotating_file_sink.h>

#include <mutex>
#include <stdexcept>

#include "trace/json.hpp"

namespace cedarplank::trace {

struct TraceFile::Errors {
  std::mutex mutex;
  std::uint64_t count = 0;
  std::string last;
};

TraceFile::TraceFile(const Options& options) : errors_(std::make_shared<Errors>()) {
  try {
    auto sink = std::make_shared<spdlog::sinks::rotating_file_sink_st>(options.path, options.max_file_bytes,
                                                                       options.kept_files);
    thread_pool_ = std::make_shared<spdlog::details::thread_pool>(options.queue_capacity, 1);
    logger_ = std::make_shared<spdlog::async_logger>("trace", std::move(sink), thread_pool_,
                                                     options.block_when_full
                                                         ? spdlog::async_overflow_policy::block
                                                         : spdlog::async_overflow_policy::overrun_oldest);
  } catch (const spdlog::spdlog_ex& e) {
    throw std::runtime_error("trace: " + std::string(e.what()));
  }
  logger_->set_pattern("%v");
  // Called by the writer thread. Errors are counted here instead of logged, so that a full disk does not also
  // flood the relay's own log.
  logger_->set_error_handler([errors = errors_](const std::string& what) {
    const std::lock_guard lock(errors->mutex);
    errors->count++, errors->last = what;
  });
}

TraceFile::~TraceFile() {
  logger_->flush();
  logger_.reset();
  thread_pool_.reset();  // writes what is queued, then stops its thread
}

void TraceFile::write(const MessageTrace& message_trace) {
  const std::string line = to_json(message_trace);
  logger_->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

void TraceFile::flush() { logger_->flush(); }

std::uint64_t TraceFile::lost_traces() const { return thread_pool_->overrun_counter(); }
std::uint64_t TraceFile::write_errors() const {
  const std::lock_guard lock(errors_->mutex);
  return errors_->count;
}
std::string TraceFile::last_error() const {
  const std::lock_guard lock(errors_->mutex);
  return errors_->last;
}

}  // namespace cedarplank::trace
