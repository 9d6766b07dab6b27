#include "rig/checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

namespace cedarplank::rig {
namespace {

// The message's name without the number of the request ("m-<number>.<request>").
std::string base_of(const std::string& message) { return message.substr(0, message.find('.')); }

struct Checker {
  const CheckerInput& input;
  const Observed& observed;
  const std::vector<standin::Effect>& effects;
  const std::vector<ClientRequest>& requests = observed.requests;
  const std::vector<Call>& calls = observed.calls;
  std::map<std::string, std::vector<std::size_t>> calls_of;  // indices into `calls`, by the request's name
  std::map<std::string, std::size_t> request_of;             // index into `requests`, by the request's name
  CheckResult result;

  Checker(const CheckerInput& f, const Observed& o, const std::vector<standin::Effect>& e)
      : input(f), observed(o), effects(e) {
    const char* names[] = {"1 one final answer", "2 no effect twice", "3 drains kept",
                           "4 no push over",     "5 order kept",      "6 waits kept"};
    for (int i = 0; i < 6; i++) result.rules[i].name = names[i];
    for (std::size_t i = 0; i < calls.size(); i++) calls_of[calls[i].message].push_back(i);
    for (std::size_t i = 0; i < requests.size(); i++)
      if (requests[i].complete_at != kNever) request_of[requests[i].message] = i;
  }

  void violated(int rule, std::string what) { result.rules[rule - 1].violations.push_back(std::move(what)); }
  std::uint64_t& checked(int rule) { return result.rules[rule - 1].checked; }
  // A stopped relay can't act: what fell due while it was stopped is due when it continues.
  Time after_stalls(const std::string& relay, Time t) const {
    for (const auto& s : input.stalls)
      if (s.relay == relay && t >= s.from - input.slack && t <= s.to) return s.to + input.slack;
    return t;
  }
  bool stalled_between(const std::string& relay, Time from, Time to) const {
    return std::any_of(input.stalls.begin(), input.stalls.end(),
                       [&](const auto& s) { return s.relay == relay && s.from <= to && s.to >= from; });
  }
  bool died_between(const std::string& relay, Time from, Time to) const {
    return std::any_of(input.ended_runs.begin(), input.ended_runs.end(),
                       [&](const auto& l) { return l.relay == relay && l.to >= from && l.to <= to; });
  }
  const CheckerInput::Class* class_of(const std::string& message) const {
    const auto it = request_of.find(message);
    if (it == request_of.end()) return nullptr;
    const auto c = input.classes.find(requests[it->second].cls);
    return c == input.classes.end() ? nullptr : &c->second;
  }
  std::string domain_of(const std::string& endpoint) const {
    const auto it = input.domain_of.find(endpoint);
    return it == input.domain_of.end() ? endpoint : it->second;
  }

  void one_final_answer();
  void no_effect_twice();
  void drains();
  void overload_after_outage();
  void order();
  void waits();
};

// Rule 1: each message accepted by a running relay gets exactly one final answer by its deadline, and nothing
// is sent for it afterwards.
void Checker::one_final_answer() {
  for (const auto& t : requests) {
    if (t.complete_at == kNever || t.unprocessed) continue;  // incomplete, or proved not accepted
    const auto cls = input.classes.find(t.cls);
    if (cls == input.classes.end()) continue;
    checked(1)++;
    if (t.answers > 1) violated(1, fmt::format("{} at {}: {} final answers", t.message, t.relay, t.answers));
    // A message that arrives while a relay is stopped is accepted, and its time starts, when the relay
    // continues.
    const Time deadline = after_stalls(t.relay, t.complete_at) + std::min(t.ttl, cls->second.deadline) +
                          input.answer_slack + input.slack;
    const Time due = after_stalls(t.relay, deadline);
    const Time end = std::min({t.answered_at, t.reset_at});
    // Not required of a message pushed to a relay that had just been killed, before its client noticed: that
    // one was never accepted.
    if (end > due && !died_between(t.relay, t.sent_at - input.slack, due)) {
      violated(1, t.answered_at == kNever ? fmt::format("{} at {}: no final answer", t.message, t.relay)
                                          : fmt::format("{} at {}: answered {} ms late", t.message, t.relay,
                                                        (t.answered_at - due) / 1000));
    }
    if (end == kNever) continue;
    const auto sent = calls_of.find(t.message);
    if (sent == calls_of.end()) continue;
    for (const auto i : sent->second) {
      const Call& c = calls[i];
      if (c.relay == t.relay && c.arrived_at > after_stalls(t.relay, end + input.slack))
        violated(1, fmt::format("{} sent to {} {} ms after its end", t.message, c.endpoint,
                                (c.arrived_at - end) / 1000));
    }
  }
}

// Rule 2: no effect occurs twice, and a message is refused only where trying again is harmless.
void Checker::no_effect_twice() {
  std::map<std::string, int> by_message, by_key;
  std::set<std::string> ran;
  for (const auto& e : effects) {
    if (e.message.empty()) continue;
    ran.insert(e.message);
    const auto* cls = class_of(e.message);
    if (cls == nullptr) continue;
    if (cls->effect == Effect::unsafe && ++by_message[base_of(e.message)] == 2)
      violated(2, fmt::format("{} took effect twice", base_of(e.message)));
    if (cls->effect == Effect::keyed && !e.key.empty() && ++by_key[e.key] == 2)
      violated(2, fmt::format("key {} took effect twice", e.key));
  }
  for (const auto& t : requests) {
    const auto* cls = t.message.empty() ? nullptr : class_of(t.message);
    if (cls == nullptr || cls->effect == Effect::safe) continue;
    checked(2)++;
    if (cls->effect != Effect::unsafe) continue;
    if ((t.status == "503" || t.status == "429") && ran.count(t.message))
      violated(2, fmt::format("{} was refused by {} though it took effect", t.message, t.relay));
    const auto sent = calls_of.find(t.message);
    if (sent == calls_of.end()) continue;
    for (std::size_t n = 1; n < sent->second.size(); n++) {
      const Call &before = calls[sent->second[n - 1]], &c = calls[sent->second[n]];
      if (!before.proved_not_run || before.proved_at > c.arrived_at)
        violated(2, fmt::format("{} sent again to {} without proof that {} had not run it", t.message,
                                c.endpoint, before.endpoint));
    }
  }
}

// Rule 3: no new call goes to an endpoint once the drain grace after the relay was notified has passed.
void Checker::drains() {
  std::map<std::string, Time> notified_at;
  for (const auto& t : input.drain_notices) {
    const auto [it, fresh] = notified_at.emplace(t.endpoint, t.at);
    if (!fresh) it->second = std::min(it->second, t.at);
  }
  for (const auto& c : calls) {
    const auto it = notified_at.find(c.endpoint);
    if (it == notified_at.end()) continue;
    checked(3)++;
    const Time last = after_stalls(c.relay, it->second + input.list_reread) + input.drain_grace + input.slack;
    if (c.arrived_at > last)
      violated(3, fmt::format("{} sent {} to {} {} ms after the last moment", c.relay, c.message, c.endpoint,
                              (c.arrived_at - last) / 1000));
  }
}

// Rule 4: relays that noticed a destination's outage don't overload it while it is still cold afterwards.
void Checker::overload_after_outage() {
  std::map<std::string, std::vector<const Call*>> by_domain;
  for (const auto& c : calls) by_domain[domain_of(c.endpoint)].push_back(&c);
  for (const auto& [name, domain] : input.domains) {
    if (domain.cold <= 0) continue;
    const auto& all = by_domain[name];
    for (const auto& [from, to] : domain.outages) {
      checked(4)++;
      // A relay knows of the outage if one of its calls failed during it, or if a request for the destination
      // was pending at the relay during it and did not succeed.
      std::set<std::string> aware;
      for (const auto* c : all)
        if (c->arrived_at <= to && c->ended_at() >= from && !(c->status[0] == '2' && c->answered_at < to))
          aware.insert(c->relay);
      for (const auto& t : requests)
        if (t.destination == name && t.sent_at < to - 2 * input.slack && t.sent_at > from &&
            t.status != "201")
          aware.insert(t.relay);
      std::vector<const Call*> window;
      for (const auto* c : all) {
        if (c->arrived_at <= to || c->arrived_at > to + domain.cold) continue;
        window.push_back(c);
        while (window.front()->arrived_at <= c->arrived_at - domain.overload_for)
          window.erase(window.begin());
        const auto warm_at = [&](Time t) {
          return domain.cold_from + (1 - domain.cold_from) * static_cast<double>(std::max(t, to) - to) /
                                        static_cast<double>(domain.cold);
        };
        const double warm = (warm_at(c->arrived_at - domain.overload_for) + warm_at(c->arrived_at)) / 2;
        const double budget =
            emulator::overload_threshold(domain.fall_multiple, domain.capacity * warm, domain.overload_for);
        if (static_cast<double>(window.size()) <= budget) continue;
        const auto aware_calls = std::count_if(window.begin(), window.end(),
                                               [&](const Call* w) { return aware.count(w->relay) > 0; });
        if (3 * static_cast<std::size_t>(aware_calls) < 2 * window.size()) continue;
        violated(4,
                 fmt::format("{}: {} calls in {} ms, {:.0f} allowed, {} of them by relays that knew; {} ms "
                             "after its return",
                             name, window.size(), domain.overload_for / 1000, budget, aware_calls,
                             (c->arrived_at - to) / 1000));
        break;
      }
    }
  }
}

// Rule 5: messages with the same order key are sent one at a time, in the order in which the relay accepted
// them.
void Checker::order() {
  std::map<std::pair<std::string, std::string>, std::vector<const ClientRequest*>> by_key;
  for (const auto& t : requests) {
    const auto cls = input.classes.find(t.cls);
    if (cls != input.classes.end() && cls->second.ordered && !t.topic.empty() && t.complete_at != kNever)
      by_key[{t.relay, t.topic}].push_back(&t);
  }
  for (auto& [name, queue] : by_key) {
    // Stable: of two requests recorded at the same time the one on the earlier stream came first.
    std::stable_sort(queue.begin(), queue.end(), [](const ClientRequest* a, const ClientRequest* b) {
      return a->complete_at < b->complete_at;
    });
    for (std::size_t j = 1; j < queue.size(); j++) {
      const ClientRequest& later = *queue[j];
      const auto sent = calls_of.find(later.message);
      if (sent == calls_of.end()) continue;
      const Time first = calls[sent->second.front()].arrived_at;
      checked(5)++;
      // Only the 8 predecessors: earlier requests were compared with their own successors.
      for (std::size_t i = j; i-- > 0 && j - i <= 8;) {
        const ClientRequest& earlier = *queue[i];
        // A restarted relay knows nothing of it; nor does a relay that was dead already when its client
        // pushed.
        if (died_between(name.first, earlier.sent_at - input.slack, first)) continue;
        const auto its_calls = calls_of.find(earlier.message);
        const Time end = std::min({earlier.answered_at, earlier.reset_at});
        if (its_calls != calls_of.end()) {
          for (const auto n : its_calls->second) {
            const Call& c = calls[n];
            if (c.relay != name.first) continue;
            const bool doubt = c.answered_at == kNever && !c.proved_not_run;
            // The protocol doesn't show when the relay gave this call up; its message has ended at the client
            // by now.
            if (c.give_up_not_visible && c.arrived_at <= first && end <= first + input.slack) continue;
            const Time blocked_until =
                c.ended_at() == kNever ? kNever
                                       : c.ended_at() + (doubt ? input.settle_after_doubt - input.slack : 0);
            if (c.arrived_at > first || blocked_until > first) {
              violated(5, fmt::format("{}: {} sent while {} of the same key {}", name.first, later.message,
                                      earlier.message,
                                      c.arrived_at > first ? "had yet to go"
                                      : doubt              ? "was in doubt"
                                                           : "was out"));
              break;
            }
          }
        }
        if (end > first + input.slack)
          violated(5, fmt::format("{}: {} sent before {} of the same key was over", name.first, later.message,
                                  earlier.message));
      }
    }
  }
}

// Rule 6: a told wait holds back every call to that destination, or to that endpoint where routes are apart.
void Checker::waits() {
  std::map<std::pair<std::string, std::string>, std::vector<const Call*>> by_domain;
  for (const auto& c : calls) by_domain[{c.relay, domain_of(c.endpoint)}].push_back(&c);
  for (auto& [name, all] : by_domain) {
    for (const auto* refusal : all) {
      if (refusal->told_wait <= 0 || refusal->given_up_at < refusal->answered_at) continue;
      checked(6)++;
      const Time from = after_stalls(name.first, refusal->answered_at) + input.slack,
                 to = refusal->answered_at + refusal->told_wait;
      const auto first = std::upper_bound(all.begin(), all.end(), from,
                                          [](Time t, const Call* c) { return t < c->arrived_at; });
      if (first == all.end() || (*first)->arrived_at >= to) continue;
      if (died_between(name.first, refusal->answered_at, (*first)->arrived_at)) continue;
      violated(6, fmt::format("{} sent {} to {} {} ms before the end of a told wait", name.first,
                              (*first)->message, (*first)->endpoint, (to - (*first)->arrived_at) / 1000));
    }
  }
}

}  // namespace

CheckResult check_rules(const CheckerInput& input, const Observed& observed,
                        const std::vector<standin::Effect>& effects) {
  Checker c(input, observed, effects);
  c.one_final_answer();
  c.no_effect_twice();
  c.drains();
  c.overload_after_outage();
  c.order();
  c.waits();
  return std::move(c.result);
}

CheckResult check_rules(const CheckerInput& input, std::vector<record::CaptureRecord> records,
                        const std::vector<standin::Effect>& effects) {
  return check_rules(input, observe(std::move(records), input.unseen_503), effects);
}

std::string format_check_result(const CheckResult& result, std::size_t cases_shown) {
  std::string out = fmt::format("{:<22} {:>10} {:>8}\n", "rule", "checked", "broken");
  for (const auto& r : result.rules) {
    out += fmt::format("{:<22} {:>10} {:>8}\n", r.name, r.checked, r.violations.size());
    for (std::size_t i = 0; i < std::min(cases_shown, r.violations.size()); i++)
      out += "    " + r.violations[i] + "\n";
  }
  return out;
}

}  // namespace cedarplank::rig
