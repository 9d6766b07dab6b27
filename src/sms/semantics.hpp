// Mapping between SMPP and the relay's model, in both directions: statuses to outcomes, messages to submit_sm
// and back, times, delivery receipts. Does no I/O and reads no clock; docs/operate/smpp.md documents the same
// tables for operators.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/relay_settings.hpp"
#include "relay/core.hpp"
#include "relay/request_validator.hpp"
#include "smpp/pdu.hpp"
#include "smpp/text.hpp"

namespace cedarplank::sms {

// Vendor-specific optional parameters, in the range that v3.4 section 5.3.2 reserves for vendors. They carry
// what SMPP has no field for; a peer that does not know them ignores them (section 3.3).
namespace own {
constexpr std::uint16_t key = 0x1401;    // Idempotency-Key, up to 256 octets
constexpr std::uint16_t topic = 0x1402;  // Topic, up to 32 octets
constexpr std::uint16_t wait = 0x1403;   // told wait or time until a new try, in seconds, 4 octets
}  // namespace own

// ---- To an endpoint ----

// What a status proves about the submit that it answers.
enum class Proof {
  ran,      // accepted
  refused,  // not run: the endpoint is short of capacity now
  not_run,  // not run: because of its content or its addresses; the endpoint itself may be healthy
  in_doubt  // it may have run
};
// `kind.unseen` lists further statuses that prove that the submit was refused.
Proof proof_of(smpp::Status status, const config::SmppEndpointSettings& kind);

// The outcome of a response to one submit_sm.
relay::CallResult result_of_response(const smpp::Pdu& response, const config::SmppEndpointSettings& kind);
// The outcome of a message from the outcomes of its parts; `sent_all`: no part was left unsent. Accepted
// parts cannot be cancelled, so a refused part among accepted ones leaves the outcome in doubt.
relay::CallResult result_of_parts(const std::vector<relay::CallResult>& parts, bool sent_all);

// Why a message can never be sent to an endpoint of this kind, whatever the endpoint's state; null: it can.
const char* unsupported_reason(const config::SmppEndpointSettings& kind, const relay::NewMessage& message,
                               Effect effect);

// The submit_sm requests for a message, one for each part. `left`: the time until its deadline, us. Throws
// std::invalid_argument where SMPP cannot express the message.
std::vector<smpp::Message> encode_submits(const relay::NewMessage& message, const std::string& message_class,
                                          const config::SmppEndpointSettings& kind, Time left,
                                          std::uint16_t reference);

// Converts a number or name to an address with the types of sections 5.2.5 and 5.2.6: "+..." is
// international, digits alone are of unknown type, anything else is alphanumeric.
smpp::Address parse_address(const std::string& text);
std::string format_address(const smpp::Address& address);

// ---- From a client ----

// The time from `wall` (us since 1970) until an absolute or relative SMPP time (section 7.1.1), us; 0 where
// it lies in the past. Relative times count from `wall`. Nothing where the text has neither form; the caller
// handles an empty one.
std::optional<Time> time_until(const std::string& text, Time wall);
std::string format_relative_time(Time span);  // section 7.1.1.2, whole seconds, rounded up
std::string format_receipt_time(Time wall);   // appendix B: YYMMDDhhmm

// A message's text as a body: UTF-8 with its content type, or the octets unchanged.
struct Content {
  std::string body, type;
};
// Decodes a text. Nothing where the bytes are not valid in the alphabet that data_coding names.
std::optional<Content> decode_content(std::string_view text, std::uint8_t data_coding);

// A final answer as a delivery receipt (appendix B, and the parameters of section 5.3.2).
struct Receipt {
  enum class State { served, refused, failed };
  std::string message_id;
  State state = State::failed;
  Time come_back = 0;  // refused: when the client may submit it again, us from now; 0: not given
  Time accepted_wall = 0, ended_wall = 0;  // when it was accepted and when it ended, us since 1970
  std::string text;                        // the beginning of the message's text
  smpp::Address source, destination;
  std::string service_type;
};
smpp::Message encode_receipt(const Receipt& receipt);
// The contents of a receipt that a message centre sent.
struct ReceiptFields {
  std::string message_id;
  std::uint8_t state = 0;  // section 5.2.28
  Time come_back = 0;
};
// Nothing where the message is not a receipt.
std::optional<ReceiptFields> parse_receipt(const smpp::Message& message);

// message_state, section 5.2.28.
constexpr std::uint8_t kDelivered = 2, kExpired = 3, kDeleted = 4, kUndeliverable = 5, kAccepted = 6,
                       kUnknown = 7, kRejected = 8, kEnroute = 1;

}  // namespace cedarplank::sms
