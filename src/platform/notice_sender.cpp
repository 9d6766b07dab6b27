#include "platform/notice_sender.hpp"

#include <algorithm>

#include "platform/exchange_choice.hpp"

namespace cedarplank::platform {
namespace {
constexpr std::size_t kMaxPostBytes = 48 * 1024;  // of one post; a body holds 64 KiB at most
// By the platform's protocol a notice may come at most 300 ms after its message's deadline. Half of that
// leaves time to post it again on a new connection if the first one fell silent. A distant service may take
// longer to answer, so this is no reason to give the first post up.
constexpr Time kRepeatAfter = 150'000;
constexpr Time kRetryDelay = 50'000;  // after a post that failed
// Between posts while others are out: notices that end in this time go together. With these connections it
// leaves each post 400 ms, which is more than a connection and an answer need over the longest distance.
constexpr Time kPostInterval = 50'000;
constexpr std::size_t kConnections = 8;
// From then on a post's connection may be used for another one, if all are in use.
constexpr Time kGiveUpAfter = kPostInterval * kConnections;
}  // namespace

NoticeSender::NoticeSender(loop::Loop& loop, const std::string& address, Host host)
    : loop_(loop), host_(std::move(host)) {
  for (std::size_t i = 0; i < kConnections; i++) posts_.push_back(std::make_unique<Post>(loop, address));
}

NoticeSender::~NoticeSender() { loop_.cancel(timer_); }

// Posted by a timer, together with the others of this turn.
void NoticeSender::add(MessageId id, std::string line) {
  const NoticeNumber number = next_number_++;
  const Time now = loop_.now();
  pending_[number] = {id, std::move(line), now};
  by_due_time_.emplace(now, number);
  schedule();
}

void NoticeSender::set_address(const std::string& address) {
  for (const auto& post : posts_) {
    post->client.set_address(address);
    post->notices.clear();
  }
  for (const auto& [number, notice] : pending_) set_due(number, loop_.now());
  schedule();
}

void NoticeSender::set_due(NoticeNumber number, Time at) {
  Notice& notice = pending_.at(number);
  by_due_time_.erase({notice.due_at, number});
  notice.due_at = at;
  by_due_time_.emplace(at, number);
}

void NoticeSender::remove(NoticeNumber number) {
  const auto it = pending_.find(number);
  if (it == pending_.end()) return;  // accepted in another post
  const MessageId id = it->second.id;
  by_due_time_.erase({it->second.due_at, number});
  pending_.erase(it);
  host_.accepted(id);
}

Time NoticeSender::next_post_at() const {
  const Post* oldest = find_oldest(posts_);
  if (oldest == nullptr) return 0;
  const Time interval_end = last_post_at_ + kPostInterval;
  return find_idle(posts_) != nullptr ? interval_end : std::max(interval_end, oldest->sent_at + kGiveUpAfter);
}

void NoticeSender::schedule() {
  loop_.cancel(timer_), timer_ = 0;
  if (by_due_time_.empty()) return;
  const Time at = std::max(by_due_time_.begin()->first, next_post_at());
  timer_ = loop_.after(std::max<Time>(at - loop_.now(), 0), [this] {
    timer_ = 0;
    post_due();
  });
}

void NoticeSender::post_due() {
  loop_.refresh_now();
  if (next_post_at() <= loop_.now())
    if (Post* post = find_connection()) send(*post);
  schedule();
}

NoticeSender::Post* NoticeSender::find_connection() {
  if (Post* idle = find_idle(posts_)) return idle;
  Post* oldest = find_oldest(posts_);
  if (loop_.now() < oldest->sent_at + kGiveUpAfter) return nullptr;
  host_.log("no answer in " + std::to_string((loop_.now() - oldest->sent_at) / 1000) + " ms");
  oldest->client.cancel();
  return oldest;
}

std::vector<NoticeSender::NoticeNumber> NoticeSender::next_batch() {
  std::vector<NoticeNumber> batch;
  std::size_t bytes = 0;
  for (const auto& [due, number] : by_due_time_) {
    if (due > loop_.now()) break;
    const Notice& notice = pending_.at(number);
    if (notice.alone && !batch.empty()) continue;
    if (!batch.empty() && bytes + notice.line.size() > kMaxPostBytes) break;
    batch.push_back(number);
    bytes += notice.line.size();
    if (notice.alone) break;
  }
  return batch;
}

void NoticeSender::send(Post& post) {
  post.notices = next_batch();
  if (post.notices.empty()) return;
  post.sent_at = last_post_at_ = loop_.now();
  std::string body;
  for (const auto number : post.notices) {
    Notice& notice = pending_.at(number);
    body += notice.line;
    counts_.repeated_notices += std::exchange(notice.posted, true);
    set_due(number, post.sent_at + kRepeatAfter);
  }
  post.order = ++counts_.posts;
  post.client.send(
      "POST", "/v1/outcomes", body,
      [this, &post](const http1::Message* a, const std::string& why) { handle_answer(post, a, why); });
}

void NoticeSender::handle_answer(Post& post, const http1::Message* answer, const std::string& why) {
  const std::vector<NoticeNumber> notices = std::exchange(post.notices, {});
  const bool accepted = answer != nullptr && answer->status / 100 == 2;
  const bool unread = answer != nullptr && answer->status == 400;
  if (!accepted) host_.log(answer == nullptr ? why : "answered " + std::to_string(answer->status));
  counts_.confirmed_posts += accepted;
  // A notice that is rejected on its own will never be accepted: it is dropped, so as not to block the
  // others.
  const bool done = accepted || (unread && notices.size() == 1);
  const Time retry_at = loop_.now() + (unread ? 0 : kRetryDelay);
  for (const auto number : notices) {
    if (done) {
      remove(number);
    } else if (const auto it = pending_.find(number); it != pending_.end()) {
      it->second.alone |= unread;
      set_due(number, std::min(it->second.due_at, retry_at));
    }
  }
  schedule();
}

}  // namespace cedarplank::platform
