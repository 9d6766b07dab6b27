// An append-only log in segments: what a journal is written to. Records are opaque bytes with a sequence
// number; commit() makes all that was appended durable, or says that it could not.
//
// A record is its length, its sequence, the last sequence known durable when it was written, and a checksum
// (XXH3, seeded by the log's id) of all that and its bytes. At opening the log ends where the next record
// can't be read: a torn tail, unless something behind it proves that the broken place had been durable. Then
// it is corruption, which is told and never cut.
//
// One thread at a time. Not free of I/O, but all of it goes through store::Files.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/files.hpp"

namespace cedarplank::store {

using Sequence = std::uint64_t;  // from 1

struct LogSettings {
  std::uint64_t segment = 16 * 1024 * 1024;  // bytes; allocated at once
  std::size_t record_max = 1024 * 1024;      // of a record's bytes
  std::size_t segments_max = 64;  // of the log; beyond them nothing is appended until some are released
  std::size_t spare_max = 4;      // released segments kept for reuse
  bool read_only = false;         // open() changes nothing, and nothing can be appended
  // False: the system writes when it likes, and a crash of the machine loses. Nothing is claimed of the disk
  // then, so every failed write may be tried again, also the first ones of an opened log.
  bool sync = true;
};

// Why a log can't be opened, or what was wrong with it.
struct LogProblem {
  enum class What {
    io,        // the system said so
    corrupt,   // a place that had been durable can't be read
    newer,     // written by a later version
    not_a_log  // the folder holds something else under a segment's name
  } what = What::io;
  std::string text;  // names segment and place
};

class Log {
 public:
  struct Opened {
    Sequence first = 1, next = 1;       // records first to next - 1 are there
    std::uint64_t torn = 0;             // bytes of a torn tail that were cut
    std::optional<LogProblem> problem;  // the log can't be appended to
  };
  // Reads every record in order. `id` names a new log; an existing one keeps its own.
  Log(Files& files, const LogSettings& settings, std::uint64_t id);
  Opened open(const std::function<void(Sequence, std::string_view)>& record);

  enum class Appended { yes, too_large, no_room, failed };
  // Into memory; durable after the next commit() that says so.
  Appended append(std::string_view bytes);
  // Writes and syncs what was appended. An error that leaves the log usable (no room on the device; without
  // syncs, any) may be tried again; after a failed sync it is not known what is on the disk, and the log is
  // failed for good.
  std::error_code commit();

  // Goes on behind a log that open() found damaged: with this id, from this number on, in a new segment. The
  // segments that are there stay until release(). `next` is above every number that may stand in them.
  void go_on_behind(std::uint64_t id, Sequence next);

  // Has the next segment ready, so that what must still be written finds room when the device has none left.
  std::error_code reserve();

  // Records up to this one are no longer needed; whole segments of them are reused or removed.
  std::error_code release(Sequence upto);

  Sequence first() const { return segments_.empty() ? next_ : segments_.front().first; }
  Sequence next() const { return next_; }
  Sequence durable() const { return durable_; }  // the last one; 0: none
  bool failed() const { return failed_; }
  std::size_t segments() const { return segments_.size(); }
  std::uint64_t id() const { return id_; }
  std::size_t pending() const { return pending_.size(); }  // bytes appended and not written

  // The format, for those that read a log otherwise: see inspect.hpp.
  struct Read {
    bool found = false;
    Sequence sequence = 0, durable = 0;
    std::string_view bytes;
    std::size_t size = 0;  // with its head
  };
  // The record there, if there is one of the log with this id.
  static Read read_at(std::string_view segment, std::size_t at, std::uint64_t id);
  struct SegmentHead {
    std::uint32_t version = 0;
    std::uint64_t id = 0;
    Sequence first = 1;
  };
  // Nothing where it is damaged or none. Of a later version nothing but that is known.
  static std::optional<SegmentHead> head_of(std::string_view segment);
  static std::optional<Sequence> first_of(const std::string& name);  // nothing: no segment's name
  std::size_t spares() const { return spare_.size(); }

  static constexpr std::size_t kHead = 32, kSegmentHead = 64;
  static constexpr std::uint32_t kVersion = 1;

 private:
  struct Segment {
    std::string name;
    Sequence first = 1;
  };
  bool proves_loss(std::string_view segment, std::size_t from, Sequence broken) const;
  std::error_code begin_segment();
  std::error_code cut_tail();
  static std::error_code write_all(File& file, std::uint64_t at, std::string_view bytes);
  std::string name_of(Sequence first) const;
  Sequence next_written() const { return written_ + 1; }

  Files& files_;
  const LogSettings settings_;
  std::uint64_t id_;
  std::deque<Segment> segments_;
  std::vector<std::string> spare_;
  std::uint64_t spare_number_ = 0;
  std::unique_ptr<File> file_;  // of the last segment
  std::uint64_t at_ = 0;        // where the next record goes in it
  std::size_t tail_ = 0;        // bytes from there on that no commit finished and that are to be cleared
  std::string pending_;         // records, whole
  std::deque<std::size_t> pending_sizes_;
  Sequence next_ = 1, written_ = 0, durable_ = 0;
  bool failed_ = false, unsynced_ = false;
};

}  // namespace cedarplank::store
