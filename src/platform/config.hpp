// The relay's configuration, which the platform provides in one JSON file: read, checked and converted to the
// program's own types.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "platform/catalogue.hpp"

namespace cedarplank::platform {

struct Limits {  // of the machine
  std::size_t sockets = 1024;
  std::uint64_t memory = 192'000'000;  // bytes
  std::uint64_t disk = 3'000'000;      // bytes in the persistent folder
};

// listen, discovery: addresses, of this relay and of the discovery service. state: the persistent folder.
struct Config {
  std::string name, listen, discovery, state;
  std::uint64_t seed = 0;
  Limits limits;
  std::string peer_listen, peers_all;  // peers_all reaches all peers; empty: none
  std::vector<std::string> peers;      // addresses by rank, including this relay
  std::optional<Catalogue> known;      // the endpoint list as last known
  Settings settings;
  settings::NameTables names;
};

// These throw settings::FieldError, which names the member, std::invalid_argument, or std::runtime_error,
// which names the file. `unix_to_monotonic`: see read_catalogue().
Config read_config(const std::string& json, Time unix_to_monotonic);
Config load_config(const std::string& file, Time unix_to_monotonic);

}  // namespace cedarplank::platform
