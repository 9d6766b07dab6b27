// Sends notices of accepted messages that ended without delivery to the discovery service: several per post,
// repeated until they are accepted. Until then the journal keeps the messages' final answers.
#pragma once

#include <deque>
#include <functional>
#include <string>
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
  NoticeSender(loop::Loop& loop, const std::string& address, Host host);
  ~NoticeSender();

  void add(MessageId id, std::string line);  // one line of JSON
  // Changes the address to post to.
  void set_address(const std::string& address);
  bool empty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }

 private:
  struct Notice {
    MessageId id;
    std::string line;
  };
  void post();
  void handle_answer(const http1::Message* answer, const std::string& why);
  void schedule_post(Time after);

  loop::Loop& loop_;
  Host host_;
  HttpClient exchange_;
  std::deque<Notice> pending_;  // the first ones are in the current post, if any
  std::size_t in_post_ = 0;
  bool one_by_one_ = false;  // a post of several was rejected with 400: posts them one by one
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::platform
