#include "store/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace cedarplank::store {
namespace {

constexpr char kMagic[] = "cedarplank log\n";  // 16 bytes with its terminating zero
constexpr char kSegmentPrefix[] = "log-", kSparePrefix[] = "spare-", kNewSegmentName[] = "new-segment";

template <class T>
void put(std::string& out, T v) {
  for (std::size_t i = 0; i < sizeof v; i++) out += static_cast<char>(v >> (8 * i) & 0xff);
}
template <class T>
T get(std::string_view bytes, std::size_t at) {
  T v = 0;
  for (std::size_t i = 0; i < sizeof v; i++)
    v = static_cast<T>(v | static_cast<T>(static_cast<unsigned char>(bytes[at + i])) << (8 * i));
  return v;
}

// Checksum of a record. The record header is, in bytes: length 4, reserved 4, sequence 8, durable 8, and 8
// for this checksum, which covers the fields before it and the record's bytes.
std::uint64_t checksum(std::uint64_t id, std::string_view head, std::string_view bytes) {
  const auto first = XXH3_64bits_withSeed(head.data(), head.size(), id);
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), first);
}

std::string make_segment_header(std::uint64_t id, Sequence first) {
  std::string head(kMagic, sizeof kMagic);
  put(head, Log::kFormatVersion), put(head, std::uint32_t{0});
  put(head, id), put(head, first);
  head.resize(Log::kSegmentHeaderSize - 8);
  put(head, static_cast<std::uint64_t>(XXH3_64bits(head.data(), head.size())));
  return head;
}

}  // namespace

Log::Log(Files& files, const LogSettings& settings, std::uint64_t id)
    : files_(files), settings_(settings), id_(id) {}

std::string Log::segment_name(Sequence first) const {
  char name[32];
  snprintf(name, sizeof name, "%s%016llx", kSegmentPrefix, static_cast<unsigned long long>(first));
  return name;
}

std::optional<Sequence> Log::parse_segment_name(const std::string& name) {
  unsigned long long first = 0;
  int used = 0;
  if (name.size() == 20 && name.rfind(kSegmentPrefix, 0) == 0 &&
      sscanf(name.c_str() + 4, "%16llx%n", &first, &used) == 1 && used == 16)
    return first;
  return std::nullopt;
}

std::optional<Log::SegmentHeader> Log::parse_segment_header(std::string_view segment) {
  if (segment.size() < kSegmentHeaderSize || std::memcmp(segment.data(), kMagic, sizeof kMagic) != 0)
    return std::nullopt;
  SegmentHeader head{get<std::uint32_t>(segment, 16), get<std::uint64_t>(segment, 24),
                     get<std::uint64_t>(segment, 32)};
  if (head.version <= kFormatVersion &&
      segment.substr(0, kSegmentHeaderSize) != make_segment_header(head.id, head.first))
    return std::nullopt;
  return head;
}

// Accepts any length within the segment, because the limit on record size may have been different when the
// record was written.
Log::ReadRecord Log::read_at(std::string_view segment, std::size_t at, std::uint64_t id) {
  ReadRecord r;
  if (at + kRecordHeaderSize > segment.size()) return r;
  const auto length = get<std::uint32_t>(segment, at);
  if (length == 0 || at + kRecordHeaderSize + length > segment.size()) return r;
  const auto bytes = segment.substr(at + kRecordHeaderSize, length);
  if (get<std::uint64_t>(segment, at + 24) != checksum(id, segment.substr(at, 24), bytes)) return r;
  r.found = true;
  r.sequence = get<std::uint64_t>(segment, at + 8), r.durable = get<std::uint64_t>(segment, at + 16);
  r.bytes = bytes, r.size = kRecordHeaderSize + length;
  return r;
}

// Whether a later record in the segment says that `broken` had been durable when it was written. If none
// does, the break is from a commit that was never finished, of which any part may be on the disk.
bool Log::proves_corruption(std::string_view segment, std::size_t from, Sequence broken) const {
  for (std::size_t at = from; at + kRecordHeaderSize <= segment.size(); at++) {
    const auto sequence = get<std::uint64_t>(segment, at + 8);
    if (sequence == 0) {  // most of an allocated segment is zeros: skip to the first non-zero byte
      const auto next = segment.find_first_not_of('\0', at + 8);
      if (next == std::string_view::npos) return false;
      at = std::max(at, next - 16);
      continue;
    }
    // Only later numbers can be of interest; others are from an earlier use of the segment or no records.
    if (sequence <= broken || sequence > broken + segment.size()) continue;
    const auto r = read_at(segment, at, id_);
    if (r.found && r.durable >= broken) return true;
  }
  return false;
}

Log::OpenResult Log::open(const std::function<void(Sequence, std::string_view)>& record) {
  OpenResult opened;
  const auto fail = [&](LogProblem::Kind kind, std::string text) {
    failed_ = true;
    opened.problem = LogProblem{kind, std::move(text)};
    return opened;
  };
  std::vector<std::string> names;
  if (const auto e = files_.list(names))
    return fail(LogProblem::Kind::io, "the folder can't be read: " + e.message());
  std::sort(names.begin(), names.end());
  for (const auto& name : names) {
    if (name.rfind(kSparePrefix, 0) == 0) spare_names_.push_back(name);
    if (name == kNewSegmentName && !settings_.read_only)
      files_.remove(name);  // left by an unfinished begin_segment()
    if (const auto first = parse_segment_name(name)) segments_.push_back({name, *first});
  }
  next_spare_number_ = spare_names_.size();
  for (const auto& s : spare_names_) {
    unsigned long long n = 0;
    if (sscanf(s.c_str() + sizeof kSparePrefix - 1, "%llu", &n) == 1)
      next_spare_number_ = std::max<std::uint64_t>(next_spare_number_, n + 1);
  }
  std::string bytes;
  bool known = false;  // id_ and next_ have been read from the first segment
  for (std::size_t i = 0; i < segments_.size(); i++) {
    const auto& segment = segments_[i];
    const auto where = [&](std::size_t at) { return segment.name + " at " + std::to_string(at) + ": "; };
    std::unique_ptr<File> file;
    std::uint64_t size = 0;
    if (const auto e = files_.open(segment.name, Files::OpenMode::existing, file))
      return fail(LogProblem::Kind::io, segment.name + ": " + e.message());
    if (const auto e = file->size(size)) return fail(LogProblem::Kind::io, segment.name + ": " + e.message());
    if (const auto e = file->read(0, size, bytes))
      return fail(LogProblem::Kind::io, segment.name + ": " + e.message());
    const std::string_view view(bytes);
    if (view.size() < kSegmentHeaderSize || std::memcmp(view.data(), kMagic, sizeof kMagic) != 0)
      return fail(LogProblem::Kind::not_a_log, where(0) + "not a log segment");
    if (get<std::uint32_t>(view, 16) > kFormatVersion)
      return fail(LogProblem::Kind::newer_version,
                  where(16) + "of version " + std::to_string(get<std::uint32_t>(view, 16)) +
                      ", this program knows " + std::to_string(kFormatVersion));
    const auto id = get<std::uint64_t>(view, 24);
    if (view.substr(0, kSegmentHeaderSize) != make_segment_header(id, segment.first) || (known && id != id_))
      return fail(LogProblem::Kind::corrupt, where(0) + "its header is damaged or belongs to another log");
    id_ = id;
    if (!known) opened.first = next_ = segment.first;
    known = true;
    if (segment.first != next_)
      return fail(LogProblem::Kind::corrupt,
                  segment.name + ": record " + std::to_string(next_) + " is missing before it");
    std::size_t at = kSegmentHeaderSize;
    for (;;) {
      const auto r = read_at(view, at, id_);
      if (!r.found || r.sequence != next_) break;
      record(next_++, r.bytes);
      at += r.size;
    }
    const bool last = i + 1 == segments_.size();
    // A segment is begun only once all records before it are durable, so a gap before it is corruption.
    if (!last && segments_[i + 1].first != next_)
      return fail(LogProblem::Kind::corrupt,
                  where(at) + "record " + std::to_string(next_) + " can't be read");
    if (!last) continue;
    if (proves_corruption(view, at, next_))
      return fail(LogProblem::Kind::corrupt,
                  where(at) + "record " + std::to_string(next_) + " can't be read, and had been durable");
    // The remains of an unfinished commit are overwritten with zeros, so that they can't be read as records
    // later.
    const auto torn = view.substr(at).find_last_not_of('\0');
    file_ = std::move(file), write_offset_ = at;
    if (torn != std::string_view::npos) {
      opened.torn_bytes = torn + 1;
      if (settings_.read_only) break;
      torn_tail_size_ = torn + 1;
      if (const auto e = clear_torn_tail(); e && settings_.sync)
        return fail(LogProblem::Kind::io, where(at) + "cannot clear the torn tail: " + e.message());
    }
    if (settings_.read_only) break;
    // Needed even without a torn tail: the records read may never have been synced.
    if (settings_.sync)
      if (const auto e = file_->sync()) return fail(LogProblem::Kind::io, segment.name + ": " + e.message());
  }
  opened.next = next_;
  durable_ = written_ = next_ - 1;
  if (settings_.read_only) return failed_ = true, opened;
  if (segments_.empty()) write_offset_ = settings_.segment_size;  // as if a segment were full
  reset_plan();
  if (segments_.empty()) {
    // If that fails, commit() begins the first segment.
    if (const auto e = begin_segment(); e && settings_.sync)
      return fail(LogProblem::Kind::io, "cannot create a segment: " + e.message());
  }
  return opened;
}

void Log::continue_after_damage(std::uint64_t id, Sequence next) {
  id_ = id, next_ = next;
  written_ = durable_ = next - 1;
  file_.reset(), write_offset_ = settings_.segment_size, torn_tail_size_ = 0;
  reset_plan();
  failed_ = unsynced_ = false;
  pending_.clear(), pending_sizes_.clear();
}

std::error_code Log::clear_torn_tail() {
  if (const auto e = write_all(*file_, write_offset_, std::string(torn_tail_size_, '\0'))) return e;
  torn_tail_size_ = 0;
  return {};
}

std::error_code Log::write_all(File& file, std::uint64_t at, std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t written = 0;
    const auto error = file.write(at, bytes, written);
    if (error) return error;
    if (written == 0) return std::make_error_code(std::errc::io_error);
    at += written, bytes.remove_prefix(written);
  }
  return {};
}

// The file is renamed only once its header is written, so that every file with a segment's name is complete.
std::error_code Log::begin_segment() {
  std::unique_ptr<File> file;
  files_.remove(kNewSegmentName);
  std::error_code error;
  if (!spare_names_.empty()) {
    error = files_.rename(spare_names_.back(), kNewSegmentName);
    if (error) return error;
    spare_names_.pop_back();
    error = files_.open(kNewSegmentName, Files::OpenMode::existing, file);
  } else {
    error = files_.open(kNewSegmentName, Files::OpenMode::create, file);
    if (!error) error = file->allocate(settings_.segment_size);
  }
  const auto head = make_segment_header(id_, next_to_write());
  if (!error) error = write_all(*file, 0, head);
  if (!error && settings_.sync) error = file->sync();
  const auto name = segment_name(next_to_write());
  if (!error) error = files_.rename(kNewSegmentName, name);
  if (!error && settings_.sync) error = files_.sync_folder();
  if (error) return error;
  file_ = std::move(file), write_offset_ = kSegmentHeaderSize;
  segments_.push_back({name, next_to_write()});
  if (planned_new_segments_ > 0)
    planned_new_segments_--;
  else
    reset_plan();
  return {};
}

std::error_code Log::reserve_segment() {
  if (!spare_names_.empty() || segments_.size() >= settings_.segments_max) return {};
  const auto name = kSparePrefix + std::to_string(next_spare_number_++);
  std::unique_ptr<File> file;
  auto error = files_.open(name, Files::OpenMode::create, file);
  if (!error) error = file->allocate(settings_.segment_size);
  if (error) {
    files_.remove(name);
    return error;
  }
  spare_names_.push_back(name);
  return {};
}

Log::AppendResult Log::append(std::string_view bytes) {
  if (failed_) return AppendResult::failed;
  if (bytes.empty() || bytes.size() > settings_.record_size_max ||
      bytes.size() + kRecordHeaderSize + kSegmentHeaderSize > settings_.segment_size)
    return AppendResult::too_large;
  // Pending records count too, so that a commit never lacks a segment.
  if (!has_room(bytes.size())) return AppendResult::no_space;
  std::string head;
  put(head, static_cast<std::uint32_t>(bytes.size())), put(head, std::uint32_t{0});
  put(head, next_), put(head, durable_);
  put(head, checksum(id_, head, bytes));
  pending_ += head, pending_ += bytes;
  pending_sizes_.push_back(head.size() + bytes.size());
  plan_record(head.size() + bytes.size());
  next_++;
  return AppendResult::appended;
}

bool Log::has_room(std::size_t bytes) const {
  const bool fits = planned_offset_ + kRecordHeaderSize + bytes <= settings_.segment_size;
  return fits || planned_segments() < settings_.segments_max;
}

void Log::plan_record(std::size_t size) {
  if (planned_offset_ + size > settings_.segment_size) {
    planned_new_segments_++;
    planned_offset_ = kSegmentHeaderSize;
  }
  planned_offset_ += size;
}

void Log::reset_plan() {
  planned_new_segments_ = 0;
  planned_offset_ = write_offset_;
}

std::error_code Log::commit() {
  if (failed_) return std::make_error_code(std::errc::io_error);
  if (torn_tail_size_ > 0)
    if (const auto e = clear_torn_tail()) return e;
  while (!pending_sizes_.empty()) {
    // Writes as many records as fit into the segment at once.
    std::size_t size = 0, n = 0;
    while (n < pending_sizes_.size() && write_offset_ + size + pending_sizes_[n] <= settings_.segment_size)
      size += pending_sizes_[n++];
    if (n == 0) {
      if (segments_.size() >= settings_.segments_max)
        return std::make_error_code(std::errc::no_space_on_device);
      // The segment before is synced first, so that a gap before a segment can only be corruption.
      if (unsynced_) {
        if (settings_.sync)
          if (const auto e = file_->sync()) return failed_ = true, e;
        unsynced_ = false, durable_ = written_;
      }
      if (const auto e = begin_segment()) return e;
      continue;
    }
    if (const auto e = write_all(*file_, write_offset_, std::string_view(pending_).substr(0, size))) {
      // Space on the device may become free again, and the same bytes are then written to the same place.
      // After any other error a log that promises durability can't be trusted any more.
      if (settings_.sync && e != std::errc::no_space_on_device) failed_ = true;
      return e;
    }
    write_offset_ += size, written_ += n, unsynced_ = true;
    pending_.erase(0, size);
    pending_sizes_.erase(pending_sizes_.begin(), pending_sizes_.begin() + static_cast<std::ptrdiff_t>(n));
  }
  if (!unsynced_) return {};
  if (settings_.sync)
    if (const auto e = file_->sync()) return failed_ = true, e;
  unsynced_ = false, durable_ = written_;
  return {};
}

std::error_code Log::release(Sequence upto) {
  bool any = false;
  // The last segment stays because it is being written.
  while (segments_.size() > 1 && segments_[1].first <= upto + 1) {
    const auto& name = segments_.front().name;
    std::error_code error;
    if (spare_names_.size() < settings_.spares_max) {
      const auto spare = kSparePrefix + std::to_string(next_spare_number_++);
      error = files_.rename(name, spare);
      if (!error) spare_names_.push_back(spare);
    } else {
      error = files_.remove(name);
    }
    if (error) return error;
    segments_.pop_front(), any = true;
  }
  // Renames must be durable before a segment is reused: otherwise a crash could leave the old name on new
  // bytes.
  return any && settings_.sync ? files_.sync_folder() : std::error_code();
}

}  // namespace cedarplank::store
