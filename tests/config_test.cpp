// Settings and partner lists: units, schema, and errors that name file, line and key.
#include <gtest/gtest.h>

#include "config/partners.hpp"
#include "config/relay_settings.hpp"

namespace cedarplank::config {
namespace {

const std::string kGood = R"(relay:
  name: relay-0
  listen: 127.0.0.1:0
  tenant_field: x-tenant
partners: {file: partners.yaml, reread: 200ms}
classes:
  - {name: load-status, aim: 1s, deadline: 6s, effect: safe}
  - {name: pay, worth: 3, aim: 2s, deadline: 24s, effect: unsafe}
  - {name: order, aim: 2s, deadline: 24s, effect: keyed, key_window: 5s, ordered: true}
kinds: [{name: cellar, routes_apart: true}, {name: office, unseen_503: true}]
zones: [{name: main, fee: 0.5}, {name: barn}]
tenants: [{name: a, quota: 24/s}, {name: b, quota: 90/min}]
dispatcher: {zone: barn, slots: 16, tick: 5ms, relays: 3, rank: 2, decay: halves}
)";

std::string changed(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}
std::string error_of(const std::string& text) {
  try {
    parse_relay_settings("dir/relay.yaml", text);
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(Settings, AreReadWithTheirUnits) {
  const auto s = parse_relay_settings("dir/relay.yaml", kGood);
  EXPECT_EQ(s.partners_file, "dir/partners.yaml");
  EXPECT_EQ(s.partners_reread, 200'000);
  EXPECT_EQ(s.dispatcher.classes[2].key_window, 5'000'000);
  EXPECT_TRUE(s.dispatcher.classes[2].ordered && s.dispatcher.kinds[0].routes_apart &&
              s.kind_protocols[1].unseen_503);
  EXPECT_DOUBLE_EQ(s.dispatcher.tenants[1].quota_per_s, 1.5);
  EXPECT_EQ(s.dispatcher.zone, 1);
  EXPECT_EQ(s.dispatcher.decay, Decay::halves);
  EXPECT_EQ(s.dispatcher.tick, 5'000);
}

TEST(Settings, HaveTheirDefaultsWithoutADispatcherSection) {
  const auto s = parse_relay_settings(
      "r.yaml", "relay: {listen: \"127.0.0.1:0\"}\npartners: {file: p}\nclasses: [{name: c}]\n");
  EXPECT_EQ(s.dispatcher.slots, 64);
  EXPECT_EQ(s.dispatcher.open_max, 1000);
}

TEST(Settings, ErrorsNameFileLineAndKey) {
  const std::vector<std::array<std::string, 3>> cases = {
      {"aim: 1s", "aimm: 1s", "dir/relay.yaml:7: classes[0].aimm: unknown key; did you mean 'aim'?"},
      {"aim: 1s", "aim: 1 s", "dir/relay.yaml:7: classes[0].aim: '1 s' is no duration"},
      {"aim: 1s", "aim: 9s", "dir/relay.yaml:7: classes[0]: aim lies after deadline"},
      {"effect: safe", "effect: save",
       "dir/relay.yaml:7: classes[0].effect: 'save' is unknown; did you mean 'safe'?"},
      {"key_window: 5s, ", "", "dir/relay.yaml:9: classes[2]: a keyed class needs its key_window"},
      {"zone: barn", "zone: bran",
       "dir/relay.yaml:13: dispatcher.zone: no zone is named 'bran'; did you mean 'barn'?"},
      {"slots: 16", "slots: 0", "dir/relay.yaml:13: dispatcher.slots: "},
      {"slots: 16", "slots: many", "dir/relay.yaml:13: dispatcher.slots: "},
      {"rank: 2", "rank: 3", "dir/relay.yaml:13: dispatcher.rank: rank must be less than relays"},
      {"name: pay", "name: load-status", "dir/relay.yaml:8: classes[1].name: 'load-status' is named twice"},
      {"  listen: 127.0.0.1:0\n", "", "listen"},
      {"tick: 5ms", "tick: 5ms, tick: 6ms", "dir/relay.yaml:13: dispatcher.tick: the key is given twice"},
      {"relays: 3", "relays: [3", "dir/relay.yaml:1"},
      {"name: relay-0", "name: &x relay-0", "dir/relay.yaml:2: anchors"},
  };
  for (const auto& [from, to, message] : cases) {
    const auto error = error_of(changed(kGood, from, to));
    EXPECT_NE(error.find(message), std::string::npos) << to << " gave: " << error;
    EXPECT_EQ(error.rfind("dir/relay.yaml:", 0), 0u) << error;
  }
  EXPECT_NE(error_of(std::string(5000, '[')).find("nested too deeply"), std::string::npos);
  EXPECT_NE(error_of("").find("must be a map"), std::string::npos);
  // All errors of a file are reported together.
  const auto both = error_of(changed(changed(kGood, "aim: 1s", "aimm: 1s"), "slots: 16", "slot: 16"));
  EXPECT_NE(both.find("aimm"), std::string::npos);
  EXPECT_NE(both.find("did you mean 'slots'"), std::string::npos);
}

TEST(Partners, AreReadAndWrittenAgain) {
  const auto names = parse_relay_settings("r", kGood).names;
  const std::string text =
      "count: 2\npartners:\n"
      "- destination: c1\n  kind: office\n  weight: 20/s\n  endpoints:\n"
      "  - {id: a, address: 127.0.0.1:1, zone: barn}\n  - {id: b, address: 127.0.0.1:2, state: draining, "
      "path: /x}\n";
  const auto list = parse_partners("p.yaml", text, names);
  ASSERT_EQ(list.endpoints.size(), 2u);
  EXPECT_EQ(list.endpoints[1].listing, Listing::draining);
  EXPECT_EQ(list.endpoints[0].kind, 1);
  EXPECT_EQ(parse_partners("p.yaml", write_partners(list, names), names).endpoints, list.endpoints);
  // Lists that are incompletely written, or name something twice or unknown.
  for (std::size_t n = 0; n < text.size(); n++)
    EXPECT_THROW(parse_partners("p.yaml", text.substr(0, n), names), ConfigError) << n;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"id: b", "id: a"},
                                                        {"kind: office", "kind: ofice"},
                                                        {"state: draining", "state: drained"},
                                                        {"zone: barn", "zone: b"}})
    EXPECT_THROW(parse_partners("p.yaml", changed(text, from, to), names), ConfigError);
}

}  // namespace
}  // namespace cedarplank::config
