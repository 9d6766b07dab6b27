// Runs the same messages through the linked engine, the daemon's HTTP/2 server and the daemon's SMPP server,
// with push gateways and with message centres as partners, and compares the final answers message by message.
// All runs use the same scripts and seed, and simulated endpoints (stand-ins).
//
// So that timing causes no differences, each case has its own destination, whose stand-in answers that
// message's calls in the order of its script.
#include <signal.h>

#include <cstdlib>

#include "cedarplank/delivery.hpp"
#include "esme.hpp"
#include "rig/process.hpp"
#include "standin_thread.hpp"

namespace cedarplank::testing {
namespace {

struct Case {
  std::string name, message_class, script, kind;
  Time ttl = 20 * kS;
  bool by_exit = false;  // ended by the drain's deadline, so the number of attempts depends on time
  std::string key = {}, topic = {}, destination = {};  // destination: instead of the case's own
  std::size_t body = 0;
};

struct Result {
  std::string final;  // served, refused, failed, rejected
  int attempts = -1;  // not for served ones
  int effects = 0;
  std::string detail;
  bool operator==(const Result& o) const {
    return final == o.final && attempts == o.attempts && effects == o.effects && detail == o.detail;
  }
};
std::ostream& operator<<(std::ostream& out, const Result& r) {
  return out << r.final << ", " << r.attempts << " attempts, " << r.effects << " effects, '" << r.detail
             << "'";
}

std::vector<Case> cases() {
  std::vector<Case> all;
  const char* scripts[] = {"201",         "429 201",        "refuse 201",  "503 201", "500 201", "drop 201",
                           "429 429 201", "refuse 429 201", "429 500 201", "429",     "refuse",  "500",
                           "drop",        "429 drop",       "503",         "404"};
  for (const char* cls : {"status", "pay", "notice", "gate"}) {
    for (const char* script : scripts)
      all.push_back({std::string(cls) + ": " + script, cls, script, "plain"});
    all.push_back({std::string(cls) + ": unseen 503 201", cls, "503 201", "unseen"});
    all.push_back({std::string(cls) + ": silent, 2 s", cls, "silent", "plain", 2 * kS});
    all.push_back(
        {std::string(cls) + ": no destination", cls, "201", "plain", 20 * kS, false, "", "", "nowhere"});
    all.push_back(
        {std::string(cls) + ": too large", cls, "201", "plain", 20 * kS, false, "", "", "", 100'000});
  }
  all.push_back({"no class", "other", "201", "plain"});
  all.push_back({"wrong topic", "gate", "201", "plain", 20 * kS, false, "k", "not base64url!"});
  all.push_back({"long key", "notice", "201", "plain", 20 * kS, false, std::string(300, 'k')});
  return all;
}
// Cases whose messages are still held at the drain's deadline.
std::vector<Case> exit_cases() {
  std::vector<Case> all;
  for (const char* cls : {"status", "pay", "notice", "gate"})
    for (const char* script : {"201", "silent", "429", "refuse", "500 silent", "429 silent"})
      all.push_back({std::string(cls) + ", drained: " + script, cls, script, "plain", 20 * kS, true});
  return all;
}

// The stand-ins for a list of cases, and the fields of each case's message.
struct Prepared {
  StandinThread standins;
  const std::vector<Case>& list;
  explicit Prepared(const std::vector<Case>& l, bool centres = false) : standins(centres), list(l) {
    for (std::size_t i = 0; i < list.size(); i++) {
      // A told wait keeps any attempt from being out at the drain's deadline. Without it, timing decides
      // whether one is out, and so whether the message is refused or its effect unknown.
      standins.tells_wait = list[i].by_exit && list[i].script == "429" ? 10 * kS : 0;
      standins.add(own(i), list[i].script, list[i].kind);
    }
    standins.start();
  }
  // The case's own destination.
  static std::string own(std::size_t i) { return "c" + std::to_string(i); }
  std::string destination(std::size_t i) const {
    return list[i].destination.empty() ? own(i) : list[i].destination;
  }
  std::string body(std::size_t i) const {
    std::string b = "id=m" + std::to_string(i) + ";";
    b.resize(std::max(b.size(), list[i].body), 'x');
    return b;
  }
  std::string key(std::size_t i) const {
    const bool keyed = list[i].message_class == "notice" || list[i].message_class == "gate";
    return !list[i].key.empty() ? list[i].key : keyed ? "k" + std::to_string(i) : "";
  }
  // Adds the effects that the stand-ins counted, and clears what isn't compared.
  void finish(std::vector<Result>& results) {
    for (std::size_t i = 0; i < list.size(); i++) {
      results[i].effects = standins.effects(own(i) + "/m" + std::to_string(i));
      if (list[i].by_exit || results[i].final == "served" || results[i].final == "rejected")
        results[i].attempts = -1, results[i].detail = "";
    }
  }
};

std::vector<Result> linked(const std::vector<Case>& list, Time drain_after, bool centres = false) {
  Prepared p(list, centres);
  auto engine = delivery::Engine::open(p.standins.settings_file());
  std::vector<Result> results(list.size());
  std::vector<std::future<delivery::Answer>> futures;
  for (std::size_t i = 0; i < list.size(); i++) {
    delivery::Message m;
    m.destination = p.destination(i), m.message_class = list[i].message_class, m.time_to_live = list[i].ttl;
    m.idempotency_key = p.key(i), m.topic = list[i].topic, m.body = p.body(i);
    futures.push_back(engine->submit_future(std::move(m)));
  }
  if (drain_after > 0) {
    std::this_thread::sleep_for(std::chrono::microseconds(drain_after));
    engine->drain(400 * kMs);
  }
  static constexpr const char* kFinals[] = {"served", "refused", "failed", "withdrawn", "rejected"};
  for (std::size_t i = 0; i < list.size(); i++) {
    const auto a = futures[i].get();
    results[i] = {kFinals[static_cast<int>(a.final)], a.attempts, 0, a.detail};
  }
  p.finish(results);
  return results;
}

std::vector<Result> daemon(const std::vector<Case>& list, Time drain_after,
                           const std::vector<std::string>& program) {
  Prepared p(list);
  loop::Loop loop;
  std::string address;
  auto command = program;
  command.insert(command.end(), {"--config", p.standins.settings_file()});
  rig::Process relay(loop, command, [&](const std::string& line) {
    const auto at = line.find("\"listen\":\"");
    if (address.empty() && at != std::string::npos)
      address = line.substr(at + 10, line.find('"', at + 10) - at - 10);
  });
  std::vector<Result> results(list.size());
  run_until(loop, [&] { return !address.empty(); });
  Client c(loop, address);
  std::map<http2::StreamId, std::size_t> streams;
  for (std::size_t i = 0; i < list.size(); i++) {
    http2::Headers more = {{"ttl", std::to_string(list[i].ttl / kS)}};
    if (!p.key(i).empty()) more.push_back({"idempotency-key", p.key(i)});
    if (!list[i].topic.empty()) more.push_back({"topic", list[i].topic});
    streams[c.push("/push/" + p.destination(i) + "/" + list[i].message_class, p.body(i), more)] = i;
  }
  if (drain_after > 0) {
    run_for(loop, drain_after);
    relay.signal(SIGTERM);
  }
  run_until(loop, [&] { return c.answers.size() == list.size(); });
  for (const auto& [stream, i] : streams) {
    EXPECT_EQ(c.answers[stream], 1) << list[i].name;
    const auto status = c.status(stream);
    Result& r = results[i];
    r.final = status == "201"                      ? "served"
              : status == "503"                    ? "refused"
              : status == "502" || status == "504" ? "failed"
                                                   : "rejected";
    const auto& body = c.bodies[stream];
    const auto field = [&](const std::string& key) {
      const auto at = body.find("\"" + key + "\":");
      if (at == std::string::npos) return std::string();
      const auto from = at + key.size() + 3;
      return body[from] == '"' ? body.substr(from + 1, body.find('"', from + 1) - from - 1)
                               : body.substr(from, body.find_first_of(",}", from) - from);
    };
    r.attempts = field("attempts").empty() ? -1 : std::atoi(field("attempts").c_str());
    r.detail = field("last_outcome") == "never sent" ? "" : field("last_outcome");
  }
  if (drain_after == 0) relay.signal(SIGTERM);  // a second one would stop it at once
  run_until(loop, [&] { return !relay.running(); });
  EXPECT_EQ(relay.exit_code(), 0);
  p.finish(results);
  return results;
}

// The daemon through its SMPP server: the final answer is the one that submit_sm_resp or the receipt gives.
std::vector<Result> by_smpp(const std::vector<Case>& list, Time drain_after, bool centres) {
  Prepared p(list, centres);
  loop::Loop loop;
  std::string address;
  rig::Process relay(loop, {PROGRAM, "relay", "--config", p.standins.settings_file()},
                     [&](const std::string& line) {
                       const auto at = line.find("\"smpp\":\"");
                       if (address.empty() && at != std::string::npos)
                         address = line.substr(at + 8, line.find('"', at + 8) - at - 8);
                     });
  run_until(loop, [&] { return !address.empty(); });
  Esme e(loop, address);
  run_until(loop, [&] { return e.session.bound(); });
  std::vector<Result> results(list.size());
  std::map<std::uint32_t, std::size_t> sent;
  for (std::size_t i = 0; i < list.size(); i++) {
    const auto& cls = list[i].message_class;
    auto m = Esme::message(p.destination(i),
                           cls == "pay"      ? "PAY"
                           : cls == "notice" ? "KEY"
                           : cls == "gate"   ? "ORD"
                           : cls == "status" ? ""
                                             : "XYZ",
                           "");
    m.validity = sms::format_relative_time(list[i].ttl);
    m.tlvs.push_back({smpp::tag::message_payload, p.body(i)});
    if (!p.key(i).empty()) m.tlvs.push_back({sms::own::key, p.key(i)});
    if (!list[i].topic.empty()) m.tlvs.push_back({sms::own::topic, list[i].topic});
    results[i].final = "rejected";
    try {
      sent[e.submit(std::move(m))] = i;
    } catch (const std::invalid_argument&) {  // SMPP can't carry more than 64 KiB
      EXPECT_GT(list[i].body, 65'535u);
    }
  }
  run_until(loop, [&] { return e.responses.size() == sent.size(); });
  if (drain_after > 0) {
    run_for(loop, drain_after);
    relay.signal(SIGTERM);
  }
  std::size_t accepted = 0;
  for (const auto& [n, i] : sent) accepted += e.status(n) == smpp::status::ok;
  run_until(loop, [&] { return e.receipts.size() == accepted; });
  for (const auto& [n, i] : sent) {
    if (e.status(n) != smpp::status::ok) continue;
    const int state = e.receipt_state(n);
    EXPECT_GT(state, 0) << list[i].name << ": one receipt each";
    results[i].final = state == sms::kDelivered ? "served" : state == sms::kRejected ? "refused" : "failed";
  }
  if (drain_after == 0) relay.signal(SIGTERM);
  run_until(loop, [&] { return !relay.running(); });
  EXPECT_EQ(relay.exit_code(), 0);
  p.finish(results);
  return results;
}

// Receipts don't carry the number of attempts, and their details are worded differently.
std::vector<Result> only_final(std::vector<Result> results) {
  for (auto& r : results) r.attempts = -1, r.detail = "";
  return results;
}

std::size_t differences(const std::vector<Case>& list, const std::vector<Result>& a,
                        const std::vector<Result>& b, bool report) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < list.size(); i++) {
    if (a[i] == b[i]) continue;
    n++;
    if (report) ADD_FAILURE() << list[i].name << "\n  linked: " << a[i] << "\n  daemon: " << b[i];
  }
  return n;
}

// Checks that the results keep the rules, independently of the other runs.
void check_rules(const std::vector<Case>& list, const std::vector<Result>& results) {
  for (std::size_t i = 0; i < list.size(); i++) {
    const auto& [c, r] = std::pair(list[i], results[i]);
    if (c.message_class == "pay") {
      EXPECT_LE(r.effects, 1) << c.name;  // rule 2
      if (r.final == "refused") {
        EXPECT_EQ(r.effects, 0) << c.name;
      }
      const bool doubt = c.script.find("500") == 0 || c.script.find("drop") == 0 || c.script == "silent" ||
                         (c.script == "503 201" && c.kind == "plain");
      if (doubt && r.final != "rejected") {
        EXPECT_EQ(r.final, "failed") << c.name;
      }
    }
    if (r.final == "served") {
      EXPECT_GE(r.effects, 1) << c.name;
    }
    if (c.script == "201" && r.final != "rejected") {
      EXPECT_EQ(r.final, "served") << c.name;
    }
  }
}

const std::vector<std::string> kDaemon = {PROGRAM, "relay"};

TEST(Conformance, BothFormsGiveTheSameFinalAnswers) {
  const auto list = cases();
  EXPECT_GE(list.size(), 60u);
  const auto a = linked(list, 0), b = daemon(list, 0, kDaemon);
  check_rules(list, a), check_rules(list, b);
  EXPECT_EQ(differences(list, a, b, true), 0u);
}

TEST(Conformance, BothFormsEndWhatIsHeldInTheSameWay) {
  const auto list = exit_cases();
  const auto a = linked(list, 500 * kMs), b = daemon(list, 500 * kMs, kDaemon);
  check_rules(list, a), check_rules(list, b);
  EXPECT_EQ(differences(list, a, b, true), 0u);
}

TEST(Conformance, MessageCentresAndTheSmppFrontGiveTheSameFinalAnswers) {
  const auto list = cases();
  const auto http = linked(list, 0), centres = linked(list, 0, true);
  check_rules(list, centres);
  EXPECT_EQ(differences(list, only_final(http), only_final(centres), true), 0u);
  for (std::size_t i = 0; i < list.size(); i++)
    EXPECT_EQ(http[i].attempts, centres[i].attempts) << list[i].name;
  for (const bool to_centres : {false, true}) {
    const auto smpp_results = by_smpp(list, 0, to_centres);
    check_rules(list, smpp_results);
    EXPECT_EQ(differences(list, only_final(http), smpp_results, true), 0u) << "to centres: " << to_centres;
  }
}

TEST(Conformance, TheSmppFrontEndsWhatIsHeldInTheSameWay) {
  const auto list = exit_cases();
  const auto a = linked(list, 500 * kMs, true), b = by_smpp(list, 500 * kMs, true);
  check_rules(list, a), check_rules(list, b);
  EXPECT_EQ(differences(list, a, b, true), 0u);
}

// The comparison finds a daemon with a planted fault: it treats calls lost with their connection as unsent.
TEST(Conformance, APlantedDifferenceShows) {
  setenv("CEDARPLANK_FAULT", "2", 1);
  const auto list = cases();
  const auto a = linked(list, 0), b = daemon(list, 0, {FAULTY});
  unsetenv("CEDARPLANK_FAULT");
  EXPECT_GT(differences(list, a, b, false), 0u);
}

}  // namespace
}  // namespace cedarplank::testing
