// Message traces as lines of JSON: any text is either accepted or rejected with an error. An accepted trace
// can be printed and survives a round trip.
#include <cstdlib>
#include <stdexcept>

#include "trace/json.hpp"
#include "trace/report.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::trace;
  MessageTrace message_trace;
  try {
    message_trace = from_json({reinterpret_cast<const char*>(data), size});
  } catch (const std::runtime_error&) {
    return 0;
  }
  format_trace(message_trace);
  const TimeBreakdown p = time_breakdown(message_trace);
  if (p.held + p.connection + p.endpoint < message_trace.ended_at - message_trace.accepted_at) std::abort();
  const std::string line = to_json(message_trace);
  if (to_json(from_json(line)) != line) std::abort();
  return 0;
}
