// The wire of the simulator, translated to and from the dispatcher's events and actions. No decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "settings/fields.hpp"

namespace cedarplank::adapter {

// What is wrong with a line, and where in it.
using WireError = settings::FieldError;

class Codec {
 public:
  Codec();
  ~Codec();

  // Takes one line. Returns true when the line ends a batch: `reply` then holds the whole answer.
  // Throws WireError on malformed input.
  bool take(const std::string& line, std::string& reply);

 private:
  struct Instance;
  struct PoolEntry;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cedarplank::adapter
