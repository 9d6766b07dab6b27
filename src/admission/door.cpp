#include "admission/door.hpp"

#include <algorithm>

namespace cedarplank::admission {

const char* text_of(Answer decision) {
  switch (decision) {
    case Answer::take:
      return "taken";
    case Answer::full:
      return "the relay holds all it may; not taken";
    case Answer::no_memory:
      return "the bodies held leave no room for this one; not taken";
    case Answer::over_share:
      return "the relay is nearly full and this tenant holds its share; not taken";
    case Answer::overloaded:
      return "the relay is late with its work and this tenant holds its share; not taken";
  }
  return "";
}

double Door::weight(int tenant) const {
  const auto i = static_cast<std::size_t>(tenant);
  return tenant >= 0 && i < settings_.weights.size() && settings_.weights[i] > 0 ? settings_.weights[i]
                                                                                 : usual_weight_;
}

std::size_t Door::held_by(int tenant) const {
  const auto it = holdings_.find(tenant);
  return it == holdings_.end() ? 0 : it->second.messages;
}

double Door::fair_share(int tenant) const {
  const double own = weight(tenant), total = weights_ + (holdings_.count(tenant) > 0 ? 0 : own);
  return static_cast<double>(settings_.held_max) * own / total;
}

Answer Door::ask(int tenant, std::int64_t bytes) const {
  if (held_ >= settings_.held_max) return Answer::full;
  if (bytes_ + bytes > settings_.bytes_max) return Answer::no_memory;
  const auto it = holdings_.find(tenant);
  const Holding own = it == holdings_.end() ? Holding{} : it->second;
  const double fraction = fair_share(tenant) / static_cast<double>(settings_.held_max);
  const bool short_of_buffer =
      static_cast<double>(held_) >= settings_.share_from * static_cast<double>(settings_.held_max);
  const bool short_of_bytes =
      static_cast<double>(bytes_) >= settings_.share_from * static_cast<double>(settings_.bytes_max);
  if (short_of_buffer && static_cast<double>(own.messages) + 1 > fair_share(tenant))
    return Answer::over_share;
  if (short_of_bytes &&
      static_cast<double>(own.bytes + bytes) > fraction * static_cast<double>(settings_.bytes_max))
    return Answer::over_share;
  // Under overload the messages held are the work. A tenant that holds its share of them or more is rejected,
  // so that one tenant's flood does not delay the others; a tenant that holds less is still accepted.
  if (overloaded_ &&
      static_cast<double>(own.messages) >= std::max(1.0, fraction * static_cast<double>(held_)))
    return Answer::overloaded;
  return Answer::take;
}

void Door::taken(int tenant, std::int64_t bytes) {
  Holding& h = holdings_[tenant];
  if (h.messages == 0) weights_ += weight(tenant);
  h.messages++, h.bytes += bytes;
  held_++, bytes_ += bytes;
}

void Door::over(int tenant, std::int64_t bytes) {
  const auto it = holdings_.find(tenant);
  if (it == holdings_.end()) return;
  held_--, bytes_ -= bytes;
  it->second.bytes -= bytes;
  if (--it->second.messages > 0) return;
  weights_ = holdings_.size() == 1 ? 0 : weights_ - weight(tenant);
  holdings_.erase(it);
}

void Door::late(Time now, Time lag) {
  if (interval_from_ < 0) interval_from_ = now, least_lag_ = lag;
  least_lag_ = std::min(least_lag_, lag);
  if (now < interval_from_ + settings_.lag_interval) return;
  overloaded_ = least_lag_ > settings_.lag_target;
  // Decreased by half and raised in small steps, like TCP's congestion window, so that clients share the
  // capacity.
  if (overloaded_)
    streams_ = std::max(settings_.streams_min, streams_ / 2);
  else
    streams_ = std::min(settings_.streams_max, streams_ + std::max(1, settings_.streams_max / 20));
  interval_from_ = now, least_lag_ = lag;
}

void Door::set(const Settings& settings) {
  settings_ = settings;
  // Weights are quotas in an arbitrary unit: a tenant without one must not count as next to nothing beside
  // them.
  double sum = 0, n = 0;
  for (const double w : settings.weights)
    if (w > 0) sum += w, n++;
  usual_weight_ = n > 0 ? sum / n : 1;
  streams_ = std::clamp(streams_, std::min(settings.streams_min, settings.streams_max), settings.streams_max);
  weights_ = 0;
  for (const auto& [tenant, h] : holdings_) weights_ += weight(tenant);
}

}  // namespace cedarplank::admission
