#include "platform/discovery.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kWait = 8'000'000;          // of one call of a watch: an end that went silent shows after it
constexpr Time kAnswerWithin = 1'900'000;  // on top of the wait; what is not heard by 2 s counts as told
constexpr std::size_t kMostList = 4 * 1024 * 1024;

http1::Bounds bounds() {
  http1::Bounds b;
  b.body = kMostList;
  return b;
}

}  // namespace

Discovery::Discovery(loop::Loop& loop, const std::string& address, const settings::Tables& names, Host host)
    : loop_(loop),
      names_(names),
      host_(std::move(host)),
      exchange_(loop, address, bounds()),
      whole_exchange_(loop, address, bounds()) {}

void Discovery::move_to(const std::string& address) {
  const bool fetching = whole_exchange_.busy();
  exchange_.move_to(address), whole_exchange_.move_to(address);
  if (watching_) watch(0);
  if (fetching) whole();
}

void Discovery::fetch() {
  if (!whole_exchange_.busy()) whole();
}

void Discovery::subscribe(bool on) {
  watching_ = on;
  exchange_.drop();
  if (!on) return;
  answer_due_ = true;
  watch(0);
}

void Discovery::whole() {
  whole_exchange_.ask("GET", "/catalog/members", {}, kAnswerWithin,
                      [this](const http1::Message* a, const std::string& why) { answered(false, a, why); });
}

// The first call waits for nothing: it tells what was missed. Without any list it asks for the whole.
void Discovery::watch(Time wait) {
  const std::string target = index_ < 0 ? "/catalog/members"
                                        : "/catalog/members?after=" + std::to_string(index_) +
                                              "&wait_ms=" + std::to_string(wait / 1000);
  exchange_.ask("GET", target, {}, wait + kAnswerWithin,
                [this](const http1::Message* a, const std::string& why) { answered(true, a, why); });
}

void Discovery::answered(bool watched, const http1::Message* answer, const std::string& why) {
  if (answer == nullptr || answer->status != 200)
    return fail(answer == nullptr ? why : "answered " + std::to_string(answer->status));
  Catalogue catalogue;
  try {
    catalogue = read_catalogue(answer->body, names_, host_.unix_to_module());
  } catch (const settings::FieldError& bad) {
    return fail(bad.what());
  }
  // Changes build on the list that is known; older ones than it say nothing new.
  if (catalogue.whole || catalogue.index >= index_) index_ = catalogue.index;
  if (watched && watching_) watch(kWait);
  const bool due = watched && answer_due_;
  if (watched) answer_due_ = false;
  if (due || !watched || catalogue.whole || !catalogue.endpoints.empty()) host_.list(catalogue);
}

void Discovery::fail(const std::string& why) {
  host_.log(why);
  watching_ = answer_due_ = false;
  exchange_.drop();
  host_.failed();
}

}  // namespace cedarplank::platform
