// Stand-ins on a thread of their own, scripted message by message, for tests of engines that run beside them.
//
// A stand-in's script says how it answers the first, second, ... call of a message: "201", "429", "503", "500",
// "drop" (takes effect, then the connection is lost), "refuse" (REFUSED_STREAM), "silent"; the last word stays. So what
// the module sees depends on the message alone, not on time.
#pragma once

#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>

#include "service.hpp"

namespace cedarplank::testing {

class Standins {
 public:
  Standins() {
    std::string name = (std::filesystem::temp_directory_path() / "cedarplank-form-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~Standins() {
    if (thread_.joinable()) loop_.stop(), thread_.join();
    links_.clear(), listeners_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  // Before start(). An empty script serves all.
  void add(const std::string& destination, const std::string& script, int endpoints = 1, const std::string& kind = "plain") {
    std::vector<std::string> words;
    std::istringstream in(script);
    for (std::string w; in >> w;) words.push_back(w);
    if (words.empty()) words.push_back("201");
    for (int i = 1; i <= endpoints; i++) {
      listeners_.push_back(std::make_unique<net::Listener>(loop_, net::Address::parse("127.0.0.1:0"), [this, words, destination](net::Fd fd) {
        accept(std::move(fd), words, destination);
      }));
      config::PartnerEndpoint e;
      e.id = destination + "-" + std::to_string(i), e.destination = destination, e.path = "/push";
      e.address = listeners_.back()->address().text();
      e.kind = kind == "plain" ? 0 : 1;
      list_.endpoints.push_back(e);
    }
  }
  void start() {
    config::Names names;
    names.kinds = {"plain", "unseen"};
    std::ofstream(folder_ + "/partners.yaml") << config::write_partners(list_, names);
    thread_ = std::thread([this] { loop_.run(); });
  }
  std::string settings_file(const std::string& more = "") {
    const std::string file = folder_ + "/relay" + std::to_string(++files_) + ".yaml";
    std::ofstream(file) << "relay: {listen: \"127.0.0.1:0\", seed: 1, drain_within: 400ms" << (more.empty() ? "" : ", ") << more
                        << "}\n"
                           R"(partners: {file: partners.yaml, reread: 100ms}
classes:
  - {name: status, aim: 1s, deadline: 20s, effect: safe}
  - {name: pay, worth: 3, late_worth: 0.3, aim: 1s, deadline: 20s, effect: unsafe}
  - {name: notice, worth: 1, late_worth: 0.3, aim: 1s, deadline: 20s, effect: keyed, key_window: 30s}
  - {name: gate, worth: 1, late_worth: 0.3, aim: 1s, deadline: 20s, effect: keyed, key_window: 30s, ordered: true}
kinds: [{name: plain}, {name: unseen, unseen_503: true}]
dispatcher: {slots: 2000, open_max: 20000, attempts_max: 4, tick: 1ms, connect_timeout: 2s, connection_idle: 10s, retry_after_max: 4s, overload_for: 2s, cold: 1s}
)";
    return file;
  }
  int calls() const { return calls_; }
  int effects(const std::string& message) {
    const std::lock_guard lock(mutex_);
    return effects_[message];
  }

 private:
  struct Link {
    std::unique_ptr<net::Stream> stream;
    http2::Connection h2;
    std::map<http2::StreamId, std::string> bodies;
    explicit Link(const http2::LocalSettings& l) : h2(http2::Role::server, l) {}
  };
  void accept(net::Fd fd, const std::vector<std::string>& words, const std::string& destination) {
    http2::LocalSettings local;
    local.max_concurrent_streams = 1000;
    const auto id = next_++;
    auto& link = *(links_[id] = std::make_unique<Link>(local));
    link.stream = std::make_unique<net::TcpStream>(
        loop_, std::move(fd),
        net::Stream::Handlers{.connected = {},
                              .data = [this, id, words, destination](std::string_view b) { receive(id, words, destination, b); },
                              .drained = {},
                              .closed = [this, id](const std::string&) { drop(id); }});
    link.stream->write(link.h2.take_output());
  }
  void receive(std::uint64_t id, const std::vector<std::string>& words, const std::string& destination, std::string_view bytes) {
    Link& link = *links_.at(id);
    std::vector<http2::Event> events;
    link.h2.receive(loop_.now(), bytes, events);
    for (auto& e : events) {
      if (e.type == http2::Event::Type::data) link.bodies[e.stream] += e.data;
      if (!e.end_stream) continue;
      const auto message = destination + "/" + record::message_in(link.bodies[e.stream]);
      link.bodies.erase(e.stream);
      calls_++;
      const auto n = static_cast<std::size_t>(tries_[message]++);
      const auto& word = words[std::min(n, words.size() - 1)];
      if (word == "201" || word == "drop") {
        const std::lock_guard lock(mutex_);
        effects_[message]++;
      }
      if (word == "silent") continue;
      if (word == "drop") return drop(id);
      if (word == "refuse")
        link.h2.reset(e.stream, http2::ErrorCode::refused_stream);
      else
        link.h2.respond(e.stream, {{":status", word}}, "");
    }
    if (link.h2.has_output()) link.stream->write(link.h2.take_output());
  }
  void drop(std::uint64_t id) {
    const auto it = links_.find(id);
    if (it == links_.end()) return;
    std::shared_ptr<Link> link(std::move(it->second));
    links_.erase(it);
    link->stream->close(true);
    loop_.defer([link] {});
  }

  loop::Loop loop_;
  std::string folder_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
  std::map<std::string, int> tries_;
  config::PartnerList list_;
  std::atomic<int> calls_{0};
  std::mutex mutex_;
  std::map<std::string, int> effects_;  // guarded by mutex_
  std::thread thread_;
  std::uint64_t next_ = 1;
  int files_ = 0;
};

}  // namespace cedarplank::testing
