// The relay's event log: what it did and why, one line per event, with the client's id of the message if
// there is one. The lines per second are limited for each kind of event separately, so that a flood of one
// kind doesn't hide others. The ids of suppressed lines are logged later, as far as they fit into one line.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "loop/loop.hpp"

namespace cedarplank::platform {

// Kinds of events; name_of() gives their names in the log.
enum class Event {
  module,       // messages of the dispatcher module about endpoints
  endpoints,    // a connection to an endpoint was closed, and why
  clients,      // a client's connection was closed by the relay, and why
  discovery,    // a call for the endpoint list failed
  outcomes,     // a post of notices was not accepted
  journal,      // the journal's state changed
  turned_away,  // a request was rejected
  repeated,     // a request under a known id: its state, and the answer given
  withdrawn,    // a message was cancelled: its client left before it was acknowledged
  attempt,      // an attempt ended without delivery
  delivered,    // an attempt delivered its message
  unasked,      // an endpoint sent bytes that belong to no call
  retry,        // an attempt after the first, or any attempt of a message that an earlier run accepted
  said_over,    // an endpoint says that nothing more is to be sent for a message
  ended,        // a message got its final answer without having been delivered
  recovered,    // a message was recovered that an earlier run accepted
  memory,       // the process comes close to its memory limit: what holds how much
  state,        // the relay's own state: ready, stopping, last round
  reloaded      // a new configuration was applied
};
const char* name_of(Event event);

class EventLog {
 public:
  using Sink = std::function<void(const char* event, const std::string& text)>;
  // `lines_per_second`: the limit for each kind of event.
  explicit EventLog(Sink sink, int lines_per_second = kLinesPerSecond)
      : sink_(std::move(sink)), lines_per_second_(lines_per_second) {}

  // Logs the text that `text` returns. `text` is called only if the line is written, so that a suppressed
  // line costs almost nothing.
  template <typename Text>
  void line(Event event, Text&& text) {
    if (admit(event)) sink_(name_of(event), text());
  }
  // The same for an event of a message; the line begins with the client's id of the message.
  template <typename Text>
  void line(Event event, const std::string& id, Text&& text) {
    if (admit(event))
      sink_(name_of(event), "id=" + id + " " + text());
    else
      note_suppressed(event, id);
  }
  // The same with a ready text.
  void log_text(Event event, const std::string& text) {
    line(event, [&]() -> const std::string& { return text; });
  }

  static constexpr int kLinesPerSecond = 12;                   // for each kind, unless set
  static constexpr std::size_t kMaxSuppressedIdBytes = 1'024;  // bytes of ids in a line about suppressed ones

 private:
  struct LineBudget {              // the lines of one kind
    std::int64_t second = 0;       // the current second
    int lines = 0;                 // written in this second
    std::uint64_t suppressed = 0;  // suppressed and not reported yet
    std::string suppressed_ids;    // of the suppressed ones
  };
  // Whether a line of this kind may be written now. Reports suppressed lines first, when a new second has
  // begun.
  bool admit(Event event);
  // Notes the id of a suppressed line.
  void note_suppressed(Event event, const std::string& id);

  Sink sink_;
  const int lines_per_second_;
  std::map<Event, LineBudget> budgets_;
};

}  // namespace cedarplank::platform
