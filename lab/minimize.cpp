// Minimizes a day that breaks a rule to the troubles that still break one: delta debugging (Zeller and
// Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002) over the list of troubles, then over
// each trouble's targets and the load.
#include <yaml-cpp/yaml.h>

#include <algorithm>

#include "config/document.hpp"
#include "lab/experiment.hpp"

namespace cedarplank::lab {
namespace {

// Runs candidate days and keeps the rules that the last failing one broke.
struct Search {
  const std::string& file;
  Policy policy;
  std::size_t runs = 0;
  std::vector<std::string> broken;

  std::string text_of(const YAML::Node& day) const {
    YAML::Emitter out;
    out << day;
    return std::string(out.c_str()) + "\n";
  }
  // Whether the day still breaks a rule or leaves a message without an answer. False for a day that can't be
  // run.
  bool fails(const YAML::Node& day) {
    runs++;
    SimulationOptions options;
    options.policy = policy;
    try {
      const auto cell = run_result_of(run_simulation(rig::parse_scenario(file, text_of(day)), options));
      if (cell.broken_rules.empty()) return false;
      broken = cell.broken_rules;
      return true;
    } catch (const config::ConfigError&) {
      return false;
    }
  }
};

// Removes items of the list that `list_in` finds in the day, in ever smaller parts, as long as the day still
// fails. The order of the rest is kept.
void reduce(Search& search, YAML::Node& day, const std::function<YAML::Node(YAML::Node)>& list_in) {
  std::vector<YAML::Node> items;
  for (const auto& item : list_in(day)) items.push_back(item);
  const auto with = [&](const std::vector<YAML::Node>& some) {
    YAML::Node next = YAML::Clone(day);
    YAML::Node list = list_in(next);
    while (list.size() > 0) list.remove(list.size() - 1);
    for (const auto& item : some) list.push_back(YAML::Clone(item));
    return next;
  };
  std::size_t parts = 2;
  while (items.size() >= 1) {
    const std::size_t size = std::max<std::size_t>(1, items.size() / parts);
    bool smaller = false;
    for (std::size_t at = 0; at < items.size() && !smaller; at += size) {
      std::vector<YAML::Node> rest(items.begin(), items.begin() + static_cast<long>(at));
      rest.insert(rest.end(), items.begin() + static_cast<long>(std::min(items.size(), at + size)),
                  items.end());
      YAML::Node next = with(rest);
      if (!search.fails(next)) continue;
      items = std::move(rest), day = next, smaller = true;
      parts = std::max<std::size_t>(2, parts - 1);
    }
    if (smaller) continue;
    if (size == 1) return;
    parts = std::min(items.size(), parts * 2);
  }
}

}  // namespace

MinimizedCase shrink(const std::string& file, std::uint64_t seed, Policy policy) {
  YAML::Node day = YAML::Load(draw_day(file, config::read_file(file), seed));
  Search search{file, policy, 0, {}};
  MinimizedCase result;
  result.troubles_before = day["troubles"] ? day["troubles"].size() : 0;
  if (!search.fails(day)) {
    result.day = search.text_of(day), result.runs = search.runs,
    result.troubles_after = result.troubles_before;
    return result;
  }
  if (result.troubles_before > 0) reduce(search, day, [](YAML::Node d) { return d["troubles"]; });
  result.troubles_after = day["troubles"] ? day["troubles"].size() : 0;
  // Then fewer endpoints affected by each trouble, and fewer message classes.
  for (std::size_t i = 0; i < result.troubles_after; i++)
    if (day["troubles"][i]["on"] && day["troubles"][i]["on"].size() > 1)
      reduce(search, day, [i](YAML::Node d) { return d["troubles"][i]["on"]; });
  if (day["load"]["classes"].size() > 1)
    reduce(search, day, [](YAML::Node d) { return d["load"]["classes"]; });
  search.fails(day);  // sets what the minimized day breaks
  result.day = search.text_of(day), result.runs = search.runs, result.broken_rules = search.broken;
  return result;
}

}  // namespace cedarplank::lab
