#include "rig/scenario.hpp"

#include <filesystem>

#include "config/relay_settings.hpp"

namespace cedarplank::rig {
namespace {

const std::map<std::string, TroubleKind>& trouble_names() {
  static const auto names = [] {
    std::map<std::string, TroubleKind> m = {{"burst", TroubleKind::burst},
                                            {"hot", TroubleKind::hot},
                                            {"deploy", TroubleKind::deploy},
                                            {"list_late", TroubleKind::list_late},
                                            {"list_unreadable", TroubleKind::list_unreadable},
                                            {"list_half_written", TroubleKind::list_half_written},
                                            {"relay_crash", TroubleKind::relay_crash},
                                            {"relay_stall", TroubleKind::relay_stall},
                                            {"greedy_tenant", TroubleKind::greedy_tenant},
                                            {"vanish", TroubleKind::vanish},
                                            {"notes_lost", TroubleKind::notes_lost},
                                            {"shared_slow", TroubleKind::shared_slow}};
    for (const auto& [name, fault] : emulator::fault_names()) m[name] = TroubleKind::fault;
    return m;
  }();
  return names;
}

std::string schema() {
  return std::string(
             R"({"type": "object", "required": ["relay", "load", "destinations"], "additionalProperties": false, "properties": {
 "seed": {"type": "integer", "minimum": 0}, "lasts": {"type": "string"}, "settle": {"type": "string"},
 "relays": {"type": "integer", "minimum": 1, "maximum": 1000}, "relay": {"type": "string"},
 "load": {"type": "object", "required": ["rate", "classes"], "additionalProperties": false, "properties": {
  "rate": {"type": "string"}, "skew": {"type": "number", "minimum": 0}, "topics": {"type": "integer", "minimum": 1},
  "retries": {"type": "integer", "minimum": 0}, "backoff": {"type": "string"}, "honour": {"type": "number", "minimum": 0, "maximum": 1},
  "reset_share": {"type": "number", "minimum": 0, "maximum": 1}, "body": {"type": "string"},
  "connections": {"type": "integer", "minimum": 1},
  "smpp": {"type": "object", "required": ["share", "system_id", "password"], "additionalProperties": false, "properties": {
   "share": {"type": "number", "minimum": 0, "maximum": 1}, "system_id": {"type": "string"}, "password": {"type": "string"}}},
  "classes": {"type": "array", "minItems": 1, "items": {"type": "object", "required": ["name", "share"],
   "additionalProperties": false, "properties": {"name": {"type": "string"}, "share": {"type": "number", "minimum": 0}}}}}},
 "destinations": )") +
         standin::kDestinationsSchema + R"(,
 "troubles": {"type": "array", "items": {"type": "object", "required": ["at", "trouble"], "additionalProperties": false,
  "properties": {"at": {"type": "string"}, "for": {"type": "string"}, "trouble": {"type": "string"},
  "on": {"type": "array", "items": {"type": "string"}}, "share": {"type": "number", "minimum": 0, "maximum": 1},
  "times": {"type": "number", "minimum": 0}, "wait": {"type": "string"}, "after": {"type": "string"},
  "relay": {"type": "integer", "minimum": 0}, "tenant": {"type": "string"}, "by": {"type": "string"}}}}}})";
}

Trouble read_trouble(const config::Value& v, const Scenario& s) {
  std::vector<std::string> names, destinations;
  for (const auto& d : s.destinations) {
    names.push_back(d.settings.name), destinations.push_back(d.settings.name);
    for (const auto& e : d.settings.endpoints) names.push_back(e.id);
  }
  Trouble t;
  t.kind = v.enum_value<TroubleKind>("trouble", trouble_names(), TroubleKind::burst);
  t.at = v.at("at").duration();
  t.lasts = v.duration("for", 0);
  if (t.at + t.lasts > s.lasts) v.fail("ends after the scenario");
  for (const auto& name : v.items("on")) {
    name.index_in(t.kind == TroubleKind::hot ? destinations : names, "destination or endpoint");
    t.on.push_back(name.text());
  }
  const bool needs_on = t.kind == TroubleKind::fault || t.kind == TroubleKind::hot ||
                        t.kind == TroubleKind::deploy || t.kind == TroubleKind::vanish;
  if (needs_on && t.on.empty()) v.fail("'on' names no destination or endpoint");
  if (needs_on && t.lasts <= 0 && t.kind != TroubleKind::vanish) v.fail("'for' is missing");
  t.share = v.number("share", t.kind == TroubleKind::fault ? 1 : t.share);
  t.times = v.number("times", t.kind == TroubleKind::fault ? 10 : t.times);
  t.by = v.duration("by", t.by);
  t.relay = v.integer("relay", 0);
  if (t.relay >= s.relays) v.at("relay").fail("there are only " + std::to_string(s.relays) + " relays");
  if (t.kind == TroubleKind::greedy_tenant) t.tenant = v.at("tenant").index_in(s.load.tenants, "tenant");
  if (t.kind == TroubleKind::fault) {
    t.fault.settings.fault =
        v.enum_value<standin::Fault>("trouble", emulator::fault_names(), standin::Fault::silent);
    t.fault.settings.share = t.share, t.fault.settings.times = t.times;
    t.fault.settings.wait = v.duration("wait", 0),
    t.fault.settings.after = v.duration("after", t.fault.settings.after);
  }
  return t;
}

}  // namespace

Scenario load_scenario(const std::string& file) { return parse_scenario(file, config::read_file(file)); }

Scenario parse_scenario(const std::string& file, const std::string& text) {
  const auto document = config::Document::parse(file, text, schema().c_str());
  const auto root = document.root();
  Scenario s;
  s.file = file;
  s.seed = static_cast<std::uint64_t>(root.integer("seed", 1));
  s.lasts = root.duration("lasts", s.lasts), s.settle = root.duration("settle", s.settle);
  s.relays = root.integer("relays", s.relays);
  s.relay_file = (std::filesystem::path(file).parent_path() / root.at("relay").text()).string();
  s.destinations = standin::read_destinations(root);
  const auto relay = config::load_relay_settings(s.relay_file);
  const auto load = root.at("load");
  s.load.rate = load.at("rate").rate();
  s.load.skew = load.number("skew", s.load.skew), s.load.topics = load.integer("topics", s.load.topics);
  s.load.retries = load.integer("retries", s.load.retries),
  s.load.backoff = load.duration("backoff", s.load.backoff);
  s.load.honour = load.number("honour", s.load.honour), s.load.reset_share = load.number("reset_share", 0);
  s.load.body = static_cast<std::size_t>(load.size("body", 256)),
  s.load.connections = load.integer("connections", 1);
  if (load.has("smpp")) {
    const auto smpp = load.at("smpp");
    if (!relay.smpp) smpp.fail("the relay's settings have no smpp section");
    s.load.smpp_share = smpp.at("share").number();
    s.load.smpp_system_id = smpp.at("system_id").text(), s.load.smpp_password = smpp.at("password").text();
  }
  s.load.tenants = relay.names.tenants, s.load.tenant_field = relay.tenant_field;
  for (const auto& v : load.items("classes")) {
    const auto class_index = static_cast<std::size_t>(v.at("name").index_in(relay.names.classes, "class"));
    const auto& c = relay.dispatcher.classes[class_index];
    s.load.classes.push_back({relay.names.classes[class_index], v.at("share").number(), c.effect, c.deadline,
                              c.key_window, c.ordered, c.aim});
  }
  for (const auto& d : s.destinations) s.load.destinations.push_back(d.settings.name);
  for (const auto& v : root.items("troubles")) s.troubles.push_back(read_trouble(v, s));
  return s;
}

}  // namespace cedarplank::rig
