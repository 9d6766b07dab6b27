#include "platform/journal.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include "node/clock.hpp"
#include "platform/startup.hpp"
#include "store/inspect.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kTidyInterval = 50'000;
constexpr std::size_t kTidyItems = 64;             // items per run
constexpr std::size_t kTidyItemsWhenFull = 1'024;  // items per run, while the log is short of space
constexpr int kTidyRunsWhenFull = 16;              // runs at once, while the log is short of space
// Free segments that rewriting needs: the end of the last one may be too short for a record, and the records
// of one run may need another.
constexpr std::size_t kCriticalFreeSegments = 3;
constexpr std::uint64_t kMinSegmentBytes = 96 * 1024;  // bytes: a record with a body of 64 KiB fits
constexpr std::uint64_t kMaxSegmentBytes = 4 * 1024 * 1024;
constexpr std::uint64_t kTargetSegments = 24;
constexpr std::size_t kSpareSegments = 1;
constexpr std::uint64_t kMinFiles = 6;
constexpr Time kRetryInterval = 20'000;  // while the folder can't be written

void fail_if_unreadable(const store::LogProblem& problem) {
  if (problem.kind == store::LogProblem::Kind::io)
    throw std::system_error(std::make_error_code(std::errc::io_error), problem.text);
}

}  // namespace

// File sizes count in units of 512 bytes; a segment is allocated whole. Besides the spare segment another one
// may be in creation, and some space is left for the lock file and the folder itself.
store::LogSettings Journal::log_settings(std::uint64_t disk) {
  store::LogSettings s;
  s.sync = false;
  const std::uint64_t all = disk * 95 / 100;
  s.segment_size = std::clamp(disk / kTargetSegments / 512 * 512, kMinSegmentBytes, kMaxSegmentBytes);
  s.segments_max = static_cast<std::size_t>(std::max(all / s.segment_size, kMinFiles) - kSpareSegments - 1);
  s.spares_max = kSpareSegments;
  s.record_size_max = static_cast<std::size_t>(s.segment_size - store::Log::kRecordHeaderSize -
                                               store::Log::kSegmentHeaderSize);
  return s;
}

Journal::Journal(loop::Loop& loop, Settings settings, Ports ends, Log log)
    : loop_(loop),
      settings_(std::move(settings)),
      log_settings_(log_settings(settings_.disk)),
      log_line_(std::move(log)),
      waiters_released_(std::move(ends.waiters_released)) {
  open_folder();
  journal::StateImage image;
  open_log(image);
  journal::JournalCoordinatorSettings k = settings_.coordinator;
  // The log holds its window plus the records carried forward. The rest is reserved for the records that
  // finish messages already accepted.
  k.window_bytes = log_settings_.segment_size * log_settings_.segments_max / 4;
  // What is owed has room of its own, and new messages are refused when that is full. No answer that is still
  // to be told gives way to others.
  const std::uint64_t log_bytes = log_settings_.segment_size * log_settings_.segments_max;
  k.needed_bytes_max = log_bytes / 3;
  k.owed_answers_bytes_max = log_bytes / 6;
  k.answers_bytes_max = std::numeric_limits<std::size_t>::max();
  k.record_bytes_max = log_settings_.record_size_max;
  coordinator_ = std::make_unique<journal::JournalCoordinator>(
      std::move(k), std::move(image),
      journal::JournalCoordinator::Ports{
          .transport = ends.transport,
          .answers = ends.answers,
          .destination_name = [](DestinationId id) { return std::to_string(id); },
          .append = [this](std::string bytes) { return append(std::move(bytes)); },
          .release = [this](journal::Sequence upto) { release(upto); },
          .call_dropped =
              [this, unsent = std::move(ends.unsent)](relay::CallId call, relay::CallResult ending) {
                loop_.defer([weak = std::weak_ptr(alive_), unsent, call, ending] {
                  if (!weak.expired()) unsent(call, ending);
                });
              },
          .has_room = [this](std::size_t bytes) { return overflow_.empty() && log_->has_room(bytes); },
          .log = log_line_});
  using ExistingRecord = journal::JournalCoordinator::ExistingRecord;
  for (const auto& [sequence, bytes] : records_read_)
    coordinator_->count_existing_record(
        sequence, bytes, sequence <= log_->durable() ? ExistingRecord::durable : ExistingRecord::pending);
  records_read_ = {};
  timer_ = loop_.after(kTidyInterval, [this] { tidy(); });
}

Journal::~Journal() { loop_.cancel(timer_), loop_.cancel(retry_timer_); }

// ---- Recovery ----

void Journal::open_folder() {
  try {
    retry_at_start([this] { files_ = settings_.open(settings_.folder); },
                   [this](const std::string& why) { log_line_("the folder can't be opened: " + why); });
  } catch (const std::system_error& e) {
    throw std::runtime_error("journal: " + std::string(e.what()));
  }
}

// Guards against a system error that is mistaken for damage: reading is retried, and no file is changed.
void Journal::open_log(journal::StateImage& image) {
  try {
    retry_at_start([&] { read_log(image); },
                   [this](const std::string& why) { log_line_("can't be read now: " + why); });
  } catch (const std::system_error& e) {
    throw std::runtime_error("journal: " + settings_.folder + ": " + e.what());
  }
}

// Reads the whole log, damaged or not. Throws std::system_error if the system can't read it now.
void Journal::read_log(journal::StateImage& image) {
  const auto id = static_cast<std::uint64_t>(node::clock_now().wall);
  log_ = std::make_unique<store::Log>(*files_, log_settings_, id);
  journal::RecordReader reader;
  const auto opened = log_->open([&](store::Sequence s, std::string_view bytes) { reader.read(s, bytes); });
  if (opened.torn_bytes > 0)
    log_line_(
        std::to_string(opened.torn_bytes) +
        " bytes after the last record cleared: an unfinished commit, or left from the segment's earlier use");
  if (opened.problem) {
    fail_if_unreadable(*opened.problem);
    return salvage(image, opened.problem->text);
  }
  log_unreadable(reader);
  records_read_ = reader.records();
  image = reader.take_image();
}

void Journal::log_unreadable(const journal::RecordReader& reader) {
  for (const auto& problem : reader.problems()) log_line_(problem + "; left out");
}

// Guards against a damaged journal that would keep the relay from starting: the state that can be read is
// written again after the existing records, and the damaged segments are deleted once that is durable. If the
// relay restarts before then, the journal is read with the same result, since later records of a message take
// precedence over earlier ones. Throws std::system_error if the system can't read a segment now.
void Journal::salvage(journal::StateImage& image, const std::string& problem) {
  records_read_.clear();
  journal::RecordReader reader;
  const auto found = store::salvage(
      *files_, [&](store::Sequence s, std::string_view bytes) { reader.read(s, bytes); },
      store::UnreadableSegments::problem);
  if (found.problem) fail_if_unreadable(*found.problem);
  log_unreadable(reader);
  image = reader.take_image();
  log_line_("damaged: " + problem + "; " + std::to_string(found.records) + " records could be read, " +
            std::to_string(found.lost_ranges.size()) + " gaps; " + std::to_string(image.held().size()) +
            " messages are recovered");
  log_->continue_after_damage(found.problem ? log_->id() : found.id, found.sequence_limit);
  journal::StateImage fresh;
  const auto write = [&](auto what) {
    const journal::Record r{image.last_record_time(), std::move(what)};
    auto bytes = journal::encode(r);
    const auto size = bytes.size();
    const auto number = append(std::move(bytes));
    fresh.apply(number, r), records_read_.emplace_back(number, size);
  };
  auto base = image.base();
  base.next_id = image.next_id(), base.shift = 0;
  write(base);
  for (const auto& [endpoint, wait] : image.waits()) write(wait.first);
  for (const auto& [endpoint, seen] : image.health()) write(seen.first);
  for (const auto& [message, answer] : image.answers()) write(answer.answered);
  for (auto& remembered : image.remembered_records()) write(std::move(remembered));
  for (const auto& [message, held] : image.held()) write(held.state);
  image = std::move(fresh);
}

// ---- Writing ----

// A full log is no error: a record that it has no space for waits in overflow_ until segments are released.
journal::Sequence Journal::append(std::string bytes) {
  uncommitted_ = true;
  const auto number = log_->next() + overflow_.size();
  if (!overflow_.empty()) return overflow_.push_back(std::move(bytes)), number;
  switch (log_->append(bytes)) {
    case store::Log::AppendResult::appended:
      return number;
    case store::Log::AppendResult::no_space:
      return overflow_.push_back(std::move(bytes)), number;
    case store::Log::AppendResult::too_large:  // the coordinator writes none that is
    case store::Log::AppendResult::failed:
      break;
  }
  log_line_("accepts no more records: new messages are refused, and the relay is not ready");
  return 0;
}

std::error_code Journal::commit_log() {
  while (!overflow_.empty() && log_->append(overflow_.front()) == store::Log::AppendResult::appended)
    overflow_.pop_front();
  const auto error = log_->commit();
  if (error || overflow_.empty()) return error;
  return std::make_error_code(std::errc::no_space_on_device);
}

void Journal::commit() {
  // A commit may release answers that append further records, which the next one makes durable.
  for (int i = 0; i < 4 && (uncommitted_ || stalled()); i++) {
    uncommitted_ = false;
    const auto error = commit_log();
    if (error) {
      begin_stall(error.message());
      // Reports what is known to be durable, which may be less than what was written.
      coordinator_->mark_durable(log_->durable());
      coordinator_->deliver_overdue_answers(loop_.now());
      return;
    }
    if (stalled()) {
      counts_.stalled += loop_.now() - stalled_since_;
      log_line_("written again after " + std::to_string((loop_.now() - stalled_since_) / 1000) + " ms");
      stalled_since_ = 0;
    }
    coordinator_->mark_durable(log_->durable());
  }
}

void Journal::begin_stall(const std::string& why) {
  uncommitted_ = true;
  if (!stalled()) {
    stalled_since_ = loop_.now(), counts_.stalls++;
    log_line_("can't be written now: " + why + "; new messages are refused, what depends on a record waits");
  }
  if (retry_timer_ != 0) return;
  retry_timer_ = loop_.after(kRetryInterval, [this] {
    retry_timer_ = 0;
    retry();
  });
}

void Journal::retry() {
  commit();
  waiters_released_();
}

const char* Journal::rejection_reason(const relay::NewMessage& message) const {
  if (ended()) return "the journal accepts no more records";
  if (stalled()) return "the journal can't be written now";
  if (!coordinator_->may_record(message)) return "the journal takes no record so large";
  // Planned segments, because all messages of a turn are written at its end.
  const bool room =
      log_->planned_segments() <= log_settings_.segments_max * 2 / 3 && coordinator_->has_room_for_message();
  return room ? nullptr : "the journal has no room now";
}

void Journal::release(journal::Sequence upto) {
  pending_release_ = std::max(pending_release_, upto);
  if (const auto e = log_->release(pending_release_)) return log_line_("release: " + e.message());
  pending_release_ = 0;
}

void Journal::tidy() {
  if (pending_release_ != 0) release(pending_release_);
  for (int run = 0; run < kTidyRunsWhenFull; run++)
    if (!compact()) break;
  timer_ = loop_.after(kTidyInterval, [this] { tidy(); });
}

// Guards against a log that is filled by what is rewritten before anything is freed.
bool Journal::compact() {
  using SpacePressure = journal::JournalCoordinator::SpacePressure;
  if (stalled()) return false;
  const auto pressure = space_pressure();
  const std::size_t items = pressure == SpacePressure::none ? kTidyItems : kTidyItemsWhenFull;
  const bool more =
      coordinator_->compact(loop_.now(), {.items = items, .bytes = log_settings_.segment_size / 2}, pressure);
  if (uncommitted_) {
    commit();
    waiters_released_();
  }
  return more && pressure == SpacePressure::low;
}

journal::JournalCoordinator::SpacePressure Journal::space_pressure() const {
  using SpacePressure = journal::JournalCoordinator::SpacePressure;
  if (log_->segments() + kCriticalFreeSegments > log_settings_.segments_max) return SpacePressure::critical;
  return log_->segments() > log_settings_.segments_max / 2 ? SpacePressure::low : SpacePressure::none;
}

}  // namespace cedarplank::platform
