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
  log.say(Event::journal, "something once");
  const int seconds = static_cast<int>(loop::monotonic_now() / 1'000'000 - begun) + 1;
  EXPECT_GE(lines["attempt"], EventLog::kLinesPerSecond);
  EXPECT_LE(lines["attempt"], EventLog::kLinesPerSecond * seconds);
  EXPECT_EQ(formatted, lines["attempt"]);
  EXPECT_EQ(lines["journal"], 1);
}

}  // namespace
}  // namespace cedarplank::platform
