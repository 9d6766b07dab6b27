#include "platform/discovery.hpp"

#include <utility>

namespace cedarplank::platform {
namespace {

// By the platform's protocol a relay counts as informed of a change 6 s after discovery could have answered
// with it, whatever became of the calls. So when a watch gets no more answers right after one, the relay has
// to notice, ask again and be answered within that time: wait, answer, the dispatcher's first pause (0.6 s)
// and another answer. Shorter waits would cost discovery more calls: each relay makes one call per wait.
constexpr Time kWatchWait = 2'200'000;
// In addition to the wait: discovery only has to write its answer.
constexpr Time kWatchAnswerTimeout = 1'200'000;
constexpr Time kAnswerTimeout = 1'900'000;  // for a call without a wait: the calls of all relays may queue

http1::Bounds bounds_for(std::size_t max_list_bytes) {
  http1::Bounds b;
  b.body = max_list_bytes;
  return b;
}

}  // namespace

DiscoveryClient::DiscoveryClient(loop::Loop& loop, const std::string& address,
                                 const settings::NameTables& names, std::size_t max_list_bytes, Host host)
    : loop_(loop),
      names_(names),
      host_(std::move(host)),
      exchange_(loop, address, bounds_for(max_list_bytes)) {}

DiscoveryClient::~DiscoveryClient() { loop_.cancel(timer_); }

// The indexes of one discovery service mean nothing to another: requests the whole list at once and goes on
// watching.
void DiscoveryClient::set_address(const std::string& address) {
  loop_.cancel(timer_), timer_ = 0;
  exchange_.set_address(address);
  index_ = -1;
  subscribe(true);
}

void DiscoveryClient::fetch() {
  index_ = -1;
  exchange_.cancel();
  request_list(0);
}

void DiscoveryClient::subscribe(bool on) {
  watching_ = on;
  exchange_.cancel();
  loop_.cancel(timer_), timer_ = 0;
  if (!on) return;
  report_first_answer_ = true;
  request_list(0);
}

// The first call of a watch does not wait: it returns the changes that were missed. Without a known list the
// call asks for the whole list.
void DiscoveryClient::request_list(Time wait) {
  const std::string target = index_ < 0 ? "/catalog/members"
                                        : "/catalog/members?after=" + std::to_string(index_) +
                                              "&wait_ms=" + std::to_string(wait / 1000);
  exchange_.send("GET", target, {}, [this](const http1::Message* a, const std::string& why) {
    loop_.cancel(timer_), timer_ = 0;
    handle_answer(a, why);
  });
  loop_.cancel(timer_);
  timer_ = loop_.after(wait > 0 ? wait + kWatchAnswerTimeout : kAnswerTimeout, [this] {
    timer_ = 0;
    fail("no answer in time");
  });
}

void DiscoveryClient::handle_answer(const http1::Message* answer, const std::string& why) {
  if (answer == nullptr || answer->status != 200)
    return fail(answer == nullptr ? why : "answered " + std::to_string(answer->status));
  Catalogue catalogue;
  try {
    catalogue = read_catalogue(answer->body, names_, host_.unix_to_monotonic());
  } catch (const settings::FieldError& bad) {
    return fail(bad.what());
  }
  if (!catalogue.whole && catalogue.index < index_) {
    // Changes apply to the list that is known. Guards against a discovery service whose index started again:
    // its changes don't apply to this list, and older ones could undo the draining of an endpoint.
    host_.log("changes up to " + std::to_string(catalogue.index) + " after " + std::to_string(index_) +
              ": requesting the whole list");
    index_ = -1;
    return request_list(0);
  }
  index_ = catalogue.index;
  if (watching_) request_list(kWatchWait);
  const bool due = std::exchange(report_first_answer_, false);
  if (due || catalogue.whole || !catalogue.endpoints.empty()) host_.list(catalogue);
}

void DiscoveryClient::fail(const std::string& why) {
  host_.log(why);
  watching_ = report_first_answer_ = false;
  exchange_.cancel();
  host_.failed();
}

}  // namespace cedarplank::platform
