// `cedarplank platform`: the relay as the users' platform starts it. Signals and log lines around
// platform::Relay; it holds no logic of its own.
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

#include "app/commands.hpp"
#include "app/json_log.hpp"
#include "platform/relay.hpp"

namespace cedarplank::app {
namespace {

constexpr loop::Time kCountsEvery = 5'000'000;

loop::Time unix_to_module() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return loop::monotonic_now() - (std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000);
}

int run_platform(const std::string& file) {
  // Blocked before anything else: one that comes now is taken once there is someone to take it.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM), sigaddset(&signals, SIGINT), sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  platform::Config config = platform::load_config(file, unix_to_module());
  if (config.state.empty())
    if (const char* state = std::getenv("GW_STATE")) config.state = state;
  JsonLog log(config.name);
  const auto say = [&](const char* event, const std::string& text) { log.line(event, {{"text", text}}); };
  loop::Loop loop;
  platform::Relay relay(loop, std::move(config), say);
  const auto stop = [&] {
    say("stopping", relay.counts());
    relay.stop([&] { loop.stop(); });
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  loop.on_signal(SIGHUP, [&] {
    try {
      relay.reload(platform::load_config(file, unix_to_module()));
    } catch (const std::exception& bad) {
      say("not_reloaded", bad.what());  // the old one stays in force
    }
  });
  std::function<void()> counts = [&] {
    say("counts", relay.counts());
    loop.after(kCountsEvery, counts);
  };
  loop.after(kCountsEvery, counts);
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
  say("listening", relay.address().text() + ", pid " + std::to_string(getpid()));
  loop.run();
  say("stopped", relay.counts());
  return Exit::ok;
}

}  // namespace

void add_platform(CLI::App& app, Run& run) {
  auto* command = app.add_subcommand("platform", "runs one relay as the platform starts it");
  auto file = std::make_shared<std::string>();
  command->add_option("--config", *file, "the platform's configuration, as JSON")
      ->envname("GW_CONFIG")
      ->required();
  command->callback([&run, file] { run = [file] { return run_platform(*file); }; });
}

}  // namespace cedarplank::app
