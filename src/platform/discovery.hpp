// The catalogue as the relay's list source: a watch that goes on within its time, or the whole list once. One
// call at a time, so that no answer can cross a newer one.
#pragma once

#include <functional>
#include <string>

#include "platform/catalogue.hpp"
#include "platform/exchange.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class Discovery final : public relay::ListSource {
 public:
  struct Host {
    std::function<void(const Catalogue&)> list;  // changes or the whole
    std::function<void()> failed;                // a call failed, or the watch ended
    std::function<void(const std::string&)> log;
    std::function<Time()> unix_to_module;
  };
  Discovery(loop::Loop& loop, const std::string& address, const settings::Tables& names, Host host);

  void start_from(std::int64_t index) { index_ = index; }
  void move_to(const std::string& address);

  // relay::ListSource
  void fetch() override;
  void subscribe(bool on) override;

 private:
  void ask(Time wait);
  void answered(const http1::Message* answer, const std::string& why);
  void fail(const std::string& why);

  loop::Loop& loop_;
  const settings::Tables& names_;
  Host host_;
  Exchange exchange_;
  std::int64_t index_ = -1;  // of the list as it is known; -1: none is, or not by this discovery's numbers
  bool watching_ = false;
  bool answer_due_ = false;  // the first answer of a watch is told even where nothing has changed
};

}  // namespace cedarplank::platform
