// The state of each request by the id that its client gave it. This registry is the only source of that
// state: answers to clients and to copies of a request, notices, recovery and the log all use it, so that
// none contradicts another.
//
//   unknown -> waiting                                  read, held in memory; its clients wait for an answer
//   waiting -> accepted                                 durable and acknowledged; a final answer is due
//   waiting, accepted -> delivered | returned | failed  the final answer, the same for every copy
//   unknown -> returned                                 rejected
//   waiting -> unknown                                  all its clients left unanswered; nothing has run
//
// A request may come again under the same id: a client whose connection ended without an answer sends it
// again, since it can't know whether it was read; other clients send hedged copies. The registry guards
// against a copy that is answered as failed while the first request is still being sent (rule 1), and against
// a copy that is accepted as a new message after the first has ended (rules 1 and 2).
//
// Final answers of requests that were held are owed for their time, so none is forgotten early: when there is
// no room for more, new requests are refused (has_room()). Refusals of requests that were never held anyone
// can cause in any number, so they have some room of their own, where a new one takes the place of the
// oldest.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/client_connections.hpp"
#include "platform/final_answer_table.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

// How long final answers are remembered, in us: twice the longest deadline of any class, since copies of a
// request carry what is left of its time; and at least a minute, since others may hold a copy for longer (2
// MSL as common systems set it: by then old duplicates have left the network, RFC 9293 section 3.4.1).
Time final_answer_retention(const Settings& settings);

class RequestRegistry {
 public:
  using Client = ClientConnections::ConnectionId;
  struct KnownRequest {
    RequestState state;
    bool same_content;   // the content is the same; otherwise this is another request under a used id
    MessageId id = 0;    // set while waiting or accepted
    Time since = 0;      // when it entered that state
    Time come_back = 0;  // if returned: when it may be submitted again; 0: at any time
  };
  struct EndedRequest {
    std::string name;                // the client's id; empty: not held here, since its clients have left
    std::vector<Client> unanswered;  // clients that have not been answered
  };
  struct CancelledRequest {
    MessageId id = 0;
    std::string name;
    std::uint64_t fingerprint = 0;
    std::vector<Client> still_reading;  // clients that send nothing more but may still read
  };
  // `retention`: for how long a final answer is remembered, in us. `room`: bytes for all of them.
  RequestRegistry(Time retention, std::size_t room);

  // Looks up a request by its client's id. `fingerprint` is equal for requests of the same content, see
  // journal::fingerprint().
  std::optional<KnownRequest> find(Time now, const std::string& name, std::uint64_t fingerprint);

  // Whether the final answer of one more request could be remembered.
  bool has_room(Time now) { return ends_.has_room(now, held_.size() + 1); }
  // Adds a new request as waiting, with its first client.
  void add(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint, Client client);
  // Adds another client that waits for the same answer.
  void add_waiter(MessageId id, Client client);
  // Adds a request that an earlier run accepted.
  void restore(Time now, MessageId id, const std::string& name, std::uint64_t fingerprint);
  bool is_waiting(MessageId id) const;
  // Marks the request as accepted; returns the clients to acknowledge it to.
  std::vector<Client> accept(Time now, MessageId id);
  // Gives a held request its final state and remembers it.
  EndedRequest finish(Time now, MessageId id, RequestState how, Time come_back = 0);
  // Remembers the final state of a request that is not held any more: one that was cancelled, or ended in an
  // earlier run.
  void remember_end(const std::string& name, const FinalAnswer& answer) { ends_.add(name, answer); }
  // The same, by journal::hash_of_owner() of the client's id.
  void remember_end(std::uint64_t name_hash, const FinalAnswer& answer) { ends_.add(name_hash, answer); }
  // Remembers that a request was refused of which nothing has run and that was never acknowledged.
  void remember_refusal(Time now, const std::string& name, std::uint64_t fingerprint) {
    refusals_.add(name, {RequestState::returned, fingerprint, now});
  }

  // Whether this client waits for an answer.
  bool is_waiting_client(Client client) const { return ids_by_client_.count(client) > 0; }
  // A waiting client has disconnected, or sends nothing more but still reads (`reads`). Returns the request
  // if no other client waits for it: it is dropped then.
  std::optional<CancelledRequest> remove_waiter(Client client, bool reads);

  std::string client_id_of(MessageId id) const;  // the client's id of a held request; empty: not held
  // Final answers that are remembered, and bytes that are allocated for them.
  std::size_t remembered() const { return ends_.size(); }
  std::size_t memory() const { return ends_.memory() + refusals_.memory(); }
  // Refusals that were forgotten early, because there were too many.
  std::uint64_t forgotten_early() const { return refusals_.forgotten_early(); }

 private:
  struct Waiter {
    Client client;
    bool sends_no_more = false;  // sends nothing more, may still read
  };
  struct HeldRequest {
    std::string name;
    RequestState state;
    std::uint64_t fingerprint;
    Time since;
    std::vector<Waiter> waiters;
  };
  // Takes a request and its clients out of the maps.
  HeldRequest extract(MessageId id);

  std::map<MessageId, HeldRequest> held_;
  std::unordered_map<std::string, MessageId> ids_by_name_;  // held requests by the client's id
  std::map<Client, MessageId> ids_by_client_;               // clients that wait for an answer
  FinalAnswerTable ends_, refusals_;
};

}  // namespace cedarplank::platform
