#include "standin/settings.hpp"

#include <algorithm>
#include <filesystem>

namespace cedarplank::standin {

const char* const kDestinationsSchema = R"json({"type": "array", "minItems": 1, "items": {"type": "object",
 "required": ["name"], "additionalProperties": false, "properties": {
 "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
 "count": {"type": "integer", "minimum": 1, "maximum": 10000},
 "kind": {"type": "string"}, "weight": {"type": "string"}, "routes_apart": {"type": "boolean"}, "smpp": {"type": "boolean"},
 "servers": {"type": "integer", "minimum": 1, "maximum": 100000},
 "service": {"type": "string"}, "service_cv": {"type": "number", "minimum": 0, "maximum": 10},
 "queue": {"type": "integer", "minimum": 0, "maximum": 1000000},
 "limit": {"type": "string"}, "limit_span": {"type": "string"}, "refused_count": {"type": "boolean"},
 "tells_wait": {"type": "string"}, "key_window": {"type": "string"},
 "cold_from": {"type": "number", "minimum": 0.01, "maximum": 1}, "cold": {"type": "string"},
 "fall_multiple": {"type": "number", "minimum": 0}, "overload_for": {"type": "string"}, "fallen_for": {"type": "string"},
 "class_times": {"type": "object", "additionalProperties": {"type": "number", "exclusiveMinimum": 0}},
 "answers": {"type": "array", "items": {"type": "string", "pattern": "^([2-5][0-9][0-9]|drop|refuse|silent)$"}},
 "endpoints_each": {"type": "integer", "minimum": 1, "maximum": 1000},
 "zones": {"type": "array", "items": {"type": "string"}},
 "connections_max": {"type": "integer", "minimum": 0}, "streams_max": {"type": "integer", "minimum": 1},
 "endpoints": {"type": "array", "items": {"type": "object", "additionalProperties": false, "properties": {
  "id": {"type": "string"}, "address": {"type": "string"}, "zone": {"type": "string"}}}}}}})json";

const char* const kFaultsSchema = R"json({"type": "array", "items": {"type": "object",
 "required": ["at", "fault", "on"], "additionalProperties": false, "properties": {
 "at": {"type": "string"}, "for": {"type": "string"}, "fault": {"type": "string"},
 "on": {"type": "array", "minItems": 1, "items": {"type": "string"}},
 "share": {"type": "number", "minimum": 0, "maximum": 1}, "times": {"type": "number", "minimum": 1},
 "wait": {"type": "string"}, "after": {"type": "string"}}}})json";

std::string standin_schema() {
  return std::string(
             R"({"type": "object", "required": ["destinations"], "additionalProperties": false, "properties": {
    "seed": {"type": "integer", "minimum": 0}, "effects": {"type": "string"}, "frames": {"type": "string"},
    "partners": {"type": "string"}, "destinations": )") +
         kDestinationsSchema + R"(, "faults": )" + kFaultsSchema + "}}";
}

std::vector<ListedDestination> read_destinations(const config::Value& root) {
  std::vector<ListedDestination> all;
  std::vector<std::string> names;
  for (const auto& v : root.items("destinations")) {
    ListedDestination common;
    CapacitySettings& p = common.settings.capacity;
    common.kind = v.text("kind", "");
    common.weight = v.rate("weight", 1);
    common.settings.routes_apart = v.boolean("routes_apart", false);
    common.settings.smpp = v.boolean("smpp", false);
    common.settings.key_window = v.duration("key_window", 0);
    for (const auto& word : v.items("answers")) common.settings.answers.push_back(word.text());
    p.servers = v.integer("servers", p.servers);
    p.service = v.duration("service", p.service);
    p.service_cv = v.number("service_cv", p.service_cv);
    p.queue = v.integer("queue", p.queue);
    p.limit_per_s = v.rate("limit", 0);
    p.limit_span = v.duration("limit_span", 0);
    p.refused_count = v.boolean("refused_count", false);
    p.tells_wait = v.duration("tells_wait", 0);
    p.cold_from = v.number("cold_from", p.cold_from);
    p.cold = v.duration("cold", p.cold);
    p.fall_multiple = v.number("fall_multiple", p.fall_multiple);
    p.overload_for = v.duration("overload_for", p.overload_for);
    p.fallen_for = v.duration("fallen_for", p.fallen_for);
    if (v.has("class_times"))
      for (const auto& [name, times] : v.at("class_times").entries()) p.class_times[name] = times.number();
    const int count = v.integer("count", 1);
    for (int i = 1; i <= count; i++) {
      ListedDestination one = common;
      const std::string base = v.at("name").text();
      one.settings.name = count == 1 ? base : base + "-" + std::to_string(i);
      if (std::find(names.begin(), names.end(), one.settings.name) != names.end())
        v.at("name").fail("destination '" + one.settings.name + "' is defined twice");
      names.push_back(one.settings.name);
      const auto add = [&](const std::string& id, const std::string& address, const std::string& zone) {
        EndpointSettings e;
        e.id = id, e.address = address;
        e.connections_max = v.integer("connections_max", 0);
        e.streams_max = v.integer("streams_max", e.streams_max);
        one.settings.endpoints.push_back(e);
        one.zones.push_back(zone);
      };
      if (v.has("endpoints")) {
        if (count > 1) v.at("endpoints").fail("can't be given together with count; use endpoints_each");
        int n = 0;
        for (const auto& e : v.items("endpoints"))
          add(e.text("id", one.settings.name + "-" + static_cast<char>('a' + n % 26) +
                               (n < 26 ? "" : std::to_string(n / 26))),
              e.text("address", "127.0.0.1:0"), e.text("zone", "")),
              n++;
      } else {
        std::vector<std::string> zones;
        for (const auto& z : v.items("zones")) zones.push_back(z.text());
        const int each = v.integer("endpoints_each", 1);
        for (int n = 0; n < each; n++)
          add(one.settings.name + "-" + std::to_string(n + 1), "127.0.0.1:0",
              zones.empty() ? "" : zones[static_cast<std::size_t>(i + n) % zones.size()]);
      }
      all.push_back(std::move(one));
    }
  }
  return all;
}

ScriptedFault read_fault(const config::Value& v) {
  ScriptedFault f;
  f.at = v.at("at").duration();
  f.lasts = v.duration("for", 0);
  f.settings.fault = v.enum_value<Fault>("fault", emulator::fault_names(), Fault::silent);
  f.settings.share = v.number("share", f.settings.share);
  f.settings.times = v.number("times", f.settings.times);
  f.settings.wait = v.duration("wait", f.settings.wait);
  f.settings.after = v.duration("after", f.settings.after);
  for (const auto& name : v.items("on")) f.on.push_back(name.text());
  return f;
}

std::vector<ScriptedFault> read_faults(const config::Value& root,
                                       const std::vector<ListedDestination>& destinations) {
  std::vector<std::string> names;
  for (const auto& d : destinations) {
    names.push_back(d.settings.name);
    for (const auto& e : d.settings.endpoints) names.push_back(e.id);
  }
  std::vector<ScriptedFault> all;
  for (const auto& v : root.items("faults")) {
    for (const auto& name : v.items("on")) name.index_in(names, "destination or endpoint");
    all.push_back(read_fault(v));
  }
  return all;
}

StandinSettings load_standin_settings(const std::string& file) {
  const auto document = config::Document::load(file, standin_schema().c_str());
  const auto root = document.root();
  StandinSettings s;
  s.seed = static_cast<std::uint64_t>(root.integer("seed", 1));
  s.destinations = read_destinations(root);
  s.faults = read_faults(root, s.destinations);
  const auto beside = [&](const char* key) {
    return root.has(key) ? (std::filesystem::path(file).parent_path() / root.at(key).text()).string()
                         : std::string();
  };
  s.effects_file = beside("effects"), s.frames_file = beside("frames"), s.partners_file = beside("partners");
  return s;
}

std::vector<Endpoint*> find_endpoints(std::vector<std::unique_ptr<Destination>>& all,
                                      const std::string& name) {
  std::vector<Endpoint*> found;
  for (auto& d : all)
    for (auto& e : d->endpoints())
      if (d->settings().name == name || e->id() == name) found.push_back(e.get());
  return found;
}

config::PartnerList partner_list(const std::vector<ListedDestination>& listed, const config::Names& names,
                                 std::int64_t version,
                                 const std::function<std::string(std::size_t, std::size_t)>& address) {
  const auto index_of = [](const std::vector<std::string>& all, const std::string& name) {
    const auto it = std::find(all.begin(), all.end(), name);
    return it == all.end() ? 0 : static_cast<int>(it - all.begin());
  };
  config::PartnerList list;
  list.version = version;
  for (std::size_t d = 0; d < listed.size(); d++) {
    for (std::size_t e = 0; e < listed[d].settings.endpoints.size(); e++) {
      config::PartnerEndpoint p;
      p.id = listed[d].settings.endpoints[e].id, p.destination = listed[d].settings.name;
      p.address = address(d, e), p.path = "/push";
      p.kind = index_of(names.kinds, listed[d].kind);
      p.zone = e < listed[d].zones.size() ? index_of(names.zones, listed[d].zones[e]) : 0;
      p.weight = listed[d].weight;
      list.endpoints.push_back(std::move(p));
    }
  }
  return list;
}

config::PartnerList partner_list(const std::vector<ListedDestination>& listed,
                                 std::vector<std::unique_ptr<Destination>>& running,
                                 const config::Names& names, std::int64_t version) {
  return partner_list(listed, names, version,
                      [&](std::size_t d, std::size_t e) { return running[d]->endpoints()[e]->address(); });
}

}  // namespace cedarplank::standin
