// `cedarplank drill`: runs a scenario against relays as processes.
#include <cstdio>
#include <filesystem>

#include "app/commands.hpp"
#include "rig/scenario_run.hpp"

namespace cedarplank::app {

void add_drill(CLI::App& app, RunCommand& run) {
  auto* command =
      app.add_subcommand("drill", "play a scripted day with relays as processes, and judge the rules");
  struct Options {
    std::string scenario, keep, relay_program;
    std::uint64_t seed = 0;
    bool quiet = false;
  };
  auto o = std::make_shared<Options>();
  command->add_option("scenario", o->scenario, "the script (YAML)")->required();
  command->add_option("--seed", o->seed, "instead of the script's own");
  command->add_option("--keep", o->keep, "folder for settings, logs, frames and effects");
  command->add_option("--relay-program", o->relay_program, "run this instead of the relay of this program");
  command->add_flag("--quiet", o->quiet, "no progress lines");
  command->callback([o, &run] {
    run = [o] {
      auto scenario = rig::load_scenario(o->scenario);
      if (o->seed != 0) scenario.seed = o->seed;
      rig::ScenarioRunOptions options;
      options.output_folder = o->keep, options.quiet = o->quiet;
      if (o->relay_program.empty())
        options.relay_command = {std::filesystem::read_symlink("/proc/self/exe").string(), "relay"};
      else
        options.relay_command = {o->relay_program};
      const auto result = rig::run_scenario(scenario, options);
      std::fputs(result.table().c_str(), stdout);
      if (!result.check.passed()) return ExitCode::rule_broken;
      return result.passed() ? ExitCode::ok : ExitCode::failed;
    };
  });
}

}  // namespace cedarplank::app
