// The discovery service as the relay's source of endpoint lists: a watch, which asks again for changes after
// each answer, or one fetch of the whole list. It makes one call at a time, so that no answer can overtake a
// newer one.
#pragma once

#include <functional>
#include <string>

#include "platform/catalogue.hpp"
#include "platform/http_client.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class DiscoveryClient final : public relay::ListSource {
 public:
  struct Host {
    std::function<void(const Catalogue&)> list;  // changes or the whole list
    std::function<void()> failed;                // a call failed, or the watch ended
    std::function<void(const std::string&)> log;
    std::function<Time()> unix_to_monotonic;
  };
  // `max_list_bytes`: the longest answer that is read.
  DiscoveryClient(loop::Loop& loop, const std::string& address, const settings::NameTables& names,
                  std::size_t max_list_bytes, Host host);
  ~DiscoveryClient() override;

  // Sets the index of the list that is known at the start.
  void start_from(std::int64_t index) { index_ = index; }
  // Changes the address of the discovery service.
  void set_address(const std::string& address);

  // relay::ListSource
  void fetch() override;
  void subscribe(bool on) override;

 private:
  // Sends a call. `wait`: how long discovery may wait for changes.
  void request_list(Time wait);
  void handle_answer(const http1::Message* answer, const std::string& why);
  void fail(const std::string& why);

  loop::Loop& loop_;
  const settings::NameTables& names_;
  Host host_;
  HttpClient exchange_;
  std::int64_t index_ = -1;  // of the list that is known; -1: none, or it came from another discovery service
  bool watching_ = false;
  loop::TimerId timer_ = 0;           // the answer is late
  bool report_first_answer_ = false;  // the first answer of a watch is reported even if nothing has changed
};

}  // namespace cedarplank::platform
