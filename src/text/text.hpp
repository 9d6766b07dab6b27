// Octets of any kind as text: for JSON, which has to be UTF-8 (RFC 8259 section 8.1), and for log lines. What
// clients, endpoints and files provide may hold any octets.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cedarplank::text {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// The same text, with U+FFFD in place of each sequence that is not UTF-8.
std::string to_utf8(std::string_view octets);
// At most `max_bytes` of the text; octets that are not visible ASCII or a space, backslashes and double
// quotes are given as \xNN. A text that was cut ends with "...", in addition.
std::string to_printable(std::string_view octets, std::size_t max_bytes);

// Write a JSON string, and a member of an object whose value is one. Invalid UTF-8 is replaced as above.
void write_json(JsonWriter& writer, std::string_view octets);
void write_json(JsonWriter& writer, const char* key, std::string_view octets);

}  // namespace cedarplank::text
