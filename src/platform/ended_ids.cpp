#include "platform/ended_ids.hpp"

#include <xxhash.h>

namespace cedarplank::platform {
namespace {

std::uint64_t hash_of(const std::string& id) { return XXH3_64bits(id.data(), id.size()); }

}  // namespace

void EndedIds::forget_old(loop::Time now) {
  while (!in_order_.empty() && (in_order_.size() > kMost || now - in_order_.front().at > kKept)) {
    hashes_.erase(in_order_.front().hash);
    in_order_.pop_front();
  }
}

void EndedIds::add(loop::Time now, const std::string& id) {
  const auto hash = hash_of(id);
  if (!hashes_.insert(hash).second) return;
  in_order_.push_back({now, hash});
  forget_old(now);
}

bool EndedIds::has(loop::Time now, const std::string& id) {
  forget_old(now);
  return hashes_.count(hash_of(id)) > 0;
}

}  // namespace cedarplank::platform
