// Reading a log without changing it: what is in it, and what of a damaged one can still be read.
#pragma once

#include "store/log.hpp"

namespace cedarplank::store {

struct Inspected {
  std::uint32_t version = 0;  // of the format
  std::uint64_t id = 0;
  std::size_t segments = 0, spare = 0;
  std::uint64_t bytes = 0;  // of records with their heads
  Sequence first = 1, next = 1;
  std::uint64_t torn = 0;  // bytes of a torn tail, which the next start cuts
  std::optional<LogProblem> problem;
};
Inspected inspect(Files& files, const std::function<void(Sequence, std::string_view)>& record);

struct Salvaged {
  std::uint64_t id = 0;  // of the log
  std::uint64_t records = 0;
  Sequence above = 1;  // every number that may stand in the segments, read or not, is below it
  std::vector<std::pair<Sequence, Sequence>> lost;  // numbers that can't be read, from and to
  std::optional<LogProblem> problem;                // nothing could be read at all
};
// Every record that can still be read, in order, past whatever damage. Segments whose head is damaged are
// read by the id of the others. `unreadable`: whether the records of a segment that the system can't read now
// are lost, or that is a problem (LogProblem::What::io), since it may be able to later.
enum class Unreadable { lost, problem };
Salvaged salvage(Files& files, const std::function<void(Sequence, std::string_view)>& record,
                 Unreadable unreadable = Unreadable::lost);

}  // namespace cedarplank::store
