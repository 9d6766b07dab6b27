// The clients' ids of messages that had their end, for a while. An id is "fresh on every handing-in"
// (PROTOCOL, clients to relays), yet it may come again: from a client that uses another's, or repeated on the
// way. Taken on as a new message, it would be sent after its end (rule 1) and could take effect twice (rule
// 2).
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

#include "loop/loop.hpp"

namespace cedarplank::platform {

class EndedIds {
 public:
  void add(loop::Time now, const std::string& id);
  bool has(loop::Time now, const std::string& id);

  static constexpr loop::Time kKept = 30'000'000;  // us; longer than any message has (DAYS: 12 s)
  static constexpr std::size_t kMost = 8'192;      // beyond them the oldest goes

 private:
  struct Ended {
    loop::Time at = 0;
    std::uint64_t hash = 0;
  };
  void forget_old(loop::Time now);

  std::deque<Ended> in_order_;
  std::unordered_set<std::uint64_t> hashes_;  // of 64 bits: two ids are taken for one once in 10^15
};

}  // namespace cedarplank::platform
