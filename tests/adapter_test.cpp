// Tests of the adapter: hand-written lines of the simulator's wire format.
#include <gtest/gtest.h>

#include <algorithm>

#include "codec.hpp"

namespace cedarplank::adapter {
namespace {

const char* const kSetup =
    R"({"Classes":[{"Name":"note","Points":1.0,"Target":1000000,"Deadline":6000000,"Idempotency":"read_like",)"
    R"("LateWorth":0.0,"Group":"all","Window":5000000,"Stream":false,"New":[1]}],)"
    R"("FamilyInfo":{"Workers":4,"BundleMax":[1],"RoutesApart":[false],"Decay":"line"},)"
    R"("Limits":{"OpenCap":50,"MaxAttempts":3},"Rules":{"DrainGrace":1000000,"AnswerSlack":20000},)"
    R"("HostTypes":["shop"],"FailureDomains":["east"],"Tick":5000,"GroupSize":2})";

std::string start(const std::string& who) {
  return R"({"kind":"NEW_INSTANCE","Who":")" + who + R"(","RngSeed":18446744073709551615,"Setup":)" + kSetup +
         "}";
}
std::string pool(int number, const std::string& endpoint) {
  return R"({"kind":"POOL","RosterId":)" + std::to_string(number) + R"(,"Elements":[{"Endpoint":")" +
         endpoint +
         R"(","Az":"east","Kind":"shop","Cell":57,"Health":"healthy","CapacityHint":1,"Since":null}]})";
}
std::string sync(const std::string& who, int number) {
  return R"({"kind":"SYNC","Who":")" + who + R"(","How":"C","RosterId":)" + std::to_string(number) +
         R"(,"Stamp":1})";
}
std::string knock(const std::string& who, int id) {
  return R"({"kind":"KNOCK","Who":")" + who + R"(","Rid":)" + std::to_string(id) +
         R"(,"Mutates":false,"SizeHint":null,"Dest":57,"Returned":false,"TierClass":"note","TimeLeft":6000000,)"
         R"("Retry":false,"Account":0,"Extra":{"a":1}})";
}

class Wire : public ::testing::Test {
 protected:
  std::string round(const std::vector<std::string>& lines) {
    clock_ += 5000;
    std::string reply;
    EXPECT_FALSE(codec_.process_line(R"({"kind":"ROUND","Clock":)" + std::to_string(clock_) + "}", reply));
    for (const auto& line : lines) EXPECT_FALSE(codec_.process_line(line, reply));
    EXPECT_TRUE(codec_.process_line(R"({"kind":"YOUR_TURN"})", reply));
    return reply;
  }
  // The error message for a malformed line; empty if it is accepted.
  std::string complaint(const std::string& line) {
    std::string reply;
    codec_.process_line(R"({"kind":"ROUND","Clock":1})", reply);
    try {
      codec_.process_line(line, reply);
    } catch (const WireError& e) {
      return e.what();
    }
    return "";
  }
  Codec codec_;
  long clock_ = 1000;
};

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST_F(Wire, AnEmptyRound) { EXPECT_EQ(round({}), "{\"kind\":\"OK\"}\n"); }

TEST_F(Wire, AMessageIsSentAndServed) {
  const auto reply =
      round({start("relay-3"), pool(0, "10.0.0.1:80"), sync("relay-3", 0), knock("relay-3", 9)});
  EXPECT_TRUE(
      has(reply, R"({"kind":"PLACE","Who":"relay-3","Rid":9,"Endpoint":"10.0.0.1:80","GiveUpAfter":)"));
  EXPECT_TRUE(reply.ends_with("{\"kind\":\"OK\"}\n"));
  const auto done =
      round({R"({"kind":"RETURNED","Who":"relay-3","Rid":9,"SendNo":0,"Endpoint":"10.0.0.1:80",)"
             R"("Result":10,"DelaySeen":5000,"Closed":true,"RemarkMs":null,"HealthInfo":null})"});
  EXPECT_FALSE(has(done, "PLACE"));
}
TEST_F(Wire, AToldWaitIsInMilliseconds) {
  round({start("relay-0"), pool(0, "a:1"), sync("relay-0", 0), knock("relay-0", 1)});
  round(
      {R"({"kind":"RETURNED","Who":"relay-0","Rid":1,"SendNo":0,"Endpoint":"a:1","Result":30,"RemarkMs":900})"});
  clock_ += 890'000;
  EXPECT_FALSE(has(round({R"({"kind":"REMINDER","Who":"relay-0","Tag":0})", knock("relay-0", 2)}), "PLACE"));
  bool sent = false;
  for (int i = 0; i < 10 && !sent; i++) {  // the delays set at the refusal apply as well
    clock_ += 500'000;
    sent = has(round({R"({"kind":"REMINDER","Who":"relay-0","Tag":0})"}), "PLACE");
  }
  EXPECT_TRUE(sent);
}
TEST_F(Wire, PoolNumbersAreResolvedInEventOrder) {
  const auto reply = round({start("relay-0"), start("relay-1"), pool(0, "a:1"), sync("relay-0", 0),
                            pool(0, "b:1"), sync("relay-1", 0), knock("relay-0", 1), knock("relay-1", 2)});
  EXPECT_TRUE(has(reply, R"("Who":"relay-0","Rid":1,"Endpoint":"a:1")"));
  EXPECT_TRUE(has(reply, R"("Who":"relay-1","Rid":2,"Endpoint":"b:1")"));
}
TEST_F(Wire, PowerOffDestroysTheInstance) {
  round({start("relay-0"), pool(0, "a:1"), sync("relay-0", 0)});
  EXPECT_EQ(round({knock("relay-0", 1), R"({"kind":"POWER_OFF","Who":"relay-0"})"}), "{\"kind\":\"OK\"}\n");
  EXPECT_TRUE(has(complaint(knock("relay-0", 2)), "never started"));
}
TEST_F(Wire, StartsAgainUnderTheSameNumberInOneRound) {
  round({start("relay-0"), pool(0, "a:1"), sync("relay-0", 0), knock("relay-0", 1)});
  const auto reply = round({R"({"kind":"POWER_OFF","Who":"relay-0"})", start("relay-0"), pool(3, "b:1"),
                            sync("relay-0", 3), knock("relay-0", 2)});
  EXPECT_TRUE(has(reply, R"("Rid":2,"Endpoint":"b:1")"));
}
TEST_F(Wire, SettingsThatMakeNoSenseAreFatal) {
  std::string line = start("relay-0");
  line.replace(line.find("\"Workers\":4"), 11, "\"Workers\":0");
  const auto reply = round({line});
  EXPECT_TRUE(has(reply, R"({"kind":"FATAL","Who":"relay-0","Msg":"settings: slots)")) << reply;
}
TEST_F(Wire, NullsAndAbsentFieldsAreNoError) {
  round({start("relay-0"), pool(0, "a:1"), sync("relay-0", 0),
         R"({"kind":"KNOCK","Who":"relay-0","Rid":1,"Dest":57,"TierClass":"note","TimeLeft":6000000})",
         R"({"kind":"SYNC","Who":"relay-0","How":"X","RosterId":null,"Stamp":0})"});
  EXPECT_EQ(round({}), "{\"kind\":\"OK\"}\n");
}

TEST_F(Wire, MalformedLinesAreNamed) {
  round({start("relay-0")});
  EXPECT_TRUE(has(complaint("{\"kind\":"), "column"));
}
TEST_F(Wire, AnUnknownKindIsNamed) {
  round({start("relay-0")});
  EXPECT_EQ(complaint(R"({"kind":"GREETING","Who":"relay-0"})"), "GREETING: unknown message kind");
}
TEST_F(Wire, AMissingFieldIsNamed) {
  round({start("relay-0")});
  EXPECT_EQ(complaint(R"({"kind":"HANGUP","Who":"relay-0"})"), "HANGUP.Rid: missing");
}
TEST_F(Wire, AWronglyTypedFieldIsNamed) {
  round({start("relay-0")});
  EXPECT_EQ(complaint(R"({"kind":"HANGUP","Who":"relay-0","Rid":"x"})"),
            "HANGUP.Rid: must be a whole number");
}
TEST_F(Wire, AnUnknownPoolIsNamed) {
  round({start("relay-0")});
  EXPECT_EQ(complaint(sync("relay-0", 4)), "SYNC.RosterId: no such POOL was given");
}
TEST_F(Wire, AnUnknownClassIsNamed) {
  round({start("relay-0")});
  std::string line = knock("relay-0", 1);
  line.replace(line.find("\"note\""), 6, "\"song\"");
  EXPECT_EQ(complaint(line), "KNOCK.TierClass: unknown class 'song'");
}
TEST_F(Wire, AnInstanceNeverStartedIsNamed) {
  EXPECT_EQ(complaint(knock("relay-7", 1)), "KNOCK.Who: instance 'relay-7' was never started");
}

}  // namespace
}  // namespace cedarplank::adapter
