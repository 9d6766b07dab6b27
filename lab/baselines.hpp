// Plain policies to compare the module with, on the same days. They are baselines only: no product path uses
// them.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "relay/core.hpp"

namespace cedarplank::lab {

enum class Policy {
  ours,         // the module
  one_try,      // one attempt at a random endpoint
  fixed,        // further attempts after a fixed time
  exponential,  // after an exponential back-off with full jitter
  token_bucket  // as exponential, but retries only while a budget lasts that serves refill (gRPC's retry
                // throttling)
};
const std::map<std::string, Policy>& policy_names();

std::unique_ptr<relay::Decider> make_decider(Policy policy, const Settings& settings, std::uint64_t seed);

}  // namespace cedarplank::lab
