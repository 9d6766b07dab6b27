// Model check of the order of writes and actions: the real coordinator, state and recovery between a
// simulated decider, partner and client that take every allowed step in every order, with a crash at any
// point that keeps any prefix of the records that were not durable. Rules 1, 2 and 6 must hold on every path.
// With one wait switched off some path must violate them.
#include <gtest/gtest.h>

#include <iostream>
#include <set>
#include <sstream>
#include <unordered_set>

#include "journal/coordinator.hpp"
#include "journal/recovery.hpp"

namespace cedarplank::testing {
namespace {

using journal::JournalCoordinator;
using Violation = std::string;  // number of the rule, and how it is violated; empty: none

// What is explored.
struct Plan {
  std::vector<Effect> messages;  // one message for each entry
  int attempts = 2, crashes = 2;
  journal::DurabilityWaits waits = {};
  bool forget_waits = false;  // fault: recovery does not pass on told waits
  bool no_recall = false;     // fault: a told wait does not cancel sends that wait for the journal
};

// One path: the system with everything around it, advanced step by step.
class Simulation final : public relay::Transport, public relay::AnswerSink {
 public:
  // kind: t submit a message, s send an attempt, r refuse, f fail, g give the attempt up, p the partner
  // performs the effect, e the call ends (b: how), c commit, x crash (a: records kept), w the told wait
  // passes. a is a client, message, call or record.
  struct Step {
    char kind = 0;
    int a = 0, b = 0;
  };

  explicit Simulation(const Plan& plan) : plan_(plan), clients_(plan.messages.size()) { start(); }

  Violation violation;

  // All steps that are possible now.
  std::vector<Step> possible_steps() const {
    std::vector<Step> all;
    const auto n = static_cast<int>(clients_.size());
    for (int m = 0; m < n; m++) {
      const auto& c = clients_[static_cast<std::size_t>(m)];
      if (c.id == 0 && c.finals == 0) all.push_back({'t', m});
    }
    for (const auto& [id, m] : held_) {
      const Effect effect = effect_of(m.client);
      const bool repeat = effect == Effect::safe || !m.ran;
      const auto i = static_cast<int>(id);
      if (m.out == 0 && m.attempts < plan_.attempts && repeat && !wait_known_) all.push_back({'s', i});
      if (m.out == 0 && repeat) all.push_back({'r', i});
      if (m.out == 0) all.push_back({'f', i});
      if (m.out != 0) all.push_back({'g', i});  // gives the attempt up
    }
    for (const auto& [id, c] : calls_) {
      const auto i = static_cast<int>(id);
      if (!c.ran && !c.never) all.push_back({'p', i});
      if (!c.ours) continue;
      all.push_back({'e', i, c.ran ? 0 : 1});            // served, or refused without an effect
      if (!c.ran && !told_) all.push_back({'e', i, 2});  // refused with a told wait
      all.push_back({'e', i, 3});                        // reset
    }
    if (durable_ < log_.size()) {
      all.push_back({'c', static_cast<int>(log_.size())});
      if (durable_ + 1 < log_.size()) all.push_back({'c', static_cast<int>(durable_ + 1)});
    }
    if (crashes_ < plan_.crashes)
      for (std::size_t kept = durable_; kept <= log_.size(); kept++)
        all.push_back({'x', static_cast<int>(kept)});
    if (told_) all.push_back({'w'});
    return all;
  }

  void apply(const Step& s) {
    switch (s.kind) {
      case 't': {
        auto message = std::make_shared<relay::NewMessage>();
        message->message_class = s.a, message->idempotency_key = std::string(1, static_cast<char>('a' + s.a));
        const MessageId id = next_id_++;
        auto& c = clients_[static_cast<std::size_t>(s.a)];
        c.id = id;
        held_[id] = {s.a, 0, false, 0};
        keeper_->message_accepted(id, message, 10'000);
        keeper_->when_durable(id,
                              [this, m = s.a] { clients_[static_cast<std::size_t>(m)].acknowledged = true; });
        break;
      }
      case 's': {
        auto& m = held_.at(static_cast<MessageId>(s.a));
        auto message = std::make_shared<relay::NewMessage>();
        message->message_class = m.client;
        m.out = next_call_++;
        sent_[m.out] = {static_cast<MessageId>(s.a), m.attempts};
        keeper_->send({m.out, "e", static_cast<MessageId>(s.a), m.attempts++, 10'000, message});
        break;
      }
      case 'r':
        held_.erase(static_cast<MessageId>(s.a));
        keeper_->refused(static_cast<MessageId>(s.a), 0, {});
        break;
      case 'f':
        held_.erase(static_cast<MessageId>(s.a));
        keeper_->failed(static_cast<MessageId>(s.a), {});
        break;
      case 'g': {
        auto& m = held_.at(static_cast<MessageId>(s.a));
        const auto how = keeper_->cancel(m.out);
        end(m.out, how == CancelResult::sent ? Outcome::timeout : Outcome::not_sent, 0);
        break;
      }
      case 'p': {
        auto& call = calls_.at(static_cast<relay::CallId>(s.a));
        call.ran = true;
        auto& c = clients_[static_cast<std::size_t>(call.client)];
        if (++c.effects > 1 && effect_of(call.client) != Effect::safe) violation = "2: an effect twice";
        if (c.refused && effect_of(call.client) != Effect::safe) violation = "2: an effect after a refusal";
        break;
      }
      case 'e': {
        auto& call = calls_.at(static_cast<relay::CallId>(s.a));
        const auto id = static_cast<relay::CallId>(s.a);
        call.ours = false;
        static constexpr Outcome kOutcomes[] = {Outcome::served, Outcome::full, Outcome::full,
                                                Outcome::reset};
        if (s.b == 1 || s.b == 2) call.never = true;
        if (s.b == 2) told_ = true, wait_known_ = true;
        end(id, kOutcomes[s.b], s.b == 2 ? 1'000 : 0);
        // As the core does: sends that wait for the journal are cancelled too.
        if (s.b == 2 && !plan_.no_recall)
          for (const auto other : keeper_->cancel_all_unsent("e")) end(other, Outcome::not_sent, 0);
        break;
      }
      case 'c':
        commit(static_cast<std::size_t>(s.a));
        break;
      case 'x':
        crash(static_cast<std::size_t>(s.a));
        break;
      case 'w':
        told_ = wait_known_ = wait_survived_ = false, now_ = 5'000;
        keeper_->set_time(now_);
        break;
      default:
        break;
    }
  }

  // Equal for paths that lead to the same state.
  std::string state() const {
    std::ostringstream o;
    // Of the durable records only the resulting state matters; of the others each record does.
    journal::StateImage image;
    journal::Record r;
    for (std::size_t i = 0; i < log_.size(); i++) {
      if (i < durable_)
        journal::decode(log_[i], r), image.apply(i + 1, r);
      else
        o << log_[i] << '\n';
    }
    for (const auto& [id, h] : image.held()) o << id << journal::encode({0, h.state}) << '\n';
    for (const auto& [id, h] : image.answers()) o << id << journal::encode({0, h.answered}) << '\n';
    o << image.waits().size() << '.' << image.next_id() << '|';
    for (const auto& c : clients_)
      o << c.id << c.acknowledged << c.finals << c.refused << static_cast<char>('a' + c.effects) << c.verdict
        << ';';
    for (const auto& [id, m] : held_) o << id << ',' << m.attempts << m.ran << m.out << ';';
    for (const auto& [id, c] : calls_) o << id << c.ran << c.never << c.ours << ';';
    o << crashes_ << told_ << wait_known_ << wait_survived_ << heard_ << now_;
    return o.str();
  }

  // relay::Transport
  void send(const relay::OutgoingCall& order) override {
    const int m = order.message->message_class;
    calls_[order.id] = {m, false, false, true};
    if (clients_[static_cast<std::size_t>(m)].finals > 0) violation = "1: sent after the final answer";
    if (told_ && (heard_ || wait_survived_)) violation = "6: sent while told to wait";
  }
  CancelResult cancel(relay::CallId call) override {
    calls_.at(call).ours = false;
    return CancelResult::sent;
  }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  // relay::AnswerSink
  void served(MessageId id, const relay::CallResult&) override { answer(id, 's'); }
  void refused(MessageId id, Time, const relay::AttemptSummary&) override { answer(id, 'r'); }
  void failed(MessageId id, const relay::AttemptSummary&) override { answer(id, 'f'); }

 private:
  struct Client {  // client of one message
    MessageId id = 0;
    bool acknowledged = false, refused = false;
    int finals = 0, effects = 0;
    char verdict = '-';
  };
  struct Held {
    int client = 0, attempts = 0;
    bool ran = false;
    relay::CallId out = 0;
  };
  struct Call {  // a call that was sent
    int client = 0;
    bool ran = false, never = false, ours = false;
  };

  Effect effect_of(int client) const { return plan_.messages[static_cast<std::size_t>(client)]; }

  void answer(MessageId id, char verdict) {
    for (auto& c : clients_)
      if (c.id == id) deliver(c, verdict);
  }
  void deliver(Client& c, char verdict) {
    if (c.finals > 0 && c.verdict != verdict) violation = "1: two final answers";
    if (verdict == 'r') {
      c.refused = true;
      const auto effect = effect_of(static_cast<int>(&c - clients_.data()));
      if (c.effects > 0 && effect != Effect::safe) violation = "2: refused, and had an effect";
    }
    c.finals = 1, c.verdict = verdict;
  }

  void end(relay::CallId id, Outcome outcome, Time told) {
    const auto [message, attempt] = sent_.at(id);
    if (told > 0) heard_ = true;
    keeper_->attempt_ended({id, "e", message, attempt, 0, nullptr}, {outcome, told, {}, "", {}});
    const auto it = held_.find(message);
    if (it == held_.end() || it->second.out != id) return;
    it->second.out = 0;
    if (outcome == Outcome::served) {
      held_.erase(it);
      keeper_->served(message, {});
    } else if (!relay::proves_not_run(outcome)) {
      it->second.ran = true;
    }
  }

  void commit(std::size_t upto) {
    durable_ = upto;
    keeper_->mark_durable(durable_);
  }

  void start() {
    journal::StateImage image;
    for (std::size_t i = 0; i < log_.size(); i++) {
      journal::Record r;
      EXPECT_TRUE(journal::decode(log_[i], r).ok());
      image.apply(i + 1, r);
    }
    journal::JournalCoordinatorSettings settings;
    for (const auto effect : plan_.messages) {
      ClassSettings cls;
      cls.effect = effect;
      settings.classes.push_back(cls);
      settings.class_names.push_back(std::string(1, static_cast<char>('A' + settings.class_names.size())));
    }
    next_id_ = image.next_id();
    const auto base = journal::make_base(image, {"boot", now_, 0});
    const auto found = journal::recover(
        image, now_,
        {.destination = [](const std::string&) { return DestinationId{0}; },
         .message_class = [](const std::string& name) { return std::optional<int>(name[0] - 'A'); },
         .tenant = [](const std::string&) { return std::optional<int>(); }});
    keeper_ = std::make_unique<JournalCoordinator>(
        settings, std::move(image),
        JournalCoordinator::Ports{.transport = *this,
                                  .answers = *this,
                                  .destination_name = [](DestinationId) { return std::string("d"); },
                                  .append =
                                      [this](std::string bytes) {
                                        log_.push_back(std::move(bytes));
                                        return log_.size();
                                      },
                                  .release = [](journal::Sequence) {},
                                  .call_dropped = [](relay::CallId, const relay::CallResult&) {}},
        plan_.waits);
    keeper_->write_base(base, now_);
    for (const auto& m : found.messages)
      held_[m.id] = {m.message->message_class, m.prior_attempts.attempts, m.prior_attempts.ran_zone >= 0, 0};
    wait_known_ = wait_survived_ = false;
    for (const auto& k : found.known_endpoints)
      if (k.wait_left > 0) wait_known_ = wait_survived_ = true;
    if (plan_.forget_waits) wait_known_ = false;
    wait_survived_ = wait_survived_ && told_;
  }

  // Keeps the first `kept` records, at least the durable ones. Calls that were sent go on.
  void crash(std::size_t kept) {
    crashes_++;
    log_.resize(kept);
    durable_ = kept;  // opening the log makes all that is read durable
    held_.clear(), sent_.clear(), heard_ = false;
    for (auto& [id, c] : calls_) c.ours = false;
    start();
    // Each client asks for the answer of its message.
    for (std::size_t i = 0; i < clients_.size(); i++) {
      Client& c = clients_[i];
      if (c.id == 0) continue;
      const auto id = keeper_->image().find("", "d", std::string(1, static_cast<char>('a' + i)));
      const auto kept_answer = id ? keeper_->image().answers().find(*id) : keeper_->image().answers().end();
      if (kept_answer != keeper_->image().answers().end()) {
        static constexpr char kVerdicts[] = {'s', 'r', 'f'};
        deliver(c, kVerdicts[static_cast<int>(kept_answer->second.answered.verdict)]);
      } else if (c.finals > 0) {
        violation = id ? "1: held again after its final answer" : "1: the answer given is forgotten";
      } else if (!id) {
        if (c.acknowledged) violation = "1: lost after it was acknowledged";
        c.id = 0;  // it may be submitted again
      }
    }
  }

  const Plan plan_;
  std::unique_ptr<JournalCoordinator> keeper_;
  std::vector<std::string> log_;
  std::size_t durable_ = 0;
  std::vector<Client> clients_;
  std::map<MessageId, Held> held_;
  std::map<relay::CallId, Call> calls_;
  std::map<relay::CallId, std::pair<MessageId, int>> sent_;  // message and attempt
  MessageId next_id_ = 1;
  relay::CallId next_call_ = 1;
  Time now_ = 100;
  int crashes_ = 0;
  bool told_ = false, wait_known_ = false, heard_ = false, wait_survived_ = false;
};

// The result of explore().
struct Explored {
  std::size_t states = 0, steps = 0;
  Violation violation;
  std::string path;
};

// Visits every reachable state once, each by replaying the path that led to it from the start.
Explored explore(const Plan& plan) {
  Explored e;
  std::unordered_set<std::size_t> seen;  // hashes: a collision may skip a state, none is visited twice
  std::vector<std::vector<Simulation::Step>> open = {{}};
  while (!open.empty()) {
    const auto path = std::move(open.back());
    open.pop_back();
    Simulation at(plan);
    for (const auto& s : path) at.apply(s);
    for (const auto& s : at.possible_steps()) {
      Simulation next(plan);
      for (const auto& before : path) next.apply(before);
      next.apply(s);
      e.steps++;
      auto longer = path;
      longer.push_back(s);
      if (!next.violation.empty()) {
        e.violation = next.violation;
        for (const auto& x : longer) e.path += std::string(1, x.kind) + std::to_string(x.a) + " ";
        return e;
      }
      if (seen.insert(std::hash<std::string>()(next.state())).second) open.push_back(std::move(longer));
    }
  }
  e.states = seen.size();
  return e;
}

TEST(JournalModel, TheRulesHoldOnEveryPath) {
  const std::vector<Plan> plans = {
      {{Effect::unsafe}, 2, 2}, {{Effect::safe}, 1, 2}, {{Effect::unsafe, Effect::unsafe}, 1, 1}};
  for (const auto& plan : plans) {
    const auto e = explore(plan);
    std::cout << plan.messages.size() << " messages, " << plan.crashes << " crashes: " << e.states
              << " states, " << e.steps << " steps\n";
    EXPECT_EQ(e.violation, "") << e.path;
    EXPECT_GT(e.states, 500u);
  }
}

TEST(JournalModel, EachPlantedMistakeIsFound) {
  const auto violation = [](journal::DurabilityWaits waits, bool forget,
                            std::vector<Effect> messages = {Effect::unsafe}) {
    return explore({std::move(messages), 2, 2, waits, forget}).violation;
  };
  EXPECT_EQ(violation({.risky_sends = false}, false).substr(0, 1), "2");
  EXPECT_EQ(violation({.answers = false}, false).substr(0, 1), "1");
  EXPECT_EQ(violation({.acknowledgement = false}, false).substr(0, 1), "1");
  EXPECT_EQ(violation({}, true).substr(0, 1), "6");
  EXPECT_EQ(explore({{Effect::unsafe, Effect::unsafe}, 1, 0, {}, false, true}).violation.substr(0, 1), "6");
}

}  // namespace
}  // namespace cedarplank::testing
