// One moment as the machine's clocks show it, for journals.
#pragma once

#include "journal/recovery.hpp"

namespace cedarplank::node {

journal::Clock clock_now();

}  // namespace cedarplank::node
