// Stand-in destinations on a separate thread, with a scripted answer for each message (see
// DestinationSettings::answers), for tests of engines that run beside them. Their answers depend on the
// message alone, not on time.
#pragma once

#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>

#include "service.hpp"
#include "sms/password.hpp"

namespace cedarplank::testing {

class StandinThread {
 public:
  // `centres`: the destinations are message centres, and all kinds use SMPP.
  explicit StandinThread(bool centres = false) : centres_(centres) {
    std::string name = (std::filesystem::temp_directory_path() / "cedarplank-form-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~StandinThread() {
    if (thread_.joinable()) loop_.stop(), thread_.join();
    destinations_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  loop::Time tells_wait = 0;  // told wait in the 429 answers of destinations added after it is set
  // To be called before start(). With an empty script every message is served.
  void add(const std::string& destination, const std::string& script, const std::string& kind = "plain") {
    standin::DestinationSettings d;
    d.name = destination, d.capacity = Service::quick(), d.smpp = centres_;
    d.capacity.tells_wait = tells_wait;
    std::istringstream in(script.empty() ? "201" : script);
    for (std::string w; in >> w;) d.answers.push_back(w);
    standin::EndpointSettings settings;
    settings.id = destination + "-1", settings.streams_max = 1000;
    d.endpoints.push_back(settings);
    destinations_.push_back(std::make_unique<standin::Destination>(
        loop_, d, [this](record::CaptureRecord&& r) { calls_ += r.what == "HEADERS" && !r.sent; },
        [this](const standin::Effect& effect) {
          const std::lock_guard lock(mutex_);
          effects_[effect.destination + "/" + effect.message]++;
        },
        destinations_.size() + 1));
    config::PartnerEndpoint e;
    e.id = settings.id, e.destination = destination, e.path = "/push", e.kind = kind == "plain" ? 0 : 1;
    e.address = destinations_.back()->endpoints()[0]->address();
    endpoint_list_.endpoints.push_back(e);
  }
  void start() {
    config::Names names;
    names.kinds = {"plain", "unseen"};
    std::ofstream(folder_ + "/partners.yaml") << config::write_partners(endpoint_list_, names);
    thread_ = std::thread([this] { loop_.run(); });
  }
  std::string settings_file(const std::string& more = "") {
    // Shared by all settings files, because they are compared.
    static const auto hash = sms::hash_password("secret", 1000);
    const std::string file = folder_ + "/relay" + std::to_string(++settings_files_) + ".yaml";
    std::ofstream(file) << "relay: {listen: \"127.0.0.1:0\", seed: 1, drain_within: 400ms"
                        << (more.empty() ? "" : ", ") << more
                        << "}\n"
                           R"(partners: {file: partners.yaml, reread: 100ms}
classes:
  - {name: status, aim: 1s, deadline: 20s, effect: safe}
  - {name: pay, worth: 3, late_worth: 0.3, aim: 1s, deadline: 20s, effect: unsafe}
  - {name: notice, worth: 1, late_worth: 0.3, aim: 1s, deadline: 20s, effect: keyed, key_window: 30s}
  - {name: gate, worth: 1, late_worth: 0.3, aim: 1s, deadline: 20s, effect: keyed, key_window: 30s, ordered: true}
dispatcher: {slots: 2000, open_max: 20000, attempts_max: 4, tick: 1ms, connect_timeout: 2s, connection_idle: 10s, retry_after_max: 4s, overload_for: 2s, cold: 1s}
)"
                        << (centres_ ? R"(kinds:
  - {name: plain, smpp: {system_id: relay, password: secret, recipient: "123", own_tags: true}}
  - {name: unseen, smpp: {system_id: relay, password: secret, recipient: "123", own_tags: true, unseen: [8]}}
)"
                                     : "kinds: [{name: plain}, {name: unseen, unseen_503: true}]\n")
                        << R"(smpp:
  listen: "127.0.0.1:0"
  clients: [{system_id: bank, password: ")"
                        << hash << R"("}]
  classes: [{service_type: PAY, class: pay}, {service_type: KEY, class: notice}, {service_type: ORD, class: gate}, {service_type: "", class: status}]
)";
    return file;
  }
  int calls() const { return calls_; }
  int effects(const std::string& message) {
    const std::lock_guard lock(mutex_);
    return effects_[message];
  }

 private:
  const bool centres_;
  loop::Loop loop_;
  std::string folder_;
  std::vector<std::unique_ptr<standin::Destination>> destinations_;
  config::PartnerList endpoint_list_;
  std::atomic<int> calls_{0};
  std::mutex mutex_;
  std::map<std::string, int> effects_;  // guarded by mutex_
  std::thread thread_;
  int settings_files_ = 0;
};

}  // namespace cedarplank::testing
