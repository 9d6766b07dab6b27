#include "store/inspect.hpp"

#include <algorithm>

namespace cedarplank::store {
namespace {

std::error_code read_whole(Files& files, const std::string& name, std::string& bytes) {
  std::unique_ptr<File> file;
  std::uint64_t size = 0;
  auto error = files.open(name, Files::OpenMode::existing, file);
  if (!error) error = file->size(size);
  if (!error) error = file->read(0, size, bytes);
  return error;
}

}  // namespace

Inspection inspect(Files& files, const std::function<void(Sequence, std::string_view)>& record) {
  Inspection in;
  LogSettings settings;
  settings.read_only = true;
  Log log(files, settings, 0);
  const auto opened = log.open([&](Sequence s, std::string_view bytes) {
    in.bytes += Log::kRecordHeaderSize + bytes.size();
    record(s, bytes);
  });
  in.version = Log::kFormatVersion, in.id = log.id(), in.segments = log.segments(), in.spares = log.spares();
  in.first = opened.first, in.next = log.next(), in.torn_bytes = opened.torn_bytes,
  in.problem = opened.problem;
  return in;
}

SalvageResult salvage(Files& files, const std::function<void(Sequence, std::string_view)>& record,
                      UnreadableSegments unreadable) {
  SalvageResult out;
  const auto fail = [&](LogProblem::Kind kind, std::string text) {
    out.problem = LogProblem{kind, std::move(text)};
    return out;
  };
  std::vector<std::string> names;
  if (const auto e = files.list(names)) return fail(LogProblem::Kind::io, e.message());
  std::erase_if(names, [](const auto& n) { return !Log::parse_segment_name(n); });
  std::sort(names.begin(), names.end());
  std::string bytes;
  std::optional<std::uint64_t> id;
  std::string newer;
  for (const auto& name : names) {
    if (const auto e = read_whole(files, name, bytes)) {
      if (unreadable == UnreadableSegments::problem)
        return fail(LogProblem::Kind::io, name + ": " + e.message());
      continue;
    }
    out.sequence_limit = std::max<Sequence>(
        out.sequence_limit, *Log::parse_segment_name(name) + bytes.size() / Log::kRecordHeaderSize + 1);
    const auto head = Log::parse_segment_header(bytes);
    if (head && head->version > Log::kFormatVersion && newer.empty()) newer = name;
    if (head && !id) id = head->id;
  }
  if (!newer.empty()) return fail(LogProblem::Kind::newer_version, newer + ": of a later version");
  if (!id) return fail(LogProblem::Kind::not_a_log, "no segment has a readable header");
  out.id = *id;
  Sequence next = 0;
  for (const auto& name : names) {
    if (const auto e = read_whole(files, name, bytes)) {
      if (unreadable == UnreadableSegments::problem)
        return fail(LogProblem::Kind::io, name + ": " + e.message());
      continue;  // its records count as lost
    }
    const std::string_view view(bytes);
    if (next == 0) next = *Log::parse_segment_name(name);
    for (std::size_t at = Log::kSegmentHeaderSize; at + Log::kRecordHeaderSize <= view.size();) {
      const auto r = Log::read_at(view, at, *id);
      // Records left by an earlier use of the segment have lower numbers.
      if (!r.found || r.sequence < next) {
        // Most of an allocated segment is zeros, so skip to the next non-zero byte. A record begins with its
        // 4-byte length, whose first bytes may be zero, so go back by 4.
        const auto zeros = view.find_first_not_of('\0', at + 1);
        at = zeros == std::string_view::npos ? view.size() : std::max(at + 1, zeros < 4 ? 0 : zeros - 4);
        continue;
      }
      if (r.sequence > next) out.lost_ranges.emplace_back(next, r.sequence - 1);
      record(r.sequence, r.bytes);
      out.records++, next = r.sequence + 1, at += r.size;
      out.sequence_limit = std::max(out.sequence_limit, next);
    }
  }
  return out;
}

}  // namespace cedarplank::store
