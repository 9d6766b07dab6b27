#include "app/commands.hpp"

namespace cedarplank::app {
void add_drill(CLI::App&, Run&, const char*) {}
}  // namespace cedarplank::app
