// Simple retry policies to compare the dispatcher with in equal simulations. They are baselines only: the
// relay never uses them.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "relay/core.hpp"

namespace cedarplank::lab {

enum class Policy {
  dispatcher,      // the dispatcher of the product
  single_attempt,  // one attempt at a random endpoint
  fixed,           // further attempts after a fixed time
  exponential,     // after an exponential back-off with full jitter
  // As exponential, but retries only while a token budget lasts; served attempts refill it (as gRPC's retry
  // throttling does).
  token_bucket
};
// The policies by the names that the command line and the records use.
const std::map<std::string, Policy>& policy_names();

// Equal seeds give equal decisions.
std::unique_ptr<relay::Decider> make_decider(Policy policy, const Settings& settings, std::uint64_t seed);

}  // namespace cedarplank::lab
