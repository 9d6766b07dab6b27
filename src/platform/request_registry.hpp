// What this relay knows of each client's id. The one owner of that knowledge: clients and copies, notices,
// starts and the log are all answered from it, so that no two of them hear different things.
//
//   unknown -> waiting                                  read and held in memory; its clients wait for a word
//   waiting -> accepted                                 on record and told so; its end is owed
//   waiting, accepted -> delivered | returned | failed  its end, the same for every copy
//   unknown -> returned                                 turned away
//   waiting -> unknown                                  all its clients left before any word; nothing has run
//
// A request may come again under its id: a client whose connection ended with no answer sends it once more
// and can't know whether it was read; others hedge. Guards against a copy that is answered as failed while
// the first one goes on being sent (rule 1), and against one that is taken as a new message once the first
// had its end (rules 1 and 2).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/clients.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

// How long ends are remembered, us: twice the longest time that a message may have, since its client's copies
// carry what is left of it; and no less than a minute, since others may hold a copy for longer (2 MSL as
// systems have it: by then old duplicates have died out on the network, RFC 9293 section 3.4.1).
Time ends_kept(const Settings& settings);

enum class RequestState { waiting, accepted, delivered, returned, failed };
const char* name_of(RequestState state);

class RequestRegistry {
 public:
  using Client = Clients::Number;
  struct Known {
    RequestState state;
    bool same;           // the same content; else it is another request under a used id
    MessageId id = 0;    // waiting or accepted
    Time since = 0;      // when it came into that state
    Time come_back = 0;  // returned: from when on it may be handed in again; 0: at any time
  };
  struct Ended {
    std::string name;             // empty: it is not known, its clients have left
    std::vector<Client> waiting;  // that have heard nothing yet
  };
  struct Withdrawn {
    MessageId id = 0;
    std::string name;
    std::uint64_t fingerprint = 0;
    std::vector<Client> reading;  // that send nothing more and still read
  };
  // `kept`: for how long an end is remembered, us.
  explicit RequestRegistry(Time kept) : kept_(kept) {}

  // `fingerprint`: the same for requests of the same content, see journal::fingerprint().
  std::optional<Known> find(Time now, const std::string& name, std::uint64_t fingerprint);

  void take(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint, Client client);
  // One more client waits for the same word.
  void join(MessageId id, Client client);
  // An earlier run took it on.
  void restore(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint);
  bool is_waiting(MessageId id) const;
  // It is taken on; returns the clients that are to hear so.
  std::vector<Client> accept(Time now, MessageId id);
  Ended end(Time now, MessageId id, RequestState how, Time come_back = 0);
  // One that is not held has its end: it was turned away, withdrawn, or ended in an earlier run.
  void remember(Time now, const std::string& name, std::uint64_t fingerprint, RequestState how,
                Time come_back = 0);

  bool waits(Client client) const { return clients_.count(client) > 0; }
  // A client that waits has gone, or sends nothing more (`reads`: and still reads). Nothing: another client
  // waits for the same word.
  std::optional<Withdrawn> leave(Client client, bool reads);

  std::string name_of(MessageId id) const;  // empty: not held
  std::uint64_t forgotten() const { return forgotten_; }

  static constexpr std::size_t kMost = 32'768;  // ends; beyond them the oldest is forgotten before its time

 private:
  struct Waiter {
    Client client;
    bool leaving = false;
  };
  struct Held {
    std::string name;
    RequestState state;
    std::uint64_t fingerprint;
    Time since;
    std::vector<Waiter> waiters;
  };
  struct End {
    RequestState how;
    std::uint64_t fingerprint;
    Time since, come_back;
  };
  struct Remembered {
    Time at;
    std::uint64_t hash;
  };
  void forget_old(Time now);
  Held drop(MessageId id);

  const Time kept_;
  std::map<MessageId, Held> held_;
  std::unordered_map<std::string, MessageId> names_;  // of those held
  std::map<Client, MessageId> clients_;               // that wait
  std::unordered_map<std::uint64_t, End> ends_;       // by the name's hash
  std::deque<Remembered> in_order_;                   // of ends_, oldest first
  std::uint64_t forgotten_ = 0;                       // ends that were forgotten before their time
};

}  // namespace cedarplank::platform
