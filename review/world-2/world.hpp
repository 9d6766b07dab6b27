// Stand-ins for the platform around one relay: discovery with notices, endpoints, clients, and the process of
// the relay itself. One thread for each connection. Everything is on 127.0.0.1 and the real clock.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Ms = std::int64_t;

Ms now();               // milliseconds since the start of the case
void pause_for(Ms ms);  // sleeps
// Writes a line to the record, with its time.
void note(const std::string& text);
bool trouble();  // false with TROUBLE=0
int free_port();
std::string address_of(int port);

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> fields;  // names in lower case
  Ms first_byte = 0, last_byte = 0;
  std::string field(const std::string& name) const;
};

// A connection that a server has accepted.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  // Reads one request. False at the end of the connection, or if it can't be read.
  bool read(Request& request);
  bool write(const std::string& bytes);
  bool answer(int status, const std::string& fields, const std::string& body);
  void end();    // shuts both directions
  void reset();  // closes with a reset
  bool peer_has_closed() const;

 private:
  int fd_;
  std::string buffer_;
};

// A server on a port of its own. The handler returns whether the connection stays open.
class Server {
 public:
  using Handler = std::function<bool(Connection&, const Request&)>;
  explicit Server(Handler handler, int port = 0);
  ~Server();
  int port() const { return port_; }
  std::string address() const { return address_of(port_); }

 private:
  void accept_all();
  Handler handler_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> over_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> open_;
  std::vector<std::thread> threads_;
};

struct Listed {
  std::string name, address, zone, type, status = "ready";
  int group = 1;
};

// Discovery by the protocol: the list, watches and notices.
class Discovery {
 public:
  Discovery();
  std::string address() const { return server_->address(); }
  void put(const Listed& endpoint);  // adds or changes an entry
  std::string list();                // the whole list, as discovery tells it
  // From now on each answer with a list is written so long after it could be.
  void answer_after(Ms delay) { delay_ = delay; }
  // When the version that `name` has now was first written to the relay as a whole; none: never.
  std::optional<Ms> told(const std::string& name);
  std::map<std::string, std::string> notices();  // state by id
  std::size_t calls() const { return calls_; }

 private:
  bool handle(Connection& connection, const Request& request);
  std::string text(int after);
  struct Entry {
    Listed listed;
    int version = 0;
    std::optional<Ms> told;
  };
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  int version_ = 41;
  std::atomic<Ms> delay_{0};
  std::atomic<std::size_t> calls_{0};
  std::map<std::string, std::string> notices_;
  std::unique_ptr<Server> server_;
};

// One message of a call, as an endpoint got it.
struct Arrival {
  std::string id, body;
  Ms first_byte = 0, last_byte = 0;
};

// An endpoint by the protocol. `serve` is called for each message of a call that has arrived whole, and
// returns what the endpoint does about it.
class Endpoint {
 public:
  enum class Does { answer_200, hang };
  using Serve = std::function<Does(const Arrival&)>;
  Endpoint(std::string name, Serve serve, int port = 0);
  std::string address() const { return server_->address(); }
  const std::string& name() const { return name_; }
  std::vector<Arrival> arrivals();
  std::size_t times(const std::string& id);  // how often the message has arrived

 private:
  bool handle(Connection& connection, const Request& request);
  std::string name_;
  Serve serve_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::unique_ptr<Server> server_;
};

// A client with one connection, which it opens anew when it has ended. Waits 400 ms for an answer.
class Client {
 public:
  explicit Client(std::string relay) : relay_(std::move(relay)) {}
  ~Client();
  struct Message {
    std::string message_class, id, body = "hello";
    int destination = 1;
    double budget = 6;
  };
  // The status of the answer; 0: none came.
  int hand_in(const Message& message);
  int get(const std::string& target);

 private:
  int exchange(const std::string& request, Ms within);
  std::string relay_;
  int fd_ = -1;
};

// The relay, as the platform starts it: by the command `run` of the deploy file.
class Relay {
 public:
  // `config`: the text of its configuration.
  Relay(std::string config, std::string listen);
  ~Relay();
  void start();
  void signal(int number);
  void kill_and_wait();
  bool wait_until_ready(Ms within);
  bool running();
  const std::string& listen() const { return listen_; }

 private:
  std::string config_, listen_, folder_, state_;
  int pid_ = -1, starts_ = 0;
};

struct SettingsText {
  int relays = 3;
  std::string zones = R"(["main-house", "cellar-block", "old-barn"])";
  int window_us = 5000000;
};
// The settings of a small deployment, as in the pages.
std::string settings(const SettingsText& which = {});
std::string config(const std::string& listen, const Discovery& discovery, const std::string& known,
                   const std::string& settings);

// Runs the case: 0 held, 1 broken, 2 it could not run.
int run(const std::function<int()>& body);
// The case can't run.
struct CannotRun {
  std::string why;
};

}  // namespace world
