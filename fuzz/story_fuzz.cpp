// Message traces as lines of JSON: any text is either accepted or rejected with an error. An accepted trace
// can be printed and survives a round trip.
#include <cstdlib>
#include <stdexcept>

#include "trace/json.hpp"
#include "trace/report.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::trace;
  MessageTrace story;
  try {
    story = from_json({reinterpret_cast<const char*>(data), size});
  } catch (const std::runtime_error&) {
    return 0;
  }
  format_trace(story);
  const TimeBreakdown p = time_breakdown(story);
  if (p.held + p.connection + p.endpoint < story.ended_at - story.accepted_at) std::abort();
  const std::string line = to_json(story);
  if (to_json(from_json(line)) != line) std::abort();
  return 0;
}
