// `cedarplank platform`: the relay as the platform starts it. Adds signal handling and logging to
// platform::Relay, which holds all the logic.
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

#include "app/commands.hpp"
#include "app/json_log.hpp"
#include "platform/allocator.hpp"
#include "platform/relay.hpp"

namespace cedarplank::app {
namespace {

constexpr loop::Time kCountsInterval = 5'000'000;  // microseconds between two log lines with the counters

// What to add to a Unix time to get the monotonic time of the loop, in microseconds.
loop::Time unix_to_monotonic_offset() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return loop::monotonic_now() - (std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000);
}

int run_platform(const std::string& file, int log_lines_per_second) {
  platform::configure_allocator();
  // Blocked before anything else: a signal that arrives during start-up stays pending until its handler is
  // set.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM), sigaddset(&signals, SIGINT), sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  platform::Config config = platform::load_config(file, unix_to_monotonic_offset());
  if (config.state.empty())
    if (const char* state = std::getenv("GW_STATE")) config.state = state;
  JsonLog log(config.name);
  const auto log_event = [&](const char* event, const std::string& text) {
    log.write(event, {{"text", text}});
  };
  loop::Loop loop;
  platform::Relay relay(loop, std::move(config), log_event, log_lines_per_second);
  const auto stop = [&] {
    log_event("stopping", relay.counts());
    relay.stop([&] { loop.stop(); });
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  loop.on_signal(SIGHUP, [&] {
    try {
      relay.reload(platform::load_config(file, unix_to_monotonic_offset()));
    } catch (const std::exception& bad) {
      log_event("not_reloaded", bad.what());  // the previous configuration stays in force
    }
  });
  std::function<void()> counts = [&] {
    log_event("counts", relay.counts());
    loop.after(kCountsInterval, counts);
  };
  loop.after(kCountsInterval, counts);
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
  log_event("listening", relay.address().text() + ", pid " + std::to_string(getpid()));
  loop.run();
  log_event("stopped", relay.counts());
  return ExitCode::ok;
}

}  // namespace

void add_platform(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand("platform", "runs one relay as the platform starts it");
  auto file = std::make_shared<std::string>();
  command->add_option("--config", *file, "the platform's configuration, as JSON")
      ->envname("GW_CONFIG")
      ->required();
  auto lines = std::make_shared<int>(platform::EventLog::kLinesPerSecond);
  command->add_option("--log-lines", *lines, "the most log lines a second for each kind of event")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command->callback([&run, file, lines] { run = [file, lines] { return run_platform(*file, *lines); }; });
}

}  // namespace cedarplank::app
