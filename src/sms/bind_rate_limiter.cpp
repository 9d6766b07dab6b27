#include "sms/bind_rate_limiter.hpp"

#include <algorithm>

namespace cedarplank::sms {
namespace {

std::string pair_key(const std::string& system_id, const std::string& from) { return system_id + ' ' + from; }

}  // namespace

const BindRateLimiter::Entry* BindRateLimiter::find(const std::string& key) const {
  const auto it = entries_by_key_.find(key);
  return it == entries_by_key_.end() ? nullptr : &*it->second;
}

BindRateLimiter::Entry& BindRateLimiter::touch(const std::string& key) {
  const auto it = entries_by_key_.find(key);
  if (it != entries_by_key_.end()) {
    entries_by_use_.splice(entries_by_use_.begin(), entries_by_use_, it->second);
    return entries_by_use_.front();
  }
  if (entries_by_key_.size() >= settings_.max_entries)
    entries_by_key_.erase(entries_by_use_.back().key), entries_by_use_.pop_back();
  entries_by_use_.push_front({key, 0, 0, 0, 0});
  entries_by_key_[key] = entries_by_use_.begin();
  return entries_by_use_.front();
}

bool BindRateLimiter::may_attempt(Time now, const std::string& system_id, const std::string& from) {
  for (const auto& key : {pair_key(system_id, from), from})
    if (const auto* e = find(key); e != nullptr && now < e->blocked_until) return false;
  return true;
}

void BindRateLimiter::count_failure(Time now, const std::string& key, int tries) {
  Entry& e = touch(key);
  // No failure for the longest delay: earlier failures no longer count.
  if (now - e.last_failure_at > settings_.max_delay) e.failures = e.delays = 0;
  e.last_failure_at = now;
  if (++e.failures < tries) return;
  e.failures = 0;
  e.blocked_until = now + std::min(settings_.max_delay, settings_.initial_delay << std::min(e.delays, 20));
  e.delays++;
}

void BindRateLimiter::record_failure(Time now, const std::string& system_id, const std::string& from) {
  count_failure(now, pair_key(system_id, from), settings_.max_failures);
  count_failure(now, from, settings_.max_failures * 8);
}

void BindRateLimiter::record_success(const std::string& system_id, const std::string& from) {
  const auto it = entries_by_key_.find(pair_key(system_id, from));
  if (it == entries_by_key_.end()) return;
  entries_by_use_.erase(it->second);
  entries_by_key_.erase(it);
}

}  // namespace cedarplank::sms
