// Read-only access to a log: its contents, and the records of a damaged log that can still be read.
#pragma once

#include "store/log.hpp"

namespace cedarplank::store {

// What a log contains.
struct Inspection {
  std::uint32_t version = 0;  // of the format
  std::uint64_t id = 0;       // of the log
  std::size_t segments = 0, spares = 0;
  std::uint64_t bytes = 0;       // of records with their headers
  Sequence first = 1, next = 1;  // records first to next - 1 are there
  std::uint64_t torn_bytes = 0;  // bytes of a torn tail, which the next start clears
  std::optional<LogProblem> problem;
};
// Reads every record in order, up to the first that can't be read.
Inspection inspect(Files& files, const std::function<void(Sequence, std::string_view)>& record);

// What could be read of a damaged log.
struct SalvageResult {
  std::uint64_t id = 0;  // of the log
  std::uint64_t records = 0;
  // Greater than every record number that the segments may contain, readable or not.
  Sequence sequence_limit = 1;
  std::vector<std::pair<Sequence, Sequence>> lost_ranges;  // first and last number of each unreadable range
  std::optional<LogProblem> problem;                       // set if nothing could be read at all
};
// Reads every record that can still be read, in order, skipping damaged parts. Segments with a damaged header
// are read with the log id of the others. `unreadable`: whether the records of a segment whose file can't be
// read now count as lost, or the call ends with a problem (LogProblem::Kind::io), because reading may succeed
// later.
enum class UnreadableSegments { lost, problem };
SalvageResult salvage(Files& files, const std::function<void(Sequence, std::string_view)>& record,
                      UnreadableSegments unreadable = UnreadableSegments::lost);

}  // namespace cedarplank::store
