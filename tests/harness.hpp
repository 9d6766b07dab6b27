// Drives one dispatcher with scripted events, with fixed seeds and without a wall clock.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"

namespace cedarplank::testing {

constexpr Time kMs = 1'000, kS = 1'000'000;

// Settings with a safe, an unsafe and a keyed class, in the order of `Class`.
inline Settings default_settings() {
  Settings s;
  s.classes = {{.worth = 1, .late_worth = 0, .aim = 1 * kS, .deadline = 6 * kS, .effect = Effect::safe},
               {.worth = 3, .late_worth = 0.3, .aim = 2 * kS, .deadline = 20 * kS, .effect = Effect::unsafe},
               {.worth = 1,
                .late_worth = 0.3,
                .aim = 2 * kS,
                .deadline = 20 * kS,
                .effect = Effect::keyed,
                .key_window = 5 * kS}};
  s.kinds = {{}};
  s.slots = 16;
  s.open_max = 200;
  s.attempts_max = 8;
  s.tick = 5 * kMs;
  s.answer_slack = 20 * kMs;
  s.overload_for = 2 * kS;
  return s;
}

enum Class { kSafe, kUnsafe, kKeyed };

struct Sent {  // an attempt
  MessageId id;
  int attempt;
  EndpointId endpoint;
  Time at, timeout;
};

// Drives one dispatcher: keeps the clock, counts attempts, fires timers, and records the dispatcher's
// actions.
class DispatcherHarness {
 public:
  explicit DispatcherHarness(const Settings& s = default_settings(), std::uint64_t seed = 1)
      : dispatcher_(s, seed) {}

  // Passes the events to the dispatcher in one round.
  void round(std::vector<Event> events) {
    std::vector<Action> actions;
    dispatcher_.handle(now, events, actions);
    for (const auto& a : actions) {
      if (const auto* x = std::get_if<action::Send>(&a)) {
        const Sent one{x->id, attempts_[x->id]++, x->endpoint, now, x->timeout};
        sent.push_back(one);
        out.push_back(one);
      } else if (const auto* r = std::get_if<action::Refuse>(&a)) {
        refused[r->id] = now, come_back[r->id] = r->come_back;
      } else if (const auto* f = std::get_if<action::Fail>(&a)) {
        failed[f->id] = now;
      } else if (const auto* t = std::get_if<action::SetTimer>(&a)) {
        timers_.push_back(now + t->after);
      } else if (const auto* c = std::get_if<action::Cancel>(&a)) {
        cancelled[c->id] = now;
      } else if (const auto* n = std::get_if<action::TellPeer>(&a)) {
        notes.emplace_back(now, n->body);
      } else if (const auto* i = std::get_if<action::CloseIdle>(&a)) {
        idle_closed[i->endpoint].push_back(now);
      } else if (std::holds_alternative<action::Subscribe>(a)) {
        subscribe_times.push_back(now);
      }
    }
  }
  // Fires the timers due up to `until`, then sets the clock to `until`.
  void run_to(Time until) {
    while (true) {
      auto it = std::min_element(timers_.begin(), timers_.end());
      if (it == timers_.end() || *it > until) break;
      now = std::max(now, *it);
      timers_.erase(it);
      round({event::TimerDue{0}});
    }
    now = until;
  }
  void list(const std::vector<Endpoint>& endpoints) { round({event::ListWhole{endpoints, false}}); }
  void change(const Endpoint& e) { round({event::ListChanges{{e}}}); }
  MessageId arrive(Class c, DestinationId destination = 1, std::string key = "", Time left = 0) {
    event::Arrival a;
    a.id = ++last_id_;
    a.destination = destination;
    a.message_class = c;
    a.time_left = left > 0 ? left : default_settings().classes[c].deadline;
    a.order_key = std::move(key);
    round({a});
    return a.id;
  }
  // Ends the oldest outstanding attempt of the message.
  void end(MessageId id, Outcome outcome, Time told_wait = 0) { round({ending(id, outcome, told_wait)}); }
  Event ending(MessageId id, Outcome outcome, Time told_wait = 0) {
    auto it = std::find_if(out.begin(), out.end(), [&](const Sent& s) { return s.id == id; });
    EXPECT_NE(it, out.end()) << "message " << id << " has no outstanding attempt";
    event::AttemptEnded e;
    e.id = id;
    e.attempt = it->attempt;
    e.endpoint = it->endpoint;
    e.outcome = outcome;
    e.latency = now - it->at;
    e.closed = outcome == Outcome::served;
    e.told_wait = told_wait;
    out.erase(it);
    return e;
  }
  // Runs for `span` in steps of 50 ms. `decide` gives the outcome, if any, of attempts that have been
  // outstanding for 100 ms or more. Messages arrive at `rate` per second.
  template <class Decide>
  void run_load(Time span, double rate, Class c, DestinationId destination, Decide decide) {
    const Time until = now + span;
    double due = 0;
    while (now < until) {
      run_to(now + 50 * kMs);
      for (const auto& s : std::vector<Sent>(out))
        if (now - s.at >= 100 * kMs)
          if (const auto outcome = decide(s)) end(s.id, *outcome);
      for (due += rate * 0.05; due >= 1; due -= 1) arrive(c, destination);
    }
  }
  MessageId last_id() const { return last_id_; }
  std::size_t kept() const { return dispatcher_.kept(); }
  int sends_of(MessageId id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.id == id; }));
  }
  int sends_between(Time from, Time to, const EndpointId& e = "") const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const Sent& s) {
      return s.at >= from && s.at < to && (e.empty() || s.endpoint == e);
    }));
  }

  Time now = 1 * kS;
  std::vector<Sent> sent, out;  // all attempts; those outstanding
  std::map<MessageId, Time> refused, failed, cancelled;
  std::map<MessageId, Time> come_back;
  std::vector<Time> subscribe_times;  // when the dispatcher asked for the list's changes
  std::map<EndpointId, std::vector<Time>> idle_closed;
  std::vector<std::pair<Time, std::string>> notes;

 private:
  Dispatcher dispatcher_;
  std::map<MessageId, int> attempts_;
  std::vector<Time> timers_;
  MessageId last_id_ = 0;
};

}  // namespace cedarplank::testing
