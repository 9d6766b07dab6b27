// An append-only log in segment files, which a journal is written to. Records are opaque bytes with a
// sequence number; commit() makes all appended records durable or returns an error.
//
// A record consists of its length, its sequence number, the last sequence number known durable when it was
// written, a checksum (XXH3, seeded with the log's id) of these fields and the bytes, and the bytes. When a
// log is opened it ends where the next record can't be read. That is a torn tail, unless a later record
// proves that the broken one had been durable. Then it is corruption, which is reported and never cut.
//
// Not thread-safe. All I/O goes through store::Files.
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

using Sequence = std::uint64_t;  // record number, from 1

struct LogSettings {
  std::uint64_t segment_size = 16 * 1024 * 1024;  // bytes, allocated when a segment is created
  std::size_t record_size_max = 1024 * 1024;      // bytes of one record
  std::size_t segments_max = 64;  // when all are full, nothing is appended until some are released
  std::size_t spares_max = 4;     // released segments kept for reuse
  bool read_only = false;         // open() changes nothing, and append() fails
  // False: the operating system writes back when it likes, and a crash of the machine may lose records.
  // Nothing is known to be on the disk then, so every failed write may be tried again, also the first ones of
  // an opened log.
  bool sync = true;
};

// Why a log can't be opened, or what was wrong with it.
struct LogProblem {
  enum class Kind {
    io,             // error of the operating system
    corrupt,        // a record that had been durable can't be read
    newer_version,  // written by a later version
    not_a_log       // a file with a segment's name is something else
  } kind = Kind::io;
  std::string text;  // names the segment, and the offset where it is known
};

class Log {
 public:
  struct OpenResult {
    Sequence first = 1, next = 1;       // records first to next - 1 are there
    std::uint64_t torn_bytes = 0;       // bytes of a torn tail that were cleared
    std::optional<LogProblem> problem;  // if set, the log can't be appended to
  };
  // `id` identifies a new log; an existing one keeps its own.
  Log(Files& files, const LogSettings& settings, std::uint64_t id);
  // Reads every record in order. To be called once, first.
  OpenResult open(const std::function<void(Sequence, std::string_view)>& record);

  enum class AppendResult { appended, too_large, no_space, failed };
  // Appends in memory; durable after the next successful commit().
  AppendResult append(std::string_view bytes);
  // Writes and syncs what was appended. After an error that leaves the log usable (no space on the device;
  // without syncing, any error) it may be called again. After a failed sync it is unknown what is on the
  // disk, and the log has failed for good.
  std::error_code commit();

  // Continues after a log that open() found damaged, in a new segment, with this id and from this number. The
  // existing segments stay until release(). `next` must be greater than every number that they may contain.
  void continue_after_damage(std::uint64_t id, Sequence next);

  // Allocates the next segment in advance, so that records that must still be written have space on a full
  // device.
  std::error_code reserve_segment();

  // Records up to this one are no longer needed. Segments with only such records are reused or removed.
  std::error_code release(Sequence upto);

  Sequence first() const { return segments_.empty() ? next_ : segments_.front().first; }
  Sequence next() const { return next_; }
  Sequence durable() const { return durable_; }  // the last durable record; 0: none
  bool failed() const { return failed_; }
  std::size_t segments() const { return segments_.size(); }
  // As segments(), once all that was appended is written.
  std::size_t planned_segments() const { return segments_.size() + planned_new_segments_; }
  // Whether a record of so many bytes has space now, behind all that was appended.
  bool has_room(std::size_t bytes) const;
  std::uint64_t id() const { return id_; }
  std::size_t pending() const { return pending_.size(); }  // bytes appended but not written

  // The on-disk format, for code that reads a log in other ways: see inspect.hpp.
  struct ReadRecord {
    bool found = false;
    Sequence sequence = 0, durable = 0;
    std::string_view bytes;
    std::size_t size = 0;  // bytes including the header
  };
  // The record at this offset, if there is one that belongs to the log with this id.
  static ReadRecord read_at(std::string_view segment, std::size_t at, std::uint64_t id);
  struct SegmentHeader {
    std::uint32_t version = 0;
    std::uint64_t id = 0;
    Sequence first = 1;
  };
  // The segment's header; nothing if it is damaged or missing. For a later version only `version` is
  // reliable.
  static std::optional<SegmentHeader> parse_segment_header(std::string_view segment);
  static std::optional<Sequence> parse_segment_name(
      const std::string& name);  // nothing if it isn't a segment's name
  std::size_t spares() const { return spare_names_.size(); }

  static constexpr std::size_t kRecordHeaderSize = 32,
                               kSegmentHeaderSize = 64;  // bytes of a record's and a segment's header
  static constexpr std::uint32_t kFormatVersion = 1;     // of the format

 private:
  struct Segment {
    std::string name;
    Sequence first = 1;  // number of its first record
  };
  bool proves_corruption(std::string_view segment, std::size_t from, Sequence broken) const;
  // Makes a new segment, from a spare one if there is one, and goes on in it.
  std::error_code begin_segment();
  // Overwrites the torn tail with zeros.
  std::error_code clear_torn_tail();
  static std::error_code write_all(File& file, std::uint64_t at, std::string_view bytes);
  std::string segment_name(Sequence first) const;
  Sequence next_to_write() const { return written_ + 1; }
  // Plans the place of a record of this size, header included, behind all others.
  void plan_record(std::size_t size);
  // Nothing is planned beyond what is written.
  void reset_plan();

  Files& files_;
  const LogSettings settings_;
  std::uint64_t id_;
  std::deque<Segment> segments_;
  std::vector<std::string> spare_names_;  // names of segments that can be reused
  std::uint64_t next_spare_number_ = 0;   // for the name of the next one
  std::unique_ptr<File> file_;            // of the last segment
  std::uint64_t write_offset_ = 0;        // offset of the next record in it
  // Where the next record will be written: in how many segments after the last one, at which offset.
  std::size_t planned_new_segments_ = 0;
  std::uint64_t planned_offset_ = 0;
  // Bytes of an unfinished commit after `write_offset_` that are to be cleared.
  std::size_t torn_tail_size_ = 0;
  std::string pending_;  // records with their headers, not written yet
  std::deque<std::size_t> pending_sizes_;
  Sequence next_ = 1, written_ = 0, durable_ = 0;
  bool failed_ = false, unsynced_ = false;
};

}  // namespace cedarplank::store
