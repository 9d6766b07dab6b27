#include "config/partners.hpp"

#include <map>
#include <set>

namespace cedarplank::config {

const char* const kPartnersSchema = R"json({
"type": "object", "required": ["partners"], "additionalProperties": false,
"properties": {
 "version": {"type": "integer", "minimum": 0},
 "count": {"type": "integer", "minimum": 0},
 "partners": {"type": "array", "items": {"type": "object", "required": ["destination", "endpoints"],
  "additionalProperties": false, "properties": {
  "destination": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
  "kind": {"type": "string"},
  "weight": {"type": "string"},
  "endpoints": {"type": "array", "items": {"type": "object", "required": ["address"],
   "additionalProperties": false, "properties": {
   "id": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,128}$"},
   "address": {"type": "string"},
   "path": {"type": "string", "pattern": "^/[!-~]{0,1024}$"},
   "zone": {"type": "string"},
   "state": {"type": "string"},
   "weight": {"type": "string"}}}}}}}
}})json";

PartnerList parse_partners(const std::string& file, const std::string& text, const Names& names) {
  if (text.empty() || text.back() != '\n')
    throw ConfigError({file + ": does not end with a line's end: half written?"});
  const Document document = Document::parse(file, text, kPartnersSchema);
  const Value root = document.root();
  PartnerList list;
  list.version = root.has("version") ? root.at("version").integer() : 0;
  std::set<std::string> ids, destinations;
  for (const auto& partner : root.items("partners")) {
    PartnerEndpoint common;
    common.destination = partner.at("destination").text();
    if (!destinations.insert(common.destination).second)
      partner.at("destination").fail("'" + common.destination + "' is listed twice");
    if (partner.has("kind")) common.kind = partner.at("kind").index_in(names.kinds, "kind");
    common.weight = partner.rate("weight", 1);
    for (const auto& v : partner.items("endpoints")) {
      PartnerEndpoint e = common;
      e.address = v.at("address").text();
      e.id = v.text("id", e.address);
      if (!ids.insert(e.id).second) v.fail("endpoint '" + e.id + "' is listed twice");
      e.path = v.text("path", "/push");
      if (v.has("zone")) e.zone = v.at("zone").index_in(names.zones, "zone");
      e.listing = v.enum_value<Listing>(
          "state", {{"active", Listing::active}, {"draining", Listing::draining}, {"gone", Listing::gone}},
          Listing::active);
      e.weight = v.rate("weight", common.weight);
      list.endpoints.push_back(std::move(e));
    }
  }
  if (root.has("count") && root.at("count").integer() != static_cast<std::int64_t>(list.endpoints.size()))
    root.at("count").fail("says " + root.at("count").text() + ", but the list has " +
                          std::to_string(list.endpoints.size()) + " endpoints: half written?");
  return list;
}

std::string write_partners(const PartnerList& list, const Names& names) {
  std::map<std::string, std::vector<const PartnerEndpoint*>> by_destination;
  for (const auto& e : list.endpoints) by_destination[e.destination].push_back(&e);
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "version" << YAML::Value << list.version;
  out << YAML::Key << "count" << YAML::Value << list.endpoints.size() << YAML::Key << "partners"
      << YAML::BeginSeq;
  for (const auto& [destination, endpoints] : by_destination) {
    out << YAML::BeginMap << YAML::Key << "destination" << YAML::Value << destination;
    if (!names.kinds.empty())
      out << YAML::Key << "kind" << YAML::Value << names.kinds[static_cast<std::size_t>(endpoints[0]->kind)];
    out << YAML::Key << "endpoints" << YAML::BeginSeq;
    for (const auto* e : endpoints) {
      out << YAML::Flow << YAML::BeginMap << YAML::Key << "id" << YAML::Value << e->id << YAML::Key
          << "address" << YAML::Value << e->address << YAML::Key << "path" << YAML::Value << e->path;
      if (!names.zones.empty())
        out << YAML::Key << "zone" << YAML::Value << names.zones[static_cast<std::size_t>(e->zone)];
      out << YAML::Key << "state" << YAML::Value
          << (e->listing == Listing::active     ? "active"
              : e->listing == Listing::draining ? "draining"
                                                : "gone");
      out << YAML::Key << "weight" << YAML::Value << std::to_string(e->weight) + "/s" << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace cedarplank::config
