// `cedarplank relay`: signal handling and logging around cedarplank::delivery, which holds all the logic.
#include <signal.h>
#include <unistd.h>

#include <random>

#include "app/exit_codes.hpp"
#include "app/json_log.hpp"
#include "app/relay_main.hpp"
#include "engine/engine_access.hpp"

namespace cedarplank::app {

int run_relay(const std::string& config, const node::Node::DeciderFactory& decider) {
  auto settings = config::load_relay_settings(config);
  if (settings.seed == 0) settings.seed = std::random_device{}() | 1ull;
  const Time drain_within = settings.drain_within;
  JsonLog log(settings.name);
  // This thread waits for signals. They are blocked before the engine's threads start, which inherit the
  // mask, so that no other thread receives one.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM), sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  delivery::Options options;
  options.serve = true;
  options.log = [&](const char* event, const std::string& text) { log.write(event, {{"text", text}}); };
  const auto engine = delivery::EngineAccess::open(std::move(settings), std::move(options), decider);
  log.write(
      "ready",
      {{"listen", engine->address()}, {"smpp", engine->smpp_address()}, {"pid", std::to_string(getpid())}});
  int number = 0;
  sigwait(&signals, &number);
  log.write("draining", {{"held", std::to_string(engine->snapshot(1).held_for_clients)}});
  engine->drain(drain_within);
  const timespec poll_interval{0, 10'000'000};  // 10 ms
  while (engine->state() != delivery::State::stopped) {
    if (sigtimedwait(&signals, nullptr, &poll_interval) < 0) continue;
    log.write("stopped", {{"how", "at once"}}, spdlog::level::warn);
    _exit(ExitCode::stopped_at_once);
  }
  log.write("stopped", {{"how", "drained"}});
  return ExitCode::ok;
}

}  // namespace cedarplank::app
