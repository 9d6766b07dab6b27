// Request validation: checks whether a submitted message is well formed, in the same way for every submission
// interface (HTTP push server, SMPP server, linked library). Does no I/O.
#pragma once

#include <optional>
#include <string>

#include "config/relay_settings.hpp"
#include "relay/core.hpp"

namespace cedarplank::relay {

// A message as the client submitted it, with names that are not resolved yet.
struct Request {
  std::string destination, message_class, tenant;
  std::optional<Time> ttl;  // in us; required (RFC 8030 section 5.2)
  std::string idempotency_key, topic, content_type, content_encoding, urgency, recipient, sender, body;
  bool has_topic = false;
};

// Why a request is invalid.
struct Rejection {
  enum class Reason { unknown_destination, unknown_class, malformed, too_large } reason = Reason::malformed;
  std::string detail;
};

// Validates requests against the relay's settings.
class RequestValidator {
 public:
  explicit RequestValidator(const config::RelaySettings& settings) : settings_(settings) {}
  // Checks everything except the destination and the body, which may not have arrived yet, and fills in
  // `out`.
  std::optional<Rejection> check(const Request& request, NewMessage& out) const;
  std::optional<Rejection> check_body(std::size_t bytes) const;

 private:
  const config::RelaySettings& settings_;
};

// RFC 8030 section 5.4: at most 32 characters of base64url.
bool valid_topic(std::string_view text);
// Whether the text is a valid recipient or sender address: a number, with a leading "+" if international
// (E.164), or a name; at most 20 characters without the "+".
bool valid_address(std::string_view text);

}  // namespace cedarplank::relay
