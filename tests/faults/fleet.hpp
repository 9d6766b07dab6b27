// Relays as real processes on loopback, with the fault library loaded, between clients, endpoints and a
// platform of the tests' own. Everything but the relays runs in one loop; what is seen goes to a Judge.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "faults/control.hpp"
#include "faults/judge.hpp"
#include "faults/proxy.hpp"
#include "http1_server.hpp"
#include "rig/process.hpp"

namespace cedarplank::testing::faults {

using platform::testing::Server;

struct FleetSettings {
  std::string program, library;  // the relay's program, and the fault library
  std::uint64_t seed = 1;
  int relays = 1, destinations = 3, endpoints_each = 2;
  Time safe_deadline = 2'000'000, unsafe_deadline = 3'000'000;
  int slots = 16;
  bool proxied = false;      // connections to endpoints pass a proxy that may hold them
  bool routes_apart = true;  // each endpoint has a limit of its own
  std::string body = "hello";
  // Endpoints answer 410 to a call of a message that had its end, or that its client has given up.
  bool endpoints_know_ends = false;
};

// What an endpoint does with a call.
struct Reply {
  enum class What { ok, refuse, told_wait, error, hang, reset, over, exhausted } what = What::ok;
  Time after = 5'000;
  Time wait = 0;  // told, where What::told_wait
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings);
  ~Fleet();

  loop::Loop loop;
  Judge judge;
  std::mt19937_64 random;
  // Asked for each call that has come whole.
  std::function<Reply(const std::string& endpoint, const std::string& id)> reply =
      [](const auto&, const auto&) { return Reply{}; };
  std::function<Time()> proxy_delay = [] { return Time{0}; };
  // Asked for each request that is written: after so long its client's connection is reset; nothing: it
  // isn't.
  std::function<std::optional<Time>()> client_break = [] { return std::nullopt; };
  double hedged = 0;  // share of requests whose client sends a second copy at once, on another connection
  bool discovery_up = true;

  Control& faults(int relay) { return *relays_.at(static_cast<std::size_t>(relay)).control; }
  // False where it was not ready within 10 s.
  bool start(int relay);
  bool start_all();
  void kill(int relay);  // SIGKILL, and a new process 0.6 s later
  // The same by the process itself, within its next write to the folder, of which so many bytes get through.
  void kill_in_write(int relay, int bytes);
  void terminate(int relay);  // SIGTERM, SIGKILL 3.7 s later, and a new process 0.6 s after that
  void run(Time span);
  bool until(const std::function<bool()>& what, Time within);
  // No traffic and no faults any more, until every request must have its end.
  void settle();

  // Hands one request in and returns its id. Its client waits 400 ms.
  std::string hand_in(int relay, bool repeatable, int destination = 0, const std::string& id = {});
  // Requests a second to each relay from now on; 0: none.
  void traffic(double per_second, double unsafe_share = 0.5);
  // Connections that ask once for the relay's health, or for nothing, and stay.
  void crowd(int relay, int connections);
  // Hands in again the id of a request that has had its end.
  void repeat_an_ended_id(int relay);
  // One more copy of a request, whatever became of it, on a connection of its own.
  void repeat(const std::string& id);
  void repeat_a_recent_one(int relay);
  // Another request under the id of one that was taken on; its sender's answer says nothing of that one.
  void misuse_the_id_of(
      const std::string& id, std::function<void(int)> answered = [](int) {});
  void misuse_a_recent_id(int relay);
  // The endpoint accepts connections and reads nothing from them.
  void deafen(const std::string& endpoint, bool deaf);
  std::string end_of(const std::string& id) const;  // "delivered", "notice returned", ...; empty: none
  const std::vector<std::string>& log(int relay) const {
    return relays_.at(static_cast<std::size_t>(relay)).log;
  }
  bool logged(int relay, const std::string& text) const;
  bool ready(int relay) { return relays_.at(static_cast<std::size_t>(relay)).ready; }
  bool running(int relay) { return relays_.at(static_cast<std::size_t>(relay)).process != nullptr; }

 private:
  struct ClientLink {
    std::unique_ptr<net::TcpStream> stream;
    http1::Reader reader{http1::Reader::Side::responses};
    std::string id;  // of the request that is open
    loop::TimerId timer = 0;
    int requests = 0;
    bool once = false;              // ends with its answer
    std::function<void(int)> done;  // for what is no message: its status, 0 where the connection ended
  };
  using ClientLinkPtr = std::shared_ptr<ClientLink>;
  struct Relay {
    std::string listen, folder, config_file, control_file;
    Control* control = nullptr;
    std::unique_ptr<rig::Process> process;
    bool ended_by_us = true, ready = false, start_when_gone = false;
    int launches = 0;
    std::size_t restart = 0;  // place in judge.restarts, plus one
    std::vector<std::string> log;
    std::vector<ClientLinkPtr> idle, crowd;
    std::map<ClientLink*, ClientLinkPtr> busy;
  };
  struct Endpoint {
    int destination = 0;
    std::unique_ptr<Server> server;
    std::unique_ptr<Proxy> proxy;
  };
  Relay& at(int relay) { return relays_.at(static_cast<std::size_t>(relay)); }
  std::string config(int relay) const;
  std::string list() const;
  Server::Reply discovery(const http1::Message& request);
  Server::Reply called(const std::string& endpoint, const http1::Message& request, int connection);
  void notices(const std::string& body);
  void launch(int relay);
  void check(int relay);
  void signalled(int relay);
  void launch_later(int relay);
  ClientLinkPtr connect(int relay);
  void write(int relay, const ClientLinkPtr& link, const std::string& id);
  void answered(int relay, const ClientLinkPtr& link);
  void send_once_more(const std::string& id);
  void lost(int relay, const ClientLinkPtr& link, const std::string& why);
  void release(int relay, const ClientLinkPtr& link);
  void next_request(int relay);

  FleetSettings settings_;
  std::string folder_;
  std::vector<Relay> relays_;
  std::map<std::string, Endpoint> endpoints_;
  std::unique_ptr<Server> discovery_;
  std::vector<std::string> ended_ids_, recent_ids_;
  double per_second_ = 0, unsafe_share_ = 0;
  std::uint64_t traffic_run_ = 0;
  int next_id_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::testing::faults
