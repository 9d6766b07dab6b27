// The sub-commands of cedarplank. Each adds itself to the command line and returns its exit code.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace cedarplank::app {

// Exit codes, the same for all sub-commands; docs/operate/running.md lists them.
enum Exit { ok = 0, failed = 1, bad_input = 2, stopped_at_once = 3, rule_broken = 4 };

using Run = std::function<int()>;
void add_relay(CLI::App& app, Run& run);
void add_standin(CLI::App& app, Run& run);
void add_send(CLI::App& app, Run& run);
void add_check(CLI::App& app, Run& run);
void add_drill(CLI::App& app, Run& run);

}  // namespace cedarplank::app
