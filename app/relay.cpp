#include <signal.h>
#include <unistd.h>

#include <random>

#include "app/exit_codes.hpp"
#include "app/json_log.hpp"
#include "app/relay_main.hpp"

namespace cedarplank::app {

int run_relay(const std::string& config, const node::Node::DeciderMaker& decider) {
  auto settings = config::load_relay_settings(config);
  if (settings.seed == 0) settings.seed = std::random_device{}() | 1ull;
  loop::Loop loop;
  JsonLog log(settings.name);
  node::Node node(loop, settings, [&](const char* event, const std::string& text) { log.line(event, {{"text", text}}); }, decider);
  int code = Exit::ok, signals = 0;
  const auto stop = [&] {
    if (++signals > 1) {
      log.line("stopped", {{"how", "at once"}}, spdlog::level::warn);
      code = Exit::stopped_at_once;
      return loop.stop();
    }
    log.line("draining", {{"held", std::to_string(node.core().held())}});
    node.drain([&](std::size_t ended) {
      const auto& c = node.core().counts();
      log.line("stopped", {{"how", "drained"},
                           {"ended_at_deadline", std::to_string(ended)},
                           {"taken", std::to_string(c.taken)},
                           {"served", std::to_string(c.served)},
                           {"refused", std::to_string(c.refused)},
                           {"failed", std::to_string(c.failed)},
                           {"withdrawn", std::to_string(c.withdrawn)}});
      loop.stop();
    });
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  log.line("ready", {{"listen", node.address()}, {"pid", std::to_string(getpid())}});
  loop.run();
  return code;
}

}  // namespace cedarplank::app
