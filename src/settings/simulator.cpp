#include "settings/simulator.hpp"

#include <algorithm>

namespace cedarplank::settings {

int index_of(const NameIndex& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

namespace {

// Positions of the names in a list of strings; empty if the list is absent.
NameIndex read_names(const Value& object, const char* name, const std::string& path) {
  NameIndex names;
  const Value* list = find(object, name);
  if (list == nullptr) return names;
  for (const auto& v : as_array(*list, path + "." + name).GetArray())
    names.emplace(as_text(v, path + "." + name), static_cast<int>(names.size()));
  return names;
}
ClassSettings read_class(const Value& v, const std::string& path) {
  ClassSettings c;
  c.worth = get(v, "Points", path, as_number);
  c.late_worth = get(v, "LateWorth", path, as_number, 0.0);
  c.aim = get(v, "Target", path, as_integer);
  c.deadline = get(v, "Deadline", path, as_integer);
  c.effect = enum_value<Effect>(
      get(v, "Idempotency", path, as_text),
      {{"read_like", Effect::safe}, {"idempotency_key", Effect::keyed}, {"non_idempotent", Effect::unsafe}},
      path + ".Idempotency");
  c.group = enum_value<KeyGroup>(get(v, "Group", path, as_text, "all"),
                                 {{"all", KeyGroup::all}, {"zone", KeyGroup::zone}, {"cell", KeyGroup::cell}},
                                 path + ".Group");
  c.key_window = get(v, "Window", path, as_integer, 0);
  c.ordered = get(v, "FifoByKey", path, as_bool, false);
  return c;
}

// Returns a list member, or nullptr if it is absent.
const Value* find_list(const Value& family, const char* name, const std::string& path) {
  const Value* v = find(family, name);
  return v == nullptr ? nullptr : &as_array(*v, path + "." + name);
}

}  // namespace

Settings read_simulator(const Value& v, const std::string& path, NameTables& tables) {
  as_object(v, path);
  Settings s;
  for (const auto& c : as_array(required(v, "Classes", path), path + ".Classes").GetArray()) {
    as_object(c, path + ".Classes");
    tables.classes.emplace(get(c, "Name", path + ".Classes", as_text), static_cast<int>(s.classes.size()));
    s.classes.push_back(read_class(c, path + ".Classes"));
  }
  if (const Value* tenants = find(v, "Tenants")) {
    for (const auto& t : as_array(*tenants, path + ".Tenants").GetArray()) {
      as_object(t, path + ".Tenants");
      tables.tenants.emplace(get(t, "Name", path + ".Tenants", as_text), static_cast<int>(s.tenants.size()));
      s.tenants.push_back({get(t, "QuotaPerS", path + ".Tenants", as_number, 0.0)});
    }
  }
  tables.zones = read_names(v, "FailureDomains", path);
  tables.kinds = read_names(v, "HostTypes", path);
  s.kinds.resize(std::max<std::size_t>(1, tables.kinds.size()));

  const std::string family_path = path + ".FamilyInfo";
  const Value& family = as_object(required(v, "FamilyInfo", path), family_path);
  const Value* apart = find_list(family, "RoutesApart", family_path);
  const Value* bundle = find_list(family, "BundleMax", family_path);
  for (rapidjson::SizeType i = 0; i < s.kinds.size(); i++) {
    if (apart != nullptr && i < apart->Size())
      s.kinds[i].routes_apart = as_bool((*apart)[i], family_path + ".RoutesApart");
    if (bundle != nullptr && i < bundle->Size())
      s.kinds[i].bundle_max = as_int((*bundle)[i], family_path + ".BundleMax");
  }
  s.slots = get(family, "Workers", family_path, as_int);
  s.decay = enum_value<Decay>(get(family, "Decay", family_path, as_text, "line"),
                              {{"line", Decay::line}, {"halves", Decay::halves}}, family_path + ".Decay");
  s.refused_price = get(family, "TurnedAwayPrice", family_path, as_number, 0.0);
  if (const Value* fees = find_list(family, "Toll", family_path))
    for (const auto& fee : fees->GetArray()) s.zone_fees.push_back(as_number(fee, family_path + ".Toll"));

  const std::string limits_path = path + ".Limits";
  const Value& limits = as_object(required(v, "Limits", path), limits_path);
  s.open_max = get(limits, "OpenCap", limits_path, as_int);
  s.attempts_max = get(limits, "MaxAttempts", limits_path, as_int);
  s.second_copies = get(limits, "SecondCopies", limits_path, as_bool, false);
  s.cancelling = get(limits, "Cancelling", limits_path, as_bool, false);
  s.probes = get(limits, "Probes", limits_path, as_bool, false);
  s.peers = get(limits, "Peers", limits_path, as_bool, false);
  s.connect_timeout = get(limits, "ConnectTimeout", limits_path, as_integer, s.connect_timeout);
  s.connection_idle = get(limits, "ConnIdle", limits_path, as_integer, s.connection_idle);
  s.retry_after_max = get(limits, "MaxRetryAfter", limits_path, as_integer, 0);

  const std::string rules_path = path + ".Rules";
  const Value& rules = as_object(required(v, "Rules", path), rules_path);
  s.answer_slack = get(rules, "AnswerSlack", rules_path, as_integer, 0);
  s.drain_grace = get(rules, "DrainGrace", rules_path, as_integer, 0);
  s.must_ask_in = get(rules, "MustAskIn", rules_path, as_integer, 0);
  s.settle_after_doubt = get(rules, "SettleAfterDoubt", rules_path, as_integer, 0);
  s.fall_multiple = get(rules, "FallMultiple", rules_path, as_number, s.fall_multiple);
  s.overload_for = get(rules, "OverloadFor", rules_path, as_integer, s.overload_for);
  s.cold_from = get(rules, "ColdFrom", rules_path, as_number, s.cold_from);
  s.cold = get(rules, "Cold", rules_path, as_integer, s.cold);

  s.over_share_worth = get(v, "OverShareWorth", path, as_number, 1.0);
  s.relays = get(v, "GroupSize", path, as_int, 1);
  s.rank = get(v, "Rank", path, as_int, 0);
  s.zone = index_of(tables.zones, get(v, "Locality", path, as_text, ""));
  s.tick = get(v, "Tick", path, as_integer, s.tick);
  s.subscribe = get(v, "Discovery", path, as_text, "automatic") == "subscribe";
  s.weights = enum_value<WeightKind>(get(v, "WeightKind", path, as_text, "none"),
                                     {{"none", WeightKind::none},
                                      {"nominal", WeightKind::nominal},
                                      {"rough", WeightKind::rough},
                                      {"live", WeightKind::none}},
                                     path + ".WeightKind");
  return s;
}

}  // namespace cedarplank::settings
