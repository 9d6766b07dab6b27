// The settings of a relay: what the file says, checked, in the terms of the program.
#pragma once

#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "config/document.hpp"

namespace cedarplank::config {

// Names of the settings' lists; events carry positions in them.
struct Names {
  std::vector<std::string> classes, kinds, zones, tenants;
};

// What the wire of a kind of destination means, beyond what its protocol says.
struct KindWire {
  bool unseen_503 = false;  // its 503 is given before the message is looked at: proves that it never ran
};

struct PeerAddress {
  int rank = 0;
  std::string address;
};

struct RelaySettings {
  std::string name = "relay";
  std::string listen = "127.0.0.1:0";
  std::uint64_t seed = 0;  // 0: drawn at start
  std::string tenant_field;
  Time drain_within = 10'000'000;  // held messages get their final answers within this time of a stop
  std::int64_t body_max = 64 * 1024;
  std::int64_t body_total_max = 64 * 1024 * 1024;  // bodies that are still coming in, of all clients together
  std::int64_t held_bytes_max = 256 * 1024 * 1024;  // bodies of the messages that are held
  Time late_at =
      500'000;  // turns that take longer, for two intervals on end: overload; fewer requests are let in
  int client_connections_max = 1024;
  int client_streams_max = 1000;           // SETTINGS_MAX_CONCURRENT_STREAMS for clients
  int endpoint_connections_max = 8;        // to one endpoint
  int endpoint_streams_max = 100;          // calls on one connection, if the peer allows more
  int endpoint_calls_at_risk = 50;         // on one connection; beyond it a further one is opened
  Time endpoint_ping_after = 5'000'000;    // nothing heard for so long: PING; 0: never
  Time endpoint_ping_timeout = 2'000'000;  // no answer: the connection takes no more calls
  int handshakes_max = 64;                 // of connections to endpoints, in progress at once
  Time stalled_after = 30'000'000;         // a peer that reads nothing for so long is cut off
  std::string partners_file, partners_cache;
  Time partners_reread = 500'000;
  std::string notes_listen;
  std::vector<PeerAddress> peers;
  std::string trace_file;  // empty: no stories are kept
  std::int64_t trace_file_bytes = 64 * 1024 * 1024, trace_memory = 16 * 1024 * 1024;
  int trace_files = 4;                   // old ones kept
  int trace_sample = 100;                // one in so many of the messages that went as they should; 0: none
  int trace_steps = 32;                  // of one story
  double trace_per_s = 200;              // stories kept
  std::vector<std::string> trace_watch;  // destinations
  std::vector<KindWire> kind_wire;       // by kind
  Names names;
  Settings dispatcher;
};

extern const char* const kRelaySchema;

// Throw ConfigError. Relative file names are taken from the folder of the settings file.
RelaySettings load_relay_settings(const std::string& file);
RelaySettings parse_relay_settings(const std::string& file, const std::string& text);

}  // namespace cedarplank::config
