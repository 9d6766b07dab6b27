#include "store/inspect.hpp"

#include <algorithm>

namespace cedarplank::store {
namespace {

std::error_code read_whole(Files& files, const std::string& name, std::string& bytes) {
  std::unique_ptr<File> file;
  std::uint64_t size = 0;
  auto error = files.open(name, Files::Open::existing, file);
  if (!error) error = file->size(size);
  if (!error) error = file->read(0, size, bytes);
  return error;
}

}  // namespace

Inspected inspect(Files& files, const std::function<void(Sequence, std::string_view)>& record) {
  Inspected in;
  LogSettings settings;
  settings.read_only = true;
  Log log(files, settings, 0);
  const auto opened = log.open([&](Sequence s, std::string_view bytes) {
    in.bytes += Log::kHead + bytes.size();
    record(s, bytes);
  });
  in.version = Log::kVersion, in.id = log.id(), in.segments = log.segments(), in.spare = log.spares();
  in.first = opened.first, in.next = log.next(), in.torn = opened.torn, in.problem = opened.problem;
  return in;
}

Salvaged salvage(Files& files, const std::function<void(Sequence, std::string_view)>& record,
                 Unreadable unreadable) {
  Salvaged out;
  const auto fail = [&](LogProblem::What kind, std::string text) {
    out.problem = LogProblem{kind, std::move(text)};
    return out;
  };
  std::vector<std::string> names;
  if (const auto e = files.list(names)) return fail(LogProblem::What::io, e.message());
  std::erase_if(names, [](const auto& n) { return !Log::first_of(n); });
  std::sort(names.begin(), names.end());
  std::string bytes;
  std::optional<std::uint64_t> id;
  std::string newer;
  for (const auto& name : names) {
    if (const auto e = read_whole(files, name, bytes)) {
      if (unreadable == Unreadable::problem) return fail(LogProblem::What::io, name + ": " + e.message());
      continue;
    }
    out.above = std::max<Sequence>(out.above, *Log::first_of(name) + bytes.size() / Log::kHead + 1);
    const auto head = Log::head_of(bytes);
    if (head && head->version > Log::kVersion && newer.empty()) newer = name;
    if (head && !id) id = head->id;
  }
  if (!newer.empty()) return fail(LogProblem::What::newer, newer + ": of a later version");
  if (!id) return fail(LogProblem::What::not_a_log, "no segment has a readable header");
  out.id = *id;
  Sequence next = 0;
  for (const auto& name : names) {
    if (const auto e = read_whole(files, name, bytes)) {
      if (unreadable == Unreadable::problem) return fail(LogProblem::What::io, name + ": " + e.message());
      continue;  // its records count as lost
    }
    const std::string_view view(bytes);
    if (next == 0) next = *Log::first_of(name);
    for (std::size_t at = Log::kSegmentHead; at + Log::kHead <= view.size();) {
      const auto r = Log::read_at(view, at, *id);
      // Records left by an earlier use of the segment have lower numbers.
      if (!r.found || r.sequence < next) {
        // Most of an allocated segment is zeros, so skip to the next non-zero byte. A record begins with its
        // 4-byte length, whose first bytes may be zero, so go back by 4.
        const auto zeros = view.find_first_not_of('\0', at + 1);
        at = zeros == std::string_view::npos ? view.size() : std::max(at + 1, zeros < 4 ? 0 : zeros - 4);
        continue;
      }
      if (r.sequence > next) out.lost.emplace_back(next, r.sequence - 1);
      record(r.sequence, r.bytes);
      out.records++, next = r.sequence + 1, at += r.size;
      out.above = std::max(out.above, next);
    }
  }
  return out;
}

}  // namespace cedarplank::store
