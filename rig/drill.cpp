#include "rig/drill.hpp"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

#include "config/partners.hpp"
#include "config/relay_settings.hpp"
#include "net/datagram.hpp"
#include "rig/process.hpp"

namespace cedarplank::rig {
namespace {

namespace fs = std::filesystem;
constexpr Time kStartWithin = 20'000'000, kEndWithin = 40'000'000;
constexpr Time kDrainThenGone = 3'000'000, kGoneThenStop = 2'000'000;

class Drill {
 public:
  Drill(const Scenario& scenario, const DrillOptions& options)
      : s_(scenario), options_(options), random_(scenario.seed * 31 + 7) {
    template_ = config::load_relay_settings(s_.relay_file);
    if (options.keep.empty()) {
      std::string name = (fs::temp_directory_path() / "cedarplank-drill-XXXXXX").string();
      if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("drill: no temporary folder can be made");
      folder_ = name, remove_ = true;
    } else {
      folder_ = options.keep;
      fs::create_directories(folder_);
    }
  }
  ~Drill() {
    relays_.clear();
    std::error_code ignored;
    if (remove_) fs::remove_all(folder_, ignored);
  }

  DrillResult run();

 private:
  struct Relay {
    std::string name, config, address, notes;
    std::unique_ptr<Process> process;
    Time started = 0;
    bool ready = false;
  };

  std::string own_address();
  void start_standins();
  void write_list();
  void publish();
  void write_config(Relay& r, int rank);
  void start_relay(Relay& r);
  void wait_for(const std::function<bool()>& done, Time within, const char* what);
  void begin(const Trouble& t);
  void end(const Trouble& t);
  void deploy(const Trouble& t);
  void drain_one(standin::Destination& d, const std::string& id);
  void outage(const std::string& endpoint, bool begins);
  Facts facts();

  const Scenario& s_;
  const DrillOptions& options_;
  config::RelaySettings template_;
  std::string folder_;
  bool remove_ = false;
  int next_host_ = 1;
  loop::Loop loop_;
  pcg64 random_;
  std::vector<record::Record> records_;
  std::vector<standin::Effect> effects_;
  std::vector<std::unique_ptr<standin::Destination>> standins_;
  std::vector<Relay> relays_;
  std::unique_ptr<LoadClient> client_;
  config::PartnerList list_;
  bool list_blocked_ = false, list_half_ = false;
  Time list_late_ = 0;
  Facts facts_;
  std::vector<std::pair<std::string, Time>>
      pending_told_;  // changes of the list that no relay can have read yet
  std::map<std::string, Time> out_since_;
  std::map<std::string, int> out_count_;
  bool over_ = false;
};

void Drill::wait_for(const std::function<bool()>& done, Time within, const char* what) {
  const Time until = loop_.refresh() + within;
  while (!done()) {
    if (loop_.refresh() > until) throw std::runtime_error(std::string("drill: ") + what);
    loop_.run_once(20'000);
  }
}

// A loopback address of its own for each listener, apart from those of other drills. Guards against a port
// that another process is given while a stand-in is down or a relay is dead: sources of connections and
// listeners on port 0 elsewhere are all on 127.0.0.1.
std::string Drill::own_address() {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}:0", 64 + (pid >> 8) % 64, pid % 256, std::min(next_host_++, 254));
}

void Drill::start_standins() {
  const record::Sink sink = [this](record::Record&& r) { records_.push_back(std::move(r)); };
  std::uint64_t seed = s_.seed;
  for (auto d : s_.destinations) {
    for (auto& e : d.settings.endpoints) e.address = own_address();
    standins_.push_back(std::make_unique<standin::Destination>(
        loop_, d.settings, sink, [this](const standin::Effect& e) { effects_.push_back(e); },
        ++seed * 104'729));
  }
  list_ = standin::partner_list(s_.destinations, standins_, template_.names, 1);
  for (std::size_t d = 0; d < standins_.size(); d++) {
    const auto& settings = s_.destinations[d].settings;
    for (const auto& e : standins_[d]->endpoints()) {
      const std::string place = settings.routes_apart ? e->id() : settings.name;
      facts_.place_of[e->id()] = place;
      auto& p = facts_.places[place];
      const auto& m = settings.place;
      p.capacity = static_cast<double>(m.servers) / (static_cast<double>(m.service) * 1e-6);
      p.cold_from = m.cold_from, p.fall_multiple = m.fall_multiple, p.cold = m.cold,
      p.overload_for = m.overload_for;
    }
  }
}

// A change of the list: written at once, or later where the script says so.
void Drill::write_list() {
  list_.version++;
  if (list_late_ > 0)
    loop_.after(list_late_, [this] { publish(); });
  else
    publish();
}

void Drill::publish() {
  if (over_ || list_blocked_) return;
  const std::string file = folder_ + "/partners.yaml", next = file + ".next";
  std::string text = config::write_partners(list_, template_.names);
  if (list_half_) text.resize(text.size() * 2 / 3);
  std::ofstream(next, std::ios::trunc | std::ios::binary) << text;
  fs::rename(next, file);
  if (list_half_) return;
  for (const auto& [endpoint, at] : pending_told_) facts_.told.push_back({endpoint, loop_.refresh()});
  pending_told_.clear();
}

void Drill::write_config(Relay& r, int rank) {
  YAML::Node node = YAML::Load(config::read_file(s_.relay_file));
  node["relay"]["name"] = r.name;
  node["relay"]["listen"] = r.address;
  node["relay"]["seed"] = s_.seed * 1000 + static_cast<std::uint64_t>(rank) + 1;
  node["partners"]["file"] = "partners.yaml";
  node["partners"]["cache"] = r.name + "-partners.yaml";
  node["dispatcher"]["relays"] = s_.relays;
  node["dispatcher"]["rank"] = rank;
  node["peers"]["listen"] = r.notes;
  node["peers"]["relays"] = YAML::Node(YAML::NodeType::Sequence);
  for (std::size_t i = 0; i < relays_.size(); i++) {
    YAML::Node peer;
    peer["rank"] = static_cast<int>(i);
    peer["address"] = relays_[i].notes;
    node["peers"]["relays"].push_back(peer);
  }
  std::ofstream(r.config) << node << "\n";
}

void Drill::start_relay(Relay& r) {
  auto command = options_.relay_command;
  command.insert(command.end(), {"--config", r.config});
  r.ready = false;
  auto log = std::make_shared<std::ofstream>(folder_ + "/" + r.name + ".log", std::ios::app);
  r.started = loop_.refresh();
  r.process = std::make_unique<Process>(loop_, command, [&r, log](const std::string& line) {
    *log << line << std::endl;
    rapidjson::Document d;
    d.Parse(line.c_str());
    if (d.HasParseError() || !d.IsObject() || !d.HasMember("event")) return;
    if (std::string(d["event"].GetString()) == "ready") r.address = d["listen"].GetString(), r.ready = true;
  });
}

void Drill::outage(const std::string& endpoint, bool begins) {
  const std::string place = facts_.place_of[endpoint];
  int& n = out_count_[place];
  if (begins) {
    if (n++ == 0) out_since_[place] = loop_.refresh();
  } else if (n > 0 && --n == 0) {
    facts_.places[place].outages.emplace_back(out_since_[place], loop_.refresh());
  }
}

void Drill::drain_one(standin::Destination& d, const std::string& id) {
  // The new one is listed as the old one drains; then the old one leaves the list, then it stops.
  standin::EndpointSettings fresh;
  fresh.id = id + "r", fresh.address = own_address();
  fresh.streams_max = d.settings().endpoints.front().streams_max;
  fresh.connections_max = d.settings().endpoints.front().connections_max;
  const std::string address = d.add(fresh).address();
  facts_.place_of[fresh.id] = d.settings().routes_apart ? fresh.id : d.settings().name;
  if (d.settings().routes_apart)
    facts_.places[fresh.id] = facts_.places[id], facts_.places[fresh.id].outages.clear();
  const auto old =
      std::find_if(list_.endpoints.begin(), list_.endpoints.end(), [&](const auto& e) { return e.id == id; });
  if (old == list_.endpoints.end()) return;
  facts_.unseen_503[fresh.id] = facts_.unseen_503[id];
  config::PartnerEndpoint entry = *old;
  entry.id = fresh.id, entry.address = address;
  old->listing = Listing::draining;
  list_.endpoints.push_back(entry);
  pending_told_.emplace_back(id, loop_.now());
  write_list();
  loop_.after(kDrainThenGone, [this, id] {
    std::erase_if(list_.endpoints, [&](const auto& e) { return e.id == id; });
    write_list();
  });
  loop_.after(kDrainThenGone + kGoneThenStop + list_late_, [this, &d, id] {
    for (auto& e : d.endpoints())
      if (e->id() == id && !over_) e->stop();
  });
}

void Drill::deploy(const Trouble& t) {
  std::vector<std::pair<std::size_t, std::string>> chosen;
  for (std::size_t d = 0; d < standins_.size(); d++)
    for (const auto& e : standins_[d]->endpoints()) {
      const bool named = std::find(t.on.begin(), t.on.end(), standins_[d]->settings().name) != t.on.end() ||
                         std::find(t.on.begin(), t.on.end(), e->id()) != t.on.end();
      if (named && std::uniform_real_distribution<double>()(random_) < t.share)
        chosen.emplace_back(d, e->id());
    }
  for (std::size_t i = 0; i < chosen.size(); i++) {
    const Time after = t.lasts * static_cast<Time>(i) / static_cast<Time>(chosen.size());
    loop_.after(after, [this, one = chosen[i]] {
      if (!over_) drain_one(*standins_[one.first], one.second);
    });
  }
}

void Drill::begin(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      for (const auto& name : t.on)
        for (auto* e : standin::find_endpoints(standins_, name)) {
          e->begin(t.fault.settings);
          if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) outage(e->id(), true);
        }
      return;
    case TroubleKind::burst:
      return client_->set_rate_times(t.times);
    case TroubleKind::hot: {
      const auto& all = s_.load.destinations;
      return client_->set_hot(static_cast<int>(std::find(all.begin(), all.end(), t.on[0]) - all.begin()),
                              t.share);
    }
    case TroubleKind::deploy:
      return deploy(t);
    case TroubleKind::list_late:
      list_late_ = t.by;
      return;
    case TroubleKind::list_unreadable:
      list_blocked_ = true;
      fs::remove(folder_ + "/partners.yaml");
      return;
    case TroubleKind::list_half_written:
      list_half_ = true;
      return publish();
    case TroubleKind::relay_crash: {
      auto& r = relays_[static_cast<std::size_t>(t.relay)];
      r.process->signal(SIGKILL);
      facts_.lives.push_back({r.name, r.started, loop_.refresh()});
      return;
    }
    case TroubleKind::relay_stall: {
      auto& r = relays_[static_cast<std::size_t>(t.relay)];
      r.process->signal(SIGSTOP);
      facts_.stalls.push_back({r.name, loop_.refresh(), loop_.now() + t.lasts});
      return;
    }
    case TroubleKind::shared_slow:
      for (auto& d : standins_)
        for (auto& e : d->endpoints()) d->place_of(e->id()).set_slowness(t.times);
      return;
  }
}

void Drill::end(const Trouble& t) {
  switch (t.kind) {
    case TroubleKind::fault:
      for (const auto& name : t.on)
        for (auto* e : standin::find_endpoints(standins_, name)) {
          e->end(t.fault.settings.fault);
          if (emulator::is_outage(t.fault.settings.fault, t.fault.settings.share)) outage(e->id(), false);
        }
      return;
    case TroubleKind::burst:
      return client_->set_rate_times(1);
    case TroubleKind::hot:
      return client_->set_hot(-1, 0);
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
      return start_relay(relays_[static_cast<std::size_t>(t.relay)]);
    case TroubleKind::relay_stall: {
      auto& r = relays_[static_cast<std::size_t>(t.relay)];
      r.process->signal(SIGCONT);
      for (auto& span : facts_.stalls)
        if (span.relay == r.name) span.to = std::max(span.to, loop_.refresh());
      return;
    }
    case TroubleKind::shared_slow:
      for (auto& d : standins_)
        for (auto& e : d->endpoints()) d->place_of(e->id()).set_slowness(1);
      return;
    case TroubleKind::deploy:
      return;
  }
}

Facts Drill::facts() {
  Facts f = facts_;
  for (std::size_t i = 0; i < template_.names.classes.size(); i++) {
    const auto& c = template_.dispatcher.classes[i];
    f.classes[template_.names.classes[i]] = {c.effect, c.deadline, c.ordered};
  }
  f.drain_grace = template_.dispatcher.drain_grace, f.answer_slack = template_.dispatcher.answer_slack;
  f.settle_after_doubt = template_.dispatcher.settle_after_doubt, f.reread = template_.partners_reread;
  return f;
}

DrillResult Drill::run() {
  const Time begun = loop_.refresh();
  start_standins();
  for (const auto& e : list_.endpoints) {
    const auto kind = static_cast<std::size_t>(e.kind);
    facts_.unseen_503[e.id] = kind < template_.kind_wire.size() && template_.kind_wire[kind].unseen_503;
  }
  publish();
  for (int i = 0; i < s_.relays; i++) {
    Relay r;
    r.name = "relay-" + std::to_string(i);
    r.config = folder_ + "/" + r.name + ".yaml";
    r.address = own_address();
    // On an address that nobody else uses a port that is free now stays free.
    net::Datagrams probe(loop_, net::Address::parse(r.address), [](std::string_view) {});
    r.notes = probe.address().text();
    relays_.push_back(std::move(r));
  }
  for (int i = 0; i < s_.relays; i++) write_config(relays_[static_cast<std::size_t>(i)], i);
  for (auto& r : relays_) start_relay(r);
  wait_for(
      [&] {
        for (auto& r : relays_)
          if (!r.ready && !r.process->running())
            throw std::runtime_error("drill: " + r.name + " did not start; see its log:\n" +
                                     config::read_file(folder_ + "/" + r.name + ".log"));
        return std::all_of(relays_.begin(), relays_.end(), [](const auto& r) { return r.ready; });
      },
      kStartWithin, "the relays did not start in time");
  // Started anew after a crash, a relay listens where it did.
  for (int i = 0; i < s_.relays; i++) write_config(relays_[static_cast<std::size_t>(i)], i);

  std::vector<Target> targets;
  for (const auto& r : relays_) targets.push_back({r.name, r.address});
  LoadSettings load = s_.load;
  load.seed = s_.seed;
  std::uint64_t turn = 0;
  const auto router = [&](const LoadClient::Message& m, const std::vector<bool>& up) {
    // Messages of one key keep to one relay while it runs; the others go round.
    std::size_t at = m.topic.empty() ? static_cast<std::size_t>(turn++) : std::hash<std::string>()(m.topic);
    for (std::size_t i = 0; i < up.size(); i++, at++)
      if (up[at % up.size()]) break;
    return std::pair(at % up.size(),
                     "/push/" + load.destinations[m.destination] + "/" + load.classes[m.cls].name);
  };
  client_ = std::make_unique<LoadClient>(loop_, load, targets, router,
                                         [this](record::Record&& r) { records_.push_back(std::move(r)); });
  client_->start();
  const Time start = loop_.refresh();
  for (const auto& t : s_.troubles) {
    loop_.at(start + t.at, [this, &t] { begin(t); });
    if (t.lasts > 0) loop_.at(start + t.at + t.lasts, [this, &t] { end(t); });
  }
  Time told = start;
  const auto progress = [&] {
    if (options_.quiet || loop_.now() < told + 5'000'000) return;
    told = loop_.now();
    fmt::print(stderr, "{:>4} s: {} asked, {} answered, {} effects\n", (loop_.now() - start) / 1'000'000,
               client_->asked(), client_->answered(), effects_.size());
  };
  while (loop_.refresh() < start + s_.lasts) loop_.run_once(20'000), progress();
  client_->stop_asking();
  const Time settle = loop_.refresh() + s_.settle;
  while (!client_->done() && loop_.refresh() < settle) loop_.run_once(20'000), progress();

  DrillResult result;
  result.unanswered = client_->waiting();
  for (auto& r : relays_) r.process->signal(SIGTERM);
  const Time until = loop_.refresh() + kEndWithin;
  for (auto& r : relays_) {
    while (r.process->running() && loop_.refresh() < until) loop_.run_once(20'000);
    if (r.process->running() || r.process->exit_code() != 0) result.relays_ended_well = false;
  }
  over_ = true;
  result.took_s = static_cast<double>(loop_.refresh() - begun) * 1e-6;
  for (auto& d : standins_) {
    std::set<const standin::Place*> places;
    for (auto& e : d->endpoints()) places.insert(&d->place_of(e->id()));
    for (const auto* p : places) result.falls += static_cast<std::uint64_t>(p->falls());
  }
  for (const auto& c : load.classes) result.class_names.push_back(c.name);
  result.tallies = client_->tallies();
  result.doubled = client_->doubled();
  result.effects = effects_.size();
  if (!options_.keep.empty()) {
    std::ofstream frames(folder_ + "/frames.jsonl"), effects(folder_ + "/effects.txt");
    for (const auto& r : records_) frames << record::to_json(r) << '\n';
    for (const auto& e : effects_)
      effects << e.at << ' ' << e.endpoint << ' ' << e.destination << ' ' << e.message << ' ' << e.key
              << '\n';
  }
  result.verdict = check_rules(facts(), std::move(records_), effects_);
  return result;
}

}  // namespace

std::string DrillResult::table() const {
  std::string out =
      fmt::format("{:<16} {:>7} {:>7} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>9} {:>9}\n", "class", "asked",
                  "tries", "served", "refused", "failed", "bad", "lost", "reset", "p50 ms", "p99 ms");
  for (std::size_t i = 0; i < tallies.size(); i++) {
    auto t = tallies[i];
    out += fmt::format(
        "{:<16} {:>7} {:>7} {:>7.1f}% {:>7.1f}% {:>7.1f}% {:>6} {:>6} {:>6} {:>9.1f} {:>9.1f}\n",
        class_names[i], t.asked, t.tries,
        100.0 * static_cast<double>(t.served) / static_cast<double>(std::max<std::uint64_t>(1, t.asked)),
        100.0 * static_cast<double>(t.refused) / static_cast<double>(std::max<std::uint64_t>(1, t.asked)),
        100.0 * static_cast<double>(t.failed) / static_cast<double>(std::max<std::uint64_t>(1, t.asked)),
        t.bad, t.lost, t.reset, static_cast<double>(percentile(t.latencies, 0.5)) * 1e-3,
        static_cast<double>(percentile(t.latencies, 0.99)) * 1e-3);
  }
  out += table_of(verdict);
  out += fmt::format("effects {}, destinations fallen {}, without an answer {}, relays ended {}, {:.1f} s\n",
                     effects, falls, unanswered, relays_ended_well ? "well" : "BADLY", took_s);
  return out;
}

DrillResult run_drill(const Scenario& scenario, const DrillOptions& options) {
  return Drill(scenario, options).run();
}

}  // namespace cedarplank::rig
