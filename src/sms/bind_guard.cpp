#include "sms/bind_guard.hpp"

#include <algorithm>

namespace cedarplank::sms {
namespace {

std::string pair_key(const std::string& system_id, const std::string& from) { return system_id + ' ' + from; }

}  // namespace

const BindGuard::Entry* BindGuard::find(const std::string& key) const {
  const auto it = known_.find(key);
  return it == known_.end() ? nullptr : &*it->second;
}

BindGuard::Entry& BindGuard::touch(const std::string& key) {
  const auto it = known_.find(key);
  if (it != known_.end()) {
    order_.splice(order_.begin(), order_, it->second);
    return order_.front();
  }
  if (known_.size() >= settings_.remembered) known_.erase(order_.back().key), order_.pop_back();
  order_.push_front({key, 0, 0, 0, 0});
  known_[key] = order_.begin();
  return order_.front();
}

bool BindGuard::may_try(Time now, const std::string& system_id, const std::string& from) {
  for (const auto& key : {pair_key(system_id, from), from})
    if (const auto* e = find(key); e != nullptr && now < e->until) return false;
  return true;
}

void BindGuard::count(Time now, const std::string& key, int tries) {
  Entry& e = touch(key);
  // No failure for the longest delay: earlier failures no longer count.
  if (now - e.last > settings_.rest_max) e.wrong = e.rests = 0;
  e.last = now;
  if (++e.wrong < tries) return;
  e.wrong = 0;
  e.until = now + std::min(settings_.rest_max, settings_.rest << std::min(e.rests, 20));
  e.rests++;
}

void BindGuard::wrong(Time now, const std::string& system_id, const std::string& from) {
  count(now, pair_key(system_id, from), settings_.tries);
  count(now, from, settings_.tries * 8);
}

void BindGuard::right(const std::string& system_id, const std::string& from) {
  const auto it = known_.find(pair_key(system_id, from));
  if (it == known_.end()) return;
  order_.erase(it->second);
  known_.erase(it);
}

}  // namespace cedarplank::sms
