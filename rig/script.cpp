#include "rig/script.hpp"

#include <algorithm>
#include <random>

namespace cedarplank::rig {
namespace {

// In a deploy: from listing an endpoint as draining to removing it from the list, and from that to stopping
// it.
constexpr Time kDrainToRemoval = 3'000'000, kRemovalToStop = 2'000'000;

}  // namespace

Script::Script(const Scenario& scenario, const config::RelaySettings& relay, Stage& stage,
               config::PartnerList list)
    : s_(scenario), relay_(relay), stage_(stage), list_(std::move(list)), random_(scenario.seed * 31 + 7) {
  for (std::size_t d = 0; d < s_.destinations.size(); d++) {
    endpoints_.emplace_back();
    for (const auto& e : list_.endpoints)
      if (e.destination == s_.destinations[d].settings.name) add_place(d, e.id, e.kind);
  }
  publish();
}

void Script::add_place(std::size_t d, const std::string& endpoint, int kind) {
  const auto& settings = s_.destinations[d].settings;
  endpoints_[d].push_back(endpoint);
  const std::string domain = settings.routes_apart ? endpoint : settings.name;
  facts_.place_of[endpoint] = domain;
  const auto k = static_cast<std::size_t>(kind);
  facts_.unseen_503[endpoint] = k < relay_.kind_wire.size() && relay_.kind_wire[k].unseen_503;
  auto& p = facts_.places[domain];
  const auto& m = settings.place;
  p.capacity = static_cast<double>(m.servers) / (static_cast<double>(m.service) * 1e-6);
  p.cold_from = m.cold_from, p.fall_multiple = m.fall_multiple, p.cold = m.cold,
  p.overload_for = m.overload_for;
}

void Script::later(Time after, std::function<void()> f) {
  stage_.at(stage_.now() + after, [this, f = std::move(f)] {
    if (!over_) f();
  });
}

void Script::play() {
  for (const auto& t : s_.troubles) {
    later(t.at, [this, &t] { begin(t); });
    if (t.lasts > 0) later(t.at + t.lasts, [this, &t] { end(t); });
  }
}

// Publishes a changed list: at once, or later during a list_late trouble.
void Script::write_list() {
  list_.version++;
  if (list_late_ > 0)
    later(list_late_, [this] { publish(); });
  else
    publish();
}

void Script::publish() {
  if (over_ || list_blocked_) return;
  stage_.publish(list_, list_half_ ? Stage::Listing::half : Stage::Listing::whole);
  if (list_half_) return;
  for (const auto& endpoint : pending_told_) facts_.told.push_back({endpoint, stage_.now()});
  pending_told_.clear();
}

// The list becomes unreadable before every relay has had time to read its last changes: relays count as
// notified of those only when it is readable again.
void Script::untell() {
  const Time read_by_all = stage_.now() - relay_.partners_reread;
  std::erase_if(facts_.told, [&](const auto& t) {
    if (t.at <= read_by_all) return false;
    pending_told_.push_back(t.endpoint);
    return true;
  });
}

void Script::outage(const std::string& endpoint, bool begins) {
  const std::string domain = facts_.place_of[endpoint];
  int& n = out_count_[domain];
  if (begins) {
    if (n++ == 0) out_since_[domain] = stage_.now();
  } else if (n > 0 && --n == 0) {
    facts_.places[domain].outages.emplace_back(out_since_[domain], stage_.now());
  }
}

void Script::drain_one(std::size_t d, const std::string& id) {
  const auto is_old = [&](const config::PartnerEndpoint& e) { return e.id == id; };
  if (std::none_of(list_.endpoints.begin(), list_.endpoints.end(), is_old)) return;
  // The replacement is listed when the old endpoint starts to drain; later the old one leaves the list, and
  // after that it stops.
  const auto& settings = s_.destinations[d].settings;
  emulator::EndpointSettings fresh = settings.endpoints.front();
  fresh.id = id + "r", fresh.address = "127.0.0.1:0";
  const std::string address = stage_.add_endpoint(d, fresh);
  const auto old = std::find_if(list_.endpoints.begin(), list_.endpoints.end(), is_old);
  config::PartnerEndpoint entry = *old;
  add_place(d, fresh.id, entry.kind);
  entry.id = fresh.id, entry.address = address;
  old->listing = cedarplank::Listing::draining;
  list_.endpoints.push_back(entry);
  pending_told_.push_back(id);
  write_list();
  later(kDrainToRemoval, [this, id] {
    std::erase_if(list_.endpoints, [&](const auto& e) { return e.id == id; });
    write_list();
  });
  later(kDrainToRemoval + kRemovalToStop + list_late_, [this, id] { stage_.stop_endpoint(id); });
}

std::vector<std::string> Script::endpoints_of(const std::vector<std::string>& names) const {
  std::vector<std::string> found;
  const auto named = [&](const std::string& n) {
    return std::find(names.begin(), names.end(), n) != names.end();
  };
  for (std::size_t d = 0; d < endpoints_.size(); d++)
    for (const auto& e : endpoints_[d])
      if (named(s_.destinations[d].settings.name) || named(e)) found.push_back(e);
  return found;
}

void Script::deploy(const Trouble& t) {
  std::vector<std::pair<std::size_t, std::string>> chosen;
  const auto named = endpoints_of(t.on);
  for (std::size_t d = 0; d < endpoints_.size(); d++)
    for (const auto& e : endpoints_[d])
      if (std::find(named.begin(), named.end(), e) != named.end() &&
          std::uniform_real_distribution<double>()(random_) < t.share)
        chosen.emplace_back(d, e);
  for (std::size_t i = 0; i < chosen.size(); i++)
    later(t.lasts * static_cast<Time>(i) / static_cast<Time>(chosen.size()),
          [this, one = chosen[i]] { drain_one(one.first, one.second); });
}

// Endpoints fail for good without being drained; they leave the list after `by`.
void Script::vanish(const Trouble& t) {
  for (const auto& id : endpoints_of(t.on)) {
    const auto at = std::find_if(list_.endpoints.begin(), list_.endpoints.end(),
                                 [&](const auto& e) { return e.id == id; });
    if (at == list_.endpoints.end()) continue;
    stage_.vanish_endpoint(id);
    later(t.by, [this, id] {
      std::erase_if(list_.endpoints, [&](const auto& e) { return e.id == id; });
      pending_told_.push_back(id);
      write_list();
    });
  }
}

void Script::begin(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      struck_[&t] = endpoints_of(t.on);
      for (const auto& id : struck_[&t]) {
        stage_.fault_begins(id, t.fault.settings);
        if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) outage(id, true);
      }
      return;
    case TroubleKind::burst:
      return stage_.load().set_rate_times(t.times);
    case TroubleKind::hot: {
      const auto& all = s_.load.destinations;
      return stage_.load().set_hot(static_cast<int>(std::find(all.begin(), all.end(), t.on[0]) - all.begin()),
                                   t.share);
    }
    case TroubleKind::greedy_tenant:
      return stage_.load().set_greedy(t.tenant, t.times);
    case TroubleKind::deploy:
      return deploy(t);
    case TroubleKind::vanish:
      return vanish(t);
    case TroubleKind::list_late:
      list_late_ = t.by;
      return;
    case TroubleKind::list_unreadable:
      list_blocked_ = true;
      untell();
      return stage_.publish(list_, Stage::Listing::gone);
    case TroubleKind::list_half_written:
      list_half_ = true;
      untell();
      return publish();
    case TroubleKind::relay_crash:
      stage_.crash(t.relay);
      facts_.lives.push_back({stage_.relay_name(t.relay), stage_.relay_started(t.relay), stage_.now()});
      return;
    case TroubleKind::relay_stall:
      stage_.stall(t.relay);
      facts_.stalls.push_back({stage_.relay_name(t.relay), stage_.now(), stage_.now() + t.lasts});
      return;
    case TroubleKind::notes_lost:
      return stage_.set_notes_lost(t.share);
    case TroubleKind::shared_slow:
      return stage_.set_slowness(t.times);
  }
}

void Script::end(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      for (const auto& id : struck_[&t]) {
        stage_.fault_ends(id, t.fault.settings.fault);
        if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) outage(id, false);
      }
      return;
    case TroubleKind::burst:
      return stage_.load().set_rate_times(1);
    case TroubleKind::hot:
      return stage_.load().set_hot(-1, 0);
    case TroubleKind::greedy_tenant:
      return stage_.load().set_greedy(-1, 1);
    case TroubleKind::list_late:
      list_late_ = 0;
      return;
    case TroubleKind::list_unreadable:
      list_blocked_ = false;
      return publish();
    case TroubleKind::list_half_written:
      list_half_ = false;
      return publish();
    case TroubleKind::relay_crash:
      return stage_.start(t.relay);
    case TroubleKind::relay_stall:
      stage_.go_on(t.relay);
      for (auto& span : facts_.stalls)
        if (span.relay == stage_.relay_name(t.relay)) span.to = std::max(span.to, stage_.now());
      return;
    case TroubleKind::notes_lost:
      return stage_.set_notes_lost(0);
    case TroubleKind::shared_slow:
      return stage_.set_slowness(1);
    case TroubleKind::deploy:
    case TroubleKind::vanish:
      return;
  }
}

Facts Script::facts() const {
  Facts f = facts_;
  for (std::size_t i = 0; i < relay_.names.classes.size(); i++) {
    const auto& c = relay_.dispatcher.classes[i];
    f.classes[relay_.names.classes[i]] = {c.effect, c.deadline, c.ordered};
  }
  f.drain_grace = relay_.dispatcher.drain_grace, f.answer_slack = relay_.dispatcher.answer_slack;
  f.settle_after_doubt = relay_.dispatcher.settle_after_doubt, f.reread = relay_.partners_reread;
  return f;
}

}  // namespace cedarplank::rig
