// Random scenarios: replaces `draw`, `pick` and `times` by values drawn with a seed.
#include "lab/scenario_draw.hpp"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <pcg_random.hpp>
#include <random>

#include "config/document.hpp"

namespace cedarplank::lab {
namespace {

// Replaces the ranges in a YAML tree by values drawn in document order.
struct RangeResolver {
  const std::string& file;
  pcg64 random;

  [[noreturn]] void fail(const YAML::Node& at, const std::string& what) const {
    throw config::ConfigError({file + ":" + std::to_string(at.Mark().line + 1) + ": " + what});
  }

  // Splits a value into its number and its unit: "2.5s" into 2.5 and "s".
  std::pair<double, std::string> split(const YAML::Node& v) const {
    if (!v.IsScalar()) fail(v, "a bound of draw must be a single value");
    const std::string text = v.Scalar();
    std::size_t used = 0;
    try {
      const double number = std::stod(text, &used);
      return {number, text.substr(used)};
    } catch (const std::exception&) {
      fail(v, "'" + text + "' is not a number, rate, size or duration");
    }
  }

  YAML::Node between(const YAML::Node& v) {
    if (!v.IsSequence() || v.size() != 2) fail(v, "draw takes two bounds: [low, high]");
    // The bounds of a duration may have different units; it is drawn in whole milliseconds.
    try {
      const auto from = config::parse_duration(v[0].Scalar()), to = config::parse_duration(v[1].Scalar());
      if (from > to) fail(v, "draw's low bound lies above its high one");
      std::uniform_int_distribution<Time> pick(from / 1000, to / 1000);
      return YAML::Node(std::to_string(pick(random)) + "ms");
    } catch (const std::invalid_argument&) {  // not durations
    }
    const auto [low, unit] = split(v[0]);
    const auto [high, other] = split(v[1]);
    if (unit != other) fail(v, "the bounds of draw have different units: '" + unit + "' and '" + other + "'");
    if (low > high) fail(v, "draw's low bound lies above its high one");
    const bool whole = low == std::floor(low) && high == std::floor(high);
    double value = 0;
    if (whole)
      value = static_cast<double>(std::uniform_int_distribution<std::int64_t>(
          static_cast<std::int64_t>(low), static_cast<std::int64_t>(high))(random));
    else
      value = std::round(std::uniform_real_distribution<double>(low, high)(random) * 1000) / 1000;
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return YAML::Node(text + unit);
  }

  YAML::Node resolve(const YAML::Node& v) {
    if (v.IsMap()) {
      if (v["draw"]) {
        if (v.size() != 1) fail(v, "draw stands alone in its map");
        return between(v["draw"]);
      }
      if (v["pick"]) {
        const YAML::Node all = v["pick"];
        if (v.size() != 1 || !all.IsSequence() || all.size() == 0)
          fail(v, "pick takes a list and stands alone");
        return resolve(all[random(static_cast<std::uint64_t>(all.size()))]);
      }
      YAML::Node out(YAML::NodeType::Map);
      for (const auto& entry : v) out[entry.first.Scalar()] = resolve(entry.second);
      return out;
    }
    if (!v.IsSequence()) return YAML::Clone(v);
    YAML::Node out(YAML::NodeType::Sequence);
    for (const auto& item : v) {
      if (!item.IsMap() || !item["times"] || !item["of"]) {
        out.push_back(resolve(item));
        continue;
      }
      if (item.size() != 2) fail(item, "times and of stand alone in their map");
      const YAML::Node times = resolve(item["times"]);
      int n = 0;
      try {
        n = times.as<int>();
      } catch (const YAML::Exception&) {
        fail(item, "times must be a whole number");
      }
      if (n < 0 || n > 10'000) fail(item, "times must lie between 0 and 10000");
      for (int i = 0; i < n; i++) out.push_back(resolve(item["of"]));
    }
    return out;
  }
};

// Sets the value at `path`: keys of maps and indexes of lists ("destinations.0.servers"). A missing key is
// added; the schema rejects it later if it is unknown.
void override_at(const std::string& file, YAML::Node node, const std::string& path,
                 const std::string& value) {
  const auto dot = path.find('.');
  const std::string key = path.substr(0, dot);
  YAML::Node next;
  if (node.IsSequence()) {
    const bool number =
        !key.empty() && key.size() < 7 && key.find_first_not_of("0123456789") == std::string::npos;
    if (!number || std::stoul(key) >= node.size())
      throw config::ConfigError(
          {file + ": '" + key + "' is not an index of a list of length " + std::to_string(node.size())});
    next.reset(node[std::stoul(key)]);
  } else {
    next.reset(node[key]);
  }
  if (dot != std::string::npos) return override_at(file, next, path.substr(dot + 1), value);
  next = YAML::Load(value);
}

}  // namespace

std::string draw_day(const std::string& file, const std::string& text, std::uint64_t seed,
                     const std::vector<Override>& overrides) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    throw config::ConfigError({file + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg});
  }
  if (!root.IsMap()) throw config::ConfigError({file + ": a day is a map of settings"});
  RangeResolver resolver{file, pcg64(seed * 6'364'136'223'846'793'005ull + 1)};
  YAML::Node day = resolver.resolve(root);
  for (const auto& o : overrides) override_at(file, day, o.path, o.value);
  day["seed"] = seed;
  YAML::Emitter out;
  out << day;
  return std::string(out.c_str()) + "\n";
}

rig::Scenario draw_scenario(const std::string& file, std::uint64_t seed,
                            const std::vector<Override>& overrides) {
  return rig::parse_scenario(file, draw_day(file, config::read_file(file), seed, overrides));
}

}  // namespace cedarplank::lab
