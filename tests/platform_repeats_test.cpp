// Requests whose id is known already, as real processes on connections that break: what their clients hear,
// and what the log tells of them.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include "faults/fleet.hpp"

namespace cedarplank::testing::faults {
namespace {

FleetSettings settings() {
  FleetSettings s;
  s.program = PROGRAM, s.library = FAULT_LIBRARY;
  s.endpoints_each = 1, s.endpoints_know_ends = true;
  return s;
}

// A line of the relay's log, as an operator's tools read it.
struct Line {
  std::string event, text;
};

class PlatformRepeats : public ::testing::Test {
 public:
  explicit PlatformRepeats(FleetSettings s = settings()) : fleet(std::move(s)) {}
  void expect_rules_kept() {
    const auto verdict = fleet.judge.verdict(loop::monotonic_now());
    for (const auto& broken : verdict.broken) ADD_FAILURE() << broken;
    if (HasFailure())
      for (const auto& line : fleet.log(0)) std::fprintf(stderr, "%s\n", line.c_str());
  }
  const Request& request(const std::string& id) { return fleet.judge.requests.at(id); }
  void all_endpoints(Reply reply) {
    fleet.reply = [reply](const auto&, const auto&) { return reply; };
  }
  // Requests of both kinds, answered.
  std::vector<std::string> hand_in(int messages) {
    std::vector<std::string> ids;
    for (int i = 0; i < messages; i++) ids.push_back(fleet.hand_in(0, i % 2 == 0, i % 3));
    fleet.until([&] { return answered(ids, 1); }, 1'000'000);
    return ids;
  }
  bool answered(const std::vector<std::string>& ids, std::size_t times) {
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return request(id).answers.size() >= times; });
  }
  void repeat(const std::vector<std::string>& ids) {
    const std::size_t before = request(ids.front()).answers.size();
    for (const auto& id : ids) fleet.repeat(id);
    EXPECT_TRUE(fleet.until([&] { return answered(ids, before + 1); }, 1'000'000));
  }
  std::vector<Line> lines(const std::string& event) {
    std::vector<Line> found;
    for (const auto& raw : fleet.log(0)) {
      rapidjson::Document d;
      d.Parse(raw.c_str());
      if (!d.IsObject() || !d.HasMember("event") || !d.HasMember("text")) continue;
      if (event == d["event"].GetString()) found.push_back({event, d["text"].GetString()});
    }
    return found;
  }
  bool told(const std::string& event, const std::string& id, const std::string& what) {
    const auto all = lines(event);
    return std::any_of(all.begin(), all.end(), [&](const Line& line) {
      return line.text.find("id=" + id + " ") == 0 && line.text.find(what) != std::string::npos;
    });
  }
  Fleet fleet;
};

// An operator finds each request that was answered as no new one, by its id: what was known of it, and the
// answer.
TEST_F(PlatformRepeats, LinesNameTheRequestsThatCameAgainOrWereTurnedAway) {
  ASSERT_TRUE(fleet.start(0));
  all_endpoints({Reply::What::refuse});
  const auto held = hand_in(2);
  repeat(held);
  int misused = 0;
  fleet.misuse_the_id_of(held[0], [&](int status) { misused = status; });
  EXPECT_TRUE(fleet.until([&] { return misused != 0; }, 1'000'000));
  EXPECT_EQ(misused, 409);
  const auto unlisted = fleet.hand_in(0, true, 90);  // no list has shown its destination
  EXPECT_TRUE(fleet.until([&] { return !request(unlisted).answers.empty(); }, 1'000'000));
  fleet.run(50'000);
  const auto heard = "answer=" + std::to_string(request(held[0]).answers.back().status);
  EXPECT_TRUE(told("repeated", held[0], heard));
  EXPECT_TRUE(told("repeated", held[0], "state="));
  EXPECT_TRUE(told("turned_away", held[0], "status=409"));
  EXPECT_TRUE(told("turned_away", unlisted, "status=503"));
  for (const auto& line : lines("turned_away")) EXPECT_EQ(line.text.find("id= "), std::string::npos);
}

}  // namespace
}  // namespace cedarplank::testing::faults
