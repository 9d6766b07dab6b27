#include "platform/catalogue.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>

#include "net/socket.hpp"

namespace cedarplank::platform {

using namespace settings;

Catalogue read_catalogue(const Value& v, const std::string& path, const NameTables& tables,
                         Time unix_to_monotonic) {
  as_object(v, path);
  Catalogue c;
  c.index = get(v, "index", path, as_integer);
  c.whole = get(v, "snapshot", path, as_bool);
  const Value& list = as_array(required(v, "endpoints", path), path + ".endpoints");
  for (SizeType i = 0; i < list.Size(); i++) {
    const std::string where = path + ".endpoints[" + std::to_string(i) + "]";
    const Value& e = as_object(list[i], where);
    ListedEndpoint l;
    l.endpoint.id = get(e, "name", where, as_text);
    if (l.endpoint.id.empty()) malformed(where + ".name", "must not be empty");
    l.endpoint.destination = get(e, "group", where, as_integer);
    l.endpoint.listing = enum_value<Listing>(
        get(e, "status", where, as_text),
        {{"ready", Listing::active}, {"draining", Listing::draining}, {"gone", Listing::gone}},
        where + ".status");
    l.endpoint.zone = index_of(tables.zones, get(e, "zone", where, as_text, ""));
    l.endpoint.kind = index_of(tables.kinds, get(e, "type", where, as_text, ""));
    l.endpoint.weight = get(e, "weight", where, as_number, 1.0);
    const std::int64_t since = l.started_ms = get(e, "since_ms", where, as_integer, 0);
    // 0 means long ago, also to the dispatcher. A time before the monotonic clock began becomes 0.
    if (since > 0 && since < 4'000'000'000'000)
      l.endpoint.since = std::max<Time>(0, since * 1000 + unix_to_monotonic);
    l.address = get(e, "address", where, as_text, "");
    if (l.endpoint.listing != Listing::gone) {
      try {
        net::Address::parse(l.address);
      } catch (const std::invalid_argument& bad) {
        malformed(where + ".address", bad.what());
      }
    }
    c.endpoints.push_back(std::move(l));
  }
  return c;
}

Catalogue read_catalogue(const std::string& json, const NameTables& tables, Time unix_to_monotonic) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError())
    throw FieldError("catalogue: offset " + std::to_string(d.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(d.GetParseError()));
  return read_catalogue(d, "catalogue", tables, unix_to_monotonic);
}

}  // namespace cedarplank::platform
