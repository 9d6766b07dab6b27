#include "emulator/partner.hpp"

#include <algorithm>
#include <random>

namespace cedarplank::emulator {

const std::map<std::string, Fault>& fault_names() {
  static const std::map<std::string, Fault> names = {{"silent", Fault::silent},
                                                     {"hang_reset", Fault::hang_reset},
                                                     {"shut", Fault::shut},
                                                     {"refuse", Fault::refuse},
                                                     {"down", Fault::down},
                                                     {"errors", Fault::errors},
                                                     {"slow", Fault::slow},
                                                     {"pause", Fault::pause},
                                                     {"drop_after_take", Fault::drop_after_take},
                                                     {"answer_lost", Fault::answer_lost},
                                                     {"goaway", Fault::goaway},
                                                     {"refused_stream", Fault::refused_stream},
                                                     {"garbage", Fault::garbage},
                                                     {"dead_idle", Fault::dead_idle},
                                                     {"handshake_slow", Fault::handshake_slow},
                                                     {"few_streams", Fault::few_streams},
                                                     {"bind_refused", Fault::bind_refused},
                                                     {"twice", Fault::twice},
                                                     {"out_of_order", Fault::out_of_order},
                                                     {"early_receipt", Fault::early_receipt},
                                                     {"stray_receipt", Fault::stray_receipt}};
  return names;
}

bool is_outage(Fault fault, double share) {
  switch (fault) {
    case Fault::silent:
    case Fault::hang_reset:
    case Fault::shut:
    case Fault::refuse:
    case Fault::down:
    case Fault::garbage:
      return true;
    case Fault::errors:
      return share > 0.5;
    default:
      return false;
  }
}

bool ends_connections(Fault fault) {
  return fault == Fault::down || fault == Fault::refuse || fault == Fault::garbage;
}

Partner::Partner(const DestinationSettings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {
  shared_capacity_ = std::make_unique<CapacityModel>(settings.capacity, seed);
  for (const auto& e : settings.endpoints) add(e);
}

void Partner::add(const EndpointSettings& settings) {
  endpoints_.insert_or_assign(settings.id, Endpoint{settings, {}, pcg32(++seed_ * 7919)});
}

CapacityModel& Partner::capacity_of(const std::string& endpoint) {
  if (!settings_.routes_apart) return *shared_capacity_;
  auto& model = endpoint_capacities_[endpoint];
  if (!model) model = std::make_unique<CapacityModel>(settings_.capacity, ++seed_);
  return *model;
}

const FaultSettings* Partner::fault(const std::string& endpoint, Fault f) const {
  const auto& faults = endpoints_.at(endpoint).faults;
  const auto it = faults.find(f);
  return it == faults.end() ? nullptr : &it->second;
}

bool Partner::applies(Endpoint& e, Fault f) {
  const auto it = e.faults.find(f);
  return it != e.faults.end() &&
         (it->second.share >= 1 || std::uniform_real_distribution<double>()(e.random) < it->second.share);
}

void Partner::begin(const std::string& endpoint, Time now, const FaultSettings& f) {
  endpoints_.at(endpoint).faults[f.fault] = f;
  CapacityModel& model = capacity_of(endpoint);
  if (is_outage(f.fault, f.share)) model.outage_begins(now);
  if (f.fault == Fault::slow) model.set_service_factor(f.times);
}

void Partner::end(const std::string& endpoint, Time now, Fault f) {
  auto& faults = endpoints_.at(endpoint).faults;
  if (faults.erase(f) == 0) return;
  CapacityModel& model = capacity_of(endpoint);
  const bool still_out = std::any_of(faults.begin(), faults.end(),
                                     [](const auto& x) { return is_outage(x.first, x.second.share); });
  if (!still_out && is_outage(f, 1)) model.outage_ends(now);
  if (f == Fault::slow) model.set_service_factor(1);
}

Partner::ConnectionDecision Partner::decide_connection(const std::string& endpoint, Time now,
                                                       std::size_t open) {
  const int limit = endpoints_.at(endpoint).settings.connections_max;
  if (fault(endpoint, Fault::down)) return ConnectionDecision::no_listener;
  if (fault(endpoint, Fault::refuse) || capacity_of(endpoint).overloaded(now) ||
      (limit > 0 && open >= static_cast<std::size_t>(limit)))
    return ConnectionDecision::reset;
  return fault(endpoint, Fault::garbage) ? ConnectionDecision::garbage : ConnectionDecision::accept;
}

Time Partner::handshake_delay(const std::string& endpoint) const {
  const auto* slow = fault(endpoint, Fault::handshake_slow);
  return slow == nullptr ? 0 : slow->wait;
}

int Partner::max_calls(const std::string& endpoint) const {
  const int limit = endpoints_.at(endpoint).settings.streams_max;
  const auto* few = fault(endpoint, Fault::few_streams);
  return few == nullptr ? limit : std::min(limit, std::max(1, static_cast<int>(few->times)));
}

bool Partner::is_reading(const std::string& endpoint) const {
  return fault(endpoint, Fault::pause) == nullptr;
}

bool Partner::is_dead(const std::string& endpoint, Time idle) const {
  const auto* f = fault(endpoint, Fault::dead_idle);
  return f != nullptr && idle > f->after;
}

CallPlan Partner::plan_by_answers(Time now, const std::string& message) {
  const std::string& answer =
      settings_.answers[std::min(call_counts_[message]++, settings_.answers.size() - 1)];
  CallPlan plan;
  plan.at = now;
  plan.takes_effect = answer == "201" || answer == "drop";
  if (answer == "drop")
    plan.kind = CallPlan::Kind::drop_connection;
  else if (answer == "refuse")
    plan.kind = CallPlan::Kind::refuse;
  else if (answer == "silent")
    plan.kind = CallPlan::Kind::no_answer;
  else
    plan.status = std::stoi(answer);
  if (plan.status == 429) plan.wait = settings_.capacity.tells_wait;
  return plan;
}

// A receiver recognizes a repeat on arrival, whether or not the first call is done by then: otherwise a
// repeat that reached a slow partner within the key window would take effect after the window.
CallPlan Partner::call(const std::string& endpoint, Time now, const Call& call) {
  CallPlan plan =
      settings_.answers.empty() ? plan_by_state(endpoint, now, call) : plan_by_answers(now, call.message);
  if (plan.takes_effect && is_repeat(now, call.key))
    plan.takes_effect = false;  // dropped, but answered like the first
  return plan;
}

CallPlan Partner::plan_by_state(const std::string& endpoint, Time now, const Call& call) {
  Endpoint& e = endpoints_.at(endpoint);
  CallPlan plan;
  plan.at = now;
  if (applies(e, Fault::silent)) {
    plan.kind = CallPlan::Kind::no_answer;
  } else if (const auto* hang = fault(endpoint, Fault::hang_reset)) {
    plan.kind = CallPlan::Kind::drop_connection, plan.at = now + hang->after;
  } else if (const auto* shut = fault(endpoint, Fault::shut)) {
    plan.status = 503, plan.wait = shut->wait;
  } else if (applies(e, Fault::errors)) {
    plan.status = 500;
  } else if (applies(e, Fault::refused_stream)) {
    plan.kind = CallPlan::Kind::refuse;
  } else if (!call.alone && applies(e, Fault::goaway)) {
    plan.kind = CallPlan::Kind::go_away;
  } else {
    CapacityModel& model = capacity_of(endpoint);
    const auto arrival = model.arrive(now, call.message_class);
    if (arrival.result == ArrivalResult::overloaded) {
      plan.kind = CallPlan::Kind::no_answer;  // overloaded: no answer
    } else if (arrival.result != ArrivalResult::accepted) {
      plan.status = 429, plan.wait = model.settings().tells_wait;
    } else {
      plan.at = std::max(now, arrival.done_at), plan.takes_effect = true;
      const bool drop = applies(e, Fault::drop_after_take), lost = applies(e, Fault::answer_lost);
      if (drop)
        plan.kind = CallPlan::Kind::drop_connection;
      else if (lost)
        plan.kind = CallPlan::Kind::no_answer;
    }
  }
  return plan;
}

bool Partner::is_repeat(Time now, const std::string& key) {
  if (key.empty() || settings_.key_window <= 0) return false;
  const auto [it, fresh] = keys_seen_at_.try_emplace(key, now);
  if (!fresh && now < it->second + settings_.key_window) return true;
  it->second = now;
  return false;
}

}  // namespace cedarplank::emulator
