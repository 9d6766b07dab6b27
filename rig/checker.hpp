// Checks the six rules against the frames recorded at the sockets and the effects that occurred at the
// endpoints, never against what a relay reports about itself. Does no I/O; tests feed it recordings that
// break each rule.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "rig/observed.hpp"
#include "standin/server.hpp"

namespace cedarplank::rig {

// Input of the checker besides the recording: what the scenario did, and the limits that the rules allow.
struct CheckerInput {
  struct Class {
    Effect effect = Effect::safe;
    Time deadline = 0;
    bool ordered = false;
  };
  // Endpoints that share one capacity: a destination, or a single endpoint where routes are apart.
  struct CapacityDomain {
    double capacity = 0;  // calls per second outside the cold period
    double cold_from = 0.2, fall_multiple = 2;
    Time cold = 0, overload_for = 0;
    std::vector<std::pair<Time, Time>> outages;
  };
  struct RelayInterval {
    std::string relay;
    Time from = 0, to = 0;
  };
  // From `at` on, the published list says that this endpoint is draining or gone.
  struct DrainNotice {
    std::string endpoint;
    Time at = 0;
  };
  std::map<std::string, Class> classes;
  std::map<std::string, std::string> domain_of;  // by endpoint: the name of its capacity domain
  std::map<std::string, CapacityDomain> domains;
  std::map<std::string, bool> unseen_503;  // by endpoint: whether a 503 proves that the call did not run
  std::vector<DrainNotice> drain_notices;
  std::vector<RelayInterval> ended_runs;  // completed runs of relays; each was ended by a crash
  std::vector<RelayInterval> stalls;      // times in which a relay was stopped
  Time list_reread = 500'000;             // longest time until a relay reads a new list
  Time drain_grace = 0, answer_slack = 0, settle_after_doubt = 0;
  Time slack = 150'000;  // allowance for bytes in flight on the machine and for process scheduling
};

// Result of a check, rule by rule.
struct CheckResult {
  struct RuleResult {
    const char* name = "";
    std::uint64_t checked = 0;
    std::vector<std::string> violations;  // a line of text for each violation
  };
  RuleResult rules[6];
  bool passed() const {
    for (const auto& r : rules)
      if (!r.violations.empty()) return false;
    return true;
  }
};

// Checks all six rules. The second form extracts requests and calls from recorded frames first.
CheckResult check_rules(const CheckerInput& input, const Observed& observed,
                        const std::vector<standin::Effect>& effects);
CheckResult check_rules(const CheckerInput& input, std::vector<record::CaptureRecord> records,
                        const std::vector<standin::Effect>& effects);
// Formats the result as a table, with up to `cases_shown` violations listed under each rule.
std::string format_check_result(const CheckResult& result, std::size_t cases_shown = 3);

}  // namespace cedarplank::rig
