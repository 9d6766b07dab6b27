#include "faults/fleet.hpp"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

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

}  // namespace

Fleet::Fleet(FleetSettings settings) : random(settings.seed), settings_(std::move(settings)) {
  char name[] = "/tmp/fault-fleet-XXXXXX";
  folder_ = mkdtemp(name);
  judge.began = loop.now();
  discovery_ = std::make_unique<Server>(loop, [this](const http1::Message& m, int) { return discovery(m); });
  for (int d = 0; d < settings_.destinations; d++)
    for (int e = 0; e < settings_.endpoints_each; e++) {
      const std::string id = "s-" + std::to_string(d) + "-" + std::to_string(e);
      Endpoint& endpoint = endpoints_[id];
      endpoint.destination = kFirstGroup + d;
      endpoint.server = std::make_unique<Server>(
          loop, [this, id](const http1::Message& m, int n) { return called(id, m, n); });
      if (settings_.proxied)
        endpoint.proxy = std::make_unique<Proxy>(loop, endpoint.server->address(), [this, id] {
          const Time held = proxy_delay(), now = loop::monotonic_now();
          if (held > 0) judge.holds.push_back({id, now, now + held});
          return held;
        });
    }
  relays_.resize(static_cast<std::size_t>(settings_.relays));
  for (int r = 0; r < settings_.relays; r++) {
    Relay& relay = at(r);
    relay.listen = relay_address(r);
    relay.folder = folder_ + "/state-" + std::to_string(r);
    relay.config_file = folder_ + "/config-" + std::to_string(r) + ".json";
    relay.control_file = folder_ + "/faults-" + std::to_string(r);
    std::filesystem::create_directory(relay.folder);
    relay.control = map_control(relay.control_file.c_str(), true);
    if (relay.control == nullptr) throw std::runtime_error("the control file can't be mapped");
  }
}

Fleet::~Fleet() {
  *alive_ = false;
  for (auto& relay : relays_) {
    relay.process.reset();
    for (auto& link : relay.crowd) link->stream->close();
    for (auto& link : relay.idle) link->stream->close();
    for (auto& [raw, link] : relay.busy) link->stream->close();
    munmap(relay.control, sizeof(Control));
  }
  loop.run_once(0);
  std::filesystem::remove_all(folder_);
}

std::string Fleet::list() const {
  std::string text = R"({"index":1,"snapshot":true,"endpoints":[)";
  bool first = true;
  for (const auto& [id, e] : endpoints_) {
    const auto address = e.proxy ? e.proxy->address() : e.server->address();
    text += (first ? "" : ",") + (R"({"name":")" + id) + R"(","address":")" + address +
            R"(","zone":"east","type":"small","group":)" + std::to_string(e.destination) +
            R"(,"status":"ready","weight":1.0,"since_ms":0})";
    first = false;
  }
  return text + "]}";
}

std::string Fleet::config(int relay) const {
  const Relay& r = relays_[static_cast<std::size_t>(relay)];
  return R"({"name":"n)" + std::to_string(relay) + R"(","listen":")" + r.listen + R"(","discovery":")" +
         discovery_->address() + R"(","state":")" + r.folder +
         R"(","seed":"8c1f30d27a5be964","limits":{"sockets":256,"disk_mb":3},"known":)" + list() +
         R"(,"settings":{"Classes":[{"Name":"status","Points":1,"LateWorth":0,"Target":500000,"Deadline":)" +
         std::to_string(settings_.safe_deadline) +
         R"(,"Idempotency":"read_like"},{"Name":"order","Points":3,"LateWorth":0.3,"Target":1000000,"Deadline":)" +
         std::to_string(settings_.unsafe_deadline) +
         R"(,"Idempotency":"non_idempotent"}],"Tenants":[{"Name":"acme","QuotaPerS":1000}],)"
         R"("FailureDomains":["east"],"HostTypes":["small"],"FamilyInfo":{"Workers":)" +
         std::to_string(settings_.slots) + R"(,"Decay":"halves","BundleMax":[1],"RoutesApart":[)" +
         (settings_.routes_apart ? "true" : "false") +
         R"(]},"Limits":{"OpenCap":400,"MaxAttempts":8,)"
         R"("Cancelling":true,"SecondCopies":true,"ConnectTimeout":500000,"ConnIdle":2000000,)"
         R"("MaxRetryAfter":2000000,"Peers":false},"Rules":{"DrainGrace":1000000,"AnswerSlack":20000,)"
         R"("MustAskIn":10000000},"Discovery":"subscribe","Tick":5000,"GroupSize":)" +
         std::to_string(settings_.relays) + R"(,"Rank":)" + std::to_string(relay) + R"(,"Locality":"east"}})";
}

// ---- processes ----

void Fleet::launch(int relay) {
  Relay& r = at(relay);
  std::ofstream(r.config_file) << config(relay);
  r.process = std::make_unique<rig::Process>(
      loop,
      std::vector<std::string>{
          "/usr/bin/env", "LD_PRELOAD=" + settings_.library,
          "ASAN_OPTIONS=verify_asan_link_order=0:" +
              std::string(getenv("ASAN_OPTIONS") == nullptr ? "" : getenv("ASAN_OPTIONS")),
          std::string(kControlFile) + "=" + r.control_file, settings_.program, "platform", "--config",
          r.config_file},
      [this, relay](const std::string& line) {
        auto& log = at(relay).log;
        if (log.size() < kMostLog) log.push_back(line);
      });
  r.ended_by_us = false, r.ready = false, r.launches++;
  // A refusal by an earlier process may not have been recorded (its folder failed), and the platform protocol
  // says of refused requests that "handing it in again is harmless": such an id is not repeated to the new
  // process.
  std::erase_if(ended_ids_, [&](const auto& id) {
    const Request& request = judge.requests.at(id);
    return request.relay == relay && request.ended_by == "answer 503";
  });
  check(relay);
}

void Fleet::check(int relay) {
  Relay& r = at(relay);
  if (!r.process) return;
  if (!r.process->running()) {
    if (!r.ended_by_us)
      judge.crashes.push_back("crash: relay " + std::to_string(relay) +
                              " exited without a signal from the test, exit code " +
                              std::to_string(r.process->exit_code()));
    r.process.reset();
    r.ready = false;
    if (std::exchange(r.start_when_gone, false)) launch_later(relay);
    return;
  }
  if (!r.ready) {
    const auto link = connect(relay);
    link->done = [this, relay](int status) {
      Relay& current = at(relay);
      if (status != 200 || !current.process) return;
      current.ready = true;
      if (current.restart > 0 && judge.restarts[current.restart - 1].ready == 0)
        judge.restarts[current.restart - 1].ready = loop::monotonic_now();
    };
    link->stream->write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  }
  loop.after(kCheckEvery, [this, relay, alive = alive_] {
    if (*alive) check(relay);
  });
}

bool Fleet::start(int relay) {
  launch(relay);
  return until([&] { return at(relay).ready; }, kReadyWithin);
}

bool Fleet::start_all() {
  for (int r = 0; r < settings_.relays; r++) launch(r);
  return until([&] { return std::all_of(relays_.begin(), relays_.end(), [](auto& r) { return r.ready; }); },
               kReadyWithin);
}

void Fleet::signalled(int relay) {
  Relay& r = at(relay);
  r.ended_by_us = true;
  // Signalled again before it was ready: from now on the time to the next start counts.
  if (r.restart > 0 && judge.restarts[r.restart - 1].ready == 0)
    judge.restarts[r.restart - 1].ready = loop::monotonic_now();
  judge.restarts.push_back({relay, loop::monotonic_now(), 0});
  r.restart = judge.restarts.size();
}

void Fleet::kill(int relay) {
  if (!at(relay).process) return;
  if (!at(relay).ended_by_us) signalled(relay);
  at(relay).process.reset();  // SIGKILL
  at(relay).ready = false;
  launch_later(relay);
}

void Fleet::kill_in_write(int relay, int bytes) {
  if (!at(relay).process || at(relay).ended_by_us) return;
  signalled(relay);
  at(relay).start_when_gone = true;
  at(relay).control->kill_in_write = bytes + 1;
}

void Fleet::launch_later(int relay) {
  loop.after(kStartAfter, [this, relay, alive = alive_] {
    if (*alive && !at(relay).process) launch(relay);
  });
}

void Fleet::terminate(int relay) {
  if (!at(relay).process || at(relay).ended_by_us) return;
  signalled(relay);
  at(relay).process->signal(SIGTERM);
  loop.after(kKillAfter, [this, relay, launch = at(relay).launches, alive = alive_] {
    if (!*alive || at(relay).launches != launch) return;  // already restarted
    at(relay).process.reset();
    at(relay).ready = false;
    launch_later(relay);
  });
}

bool Fleet::until(const std::function<bool()>& condition, Time within) {
  const Time end = loop::monotonic_now() + within;
  Time before = loop::monotonic_now();
  while (!condition()) {
    if (loop::monotonic_now() > end) return false;
    loop.run_once(kTurn);
    const Time now = loop::monotonic_now();
    judge.lag = std::max(judge.lag, now - before - kTurn);
    before = now;
  }
  return true;
}

void Fleet::run(Time span) {
  until([] { return false; }, span);
}

void Fleet::settle() {
  traffic(0);
  reply = [](const auto&, const auto&) { return Reply{}; };
  proxy_delay = [] { return Time{0}; };
  client_break = [] { return std::nullopt; };
  hedged = 0;
  discovery_up = true;
  for (auto& relay : relays_) {
    Control& c = *relay.control;
    c.write_error = c.create_error = c.allocate_error = c.rename_error = c.remove_error = c.read_error = 0;
    c.write_part = c.kill_in_write = c.accept_error = c.socket_error = c.connect_error = 0;
    c.receive_error = c.interrupt_polls = c.short_io = 0;
  }
  until([&] { return std::all_of(relays_.begin(), relays_.end(), [](auto& r) { return r.ready; }); },
        2 * kReadyWithin);
  run(std::max(settings_.safe_deadline, settings_.unsafe_deadline) + 2'500'000);
}

// ---- the platform ----

Server::Reply Fleet::discovery(const http1::Message& m) {
  if (m.target == "/v1/outcomes") {
    notices(m.body);
    return {http1::response(204, {}, {}, false)};
  }
  if (!discovery_up) return {http1::response(503, {}, {}, false), Server::Reply::Then::close};
  if (m.target == "/catalog/members") return {http1::response(200, {}, list(), false)};
  // The list never changes: a watch stays open, and a request for missed changes gets an empty answer.
  if (m.target.find("wait_ms=0") == std::string::npos) return {};
  return {http1::response(200, {}, R"({"index":1,"snapshot":false,"endpoints":[]})", false)};
}

void Fleet::notices(const std::string& body) {
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
    const auto it = judge.requests.find(value("id"));
    if (it == judge.requests.end()) continue;
    if (it->second.noticed == 0)
      it->second.noticed = now, it->second.noticed_failed = value("state") == "failed";
    if (it->second.ended > 0) continue;
    it->second.ended = now, it->second.ended_by = "notice " + value("state");
    if (it->second.delivered == 0) ended_ids_.push_back(it->first);
  }
}

Server::Reply Fleet::called(const std::string& endpoint, const http1::Message& m, int connection) {
  const Time now = loop::monotonic_now();
  std::vector<std::string> ids;
  if (m.target == "/inbox/bulk")
    ids = bulk_ids(m.body);
  else if (const auto* id = m.find("x-call-id"))
    ids.push_back(*id);
  Reply planned = reply(endpoint, ids.empty() ? std::string() : ids.front());
  if (const auto it = judge.requests.find(ids.empty() ? std::string() : ids.front());
      settings_.endpoints_know_ends && it != judge.requests.end() &&
      (it->second.ended > 0 || it->second.abandoned))
    planned = {Reply::What::over};
  using Kind = Reply::What;
  const bool ran = planned.what != Kind::refuse && planned.what != Kind::told_wait &&
                   planned.what != Kind::over && planned.what != Kind::exhausted;
  if (m.target == "/inbox" && m.body != settings_.body)
    judge.crashes.push_back("another request's body was sent under the id " + ids.front());
  for (const auto& id : ids)
    if (const auto it = judge.requests.find(id); it != judge.requests.end())
      it->second.calls.push_back({now, endpoint, ran});
  Server& server = *endpoints_.at(endpoint).server;
  loop.after(planned.after, [this, &server, planned, ids, endpoint, connection, alive = alive_] {
    if (!*alive || !server.has(connection)) return;
    switch (planned.what) {
      case Reply::What::hang:
        return;
      case Reply::What::reset:
        return server.reset(connection);
      case Reply::What::refuse:
        return server.write(connection, http1::response(503, {}, {}, false));
      case Reply::What::told_wait:
        if (const auto it = judge.requests.find(ids.front()); it != judge.requests.end()) {
          const Time told_at = loop::monotonic_now();
          judge.waits.push_back({endpoint, it->second.relay, told_at, told_at + planned.wait});
        }
        return server.write(
            connection,
            http1::response(429, {{"Retry-After", http1::seconds_text(planned.wait)}}, {}, false));
      case Reply::What::error:
        return server.write(connection, http1::response(500, {}, {}, false));
      case Reply::What::over:
      case Reply::What::exhausted: {
        const auto it = judge.requests.find(ids.front());
        if (it != judge.requests.end() && it->second.said_over == 0)
          it->second.said_over = loop::monotonic_now();
        const int status = planned.what == Reply::What::over ? 410 : 504;
        return server.write(connection, http1::response(status, {}, {}, false));
      }
      case Reply::What::ok:
        break;
    }
    std::string body;
    for (const auto& id : ids) body += ids.size() > 1 ? id + " ok\r\n" : "";
    server.write(connection, http1::response(200, {}, body, false));
    for (const auto& id : ids)
      if (const auto it = judge.requests.find(id); it != judge.requests.end() && it->second.delivered == 0)
        it->second.delivered = loop::monotonic_now();
  });
  return {};
}

// ---- clients ----

Fleet::ClientLinkPtr Fleet::connect(int relay) {
  auto link = std::make_shared<ClientLink>();
  const std::weak_ptr<ClientLink> weak = link;
  link->stream = std::make_unique<net::TcpStream>(
      loop, net::Address::parse(at(relay).listen), kClientWaits,
      net::Stream::Handlers{.connected = {},
                            .data =
                                [this, relay, weak](std::string_view bytes) {
                                  const auto l = weak.lock();
                                  if (!l) return;
                                  l->reader.take(bytes);
                                  if (l->reader.state() == http1::Reader::State::complete) answered(relay, l);
                                },
                            .drained = {},
                            .closed =
                                [this, relay, weak](const std::string& why) {
                                  if (const auto l = weak.lock()) lost(relay, l, why);
                                }});
  at(relay).busy[link.get()] = link;
  return link;
}

void Fleet::write(int relay, const ClientLinkPtr& link, const std::string& id) {
  Request& request = judge.requests.at(id);
  request.copies++;
  const Time left = std::max<Time>(1'000, request.deadline - loop::monotonic_now());
  link->id = id, link->requests++;
  link->stream->write(http1::request("POST", request.repeatable ? "/status" : "/order", "backend.local",
                                     {{"X-Call-Id", id},
                                      {"X-Caller", "acme"},
                                      {"X-Budget", http1::seconds_text(left)},
                                      {"X-Route-To", "dest=" + std::to_string(request.destination)}},
                                     settings_.body));
  link->timer = loop.after(kClientWaits, [this, relay, link] {
    link->timer = 0;
    Request& late = judge.requests.at(link->id);
    late.abandoned = late.answers.empty();
    link->id.clear();
    release(relay, link);
  });
  if (const auto after = client_break())
    loop.after(*after, [this, id, weak = std::weak_ptr(link), relay, alive = alive_] {
      const auto l = weak.lock();
      if (!*alive || !l || l->id != id) return;
      l->stream->close(true);
      lost(relay, l, "reset by a fault");
    });
}

std::string Fleet::hand_in(int relay, bool repeatable, int destination, const std::string& id) {
  Request request;
  request.id = id.empty() ? "m-" + std::to_string(next_id_++) : id;
  request.repeatable = repeatable, request.relay = relay, request.destination = kFirstGroup + destination;
  request.handed_in = loop::monotonic_now();
  request.deadline = request.handed_in + (repeatable ? settings_.safe_deadline : settings_.unsafe_deadline);
  judge.requests[request.id] = request;
  ClientLinkPtr link;
  Relay& r = at(relay);
  if (!r.idle.empty()) {
    link = r.idle.back();
    r.idle.pop_back();
    r.busy[link.get()] = link;
  } else {
    link = connect(relay);
  }
  write(relay, link, request.id);
  if (std::uniform_real_distribution<>()(random) < hedged) write(relay, connect(relay), request.id);
  recent_ids_.push_back(request.id);
  if (recent_ids_.size() > kMostRecent) recent_ids_.erase(recent_ids_.begin());
  return request.id;
}

void Fleet::repeat(const std::string& id) {
  const int relay = judge.requests.at(id).relay;
  if (!running(relay)) return;
  const auto link = connect(relay);
  link->once = true;
  write(relay, link, id);
}

void Fleet::repeat_a_recent_one(int relay) {
  if (recent_ids_.empty()) return;
  const auto id = recent_ids_[random() % recent_ids_.size()];
  const Request& request = judge.requests.at(id);
  // Refused ids are not repeated: an earlier process's refusal may not be on record (see launch()).
  const bool refused = std::any_of(request.answers.begin(), request.answers.end(),
                                   [](const Answer& answer) { return answer.refuses(); });
  if (request.relay == relay && !refused) repeat(id);
}

void Fleet::misuse_the_id_of(const std::string& id, std::function<void(int)> on_status) {
  const Request& request = judge.requests.at(id);
  if (!request.accepted() || !running(request.relay)) return on_status(0);
  const auto link = connect(request.relay);
  link->done = std::move(on_status), link->once = true;
  link->stream->write(http1::request("POST", request.repeatable ? "/status" : "/order", "backend.local",
                                     {{"X-Call-Id", id},
                                      {"X-Caller", "acme"},
                                      {"X-Budget", "1.0"},
                                      {"X-Route-To", "dest=" + std::to_string(request.destination)},
                                      {"Connection", "close"}},
                                     settings_.body + ", of another"));
}

void Fleet::misuse_a_recent_id(int relay) {
  if (recent_ids_.empty()) return;
  const auto id = recent_ids_[random() % recent_ids_.size()];
  if (judge.requests.at(id).relay == relay) misuse_the_id_of(id);
}

void Fleet::deafen(const std::string& endpoint, bool paused) {
  endpoints_.at(endpoint).server->deafen(paused);
}

void Fleet::answered(int relay, const ClientLinkPtr& link) {
  const int status = link->reader.message().status;
  const bool close = link->reader.message().close;
  link->reader.next();
  if (link->done) {
    std::exchange(link->done, nullptr)(status);
    if (close) release(relay, link);
    return;
  }
  const auto it = judge.requests.find(link->id);
  loop.cancel(link->timer), link->timer = 0;
  link->id.clear();
  if (it != judge.requests.end()) {
    Request& request = it->second;
    const Answer answer{loop::monotonic_now(), status};
    if (request.status == 0) request.status = status;
    request.answers.push_back(answer);
    if (!answer.accepts() && request.ended == 0) {
      request.ended = answer.at, request.ended_by = "answer " + std::to_string(status);
      if (answer.refuses()) ended_ids_.push_back(request.id);
    }
  }
  if (close || link->once) return release(relay, link);
  at(relay).busy.erase(link.get());
  at(relay).idle.push_back(link);
}

// A request whose connection closes without an answer is sent once more on a new connection: the client
// cannot tell whether the relay has read it.
void Fleet::lost(int relay, const ClientLinkPtr& link, const std::string&) {
  std::erase(at(relay).idle, link);
  std::erase(at(relay).crowd, link);
  at(relay).busy.erase(link.get());
  loop.cancel(link->timer), link->timer = 0;
  if (link->done) return std::exchange(link->done, nullptr)(0);
  if (link->id.empty()) return;
  const auto id = std::exchange(link->id, {});
  send_once_more(id);
}

// Sends a second copy at once or, while the relay is not ready, when it is ready again.
void Fleet::send_once_more(const std::string& id) {
  Request& request = judge.requests.at(id);
  if (request.copies > 1 || loop::monotonic_now() > request.deadline) {
    request.abandoned = request.answers.empty();
    return;
  }
  Relay& r = at(request.relay);
  if (r.process && r.process->running() && r.ready) return write(request.relay, connect(request.relay), id);
  loop.after(kCheckEvery, [this, id, alive = alive_] {
    if (*alive) send_once_more(id);
  });
}

void Fleet::release(int relay, const ClientLinkPtr& link) {
  link->stream->close();
  at(relay).busy.erase(link.get());
  loop.defer([link] {});
}

void Fleet::traffic(double per_second, double unsafe_share) {
  per_second_ = per_second, unsafe_share_ = unsafe_share, traffic_run_++;
  if (per_second <= 0) return;
  for (int r = 0; r < settings_.relays; r++) next_request(r);
}

void Fleet::next_request(int relay) {
  const auto run = traffic_run_;
  const double gap = std::exponential_distribution<double>(per_second_)(random);
  loop.after(static_cast<Time>(gap * 1e6) + 1, [this, relay, run, alive = alive_] {
    if (!*alive || run != traffic_run_) return;
    // New connections go to ready relays only; clients keep using the connections that they have.
    Relay& r = at(relay);
    if (r.process && (r.ready || !r.idle.empty()))
      hand_in(relay, std::uniform_real_distribution<>()(random) >= unsafe_share_,
              static_cast<int>(random() % static_cast<std::uint64_t>(settings_.destinations)));
    next_request(relay);
  });
}

void Fleet::crowd(int relay, int connections) {
  for (int i = 0; i < connections; i++) {
    const auto link = connect(relay);
    at(relay).busy.erase(link.get());
    at(relay).crowd.push_back(link);
    link->done = [](int) {};
    if (i % 2 == 0) link->stream->write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}

void Fleet::repeat_an_ended_id(int relay) {
  if (ended_ids_.empty()) return;
  const auto id = ended_ids_[random() % ended_ids_.size()];
  const Request& request = judge.requests.at(id);
  if (request.relay != relay) return;
  repeat(id);
}

std::string Fleet::end_of(const std::string& id) const {
  const Request& request = judge.requests.at(id);
  if (request.delivered > 0) return "delivered";
  return request.ended_by;
}

bool Fleet::logged(int relay, const std::string& text) const {
  const auto& lines = log(relay);
  return std::any_of(lines.begin(), lines.end(),
                     [&](const auto& line) { return line.find(text) != std::string::npos; });
}

}  // namespace cedarplank::testing::faults
