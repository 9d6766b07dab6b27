// The life cycle of an engine as a state machine: what each input does in each state, from opening to
// stopped. Free of I/O, threads and clock. Also decides which settings may change while an engine runs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cedarplank/delivery.hpp"
#include "config/relay_settings.hpp"

namespace cedarplank::engine {

using delivery::State;

enum class Input {
  opened,  // settings read, list read, sockets bound
  open_failed,
  drain,         // asked to accept nothing more
  nothing_held,  // the last held message was answered
  drain_deadline,
  stop,         // asked to end now, or destroyed
  all_answered  // while stopping: every answer has been delivered
};

// A transition: the next state, and what the caller has to do.
struct Step {
  State next = State::opening;
  bool stop_accepting = false;  // submissions are refused from now on
  bool arm_deadline = false;    // start the timer for Input::drain_deadline
  bool end_all = false;         // give every held message its final answer now
  bool close = false;           // nothing is left to do: end the threads
};

constexpr Step step(State state, Input input) {
  switch (state) {
    case State::opening:
      if (input == Input::opened) return {.next = State::running};
      if (input == Input::open_failed || input == Input::stop)
        return {.next = State::stopped, .stop_accepting = true, .close = true};
      break;
    case State::running:
      if (input == Input::drain)
        return {.next = State::draining, .stop_accepting = true, .arm_deadline = true};
      if (input == Input::stop) return {.next = State::stopping, .stop_accepting = true, .end_all = true};
      break;
    case State::draining:
      // A second drain may only shorten the first: its deadline is armed too, and the earlier one applies.
      if (input == Input::drain) return {.next = State::draining, .arm_deadline = true};
      if (input == Input::nothing_held || input == Input::drain_deadline || input == Input::stop)
        return {.next = State::stopping, .end_all = true};
      break;
    case State::stopping:
      if (input == Input::all_answered) return {.next = State::stopped, .close = true};
      break;
    case State::stopped:
      break;
  }
  return {.next = state};
}

// Whether submissions are accepted in this state.
constexpr bool accepts_submissions(State state) { return state == State::running; }

// Compares running settings with new ones. Returns one line for each setting that differs but may not change
// while the engine runs; empty if all changes can be taken over.
inline std::vector<std::string> reload_refusals(const config::RelaySettings& now,
                                                const config::RelaySettings& next) {
  std::vector<std::string> refused;
  const auto keep = [&](bool same, const char* key) {
    if (!same) refused.push_back(std::string(key) + ": can't change in service; start anew");
  };
  keep(now.name == next.name, "relay.name");
  keep(now.listen == next.listen, "relay.listen");
  keep(now.tenant_field == next.tenant_field, "relay.tenant_field");
  keep(now.partners_file == next.partners_file && now.partners_cache == next.partners_cache,
       "partners.file and cache");
  keep(now.trace_file == next.trace_file && now.trace_files == next.trace_files &&
           now.trace_file_bytes == next.trace_file_bytes,
       "trace.file, file_size and files");
  keep(now.journal == next.journal, "journal");
  keep(now.notes_listen == next.notes_listen, "peers.listen");
  // Held messages carry indexes into these lists, and the dispatcher holds copies of their values.
  keep(now.names.classes == next.names.classes, "classes");
  keep(now.names.kinds == next.names.kinds, "kinds");
  keep(now.kind_protocols == next.kind_protocols, "kinds[].smpp and unseen_503");
  keep(now.smpp == next.smpp, "smpp");
  keep(now.names.zones == next.names.zones, "zones");
  keep(now.names.tenants == next.names.tenants, "tenants");
  const auto &a = now.dispatcher, &b = next.dispatcher;
  bool classes = a.classes.size() == b.classes.size();
  for (std::size_t i = 0; classes && i < a.classes.size(); i++) {
    const auto &x = a.classes[i], &y = b.classes[i];
    classes = x.worth == y.worth && x.late_worth == y.late_worth && x.aim == y.aim &&
              x.deadline == y.deadline && x.effect == y.effect && x.group == y.group &&
              x.key_window == y.key_window && x.ordered == y.ordered;
  }
  keep(classes, "classes");
  keep(a.slots == b.slots && a.open_max == b.open_max && a.attempts_max == b.attempts_max &&
           a.tick == b.tick && a.relays == b.relays && a.rank == b.rank && a.zone == b.zone &&
           a.connect_timeout == b.connect_timeout && a.connection_idle == b.connection_idle &&
           a.drain_grace == b.drain_grace && a.cold == b.cold && a.fall_multiple == b.fall_multiple &&
           a.overload_for == b.overload_for && a.cold_from == b.cold_from &&
           a.retry_after_max == b.retry_after_max && a.settle_after_doubt == b.settle_after_doubt &&
           a.decay == b.decay && a.weights == b.weights && a.refused_price == b.refused_price &&
           a.subscribe == b.subscribe,
       "dispatcher");
  return refused;
}

}  // namespace cedarplank::engine
