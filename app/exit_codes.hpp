// The exit codes of cedarplank.
#pragma once

namespace cedarplank::app {

// The same for all sub-commands; docs/operate/running.md lists them.
enum ExitCode { ok = 0, failed = 1, bad_input = 2, stopped_at_once = 3, rule_broken = 4 };

}  // namespace cedarplank::app
