// Stories as lines of JSON: one object a line, steps relative to the moment the message was taken.
#pragma once

#include <string>
#include <string_view>

#include "trace/story.hpp"

namespace cedarplank::trace {

std::string to_json(const Story& story);
// Throws std::runtime_error naming what is wrong. Unknown members are passed over, so that older programs
// read what newer ones write.
Story from_json(std::string_view line);

}  // namespace cedarplank::trace
