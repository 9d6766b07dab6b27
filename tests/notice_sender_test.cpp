// Tests of the notices to the discovery service: which are posted while earlier posts are not answered.
#include "platform/notice_sender.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "http1_server.hpp"

namespace cedarplank::platform::testing {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kNoticeAllowed = 350'000;  // after a message's deadline, by the platform's protocol on sockets
constexpr MessageId kNotices = 2'000;
constexpr std::size_t kLineBytes = 100;  // all notices together take several posts

class NoticeSenderTest : public ::testing::Test {
 protected:
  // Adds one more notice.
  void add() {
    std::string line = "id-" + std::to_string(added_++);
    line.resize(kLineBytes, ' ');
    notices.add(added_, line + "\n");
  }
  void add_all(MessageId count) {
    while (added_ < count) add();
  }
  bool run_until(const std::function<bool()>& condition, Time within = 8 * kSecond) {
    const Time end = loop::monotonic_now() + within;
    while (!condition()) {
      if (loop::monotonic_now() > end) return false;
      loop.run_once(5'000);
    }
    return true;
  }
  // How many different notices have arrived.
  std::size_t arrived() const { return received.size(); }

  loop::Loop loop;
  std::set<std::string> received;
  int posts = 0;
  Time answer_delay = 0;           // from a post's arrival to its answer
  std::set<int> unanswered_posts;  // by number, from 1
  std::set<MessageId> accepted;
  Server server{loop, [this](const http1::Message& post, int connection) -> Server::Reply {
                  posts++;
                  for (std::size_t at = 0; at < post.body.size(); at += kLineBytes + 1)
                    received.insert(post.body.substr(at, kLineBytes));
                  if (unanswered_posts.count(posts) > 0) return {};
                  loop.after(answer_delay, [this, connection] {
                    server.write_unasked(connection, http1::build_response(204, {}, {}, false));
                  });
                  return {};
                }};
  NoticeSender notices{
      loop,
      server.address(),
      {.accepted = [this](MessageId id) { accepted.insert(id); }, .log = [](const std::string&) {}}};

 private:
  MessageId added_ = 0;
};

// Guards against notices that are lost because a distant service answers each post later than the time after
// which a silent connection is doubted: no post was ever confirmed, and only the first 48 KiB were sent.
TEST_F(NoticeSenderTest, AServiceThatAnswersLateGetsAndConfirmsAllNotices) {
  answer_delay = 205'000;
  add_all(kNotices);
  EXPECT_TRUE(run_until([&] { return accepted.size() == kNotices; }));
  EXPECT_EQ(arrived(), kNotices);
  EXPECT_TRUE(notices.empty());
}

// Guards against new notices that wait behind a post which is never answered.
TEST_F(NoticeSenderTest, NewNoticesDoNotWaitForAnUnansweredPost) {
  unanswered_posts = {1, 2};
  add_all(kNotices / 4);
  ASSERT_TRUE(run_until([&] { return posts >= 1; }));
  add_all(kNotices / 2);
  EXPECT_TRUE(run_until([&] { return arrived() == kNotices / 2; }, kNoticeAllowed));
  EXPECT_TRUE(run_until([&] { return accepted.size() == kNotices / 2; }));
}

// Guards against a service that is silent for longer than all connections last and is never asked again.
TEST_F(NoticeSenderTest, ASilentServiceIsPostedToAgainUntilItAnswers) {
  for (int post = 1; post <= 20; post++) unanswered_posts.insert(post);
  add_all(kNotices / 10);
  EXPECT_TRUE(run_until([&] { return notices.empty(); }, 20 * kSecond));
  EXPECT_EQ(accepted.size(), kNotices / 10);
}

}  // namespace
}  // namespace cedarplank::platform::testing
