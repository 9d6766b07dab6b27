#include "emulator/capacity.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cedarplank::emulator {

CapacityModel::CapacityModel(const CapacitySettings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      busy_until_(static_cast<std::size_t>(std::max(1, settings.servers)), 0) {
  tokens_ = std::max(1.0, settings.limit_per_s * 0.5);
}

double CapacityModel::capacity() const {
  return static_cast<double>(settings_.servers) / (static_cast<double>(settings_.service) * 1e-6);
}

double CapacityModel::available_share(Time now) const {
  if (!outage_ended_at_ || settings_.cold <= 0 || now >= *outage_ended_at_ + settings_.cold) return 1;
  const double part = static_cast<double>(now - *outage_ended_at_) / static_cast<double>(settings_.cold);
  return settings_.cold_from + (1 - settings_.cold_from) * std::max(0.0, part);
}

Time CapacityModel::draw_service(const std::string& message_class) {
  const auto factor = settings_.class_times.find(message_class);
  const double mean = static_cast<double>(settings_.service) * service_factor_ *
                      (factor == settings_.class_times.end() ? 1 : factor->second);
  if (settings_.service_cv <= 0) return static_cast<Time>(mean);
  const double s2 = std::log(1 + settings_.service_cv * settings_.service_cv);
  std::lognormal_distribution<double> d(std::log(mean) - s2 / 2, std::sqrt(s2));
  return static_cast<Time>(d(random_));
}

bool CapacityModel::over_limit(Time now) {
  if (settings_.limit_per_s <= 0) return false;
  if (settings_.limit_span > 0) {
    while (!counted_arrivals_.empty() && counted_arrivals_.front() <= now - settings_.limit_span)
      counted_arrivals_.pop_front();
    const double allowed = settings_.limit_per_s * static_cast<double>(settings_.limit_span) * 1e-6;
    const bool over = static_cast<double>(counted_arrivals_.size()) + 1 > std::max(1.0, allowed);
    if (!over || settings_.refused_count) counted_arrivals_.push_back(now);
    return over;
  }
  const double burst = std::max(1.0, settings_.limit_per_s * 0.5);
  tokens_ = std::min(burst, tokens_ + settings_.limit_per_s * static_cast<double>(now - tokens_at_) * 1e-6);
  tokens_at_ = now;
  const bool over = tokens_ < 1;
  if (!over || settings_.refused_count) tokens_ = std::max(-burst, tokens_ - 1);
  return over;
}

double overload_threshold(double multiple, double mean_capacity, Time window) {
  const double expected = multiple * mean_capacity * static_cast<double>(window) * 1e-6;
  return expected + 3 * std::sqrt(std::max(1.0, expected)) + 2;
}

void CapacityModel::watch_overload(Time now) {
  if (!outage_ended_at_ || available_share(now) >= 1) {
    cold_arrivals_.clear();
    return;
  }
  cold_arrivals_.push_back(now);
  while (cold_arrivals_.front() <= now - settings_.overload_for) cold_arrivals_.pop_front();
  // Mean share of the capacity that was available during the window.
  const double mean =
      (available_share(std::max(*outage_ended_at_, now - settings_.overload_for)) + available_share(now)) / 2;
  const double budget =
      overload_threshold(settings_.fall_multiple, capacity() * mean, settings_.overload_for);
  if (static_cast<double>(cold_arrivals_.size()) <= budget) return;
  overloads_++;
  overloaded_until_ = now + settings_.fallen_for;
  outage_ended_at_ = overloaded_until_;  // cold again from then on
  cold_arrivals_.clear();
}

CapacityModel::Arrival CapacityModel::arrive(Time now, const std::string& message_class) {
  if (overloaded(now)) return {ArrivalResult::overloaded, 0};
  watch_overload(now);
  if (overloaded(now)) return {ArrivalResult::overloaded, 0};
  if (over_limit(now)) return {ArrivalResult::rate_limited, 0};
  while (!queued_starts_.empty() && queued_starts_.front() <= now) queued_starts_.pop_front();
  const auto server = std::min_element(busy_until_.begin(), busy_until_.end());
  const Time start = std::max(now, *server);
  if (start > now && queued_starts_.size() >= static_cast<std::size_t>(settings_.queue))
    return {ArrivalResult::queue_full, 0};
  if (start > now) queued_starts_.push_back(start);
  *server = start + static_cast<Time>(static_cast<double>(draw_service(message_class)) /
                                      std::max(0.05, available_share(start)));
  return {ArrivalResult::accepted, *server};
}

void CapacityModel::outage_begins(Time) { in_outage_ = true; }

void CapacityModel::outage_ends(Time now) {
  if (!in_outage_) return;
  in_outage_ = false;
  outage_ended_at_ = now;
  std::fill(busy_until_.begin(), busy_until_.end(), now);
  queued_starts_.clear(), cold_arrivals_.clear();
}

}  // namespace cedarplank::emulator
