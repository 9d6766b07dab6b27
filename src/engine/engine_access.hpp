// For the daemon and for tests: an engine from settings that were read already, with another decider if need
// be.
#pragma once

#include "cedarplank/delivery.hpp"
#include "node/node.hpp"

namespace cedarplank::delivery {

struct EngineAccess {
  static std::unique_ptr<Engine> open(config::RelaySettings settings, Options options,
                                      node::Node::DeciderMaker decider);
};

}  // namespace cedarplank::delivery
