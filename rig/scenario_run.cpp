#include "rig/scenario_run.hpp"

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
#include "rig/load_client.hpp"
#include "rig/process.hpp"
#include "rig/scenario_script.hpp"

namespace cedarplank::rig {
namespace {

namespace fs = std::filesystem;
constexpr Time kStartTimeout = 20'000'000, kExitTimeout = 40'000'000;

class ScenarioRun final : public ScenarioEnvironment {
 public:
  ScenarioRun(const Scenario& scenario, const ScenarioRunOptions& options)
      : scenario_(scenario), options_(options) {
    template_ = config::load_relay_settings(scenario_.relay_file);
    if (options.output_folder.empty()) {
      std::string name = (fs::temp_directory_path() / "cedarplank-drill-XXXXXX").string();
      if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("drill: no temporary folder can be made");
      folder_ = name, remove_folder_ = true;
    } else {
      folder_ = options.output_folder;
      fs::create_directories(folder_);
    }
  }
  ~ScenarioRun() {
    relays_.clear();
    std::error_code ignored;
    if (remove_folder_) fs::remove_all(folder_, ignored);
  }

  ScenarioRunResult run();

 private:
  struct Relay {
    std::string name, config, address, smpp, peer_address;
    std::unique_ptr<net::DatagramSocket>
        peer_proxy;  // where the other relays send their datagrams for this one
    std::unique_ptr<Process> process;
    Time started = 0;
    bool ready = false;
  };

  std::string unused_loopback_address();
  void start_standins();
  void write_config(Relay& r, int rank);
  void start_relay(Relay& r);
  void wait_for(const std::function<bool()>& done, Time within, const char* what);
  standin::Endpoint& endpoint(const std::string& id);

  Time now() override { return loop_.refresh_now(); }
  void run_at(Time when, std::function<void()> f) override { loop_.at(when, std::move(f)); }
  void begin_fault(const std::string& id, const emulator::FaultSettings& f) override {
    endpoint(id).begin(f);
  }
  void end_fault(const std::string& id, emulator::Fault f) override { endpoint(id).end(f); }
  std::string add_endpoint(std::size_t d, const emulator::EndpointSettings& settings) override {
    auto fresh = settings;
    fresh.address = unused_loopback_address();
    return standins_[d]->add(fresh).address();
  }
  void stop_endpoint(const std::string& id) override { endpoint(id).stop(); }
  void vanish_endpoint(const std::string& id) override {
    endpoint(id).begin({.fault = emulator::Fault::down});
  }
  void set_slowness(double times) override {
    for (auto& d : standins_)
      for (auto& e : d->endpoints()) d->capacity_of(e->id()).set_service_factor(times);
  }
  void publish(const config::PartnerList& list, ListState how) override;
  LoadModel& load_model() override { return client_->model(); }
  std::string relay_name(int relay) override { return relay_at(relay).name; }
  Time relay_started(int relay) override { return relay_at(relay).started; }
  void crash(int relay) override { relay_at(relay).process->signal(SIGKILL); }
  void start(int relay) override { start_relay(relay_at(relay)); }
  void stall(int relay) override { relay_at(relay).process->signal(SIGSTOP); }
  void resume(int relay) override { relay_at(relay).process->signal(SIGCONT); }
  void set_peer_loss(double share) override { note_loss_ = share; }
  Relay& relay_at(int relay) { return relays_[static_cast<std::size_t>(relay)]; }

  const Scenario& scenario_;
  const ScenarioRunOptions& options_;
  config::RelaySettings template_;
  std::string folder_;
  bool remove_folder_ = false;
  int next_host_ = 1;
  loop::Loop loop_;
  std::vector<record::CaptureRecord> records_;
  std::vector<standin::Effect> effects_;
  std::vector<std::unique_ptr<standin::Destination>> standins_;
  std::vector<Relay> relays_;
  std::unique_ptr<LoadClient> client_;
  std::unique_ptr<ScenarioScript> script_;
  double note_loss_ = 0;  // share of the datagrams between relays that is dropped
  pcg64 random_{1};
};

void ScenarioRun::wait_for(const std::function<bool()>& done, Time within, const char* what) {
  const Time until = loop_.refresh_now() + within;
  while (!done()) {
    if (loop_.refresh_now() > until) throw std::runtime_error(std::string("drill: ") + what);
    loop_.run_once(20'000);
  }
}

// A separate loopback address for each listener, different from those of other runs. Guards against another
// process being given the port while a stand-in is down or a relay is dead: connection sources and listeners
// on port 0 elsewhere are all on 127.0.0.1.
std::string ScenarioRun::unused_loopback_address() {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}:0", 64 + (pid >> 8) % 64, pid % 256, std::min(next_host_++, 254));
}

void ScenarioRun::start_standins() {
  const record::Sink sink = [this](record::CaptureRecord&& r) { records_.push_back(std::move(r)); };
  std::uint64_t seed = scenario_.seed;
  for (auto d : scenario_.destinations) {
    for (auto& e : d.settings.endpoints) e.address = unused_loopback_address();
    standins_.push_back(std::make_unique<standin::Destination>(
        loop_, d.settings, sink, [this](const standin::Effect& e) { effects_.push_back(e); },
        ++seed * 104'729));
  }
}

standin::Endpoint& ScenarioRun::endpoint(const std::string& id) {
  return *standin::find_endpoints(standins_, id).at(0);
}

void ScenarioRun::publish(const config::PartnerList& list, ListState how) {
  const std::string file = folder_ + "/partners.yaml", next = file + ".next";
  if (how == ListState::missing) {
    fs::remove(file);
    return;
  }
  std::string text = config::write_partners(list, template_.names);
  if (how == ListState::truncated) text.resize(text.size() * 2 / 3);
  std::ofstream(next, std::ios::trunc | std::ios::binary) << text;
  fs::rename(next, file);
}

void ScenarioRun::write_config(Relay& r, int rank) {
  YAML::Node node = YAML::Load(config::read_file(scenario_.relay_file));
  node["relay"]["name"] = r.name;
  node["relay"]["listen"] = r.address;
  node["relay"]["seed"] = scenario_.seed * 1000 + static_cast<std::uint64_t>(rank) + 1;
  if (node["smpp"]) node["smpp"]["listen"] = r.smpp;
  for (auto kind : node["kinds"])
    if (kind["smpp"])
      kind["smpp"]["system_id"] = r.name;  // so that the recording shows which relay a bind belongs to
  node["partners"]["file"] = "partners.yaml";
  node["partners"]["cache"] = r.name + "-partners.yaml";
  node["dispatcher"]["relays"] = scenario_.relays;
  node["dispatcher"]["rank"] = rank;
  node["peers"]["listen"] = r.peer_address;
  node["peers"]["relays"] = YAML::Node(YAML::NodeType::Sequence);
  for (std::size_t i = 0; i < relays_.size(); i++) {
    YAML::Node peer;
    peer["rank"] = static_cast<int>(i);
    // Datagrams for another relay pass through a proxy in this process, which may drop some.
    peer["address"] =
        static_cast<int>(i) == rank ? relays_[i].peer_address : relays_[i].peer_proxy->address().text();
    node["peers"]["relays"].push_back(peer);
  }
  std::ofstream(r.config) << node << "\n";
}

void ScenarioRun::start_relay(Relay& r) {
  auto command = options_.relay_command;
  command.insert(command.end(), {"--config", r.config});
  r.ready = false;
  auto log = std::make_shared<std::ofstream>(folder_ + "/" + r.name + ".log", std::ios::app);
  r.started = loop_.refresh_now();
  r.process = std::make_unique<Process>(loop_, command, [&r, log](const std::string& line) {
    *log << line << std::endl;
    rapidjson::Document d;
    d.Parse(line.c_str());
    if (d.HasParseError() || !d.IsObject() || !d.HasMember("event")) return;
    if (std::string(d["event"].GetString()) == "ready") {
      r.address = d["listen"].GetString(), r.ready = true;
      if (d.HasMember("smpp") && d["smpp"].GetStringLength() > 0) r.smpp = d["smpp"].GetString();
    }
  });
}

ScenarioRunResult ScenarioRun::run() {
  const Time began = loop_.refresh_now();
  start_standins();
  script_ = std::make_unique<ScenarioScript>(
      scenario_, template_, *this,
      standin::partner_list(scenario_.destinations, standins_, template_.names, 1));
  for (int i = 0; i < scenario_.relays; i++) {
    Relay r;
    r.name = "relay-" + std::to_string(i);
    r.config = folder_ + "/" + r.name + ".yaml";
    r.address = unused_loopback_address();
    r.smpp = r.address;  // port 0 of the same address
    // Nobody else uses this address, so a port that is free now stays free.
    net::DatagramSocket probe(loop_, net::Address::parse(r.address),
                              [](std::string_view, const net::Address&) {});
    r.peer_address = probe.address().text();
    r.peer_proxy = std::make_unique<net::DatagramSocket>(
        loop_, net::Address::parse(r.address), [this, i](std::string_view bytes, const net::Address&) {
          if (std::uniform_real_distribution<double>()(random_) < note_loss_) return;
          relay_at(i).peer_proxy->send(net::Address::parse(relay_at(i).peer_address), bytes);
        });
    relays_.push_back(std::move(r));
  }
  for (int i = 0; i < scenario_.relays; i++) write_config(relays_[static_cast<std::size_t>(i)], i);
  for (auto& r : relays_) start_relay(r);
  wait_for(
      [&] {
        for (auto& r : relays_)
          if (!r.ready && !r.process->running())
            throw std::runtime_error("drill: " + r.name + " did not start; see its log:\n" +
                                     config::read_file(folder_ + "/" + r.name + ".log"));
        return std::all_of(relays_.begin(), relays_.end(), [](const auto& r) { return r.ready; });
      },
      kStartTimeout, "the relays did not start in time");
  // Written again with the ports in use: a relay that is started again after a crash listens on the same
  // ones.
  for (int i = 0; i < scenario_.relays; i++) write_config(relays_[static_cast<std::size_t>(i)], i);

  std::vector<Target> targets;
  for (const auto& r : relays_) targets.push_back({r.name, r.address});
  if (scenario_.load.smpp_share > 0)
    for (const auto& r : relays_)
      targets.push_back({r.name, r.smpp, scenario_.load.smpp_system_id, scenario_.load.smpp_password});
  LoadSettings load = scenario_.load;
  load.seed = scenario_.seed;
  std::uint64_t turn = 0;
  const auto router = [&](const LoadClient::Message& m, const std::vector<bool>& up) {
    // Messages with the same order key go to the same relay while it runs; others are distributed in turn.
    std::size_t at = m.topic.empty() ? static_cast<std::size_t>(turn++) : std::hash<std::string>()(m.topic);
    const std::size_t n = relays_.size(), first = client_->model().uses_smpp(m) ? n : 0;
    for (std::size_t i = 0; i < n; i++, at++)
      if (up[first + at % n]) break;
    return std::pair(first + at % n,
                     "/push/" + load.destinations[m.destination] + "/" + load.classes[m.cls].name);
  };
  client_ = std::make_unique<LoadClient>(
      loop_, load, targets, router, [this](record::CaptureRecord&& r) { records_.push_back(std::move(r)); });
  client_->start();
  const Time start = loop_.refresh_now();
  script_->start();
  Time reported = start;
  const auto progress = [&] {
    if (options_.quiet || loop_.now() < reported + 5'000'000) return;
    reported = loop_.now();
    fmt::print(stderr, "{:>4} s: {} asked, {} answered, {} effects\n", (loop_.now() - start) / 1'000'000,
               client_->created(), client_->answered(), effects_.size());
  };
  while (loop_.refresh_now() < start + scenario_.lasts) loop_.run_once(20'000), progress();
  client_->stop_creating();
  const Time settle = loop_.refresh_now() + scenario_.settle;
  while (!client_->done() && loop_.refresh_now() < settle) loop_.run_once(20'000), progress();

  ScenarioRunResult result;
  result.unanswered = client_->unanswered();
  for (auto& r : relays_) r.process->signal(SIGTERM);
  const Time until = loop_.refresh_now() + kExitTimeout;
  for (auto& r : relays_) {
    while (r.process->running() && loop_.refresh_now() < until) loop_.run_once(20'000);
    if (r.process->running() || r.process->exit_code() != 0) result.relays_exited_cleanly = false;
  }
  script_->stop();
  result.duration_s = static_cast<double>(loop_.refresh_now() - began) * 1e-6;
  for (auto& d : standins_) {
    std::set<const standin::CapacityModel*> places;
    for (auto& e : d->endpoints()) places.insert(&d->capacity_of(e->id()));
    for (const auto* p : places) result.overloads += static_cast<std::uint64_t>(p->overloads());
  }
  for (const auto& c : load.classes) result.class_names.push_back(c.name);
  result.tallies = client_->tallies();
  result.duplicate_answers = client_->duplicate_answers();
  result.effects = effects_.size();
  if (!options_.output_folder.empty()) {
    std::ofstream frames(folder_ + "/frames.jsonl"), effects(folder_ + "/effects.txt");
    for (const auto& r : records_) frames << record::to_json(r) << '\n';
    for (const auto& e : effects_)
      effects << e.at << ' ' << e.endpoint << ' ' << e.destination << ' ' << e.message << ' ' << e.key
              << '\n';
  }
  const auto input = script_->checker_input();
  const auto observed = observe(std::move(records_), input.unseen_503);
  result.calls = observed.calls.size();
  for (const auto& c : observed.calls) result.refused_calls += c.status == "429" || c.status == "503";
  result.check = check_rules(input, observed, effects_);
  return result;
}

}  // namespace

std::string ScenarioRunResult::table() const {
  std::string out =
      fmt::format("{:<16} {:>7} {:>7} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>9} {:>9}\n", "class", "asked",
                  "tries", "served", "refused", "failed", "bad", "lost", "reset", "p50 ms", "p99 ms");
  for (std::size_t i = 0; i < tallies.size(); i++) {
    auto t = tallies[i];
    out += fmt::format(
        "{:<16} {:>7} {:>7} {:>7.1f}% {:>7.1f}% {:>7.1f}% {:>6} {:>6} {:>6} {:>9.1f} {:>9.1f}\n",
        class_names[i], t.created, t.requests,
        100.0 * static_cast<double>(t.served) / static_cast<double>(std::max<std::uint64_t>(1, t.created)),
        100.0 * static_cast<double>(t.refused) / static_cast<double>(std::max<std::uint64_t>(1, t.created)),
        100.0 * static_cast<double>(t.failed) / static_cast<double>(std::max<std::uint64_t>(1, t.created)),
        t.unexpected, t.lost, t.reset, static_cast<double>(percentile(t.latencies, 0.5)) * 1e-3,
        static_cast<double>(percentile(t.latencies, 0.99)) * 1e-3);
  }
  out += format_check_result(check);
  out += fmt::format("effects {}, destinations fallen {}, without an answer {}, relays ended {}, {:.1f} s\n",
                     effects, overloads, unanswered, relays_exited_cleanly ? "well" : "BADLY", duration_s);
  return out;
}

ScenarioRunResult run_scenario(const Scenario& scenario, const ScenarioRunOptions& options) {
  return ScenarioRun(scenario, options).run();
}

}  // namespace cedarplank::rig
