// Final answers that are remembered so that copies of their requests get them too, each for the same time.
// The key is the client's id of the request.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "journal/records.hpp"
#include "loop/loop.hpp"

namespace cedarplank::platform {

using loop::Time;

// The names, as name_of() gives them, appear in the log and in the counters.
enum class RequestState { waiting, accepted, delivered, returned, failed };
const char* name_of(RequestState state);

struct FinalAnswer {
  RequestState how;
  std::uint64_t fingerprint;  // of the request's content
  Time since = 0;
  Time come_back = 0;  // when it may be submitted again; 0: at any time
};

class FinalAnswerTable {
 public:
  // What happens when the table is full.
  enum class WhenFull {
    forget_oldest,
    grow  // nothing is forgotten before its time: the owner stops adding
  };
  // `retention`: for how long an answer is remembered, in us. `most`: answers.
  FinalAnswerTable(Time retention, std::size_t most, WhenFull when_full)
      : retention_(retention), most_(most), when_full_(when_full) {}

  // Adds an answer, unless there is one for this request already: the first one counts. `id_hash`:
  // journal::hash_of_owner() of the client's id. With 64 bits, two different ids are mistaken for one once in
  // 10^15.
  void add(std::uint64_t id_hash, const FinalAnswer& answer);
  void add(const std::string& id, const FinalAnswer& answer) { add(journal::hash_of_owner(id), answer); }
  // The answer for this request; null: none is remembered.
  const FinalAnswer* find(Time now, const std::string& id);
  // Whether there is room for so many more.
  bool has_room(Time now, std::size_t answers);

  std::size_t size() const { return answers_.size(); }
  std::uint64_t forgotten_early() const { return forgotten_early_; }
  // Bytes that are allocated.
  std::size_t memory() const { return answers_.size() * kEntryBytes; }

  // A node of the map with the allocator's header, its share of the buckets, and an entry in the order of
  // age.
  static constexpr std::size_t kEntryBytes = 104;

 private:
  struct RetentionEntry {
    Time at;
    std::uint64_t hash;
  };
  void forget_old(Time now);

  const Time retention_;
  const std::size_t most_;
  const WhenFull when_full_;
  std::unordered_map<std::uint64_t, FinalAnswer> answers_;  // by the hash of the client's id
  std::deque<RetentionEntry> by_age_;                       // the entries of the map above, oldest first
  std::uint64_t forgotten_early_ = 0;
};

}  // namespace cedarplank::platform
