#include "platform/discovery.hpp"

#include <utility>

#include "platform/exchange_choice.hpp"

namespace cedarplank::platform {
namespace {

// By the platform's protocol a relay counts as informed of a change 6 s after discovery could have answered
// with it, whatever became of the calls; and a call may wait 2 s at discovery, to which a connection and an
// answer over the longest distance add 0.25 s. So when a call gets no answer, the next one has to be sent
// 3.7 s after it at the latest.
//
// For a watch these are its wait, the time until its answer is late, and the dispatcher's first pause (0.6 s
// at most). Shorter waits would cost discovery more calls: each relay makes one call per wait.
constexpr Time kWatchWait = 2'200'000;
constexpr Time kWatchLateAfter = 800'000;  // in addition to the wait: discovery only has to write its answer
// For a call without a wait they are this time and the dispatcher's longest pause (2 s).
constexpr Time kLateAfter = 1'700'000;
// The latest call, one that is late, and a connection for the next.
constexpr std::size_t kConnections = 3;

http1::Bounds bounds_for(std::size_t max_list_bytes) {
  http1::Bounds b;
  b.body = max_list_bytes;
  return b;
}

}  // namespace

DiscoveryClient::DiscoveryClient(loop::Loop& loop, const std::string& address,
                                 const settings::NameTables& names, std::size_t max_list_bytes, Host host)
    : loop_(loop), names_(names), host_(std::move(host)) {
  for (std::size_t i = 0; i < kConnections; i++)
    calls_.push_back(std::make_unique<Call>(loop, address, bounds_for(max_list_bytes)));
}

DiscoveryClient::~DiscoveryClient() { loop_.cancel(late_timer_); }

// The indexes of one discovery service mean nothing to another: requests the whole list at once and goes on
// watching.
void DiscoveryClient::set_address(const std::string& address) {
  for (const auto& call : calls_) call->client.set_address(address);
  index_ = -1;
  subscribe(true);
}

void DiscoveryClient::fetch() {
  index_ = -1;
  request_list(0);
}

void DiscoveryClient::subscribe(bool on) {
  watching_ = on;
  if (!on) return cancel_calls_before(last_call_ + 1);
  report_first_answer_ = true;
  request_list(0);
}

DiscoveryClient::Call& DiscoveryClient::find_connection() {
  if (Call* idle = find_idle(calls_)) return *idle;
  Call* oldest = find_oldest(calls_);
  oldest->client.cancel();
  return *oldest;
}

void DiscoveryClient::open_next_connection() {
  if (Call* idle = find_idle(calls_)) idle->client.open_ahead();
}

// The first call of a watch does not wait: it returns the changes that were missed. Without a known list the
// call asks for the whole list.
void DiscoveryClient::request_list(Time wait) {
  const std::string target = index_ < 0 ? "/catalog/members"
                                        : "/catalog/members?after=" + std::to_string(index_) +
                                              "&wait_ms=" + std::to_string(wait / 1000);
  Call& call = find_connection();
  call.order = ++last_call_;
  call.lists_before = lists_received_;
  reported_failed_ = false;
  loop_.cancel(late_timer_);
  late_timer_ = loop_.after(wait > 0 ? wait + kWatchLateAfter : kLateAfter, [this] {
    late_timer_ = 0;
    handle_late_answer();
  });
  call.client.send("GET", target, {}, [this, &call](const http1::Message* a, const std::string& why) {
    handle_answer(call, a, why);
  });
  open_next_connection();
}

bool DiscoveryClient::newer_call_out(const Call& call) const {
  for (const auto& other : calls_)
    if (other->client.busy() && other->order > call.order) return true;
  return false;
}

void DiscoveryClient::cancel_calls_before(std::uint64_t order) {
  for (const auto& call : calls_)
    if (call->client.busy() && call->order < order) call->client.cancel();
  if (order > last_call_) loop_.cancel(late_timer_), late_timer_ = 0;
}

void DiscoveryClient::handle_answer(const Call& call, const http1::Message* answer, const std::string& why) {
  if (call.order == last_call_) loop_.cancel(late_timer_), late_timer_ = 0;
  if (answer == nullptr || answer->status != 200)
    return fail(call, answer == nullptr ? why : "answered " + std::to_string(answer->status));
  Catalogue catalogue;
  try {
    catalogue = read_catalogue(answer->body, names_, host_.unix_to_monotonic());
  } catch (const settings::FieldError& bad) {
    return fail(call, bad.what());
  }
  cancel_calls_before(call.order);
  handle_catalogue(call, catalogue);
}

void DiscoveryClient::handle_catalogue(const Call& call, const Catalogue& catalogue) {
  const bool older = catalogue.index < index_;
  // Another call's answer, which came first, is newer.
  const bool overtaken = older && call.lists_before != lists_received_;
  if (older && !overtaken && !catalogue.whole) {
    // Changes apply to the list that is known. Guards against a discovery service whose index started again:
    // its changes don't apply to this list, and older ones could undo the draining of an endpoint.
    host_.log("changes up to " + std::to_string(catalogue.index) + " after " + std::to_string(index_) +
              ": requesting the whole list");
    index_ = -1;
    return request_list(0);
  }
  lists_received_++;
  if (!overtaken) index_ = catalogue.index;
  if (watching_ && !newer_call_out(call)) request_list(kWatchWait);
  const bool due = std::exchange(report_first_answer_, false);
  if (overtaken) return due ? host_.list({index_, false, {}}) : void();
  if (due || catalogue.whole || !catalogue.endpoints.empty()) host_.list(catalogue);
}

// The call goes on; its answer is reported, and the watch continued, even if nothing has changed.
void DiscoveryClient::handle_late_answer() {
  host_.log("no answer yet");
  reported_failed_ = report_first_answer_ = true;
  host_.failed(Failure::late);
}

void DiscoveryClient::fail(const Call& call, const std::string& why) {
  host_.log(why);
  if (call.order != last_call_ || reported_failed_) return;
  reported_failed_ = report_first_answer_ = true;
  host_.failed(Failure::ended);
}

}  // namespace cedarplank::platform
