// Translates the simulator's wire format to events of the dispatcher, and its actions back. Takes no
// decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "settings/fields.hpp"

namespace cedarplank::adapter {

// A malformed line; what() gives the position in it and the reason.
using WireError = settings::FieldError;

// The wire format has one JSON object per line. A batch of lines is one round, for any number of instances.
class Codec {
 public:
  Codec();
  ~Codec();

  // Processes one line. Returns true if the line ends a batch: `reply` then holds the complete answer.
  // Throws WireError on malformed input.
  bool process_line(const std::string& line, std::string& reply);

 private:
  struct Instance;
  struct ListEntry;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cedarplank::adapter
