#include "platform/config.hpp"

#include <rapidjson/error/en.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "net/socket.hpp"

namespace cedarplank::platform {
namespace {

using namespace settings;

std::string address(const Value& v, const std::string& path) {
  const std::string text = as_text(v, path);
  try {
    net::Address::parse(text);
  } catch (const std::invalid_argument& bad) {
    malformed(path, bad.what());
  }
  return text;
}

// Reads hexadecimal text or a number.
std::uint64_t seed(const Value& v, const std::string& path) {
  if (v.IsUint64()) return v.GetUint64();
  const std::string text = as_text(v, path);
  if (text.empty() || text.size() > 16 ||
      text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    malformed(path, "must be up to 16 hexadecimal digits");
  return std::stoull(text, nullptr, 16);
}

// In MB. The journal consists of whole segments, each with space for a record with a body of 64 KiB; with
// less than the minimum it could not move on to new segments.
double disk(const Value& v, const std::string& path) {
  const double n = as_number(v, path);
  if (!(n >= 1) || n > 1e6) malformed(path, "must be 1 or more");
  return n;
}

double positive(const Value& v, const std::string& path) {
  const double n = as_number(v, path);
  if (!(n > 0) || n > 1e9) malformed(path, "must be above 0");
  return n;
}

}  // namespace

Config read_config(const std::string& json, Time unix_to_monotonic) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError())
    throw FieldError("offset " + std::to_string(d.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(d.GetParseError()));
  const std::string path = "config";
  as_object(d, path);
  Config c;
  c.name = get(d, "name", path, as_text);
  c.listen = get(d, "listen", path, address), c.discovery = get(d, "discovery", path, address);
  c.state = get(d, "state", path, as_text, "");
  c.seed = get(d, "seed", path, seed);
  if (const Value* limits = find(d, "limits")) {
    const std::string at = path + ".limits";
    as_object(*limits, at);
    c.limits.sockets = static_cast<std::size_t>(get(*limits, "sockets", at, positive, 1024.0));
    c.limits.memory = static_cast<std::uint64_t>(get(*limits, "memory_mb", at, positive, 192.0) * 1e6);
    c.limits.disk = static_cast<std::uint64_t>(get(*limits, "disk_mb", at, disk, 3.0) * 1e6);
  }
  if (find(d, "peer_listen") != nullptr) c.peer_listen = get(d, "peer_listen", path, address);
  if (find(d, "peers_all") != nullptr) c.peers_all = get(d, "peers_all", path, address);
  if (const Value* peers = find(d, "peers"))
    for (const auto& p : as_array(*peers, path + ".peers").GetArray())
      c.peers.push_back(address(p, path + ".peers"));
  c.settings = read_simulator(required(d, "settings", path), path + ".settings", c.names);
  try {
    validate(c.settings);
  } catch (const std::invalid_argument& bad) {
    throw FieldError(path + "." + bad.what());
  }
  // The platform's protocol has no probes, and discovery sends nothing unasked. Where the settings say that
  // lists are pushed, they come by a watch as well.
  c.settings.probes = false, c.settings.subscribe = true;
  if (const Value* known = find(d, "known"))
    c.known = read_catalogue(*known, path + ".known", c.names, unix_to_monotonic);
  return c;
}

Config load_config(const std::string& file, Time unix_to_monotonic) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw std::runtime_error(file + ": " + std::strerror(errno));
  try {
    return read_config(text.str(), unix_to_monotonic);
  } catch (const FieldError& e) {
    throw FieldError(file + ": " + e.what());
  }
}

}  // namespace cedarplank::platform
