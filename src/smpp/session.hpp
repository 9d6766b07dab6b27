// Protocol engine of one SMPP session (v3.4 section 2.2), for either side: states, sequence numbers, the
// window of outstanding requests, and timers (section 7.2). Does no I/O and reads no clock: received bytes
// produce events, and calls produce bytes to send.
//
// All times are in microseconds of one monotonic clock, which the caller passes in.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "smpp/pdu.hpp"

namespace cedarplank::smpp {

using Time = std::int64_t;
constexpr Time kNever = std::numeric_limits<Time>::max();

enum class Role { esme, smsc };
enum class State { open, transmitter, receiver, transceiver, unbinding, closed };  // section 2.2
const char* name_of(State state);

struct SessionSettings {
  Time session_init = 5'000'000;       // limit from the connection until it is bound
  Time enquire_after = 0;              // enquire_link after this long without any received bytes; 0: never
  Time inactivity_timeout = 0;         // unbind after this long without a message; 0: never
  Time response_timeout = 10'000'000;  // limit for the response to a request
  std::size_t window = 64;             // own requests that may be outstanding
  std::size_t peer_window = 1000;  // the peer's requests that may be outstanding; further ones are throttled
  std::size_t max_invalid_pdus = 16;  // the session fails after this many invalid PDUs in a row
  std::size_t max_pdu_size = 70'000;  // longest PDU, bytes
};

struct Event {
  enum class Type {
    bind,       // smsc: a bind request, to be answered by accept() or reject(); `pdu`
    outbind,    // esme: the message centre asks the client to bind; `pdu`
    bound,      // esme: the bind was accepted; `pdu`
    refused,    // esme: the bind was refused with pdu.status
    request,    // a message or an operation on one, to be answered by respond(); `pdu`
    alert,      // alert_notification, which has no response
    response,   // response or generic_nack to an own request (pdu.sequence); `what` if its body is invalid
    late,       // a response to a request that was abandoned or had expired
    unmatched,  // a response without a matching request: a duplicate, or an unused sequence number
    expired,    // the own request `pdu.sequence` got no response in time
    enquiry_answered,  // enquire_link was answered
    unbind,            // the peer unbinds: no new requests; answered once no own request is outstanding
    unbound,           // an unbind of either side is complete: the connection may close
    invalid_pdu,       // an invalid PDU of the peer, already answered if it was a request; `what`
    failed             // the session has failed and is closed; `what`
  };
  Type type{};
  Pdu pdu;
  std::string what;
};

class Session {
 public:
  Session(Role role, const SessionSettings& settings, Time now);

  // Esme: sends a bind request as transmitter, receiver or transceiver.
  void bind(Time now, Command how, const Bind& as);
  // Smsc: answers the bind request that was received.
  void accept(Time now, const std::string& system_id);
  void reject(Status status);

  // Sends a request and returns its sequence number. Must not be called while can_request() is false. Throws
  // std::invalid_argument where a field exceeds its bound; nothing is sent then.
  std::uint32_t request(Time now, Command command, Body body);
  // Whether `requests` more may be sent at once: bound for that direction, and the window has capacity.
  bool can_request(std::size_t requests = 1) const;
  // The response to this request no longer matters: it is reported as `late`. The request counts in the
  // window until its response or its expiry.
  void abandon(std::uint32_t sequence);
  // Answers a received request; without a body, as for an error, the response gets an empty one of its kind.
  void respond(const Pdu& request, Status status, Body body = Empty{});
  void enquire(Time now);  // sends enquire_link, unless one is outstanding
  void unbind(Time now);   // sends unbind; closes the session where it is not bound

  void receive(Time now, std::string_view bytes, std::vector<Event>& events);
  // Handles the timers that are due; to be called at next_due().
  void tick(Time now, std::vector<Event>& events);
  Time next_due() const;

  State state() const { return state_; }
  bool bound() const {
    return state_ == State::transmitter || state_ == State::receiver || state_ == State::transceiver;
  }
  std::size_t outstanding() const { return outstanding_.size(); }  // own requests, without enquire_link
  std::size_t unanswered() const { return unanswered_.size(); }    // the peer's requests without a response
  const SessionSettings& settings() const { return settings_; }
  // The peer's bind request.
  const Bind& peer_bind() const { return peer_bind_; }

  bool has_output() const { return !output_.empty(); }
  std::size_t output_size() const { return output_.size(); }
  std::string take_output();

  // For tests: sets the sequence number of the next request.
  void set_next_sequence(std::uint32_t next) { next_sequence_ = next; }

 private:
  struct OutstandingRequest {
    Command command{};
    Time expires_at = 0;
    bool abandoned = false;
  };
  std::uint32_t next_sequence();
  void send(const Pdu& pdu) { encode(pdu, output_); }
  void on_pdu(Time now, std::string_view bytes, std::vector<Event>& events);
  void on_response(Time now, Pdu& pdu, std::string what, std::vector<Event>& events);
  void on_bind(Pdu& pdu, std::vector<Event>& events);
  void on_request(Time now, Pdu& pdu, std::vector<Event>& events);
  void on_invalid_pdu(const Pdu& header, const DecodeError& wrong, std::vector<Event>& events);
  void fail(const std::string& what, std::vector<Event>& events);
  bool peer_may_request(Command command) const;  // whether the peer may send this request in this state
  void remove_outstanding(std::uint32_t sequence);
  // Answers the peer's unbind once no own request is outstanding.
  void answer_unbind_if_idle(std::vector<Event>& events);

  Role role_;
  SessionSettings settings_;
  State state_ = State::open;
  Framer framer_;
  std::string output_;
  std::uint32_t next_sequence_ = 1;
  std::map<std::uint32_t, OutstandingRequest> outstanding_;
  std::set<std::pair<Time, std::uint32_t>> expiries_;  // when requests in out_ expire
  std::set<std::uint32_t> expired_;  // the latest expired requests, whose responses may still come
  std::vector<std::uint32_t> expired_order_;
  std::multiset<std::uint32_t> unanswered_;  // the peer's requests without a response, by sequence number
  std::optional<Pdu> pending_bind_;          // bind request that was sent (esme) or is to be answered (smsc)
  Bind peer_bind_;
  std::optional<std::pair<std::uint32_t, Time>> enquiry_;  // outstanding enquire_link: sequence number, due
  std::optional<std::uint32_t> peer_unbind_, own_unbind_;  // unbinds without a response, by sequence number
  // When the connection or the bind request began; when bytes were last received; when the session was bound,
  // or a message request was last sent or received; limit for the response to an own unbind.
  Time started_at_, last_received_at_, last_message_at_, unbind_due_ = kNever;
  std::size_t invalid_pdus_ = 0;
};

}  // namespace cedarplank::smpp
