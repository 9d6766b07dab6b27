// The relay with a fault injected between the core and the dispatcher: one for each rule
// (CEDARPLANK_FAULT=1..6), and one that forgets the attempts of its previous run (7). Scenario runs use it to
// show that the checker detects a broken rule. Never installed.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "app/relay_main.hpp"

namespace {

using namespace cedarplank;

class FaultyDecider final : public relay::Decider {
 public:
  FaultyDecider(const Settings& settings, std::uint64_t seed, int fault)
      : settings_(settings), inner_(relay::make_dispatcher(settings, seed)), fault_(fault) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    std::vector<Event> changed;
    for (Event e : events) {
      if (auto* a = std::get_if<event::Arrival>(&e)) {
        unsafe_.insert_or_assign(
            a->id, settings_.classes[static_cast<std::size_t>(a->message_class)].effect == Effect::unsafe);
        if (fault_ == 1 && a->id % 40 == 0) continue;  // dropped: it gets no final answer
        if (fault_ == 5) a->order_key.clear();         // breaks the order
        if (fault_ == 7) a->attempts = 0, a->ran_zone = -1;
      } else if (auto* ended = std::get_if<event::AttemptEnded>(&e)) {
        const bool lost = ended->outcome == Outcome::reset || ended->outcome == Outcome::timeout;
        if (fault_ == 2 && lost && unsafe_[ended->id])
          ended->outcome = Outcome::not_sent;  // reported as not run, so that it is sent again
        if (fault_ == 4 && ended->outcome != Outcome::served)
          ended->outcome = Outcome::not_sent;  // hides outages
        if (fault_ == 6) ended->told_wait = 0;
      } else if (auto* whole = std::get_if<event::ListWhole>(&e)) {
        if (fault_ == 3) keep_active(whole->endpoints);
      } else if (auto* changes = std::get_if<event::ListChanges>(&e)) {
        if (fault_ == 3) keep_active(changes->endpoints);
      }
      changed.push_back(std::move(e));
    }
    inner_->handle(now, changed, actions);
  }

 private:
  static void keep_active(std::vector<Endpoint>& endpoints) {
    for (auto& e : endpoints) e.listing = Listing::active;  // hides drains
  }
  Settings settings_;
  std::unique_ptr<relay::Decider> inner_;
  int fault_;
  std::map<MessageId, bool> unsafe_;
};

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const char* fault = std::getenv("CEDARPLANK_FAULT");
  if (argc != 3 || fault == nullptr) {
    std::fprintf(stderr, "usage: CEDARPLANK_FAULT=1..7 faulty_relay --config FILE\n");
    return 2;
  }
  try {
    return app::run_relay(argv[2],
                          [fault](const Settings& s, std::uint64_t seed) -> std::unique_ptr<relay::Decider> {
                            return std::make_unique<FaultyDecider>(s, seed, std::atoi(fault));
                          });
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
