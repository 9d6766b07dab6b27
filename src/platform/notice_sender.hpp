// Sends notices of accepted messages that ended without delivery to the discovery service: several per post,
// repeated until they are accepted. Until then the journal keeps the messages' final answers.
//
// Several posts may be out at the same time, each on a connection of its own. A post that takes long is not
// given up: its notices are posted again beside it, and whichever answer comes first counts. Guards against a
// service so far away that no answer comes within the time after which a silent connection has to be doubted,
// and against new notices that wait for the answer to earlier ones.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "platform/http_client.hpp"

namespace cedarplank::platform {

class NoticeSender {
 public:
  struct Host {
    std::function<void(MessageId)> accepted;  // the notice of this message need not be sent again
    std::function<void(const std::string&)> log;
  };
  struct Counts {
    std::uint64_t posts = 0, confirmed_posts = 0;
    std::uint64_t repeated_notices = 0;  // notices that were posted again
  };
  NoticeSender(loop::Loop& loop, const std::string& address, Host host);
  ~NoticeSender();

  void add(MessageId id, std::string line);  // one line of JSON
  // Changes the address to post to.
  void set_address(const std::string& address);
  bool empty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  using NoticeNumber = std::uint64_t;  // in the order in which they were added
  struct Notice {
    MessageId id;
    std::string line;
    Time due_at;          // when it is to be posted, or posted again
    bool alone = false;   // a post of several was rejected with 400: it is posted by itself
    bool posted = false;  // at least once
  };
  // One connection and the notices in its post; none while it is idle.
  struct Post {
    Post(loop::Loop& loop, const std::string& address) : client(loop, address, {}) {}
    HttpClient client;
    std::vector<NoticeNumber> notices;
    std::uint64_t order = 0;  // of the post among all
    Time sent_at = 0;
  };
  // Posts what is due, as far as connections are free.
  void post_due();
  // A connection for the next post: an idle one, or that of a post which has waited too long; null: none.
  Post* find_connection();
  void send(Post& post);
  // Takes the notices that the next post carries from those that are due, the longest due first.
  std::vector<NoticeNumber> next_batch();
  void handle_answer(Post& post, const http1::Message* answer, const std::string& why);
  void remove(NoticeNumber number);
  void set_due(NoticeNumber number, Time at);
  // When the next post may go, by the posts that are out.
  Time next_post_at() const;
  void schedule();

  loop::Loop& loop_;
  Host host_;
  std::vector<std::unique_ptr<Post>> posts_;
  std::map<NoticeNumber, Notice> pending_;
  std::set<std::pair<Time, NoticeNumber>> by_due_time_;  // of all pending notices
  NoticeNumber next_number_ = 1;
  Time last_post_at_ = 0;
  Counts counts_;
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::platform
