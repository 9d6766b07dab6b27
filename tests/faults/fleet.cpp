#include "faults/fleet.hpp"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "faults/hostile_clients.hpp"

namespace cedarplank::testing::faults {
namespace {

constexpr Time kClientWaits = 400'000;  // platform protocol: planned long clients wait
constexpr Time kKillAfter = 3'700'000;  // platform protocol: SIGKILL so long after SIGTERM
constexpr Time kStartAfter = 600'000;   // platform protocol: a new process so long after the end of the last
constexpr Time kReadyWithin = 10'000'000;
constexpr Time kTurn = 5'000;  // longest wait of one loop iteration
constexpr Time kCheckEvery = 20'000;
constexpr int kFirstGroup = 7;            // group of the first destination
constexpr std::size_t kMostLog = 20'000;  // lines
constexpr std::size_t kMostRecent = 200;  // requests

// Address of a relay: unique to this test process, so that tests can run in parallel.
std::string relay_address(int relay) {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid % 128) + "." + std::to_string(pid / 128 % 250) + "." +
         std::to_string(relay + 1) + ":8081";
}

// The message ids in the body of a bulk call.
std::vector<std::string> bulk_ids(const std::string& body) {
  std::vector<std::string> ids;
  for (std::size_t at = 0; at < body.size();) {
    const auto end = body.find("\r\n", at);
    if (end == std::string::npos) break;
    const auto head = body.substr(at, end - at);
    ids.push_back(head.substr(0, head.find(' ')));
    at = end + 2 + std::stoul(head.substr(head.rfind(' ') + 1)) + 2;
  }
  return ids;
}

// The body of an answer to a bulk call in which all messages have the same result.
std::string bulk_results(const std::vector<std::string>& ids, const std::string& result) {
  std::string body;
  for (const auto& id : ids) body += id + " " + result + "\r\n";
  return body;
}

}  // namespace

Fleet::Fleet(FleetSettings settings) : random(settings.seed), settings_(std::move(settings)) {
  char name[] = "/tmp/fault-fleet-XXXXXX";
  folder_ = mkdtemp(name);
  checker.started_at = loop.now();
  discovery_ = std::make_unique<Server>(
      loop, [this](const http1::Message& m, int n) { return handle_discovery_request(m, n); });
  for (int d = 0; d < settings_.destinations; d++)
    for (int e = 0; e < settings_.endpoints_per_destination; e++) {
      const std::string id = "s-" + std::to_string(d) + "-" + std::to_string(e);
      Endpoint& endpoint = endpoints_[id];
      endpoint.destination = kFirstGroup + d;
      endpoint.server = make_server(id, "127.0.0.1:0");
      if (settings_.proxied)
        endpoint.proxy = std::make_unique<Proxy>(loop, endpoint.server->address(), [this, id] {
          const Time held = proxy_delay(), now = loop::monotonic_now();
          if (held > 0) checker.holds.push_back({id, now, now + held});
          return held;
        });
    }
  known_list_ = endpoint_list();
  relays_.resize(static_cast<std::size_t>(settings_.relays));
  for (int r = 0; r < settings_.relays; r++) {
    Relay& relay = relay_at(r);
    relay.listen = relay_address(r);
    relay.folder = folder_ + "/state-" + std::to_string(r);
    relay.config_file = folder_ + "/config-" + std::to_string(r) + ".json";
    relay.control_file = folder_ + "/faults-" + std::to_string(r);
    std::filesystem::create_directory(relay.folder);
    relay.control = map_control(relay.control_file.c_str(), true);
    if (relay.control == nullptr) throw std::runtime_error("the control file can't be mapped");
  }
}

// The loop runs once more, and calls may still arrive: what a test's own variables answer may be gone by
// then.
Fleet::~Fleet() {
  *alive_ = false;
  reply = [](const std::string&, const std::string&) { return Reply{}; };
  proxy_delay = [] { return Time{0}; };
  client_reset_after = [] { return std::nullopt; };
  second_copy = [](const std::string&, int) { return std::nullopt; };
  for (auto& relay : relays_) {
    relay.process.reset();
    for (auto& link : relay.extra_connections) link->stream->close();
    for (auto& link : relay.idle) link->stream->close();
    for (auto& [raw, link] : relay.busy) link->stream->close();
    munmap(relay.control, sizeof(Control));
  }
  loop.run_once(0);
  std::filesystem::remove_all(folder_);
}

std::unique_ptr<Server> Fleet::make_server(const std::string& endpoint, const std::string& address) {
  auto server = std::make_unique<Server>(
      loop, [this, endpoint](const http1::Message& m, int n) { return handle_call(endpoint, m, n); },
      address);
  server->confirms_close = settings_.confirms_close;
  return server;
}

std::string Fleet::endpoint_list(int after) const {
  const bool whole = after < 0;
  std::string text = R"({"index":)" + std::to_string(list_index_) + R"(,"snapshot":)" +
                     (whole ? "true" : "false") + R"(,"endpoints":[)";
  bool first = true;
  for (const auto& [id, e] : endpoints_) {
    if (whole ? !e.listed : e.changed_at <= after) continue;
    const auto address = e.proxy ? e.proxy->address() : e.server->address();
    text += (first ? "" : ",") + (R"({"name":")" + id) + R"(","address":")" + address +
            R"(","zone":"east","type":"small","group":)" + std::to_string(e.destination) + R"(,"status":")" +
            (e.listed ? "ready" : "gone") + R"(","weight":1.0,"since_ms":)" + std::to_string(e.since_ms) +
            "}";
    first = false;
  }
  for (int i = 0; whole && i < far_endpoints; i++)
    text += R"(,{"name":"far-)" + std::to_string(i) + R"(","address":"127.9.)" + std::to_string(i / 250) +
            "." + std::to_string(i % 250) + R"(:9","zone":"east","type":"small","group":)" +
            std::to_string(kFirstGroup + 1'000) + R"(,"status":"ready","weight":1.0,"since_ms":0})";
  return text + "]}";
}

void Fleet::change_listing(const std::string& endpoint) {
  endpoints_.at(endpoint).changed_at = ++list_index_;
  for (const int connection : std::exchange(watches_, {}))
    if (discovery_->is_open(connection))
      discovery_->write(
          connection,
          http1::build_response(200, {}, endpoint_list(far_endpoints > 0 ? -1 : list_index_ - 1), false));
}

std::string Fleet::take_over_address(const std::string& endpoint, int destination) {
  const std::string name = endpoint + "-successor", address = endpoints_.at(endpoint).server->address();
  endpoints_.at(endpoint).server->stop();
  Endpoint& successor = endpoints_[name];
  successor.destination = kFirstGroup + destination;
  successor.server = make_server(name, address);
  change_listing(name);
  return name;
}

void Fleet::restart_endpoint(const std::string& endpoint) {
  Endpoint& e = endpoints_.at(endpoint);
  e.server->stop();
  e.server->restart();
  e.since_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  change_listing(endpoint);
}

void Fleet::unlist(const std::string& endpoint) {
  endpoints_.at(endpoint).listed = false;
  change_listing(endpoint);
}

std::string Fleet::relay_config(int relay) const {
  const Relay& r = relays_[static_cast<std::size_t>(relay)];
  return R"({"name":"n)" + std::to_string(relay) + R"(","listen":")" + r.listen + R"(","discovery":")" +
         discovery_->address() + R"(","state":")" + r.folder +
         R"(","seed":"8c1f30d27a5be964","limits":{"memory_mb":)" + std::to_string(settings_.memory_mb) +
         R"(,"sockets":)" + std::to_string(settings_.sockets) + R"(,"disk_mb":)" +
         std::to_string(settings_.disk_mb) + R"(},"known":)" + known_list_ +
         R"(,"settings":{"Classes":[{"Name":"status","Points":1,"LateWorth":0,"Target":500000,"Deadline":)" +
         std::to_string(settings_.safe_deadline) +
         R"(,"Idempotency":"read_like"},{"Name":"order","Points":3,"LateWorth":0.3,"Target":1000000,"Deadline":)" +
         std::to_string(settings_.unsafe_deadline) +
         R"(,"Idempotency":"non_idempotent"}],"Tenants":[{"Name":"acme","QuotaPerS":1000}],)"
         R"("FailureDomains":["east"],"HostTypes":["small"],"FamilyInfo":{"Workers":)" +
         std::to_string(settings_.slots) + R"(,"Decay":"halves","BundleMax":[)" +
         std::to_string(settings_.bundle_max) + R"(],"RoutesApart":[)" +
         (settings_.routes_apart ? "true" : "false") +
         R"(]},"Limits":{"OpenCap":400,"MaxAttempts":8,)"
         R"("Cancelling":true,"SecondCopies":true,"ConnectTimeout":500000,"ConnIdle":2000000,)"
         R"("MaxRetryAfter":2000000,"Peers":false},"Rules":{"DrainGrace":1000000,"AnswerSlack":20000,)"
         R"("MustAskIn":10000000},"Discovery":"subscribe","Tick":5000,"GroupSize":)" +
         std::to_string(settings_.relays) + R"(,"Rank":)" + std::to_string(relay) + R"(,"Locality":"east"}})";
}

// ---- processes ----

void Fleet::launch(int relay) {
  Relay& r = relay_at(relay);
  std::ofstream(r.config_file) << relay_config(relay);
  r.process = std::make_unique<rig::Process>(
      loop,
      std::vector<std::string>{
          "/usr/bin/env", "LD_PRELOAD=" + settings_.fault_library,
          "ASAN_OPTIONS=verify_asan_link_order=0:" +
              std::string(getenv("ASAN_OPTIONS") == nullptr ? "" : getenv("ASAN_OPTIONS")),
          std::string(kControlFileVariable) + "=" + r.control_file, settings_.program, "platform", "--config",
          r.config_file, "--log-lines", std::to_string(settings_.log_lines)},
      [this, relay](const std::string& line) {
        record_conclusion(line);
        auto& log = relay_at(relay).log;
        if (log.size() < kMostLog) log.push_back(line);
      });
  r.signalled_by_test = false, r.ready = false, r.launches++;
  // A refusal by an earlier process may not have been recorded (its folder failed), and the platform protocol
  // says of refused requests that "handing it in again is harmless": such an id is not repeated to the new
  // process.
  std::erase_if(ended_ids_, [&](const auto& id) {
    const Request& request = checker.requests.at(id);
    return request.relay == relay && request.ended_by == "answer 503";
  });
  poll_process(relay);
}

void Fleet::poll_process(int relay) {
  Relay& r = relay_at(relay);
  if (!r.process) return;
  r.peak_memory = std::max(r.peak_memory, status_figure(relay, "VmHWM:"));
  if (!r.process->running()) {
    if (!r.signalled_by_test)
      checker.immediate_violations.push_back("crash: relay " + std::to_string(relay) +
                                             " exited without a signal from the test, exit code " +
                                             std::to_string(r.process->exit_code()));
    r.process.reset();
    r.ready = false;
    if (std::exchange(r.restart_on_exit, false)) schedule_launch(relay);
    return;
  }
  if (!r.ready) {
    const auto link = connect(relay);
    link->on_status = [this, relay](int status) {
      Relay& current = relay_at(relay);
      if (status != 200 || !current.process) return;
      current.ready = true;
      if (current.restart_number > 0 && checker.restarts[current.restart_number - 1].ready == 0)
        checker.restarts[current.restart_number - 1].ready = loop::monotonic_now();
    };
    link->stream->write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  }
  loop.after(kCheckEvery, [this, relay, alive = alive_] {
    if (*alive) poll_process(relay);
  });
}

bool Fleet::start(int relay) {
  launch(relay);
  return run_until([&] { return relay_at(relay).ready; }, kReadyWithin);
}

bool Fleet::start_all() {
  for (int r = 0; r < settings_.relays; r++) launch(r);
  return run_until(
      [&] { return std::all_of(relays_.begin(), relays_.end(), [](auto& r) { return r.ready; }); },
      kReadyWithin);
}

std::size_t Fleet::status_figure(int relay, const std::string& name) const {
  const auto& process = relays_.at(static_cast<std::size_t>(relay)).process;
  if (!process) return 0;
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process->pid()) + "/status");
  std::string word;
  std::size_t figure = 0;
  while (status >> word) {
    // A process that has been started but does not run the relay yet has this test's figures.
    if (word == "Name:" && status >> word && word != "cedarplank") return 0;
    if (word == name && status >> figure) return figure * kKibibyte;
  }
  return 0;
}

std::size_t Fleet::resident_memory(int relay) const { return status_figure(relay, "VmRSS:"); }

void Fleet::record_signal(int relay) {
  Relay& r = relay_at(relay);
  r.signalled_by_test = true;
  // Signalled again before it was ready: from now on the time to the next start counts.
  if (r.restart_number > 0 && checker.restarts[r.restart_number - 1].ready == 0)
    checker.restarts[r.restart_number - 1].ready = loop::monotonic_now();
  checker.restarts.push_back({relay, loop::monotonic_now(), 0});
  r.restart_number = checker.restarts.size();
}

void Fleet::kill(int relay) {
  if (!relay_at(relay).process) return;
  if (!relay_at(relay).signalled_by_test) record_signal(relay);
  relay_at(relay).process.reset();  // SIGKILL
  relay_at(relay).ready = false;
  schedule_launch(relay);
}

void Fleet::kill_in_write(int relay, int bytes) {
  if (!relay_at(relay).process || relay_at(relay).signalled_by_test) return;
  record_signal(relay);
  relay_at(relay).restart_on_exit = true;
  relay_at(relay).control->kill_in_write = bytes + 1;
}

void Fleet::schedule_launch(int relay) {
  loop.after(kStartAfter, [this, relay, alive = alive_] {
    if (*alive && !relay_at(relay).process) launch(relay);
  });
}

void Fleet::terminate(int relay) {
  if (!relay_at(relay).process || relay_at(relay).signalled_by_test) return;
  record_signal(relay);
  relay_at(relay).process->signal(SIGTERM);
  loop.after(kKillAfter, [this, relay, launch = relay_at(relay).launches, alive = alive_] {
    if (!*alive || relay_at(relay).launches != launch) return;  // already restarted
    relay_at(relay).process.reset();
    relay_at(relay).ready = false;
    schedule_launch(relay);
  });
}

bool Fleet::run_until(const std::function<bool()>& condition, Time within) {
  const Time end = loop::monotonic_now() + within;
  Time before = loop::monotonic_now();
  while (!condition()) {
    if (loop::monotonic_now() > end) return false;
    loop.run_once(kTurn);
    const Time now = loop::monotonic_now();
    checker.lag = std::max(checker.lag, now - before - kTurn);
    before = now;
  }
  return true;
}

void Fleet::run(Time span) {
  run_until([] { return false; }, span);
}

void Fleet::settle() {
  traffic(0);
  reply = [](const auto&, const auto&) { return Reply{}; };
  proxy_delay = [] { return Time{0}; };
  client_reset_after = [] { return std::nullopt; };
  second_copy = [](const auto&, int) { return std::nullopt; };
  hedged_share = 0;
  discovery_up = true, repeat_notice_answers = false;
  for (auto& relay : relays_) {
    Control& c = *relay.control;
    c.write_error = c.create_error = c.allocate_error = c.rename_error = c.remove_error = c.read_error = 0;
    c.partial_write_bytes = c.kill_in_write = c.accept_error = c.socket_error = c.connect_error = 0;
    c.receive_error = c.interrupt_polls = c.max_io_bytes = 0;
  }
  run_until([&] { return std::all_of(relays_.begin(), relays_.end(), [](auto& r) { return r.ready; }); },
            2 * kReadyWithin);
  run(std::max(settings_.safe_deadline, settings_.unsafe_deadline) + 2'500'000);
}

// ---- the platform ----

Server::Reply Fleet::handle_notice_post(const http1::Message& m, int connection) {
  int& accepted = notice_posts_[connection];
  if (repeat_notice_answers && accepted > 0) {
    accepted = 0;
    discovery_->write_unasked(connection, http1::build_response(204, {}, {}, false));
    return {http1::build_response(503, {}, {}, false)};
  }
  accepted++;
  handle_notices(m.body);
  return {http1::build_response(204, {}, {}, false)};
}

Server::Reply Fleet::handle_discovery_request(const http1::Message& m, int connection) {
  if (m.target == "/v1/outcomes") return handle_notice_post(m, connection);
  if (!discovery_up) return {http1::build_response(503, {}, {}, false), Server::Reply::Disposition::close};
  if (m.target == "/catalog/members") return answer_list(endpoint_list(), connection);
  const int after = std::stoi(m.target.substr(m.target.find("after=") + 6));
  if (after < list_index_ || m.target.find("wait_ms=0") != std::string::npos)
    return answer_list(endpoint_list(far_endpoints > 0 ? -1 : after), connection);
  watches_.push_back(connection);
  return {};
}

Server::Reply Fleet::answer_list(const std::string& list, int connection) {
  const std::string answer = http1::build_response(200, {}, list, false);
  if (discovery_delay == 0) return {answer};
  loop.after(discovery_delay, [this, answer, connection, alive = alive_] {
    if (*alive && discovery_->is_open(connection)) discovery_->write(connection, answer);
  });
  return {};
}

void Fleet::handle_notices(const std::string& body) {
  const Time now = loop::monotonic_now();
  for (std::size_t from = 0; from < body.size();) {
    const auto end = std::min(body.find('\n', from), body.size());
    const auto line = body.substr(from, end - from);
    from = end + 1;
    const auto value = [&](const std::string& key) {
      const auto start = line.find("\"" + key + "\":\"");
      if (start == std::string::npos) return std::string();
      const auto first = start + key.size() + 4;
      return line.substr(first, line.find('"', first) - first);
    };
    const auto it = checker.requests.find(value("id"));
    if (it == checker.requests.end()) continue;
    if (it->second.notified == 0)
      it->second.notified = now, it->second.notified_failed = value("state") == "failed";
    if (it->second.ended > 0) continue;
    it->second.ended = now, it->second.ended_by = "notice " + value("state");
    if (it->second.delivered == 0) ended_ids_.push_back(it->first);
  }
}

void Fleet::record_conclusion(const std::string& line) {
  if (line.find(R"("event":"attempt")") == std::string::npos &&
      line.find(R"("event":"delivered")") == std::string::npos)
    return;
  const auto value = [&](const std::string& key, const std::string& until) {
    const auto start = line.find(key);
    if (start == std::string::npos) return std::string();
    const auto first = start + key.size();
    return line.substr(first, line.find(until, first) - first);
  };
  checker.conclusions.push_back({value("\"text\":\"id=", " "), value(" endpoint=", " "),
                                 value(" outcome=", " "), value(R"( why=\")", R"(\")")});
}

Server::Reply Fleet::handle_call(const std::string& endpoint, const http1::Message& m, int connection) {
  const Time now = loop::monotonic_now();
  std::vector<std::string> ids;
  const bool bulk = m.target == "/inbox/bulk";
  if (bulk)
    ids = bulk_ids(m.body);
  else if (const auto* id = m.find("x-call-id"))
    ids.push_back(*id);
  Reply planned = reply(endpoint, ids.empty() ? std::string() : ids.front());
  if (const auto it = checker.requests.find(ids.empty() ? std::string() : ids.front());
      settings_.endpoints_answer_gone && it != checker.requests.end() &&
      (it->second.ended > 0 || it->second.abandoned))
    planned = {Reply::Kind::gone};
  using Kind = Reply::Kind;
  const bool ran = planned.kind != Kind::refuse && planned.kind != Kind::told_wait &&
                   planned.kind != Kind::gone && planned.kind != Kind::exhausted;
  const bool foreign = !ids.empty() && ids.front().rfind(kHostileIdPrefix, 0) == 0;
  if (m.target == "/inbox" && !foreign && m.body != settings_.body)
    checker.immediate_violations.push_back("another request's body was sent under the id " + ids.front());
  std::vector<CallIndex> members;
  for (const auto& id : ids)
    if (const auto it = checker.requests.find(id); it != checker.requests.end()) {
      members.push_back({id, it->second.calls.size()});
      if (it->second.destination != endpoints_.at(endpoint).destination)
        checker.immediate_violations.push_back("wrong destination: " + id + " was sent to " + endpoint);
      it->second.calls.push_back({now, endpoint, ran});
    }
  write_due_copies(endpoint, connection);
  Server& server = *endpoints_.at(endpoint).server;
  loop.after(planned.delay, [this, &server, planned, ids, members, bulk, endpoint, connection,
                             alive = alive_] {
    if (!*alive || !server.is_open(connection)) return;
    const bool readable = endpoints_.at(endpoint).cut_connections.count(connection) == 0;
    const auto answer = [&](int status, const std::vector<http1::Field>& fields = {},
                            const std::string& body = {}) {
      write_answer(endpoint, connection, members, status, fields, body);
    };
    switch (planned.kind) {
      case Reply::Kind::hang:
        return;
      case Reply::Kind::reset:
        return server.reset(connection);
      case Reply::Kind::refuse:
        return answer(503);
      case Reply::Kind::told_wait:
        if (const auto it = checker.requests.find(ids.front()); readable && it != checker.requests.end()) {
          const Time told_at = loop::monotonic_now();
          checker.waits.push_back({endpoint, it->second.relay, told_at, told_at + planned.retry_after});
        }
        return answer(429, {{"Retry-After", http1::format_seconds(planned.retry_after)}});
      case Reply::Kind::error:
        return answer(500);
      case Reply::Kind::gone:
      case Reply::Kind::exhausted: {
        const bool gone = planned.kind == Reply::Kind::gone;
        for (const auto& id : ids) {
          const auto it = checker.requests.find(id);
          if (!readable || it == checker.requests.end() || it->second.endpoint_ended > 0) continue;
          it->second.endpoint_ended = loop::monotonic_now();
          it->second.end_unrecorded = relay_at(it->second.relay).control->write_error != 0;
        }
        // An answer to several messages has a line for each.
        if (!bulk) return answer(gone ? 410 : 504);
        answer(200, {}, bulk_results(ids, gone ? "gone" : "exhausted"));
        for (const auto& member : members)
          checker.requests.at(member.id).calls[member.index].answered = gone ? 410 : 504;
        return;
      }
      case Reply::Kind::ok:
        break;
    }
    answer(200, {}, bulk ? bulk_results(ids, "ok") : std::string());
    for (const auto& id : ids)
      if (const auto it = checker.requests.find(id);
          it != checker.requests.end() && it->second.delivered == 0)
        it->second.delivered = loop::monotonic_now();
  });
  return {};
}

void Fleet::write_answer(const std::string& endpoint, int connection, const std::vector<CallIndex>& members,
                         int status, const std::vector<http1::Field>& fields, const std::string& body) {
  Endpoint& e = endpoints_.at(endpoint);
  const std::string bytes = http1::build_response(status, fields, body, false);
  for (const auto& member : members) checker.requests.at(member.id).calls[member.index].answered = status;
  e.server->write(connection, bytes);
  const auto copy = second_copy(endpoint, status);
  if (!copy) return;
  const auto size = static_cast<std::size_t>(copy->part * static_cast<double>(bytes.size()));
  const std::string copied = bytes.substr(0, size);
  if (copy->after == SecondCopy::After::next_call) {
    e.due_copies[connection] = {copied, copy->delay, copy->part < 1};
    return;
  }
  write_copy(endpoint, connection, {copied, copy->delay, copy->part < 1});
}

void Fleet::write_copy(const std::string& endpoint, int connection, const DueCopy& copy) {
  loop.after(copy.delay, [this, endpoint, connection, copy, alive = alive_] {
    if (!*alive || !endpoints_.at(endpoint).server->is_open(connection)) return;
    second_copies_written++;
    endpoints_.at(endpoint).server->write_unasked(connection, copy.bytes);
    if (copy.cut) endpoints_.at(endpoint).cut_connections.insert(connection);
  });
}

void Fleet::write_due_copies(const std::string& endpoint, int connection) {
  Endpoint& e = endpoints_.at(endpoint);
  const auto due = e.due_copies.find(connection);
  if (due == e.due_copies.end()) return;
  write_copy(endpoint, connection, due->second);
  e.due_copies.erase(due);
}

// ---- clients ----

Fleet::ClientConnectionPtr Fleet::connect(int relay) {
  auto link = std::make_shared<ClientConnection>();
  const std::weak_ptr<ClientConnection> weak = link;
  link->stream = std::make_unique<net::TcpStream>(
      loop, net::Address::parse(relay_at(relay).listen), kClientWaits,
      net::Stream::Handlers{.connected = {},
                            .data =
                                [this, relay, weak](std::string_view bytes) {
                                  const auto l = weak.lock();
                                  if (!l) return;
                                  l->reader.consume(bytes);
                                  if (l->reader.state() == http1::Parser::State::complete)
                                    handle_answer(relay, l);
                                },
                            .drained = {},
                            .closed =
                                [this, relay, weak](const std::string& why) {
                                  if (const auto l = weak.lock()) handle_close(relay, l, why);
                                }});
  relay_at(relay).busy[link.get()] = link;
  return link;
}

void Fleet::write_request(int relay, const ClientConnectionPtr& link, const std::string& id) {
  Request& request = checker.requests.at(id);
  request.copies++;
  const Time left = std::max<Time>(1'000, request.deadline - loop::monotonic_now());
  link->id = id, link->requests++;
  link->stream->write(http1::build_request("POST", request.repeatable ? "/status" : "/order", "backend.local",
                                           {{"X-Call-Id", id},
                                            {"X-Caller", "acme"},
                                            {"X-Budget", http1::format_seconds(left)},
                                            {"X-Route-To", "dest=" + std::to_string(request.destination)}},
                                           settings_.body));
  link->timer = loop.after(kClientWaits, [this, relay, link] {
    link->timer = 0;
    Request& late = checker.requests.at(link->id);
    late.abandoned = late.answers.empty();
    link->id.clear();
    close_connection(relay, link);
  });
  if (const auto after = client_reset_after())
    loop.after(*after, [this, id, weak = std::weak_ptr(link), relay, alive = alive_] {
      const auto l = weak.lock();
      if (!*alive || !l || l->id != id) return;
      l->stream->close(true);
      handle_close(relay, l, "reset by a fault");
    });
}

std::string Fleet::submit(int relay, bool repeatable, int destination, const std::string& id) {
  Request request;
  request.id = id.empty() ? "m-" + std::to_string(next_id_++) : id;
  request.repeatable = repeatable, request.relay = relay, request.destination = kFirstGroup + destination;
  request.submitted_at = loop::monotonic_now();
  request.deadline =
      request.submitted_at + (repeatable ? settings_.safe_deadline : settings_.unsafe_deadline);
  checker.requests[request.id] = request;
  ClientConnectionPtr link;
  Relay& r = relay_at(relay);
  if (!r.idle.empty()) {
    link = r.idle.back();
    r.idle.pop_back();
    r.busy[link.get()] = link;
  } else {
    link = connect(relay);
  }
  write_request(relay, link, request.id);
  if (std::uniform_real_distribution<>()(random) < hedged_share)
    write_request(relay, connect(relay), request.id);
  recent_ids_.push_back(request.id);
  if (recent_ids_.size() > kMostRecent) recent_ids_.erase(recent_ids_.begin());
  return request.id;
}

void Fleet::repeat(const std::string& id) {
  const int relay = checker.requests.at(id).relay;
  if (!running(relay)) return;
  const auto link = connect(relay);
  link->close_after_answer = true;
  write_request(relay, link, id);
}

void Fleet::repeat_recent_request(int relay) {
  if (recent_ids_.empty()) return;
  const auto id = recent_ids_[random() % recent_ids_.size()];
  const Request& request = checker.requests.at(id);
  // Refused ids are not repeated: an earlier process's refusal may not be on record (see launch()).
  const bool refused = std::any_of(request.answers.begin(), request.answers.end(),
                                   [](const Answer& answer) { return answer.refuses(); });
  if (request.relay == relay && !refused) repeat(id);
}

void Fleet::send_other_body_under_id(const std::string& id, std::function<void(int)> on_status) {
  const Request& request = checker.requests.at(id);
  if (!request.accepted() || !running(request.relay)) return on_status(0);
  const auto link = connect(request.relay);
  link->on_status = std::move(on_status), link->close_after_answer = true;
  link->stream->write(http1::build_request("POST", request.repeatable ? "/status" : "/order", "backend.local",
                                           {{"X-Call-Id", id},
                                            {"X-Caller", "acme"},
                                            {"X-Budget", "1.0"},
                                            {"X-Route-To", "dest=" + std::to_string(request.destination)},
                                            {"Connection", "close"}},
                                           settings_.body + ", of another"));
}

void Fleet::send_other_body_under_recent_id(int relay) {
  if (recent_ids_.empty()) return;
  const auto id = recent_ids_[random() % recent_ids_.size()];
  if (checker.requests.at(id).relay == relay) send_other_body_under_id(id);
}

void Fleet::pause_reading(const std::string& endpoint, bool paused) {
  endpoints_.at(endpoint).server->pause_reading(paused);
}

void Fleet::handle_answer(int relay, const ClientConnectionPtr& link) {
  const int status = link->reader.message().status;
  const bool close = link->reader.message().close;
  link->reader.next();
  if (link->on_status) {
    std::exchange(link->on_status, nullptr)(status);
    if (close) close_connection(relay, link);
    return;
  }
  const auto it = checker.requests.find(link->id);
  loop.cancel(link->timer), link->timer = 0;
  link->id.clear();
  if (it != checker.requests.end()) {
    Request& request = it->second;
    const Answer answer{loop::monotonic_now(), status};
    if (request.status == 0) request.status = status;
    request.answers.push_back(answer);
    if (!answer.accepts() && request.ended == 0) {
      request.ended = answer.received_at, request.ended_by = "answer " + std::to_string(status);
      if (answer.refuses()) ended_ids_.push_back(request.id);
    }
  }
  if (close || link->close_after_answer) return close_connection(relay, link);
  relay_at(relay).busy.erase(link.get());
  relay_at(relay).idle.push_back(link);
}

// A request whose connection closes without an answer is sent once more on a new connection: the client
// cannot tell whether the relay has read it.
void Fleet::handle_close(int relay, const ClientConnectionPtr& link, const std::string&) {
  std::erase(relay_at(relay).idle, link);
  std::erase(relay_at(relay).extra_connections, link);
  relay_at(relay).busy.erase(link.get());
  loop.cancel(link->timer), link->timer = 0;
  if (link->on_status) return std::exchange(link->on_status, nullptr)(0);
  if (link->id.empty()) return;
  const auto id = std::exchange(link->id, {});
  send_second_copy(id);
}

// Sends a second copy at once or, while the relay is not ready, when it is ready again.
void Fleet::send_second_copy(const std::string& id) {
  Request& request = checker.requests.at(id);
  if (request.copies > 1 || loop::monotonic_now() > request.deadline) {
    request.abandoned = request.answers.empty();
    return;
  }
  Relay& r = relay_at(request.relay);
  if (r.process && r.process->running() && r.ready)
    return write_request(request.relay, connect(request.relay), id);
  loop.after(kCheckEvery, [this, id, alive = alive_] {
    if (*alive) send_second_copy(id);
  });
}

void Fleet::close_connection(int relay, const ClientConnectionPtr& link) {
  link->stream->close();
  relay_at(relay).busy.erase(link.get());
  loop.defer([link] {});
}

void Fleet::traffic(double per_second, double unsafe_share) {
  per_second_ = per_second, unsafe_share_ = unsafe_share, traffic_generation_++;
  if (per_second <= 0) return;
  for (int r = 0; r < settings_.relays; r++) schedule_request(r);
}

void Fleet::schedule_request(int relay) {
  const auto run = traffic_generation_;
  const double gap = std::exponential_distribution<double>(per_second_)(random);
  loop.after(static_cast<Time>(gap * 1e6) + 1, [this, relay, run, alive = alive_] {
    if (!*alive || run != traffic_generation_) return;
    // New connections go to ready relays only; clients keep using the connections that they have.
    Relay& r = relay_at(relay);
    if (r.process && (r.ready || !r.idle.empty()))
      submit(relay, std::uniform_real_distribution<>()(random) >= unsafe_share_,
             static_cast<int>(random() % static_cast<std::uint64_t>(settings_.destinations)));
    schedule_request(relay);
  });
}

void Fleet::open_idle_connections(int relay, int connections) {
  for (int i = 0; i < connections; i++) {
    const auto link = connect(relay);
    relay_at(relay).busy.erase(link.get());
    relay_at(relay).extra_connections.push_back(link);
    link->on_status = [](int) {};
    if (i % 2 == 0) link->stream->write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}

void Fleet::repeat_ended_request(int relay) {
  if (ended_ids_.empty()) return;
  const auto id = ended_ids_[random() % ended_ids_.size()];
  const Request& request = checker.requests.at(id);
  if (request.relay != relay) return;
  repeat(id);
}

std::string Fleet::final_answer_of(const std::string& id) const {
  const Request& request = checker.requests.at(id);
  if (request.delivered > 0) return "delivered";
  return request.ended_by;
}

bool Fleet::has_log_line(int relay, const std::string& text) const {
  const auto& lines = log(relay);
  return std::any_of(lines.begin(), lines.end(),
                     [&](const auto& line) { return line.find(text) != std::string::npos; });
}

}  // namespace cedarplank::testing::faults
