// The platform's protocol over HTTP/1.1: reads clients' requests and endpoints' answers, and builds calls and
// notices. Free of I/O and state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "http1/message.hpp"
#include "relay/core.hpp"
#include "settings/simulator.hpp"

namespace cedarplank::platform {

// ---- Clients ----

// A client's request to deliver a message.
struct SubmittedMessage {
  std::string id;  // the client's id of the message
  relay::NewMessage message;
};
// Why a request is rejected: the HTTP status and a text for the client.
struct RequestError {
  int status = 400;
  const char* why = "";
};
// The path of a request's target, with its query; empty: it has none.
std::string_view path_of(std::string_view target);
// Reads a request to deliver a message into `out`; moves the body out of `request`. Returns nothing if it is
// valid.
std::optional<RequestError> read_request(http1::Message& request, const settings::NameTables& names,
                                         SubmittedMessage& out);

// ---- Endpoints ----

struct CallMessage {    // one message of a call
  std::string id, key;  // the client's id, and the idempotency key (empty: none)
  std::string_view body;
};
// The bytes of a call to an endpoint, with one message or with several. `budget`: the time left for its
// answer.
enum class ConnectionOption { keep, close };
std::string single_call(const CallMessage& message, Time budget, const std::string& host,
                        ConnectionOption connection = ConnectionOption::keep);
// The most bytes of messages in the body of a call, by the protocol, and whether these are within it.
constexpr std::size_t kMaxCallBody = 64 * 1024;
bool fits_bulk_call(const std::vector<CallMessage>& messages);
std::string bulk_call(const std::vector<CallMessage>& messages, Time budget, const std::string& host,
                      ConnectionOption connection = ConnectionOption::keep);

// The outcome of a call with one message, from an answer whose head is complete.
relay::CallResult ending_of(const http1::Message& answer);
// The time that an answer tells the relay to wait; 0: none.
Time told_wait(const http1::Message& answer);
// The client ids that the lines of a bulk answer name.
std::vector<std::string> ids_in_answer(const http1::Message& answer);
// The outcomes of the messages of a call, in the order of `ids`. `whole`: the answer is complete and
// well-formed.
std::vector<relay::CallResult> endings_of(const http1::Message& answer, bool whole,
                                          const std::vector<std::string>& ids);

// ---- Notices ----

// One line of JSON that informs of a message that failed, or that was returned to its client.
std::string failed_notice(const std::string& id);
std::string returned_notice(const std::string& id, Time come_back);

}  // namespace cedarplank::platform
