// What `cedarplank relay` does, also for test programs that put another decider in.
#pragma once

#include "node/node.hpp"

namespace cedarplank::app {

// Runs until a signal stops it; returns the exit code.
int run_relay(const std::string& config, const node::Node::DeciderMaker& decider);

}  // namespace cedarplank::app
