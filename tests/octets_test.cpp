// Octets of any kind and any length from outside: in JSON and in log lines.
#include <gtest/gtest.h>
#include <rapidjson/document.h>

#include <random>

#include "platform/semantics.hpp"
#include "text/text.hpp"

namespace cedarplank {
namespace {

const std::string kNoise = "\xff\xfe\x9c\x80";

class Octets : public ::testing::Test {
 protected:
  std::size_t draw(std::size_t below) { return random_() % below; }
  // A text of up to so many octets of any kind; half of them are short.
  std::string text(std::size_t longest = 5'000) {
    std::string drawn(draw(draw(2) == 0 ? 12 : longest), '\0');
    for (char& octet : drawn) octet = static_cast<char>(draw(256));
    return drawn;
  }

 private:
  std::mt19937 random_{20'261'204};
};

bool is_json(const std::string& line) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseValidateEncodingFlag>(line.data(), line.size());
  return !d.HasParseError();
}

// ---- Text forms ----

// Guards against log lines, traces and exports that no reader of JSON takes.
TEST_F(Octets, AnyOctetsAreWrittenAsValidJson) {
  for (int i = 0; i < 2'000; i++) {
    rapidjson::StringBuffer buffer;
    text::JsonWriter writer(buffer);
    writer.StartObject();
    const std::string drawn = text(200);
    text::write_json(writer, "text", drawn);
    writer.EndObject();
    EXPECT_TRUE(is_json(buffer.GetString()));
  }
  EXPECT_EQ(text::to_utf8("gr\xc3\xbc\xc3\x9f"), "gr\xc3\xbc\xc3\x9f");
  EXPECT_EQ(text::to_utf8("a\xff"), "a\xef\xbf\xbd");
}

// Guards against octets of an endpoint that break the fields of a log line.
TEST_F(Octets, ALogLinesFieldIsPrintableAndBounded) {
  EXPECT_EQ(text::to_printable("ok\"\n\xff", 64), "ok\\x22\\x0a\\xff");
  EXPECT_EQ(text::to_printable(std::string(100, 'a'), 8), "aaaaaaaa...");
  http1::Message answer;
  answer.status = 200, answer.body = "m-1 " + kNoise + "\r\n";
  EXPECT_EQ(platform::endings_of(answer, true, {"m-1"})[0].detail, "\\xff\\xfe\\x9c\\x80");
}

}  // namespace
}  // namespace cedarplank
