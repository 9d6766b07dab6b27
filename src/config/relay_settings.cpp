#include "config/relay_settings.hpp"

#include <algorithm>
#include <filesystem>
#include <set>

namespace cedarplank::config {

// JSON schema, draft 7. Units are checked when values are read; conditions across several keys by validate().
const char* const kRelaySchema = R"json({
"type": "object", "required": ["relay", "partners", "classes"], "additionalProperties": false,
"properties": {
 "relay": {"type": "object", "required": ["listen"], "additionalProperties": false, "properties": {
  "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
  "listen": {"type": "string"},
  "seed": {"type": "integer", "minimum": 0},
  "tenant_field": {"type": "string", "pattern": "^[a-z0-9-]{1,64}$"},
  "drain_within": {"type": "string"},
  "body_max": {"type": "string"},
  "body_total_max": {"type": "string"},
  "held_bytes_max": {"type": "string"},
  "late_at": {"type": "string"},
  "connections_max": {"type": "integer", "minimum": 1, "maximum": 100000},
  "streams_max": {"type": "integer", "minimum": 1, "maximum": 1000000},
  "stalled_after": {"type": "string"}}},
 "endpoints": {"type": "object", "additionalProperties": false, "properties": {
  "connections_max": {"type": "integer", "minimum": 1, "maximum": 1000},
  "streams_max": {"type": "integer", "minimum": 1, "maximum": 100000},
  "calls_at_risk": {"type": "integer", "minimum": 1, "maximum": 100000},
  "ping_after": {"type": "string"}, "ping_timeout": {"type": "string"},
  "handshakes_max": {"type": "integer", "minimum": 1, "maximum": 100000}}},
 "partners": {"type": "object", "required": ["file"], "additionalProperties": false, "properties": {
  "file": {"type": "string"}, "cache": {"type": "string"}, "reread": {"type": "string"}}},
 "journal": {"type": "object", "required": ["folder"], "additionalProperties": false, "properties": {
  "folder": {"type": "string", "minLength": 1}, "sync": {"enum": ["each", "batched", "none"]},
  "batch_time": {"type": "string"}, "batch_records": {"type": "integer", "minimum": 1, "maximum": 1000000},
  "disk": {"type": "string"}, "segment": {"type": "string"},
  "answers_for": {"type": "string"}, "answers_max": {"type": "integer", "minimum": 1, "maximum": 100000000}}},
 "trace": {"type": "object", "required": ["file"], "additionalProperties": false, "properties": {
  "file": {"type": "string"}, "file_size": {"type": "string"}, "memory": {"type": "string"},
  "files": {"type": "integer", "minimum": 0, "maximum": 1000},
  "sample": {"type": "integer", "minimum": 0, "maximum": 1000000000},
  "steps": {"type": "integer", "minimum": 4, "maximum": 10000},
  "rate": {"type": "string"},
  "watch": {"type": "array", "items": {"type": "string"}}}},
 "peers": {"type": "object", "required": ["listen"], "additionalProperties": false, "properties": {
  "listen": {"type": "string"},
  "relays": {"type": "array", "items": {"type": "object", "required": ["rank", "address"],
   "additionalProperties": false, "properties": {
   "rank": {"type": "integer", "minimum": 0}, "address": {"type": "string"}}}}}},
 "classes": {"type": "array", "minItems": 1, "items": {"type": "object", "required": ["name"],
  "additionalProperties": false, "properties": {
  "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
  "worth": {"type": "number", "minimum": 0}, "late_worth": {"type": "number", "minimum": 0, "maximum": 1},
  "aim": {"type": "string"}, "deadline": {"type": "string"},
  "effect": {"type": "string"}, "group": {"type": "string"}, "key_window": {"type": "string"},
  "ordered": {"type": "boolean"}}}},
 "kinds": {"type": "array", "items": {"type": "object", "required": ["name"], "additionalProperties": false,
  "properties": {"name": {"type": "string"}, "routes_apart": {"type": "boolean"},
  "bundle_max": {"type": "integer", "minimum": 1, "maximum": 1000}, "unseen_503": {"type": "boolean"},
  "smpp": {"type": "object", "required": ["system_id", "password"], "additionalProperties": false, "properties": {
   "system_id": {"type": "string", "pattern": "^[!-~]{1,15}$"}, "password": {"type": "string", "pattern": "^[!-~]{0,8}$"},
   "system_type": {"type": "string", "pattern": "^[!-~]{0,12}$"},
   "bind": {"type": "string"}, "long": {"type": "string"},
   "sender": {"type": "string", "pattern": "^[+]?[0-9A-Za-z._-]{1,20}$"},
   "recipient": {"type": "string", "pattern": "^[+]?[0-9A-Za-z._-]{1,20}$"},
   "window": {"type": "integer", "minimum": 1, "maximum": 10000}, "response": {"type": "string"},
   "own_tags": {"type": "boolean"},
   "unseen": {"type": "array", "items": {"type": "integer", "minimum": 1, "maximum": 4294967295}},
   "service_types": {"type": "object", "additionalProperties": {"type": "string", "pattern": "^[!-~]{0,5}$"}}}}}}},
 "smpp": {"type": "object", "required": ["listen", "clients", "classes"], "additionalProperties": false, "properties": {
  "listen": {"type": "string"}, "system_id": {"type": "string", "pattern": "^[!-~]{1,15}$"},
  "clients": {"type": "array", "minItems": 1, "items": {"type": "object", "required": ["system_id", "password"],
   "additionalProperties": false, "properties": {
   "system_id": {"type": "string", "pattern": "^[!-~]{1,15}$"}, "password": {"type": "string"},
   "tenant": {"type": "string"}, "binds_max": {"type": "integer", "minimum": 1, "maximum": 10000}}}},
  "classes": {"type": "array", "minItems": 1, "items": {"type": "object", "required": ["class"],
   "additionalProperties": false, "properties": {"class": {"type": "string"},
   "service_type": {"type": "string", "pattern": "^[!-~]{0,5}$"},
   "priority": {"type": "integer", "minimum": 0, "maximum": 3}}}},
  "routes": {"type": "array", "items": {"type": "object", "required": ["prefix", "destination"],
   "additionalProperties": false, "properties": {"prefix": {"type": "string", "pattern": "^[+]?[0-9]{0,20}$"},
   "destination": {"type": "string"}}}},
  "binds_max": {"type": "integer", "minimum": 1, "maximum": 100000},
  "bind_tries": {"type": "integer", "minimum": 1, "maximum": 1000}, "bind_rest": {"type": "string"},
  "session_init": {"type": "string"}, "enquire_after": {"type": "string"}, "inactivity": {"type": "string"},
  "response": {"type": "string"}, "window": {"type": "integer", "minimum": 1, "maximum": 100000},
  "validity": {"type": "string"}, "receipts_max": {"type": "integer", "minimum": 0, "maximum": 10000000},
  "receipts_for": {"type": "string"}, "scheduled_max": {"type": "integer", "minimum": 0, "maximum": 10000000}}},
 "zones": {"type": "array", "items": {"type": "object", "required": ["name"], "additionalProperties": false,
  "properties": {"name": {"type": "string"}, "fee": {"type": "number", "minimum": 0}}}},
 "tenants": {"type": "array", "items": {"type": "object", "required": ["name"], "additionalProperties": false,
  "properties": {"name": {"type": "string"}, "quota": {"type": "string"}}}},
 "dispatcher": {"type": "object", "additionalProperties": false, "properties": {
  "decay": {"type": "string"}, "weights": {"type": "string"},
  "refused_price": {"type": "number", "minimum": 0},
  "over_share_worth": {"type": "number", "minimum": 0, "maximum": 1},
  "relays": {"type": "integer", "minimum": 1, "maximum": 100000},
  "rank": {"type": "integer", "minimum": 0, "maximum": 99999},
  "zone": {"type": "string"},
  "slots": {"type": "integer", "minimum": 1, "maximum": 1000000},
  "open_max": {"type": "integer", "minimum": 1, "maximum": 10000000},
  "attempts_max": {"type": "integer", "minimum": 1, "maximum": 1000},
  "second_copies": {"type": "boolean"}, "cancelling": {"type": "boolean"}, "probes": {"type": "boolean"},
  "subscribe": {"type": "boolean"},
  "tick": {"type": "string"}, "connect_timeout": {"type": "string"}, "connection_idle": {"type": "string"},
  "retry_after_max": {"type": "string"}, "answer_slack": {"type": "string"}, "drain_grace": {"type": "string"},
  "must_ask_in": {"type": "string"}, "settle_after_doubt": {"type": "string"},
  "fall_multiple": {"type": "number", "minimum": 0}, "overload_for": {"type": "string"},
  "cold_from": {"type": "number", "minimum": 0, "maximum": 1}, "cold": {"type": "string"}}}
}})json";

namespace {

// The names of a list's items; fails if one occurs twice.
std::vector<std::string> names_of(const Value& root, const char* key) {
  std::vector<std::string> names;
  for (const auto& item : root.items(key)) {
    const std::string name = item.at("name").text();
    if (std::find(names.begin(), names.end(), name) != names.end())
      item.at("name").fail("'" + name + "' is named twice");
    names.push_back(name);
  }
  return names;
}

ClassSettings read_class(const Value& v) {
  ClassSettings c;
  c.worth = v.number("worth", c.worth);
  c.late_worth = v.number("late_worth", c.late_worth);
  c.aim = v.duration("aim", c.aim);
  c.deadline = v.duration("deadline", c.deadline);
  c.effect = v.enum_value<Effect>(
      "effect", {{"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}}, c.effect);
  c.group = v.enum_value<KeyGroup>("group", {{"all", KeyGroup::all}, {"zone", KeyGroup::zone}}, c.group);
  c.key_window = v.duration("key_window", c.key_window);
  c.ordered = v.boolean("ordered", c.ordered);
  if (c.aim > c.deadline) v.fail("aim lies after deadline");
  if (c.effect == Effect::keyed && c.key_window <= 0) v.fail("a keyed class needs its key_window");
  if (c.effect != Effect::keyed && v.has("key_window")) v.at("key_window").fail("only a keyed class has one");
  return c;
}

SmppEndpointSettings read_smpp_endpoint(const Value& v, const Names& names) {
  SmppEndpointSettings b;
  b.system_id = v.at("system_id").text(), b.password = v.at("password").text();
  b.system_type = v.text("system_type", "");
  b.transceiver = v.enum_value<bool>("bind", {{"transmitter", false}, {"transceiver", true}}, false);
  b.sender = v.text("sender", ""), b.recipient = v.text("recipient", "");
  using Mode = SmppEndpointSettings::LongMessageMode;
  b.long_messages = v.enum_value<Mode>(
      "long", {{"udh", Mode::udh}, {"sar", Mode::sar}, {"payload", Mode::payload}}, b.long_messages);
  b.window = v.integer("window", b.window);
  b.response = v.duration("response", b.response);
  b.own_tags = v.boolean("own_tags", b.own_tags);
  for (const auto& u : v.items("unseen")) b.unseen.push_back(static_cast<std::uint32_t>(u.integer()));
  if (v.has("service_types"))
    for (const auto& [name, type] : v.at("service_types").entries()) {
      if (std::find(names.classes.begin(), names.classes.end(), name) == names.classes.end())
        type.fail("no class is named '" + name + "'");
      b.service_types[name] = type.text();
    }
  return b;
}

SmppServerSettings read_smpp_server(const Value& v, const Names& names) {
  SmppServerSettings f;
  f.listen = v.at("listen").text();
  f.system_id = v.text("system_id", f.system_id);
  std::set<std::string> seen;
  for (const auto& c : v.items("clients")) {
    SmppClient client;
    client.system_id = c.at("system_id").text(), client.password = c.at("password").text();
    if (!seen.insert(client.system_id).second)
      c.at("system_id").fail("'" + client.system_id + "' is listed twice");
    if (client.password.rfind("pbkdf2-sha256$", 0) != 0)
      c.at("password").fail("is no hash: 'cedarplank hash-password' makes one");
    if (c.has("tenant")) client.tenant = c.at("tenant").index_in(names.tenants, "tenant");
    client.binds_max = c.integer("binds_max", client.binds_max);
    f.clients.push_back(std::move(client));
  }
  for (const auto& c : v.items("classes")) {
    SmppClassRule rule;
    c.at("class").index_in(names.classes, "class");
    rule.message_class = c.at("class").text();
    if (c.has("service_type")) rule.service_type = c.at("service_type").text();
    if (c.has("priority")) rule.priority = c.integer("priority", 0);
    f.classes.push_back(std::move(rule));
  }
  for (const auto& r : v.items("routes"))
    f.routes.push_back({r.at("prefix").text(), r.at("destination").text()});
  f.binds_max = v.integer("binds_max", f.binds_max);
  f.bind_tries = v.integer("bind_tries", f.bind_tries);
  f.bind_rest = v.duration("bind_rest", f.bind_rest);
  f.session_init = v.duration("session_init", f.session_init);
  f.enquire_after = v.duration("enquire_after", f.enquire_after);
  f.inactivity = v.duration("inactivity", f.inactivity);
  f.response = v.duration("response", f.response);
  f.window = v.integer("window", f.window);
  f.validity = v.duration("validity", f.validity);
  f.receipts_max = v.integer("receipts_max", f.receipts_max);
  f.receipts_for = v.duration("receipts_for", f.receipts_for);
  f.scheduled_max = v.integer("scheduled_max", f.scheduled_max);
  return f;
}

Settings read_dispatcher(const Value& root, const Names& names) {
  Settings s;
  for (const auto& c : root.items("classes")) s.classes.push_back(read_class(c));
  for (const auto& k : root.items("kinds"))
    s.kinds.push_back({k.boolean("routes_apart", false), k.integer("bundle_max", 1)});
  for (const auto& t : root.items("tenants")) s.tenants.push_back({t.rate("quota", 0)});
  for (const auto& z : root.items("zones")) s.zone_fees.push_back(z.number("fee", 0));
  s.slots = 64, s.open_max = 1000, s.attempts_max = 8;  // the defaults even if there is no such section
  s.cancelling = true, s.retry_after_max = 30'000'000;
  if (!root.has("dispatcher")) return s;
  const Value v = root.at("dispatcher");
  s.decay = v.enum_value<Decay>("decay", {{"line", Decay::line}, {"halves", Decay::halves}}, s.decay);
  s.weights = v.enum_value<WeightKind>(
      "weights", {{"none", WeightKind::none}, {"nominal", WeightKind::nominal}, {"rough", WeightKind::rough}},
      s.weights);
  s.refused_price = v.number("refused_price", s.refused_price);
  s.over_share_worth = v.number("over_share_worth", s.over_share_worth);
  s.relays = v.integer("relays", s.relays);
  s.rank = v.integer("rank", s.rank);
  if (s.rank >= s.relays) (v.has("rank") ? v.at("rank") : v).fail("rank must be less than relays");
  if (v.has("zone")) s.zone = v.at("zone").index_in(names.zones, "zone");
  s.slots = v.integer("slots", s.slots);
  s.open_max = v.integer("open_max", s.open_max);
  s.attempts_max = v.integer("attempts_max", s.attempts_max);
  s.second_copies = v.boolean("second_copies", s.second_copies);
  s.cancelling = v.boolean("cancelling", s.cancelling);
  s.probes = v.boolean("probes", s.probes);
  s.subscribe = v.boolean("subscribe", s.subscribe);
  s.tick = v.duration("tick", s.tick);
  s.connect_timeout = v.duration("connect_timeout", s.connect_timeout);
  s.connection_idle = v.duration("connection_idle", s.connection_idle);
  s.retry_after_max = v.duration("retry_after_max", s.retry_after_max);
  s.answer_slack = v.duration("answer_slack", s.answer_slack);
  s.drain_grace = v.duration("drain_grace", s.drain_grace);
  s.must_ask_in = v.duration("must_ask_in", s.must_ask_in);
  s.settle_after_doubt = v.duration("settle_after_doubt", s.settle_after_doubt);
  s.fall_multiple = v.number("fall_multiple", s.fall_multiple);
  s.overload_for = v.duration("overload_for", s.overload_for);
  s.cold_from = v.number("cold_from", s.cold_from);
  s.cold = v.duration("cold", s.cold);
  return s;
}

RelaySettings read(const Document& document) {
  const Value root = document.root();
  RelaySettings s;
  s.names = {names_of(root, "classes"), names_of(root, "kinds"), names_of(root, "zones"),
             names_of(root, "tenants")};
  for (const auto& k : root.items("kinds")) {
    KindProtocol protocol{k.boolean("unseen_503", false), {}};
    if (k.has("smpp")) protocol.smpp = read_smpp_endpoint(k.at("smpp"), s.names);
    if (protocol.smpp && k.has("unseen_503"))
      k.at("unseen_503").fail("is of HTTP; with smpp, see smpp.unseen");
    s.kind_protocols.push_back(std::move(protocol));
  }
  if (root.has("smpp")) s.smpp = read_smpp_server(root.at("smpp"), s.names);

  const Value relay = root.at("relay");
  s.name = relay.text("name", s.name);
  s.listen = relay.at("listen").text();
  s.seed = static_cast<std::uint64_t>(relay.has("seed") ? relay.at("seed").integer() : 0);
  s.tenant_field = relay.text("tenant_field", s.tenant_field);
  if (!s.names.tenants.empty() && s.tenant_field.empty())
    relay.fail("tenants are listed, but tenant_field is missing");
  s.drain_within = relay.duration("drain_within", s.drain_within);
  s.body_max = relay.size("body_max", s.body_max);
  s.body_total_max = relay.size("body_total_max", s.body_total_max);
  s.held_bytes_max = relay.size("held_bytes_max", s.held_bytes_max);
  s.late_at = relay.duration("late_at", s.late_at);
  s.client_connections_max = relay.integer("connections_max", s.client_connections_max);
  s.client_streams_max = relay.integer("streams_max", s.client_streams_max);
  s.stalled_after = relay.duration("stalled_after", s.stalled_after);
  if (root.has("endpoints")) {
    const Value endpoints = root.at("endpoints");
    s.endpoint_connections_max = endpoints.integer("connections_max", s.endpoint_connections_max);
    s.endpoint_streams_max = endpoints.integer("streams_max", s.endpoint_streams_max);
    s.endpoint_calls_at_risk = endpoints.integer("calls_at_risk", s.endpoint_calls_at_risk);
    s.endpoint_ping_after = endpoints.duration("ping_after", s.endpoint_ping_after);
    s.endpoint_ping_timeout = endpoints.duration("ping_timeout", s.endpoint_ping_timeout);
    s.handshakes_max = endpoints.integer("handshakes_max", s.handshakes_max);
  }
  // A file name relative to the folder of the settings file.
  const auto in_settings_folder = [&](const std::string& name) {
    return (std::filesystem::path(document.file()).parent_path() / name).string();
  };
  const Value partners = root.at("partners");
  s.partners_file = in_settings_folder(partners.at("file").text());
  if (partners.has("cache")) s.partners_cache = in_settings_folder(partners.at("cache").text());
  s.partners_reread = partners.duration("reread", s.partners_reread);
  if (s.partners_reread < 10'000) partners.at("reread").fail("must be 10ms or more");
  s.dispatcher = read_dispatcher(root, s.names);
  if (root.has("journal")) {
    const Value journal = root.at("journal");
    JournalSettings j;
    j.folder = in_settings_folder(journal.at("folder").text());
    const std::string sync = journal.text("sync", "each");
    j.sync = sync == "each"      ? JournalSettings::Sync::each
             : sync == "batched" ? JournalSettings::Sync::batched
                                 : JournalSettings::Sync::none;
    j.batch_time = journal.duration("batch_time", j.batch_time);
    j.batch_records = journal.integer("batch_records", j.batch_records);
    j.segment = journal.size("segment", j.segment);
    j.disk_max = journal.size("disk", j.disk_max);
    // There must be space for a message's record, and for the records that must still be written when no
    // further message is accepted.
    if (j.segment < 4 * s.body_max + 65'536)
      journal.fail("segment: must be 4 times relay.body_max and 64 KiB or more");
    if (j.disk_max < 8 * j.segment) journal.fail("disk: must be 8 segments or more");
    j.answers_for = journal.duration("answers_for", j.answers_for);
    j.answers_max = journal.integer("answers_max", j.answers_max);
    s.journal = j;
  }
  if (root.has("trace")) {
    const Value trace = root.at("trace");
    s.trace_file = in_settings_folder(trace.at("file").text());
    s.trace_file_bytes = trace.size("file_size", s.trace_file_bytes);
    if (s.trace_file_bytes < 4096) trace.at("file_size").fail("must be 4 KiB or more");
    s.trace_memory = trace.size("memory", s.trace_memory);
    s.trace_files = trace.integer("files", s.trace_files);
    s.trace_sample = trace.integer("sample", s.trace_sample);
    s.trace_steps = trace.integer("steps", s.trace_steps);
    s.trace_per_s = trace.rate("rate", s.trace_per_s);
    for (const auto& w : trace.items("watch")) s.trace_watch.push_back(w.text());
  }
  if (root.has("peers")) {
    s.notes_listen = root.at("peers").at("listen").text();
    for (const auto& p : root.at("peers").items("relays"))
      s.peers.push_back({static_cast<int>(p.at("rank").integer()), p.at("address").text()});
    s.dispatcher.peers = true;
  }
  if (s.kind_protocols.empty())
    s.kind_protocols.emplace_back(), s.dispatcher.kinds.emplace_back(), s.names.kinds.push_back("plain");
  try {
    validate(s.dispatcher);
  } catch (const std::invalid_argument& e) {
    root.fail(e.what());
  }
  return s;
}

}  // namespace

RelaySettings load_relay_settings(const std::string& file) {
  return read(Document::load(file, kRelaySchema));
}
RelaySettings parse_relay_settings(const std::string& file, const std::string& text) {
  return read(Document::parse(file, text, kRelaySchema));
}

}  // namespace cedarplank::config
