// A day that breaks a rule, reduced to the troubles that matter: delta debugging (Zeller and Hildebrandt,
// "Simplifying and Isolating Failure-Inducing Input", 2002) over the list of troubles, then over each
// trouble's targets and the load.
#include <yaml-cpp/yaml.h>

#include <algorithm>

#include "config/document.hpp"
#include "lab/experiment.hpp"

namespace cedarplank::lab {
namespace {

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
  // Whether the day still breaks a rule or loses an answer; a day that can't be run does not.
  bool fails(const YAML::Node& day) {
    runs++;
    WorldOptions options;
    options.policy = policy;
    try {
      const auto cell = cell_of(run_virtual(rig::parse_scenario(file, text_of(day)), options));
      if (cell.broken.empty()) return false;
      broken = cell.broken;
      return true;
    } catch (const config::ConfigError&) {
      return false;
    }
  }
};

// The fewest items of day[key] that keep it failing, in their order.
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

Shrunk shrink(const std::string& file, std::uint64_t seed, Policy policy) {
  YAML::Node day = YAML::Load(draw_day(file, config::read_file(file), seed));
  Search search{file, policy, 0, {}};
  Shrunk result;
  result.troubles_before = day["troubles"] ? day["troubles"].size() : 0;
  if (!search.fails(day)) {
    result.day = search.text_of(day), result.runs = search.runs,
    result.troubles_after = result.troubles_before;
    return result;
  }
  if (result.troubles_before > 0) reduce(search, day, [](YAML::Node d) { return d["troubles"]; });
  result.troubles_after = day["troubles"] ? day["troubles"].size() : 0;
  // Then fewer endpoints struck by each, and fewer kinds of message.
  for (std::size_t i = 0; i < result.troubles_after; i++)
    if (day["troubles"][i]["on"] && day["troubles"][i]["on"].size() > 1)
      reduce(search, day, [i](YAML::Node d) { return d["troubles"][i]["on"]; });
  if (day["load"]["classes"].size() > 1)
    reduce(search, day, [](YAML::Node d) { return d["load"]["classes"]; });
  search.fails(day);  // what it breaks now
  result.day = search.text_of(day), result.runs = search.runs, result.broken = search.broken;
  return result;
}

}  // namespace cedarplank::lab
