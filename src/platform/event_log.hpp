// The relay's record of what it did and why: one line an event, with the client's id of the message where
// there is one. Bounded in lines a second, each kind of event by itself, so that a flood of one kind hides no
// other. Of lines that are left out the ids are told, as far as they fit into one line.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "loop/loop.hpp"

namespace cedarplank::platform {

// Kinds of events; their names in the log are those of name_of().
enum class Event {
  module,       // what the decision module says of endpoints
  endpoints,    // a connection to an endpoint was closed, and why
  clients,      // a client's connection was closed by the relay, and why
  discovery,    // a call for the list failed
  outcomes,     // a post of notices was not accepted
  journal,      // the journal's state changed
  turned_away,  // a request was not taken on
  repeated,     // a request under an id that is known: what is known, and the answer
  withdrawn,    // its client left before it heard that it was taken on
  attempt,      // an attempt ended without having been served
  retry,        // a later attempt of a message, or any of one that an earlier run took on
  said_over,    // an endpoint says that nothing is to be sent any more for a message
  ended,        // a message had its final answer, not that of a delivery
  recovered,    // a message that an earlier run took on
  state,        // the relay's own: ready, stopping, last round
  reloaded      // a new configuration
};
const char* name_of(Event event);

class EventLog {
 public:
  using Sink = std::function<void(const char* event, const std::string& text)>;
  explicit EventLog(Sink sink) : sink_(std::move(sink)) {}

  // `text` is called only where the line is written: a line that is left out costs next to nothing.
  template <typename Text>
  void line(Event event, Text&& text) {
    if (admit(event)) sink_(name_of(event), text());
  }
  // Of the message that its client names so; begins with that name.
  template <typename Text>
  void line(Event event, const std::string& id, Text&& text) {
    if (admit(event))
      sink_(name_of(event), "id=" + id + " " + text());
    else
      leave_out(event, id);
  }
  void say(Event event, const std::string& text) {
    line(event, [&]() -> const std::string& { return text; });
  }

  static constexpr int kLinesPerSecond = 12;         // of each kind
  static constexpr std::size_t kIdsLeftOut = 1'024;  // bytes of ids in a line on what was left out

 private:
  struct Share {
    std::int64_t second = 0;
    int lines = 0;
    std::uint64_t left_out = 0;  // since the last line of this kind
    std::string ids;             // of those
  };
  bool admit(Event event);
  void leave_out(Event event, const std::string& id);

  Sink sink_;
  std::map<Event, Share> shares_;
};

}  // namespace cedarplank::platform
