// `cedarplank kills`: kills a relay that keeps a journal again and again and checks the rules.
#include <cstdio>
#include <filesystem>

#include "app/commands.hpp"
#include "app/exit_codes.hpp"
#include "rig/kill_test.hpp"

namespace cedarplank::app {

void add_kills(CLI::App& app, RunCommand& run) {
  auto* command = app.add_subcommand(
      "kills", "kill a relay with a journal at random moments of a bad day, and judge what was seen outside");
  auto o = std::make_shared<rig::KillTestOptions>();
  auto program = std::make_shared<std::string>();
  command->add_option("--relay-program", *program, "run this instead of the relay of this program");
  o->quiet = false;
  command->add_option("--kills", o->kills, "how often")->check(CLI::Range(1, 1'000'000));
  command->add_option("--seed", o->seed, "of moments and troubles");
  command->add_option("--outstanding", o->max_outstanding, "messages without their answer")
      ->check(CLI::Range(1, 1'000));
  command->add_option("--sync", o->journal_sync, "the journal's")
      ->check(CLI::IsMember({"each", "batched", "none"}));
  command->add_option("--keep", o->folder, "folder for settings and journal");
  command->callback([o, program, &run] {
    run = [o, program] {
      if (program->empty())
        o->relay_command = {std::filesystem::read_symlink("/proc/self/exe").string(), "relay"};
      else
        o->relay_command = {*program};
      const auto result = rig::run_kill_test(*o);
      std::printf("seed %llu  %s", static_cast<unsigned long long>(o->seed), result.table().c_str());
      return result.passed() ? ExitCode::ok : ExitCode::rule_broken;
    };
  });
}

}  // namespace cedarplank::app
