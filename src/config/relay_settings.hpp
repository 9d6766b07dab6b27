// The settings of a relay: the contents of its settings file, checked and converted to the program's types.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "config/document.hpp"

namespace cedarplank::config {

// The names in the settings' lists. Events carry indexes into these lists.
struct Names {
  std::vector<std::string> classes, kinds, zones, tenants;
};

// How endpoints of a kind are called by SMPP (docs/operate/smpp.md).
struct SmppEndpointSettings {
  enum class LongMessageMode { udh, sar, payload };  // how a message too long for one PDU is sent
  std::string system_id, password, system_type;
  bool transceiver = false;       // bind as transceiver, else as transmitter
  std::string sender, recipient;  // for messages that name none
  LongMessageMode long_messages = LongMessageMode::udh;
  int window = 50;             // outstanding submits on one bind
  Time response = 30'000'000;  // a submit without a response after this time counts as lost
  bool own_tags = false;       // the partner supports this program's own parameters: keys, topics, waits
  std::vector<std::uint32_t> unseen;  // further statuses that prove that the message was not processed
  std::map<std::string, std::string> service_types;  // by message class
  bool operator==(const SmppEndpointSettings&) const = default;
};

// The protocol of a kind of destination, and what its answers mean beyond the protocol's definition.
struct KindProtocol {
  bool unseen_503 = false;  // a 503 comes before the message is read, so it proves that nothing was processed
  std::optional<SmppEndpointSettings> smpp = {};  // if not set: HTTP/2
  bool operator==(const KindProtocol&) const = default;
};

// A client of the SMPP server; to it the relay is the message centre (SMSC).
struct SmppClient {
  std::string system_id, password;  // the password's hash: see sms/password.hpp
  int tenant = -1;                  // index into the tenants; -1: none
  int binds_max = 4;
  bool operator==(const SmppClient&) const = default;
};
// Chooses the class of a submitted message; the first rule that matches applies.
struct SmppClassRule {
  std::optional<std::string> service_type;
  std::optional<int> priority;
  std::string message_class;
  bool operator==(const SmppClassRule&) const = default;
};
// Chooses the destination of a submitted message; the longest prefix of its destination_addr applies.
struct SmppRoute {
  std::string prefix, destination;
  bool operator==(const SmppRoute&) const = default;
};
struct SmppServerSettings {
  std::string listen;
  std::string system_id = "cedarplank";
  std::vector<SmppClient> clients;
  std::vector<SmppClassRule> classes;
  std::vector<SmppRoute> routes;
  int binds_max = 256;          // sessions, bound or not
  int bind_tries = 5;           // failed binds for a system_id or from an address before it must wait
  Time bind_rest = 10'000'000;  // the first such wait; it doubles each further time
  Time session_init = 5'000'000, enquire_after = 30'000'000, inactivity = 0, response = 10'000'000;
  int window = 1000;           // outstanding submits of one bind, and outstanding receipts on it
  Time validity = 60'000'000;  // of a message that states no validity_period
  int receipts_max = 100'000;  // kept for clients that are not bound, all clients together
  Time receipts_for = 3'600'000'000;
  int scheduled_max = 10'000;  // messages waiting for their schedule_delivery_time
  bool operator==(const SmppServerSettings&) const = default;
};

// The journal: where a relay stores what it needs after a crash.
struct JournalSettings {
  std::string folder;
  enum class Sync { each, batched, none } sync = Sync::each;  // see store::WriterSettings
  Time batch_time = 2'000;  // `batched`: records are synced together after this time or this many records
  int batch_records = 256;
  std::int64_t disk_max = 1'024 * 1'024 * 1'024, segment = 16 * 1'024 * 1'024;
  Time answers_for = 3'600'000'000;  // how long final answers are kept for clients to ask for
  int answers_max = 100'000;
  bool operator==(const JournalSettings&) const = default;
};

// Another relay, for notes between relays.
struct PeerAddress {
  int rank = 0;
  std::string address;
};

struct RelaySettings {
  std::string name = "relay";
  std::string listen = "127.0.0.1:0";
  std::uint64_t seed = 0;  // 0: chosen at random at start
  std::string tenant_field;
  Time drain_within = 10'000'000;  // after a stop, held messages get their final answers within this time
  std::int64_t body_max = 64 * 1024;
  std::int64_t body_total_max = 64 * 1024 * 1024;   // bodies still being received, of all clients together
  std::int64_t held_bytes_max = 256 * 1024 * 1024;  // bodies of held messages
  // Turns of the loop that take longer than this during two consecutive intervals mean overload: fewer
  // requests are admitted.
  Time late_at = 500'000;
  int client_connections_max = 1024;
  int client_streams_max = 1000;           // SETTINGS_MAX_CONCURRENT_STREAMS for clients
  int endpoint_connections_max = 8;        // to one endpoint
  int endpoint_streams_max = 100;          // calls on one connection, if the peer allows more
  int endpoint_calls_at_risk = 50;         // calls on one connection; with more, another connection is opened
  Time endpoint_ping_after = 5'000'000;    // PING after this time without data from the peer; 0: never
  Time endpoint_ping_timeout = 2'000'000;  // without an answer, the connection gets no more calls
  int handshakes_max = 64;                 // connections to endpoints being established at once
  Time stalled_after = 30'000'000;         // a peer that reads nothing for this time is disconnected
  std::string partners_file, partners_cache;
  Time partners_reread = 500'000;
  std::string notes_listen;
  std::vector<PeerAddress> peers;
  std::string trace_file;  // empty: no message traces are written
  std::int64_t trace_file_bytes = 64 * 1024 * 1024, trace_memory = 16 * 1024 * 1024;
  int trace_files = 4;       // old files kept
  int trace_sample = 100;    // one in this many messages without trouble is traced; 0: none of them
  int trace_steps = 32;      // recorded steps in one trace
  double trace_per_s = 200;  // traces written per second
  std::vector<std::string> trace_watch;      // destinations whose messages are all traced
  std::vector<KindProtocol> kind_protocols;  // by kind
  std::optional<SmppServerSettings> smpp;
  std::optional<JournalSettings> journal;
  Names names;
  Settings dispatcher;
};

extern const char* const kRelaySchema;

// Throw ConfigError. Relative file names are relative to the folder of the settings file.
RelaySettings load_relay_settings(const std::string& file);
RelaySettings parse_relay_settings(const std::string& file, const std::string& text);

}  // namespace cedarplank::config
