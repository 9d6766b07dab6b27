// The event log: the limit on lines per second and the report of suppressed lines.
#include "platform/event_log.hpp"

#include <gtest/gtest.h>

namespace cedarplank::platform {
namespace {

TEST(EventLog, AFloodOfOneKindIsBoundedAndHidesNoOther) {
  std::map<std::string, int> lines;
  EventLog log([&](const char* event, const std::string&) { lines[event]++; });
  int formatted = 0;
  const auto begun = loop::monotonic_now() / 1'000'000;
  for (int i = 0; i < 10'000; i++)
    log.line(Event::attempt, [&] { return formatted++, std::string("an attempt"); });
  log.log_text(Event::journal, "something once");
  const int seconds = static_cast<int>(loop::monotonic_now() / 1'000'000 - begun) + 1;
  EXPECT_GE(lines["attempt"], EventLog::kLinesPerSecond);
  EXPECT_LE(lines["attempt"], EventLog::kLinesPerSecond * seconds);
  EXPECT_EQ(formatted, lines["attempt"]);
  EXPECT_EQ(lines["journal"], 1);
}

// During a fault the lines of interest are the ones that exceed the limit, so their ids have to be logged.
TEST(EventLog, OfLinesThatAreLeftOutTheIdsAreTold) {
  std::vector<std::string> left_out;
  EventLog log([&](const char* event, const std::string& text) {
    if (std::string(event) == "left_out") left_out.push_back(text);
  });
  const int lines = EventLog::kLinesPerSecond * 3;
  const auto second = [] { return loop::monotonic_now() / 1'000'000; };
  const auto wait_for_the_next = [&] {
    for (const auto now = second(); second() == now;) {
    }
  };
  wait_for_the_next();
  for (int i = 0; i < lines; i++)
    log.line(Event::ended, "m-" + std::to_string(i), [] { return std::string("state=failed"); });
  wait_for_the_next();
  log.line(Event::ended, "later", [] { return std::string("state=failed"); });
  ASSERT_EQ(left_out.size(), 1u);
  EXPECT_NE(left_out[0].find(" lines of ended m-"), std::string::npos) << left_out[0];
  EXPECT_NE((left_out[0] + " ").find(" m-" + std::to_string(lines - 1) + " "), std::string::npos);
  EXPECT_LT(left_out[0].size(), EventLog::kMaxSuppressedIdBytes + 64);
}

}  // namespace
}  // namespace cedarplank::platform
