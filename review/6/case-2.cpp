// Discovery stands in another building: 38 ms one way, and some jitter. For 16 s a partner that gets 22% of
// the traffic is silent, so that messages which were taken on end by notices. Each has to have its notice in
// time.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "world.hpp"

using namespace world;

namespace {

constexpr Ms kOneWay = 38;         // the brief: 22 to 38 ms
constexpr double kJitter = 0.2;    // share of it that comes on top, at most; the site file: 0.071 to 0.35
constexpr int kRate = 300;         // messages a second; the pages have up to three times 120
constexpr int kSilentShare = 22;   // percent of them; the brief: up to 23
constexpr Ms kSilent = 16000;      // the brief: 8.4 to 17 s
constexpr double kBudget = 1.5;    // seconds that each message has
constexpr Ms kAllowed = 300 + 50;  // from a message's time to its notice, on sockets
constexpr int kClients = 30;

int listen_on_loopback(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 || listen(fd, 64) != 0)
    throw CannotRun{"can't listen"};
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) throw CannotRun{"can't connect"};
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// What a distance does to a server's connections: bytes arrive `one_way` later in either direction, and a
// connection carries its first ones only after the round trip in which it comes up.
class Distance {
 public:
  Distance(Ms one_way, int server) : one_way_(one_way), server_(server) {
    listener_ = listen_on_loopback(port_);
    accepting_ = std::thread([this] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (over_ || fd < 0) return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto number = static_cast<unsigned>(connections_.size()) + 1;
        connections_.emplace_back([this, fd, number] { carry(fd, number); });
      }
    });
  }
  ~Distance() {
    over_ = true;
    shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    close(listener_);
    for (auto& connection : connections_) connection.join();
  }
  int port() const { return port_; }

 private:
  // Bytes on their way, with the time when they arrive; empty ones are the end.
  using OnTheirWay = std::vector<std::pair<Ms, std::string>>;
  // Passes on what has arrived. False once the end has.
  static bool deliver(OnTheirWay& bytes, int to) {
    while (!bytes.empty() && bytes.front().first <= now()) {
      const std::string arrived = bytes.front().second;
      bytes.erase(bytes.begin());
      if (arrived.empty()) return false;
      std::size_t at = 0;
      while (at < arrived.size()) {
        const auto n = send(to, arrived.data() + at, arrived.size() - at, MSG_NOSIGNAL);
        if (n <= 0) return false;
        at += static_cast<std::size_t>(n);
      }
    }
    return true;
  }
  static std::string take(int fd) {
    char bytes[65536];
    const auto n = recv(fd, bytes, sizeof bytes, 0);
    return n > 0 ? std::string(bytes, static_cast<std::size_t>(n)) : std::string();
  }
  void carry(int relay, unsigned number) {
    std::minstd_rand random(number);
    std::uniform_real_distribution<double> jitter(0, kJitter);
    const auto way = [&] { return std::llround(static_cast<double>(one_way_) * (1 + jitter(random))); };
    const Ms up = now() + way() + way();
    int server = -1;
    bool relay_open = true, server_open = true;
    OnTheirWay to_server, to_relay;
    while (!over_) {
      if (server < 0 && now() >= up) {
        if (!relay_open && to_server.size() == 1) break;  // given up, nothing was sent
        server = connect_to(server_);
      }
      if (server >= 0 && !deliver(to_server, server)) break;
      if (!deliver(to_relay, relay)) break;
      pollfd ready[2] = {{relay_open ? relay : -1, POLLIN, 0},
                         {server >= 0 && server_open ? server : -1, POLLIN, 0}};
      poll(ready, 2, 1);
      if (ready[0].revents != 0) {
        to_server.emplace_back(std::max(now(), up) + way(), take(relay));
        relay_open = !to_server.back().second.empty();
      }
      if (ready[1].revents != 0) {
        to_relay.emplace_back(now() + way(), take(server));
        server_open = !to_relay.back().second.empty();
      }
    }
    close(relay);
    if (server >= 0) close(server);
  }

  const Ms one_way_;
  const int server_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> over_{false};
  std::thread accepting_;
  std::vector<std::thread> connections_;
};

int play() {
  Discovery discovery;
  std::atomic<bool> silent{false};
  const auto serve = [](const Arrival&) {
    pause_for(20);
    return Endpoint::Does::answer_200;
  };
  Endpoint a("s-a", serve), b("s-b", serve), c("s-c", serve);
  Endpoint struck("s-d", [&](const Arrival&) {
    if (silent) return Endpoint::Does::hang;
    pause_for(20);
    return Endpoint::Does::answer_200;
  });
  int group = 0;
  for (const auto* endpoint : {&a, &b, &c, &struck})
    discovery.put({endpoint->name(), endpoint->address(), "old-barn", "small-partners", "ready", ++group});
  const auto address = discovery.address();
  Distance distance(trouble() ? kOneWay : 0, std::stoi(address.substr(address.rfind(':') + 1)));
  const auto listen = address_of(free_port());
  std::string text = config(listen, discovery, discovery.list(), settings());
  text.replace(text.find(address), address.size(), address_of(distance.port()));
  Relay relay(text, listen);
  relay.start();
  if (!relay.wait_until_ready(10000)) throw CannotRun{"the relay did not become ready"};

  std::mutex mutex;
  std::map<std::string, Ms> due;  // of messages that were taken on, by id
  std::map<int, int> statuses;
  std::vector<std::thread> clients;
  note("partner 4 is silent from now on");
  silent = true;
  const Ms began = now();
  for (int t = 0; t < kClients; t++)
    clients.emplace_back([&, t] {
      Client client(listen);
      for (int i = 0;; i++) {
        const int number = i * kClients + t;
        const Ms at = began + Ms{number} * 1000 / kRate;
        if (at > began + kSilent) return;
        if (now() < at) pause_for(at - now());
        char id[64];
        snprintf(id, sizeof id, "9b1f03aa-5c7e-42d4-8a05-%012d", number);
        const int destination = number * 37 % 100 < kSilentShare ? 4 : 1 + number % 3;
        const Ms sent = now();
        const int status = client.hand_in(
            {number % 2 == 0 ? "pay-and-order" : "load-status", id, "10 crates", destination, kBudget});
        const std::lock_guard lock(mutex);
        statuses[status]++;
        if (status == 202 || status == 200) due[id] = sent + static_cast<Ms>(kBudget * 1000);
      }
    });
  for (auto& client : clients) client.join();
  silent = false;
  note("partner 4 is back");
  pause_for(static_cast<Ms>(kBudget * 1000) + kAllowed);
  const auto notices = discovery.notices();
  std::set<std::string> delivered;
  for (auto* endpoint : {&a, &b, &c})
    for (const auto& message : endpoint->arrivals()) delivered.insert(message.id);
  for (const auto& message : struck.arrivals())
    if (message.last_byte > began + kSilent) delivered.insert(message.id);
  std::size_t lost = 0;
  for (const auto& [id, time] : due) {
    if (notices.count(id) > 0 || delivered.count(id) > 0) continue;
    lost++;
    note("lost: " + id + ", whose time was up at " + std::to_string(time) + " ms");
  }
  for (const auto& [status, count] : statuses)
    note("answers " + std::to_string(status) + ": " + std::to_string(count));
  note("messages taken on: " + std::to_string(due.size()) +
       ", ended by a notice: " + std::to_string(notices.size()) + ", lost: " + std::to_string(lost));
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main() { return run(play); }
