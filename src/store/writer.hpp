// Writes to a log on its own thread, so that a slow disk never blocks the event loop. Records are numbered at
// once and become durable later; the owner is notified on its own thread.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store/log.hpp"

namespace cedarplank::store {

struct WriterSettings {
  enum class Sync {
    each,     // what is queued is synced at once; what arrives meanwhile goes into the next commit
    batched,  // waits until batch_time has passed or batch_records are queued
    none      // written but not synced: survives a crash of the program, not of the machine
  } sync = Sync::each;
  std::chrono::microseconds batch_time{2'000};
  std::size_t batch_records = 256;
  // Bytes not yet durable; beyond them no new messages should be accepted.
  std::size_t queue_bytes_max = 64 * 1024 * 1024;
  LogSettings log;
};

class Writer {
 public:
  enum class State {
    healthy,
    // Short of space: on the device, or half of the segment limit is used. The reserve is for what must still
    // be written.
    low_space,
    blocked,  // the reserve is used up too: appended records wait for an unknown time
    failed    // for good: see Log
  };
  struct Ports {
    std::function<void(std::function<void()>)> post;  // runs a function on the owner's thread
    std::function<void()> on_change;                  // durable() or state() changed; on the owner's thread
  };
  // `id` identifies a new log.
  Writer(std::unique_ptr<Files> files, const WriterSettings& settings, std::uint64_t id, Ports ports);
  ~Writer();  // writes what was appended first, unless the log can't be written
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  // Reads the existing records and starts the thread. To be called once, before the first append().
  Log::OpenResult open(const std::function<void(Sequence, std::string_view)>& record);
  // Returns the record's number; 0 if the log has failed or the record is empty or too large.
  Sequence append(std::string bytes);
  // Records up to this one are no longer needed.
  void release(Sequence upto);

  Sequence durable() const { return durable_; }
  State state() const { return state_; }
  std::string problem() const;  // why the state isn't `healthy`
  // Whether new messages should be accepted. Half of the segment limit is kept for records of messages
  // already accepted.
  bool has_room() const;
  std::uint64_t commits() const { return commits_; }
  std::uint64_t bytes() const { return bytes_; }  // appended to the log, with headers
  std::size_t segments() const { return segments_; }

 private:
  bool nearly_full(std::size_t segments, std::size_t queued) const;
  void run();
  void set_state(State state, const std::string& why);
  void post_notification();  // posts Ports::on_change, once until it has run
  bool commit_all(std::vector<std::string>& records, std::unique_lock<std::mutex>& lock);

  std::unique_ptr<Files> files_;
  const WriterSettings settings_;
  Log log_;  // used only by the thread once it runs
  Ports ports_;
  std::thread thread_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_:
  std::vector<std::string> queue_;
  std::size_t queue_bytes_ = 0,
              committing_bytes_ = 0;  // bytes taken from the queue and being committed
  Sequence pending_release_ = 0;
  std::string problem_;
  bool stopping_ = false, notification_posted_ = false;

  Sequence next_ = 1;
  std::atomic<Sequence> durable_{0};
  std::atomic<State> state_{State::healthy};
  std::atomic<std::uint64_t> commits_{0}, bytes_{0};
  std::atomic<std::size_t> segments_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false for notifications after destruction
};

}  // namespace cedarplank::store
