#include "platform/notice_sender.hpp"

#include <algorithm>

namespace cedarplank::platform {
namespace {
constexpr std::size_t kMaxPostBytes = 48 * 1024;  // of one post; a body holds 64 KiB at most
// By the platform's protocol a post is answered with 204 at once, and a notice may come at most 300 ms after
// its message's deadline. Half of that leaves time to repeat a post on a new connection if the first one fell
// silent.
constexpr Time kAnswerTimeout = 150'000, kRetryDelay = 50'000;
}  // namespace

NoticeSender::NoticeSender(loop::Loop& loop, const std::string& address, Host host)
    : loop_(loop), host_(std::move(host)), exchange_(loop, address, {}) {}

NoticeSender::~NoticeSender() { loop_.cancel(timer_); }

void NoticeSender::add(MessageId id, std::string line) {
  pending_.push_back({id, std::move(line)});
  if (timer_ == 0 && !exchange_.busy())
    schedule_post(0);  // deferred, to be posted with the others of this turn
}

void NoticeSender::schedule_post(Time after) {
  loop_.cancel(timer_);
  timer_ = loop_.after(after, [this] {
    timer_ = 0;
    post();
  });
}

void NoticeSender::set_address(const std::string& address) {
  exchange_.set_address(address);
  in_post_ = 0;
  if (!pending_.empty()) schedule_post(0);
}

void NoticeSender::post() {
  if (exchange_.busy() || pending_.empty()) return;
  std::string body;
  in_post_ = 0;
  while (in_post_ < pending_.size() && body.size() + pending_[in_post_].line.size() <= kMaxPostBytes) {
    body += pending_[in_post_++].line;
    if (one_by_one_) break;
  }
  exchange_.send("POST", "/v1/outcomes", body, kAnswerTimeout,
                 [this](const http1::Message* a, const std::string& why) { handle_answer(a, why); });
}

void NoticeSender::handle_answer(const http1::Message* answer, const std::string& why) {
  const std::size_t n = std::min(in_post_, pending_.size());
  in_post_ = 0;
  const bool accepted = answer != nullptr && answer->status / 100 == 2;
  const bool unread = answer != nullptr && answer->status == 400;
  if (!accepted) host_.log(answer == nullptr ? why : "answered " + std::to_string(answer->status));
  if (accepted || (unread && n == 1)) {
    // A notice that is rejected on its own will never be accepted: it is dropped, so as not to block the
    // others.
    for (std::size_t i = 0; i < n; i++) {
      const MessageId id = pending_.front().id;
      pending_.pop_front();
      host_.accepted(id);
    }
    one_by_one_ = one_by_one_ && !pending_.empty();
  } else if (unread) {
    one_by_one_ = true;
  }
  if (!pending_.empty()) schedule_post(accepted || unread ? 0 : kRetryDelay);
}

}  // namespace cedarplank::platform
