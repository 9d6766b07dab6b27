// Both protocol servers and both kinds of endpoint at once: 10,000 messages, half of them submitted by each
// protocol, sent to push gateways and message centres while binds and connections are dropped. The checker
// judges the run by the traffic recorded at the sockets.
#include "rig/checker.hpp"
#include "rig/load_client.hpp"
#include "service.hpp"
#include "sms/password.hpp"

namespace cedarplank::testing {
namespace {

using standin::Fault;

TEST(Mixed, TenThousandByBothFrontsToBothBacksWithDrops) {
  Service s;
  rig::LoadSettings load;
  load.classes = {{"status", 0.4, Effect::safe, 6 * kS, 0, false},
                  {"pay", 0.4, Effect::unsafe, 8 * kS, 0, false},
                  {"notice", 0.1, Effect::keyed, 6 * kS, 8 * kS, false},
                  {"gate", 0.1, Effect::keyed, 8 * kS, 8 * kS, true}};
  load.retries = 0, load.rate = 0, load.count = 10'000, load.outstanding = 300;
  load.smpp_share = 0.5, load.body = 120;
  auto& smpp_settings = s.settings.smpp.emplace();
  smpp_settings.listen = "127.0.0.1:0";
  smpp_settings.clients = {{"load", sms::hash_password("secret", 1000), -1, 4}};
  for (const auto& c : load.classes)
    smpp_settings.classes.push_back({rig::service_type_of(c.name), {}, c.name});
  rig::CheckerInput input;
  for (int i = 1; i <= 12; i++) {
    const std::string name = "d" + std::to_string(i);
    load.destinations.push_back(name);
    if (i % 2 == 0)
      s.add_message_centre(name, 2);
    else
      s.add(name, 2);
    for (const auto& e : s.destinations.back()->endpoints()) input.domain_of[e->id()] = name;
  }
  s.start();
  std::vector<record::CaptureRecord> records;
  rig::LoadClient* load_client = nullptr;
  rig::LoadClient client(
      s.loop, load, {{"relay-0", s.node->address()}, {"relay-0", s.node->smpp_address(), "load", "secret"}},
      [&](const rig::LoadClient::Message& m, const std::vector<bool>&) {
        return std::pair(static_cast<std::size_t>(load_client->model().uses_smpp(m)),
                         "/push/" + load.destinations[m.destination] + "/" + load.classes[m.cls].name);
      },
      [&](record::CaptureRecord&& r) { records.push_back(std::move(r)); });
  load_client = &client;
  client.start();
  // Endpoints of both kinds, one after the other, accept a message and drop the connection without a
  // response.
  std::size_t dropped = 0, seen = 0;
  bool dropping = false;
  const auto endpoint = [&] { return "d" + std::to_string(1 + dropped % 12) + "-1"; };
  run_until(
      s.loop,
      [&] {
        if (!dropping && dropped < 8 && client.answered() >= 2'000 + 600 * dropped) {
          s.endpoint(endpoint()).begin({.fault = Fault::drop_after_take});
          dropping = true, seen = s.effects.size();
        }
        for (; dropping && seen < s.effects.size(); seen++)
          if (s.effects[seen].endpoint == endpoint()) {
            s.endpoint(endpoint()).end(Fault::drop_after_take);
            dropping = false, dropped++;
            break;
          }
        return client.done();
      },
      200 * kS);
  std::uint64_t finals = 0, bad = 0;
  for (const auto& t : client.tallies())
    finals += t.served + t.refused + t.failed, bad += t.unexpected + t.lost;
  EXPECT_EQ(finals, 10'000u);
  EXPECT_EQ(bad, 0u);
  EXPECT_EQ(client.duplicate_answers(), 0u);
  EXPECT_EQ(dropped, 8u);
  std::size_t in_smpp = 0, in_http = 0, out_smpp = 0, out_http = 0;
  for (const auto& r : records)
    if (r.what == "HEADERS" && r.sent) (r.fields.count("via") > 0 ? in_smpp : in_http)++;
  for (const auto& r : s.frames)
    if (r.what == "HEADERS" && !r.sent) (r.fields.at("via").rfind("SMPP", 0) == 0 ? out_smpp : out_http)++;
  EXPECT_GT(in_smpp, 4'000u);
  EXPECT_GT(in_http, 4'000u);
  EXPECT_GT(out_smpp, 3'000u);
  EXPECT_GT(out_http, 3'000u);
  run_until(s.loop, [&] { return s.node->core().held() == 0 && s.node->core().slots_used() == 0; });
  s.node.reset();
  for (const auto& c : load.classes)
    input.classes[c.name] = {.effect = c.effect, .deadline = c.deadline, .ordered = c.ordered};
  input.slack = 1 * kS, input.answer_slack = s.settings.dispatcher.answer_slack;
  input.settle_after_doubt = s.settings.dispatcher.settle_after_doubt;
  records.insert(records.end(), s.frames.begin(), s.frames.end());
  const auto verdict = rig::check_rules(input, std::move(records), s.effects);
  EXPECT_TRUE(verdict.passed()) << rig::format_check_result(verdict);
  EXPECT_GT(verdict.rules[0].checked, 9'900u);
  EXPECT_GT(verdict.rules[1].checked, 3'000u);
  EXPECT_GT(verdict.rules[4].checked, 100u);
}

}  // namespace
}  // namespace cedarplank::testing
