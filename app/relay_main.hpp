// The main function of `cedarplank relay`, shared with test programs that replace the decider.
#pragma once

#include "node/node.hpp"

namespace cedarplank::app {

// Runs until a signal stops it; returns the exit code.
int run_relay(const std::string& config, const node::Node::DeciderFactory& decider);

}  // namespace cedarplank::app
