// Reads members of JSON objects. `path` is the position of a value in the document, for error messages.
// Shared by all code that reads the simulator's member names, so that the same text has the same meaning
// everywhere.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace cedarplank::settings {

using Value = rapidjson::Value;
using SizeType = rapidjson::SizeType;

// A malformed field; what() gives its path and the reason.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void malformed(const std::string& path, const std::string& what) {
  throw FieldError(path + ": " + what);
}

// Returns the member, or nullptr if it is absent or null.
inline const Value* find(const Value& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// Returns the member; throws FieldError if it is absent or null.
inline const Value& required(const Value& object, const char* name, const std::string& path) {
  const Value* v = find(object, name);
  if (v == nullptr) malformed(path + "." + name, "missing");
  return *v;
}

// Each of these returns the value as the type it names, or throws FieldError.
inline std::string as_text(const Value& v, const std::string& path) {
  if (!v.IsString()) malformed(path, "must be a string");
  return {v.GetString(), v.GetStringLength()};
}
inline std::int64_t as_integer(const Value& v, const std::string& path) {
  if (!v.IsInt64()) malformed(path, "must be an integer");
  return v.GetInt64();
}
inline std::uint64_t as_natural(const Value& v, const std::string& path) {
  if (!v.IsUint64()) malformed(path, "must be a whole number");
  return v.GetUint64();
}
inline int as_int(const Value& v, const std::string& path) {
  if (!v.IsInt()) malformed(path, "must be an integer");
  return v.GetInt();
}
inline double as_number(const Value& v, const std::string& path) {
  if (!v.IsNumber()) malformed(path, "must be a number");
  return v.GetDouble();
}
inline bool as_bool(const Value& v, const std::string& path) {
  if (!v.IsBool()) malformed(path, "must be true or false");
  return v.GetBool();
}
inline const Value& as_object(const Value& v, const std::string& path) {
  if (!v.IsObject()) malformed(path, "must be an object");
  return v;
}
inline const Value& as_array(const Value& v, const std::string& path) {
  if (!v.IsArray()) malformed(path, "must be an array");
  return v;
}

// Reads a required member, or one that may be absent or null, by one of the functions above.
template <class Read>
auto get(const Value& object, const char* name, const std::string& path, Read read) {
  return read(required(object, name, path), path + "." + name);
}
template <class Read, class Default>
auto get(const Value& object, const char* name, const std::string& path, Read read, Default absent) {
  const Value* v = find(object, name);
  using Result = decltype(read(*v, path));
  return v == nullptr ? static_cast<Result>(absent) : read(*v, path + "." + name);
}

// Returns the value that belongs to one of the words that a field may hold; throws FieldError for any other
// word.
template <class T>
T enum_value(const std::string& text, std::initializer_list<std::pair<const char*, T>> words,
             const std::string& path) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  malformed(path, "unknown word '" + text + "'");
}

}  // namespace cedarplank::settings
