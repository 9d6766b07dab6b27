// What the platform's protocol means: requests of clients, and answers of endpoints. Free of I/O and state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "http1/message.hpp"
#include "relay/core.hpp"
#include "settings/simulator.hpp"

namespace cedarplank::platform {

// ---- Clients ----

struct HandedIn {
  std::string id;  // as the client names it
  relay::NewMessage message;
};
struct Unfit {
  int status = 400;
  const char* why = "";
};
// The path of a request's target; empty: it has none.
std::string_view path_of(std::string_view target);
// Nothing: `out` is a message to be taken.
std::optional<Unfit> read_request(http1::Message& request, const settings::Tables& names, HandedIn& out);

// ---- Endpoints ----

struct Called {  // one message of a call
  std::string id, key;
  std::string_view body;
};
std::string single_call(const Called& message, Time budget, const std::string& host);
std::string bulk_call(const std::vector<Called>& messages, Time budget, const std::string& host);

// How the call of one message ended, by an answer whose head is whole.
relay::Ending ending_of(const http1::Message& answer);
// By message, in the order of `ids`. `whole`: the answer came to its end and could be read.
std::vector<relay::Ending> endings_of(const http1::Message& answer, bool whole,
                                      const std::vector<std::string>& ids);

// ---- Notices ----

std::string failed_notice(const std::string& id);
std::string returned_notice(const std::string& id, Time come_back);

}  // namespace cedarplank::platform
