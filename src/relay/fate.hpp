// What may be said of a message when the relay itself must end it: on the way out, past the module.
// Free of I/O and state.
#pragma once

#include "cedarplank/dispatcher.hpp"

namespace cedarplank::relay {

// What is known of a message's attempts.
struct History {
  bool may_have_run = false;  // an attempt ended without proof that it never ran
  bool out = false;           // an attempt has no outcome yet
};

enum class Fate { refuse, fail };

// Whether an outcome proves that the call never ran (rule 2).
constexpr bool proves_unrun(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

// Refused means that trying again is harmless: always for safe messages, and for keyed ones whose key every
// endpoint knows; for the others only if no attempt may have run. Failed promises nothing.
constexpr Fate fate_at_stop(const ClassSettings& cls, const History& history) {
  if (cls.effect == Effect::safe) return Fate::refuse;
  if (cls.effect == Effect::keyed && cls.group == KeyGroup::all) return Fate::refuse;
  return history.may_have_run || history.out ? Fate::fail : Fate::refuse;
}

}  // namespace cedarplank::relay
