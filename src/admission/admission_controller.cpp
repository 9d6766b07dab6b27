#include "admission/admission_controller.hpp"

#include <algorithm>

namespace cedarplank::admission {

const char* text_of(Decision decision) {
  switch (decision) {
    case Decision::accept:
      return "taken";
    case Decision::full:
      return "the relay holds all it may; not taken";
    case Decision::no_memory:
      return "the bodies held leave no room for this one; not taken";
    case Decision::over_share:
      return "the relay is nearly full and this tenant holds its share; not taken";
    case Decision::overloaded:
      return "the relay is late with its work and this tenant holds its share; not taken";
  }
  return "";
}

double AdmissionController::weight(int tenant) const {
  const auto i = static_cast<std::size_t>(tenant);
  return tenant >= 0 && i < settings_.weights.size() && settings_.weights[i] > 0 ? settings_.weights[i]
                                                                                 : default_weight_;
}

std::size_t AdmissionController::held_by(int tenant) const {
  const auto it = usage_.find(tenant);
  return it == usage_.end() ? 0 : it->second.messages;
}

double AdmissionController::fair_share(int tenant) const {
  const double own = weight(tenant), total = weight_sum_ + (usage_.count(tenant) > 0 ? 0 : own);
  return static_cast<double>(settings_.held_max) * own / total;
}

Decision AdmissionController::decide(int tenant, std::int64_t bytes) const {
  if (held_ >= settings_.held_max) return Decision::full;
  if (bytes_ + bytes > settings_.bytes_max) return Decision::no_memory;
  const auto it = usage_.find(tenant);
  const TenantUsage own = it == usage_.end() ? TenantUsage{} : it->second;
  const double fraction = fair_share(tenant) / static_cast<double>(settings_.held_max);
  const bool short_of_buffer =
      static_cast<double>(held_) >= settings_.fair_share_from * static_cast<double>(settings_.held_max);
  const bool short_of_bytes =
      static_cast<double>(bytes_) >= settings_.fair_share_from * static_cast<double>(settings_.bytes_max);
  if (short_of_buffer && static_cast<double>(own.messages) + 1 > fair_share(tenant))
    return Decision::over_share;
  if (short_of_bytes &&
      static_cast<double>(own.bytes + bytes) > fraction * static_cast<double>(settings_.bytes_max))
    return Decision::over_share;
  // Under overload the messages held are the work. A tenant that holds its share of them or more is rejected,
  // so that one tenant's flood does not delay the others; a tenant that holds less is still accepted.
  if (overloaded_ &&
      static_cast<double>(own.messages) >= std::max(1.0, fraction * static_cast<double>(held_)))
    return Decision::overloaded;
  return Decision::accept;
}

void AdmissionController::accepted(int tenant, std::int64_t bytes) {
  TenantUsage& h = usage_[tenant];
  if (h.messages == 0) weight_sum_ += weight(tenant);
  h.messages++, h.bytes += bytes;
  held_++, bytes_ += bytes;
}

void AdmissionController::released(int tenant, std::int64_t bytes) {
  const auto it = usage_.find(tenant);
  if (it == usage_.end()) return;
  held_--, bytes_ -= bytes;
  it->second.bytes -= bytes;
  if (--it->second.messages > 0) return;
  weight_sum_ = usage_.size() == 1 ? 0 : weight_sum_ - weight(tenant);
  usage_.erase(it);
}

void AdmissionController::report_lag(Time now, Time lag) {
  if (interval_start_ < 0) interval_start_ = now, min_lag_ = lag;
  min_lag_ = std::min(min_lag_, lag);
  if (now < interval_start_ + settings_.lag_interval) return;
  overloaded_ = min_lag_ > settings_.lag_target;
  // Decreased by half and raised in small steps, like TCP's congestion window, so that clients share the
  // capacity.
  if (overloaded_)
    stream_limit_ = std::max(settings_.streams_min, stream_limit_ / 2);
  else
    stream_limit_ = std::min(settings_.streams_max, stream_limit_ + std::max(1, settings_.streams_max / 20));
  interval_start_ = now, min_lag_ = lag;
}

void AdmissionController::update_settings(const Settings& settings) {
  settings_ = settings;
  // Weights are quotas in an arbitrary unit: a tenant without one must not count as next to nothing beside
  // them.
  double sum = 0, n = 0;
  for (const double w : settings.weights)
    if (w > 0) sum += w, n++;
  default_weight_ = n > 0 ? sum / n : 1;
  stream_limit_ =
      std::clamp(stream_limit_, std::min(settings.streams_min, settings.streams_max), settings.streams_max);
  weight_sum_ = 0;
  for (const auto& [tenant, h] : usage_) weight_sum_ += weight(tenant);
}

}  // namespace cedarplank::admission
