#include "platform/discovery.hpp"

#include <utility>

namespace cedarplank::platform {
namespace {

// What discovery has to tell counts as told 6 s after it could be told (PROTOCOL, Figures), whatever became
// of calls. So a watch that fell silent right after its answer, and with it whatever came next, has to be
// found out, asked about anew and answered in that time: wait, answer, the module's first gap (0.6 s) and
// another answer. Shorter waits would cost discovery more calls: each relay makes one a wait.
constexpr Time kWait = 2'200'000;
constexpr Time kSilentAfter = 1'200'000;   // on top of the wait: all that is left to do there is to write
constexpr Time kAnswerWithin = 1'900'000;  // of a call that does not wait: those of all relays may queue
constexpr std::size_t kMostList = 4 * 1024 * 1024;

http1::Bounds bounds() {
  http1::Bounds b;
  b.body = kMostList;
  return b;
}

}  // namespace

Discovery::Discovery(loop::Loop& loop, const std::string& address, const settings::Tables& names, Host host)
    : loop_(loop), names_(names), host_(std::move(host)), exchange_(loop, address, bounds()) {}

// Numbers of one discovery say nothing at another: the whole list is asked for, at once, and watched on.
void Discovery::move_to(const std::string& address) {
  exchange_.move_to(address);
  index_ = -1;
  subscribe(true);
}

void Discovery::fetch() {
  index_ = -1;
  exchange_.drop();
  ask(0);
}

void Discovery::subscribe(bool on) {
  watching_ = on;
  exchange_.drop();
  if (!on) return;
  answer_due_ = true;
  ask(0);
}

// The first call waits for nothing: it tells what was missed. Without any list it asks for the whole.
void Discovery::ask(Time wait) {
  const std::string target = index_ < 0 ? "/catalog/members"
                                        : "/catalog/members?after=" + std::to_string(index_) +
                                              "&wait_ms=" + std::to_string(wait / 1000);
  exchange_.ask("GET", target, {}, wait > 0 ? wait + kSilentAfter : kAnswerWithin,
                [this](const http1::Message* a, const std::string& why) { answered(a, why); });
}

void Discovery::answered(const http1::Message* answer, const std::string& why) {
  if (answer == nullptr || answer->status != 200)
    return fail(answer == nullptr ? why : "answered " + std::to_string(answer->status));
  Catalogue catalogue;
  try {
    catalogue = read_catalogue(answer->body, names_, host_.unix_to_module());
  } catch (const settings::FieldError& bad) {
    return fail(bad.what());
  }
  if (!catalogue.whole && catalogue.index < index_) {
    // Changes build on the list that is known. Guards against a discovery that counts anew: its changes are
    // no way on from here, and older ones would undo a drain.
    host_.log("changes up to " + std::to_string(catalogue.index) + " after " + std::to_string(index_) +
              ": the whole list is asked for");
    index_ = -1;
    return ask(0);
  }
  index_ = catalogue.index;
  if (watching_) ask(kWait);
  const bool due = std::exchange(answer_due_, false);
  if (due || catalogue.whole || !catalogue.endpoints.empty()) host_.list(catalogue);
}

void Discovery::fail(const std::string& why) {
  host_.log(why);
  watching_ = answer_due_ = false;
  exchange_.drop();
  host_.failed();
}

}  // namespace cedarplank::platform
