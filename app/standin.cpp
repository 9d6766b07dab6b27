// `cedarplank standin`: serves emulated push gateways and message centres.
#include <signal.h>

#include <fstream>

#include "app/commands.hpp"
#include "app/json_log.hpp"
#include "standin/settings.hpp"

namespace cedarplank::app {
namespace {

int run_standin(const std::string& config) {
  const auto settings = standin::load_standin_settings(config);
  loop::Loop loop;
  JsonLog log("standin");
  std::ofstream effects, frames;
  if (!settings.effects_file.empty()) effects.open(settings.effects_file, std::ios::trunc);
  if (!settings.frames_file.empty()) frames.open(settings.frames_file, std::ios::trunc);
  const record::Sink sink = [&](record::CaptureRecord&& r) {
    if (frames.is_open()) frames << record::to_json(r) << '\n';
  };
  std::uint64_t count = 0;
  const auto effect = [&](const standin::Effect& e) {
    count++;
    if (effects.is_open())
      effects << e.at << ' ' << e.endpoint << ' ' << e.destination << ' '
              << (e.message.empty() ? "-" : e.message) << ' ' << (e.key.empty() ? "-" : e.key) << std::endl;
  };
  std::vector<std::unique_ptr<standin::Destination>> all;
  std::uint64_t seed = settings.seed;
  for (const auto& d : settings.destinations)
    all.push_back(std::make_unique<standin::Destination>(loop, d.settings, sink, effect, ++seed * 104729));
  for (const auto& f : settings.faults) {
    for (const auto& name : f.on) {
      for (auto* e : standin::find_endpoints(all, name)) {
        loop.after(f.at, [&log, e, f] {
          log.write("fault_begins", {{"endpoint", e->id()}});
          e->begin(f.settings);
        });
        if (f.lasts > 0)
          loop.after(f.at + f.lasts, [&log, e, f] {
            log.write("fault_ends", {{"endpoint", e->id()}});
            e->end(f.settings.fault);
          });
      }
    }
  }
  if (!settings.partners_file.empty()) {
    config::Names names;
    for (const auto& d : settings.destinations) {
      if (!d.kind.empty() && std::find(names.kinds.begin(), names.kinds.end(), d.kind) == names.kinds.end())
        names.kinds.push_back(d.kind);
      for (const auto& z : d.zones)
        if (!z.empty() && std::find(names.zones.begin(), names.zones.end(), z) == names.zones.end())
          names.zones.push_back(z);
    }
    std::ofstream out(settings.partners_file + ".next", std::ios::trunc);
    out << config::write_partners(standin::partner_list(settings.destinations, all, names, 1), names);
    out.close();
    std::rename((settings.partners_file + ".next").c_str(), settings.partners_file.c_str());
  }
  const auto stop = [&] {
    log.write("stopped", {{"effects", std::to_string(count)}});
    loop.stop();
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  std::string addresses;
  std::size_t endpoints = 0;
  for (auto& d : all)
    for (auto& e : d->endpoints()) {
      if (endpoints++ < 8) addresses += (addresses.empty() ? "" : " ") + e->id() + "=" + e->address();
    }
  log.write("ready", {{"endpoints", std::to_string(endpoints)}, {"first", addresses}});
  loop.run();
  return ExitCode::ok;
}

}  // namespace

void add_standin(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand("standin", "serve stand-in push gateways");
  auto config = std::make_shared<std::string>();
  command->add_option("--config", *config, "settings of the stand-ins (YAML)")->required();
  command->callback([config, &run] { run = [config] { return run_standin(*config); }; });
}

}  // namespace cedarplank::app
