// One relay on the platform: its protocol's ways in and out around one core, with a journal between them. All
// decisions on messages are the module's; this carries them out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/attempt_log.hpp"
#include "platform/clients.hpp"
#include "platform/config.hpp"
#include "platform/discovery.hpp"
#include "platform/endpoints.hpp"
#include "platform/event_log.hpp"
#include "platform/journal.hpp"
#include "platform/outcomes.hpp"
#include "platform/peers.hpp"
#include "platform/request_registry.hpp"
#include "platform/semantics.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class Relay final : relay::Answers, relay::Log {
 public:
  using LogSink = EventLog::Sink;
  // Opens the journal, takes over what it holds, and listens. Throws naming the cause.
  Relay(loop::Loop& loop, Config config, LogSink log);
  ~Relay() override;

  // Only the address of discovery may change in service.
  void reload(const Config& config);
  // Not ready any more. Takes on for a while, then what is out gets its outcome. `stopped` is called once, in
  // time for a kill after 3.7 s; what is held then stays in the journal.
  void stop(std::function<void()> stopped);

  bool ready() const { return listed_ && !stopping_; }
  net::Address address() const { return clients_->address(); }
  std::size_t held() const { return core_->held(); }
  std::string counts() const;  // one line of JSON
  const Journal& journal() const { return *journal_; }

 private:
  struct Waiting {  // for the module's word, and for the record of it
    MessageId id;
    std::uint64_t round;
  };
  struct Withdrawn {  // a client that still reads, and what it may be told
    Clients::Number client;
    relay::Fate fate;
  };
  void request(Clients::Number client, http1::Message& request);
  void health(Clients::Number client, const http1::Message& request);
  void take(Clients::Number client, HandedIn in, std::uint64_t fingerprint);
  void answer_known(Clients::Number client, const std::string& name, const RequestRegistry::Known& known);
  void turn_away(Clients::Number client, const std::string& name, int status, const char* why);
  std::uint64_t fingerprint_of(const relay::NewMessage& message) const;
  void gone(Clients::Number client, Clients::Reads reads);
  void answer_withdrawn();
  void log_end(const RequestRegistry::Ended& ended, RequestState state, const relay::Account& account);
  void list(const Catalogue& catalogue, bool cached);
  void recover();
  void recover_ends(Time now);
  void poke();
  void turn();
  void answer_taken();
  void check_stopped();
  Time unix_to_module() const;
  RequestRegistry::Ended end(MessageId id, RequestState how, Time come_back = 0);
  // relay::Answers
  void served(MessageId id, const relay::Ending& ending) override;
  void refused(MessageId id, Time come_back, const relay::Account& account) override;
  void failed(MessageId id, const relay::Account& account) override;
  // relay::Log
  void line(const std::string& text) override { log_.say(Event::module, text); }

  loop::Loop& loop_;
  Config config_;
  EventLog log_;
  std::unique_ptr<Endpoints> endpoints_;
  std::unique_ptr<Outcomes> outcomes_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Journal> journal_;
  std::unique_ptr<AttemptLog> attempts_;
  std::unique_ptr<relay::Core> core_;
  std::unique_ptr<Clients> clients_;
  RequestRegistry requests_;
  std::vector<std::string> class_names_;  // by their place in the settings
  std::vector<Waiting> waiting_;
  std::vector<Withdrawn> withdrawn_;      // to be answered
  std::set<DestinationId> destinations_;  // that any list has shown
  MessageId next_id_ = 1;
  bool listed_ = false, poked_ = false, stopping_ = false, frozen_ = false;
  std::map<std::string, std::uint64_t> turned_away_;  // requests, by why: texts of the program's own
  std::map<std::string, std::uint64_t> repeated_;     // requests under a known id, by what was known of it
  std::function<void()> stopped_;
  loop::TimerId timer_ = 0;
  std::vector<loop::TimerId> stop_timers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what was deferred
};

}  // namespace cedarplank::platform
