// `cedarplank check`: validates the settings of a relay and its partner list.
#include <algorithm>
#include <cstdio>

#include "app/commands.hpp"
#include "config/partners.hpp"

namespace cedarplank::app {

void add_check(CLI::App& app, RunCommand& run) {
  auto* command =
      app.add_subcommand("check", "check a relay's settings and its partner list without starting it");
  auto config = std::make_shared<std::string>();
  auto schema = std::make_shared<bool>(false);
  command->add_option("--config", *config, "settings of the relay (YAML)");
  command->add_flag("--schema", *schema, "print the JSON schema of the settings");
  command->callback([config, schema, &run] {
    run = [config, schema] {
      if (*schema) {
        std::puts(config::kRelaySchema);
        return ExitCode::ok;
      }
      if (config->empty()) {
        std::fprintf(stderr, "check: --config is missing\n");
        return ExitCode::bad_input;
      }
      const auto s = config::load_relay_settings(*config);
      const auto list = config::parse_partners(s.partners_file, config::read_file(s.partners_file), s.names);
      std::printf("%s: fine: %zu classes, %zu kinds, %zu tenants; %zu endpoints listed\n", config->c_str(),
                  s.names.classes.size(), s.names.kinds.size(), s.names.tenants.size(),
                  list.endpoints.size());
      const auto& tenants = s.dispatcher.tenants;
      if (s.dispatcher.over_share_worth >= 1 &&
          std::any_of(tenants.begin(), tenants.end(), [](const auto& t) { return t.quota_per_s > 0; }))
        std::puts(
            "note: tenants have quotas, but with dispatcher.over_share_worth of 1 nothing yields beyond "
            "them");
      return ExitCode::ok;
    };
  });
}

}  // namespace cedarplank::app
