#include "rig/scenario_script.hpp"

#include <algorithm>
#include <random>

namespace cedarplank::rig {
namespace {

// In a deploy: from listing an endpoint as draining to removing it from the list, and from that to stopping
// it.
constexpr Time kDrainToRemoval = 3'000'000, kRemovalToStop = 2'000'000;

}  // namespace

ScenarioScript::ScenarioScript(const Scenario& scenario, const config::RelaySettings& relay,
                               ScenarioEnvironment& stage, config::PartnerList list)
    : scenario_(scenario),
      relay_settings_(relay),
      environment_(stage),
      list_(std::move(list)),
      random_(scenario.seed * 31 + 7) {
  for (std::size_t d = 0; d < scenario_.destinations.size(); d++) {
    endpoints_.emplace_back();
    for (const auto& e : list_.endpoints)
      if (e.destination == scenario_.destinations[d].settings.name) register_endpoint(d, e.id, e.kind);
  }
  publish();
}

void ScenarioScript::register_endpoint(std::size_t d, const std::string& endpoint, int kind) {
  const auto& settings = scenario_.destinations[d].settings;
  endpoints_[d].push_back(endpoint);
  const std::string domain = settings.routes_apart ? endpoint : settings.name;
  input_.domain_of[endpoint] = domain;
  const auto k = static_cast<std::size_t>(kind);
  input_.unseen_503[endpoint] =
      k < relay_settings_.kind_protocols.size() && relay_settings_.kind_protocols[k].unseen_503;
  auto& p = input_.domains[domain];
  const auto& m = settings.capacity;
  p.capacity = static_cast<double>(m.servers) / (static_cast<double>(m.service) * 1e-6);
  p.cold_from = m.cold_from, p.fall_multiple = m.fall_multiple, p.cold = m.cold,
  p.overload_for = m.overload_for;
}

void ScenarioScript::schedule(Time after, std::function<void()> f) {
  environment_.run_at(environment_.now() + after, [this, f = std::move(f)] {
    if (!stopped_) f();
  });
}

void ScenarioScript::start() {
  for (const auto& t : scenario_.troubles) {
    schedule(t.at, [this, &t] { begin(t); });
    if (t.lasts > 0) schedule(t.at + t.lasts, [this, &t] { end(t); });
  }
}

// Publishes a changed list: at once, or later during a list_late trouble.
void ScenarioScript::publish_change() {
  list_.version++;
  if (list_delay_ > 0)
    schedule(list_delay_, [this] { publish(); });
  else
    publish();
}

void ScenarioScript::publish() {
  if (stopped_ || list_missing_) return;
  environment_.publish(list_, list_truncated_ ? ScenarioEnvironment::ListState::truncated
                                              : ScenarioEnvironment::ListState::complete);
  if (list_truncated_) return;
  for (const auto& endpoint : pending_notices_)
    input_.drain_notices.push_back({endpoint, environment_.now()});
  pending_notices_.clear();
}

// The list becomes unreadable before every relay has had time to read its last changes: relays count as
// notified of those only when it is readable again.
void ScenarioScript::retract_unread_notices() {
  const Time read_by_all = environment_.now() - relay_settings_.partners_reread;
  std::erase_if(input_.drain_notices, [&](const auto& t) {
    if (t.at <= read_by_all) return false;
    pending_notices_.push_back(t.endpoint);
    return true;
  });
}

void ScenarioScript::record_outage(const std::string& endpoint, bool begins) {
  const std::string domain = input_.domain_of[endpoint];
  int& n = outage_faults_[domain];
  if (begins) {
    if (n++ == 0) outage_since_[domain] = environment_.now();
  } else if (n > 0 && --n == 0) {
    input_.domains[domain].outages.emplace_back(outage_since_[domain], environment_.now());
  }
}

void ScenarioScript::replace_endpoint(std::size_t d, const std::string& id) {
  const auto is_old = [&](const config::PartnerEndpoint& e) { return e.id == id; };
  if (std::none_of(list_.endpoints.begin(), list_.endpoints.end(), is_old)) return;
  // The replacement is listed when the old endpoint starts to drain; later the old one leaves the list, and
  // after that it stops.
  const auto& settings = scenario_.destinations[d].settings;
  emulator::EndpointSettings fresh = settings.endpoints.front();
  fresh.id = id + "r", fresh.address = "127.0.0.1:0";
  const std::string address = environment_.add_endpoint(d, fresh);
  const auto old = std::find_if(list_.endpoints.begin(), list_.endpoints.end(), is_old);
  config::PartnerEndpoint entry = *old;
  register_endpoint(d, fresh.id, entry.kind);
  entry.id = fresh.id, entry.address = address;
  old->listing = cedarplank::Listing::draining;
  list_.endpoints.push_back(entry);
  pending_notices_.push_back(id);
  publish_change();
  schedule(kDrainToRemoval, [this, id] {
    std::erase_if(list_.endpoints, [&](const auto& e) { return e.id == id; });
    publish_change();
  });
  schedule(kDrainToRemoval + kRemovalToStop + list_delay_, [this, id] { environment_.stop_endpoint(id); });
}

std::vector<std::string> ScenarioScript::endpoints_of(const std::vector<std::string>& names) const {
  std::vector<std::string> found;
  const auto named = [&](const std::string& n) {
    return std::find(names.begin(), names.end(), n) != names.end();
  };
  for (std::size_t d = 0; d < endpoints_.size(); d++)
    for (const auto& e : endpoints_[d])
      if (named(scenario_.destinations[d].settings.name) || named(e)) found.push_back(e);
  return found;
}

void ScenarioScript::deploy(const Trouble& t) {
  std::vector<std::pair<std::size_t, std::string>> chosen;
  const auto named = endpoints_of(t.on);
  for (std::size_t d = 0; d < endpoints_.size(); d++)
    for (const auto& e : endpoints_[d])
      if (std::find(named.begin(), named.end(), e) != named.end() &&
          std::uniform_real_distribution<double>()(random_) < t.share)
        chosen.emplace_back(d, e);
  for (std::size_t i = 0; i < chosen.size(); i++)
    schedule(t.lasts * static_cast<Time>(i) / static_cast<Time>(chosen.size()),
             [this, one = chosen[i]] { replace_endpoint(one.first, one.second); });
}

// Endpoints fail for good without being drained; they leave the list after `by`.
void ScenarioScript::vanish(const Trouble& t) {
  for (const auto& id : endpoints_of(t.on)) {
    const auto at = std::find_if(list_.endpoints.begin(), list_.endpoints.end(),
                                 [&](const auto& e) { return e.id == id; });
    if (at == list_.endpoints.end()) continue;
    environment_.vanish_endpoint(id);
    schedule(t.by, [this, id] {
      std::erase_if(list_.endpoints, [&](const auto& e) { return e.id == id; });
      pending_notices_.push_back(id);
      publish_change();
    });
  }
}

void ScenarioScript::begin(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      faulty_endpoints_[&t] = endpoints_of(t.on);
      for (const auto& id : faulty_endpoints_[&t]) {
        environment_.begin_fault(id, t.fault.settings);
        if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) record_outage(id, true);
      }
      return;
    case TroubleKind::burst:
      return environment_.load_model().set_rate_multiplier(t.times);
    case TroubleKind::hot: {
      const auto& all = scenario_.load.destinations;
      return environment_.load_model().set_hot_destination(
          static_cast<int>(std::find(all.begin(), all.end(), t.on[0]) - all.begin()), t.share);
    }
    case TroubleKind::greedy_tenant:
      return environment_.load_model().set_greedy_tenant(t.tenant, t.times);
    case TroubleKind::deploy:
      return deploy(t);
    case TroubleKind::vanish:
      return vanish(t);
    case TroubleKind::list_late:
      list_delay_ = t.by;
      return;
    case TroubleKind::list_unreadable:
      list_missing_ = true;
      retract_unread_notices();
      return environment_.publish(list_, ScenarioEnvironment::ListState::missing);
    case TroubleKind::list_half_written:
      list_truncated_ = true;
      retract_unread_notices();
      return publish();
    case TroubleKind::relay_crash:
      environment_.crash(t.relay);
      input_.ended_runs.push_back(
          {environment_.relay_name(t.relay), environment_.relay_started(t.relay), environment_.now()});
      return;
    case TroubleKind::relay_stall:
      environment_.stall(t.relay);
      input_.stalls.push_back(
          {environment_.relay_name(t.relay), environment_.now(), environment_.now() + t.lasts});
      return;
    case TroubleKind::notes_lost:
      return environment_.set_peer_loss(t.share);
    case TroubleKind::shared_slow:
      return environment_.set_slowness(t.times);
  }
}

void ScenarioScript::end(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      for (const auto& id : faulty_endpoints_[&t]) {
        environment_.end_fault(id, t.fault.settings.fault);
        if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) record_outage(id, false);
      }
      return;
    case TroubleKind::burst:
      return environment_.load_model().set_rate_multiplier(1);
    case TroubleKind::hot:
      return environment_.load_model().set_hot_destination(-1, 0);
    case TroubleKind::greedy_tenant:
      return environment_.load_model().set_greedy_tenant(-1, 1);
    case TroubleKind::list_late:
      list_delay_ = 0;
      return;
    case TroubleKind::list_unreadable:
      list_missing_ = false;
      return publish();
    case TroubleKind::list_half_written:
      list_truncated_ = false;
      return publish();
    case TroubleKind::relay_crash:
      return environment_.start(t.relay);
    case TroubleKind::relay_stall:
      environment_.resume(t.relay);
      for (auto& span : input_.stalls)
        if (span.relay == environment_.relay_name(t.relay)) span.to = std::max(span.to, environment_.now());
      return;
    case TroubleKind::notes_lost:
      return environment_.set_peer_loss(0);
    case TroubleKind::shared_slow:
      return environment_.set_slowness(1);
    case TroubleKind::deploy:
    case TroubleKind::vanish:
      return;
  }
}

CheckerInput ScenarioScript::checker_input() const {
  CheckerInput f = input_;
  for (std::size_t i = 0; i < relay_settings_.names.classes.size(); i++) {
    const auto& c = relay_settings_.dispatcher.classes[i];
    f.classes[relay_settings_.names.classes[i]] = {c.effect, c.deadline, c.ordered};
  }
  f.drain_grace = relay_settings_.dispatcher.drain_grace,
  f.answer_slack = relay_settings_.dispatcher.answer_slack;
  f.settle_after_doubt = relay_settings_.dispatcher.settle_after_doubt,
  f.list_reread = relay_settings_.partners_reread;
  return f;
}

}  // namespace cedarplank::rig
