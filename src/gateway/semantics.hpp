// Maps HTTP push (RFC 8030, on HTTP semantics of RFC 9110) to the relay's terms and back: outcomes of
// responses, parsing of request fields, bodies of answers. Does no I/O and reads no clock;
// docs/operate/outcomes.md has the table of outcomes for operators.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/relay_settings.hpp"
#include "http2/connection.hpp"
#include "relay/core.hpp"
#include "relay/message_registry.hpp"

namespace cedarplank::gateway {

// How a call ended without a final response.
enum class Interruption {
  no_connection,   // not connected, or no SETTINGS received: nothing of the call had been sent
  refused_stream,  // RST_STREAM(REFUSED_STREAM): not processed (RFC 9113 section 8.7)
  goaway,          // GOAWAY with a lower last stream: not processed (RFC 9113 section 6.8)
  unsent,          // the connection was lost before any byte of the call was sent
  reset            // RST_STREAM with another code, a protocol violation, or the connection was lost
};

// The outcome of a final response. `wall_clock` is the time of day in seconds since 1970, for Retry-After
// dates.
relay::CallResult result_of_response(const http2::Headers& headers, const config::KindProtocol& kind,
                                     std::int64_t wall_clock);
// The outcome of a call that got no final response. `why` is the reason for traces and answers; where an RFC
// name says it, that is used instead.
relay::CallResult result_of_interruption(Interruption how, http2::ErrorCode code, const std::string& why);

// Retry-After (RFC 9110 section 10.2.3): seconds, or a date, counted from the response's Date if it has one.
// In us; 0 if there is none or it can't be parsed. Limited to one day.
Time parse_retry_after(std::string_view value, std::string_view date, std::int64_t wall_clock);
// An HTTP date (RFC 9110 section 5.6.7) in any of its three forms. Seconds since 1970.
std::optional<std::int64_t> parse_http_date(std::string_view text);

// What a problem response says (RFC 9457).
struct Problem {
  int status = 400;
  std::string title, detail;
};

// Names in the path of a push request, before they are looked up.
struct PushTarget {
  std::string destination, message_class;
};
// "/push/<destination>/<class>", percent-decoded; nothing for any other path.
std::optional<PushTarget> parse_target(std::string_view path);
// The TTL field (RFC 8030 section 5.2) in whole seconds. Returned in us, limited to 10 years.
std::optional<Time> parse_ttl(std::string_view text);

// JSON body of problem details (RFC 9457). With an empty `message`, the members about the message are left
// out.
std::string problem_body(const Problem& problem, const std::string& message, const std::string& message_class,
                         const std::string& last_outcome, int attempts);

// JSON body of a message resource: message, class, answer (null while the message is held), attempts,
// last_outcome, and retry_after where a refused message was given one.
std::string message_body(const std::string& message, const relay::MessageRegistry::Entry& entry);
// Whether a Prefer field (RFC 7240) has this preference; `name` is in lower case.
bool has_preference(std::string_view prefer, std::string_view name);

// The value of Retry-After for a wait in us: whole seconds, rounded up so that clients don't retry too early.
std::string format_retry_after(Time wait);

}  // namespace cedarplank::gateway
