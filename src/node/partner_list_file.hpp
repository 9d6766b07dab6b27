// Reads the partner list from a file, and again whenever the file changes. If the new list is unreadable or
// incomplete, the previous one stays in use and the problem is logged.
#pragma once

#include <functional>
#include <string>

#include "config/partners.hpp"
#include "loop/loop.hpp"
#include "relay/core.hpp"

namespace cedarplank::node {

class PartnerListFile final : public relay::ListSource {
 public:
  struct Host {
    // A list was read; cached: from the cache file.
    std::function<void(const config::PartnerList&, bool cached)> list;
    std::function<void()> failed;  // the list could not be read
    std::function<void(const std::string&)> log;
  };
  PartnerListFile(loop::Loop& loop, const config::RelaySettings& settings, Host host);
  ~PartnerListFile() override;

  // Reads the list for the first time, from the cache file if need be. Throws an exception if neither can be
  // read.
  void start();
  void fetch() override;
  void subscribe(bool on) override;
  // Reads the file now if it has changed or the last read failed, and in any case with `force`.
  void check(bool force);

 private:
  struct Stamp {  // identifies a version of the file
    long long seconds = -1, nanos = 0, size = 0;
    unsigned long long inode = 0;
    bool operator==(const Stamp&) const = default;
  };
  static Stamp stamp_of(const std::string& file);
  void tick();  // on the timer: reads the file if it has changed
  void write_cache(const config::PartnerList& list);

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Host host_;
  Stamp loaded_stamp_;      // of the list in use
  std::string last_error_;  // the last problem logged; not logged again while it stays the same
  bool subscribed_;         // checks the file for changes on the timer
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::node
