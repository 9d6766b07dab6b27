// The cedarplank program: parses the command line and runs the chosen sub-command.
#include <signal.h>

#include <cstdio>
#include <exception>

#include "app/commands.hpp"

int main(int argc, char** argv) {
  using namespace cedarplank::app;
  signal(SIGPIPE, SIG_IGN);
  CLI::App app{"cedarplank: takes messages and delivers them to many outside destinations"};
  app.set_version_flag("--version", "cedarplank " CEDARPLANK_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 ok, 1 failed, 2 bad input, 3 stopped at once by a second signal, 4 a rule was broken.");
  RunCommand run;
  add_relay(app, run);
  add_platform(app, run);
  add_standin(app, run);
  add_send(app, run);
  add_check(app, run);
  add_drill(app, run);
  add_kills(app, run);
  add_journal(app, run);
  add_lab(app, run);
  add_trace(app, run);
  add_hash_password(app, run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? ExitCode::ok : ExitCode::bad_input;
  }
  try {
    return run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return ExitCode::bad_input;
  }
}
