// Notices of messages that end without having been delivered: several to a post, sent again until they are
// accepted. Kept by the journal until then.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "platform/exchange.hpp"

namespace cedarplank::platform {

class Outcomes {
 public:
  struct Host {
    std::function<void(MessageId)> accepted;
    std::function<void(const std::string&)> log;
  };
  Outcomes(loop::Loop& loop, const std::string& address, Host host);
  ~Outcomes();

  void add(MessageId id, std::string line);  // one line of JSON
  void move_to(const std::string& address);
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

 private:
  struct Notice {
    MessageId id;
    std::string line;
  };
  void post();
  void answered(const http1::Message* answer, const std::string& why);
  void later(Time after);

  loop::Loop& loop_;
  Host host_;
  Exchange exchange_;
  std::deque<Notice> waiting_;  // the first ones are out while the exchange is busy
  std::size_t out_ = 0;
  bool one_by_one_ = false;  // one of them was not understood
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::platform
