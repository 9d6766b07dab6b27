// A scripted day in virtual time: the real relay core, pool and module of every relay, the emulator's
// partners, the load book's clients; only sockets, kernels and the time that computing takes are left out.
// Equal scenarios give equal days.
#pragma once

#include <string>
#include <vector>

#include "lab/baselines.hpp"
#include "rig/script.hpp"
#include "trace/recorder.hpp"

namespace cedarplank::lab {

struct WorldOptions {
  Policy policy = Policy::ours;
  rig::Time hop = 50;                         // one way between client and relay, relay and endpoint; us
  bool judge = true;                          // check the rules at the end
  std::function<void(trace::Story&&)> story;  // where set, the relays keep stories by their settings
};

struct Figures {  // what a day came to
  std::vector<std::string> class_names;
  std::vector<rig::LoadBook::Tally> tallies;
  rig::Verdict verdict;
  std::uint64_t calls = 0, refused_calls = 0, effects = 0, falls = 0, connections = 0, doubled = 0,
                unanswered = 0;
  std::size_t held_most = 0;
  struct Second {
    std::uint64_t asked = 0, served = 0, in_aim = 0, calls = 0, refused_calls = 0;
    std::size_t held = 0;
    std::vector<std::uint64_t> served_by_class;
  };
  std::vector<Second> seconds;
  double virtual_s = 0, real_s = 0;
  std::uint64_t events = 0;  // of the clock

  std::uint64_t asked() const;
  double served_share() const, in_aim_share() const, attempts_per_message() const;
  bool good() const { return verdict.kept() && unanswered == 0 && doubled == 0; }
};

// Throws ConfigError where the relay's settings are wrong.
Figures run_virtual(const rig::Scenario& scenario, const WorldOptions& options);

}  // namespace cedarplank::lab
