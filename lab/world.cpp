// The clients of a simulation and the run of its whole day.
#include "lab/world.hpp"

#include <algorithm>
#include <chrono>

#include "lab/day.hpp"

namespace cedarplank::lab {
namespace day {
namespace {

constexpr Time kNoRelayRetryDelay = 150'000;  // microseconds; a client that finds no relay up tries again

}  // namespace

Figures::Second& World::second() {
  const auto i = static_cast<std::size_t>((clock.now() - begun_) / 1'000'000);
  while (figures_.seconds.size() <= i) {
    figures_.seconds.emplace_back();
    figures_.seconds.back().served_by_class.resize(s_.load.classes.size());
  }
  return figures_.seconds[i];
}

void World::ask() {
  if (!asking_) return;
  auto m = book_.ask(clock.now());
  second().asked++;
  submit(std::move(m));
  clock.after(book_.gap(), [this] { ask(); });
}

void World::submit(rig::LoadBook::Message m) {
  // Messages with one order key go to one relay while it is up; the others go to the relays in turn.
  const auto n = relays_.size();
  std::size_t at = m.topic.empty() ? static_cast<std::size_t>(turn_++) : std::hash<std::string>()(m.topic),
              relays_tried = 0;
  while (relays_tried < n && !relays_[at % n]->up()) at++, relays_tried++;
  if (relays_tried == n) {
    clock.after(kNoRelayRetryDelay, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
    return;
  }
  Relay& r = *relays_[at % n];
  const auto& cls = s_.load.classes[m.cls];
  rig::Try t;
  t.relay = r.name(), t.message = book_.name_of(m), t.cls = cls.name;
  t.destination = s_.load.destinations[m.destination], t.topic = m.topic, t.key = m.key;
  t.sent_at = t.whole_at = clock.now(), t.ttl = book_.ttl(m, clock.now());
  relay::NewMessage message;
  message.message_class =
      static_cast<int>(std::find(template_.names.classes.begin(), template_.names.classes.end(), cls.name) -
                       template_.names.classes.begin());
  message.tenant = m.tenant, message.time_left = t.ttl;
  if (cls.ordered) message.order_key = t.destination + "/" + m.topic;
  message.idempotency_key = m.key;
  message.topic = t.destination + "/" + m.topic;  // the relay reads it and removes it
  message.body = "id=" + t.message + ";class=" + cls.name + ";";
  book_.tried(m, clock.now());
  const std::size_t index = observed_.tries.size();
  observed_.tries.push_back(std::move(t));
  const bool abandons = book_.gives_up();
  open_[index] = std::move(m);
  r.on_relay(clock.now() + hop(),
             [&r, index, message = std::move(message)]() mutable { r.take(index, std::move(message)); });
  if (!abandons) return;
  clock.after(book_.gives_up_after(), [this, &r, index] {
    const auto it = open_.find(index);
    if (it == open_.end()) return;
    const auto abandoned = std::move(it->second);
    open_.erase(it);
    observed_.tries[index].reset_at = clock.now();
    book_.gave_up(abandoned);
    r.on_relay(clock.now() + hop(), [&r, index] { r.give_up(index); });
  });
}

void World::answer(std::size_t index, const char* status, Time back) {
  clock.after(hop(), [this, index, status, back] {
    rig::Try& t = observed_.tries[index];
    t.answers++;
    if (t.answered_at == kNever) t.answered_at = clock.now(), t.status = status;
    const auto it = open_.find(index);
    if (it == open_.end()) {
      figures_.doubled += t.reset_at == kNever && t.closed_at == kNever;
      return;
    }
    auto m = std::move(it->second);
    open_.erase(it);
    const bool served = status[0] == '2';
    if (served) {
      auto& s = second();
      s.served++, s.served_by_class[m.cls]++;
      s.in_aim += clock.now() - m.first_at <= s_.load.classes[m.cls].aim;
    }
    const auto next = book_.answered(m, status, back, clock.now());
    follow(std::move(m), next);
  });
}

void World::follow(rig::LoadBook::Message m, rig::LoadBook::Next next) {
  if (next.again) clock.after(next.wait, [this, m = std::move(m)]() mutable { submit(std::move(m)); });
}

void World::sample() {
  std::size_t held = 0;
  for (const auto& r : relays_) held += r->held();
  second().held = held;
  figures_.held_most = std::max(figures_.held_most, held);
  clock.after(1'000'000, [this] { sample(); });
}

Figures World::run() {
  const auto started = std::chrono::steady_clock::now();
  begun_ = clock.now();
  std::uint64_t seed = s_.seed;
  for (std::size_t d = 0; d < s_.destinations.size(); d++) {
    auto settings = s_.destinations[d].settings;
    partners_.push_back(std::make_unique<emulator::Partner>(settings, ++seed * 104'729));
    for (const auto& e : settings.endpoints) endpoints_[e.id] = {d, e, {}, {}, false, false};
  }
  auto list = standin::partner_list(s_.destinations, template_.names, 1,
                                    [this](std::size_t, std::size_t) { return next_address(); });
  for (int i = 0; i < s_.relays; i++) relays_.push_back(std::make_unique<Relay>(*this, i));
  script_ = std::make_unique<rig::Script>(s_, template_, *this, std::move(list));
  for (auto& r : relays_) r->start();
  script_->play();
  ask(), sample();
  clock.run(begun_ + s_.lasts, [] { return false; });
  asking_ = false;
  clock.run(begun_ + s_.lasts + s_.settle, [this] { return book_.waiting() == 0; });
  // Lets events finish that were under way when the last answer came.
  clock.run(clock.now() + 2'000'000, [] { return false; });
  script_->stop();

  Figures& f = figures_;
  for (const auto& c : s_.load.classes) f.class_names.push_back(c.name);
  f.tallies = book_.tallies();
  f.effects = effects_.size(), f.unanswered = book_.waiting(), f.events = clock.ran();
  for (const auto& r : relays_) f.connections += r->opened();
  std::set<const emulator::Place*> places;
  for (auto& [id, e] : endpoints_) places.insert(&partner(e).place_of(id));
  for (const auto* p : places) f.falls += static_cast<std::uint64_t>(p->falls());
  f.virtual_s = static_cast<double>(clock.now() - begun_) * 1e-6;
  if (options_.judge) {
    auto facts = script_->facts();
    facts.slack = 4 * hop() + template_.dispatcher.tick;  // no delays of processes or kernels here
    f.verdict = rig::check_rules(facts, observed_, effects_);
  }
  f.real_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  return std::move(figures_);
}

}  // namespace day

std::uint64_t Figures::asked() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.asked;
  return n;
}
double Figures::served_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.served;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double Figures::in_aim_share() const {
  std::uint64_t n = 0;
  for (const auto& t : tallies) n += t.in_aim;
  return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}
double Figures::attempts_per_message() const {
  return static_cast<double>(calls) / static_cast<double>(std::max<std::uint64_t>(1, asked()));
}

Figures run_virtual(const rig::Scenario& scenario, const WorldOptions& options) {
  return day::World(scenario, options).run();
}

}  // namespace cedarplank::lab
