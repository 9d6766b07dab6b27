#include "rig/load_model.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cedarplank::rig {

Time percentile(std::vector<Time>& values, double p) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto i = static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(i, 1, values.size()) - 1];
}

LoadModel::LoadModel(const LoadSettings& settings)
    : settings_(settings), random_(settings.seed), tallies_(settings.classes.size()) {
  double sum = 0;
  for (std::size_t i = 0; i < settings_.destinations.size(); i++)
    weights_.push_back(sum += 1 / std::pow(static_cast<double>(i + 1), settings_.skew));
}

double LoadModel::uniform() { return std::uniform_real_distribution<double>()(random_); }

LoadModel::Message LoadModel::create_message(Time now) {
  Message m;
  m.number = next_number_++;
  double draw = uniform(), sum = 0, total = 0;
  for (const auto& c : settings_.classes) total += c.share;
  for (std::size_t i = 0; i < settings_.classes.size(); i++) {
    sum += settings_.classes[i].share / total;
    m.cls = i;
    if (draw < sum) break;
  }
  const auto& cls = settings_.classes[m.cls];
  draw = uniform() * weights_.back();
  m.destination =
      static_cast<std::size_t>(std::lower_bound(weights_.begin(), weights_.end(), draw) - weights_.begin());
  const double hot = uniform();
  if (hot_destination_ >= 0 && hot < hot_share_) m.destination = static_cast<std::size_t>(hot_destination_);
  const auto topic = random_(static_cast<std::uint64_t>(settings_.topics));
  if (cls.effect == Effect::keyed)
    m.key = "k-" + std::to_string(settings_.seed) + "-" + std::to_string(m.number);
  if (cls.ordered) m.topic = "d" + std::to_string(m.destination) + "-t" + std::to_string(topic);
  if (!settings_.tenants.empty()) {
    const auto n = static_cast<double>(settings_.tenants.size());
    m.tenant = static_cast<int>(random_(settings_.tenants.size()));
    // The tenant's share grows from 1/n to times/(times + n - 1).
    if (greedy_tenant_ >= 0 && uniform() < 1 - n / (greedy_multiplier_ + n - 1)) m.tenant = greedy_tenant_;
  }
  m.created_at = now;
  tallies_[m.cls].created++, unanswered_++;
  return m;
}

Time LoadModel::next_interval() {
  std::exponential_distribution<double> d(settings_.rate * rate_multiplier_);
  return static_cast<Time>(d(random_) * 1e6);
}

bool LoadModel::uses_smpp(const Message& m) const {
  const auto part = m.topic.empty() ? m.number * 2'654'435'761u : std::hash<std::string>()(m.topic);
  return static_cast<double>(part % 1000) < settings_.smpp_share * 1000;
}

std::string LoadModel::request_name(const Message& m) const {
  return "m-" + std::to_string(m.number) + "." + std::to_string(m.request_count);
}

Time LoadModel::ttl(const Message& m, Time now) const {
  // The time left of the message's deadline, rounded down; the first request states the class's whole
  // deadline, rounded up.
  const Time left = m.created_at + settings_.classes[m.cls].deadline - now;
  return std::max<Time>(0, m.request_count == 0 ? (left + 999'999) / 1'000'000 : left / 1'000'000) *
         1'000'000;
}

void LoadModel::count_request(Message& m, Time now) {
  m.request_count++, m.last_request_at = now;
  tallies_[m.cls].requests++;
}

bool LoadModel::draw_give_up() { return settings_.reset_share > 0 && uniform() < settings_.reset_share; }
Time LoadModel::draw_give_up_delay() { return static_cast<Time>(uniform() * 60'000); }

void LoadModel::on_given_up(const Message& m) {
  tallies_[m.cls].reset++;
  count_ended();
}

LoadModel::NextStep LoadModel::retry_or_refuse(const Message& m, Time wait, Time now) {
  if (m.created_at + settings_.classes[m.cls].deadline - now - wait >= 1'000'000) return {true, wait};
  tallies_[m.cls].refused++;
  count_ended();
  return {};
}

LoadModel::NextStep LoadModel::on_not_accepted(const Message& m, Time now) {
  return retry_or_refuse(m, settings_.backoff, now);
}

LoadModel::NextStep LoadModel::on_lost(const Message& m, Time now) {
  // The relay is gone, and the message with it. It is sent again only where a repeat is harmless: an unsafe
  // one may have taken effect, and a keyed one may only be repeated within its key window from the first
  // request.
  const auto& c = settings_.classes[m.cls];
  const bool repeat =
      c.effect == Effect::safe || (c.effect == Effect::keyed && now < m.created_at + c.key_window / 2);
  if (repeat && m.request_count <= settings_.retries) return retry_or_refuse(m, settings_.backoff, now);
  tallies_[m.cls].lost++;
  count_ended();
  return {};
}

LoadModel::NextStep LoadModel::on_answer(const Message& m, std::string_view status, Time told_wait,
                                         Time now) {
  Tally& t = tallies_[m.cls];
  if (status == "503" || status == "429") {
    if (m.request_count <= settings_.retries) {
      Time wait = settings_.backoff;
      if (told_wait > 0 && uniform() < settings_.honour) wait = std::max(wait, told_wait);
      return retry_or_refuse(m, wait, now);
    }
    t.refused++;
  } else if (!status.empty() && status[0] == '2') {
    t.served++;
    t.within_aim += now - m.created_at <= settings_.classes[m.cls].aim;
    t.latencies.push_back(now - m.created_at);
  } else if (status == "502" || status == "504") {
    t.failed++;
  } else {
    t.unexpected++;
  }
  count_ended();
  return {};
}

}  // namespace cedarplank::rig
