// For the daemon and for tests: creates an engine from settings that have already been read, optionally with
// another decider.
#pragma once

#include "cedarplank/delivery.hpp"
#include "node/node.hpp"

namespace cedarplank::delivery {

struct EngineAccess {
  static std::unique_ptr<Engine> open(config::RelaySettings settings, Options options,
                                      node::Node::DeciderFactory decider);
};

}  // namespace cedarplank::delivery
