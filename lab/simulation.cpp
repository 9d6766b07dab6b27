// The clients of a simulation and the run of its whole day.
#include "lab/simulation.hpp"

#include <algorithm>
#include <chrono>

#include "lab/simulation_parts.hpp"

namespace cedarplank::lab {
namespace day {
namespace {

constexpr Time kNoRelayRetryDelay = 150'000;  // microseconds; a client that finds no relay up tries again

}  // namespace

SimulationResult::Second& Simulation::current_second() {
  const auto i = static_cast<std::size_t>((clock.now() - started_at_) / 1'000'000);
  while (figures_.seconds.size() <= i) {
    figures_.seconds.emplace_back();
    figures_.seconds.back().served_by_class.resize(scenario_.load.classes.size());
  }
  return figures_.seconds[i];
}

void Simulation::submit_next_message() {
  if (!load_running_) return;
  auto m = load_model_.create_message(clock.now());
  current_second().asked++;
  submit(std::move(m));
  clock.after(load_model_.next_interval(), [this] { submit_next_message(); });
}

void Simulation::submit(rig::LoadModel::Message m) {
  // Messages with one order key go to one relay while it is up; the others go to the relays in turn.
  const auto n = relays_.size();
  std::size_t at = m.topic.empty() ? static_cast<std::size_t>(next_relay_++)
                                   : std::hash<std::string>()(m.topic),
              relays_tried = 0;
  while (relays_tried < n && !relays_[at % n]->up()) at++, relays_tried++;
  if (relays_tried == n) {
    clock.after(kNoRelayRetryDelay, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
    return;
  }
  SimulatedRelay& r = *relays_[at % n];
  const auto& cls = scenario_.load.classes[m.cls];
  rig::ClientRequest t;
  t.relay = r.name(), t.message = load_model_.request_name(m), t.cls = cls.name;
  t.destination = scenario_.load.destinations[m.destination], t.topic = m.topic, t.key = m.key;
  t.sent_at = t.complete_at = clock.now(), t.ttl = load_model_.ttl(m, clock.now());
  relay::NewMessage message;
  message.message_class = static_cast<int>(
      std::find(relay_template_.names.classes.begin(), relay_template_.names.classes.end(), cls.name) -
      relay_template_.names.classes.begin());
  message.tenant = m.tenant, message.time_left = t.ttl;
  if (cls.ordered) message.order_key = t.destination + "/" + m.topic;
  message.idempotency_key = m.key;
  message.topic = t.destination + "/" + m.topic;  // the relay reads it and removes it
  message.body = "id=" + t.message + ";class=" + cls.name + ";";
  load_model_.count_request(m, clock.now());
  const std::size_t index = observed_.requests.size();
  observed_.requests.push_back(std::move(t));
  const bool abandons = load_model_.draw_give_up();
  open_tries_[index] = std::move(m);
  r.run_at(clock.now() + one_way_delay(),
           [&r, index, message = std::move(message)]() mutable { r.submit(index, std::move(message)); });
  if (!abandons) return;
  clock.after(load_model_.draw_give_up_delay(), [this, &r, index] {
    const auto it = open_tries_.find(index);
    if (it == open_tries_.end()) return;
    const auto abandoned = std::move(it->second);
    open_tries_.erase(it);
    observed_.requests[index].reset_at = clock.now();
    load_model_.on_given_up(abandoned);
    r.run_at(clock.now() + one_way_delay(), [&r, index] { r.abandon(index); });
  });
}

void Simulation::answer(std::size_t index, const char* status, Time back) {
  clock.after(one_way_delay(), [this, index, status, back] {
    rig::ClientRequest& t = observed_.requests[index];
    t.answers++;
    if (t.answered_at == kNever) t.answered_at = clock.now(), t.status = status;
    const auto it = open_tries_.find(index);
    if (it == open_tries_.end()) {
      figures_.duplicate_answers += t.reset_at == kNever && t.closed_at == kNever;
      return;
    }
    auto m = std::move(it->second);
    open_tries_.erase(it);
    const bool served = status[0] == '2';
    if (served) {
      auto& s = current_second();
      s.served++, s.served_by_class[m.cls]++;
      s.in_aim += clock.now() - m.created_at <= scenario_.load.classes[m.cls].aim;
    }
    const auto next = load_model_.on_answer(m, status, back, clock.now());
    schedule_retry(std::move(m), next);
  });
}

void Simulation::schedule_retry(rig::LoadModel::Message m, rig::LoadModel::NextStep next) {
  if (next.retry) clock.after(next.wait, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
}

void Simulation::sample_held() {
  std::size_t held = 0;
  for (const auto& r : relays_) held += r->held();
  current_second().held = held;
  figures_.held_most = std::max(figures_.held_most, held);
  clock.after(1'000'000, [this] { sample_held(); });
}

SimulationResult Simulation::run() {
  const auto started = std::chrono::steady_clock::now();
  started_at_ = clock.now();
  std::uint64_t seed = scenario_.seed;
  for (std::size_t d = 0; d < scenario_.destinations.size(); d++) {
    auto settings = scenario_.destinations[d].settings;
    partners_.push_back(std::make_unique<emulator::Partner>(settings, ++seed * 104'729));
    for (const auto& e : settings.endpoints) endpoints_[e.id] = {d, e, {}, {}, false, false};
  }
  auto list = standin::partner_list(scenario_.destinations, relay_template_.names, 1,
                                    [this](std::size_t, std::size_t) { return next_address(); });
  for (int i = 0; i < scenario_.relays; i++) relays_.push_back(std::make_unique<SimulatedRelay>(*this, i));
  script_ = std::make_unique<rig::ScenarioScript>(scenario_, relay_template_, *this, std::move(list));
  for (auto& r : relays_) r->start();
  script_->start();
  submit_next_message(), sample_held();
  clock.run(started_at_ + scenario_.lasts, [] { return false; });
  load_running_ = false;
  clock.run(started_at_ + scenario_.lasts + scenario_.settle,
            [this] { return load_model_.unanswered() == 0; });
  // Lets events finish that were under way when the last answer came.
  clock.run(clock.now() + 2'000'000, [] { return false; });
  script_->stop();

  SimulationResult& f = figures_;
  for (const auto& c : scenario_.load.classes) f.class_names.push_back(c.name);
  f.tallies = load_model_.tallies();
  f.effects = effects_.size(), f.unanswered = load_model_.unanswered(), f.events = clock.events_run();
  for (const auto& r : relays_) f.connections += r->connections_opened();
  std::set<const emulator::CapacityModel*> capacities;
  for (auto& [id, e] : endpoints_) capacities.insert(&partner(e).capacity_of(id));
  for (const auto* p : capacities) f.overloads += static_cast<std::uint64_t>(p->overloads());
  f.virtual_s = static_cast<double>(clock.now() - started_at_) * 1e-6;
  if (options_.check_rules) {
    auto input = script_->checker_input();
    // No delays of processes or kernels here.
    input.slack = 4 * one_way_delay() + relay_template_.dispatcher.tick;
    f.check = rig::check_rules(input, observed_, effects_);
  }
  f.real_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  return std::move(figures_);
}

}  // namespace day

std::uint64_t SimulationResult::asked() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.created;
  return n;
}
double SimulationResult::served_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.served;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double SimulationResult::in_aim_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.within_aim;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double SimulationResult::attempts_per_message() const {
  return static_cast<double>(calls) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}

SimulationResult run_simulation(const rig::Scenario& scenario, const SimulationOptions& options) {
  return day::Simulation(scenario, options).run();
}

}  // namespace cedarplank::lab
