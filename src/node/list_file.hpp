// The partner list as a file that is read again when it changes. An unreadable or half-written list leaves
// the old one in place and says so.
#pragma once

#include <functional>
#include <string>

#include "config/partners.hpp"
#include "loop/loop.hpp"
#include "relay/core.hpp"

namespace cedarplank::node {

class ListFile final : public relay::ListSource {
 public:
  struct Host {
    std::function<void(const config::PartnerList&, bool cached)> list;
    std::function<void()> failed;
    std::function<void(const std::string&)> log;
  };
  ListFile(loop::Loop& loop, const config::RelaySettings& settings, Host host);
  ~ListFile() override;

  // Reads for the first time; falls back to the cache. Throws ConfigError where neither can be read.
  void start();
  void fetch() override;
  void subscribe(bool on) override;
  // Reads now if the file has changed.
  void look(bool even_if_same);

 private:
  struct Stamp {
    long long seconds = -1, nanos = 0, size = 0;
    unsigned long long inode = 0;
    bool operator==(const Stamp&) const = default;
  };
  static Stamp stamp_of(const std::string& file);
  void tick();
  void keep(const config::PartnerList& list);

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Host host_;
  Stamp seen_;
  std::string complaint_;  // said last; not again while it stays the same
  bool following_;
  loop::TimerId timer_ = 0;
};

}  // namespace cedarplank::node
