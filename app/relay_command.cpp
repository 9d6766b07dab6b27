// The command line of `cedarplank relay`.
#include "app/commands.hpp"
#include "app/relay_main.hpp"

namespace cedarplank::app {

void add_relay(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand("relay", "take messages over HTTP/2 and deliver them");
  auto config = std::make_shared<std::string>();
  command->add_option("--config", *config, "settings of the relay (YAML)")->required();
  command->callback(
      [config, &run] { run = [config] { return run_relay(*config, relay::make_dispatcher); }; });
}

}  // namespace cedarplank::app
