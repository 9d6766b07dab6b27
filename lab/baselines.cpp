// Simple retry policies, implemented as deciders for the relay core.
#include "lab/baselines.hpp"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>
#include <vector>

#include "relay/final_answer.hpp"

namespace cedarplank::lab {
namespace {

// Retry delays in microseconds: the fixed delay, and the base and upper bound of the exponential back-off.
constexpr Time kFixedDelay = 500'000, kBackoffBase = 100'000, kBackoffMax = 5'000'000;
// Retry throttling with the values usual for gRPC (gRFC A6): the size of the token budget, and what a served
// attempt adds to it.
constexpr double kTokensMax = 10, kTokenRatio = 0.1;

// One policy: sends to random active endpoints and retries after a failed attempt where the policy and the
// message's effect class allow it. Each message has two timer tokens: id * 2 for its next attempt and
// id * 2 + 1 for its deadline.
class Baseline final : public relay::Decider {
 public:
  Baseline(Policy policy, const Settings& settings, std::uint64_t seed)
      : policy_(policy), set_(settings), random_(seed) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    now_ = now, out_ = &actions;
    for (const auto& e : events) std::visit([this](const auto& x) { on(x); }, e);
  }

 private:
  struct Message {
    DestinationId destination = 0;
    const ClassSettings* cls = nullptr;
    Time deadline = 0, first_uncertain = -1;  // first_uncertain: end of the first attempt that may have run
    int sends = 0;
    bool in_flight = false;
  };

  void on(const event::ListWhole& e) {
    endpoints_.clear();
    for (const auto& x : e.endpoints) update_endpoint(x);
  }
  void on(const event::ListChanges& e) {
    for (const auto& x : e.endpoints) update_endpoint(x);
  }
  void update_endpoint(const Endpoint& e) {
    auto& all = endpoints_[e.destination];
    std::erase(all, e.id);
    if (e.listing == Listing::active) all.push_back(e.id);
  }
  void on(const event::ListFailed&) {}
  void on(const event::ProbeEnded&) {}
  void on(const event::PeerNote&) {}
  void on(const event::Known&) {}
  void on(const event::Arrival& e) {
    Message& m = messages_[e.id];
    m.destination = e.destination, m.cls = &set_.classes[static_cast<std::size_t>(e.message_class)];
    m.deadline = now_ + e.time_left;
    out_->emplace_back(action::SetTimer{std::max<Time>(0, e.time_left - 2 * set_.tick), e.id * 2 + 1});
    send(e.id, m);
  }
  void on(const event::Withdrawn& e) { messages_.erase(e.id); }
  void on(const event::TimerDue& e) {
    const auto it = messages_.find(e.token / 2);
    if (it == messages_.end()) return;
    if (e.token % 2 == 1) return end(it);
    if (!it->second.in_flight) send(it->first, it->second);
  }
  void on(const event::AttemptEnded& e) {
    if (e.outcome == Outcome::served) tokens_ = std::min(kTokensMax, tokens_ + kTokenRatio);
    const auto it = messages_.find(e.id);
    if (it == messages_.end()) return;
    Message& m = it->second;
    m.in_flight = false;
    if (e.closed || e.outcome == Outcome::served) {
      messages_.erase(it);
      return;
    }
    if (!relay::proves_not_run(e.outcome) && m.first_uncertain < 0) m.first_uncertain = now_;
    if (e.outcome != Outcome::not_sent) tokens_ = std::max(0.0, tokens_ - 1);
    const double jitter = std::uniform_real_distribution<double>()(random_);
    Time wait = kFixedDelay;
    if (policy_ == Policy::exponential || policy_ == Policy::token_bucket)
      wait = static_cast<Time>(
          jitter * std::min<double>(kBackoffMax, kBackoffBase * std::exp2(std::min(20, m.sends))));
    const bool may_retry = policy_ != Policy::single_attempt && m.sends < set_.attempts_max &&
                           now_ + wait < m.deadline - 2 * set_.tick &&
                           (policy_ != Policy::token_bucket || tokens_ > kTokensMax / 2);
    // Baselines obey the effect classes too: no policy repeats a message where that could apply its effect
    // twice.
    const bool repeat_safe =
        m.first_uncertain < 0 || m.cls->effect == Effect::safe ||
        (m.cls->effect == Effect::keyed && now_ + wait < m.first_uncertain + m.cls->key_window);
    if (!may_retry || !repeat_safe) return end(it);
    out_->emplace_back(action::SetTimer{wait, it->first * 2});
  }
  void send(MessageId id, Message& m) {
    const auto& all = endpoints_[m.destination];
    if (all.empty()) return;
    m.sends++, m.in_flight = true;
    const auto& endpoint = all[random_(static_cast<std::uint32_t>(all.size()))];
    out_->emplace_back(action::Send{id, endpoint, std::max<Time>(0, m.deadline - now_)});
  }
  void end(std::map<MessageId, Message>::iterator it) {
    const Message& m = it->second;
    const relay::AttemptHistory history{m.first_uncertain >= 0, m.in_flight};
    if (relay::choose_final_answer(*m.cls, history) == relay::FinalAnswer::refuse)
      out_->emplace_back(action::Refuse{it->first, 0});
    else
      out_->emplace_back(action::Fail{it->first});
    messages_.erase(it);
  }

  const Policy policy_;
  const Settings set_;
  pcg32 random_;
  Time now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::map<DestinationId, std::vector<EndpointId>> endpoints_;
  std::map<MessageId, Message> messages_;
  double tokens_ = kTokensMax;
};

}  // namespace

const std::map<std::string, Policy>& policy_names() {
  static const std::map<std::string, Policy> names = {{"ours", Policy::dispatcher},
                                                      {"one_try", Policy::single_attempt},
                                                      {"fixed", Policy::fixed},
                                                      {"exponential", Policy::exponential},
                                                      {"token_bucket", Policy::token_bucket}};
  return names;
}

std::unique_ptr<relay::Decider> make_decider(Policy policy, const Settings& settings, std::uint64_t seed) {
  if (policy == Policy::dispatcher) return relay::make_dispatcher(settings, seed);
  return std::make_unique<Baseline>(policy, settings, seed);
}

}  // namespace cedarplank::lab
