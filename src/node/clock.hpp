// Reads the machine's clocks (wall clock, monotonic clock and boot id) at one moment, for journals.
#pragma once

#include "journal/recovery.hpp"

namespace cedarplank::node {

journal::Clock clock_now();

}  // namespace cedarplank::node
