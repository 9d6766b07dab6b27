// Message traces as lines of JSON: one object per line, with times relative to the moment at which the
// message was accepted.
#pragma once

#include <string>
#include <string_view>

#include "trace/message_trace.hpp"

namespace cedarplank::trace {

std::string to_json(const MessageTrace& message_trace);
// Throws std::runtime_error that says what is wrong. Unknown members are ignored, so that older programs can
// read what newer ones write.
MessageTrace from_json(std::string_view line);

}  // namespace cedarplank::trace
