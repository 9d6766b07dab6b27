// The sub-commands of cedarplank. Each add_ function adds one to the command line; where that one is chosen,
// it sets `run` to a function that runs it and returns the exit code.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

#include "app/exit_codes.hpp"

namespace cedarplank::app {

using RunCommand = std::function<int()>;
void add_relay(CLI::App& app, RunCommand& run);
void add_platform(CLI::App& app, RunCommand& run);
void add_standin(CLI::App& app, RunCommand& run);
void add_send(CLI::App& app, RunCommand& run);
void add_check(CLI::App& app, RunCommand& run);
void add_drill(CLI::App& app, RunCommand& run);
void add_journal(CLI::App& app, RunCommand& run);
void add_kills(CLI::App& app, RunCommand& run);
void add_lab(CLI::App& app, RunCommand& run);
void add_trace(CLI::App& app, RunCommand& run);
void add_hash_password(CLI::App& app, RunCommand& run);

}  // namespace cedarplank::app
