// Reads settings files: YAML that is checked against a JSON schema. Values may have units, and each error
// names file, line and key.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace cedarplank::config {

using Time = std::int64_t;  // microseconds

// All errors of one file, one line each: "FILE:LINE: KEY: what".
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<std::string> errors);
  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

// Durations such as "250ms", "2s" or "1.5min" in microseconds; rates such as "24/s" or "90/min" per second;
// sizes such as "64KiB" in bytes. Throw std::invalid_argument that says what is expected.
Time parse_duration(const std::string& text);
double parse_rate(const std::string& text);
std::int64_t parse_size(const std::string& text);

// The name among `names` with the smallest edit distance to `name`; empty if none is similar.
std::string nearest(const std::string& name, const std::vector<std::string>& names);

class Document;

// One value of a document, with the path of keys that leads to it.
class Value {
 public:
  Value(const Document& document, YAML::Node node, std::string path)
      : document_(&document), node_(std::move(node)), path_(std::move(path)) {}

  bool has(const char* key) const;
  Value at(const char* key) const;   // throws ConfigError if it is missing
  std::vector<Value> items() const;  // of a list
  // The items of a key's list; none if the key is absent.
  std::vector<Value> items(const char* key) const {
    return has(key) ? at(key).items() : std::vector<Value>{};
  }
  std::vector<std::pair<std::string, Value>> entries() const;  // of a map, in the file's order

  // The value in a given type. Throw ConfigError if it has another form.
  std::string text() const;
  std::int64_t integer() const;
  double number() const;
  bool boolean() const;
  Time duration() const;
  double rate() const;
  std::int64_t size() const;

  // The value of a key, or `absent` if there is no such key.
  std::string text(const char* key, const std::string& absent) const {
    return has(key) ? at(key).text() : absent;
  }
  int integer(const char* key, int absent) const {
    return has(key) ? static_cast<int>(at(key).integer()) : absent;
  }
  double number(const char* key, double absent) const { return has(key) ? at(key).number() : absent; }
  bool boolean(const char* key, bool absent) const { return has(key) ? at(key).boolean() : absent; }
  Time duration(const char* key, Time absent) const { return has(key) ? at(key).duration() : absent; }
  double rate(const char* key, double absent) const { return has(key) ? at(key).rate() : absent; }
  std::int64_t size(const char* key, std::int64_t absent) const { return has(key) ? at(key).size() : absent; }

  // An enumeration: `words` maps each permitted text to its value.
  template <class T>
  T enum_value(const char* key, const std::map<std::string, T>& words, T absent) const {
    if (!has(key)) return absent;
    const Value v = at(key);
    const auto it = words.find(v.text());
    if (it != words.end()) return it->second;
    std::vector<std::string> names;
    for (const auto& [name, value] : words) names.push_back(name);
    v.fail("'" + v.text() + "' is unknown" + suggestion(v.text(), names));
  }
  // The index of this value in a list of names that the settings define elsewhere.
  int index_in(const std::vector<std::string>& names, const char* what) const;

  [[noreturn]] void fail(const std::string& what) const;  // throws ConfigError
  const std::string& path() const { return path_; }
  int line() const { return node_.Mark().line + 1; }
  const YAML::Node& node() const { return node_; }

 private:
  // End of an error message: the most similar name, or all names.
  static std::string suggestion(const std::string& name, const std::vector<std::string>& names);
  const Document* document_;
  YAML::Node node_;
  std::string path_;
};

// A parsed file that conforms to its schema.
class Document {
 public:
  // Throw ConfigError if the file is unreadable, not YAML, or does not conform to the schema (a JSON schema,
  // draft 7).
  static Document load(const std::string& file, const char* schema);
  static Document parse(const std::string& file, const std::string& text, const char* schema);

  Value root() const { return {*this, root_, ""}; }
  const std::string& file() const { return file_; }
  // Start of an error message: "FILE:LINE: KEY: ".
  std::string location(const YAML::Node& node, const std::string& path) const;

 private:
  std::string file_;
  YAML::Node root_;
};

// The file's content. Throws std::runtime_error naming the file.
std::string read_file(const std::string& file);

}  // namespace cedarplank::config
