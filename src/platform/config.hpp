// What the platform tells a relay at its start: one JSON file. Checked, in the terms of the program.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "platform/catalogue.hpp"

namespace cedarplank::platform {

struct Limits {  // of the machine
  std::size_t sockets = 1024;
  std::uint64_t disk = 3'000'000;  // bytes in the folder that lasts
};

struct Config {
  std::string name, listen, discovery, state;
  std::uint64_t seed = 0;
  Limits limits;
  std::string peer_listen, peers_all;  // empty: none
  std::vector<std::string> peers;      // by rank, this relay included
  std::optional<Catalogue> known;
  Settings settings;
  settings::Tables names;
};

// Throws settings::FieldError (naming the member), std::invalid_argument or std::runtime_error (the file).
Config read_config(const std::string& json, Time unix_to_module);
Config load_config(const std::string& file, Time unix_to_module);

}  // namespace cedarplank::platform
