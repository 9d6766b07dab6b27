// Settings files: YAML checked against a JSON schema, read with units, each error naming file, line and key.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace cedarplank::config {

using Time = std::int64_t;  // microseconds

// All that is wrong with one file, one line each: "FILE:LINE: KEY: what".
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<std::string> errors);
  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

// "250ms", "2s", "1.5min": microseconds. "24/s", "90/min": a second. "64KiB": bytes.
// Throw std::invalid_argument saying what is expected.
Time parse_duration(const std::string& text);
double parse_rate(const std::string& text);
std::int64_t parse_size(const std::string& text);

// The name among `names` that is nearest to `name` by edits; empty where none is near.
std::string nearest(const std::string& name, const std::vector<std::string>& names);

class Document;

// One value of a document with the key that leads to it.
class Value {
 public:
  Value(const Document& document, YAML::Node node, std::string path)
      : document_(&document), node_(std::move(node)), path_(std::move(path)) {}

  bool has(const char* key) const;
  Value at(const char* key) const;   // throws ConfigError where it is missing
  std::vector<Value> items() const;  // of a list; none where it is absent
  std::vector<Value> items(const char* key) const {
    return has(key) ? at(key).items() : std::vector<Value>{};
  }
  std::vector<std::pair<std::string, Value>> entries() const;  // of a map, in the file's order

  std::string text() const;
  std::int64_t integer() const;
  double number() const;
  bool boolean() const;
  Time duration() const;
  double rate() const;
  std::int64_t size() const;

  // The value of a key, or `absent`.
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

  // One of the words, as the value that stands for it.
  template <class T>
  T word(const char* key, const std::map<std::string, T>& words, T absent) const {
    if (!has(key)) return absent;
    const Value v = at(key);
    const auto it = words.find(v.text());
    if (it != words.end()) return it->second;
    std::vector<std::string> names;
    for (const auto& [name, value] : words) names.push_back(name);
    v.fail("'" + v.text() + "' is unknown" + one_of(v.text(), names));
  }
  // The place of a name among those defined elsewhere in the settings.
  int position(const std::vector<std::string>& names, const char* what) const;

  [[noreturn]] void fail(const std::string& what) const;  // throws ConfigError
  const std::string& path() const { return path_; }
  int line() const { return node_.Mark().line + 1; }
  const YAML::Node& node() const { return node_; }

 private:
  static std::string one_of(const std::string& name, const std::vector<std::string>& names);
  const Document* document_;
  YAML::Node node_;
  std::string path_;
};

// A parsed file that keeps to its schema.
class Document {
 public:
  // Throws ConfigError: unreadable, no YAML, or against the schema (a JSON schema, draft 7).
  static Document load(const std::string& file, const char* schema);
  static Document parse(const std::string& file, const std::string& text, const char* schema);

  Value root() const { return {*this, root_, ""}; }
  const std::string& file() const { return file_; }
  std::string where(const YAML::Node& node, const std::string& path) const;

 private:
  std::string file_;
  YAML::Node root_;
};

// Throws std::runtime_error naming the file.
std::string read_file(const std::string& file);

}  // namespace cedarplank::config
