// Chooses the final answer of a message that the relay itself must end, for example at shutdown, without a
// decision of the module. Has no I/O and no state.
#pragma once

#include "cedarplank/dispatcher.hpp"

namespace cedarplank::relay {

// What is known about a message's attempts.
struct AttemptHistory {
  bool may_have_run = false;  // an attempt ended without proof that it never ran
  bool outstanding = false;   // an attempt has no outcome yet
};

// The final answer of a message that was not served; see below for when each is given.
enum class FinalAnswer { refuse, fail };

// Whether an outcome proves that the call never ran (rule 2).
constexpr bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

// `refuse` tells the client that submitting the message again is harmless. That always holds for safe
// messages and for keyed messages whose key is known to every endpoint; for others only if no attempt may
// have run. `fail` promises nothing.
constexpr FinalAnswer choose_final_answer(const ClassSettings& cls, const AttemptHistory& history) {
  if (cls.effect == Effect::safe) return FinalAnswer::refuse;
  if (cls.effect == Effect::keyed && cls.group == KeyGroup::all) return FinalAnswer::refuse;
  return history.may_have_run || history.outstanding ? FinalAnswer::fail : FinalAnswer::refuse;
}

}  // namespace cedarplank::relay
