// The discovery service as the relay's source of endpoint lists: a watch, which asks again for changes after
// each answer, or one fetch of the whole list.
//
// A call without an answer is reported as failed in time for another one to bring what it missed, but it is
// not given up: discovery may take that long, and the next call may take as long. Its answer counts whenever
// it comes, until a later call has been answered. Guards against a slow service whose every answer is given
// up shortly before it comes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/catalogue.hpp"
#include "platform/http_client.hpp"
#include "relay/core.hpp"

namespace cedarplank::platform {

class DiscoveryClient final : public relay::ListSource {
 public:
  enum class Failure {
    late,  // no answer yet; it still counts if it comes
    ended  // the call was refused, broke, or its answer can't be read
  };
  struct Host {
    std::function<void(const Catalogue&)> list;  // changes or the whole list
    // The latest call has failed. Reported once for each call.
    std::function<void(Failure)> failed;
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
  // A connection to discovery and the call on it, if any.
  struct Call {
    Call(loop::Loop& loop, const std::string& address, http1::Bounds bounds)
        : client(loop, address, bounds) {}
    HttpClient client;
    std::uint64_t order = 0;         // of the call among all
    std::uint64_t lists_before = 0;  // lists that had been received when it was sent
  };
  // Sends a call. `wait`: how long discovery may wait for changes.
  void request_list(Time wait);
  // A connection for the next call: an idle one, or that of the oldest call.
  Call& find_connection();
  // Opens the connection for the call after this one. Guards against a watch that counts as ended because
  // its next call had to wait for a connection.
  void open_next_connection();
  void handle_answer(const Call& call, const http1::Message* answer, const std::string& why);
  // What a readable answer holds.
  void handle_catalogue(const Call& call, const Catalogue& catalogue);
  void handle_late_answer();
  void fail(const Call& call, const std::string& why);
  bool newer_call_out(const Call& call) const;
  void cancel_calls_before(std::uint64_t order);

  loop::Loop& loop_;
  const settings::NameTables& names_;
  Host host_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::int64_t index_ = -1;  // of the list that is known; -1: none, or it came from another discovery service
  std::uint64_t last_call_ = 0;       // order of the latest call
  std::uint64_t lists_received_ = 0;  // answers that were read
  bool watching_ = false;
  bool reported_failed_ = false;      // the failure of the latest call was reported
  bool report_first_answer_ = false;  // the next answer is reported even if nothing has changed
  loop::TimerId late_timer_ = 0;      // the answer to the latest call is late
};

}  // namespace cedarplank::platform
