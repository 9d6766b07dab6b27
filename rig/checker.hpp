// Judges the six rules from what passed at the sockets and from the effects that took place, never from a
// relay's own word. Free of I/O; tests feed it recordings that break each rule.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "rig/observed.hpp"
#include "standin/server.hpp"

namespace cedarplank::rig {

// What the script did, and the figures of the rules.
struct Facts {
  struct Class {
    Effect effect = Effect::safe;
    Time deadline = 0;
    bool ordered = false;
  };
  struct Place {          // a destination, or a route apart
    double capacity = 0;  // calls a second when warm
    double cold_from = 0.2, fall_multiple = 2;
    Time cold = 0, overload_for = 0;
    std::vector<std::pair<Time, Time>> outages;
  };
  struct Span {
    std::string relay;
    Time from = 0, to = 0;
  };
  struct Told {  // by `at` every running relay was told that this endpoint drains or is gone
    std::string endpoint;
    Time at = 0;
  };
  std::map<std::string, Class> classes;
  std::map<std::string, std::string> place_of;  // endpoint to place
  std::map<std::string, Place> places;
  std::map<std::string, bool> unseen_503;  // by endpoint
  std::vector<Told> told;
  std::vector<Span> lives;   // of relays: a crash ends one
  std::vector<Span> stalls;  // a relay stood still
  Time reread = 500'000;     // how long a relay may take to read a new list
  Time drain_grace = 0, answer_slack = 0, settle_after_doubt = 0;
  Time slack = 150'000;  // for what was on its way on the machine, and for its scheduling
};

struct Verdict {
  struct Rule {
    const char* name = "";
    std::uint64_t checked = 0;
    std::vector<std::string> broken;  // one line for each case
  };
  Rule rules[6];
  bool kept() const {
    for (const auto& r : rules)
      if (!r.broken.empty()) return false;
    return true;
  }
};

Verdict check_rules(const Facts& facts, const Observed& observed,
                    const std::vector<standin::Effect>& effects);
Verdict check_rules(const Facts& facts, std::vector<record::Record> records,
                    const std::vector<standin::Effect>& effects);
std::string table_of(const Verdict& verdict, std::size_t cases_shown = 3);

}  // namespace cedarplank::rig
