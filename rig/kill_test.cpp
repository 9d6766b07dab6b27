#include "rig/kill_test.hpp"

#include <fmt/core.h>
#include <signal.h>
#include <stdlib.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <stdexcept>

#include "config/partners.hpp"
#include "rig/client_protocol.hpp"
#include "rig/process.hpp"
#include "standin/server.hpp"

namespace cedarplank::rig {
namespace {

constexpr Time kMs = 1'000, kS = 1'000'000;
constexpr Time kSettle = 250 * kMs;  // calls that left before a partner's answer arrived may still come in
constexpr Time kTtl = 20 * kS;       // time to live of each message

struct Message {
  std::string id, destination, message_class;
  std::string final;  // status of the final answer; empty: none yet
  Time final_at = 0;
  int final_run = 0;  // run of the relay that gave it
  std::uint32_t stream = 0;
  Time not_before = 0;  // earliest time to send it again
  int effects = 0;
  bool unsafe = false;
};

class KillTest {
 public:
  explicit KillTest(const KillTestOptions& options) : options_(options), random_(options.seed) {
    if (options_.folder.empty()) {
      std::string name = (std::filesystem::temp_directory_path() / "cedarplank-kills-XXXXXX").string();
      if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder can be made");
      folder_ = name, own_folder_ = true;
    } else {
      folder_ = options_.folder;
      std::filesystem::create_directories(folder_);
    }
    // Two destinations that don't drop repeats, and one that does so by key.
    add("bank", 2, 0), add("cellar", 1, 0), add("board", 2, 60 * kS);
    write_settings();
  }
  ~KillTest() {
    relay_.reset(), stream_.reset(), destinations_.clear();
    std::error_code ignored;
    if (own_folder_) std::filesystem::remove_all(folder_, ignored);
  }

  KillTestResult run() {
    start_relay();
    start_random_fault();
    while (result_.kills < options_.kills) {
      // Mostly short, so that kills also hit starts and recoveries; now and then long enough for a backlog.
      const Time until = loop_.refresh_now() + (below(8) == 0 ? between(300, 1'200) : between(1, 120)) * kMs;
      while (loop_.refresh_now() < until) run_step();
      relay_->signal(SIGKILL);
      while (relay_->running()) loop_.run_once(kMs);
      // Reads what is still in the sockets: the relay sent it before the kill.
      for (int i = 0; i < 3; i++) loop_.run_once(0);
      stream_.reset(), protocol_.reset();
      loop_.refresh_now();
      result_.kills++, killed_at_.push_back(loop_.now());
      if (!options_.quiet && result_.kills % 100 == 0)
        std::fprintf(stderr, "%d kills, %zu messages\n", result_.kills, messages_.size());
      forget_streams();
      start_relay();
    }
    sending_ = false;
    const Time until = loop_.refresh_now() + 2 * kTtl;
    while (unanswered_ > 0 && loop_.refresh_now() < until) run_step();
    relay_->signal(SIGTERM);
    const Time stop = loop_.refresh_now() + 20 * kS;
    while (relay_->running() && loop_.refresh_now() < stop) loop_.run_once(5 * kMs);
    check_results();
    return std::move(result_);
  }

 private:
  std::uint32_t below(std::uint32_t n) { return random_(n); }
  Time between(Time from, Time to) { return from + below(static_cast<std::uint32_t>(to - from + 1)); }

  void add(const std::string& name, int n, Time key_window) {
    standin::DestinationSettings d;
    d.name = name, d.key_window = key_window;
    d.capacity.servers = 16, d.capacity.service = 4 * kMs, d.capacity.queue = 200, d.capacity.tells_wait = 0;
    for (int i = 0; i < n; i++) {
      standin::EndpointSettings e;
      e.id = name + "-" + std::to_string(i + 1);
      d.endpoints.push_back(e);
    }
    destinations_.push_back(std::make_unique<standin::Destination>(
        loop_, d, [this](record::CaptureRecord&& r) { frame(r); },
        [this](const standin::Effect& e) { effect(e); }, destinations_.size() + options_.seed));
  }

  void write_settings() {
    config::PartnerList list;
    list.version = 1;
    for (const auto& d : destinations_)
      for (const auto& e : d->endpoints()) {
        config::PartnerEndpoint p;
        p.id = e->id(), p.destination = d->settings().name, p.address = e->address(), p.path = "/push";
        list.endpoints.push_back(p);
      }
    config::Names names;
    names.kinds = {"plain"};
    std::ofstream(folder_ + "/partners.yaml") << config::write_partners(list, names);
    std::ofstream relay(folder_ + "/relay.yaml");
    relay << fmt::format(R"(relay: {{name: relay-0, listen: "127.0.0.1:0", seed: {}}}
partners: {{file: partners.yaml}}
journal: {{folder: journal, sync: {}, disk: {}B, segment: {}B, answers_for: 1h}}
classes:
  - {{name: status, aim: 2s, deadline: 20s, effect: safe}}
  - {{name: pay, worth: 3, late_worth: 0.5, aim: 2s, deadline: 20s, effect: unsafe}}
  - {{name: notice, aim: 2s, deadline: 20s, effect: keyed, key_window: 50s}}
kinds: [{{name: plain}}]
dispatcher: {{slots: 100, open_max: 1000, tick: 1ms, connect_timeout: 300ms, connection_idle: 5s, retry_after_max: 4s, drain_grace: 100ms, overload_for: 2s, cold: 1s}}
)",
                         options_.seed, options_.journal_sync, options_.journal_disk_bytes,
                         options_.journal_disk_bytes / 8);
  }

  void start_relay() {
    run_++, address_.clear();
    auto command = options_.relay_command;
    command.push_back("--config"), command.push_back(folder_ + "/relay.yaml");
    relay_ = std::make_unique<Process>(loop_, command, [this](const std::string& line) {
      const auto word = [&](const std::string& key) -> std::string {
        const auto at = line.find("\"" + key + "\":\"");
        if (at == std::string::npos) return {};
        const auto begin = at + key.size() + 4;
        return line.substr(begin, line.find('"', begin) - begin);
      };
      last_line_ = line;
      if (line.find("\"ready\"") != std::string::npos) connect(word("listen"));
      const auto held = line.find(" messages held");
      if (held != std::string::npos) {
        const auto from = line.rfind(' ', held - 1);
        result_.recovered += std::strtoull(line.c_str() + from + 1, nullptr, 10);
      }
    });
  }

  void connect(const std::string& address) {
    address_ = address;
    protocol_ = make_http2_client_protocol("relay");
    stream_ = std::make_unique<net::TcpStream>(
        loop_, net::Address::parse(address), 5 * kS,
        net::Stream::Handlers{.connected = [this] { protocol_->connected(loop_.now()), flush(); },
                              .data = [this](std::string_view bytes) { receive(bytes); },
                              .drained = {},
                              .closed = [this](const std::string&) { forget_streams(); }});
  }
  void flush() {
    if (!stream_ || !protocol_) return;
    auto out = protocol_->take_output();
    if (!out.empty()) stream_->write(std::move(out));
  }
  void forget_streams() {
    by_stream_.clear();
    for (auto& m : messages_) m->stream = 0;
  }

  void receive(std::string_view bytes) {
    std::vector<ClientEvent> events;
    protocol_->receive(loop_.now(), bytes, events);
    for (const auto& h : events) {
      const auto it = by_stream_.find(h.stream);
      if (it == by_stream_.end()) continue;
      Message& m = *it->second;
      by_stream_.erase(it);
      m.stream = 0;
      if (h.type == ClientEvent::Type::not_accepted) continue;
      if (h.status == "409") {
        m.not_before = loop_.now() + 20 * kMs;
        continue;
      }
      m.final = h.status, m.final_at = loop_.now(), m.final_run = run_;
      unanswered_--;
      if (h.status == "201")
        result_.served++;
      else if (h.status == "503")
        result_.refused++;
      else if (h.status == "502" || h.status == "504")
        result_.failed++;
      else
        violated(m, "answered " + h.status);
    }
    flush();
  }

  void run_step() {
    const Time now = loop_.refresh_now();
    if (stream_ && protocol_ && protocol_->ready()) {
      for (auto& m : messages_) {
        if (!m->final.empty() || m->stream != 0 || m->not_before > now || !protocol_->can_push()) continue;
        result_.resent++;
        push(*m);
      }
      while (sending_ && unanswered_ < options_.max_outstanding && protocol_->can_push()) {
        auto m = std::make_unique<Message>();
        const auto kind = below(4);
        m->id = "m" + std::to_string(result_.messages++);
        m->unsafe = kind >= 2;
        m->message_class = kind == 0 ? "status" : kind == 1 ? "notice" : "pay";
        m->destination = kind == 1 ? "board" : below(3) == 0 ? "cellar" : "bank";
        unanswered_++;
        by_id_[m->id] = m.get();
        push(*m);
        messages_.push_back(std::move(m));
      }
      flush();
    }
    if (now >= next_fault_at_) start_random_fault();
    // Answered messages aren't scanned any more.
    if (messages_.size() > 4 * static_cast<std::size_t>(options_.max_outstanding)) {
      std::vector<std::unique_ptr<Message>> open;
      for (auto& m : messages_) (m->final.empty() ? open : done_).push_back(std::move(m));
      messages_.swap(open);
    }
    loop_.run_once(kMs);
    if (!relay_->running())
      throw std::runtime_error("the relay ended by itself, with code " + std::to_string(relay_->exit_code()) +
                               ": " + last_line_);
  }

  void push(Message& m) {
    Push p;
    p.path = "/push/" + m.destination + "/" + m.message_class;
    p.destination = m.destination, p.message_class = m.message_class, p.key = m.id;
    p.body = "id=" + m.id + ";class=" + m.message_class + ";", p.ttl = kTtl;
    m.stream = protocol_->push(loop_.now(), p);
    by_stream_[m.stream] = &m;
  }

  // Starts a random fault at a random endpoint, at most one at a time there, and plans the next.
  void start_random_fault() {
    using standin::Fault;
    static constexpr Fault kFaults[] = {Fault::drop_after_take,
                                        Fault::answer_lost,
                                        Fault::hang_reset,
                                        Fault::silent,
                                        Fault::errors,
                                        Fault::shut,
                                        Fault::refused_stream,
                                        Fault::goaway,
                                        Fault::down,
                                        Fault::slow,
                                        Fault::drop_after_take,
                                        Fault::shut};
    const Time now = loop_.now();
    next_fault_at_ = now + between(40, 250) * kMs;
    if (!sending_) return;
    auto& d = *destinations_[below(static_cast<std::uint32_t>(destinations_.size()))];
    auto& e = d.endpoints()[below(static_cast<std::uint32_t>(d.endpoints().size()))];
    if (!faulty_.insert(e->id()).second) return;
    standin::FaultSettings f;
    f.fault = kFaults[below(std::size(kFaults))];
    f.share = 0.5, f.times = 8, f.after = 50 * kMs;
    if (f.fault == Fault::shut) f.wait = 2 * kS;
    e->begin(f);
    auto* endpoint = e.get();
    loop_.after(between(30, 500) * kMs, [this, endpoint, fault = f.fault] {
      endpoint->end(fault);
      faulty_.erase(endpoint->id());
    });
  }

  // ---- Events at the partners ----
  void frame(const record::CaptureRecord& r) {
    if (r.what != "HEADERS") return;
    const std::string destination = r.place.substr(0, r.place.rfind('-'));
    if (r.sent) {
      const auto wait = r.fields.find("retry-after");
      if (wait == r.fields.end()) return;
      result_.told_waits++;
      told_waits_[destination].push_back({r.at, r.at + std::stoll(wait->second) * kS});
      return;
    }
    const auto key = r.fields.find("idempotency-key");
    if (key == r.fields.end()) return;
    result_.attempts++;
    const auto it = by_id_.find(key->second);
    if (it == by_id_.end()) return;
    const Message& m = *it->second;
    if (!m.final.empty() && (m.final_run < run_ || r.at > m.final_at + kSettle))
      violated(m, "rule 1: sent after its final answer " + m.final);
    for (const auto& [from, until] : told_waits_[destination]) {
      if (r.at < from + kSettle || r.at >= until - kMs) continue;
      // A kill so soon after the wait was sent may have come before the wait was durable.
      bool lost = false;
      for (const Time k : killed_at_) lost = lost || (k >= from && k < from + kSettle);
      if (!lost) violated(m, "rule 6: sent to " + r.place + " within a wait that was told");
    }
  }
  void effect(const standin::Effect& e) {
    const auto it = by_id_.find(e.message);
    if (it != by_id_.end()) it->second->effects++;
  }

  void check_results() {
    for (auto& m : messages_) done_.push_back(std::move(m));
    for (const auto& m : done_) {
      if (m->final.empty()) {
        result_.unanswered++;
        violated(*m, "rule 1: no final answer");
      }
      if (m->unsafe && m->effects > 1)
        violated(*m, "rule 2: took effect " + std::to_string(m->effects) + " times");
      if (m->message_class == "notice" && m->effects > 1)
        violated(*m, "rule 2: a keyed one took effect twice");
      if (m->unsafe && m->final == "503" && m->effects > 0) violated(*m, "rule 2: refused, and took effect");
      if (m->final == "201" && m->effects == 0) violated(*m, "served, and never took effect");
    }
  }
  void violated(const Message& m, const std::string& why) {
    if (result_.violations.size() < 20)
      result_.violations.push_back(m.id + " (" + m.message_class + ", run " + std::to_string(run_) +
                                   "): " + why);
  }

  const KillTestOptions options_;
  pcg32 random_;
  loop::Loop loop_;
  std::string folder_, address_, last_line_;
  bool own_folder_ = false, sending_ = true;
  std::vector<std::unique_ptr<standin::Destination>> destinations_;
  std::unique_ptr<Process> relay_;
  std::unique_ptr<ClientProtocol> protocol_;
  std::unique_ptr<net::Stream> stream_;
  std::vector<std::unique_ptr<Message>> messages_, done_;
  std::map<std::string, Message*> by_id_;
  std::map<std::uint32_t, Message*> by_stream_;
  std::map<std::string, std::vector<std::pair<Time, Time>>> told_waits_;  // from, until; by destination
  std::vector<Time> killed_at_;
  std::set<std::string> faulty_;
  int unanswered_ = 0, run_ = 0;
  Time next_fault_at_ = 0;
  KillTestResult result_;
};

}  // namespace

std::string KillTestResult::table() const {
  std::string text = fmt::format(
      "kills {}  messages {}  served {}  refused {}  failed {}  asked again {}  attempts at partners {}\n"
      "waits told {}  messages that a start found held {}  unanswered {}  rules broken {}\n",
      kills, messages, served, refused, failed, resent, attempts, told_waits, recovered, unanswered,
      violations.size());
  for (const auto& b : violations) text += "  " + b + "\n";
  return text;
}

KillTestResult run_kill_test(const KillTestOptions& options) { return KillTest(options).run(); }

}  // namespace cedarplank::rig
