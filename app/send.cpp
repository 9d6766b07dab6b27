// `cedarplank send`: a load generator that sends messages to relays or endpoints and tabulates the answers.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "app/commands.hpp"
#include "rig/load_client.hpp"

namespace cedarplank::app {
namespace {

struct Options {
  std::vector<std::string> to;
  std::string mix = "load-status:safe:0.6:6", destinations, tenants, tenant_field = "x-tenant";
  double rate = 0, skew = 0.8;
  std::uint64_t count = 1000, seed = 1;
  std::size_t outstanding = 200, body = 256;
  int connections = 1, retries = 0;
  bool direct = false, quiet = false;
  std::string smpp;
};

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, at);)
    if (!part.empty()) parts.push_back(part);
  return parts;
}

int run_send(const Options& o) {
  rig::LoadSettings s;
  s.seed = o.seed, s.rate = o.rate, s.count = o.count, s.outstanding = o.outstanding, s.body = o.body;
  s.connections = o.connections, s.retries = o.retries, s.skew = o.skew;
  s.tenants = split(o.tenants, ','), s.tenant_field = o.tenant_field;
  s.destinations = split(o.destinations, ',');
  if (s.destinations.empty()) throw std::invalid_argument("send: --destinations is empty");
  for (const auto& one : split(o.mix, ',')) {
    const auto parts = split(one, ':');
    if (parts.size() < 4 || parts.size() > 5)
      throw std::invalid_argument("send: --mix: '" + one + "' is not NAME:EFFECT:SHARE:DEADLINE_S[:ordered]");
    rig::LoadClass c;
    c.name = parts[0];
    if (parts[1] != "safe" && parts[1] != "keyed" && parts[1] != "unsafe")
      throw std::invalid_argument("send: --mix: '" + parts[1] + "' is neither safe, keyed nor unsafe");
    c.effect = parts[1] == "safe" ? Effect::safe : parts[1] == "keyed" ? Effect::keyed : Effect::unsafe;
    c.share = std::stod(parts[2]), c.deadline = static_cast<Time>(std::stod(parts[3]) * 1e6);
    c.ordered = parts.size() > 4 && parts[4] == "ordered";
    s.classes.push_back(c);
  }
  std::vector<rig::Target> targets;
  std::string system_id, password;
  if (!o.smpp.empty()) {
    const auto at = o.smpp.find(':');
    if (at == std::string::npos || at == 0)
      throw std::invalid_argument("send: --smpp: expected SYSTEM_ID:PASSWORD");
    system_id = o.smpp.substr(0, at), password = o.smpp.substr(at + 1);
  }
  for (const auto& address : o.to) targets.push_back({address, address, system_id, password});
  loop::Loop loop;
  std::uint64_t turn = 0;
  rig::LoadClient client(loop, s, targets, [&](const rig::LoadClient::Message& m, const std::vector<bool>&) {
    // Direct mode: destination i goes to address i of --to, modulo their number.
    if (o.direct) return std::pair(m.destination % targets.size(), std::string("/push"));
    return std::pair(static_cast<std::size_t>(turn++ % targets.size()),
                     "/push/" + s.destinations[m.destination] + "/" + s.classes[m.cls].name);
  });
  client.on_done([&] { loop.stop(); });
  const Time begun = loop.refresh_now();
  std::function<void()> progress = [&] {
    std::fprintf(stderr, "\r%llu asked, %llu answered", static_cast<unsigned long long>(client.created()),
                 static_cast<unsigned long long>(client.answered()));
    loop.after(500'000, progress);
  };
  if (!o.quiet) loop.after(500'000, progress);
  client.start();
  loop.run();
  const double took = static_cast<double>(loop.refresh_now() - begun) * 1e-6;
  if (!o.quiet) std::fprintf(stderr, "\n");
  std::printf("%-16s %8s %8s %8s %8s %8s %8s %10s %10s %10s\n", "class", "asked", "served", "refused",
              "failed", "bad", "lost", "p50 ms", "p90 ms", "p99 ms");
  std::vector<Time> all;
  std::uint64_t answers = 0, bad = 0;
  for (std::size_t i = 0; i < s.classes.size(); i++) {
    auto t = client.tallies()[i];
    all.insert(all.end(), t.latencies.begin(), t.latencies.end());
    answers += t.served + t.refused + t.failed, bad += t.unexpected + t.lost;
    std::printf("%-16s %8llu %8llu %8llu %8llu %8llu %8llu %10.2f %10.2f %10.2f\n", s.classes[i].name.c_str(),
                static_cast<unsigned long long>(t.created), static_cast<unsigned long long>(t.served),
                static_cast<unsigned long long>(t.refused), static_cast<unsigned long long>(t.failed),
                static_cast<unsigned long long>(t.unexpected), static_cast<unsigned long long>(t.lost),
                static_cast<double>(rig::percentile(t.latencies, 0.5)) * 1e-3,
                static_cast<double>(rig::percentile(t.latencies, 0.9)) * 1e-3,
                static_cast<double>(rig::percentile(t.latencies, 0.99)) * 1e-3);
  }
  std::printf(
      "final answers %llu, doubled %llu, in %.2f s: %.0f messages a second; served p50 %.2f ms, p99 %.2f "
      "ms\n",
      static_cast<unsigned long long>(answers), static_cast<unsigned long long>(client.duplicate_answers()),
      took, static_cast<double>(client.answered()) / took,
      static_cast<double>(rig::percentile(all, 0.5)) * 1e-3,
      static_cast<double>(rig::percentile(all, 0.99)) * 1e-3);
  return client.duplicate_answers() == 0 && bad == 0 ? ExitCode::ok : ExitCode::failed;
}

}  // namespace

void add_send(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand("send", "push messages and table their answers");
  auto o = std::make_shared<Options>();
  command->add_option("--to", o->to, "addresses of relays (or of endpoints with --direct)")->required();
  command->add_option("--destinations", o->destinations, "names, by commas; the first get the most")
      ->required();
  command->add_option("--mix", o->mix, "classes by commas: NAME:EFFECT:SHARE:DEADLINE_S[:ordered]")
      ->capture_default_str();
  command->add_option("--count", o->count, "messages in all")->capture_default_str();
  command->add_option("--rate", o->rate, "messages a second; 0: as fast as answers come")
      ->capture_default_str();
  command->add_option("--outstanding", o->outstanding, "messages without an answer at most")
      ->capture_default_str();
  command->add_option("--connections", o->connections, "connections to each target")->capture_default_str();
  command->add_option("--retries", o->retries, "of refused messages")->capture_default_str();
  command->add_option("--body", o->body, "bytes of each")->capture_default_str();
  command->add_option("--skew", o->skew, "destination n gets a share of 1/n^skew")->capture_default_str();
  command->add_option("--seed", o->seed, "of the draws")->capture_default_str();
  command->add_option("--tenants", o->tenants, "names, by commas");
  command->add_option("--tenant-field", o->tenant_field, "field that names them")->capture_default_str();
  command->add_option("--smpp", o->smpp,
                      "by SMPP, as SYSTEM_ID:PASSWORD; a class's service_type is its first five letters");
  command->add_flag("--direct", o->direct, "straight to endpoints, for comparison");
  command->add_flag("--quiet", o->quiet, "no progress line");
  command->callback([o, &run] { run = [o] { return run_send(*o); }; });
}

}  // namespace cedarplank::app
