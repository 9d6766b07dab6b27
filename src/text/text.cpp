#include "text/text.hpp"

#include <utf8.h>

#include <cstdint>
#include <iterator>

namespace cedarplank::text {
namespace {

bool is_plain(char c) { return c >= ' ' && c < 0x7f && c != '"' && c != '\\'; }

std::string escaped(char c) {
  constexpr char kDigits[] = "0123456789abcdef";
  const auto octet = static_cast<unsigned char>(c);
  return {'\\', 'x', kDigits[octet >> 4], kDigits[octet & 0xf]};
}

}  // namespace

std::string to_utf8(std::string_view octets) {
  if (utf8::is_valid(octets.begin(), octets.end())) return std::string(octets);
  constexpr std::uint32_t kReplacementCharacter = 0xfffd;
  std::string valid;
  utf8::replace_invalid(octets.begin(), octets.end(), std::back_inserter(valid), kReplacementCharacter);
  return valid;
}

std::string to_printable(std::string_view octets, std::size_t max_bytes) {
  std::string printable;
  for (const char c : octets) {
    const std::string next = is_plain(c) ? std::string(1, c) : escaped(c);
    if (printable.size() + next.size() > max_bytes) return printable + "...";
    printable += next;
  }
  return printable;
}

void write_json(JsonWriter& writer, std::string_view octets) {
  const std::string valid = to_utf8(octets);
  writer.String(valid.data(), static_cast<rapidjson::SizeType>(valid.size()));
}

void write_json(JsonWriter& writer, const char* key, std::string_view octets) {
  writer.Key(key);
  write_json(writer, octets);
}

}  // namespace cedarplank::text
