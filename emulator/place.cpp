#include "emulator/place.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cedarplank::emulator {

Place::Place(const PlaceSettings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      busy_until_(static_cast<std::size_t>(std::max(1, settings.servers)), 0) {
  tokens_ = std::max(1.0, settings.limit_per_s * 0.5);
}

double Place::capacity() const {
  return static_cast<double>(settings_.servers) / (static_cast<double>(settings_.service) * 1e-6);
}

double Place::warmth(Time now) const {
  if (!back_at_ || settings_.cold <= 0 || now >= *back_at_ + settings_.cold) return 1;
  const double part = static_cast<double>(now - *back_at_) / static_cast<double>(settings_.cold);
  return settings_.cold_from + (1 - settings_.cold_from) * std::max(0.0, part);
}

Time Place::draw_service(const std::string& message_class) {
  const auto factor = settings_.class_times.find(message_class);
  const double mean = static_cast<double>(settings_.service) * slowness_ *
                      (factor == settings_.class_times.end() ? 1 : factor->second);
  if (settings_.service_cv <= 0) return static_cast<Time>(mean);
  const double s2 = std::log(1 + settings_.service_cv * settings_.service_cv);
  std::lognormal_distribution<double> d(std::log(mean) - s2 / 2, std::sqrt(s2));
  return static_cast<Time>(d(random_));
}

bool Place::over_limit(Time now) {
  if (settings_.limit_per_s <= 0) return false;
  if (settings_.limit_span > 0) {
    while (!counted_.empty() && counted_.front() <= now - settings_.limit_span) counted_.pop_front();
    const double allowed = settings_.limit_per_s * static_cast<double>(settings_.limit_span) * 1e-6;
    const bool over = static_cast<double>(counted_.size()) + 1 > std::max(1.0, allowed);
    if (!over || settings_.refused_count) counted_.push_back(now);
    return over;
  }
  const double burst = std::max(1.0, settings_.limit_per_s * 0.5);
  tokens_ = std::min(burst, tokens_ + settings_.limit_per_s * static_cast<double>(now - tokens_at_) * 1e-6);
  tokens_at_ = now;
  const bool over = tokens_ < 1;
  if (!over || settings_.refused_count) tokens_ = std::max(-burst, tokens_ - 1);
  return over;
}

double push_budget(double multiple, double mean_capacity, Time window) {
  const double expected = multiple * mean_capacity * static_cast<double>(window) * 1e-6;
  return expected + 3 * std::sqrt(std::max(1.0, expected)) + 2;
}

void Place::watch_overload(Time now) {
  if (!back_at_ || warmth(now) >= 1) {
    pushes_.clear();
    return;
  }
  pushes_.push_back(now);
  while (pushes_.front() <= now - settings_.overload_for) pushes_.pop_front();
  // Mean share of the capacity that was available during the window.
  const double mean = (warmth(std::max(*back_at_, now - settings_.overload_for)) + warmth(now)) / 2;
  const double budget = push_budget(settings_.fall_multiple, capacity() * mean, settings_.overload_for);
  if (static_cast<double>(pushes_.size()) <= budget) return;
  falls_++;
  fallen_until_ = now + settings_.fallen_for;
  back_at_ = fallen_until_;  // cold again from then on
  pushes_.clear();
}

Place::Arrival Place::arrive(Time now, const std::string& message_class) {
  if (fallen(now)) return {Verdict::fallen, 0};
  watch_overload(now);
  if (fallen(now)) return {Verdict::fallen, 0};
  if (over_limit(now)) return {Verdict::limited, 0};
  while (!starts_.empty() && starts_.front() <= now) starts_.pop_front();
  const auto server = std::min_element(busy_until_.begin(), busy_until_.end());
  const Time start = std::max(now, *server);
  if (start > now && starts_.size() >= static_cast<std::size_t>(settings_.queue))
    return {Verdict::queue_full, 0};
  if (start > now) starts_.push_back(start);
  *server = start + static_cast<Time>(static_cast<double>(draw_service(message_class)) /
                                      std::max(0.05, warmth(start)));
  return {Verdict::accepted, *server};
}

void Place::outage_begins(Time) { out_ = true; }

void Place::outage_ends(Time now) {
  if (!out_) return;
  out_ = false;
  back_at_ = now;
  std::fill(busy_until_.begin(), busy_until_.end(), now);
  starts_.clear(), pushes_.clear();
}

}  // namespace cedarplank::emulator
