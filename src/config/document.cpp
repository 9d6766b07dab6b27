#include "config/document.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>

#include "config/schema_check.hpp"

namespace cedarplank::config {
namespace {

constexpr int kMaxDepth = 32;  // nesting of a settings file; deeper nesting could exhaust the stack

std::string joined(const std::vector<std::string>& lines) {
  std::string all;
  for (const auto& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

// Parses a number that is followed by one of the units. `expected` describes the value in the error message.
double parse_with_unit(const std::string& text, const std::vector<std::pair<std::string, double>>& units,
                       const char* expected) {
  double value = 0;
  const char *first = text.data(), *last = first + text.size();
  const auto [end, error] = std::from_chars(first, last, value);
  const std::string unit(end, static_cast<std::size_t>(last - end));
  for (const auto& [name, factor] : units)
    if (error == std::errc() && unit == name && std::isfinite(value) && value >= 0 && value * factor < 9e15)
      return value * factor;
  throw std::invalid_argument("'" + text + "' is no " + expected);
}

// Edit (Levenshtein) distance.
std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); j++) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); i++) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); j++) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string child_path(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

// Reports keys that the schema does not define, each with the most similar defined key, and duplicate keys,
// which YAML forbids but yaml-cpp accepts.
void check_keys(const Document& document, const YAML::Node& node, const rapidjson::Value& schema,
                const std::string& path, int depth, std::vector<std::string>& errors) {
  if (depth > kMaxDepth) {
    errors.push_back(document.location(node, path) + "nested too deeply");
    return;
  }
  if (node.IsSequence()) {
    if (!schema.IsObject() || !schema.HasMember("items")) return;
    std::size_t i = 0;
    for (const auto& item : node)
      check_keys(document, item, schema["items"], path + "[" + std::to_string(i++) + "]", depth + 1, errors);
    return;
  }
  if (!node.IsMap() || !schema.IsObject()) return;
  std::vector<std::string> known, seen;
  const auto properties = schema.FindMember("properties");
  const auto more = schema.FindMember("additionalProperties");
  if (properties != schema.MemberEnd())
    for (const auto& p : properties->value.GetObject()) known.emplace_back(p.name.GetString());
  for (const auto& entry : node) {
    if (!entry.first.IsScalar()) {
      errors.push_back(document.location(entry.first, path) + "a key must be a plain word");
      continue;
    }
    const std::string key = entry.first.Scalar();
    if (std::find(seen.begin(), seen.end(), key) != seen.end())
      errors.push_back(document.location(entry.first, child_path(path, key)) + "the key is given twice");
    seen.push_back(key);
    const bool is_known = std::find(known.begin(), known.end(), key) != known.end();
    if (is_known) {
      check_keys(document, entry.second, properties->value[key.c_str()], child_path(path, key), depth + 1,
                 errors);
    } else if (more != schema.MemberEnd() && more->value.IsObject()) {
      check_keys(document, entry.second, more->value, child_path(path, key), depth + 1, errors);
    } else {
      const auto near = nearest(key, known);
      errors.push_back(document.location(entry.first, child_path(path, key)) + "unknown key" +
                       (near.empty() ? "" : "; did you mean '" + near + "'?"));
    }
  }
}

}  // namespace

ConfigError::ConfigError(std::vector<std::string> errors)
    : std::runtime_error(joined(errors)), errors_(std::move(errors)) {}

Time parse_duration(const std::string& text) {
  return static_cast<Time>(parse_with_unit(text,
                                           {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}},
                                           "duration such as 250ms, 2s or 1min"));
}
double parse_rate(const std::string& text) {
  return parse_with_unit(text, {{"/s", 1}, {"/min", 1.0 / 60}, {"/h", 1.0 / 3600}},
                         "rate such as 24/s or 90/min");
}
std::int64_t parse_size(const std::string& text) {
  return static_cast<std::int64_t>(
      parse_with_unit(text, {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}},
                      "size such as 512B, 64KiB or 1MiB"));
}

std::string nearest(const std::string& name, const std::vector<std::string>& names) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
  if (name.size() > 64) return best;
  for (const auto& candidate : names) {
    const auto d = edit_distance(name, candidate);
    if (d < best_distance) best_distance = d, best = candidate;
  }
  return best;
}

std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error(file + ": cannot be opened: " + std::strerror(errno));
  std::ostringstream text;
  text << in.rdbuf();
  if (in.bad() || text.fail()) throw std::runtime_error(file + ": cannot be read");
  return text.str();
}

Document Document::load(const std::string& file, const char* schema) {
  std::string text;
  try {
    text = read_file(file);
  } catch (const std::runtime_error& e) {
    throw ConfigError({e.what()});
  }
  return parse(file, text, schema);
}

Document Document::parse(const std::string& file, const std::string& text, const char* schema_text) {
  Document d;
  d.file_ = file;
  try {
    // Anchors and aliases could expand a small file into a huge one ("billion laughs"), and settings need
    // none. A '&' or '*' where a value begins is rejected before yaml-cpp builds anything.
    std::istringstream lines(text);
    std::string line;
    for (int n = 1; std::getline(lines, line); n++) {
      int depth = 0;
      for (std::size_t i = 0; i < line.size(); i++) {
        if (line[i] == '#' && (i == 0 || line[i - 1] == ' ')) break;
        if ((line[i] == '[' || line[i] == '{') && ++depth > kMaxDepth)
          throw ConfigError({file + ":" + std::to_string(n) + ": nested too deeply"});
        const bool starts =
            i == 0 || line[i - 1] == ' ' || line[i - 1] == '[' || line[i - 1] == ',' || line[i - 1] == '{';
        if (starts && (line[i] == '&' || line[i] == '*'))
          throw ConfigError({file + ":" + std::to_string(n) + ": anchors and aliases are not taken here"});
      }
      if (line.find_first_not_of(' ') != std::string::npos && line.find_first_not_of(" -?") > 4 * kMaxDepth)
        throw ConfigError({file + ":" + std::to_string(n) + ": nested too deeply"});
    }
    d.root_ = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    const int at = e.mark.is_null() ? 0 : e.mark.line + 1;
    throw ConfigError({file + ":" + std::to_string(at) + ": no valid YAML: " + e.msg});
  }
  if (!d.root_.IsMap()) throw ConfigError({file + ":1: must be a map of keys to values"});
  rapidjson::Document schema;
  schema.Parse(schema_text);
  std::vector<std::string> errors;
  check_keys(d, d.root_, schema, "", 0, errors);
  if (errors.empty()) {
    for (const auto& e : schema_errors(d.root_, schema_text)) {
      // The line number is that of the innermost node that the path reaches.
      YAML::Node node = d.root_;
      std::string path;
      for (const auto& step : e.path) {
        YAML::Node next = node.IsSequence() ? node[static_cast<std::size_t>(std::stoul(step))] : node[step];
        if (!next.IsDefined()) break;
        path = node.IsSequence() ? path + "[" + step + "]" : child_path(path, step);
        node.reset(next);
      }
      errors.push_back(d.location(node, path) + e.what);
    }
  }
  if (!errors.empty()) throw ConfigError(std::move(errors));
  return d;
}

std::string Document::location(const YAML::Node& node, const std::string& path) const {
  const auto mark = node.Mark();
  return file_ + ":" + std::to_string(mark.is_null() ? 1 : mark.line + 1) + ": " +
         (path.empty() ? "" : path + ": ");
}

void Value::fail(const std::string& what) const {
  throw ConfigError({document_->location(node_, path_) + what});
}

bool Value::has(const char* key) const {
  if (!node_.IsMap()) return false;
  const YAML::Node child = node_[key];
  return child.IsDefined() && !child.IsNull();
}
Value Value::at(const char* key) const {
  if (!has(key)) throw ConfigError({document_->location(node_, child_path(path_, key)) + "is missing"});
  return {*document_, node_[key], child_path(path_, key)};
}
std::vector<Value> Value::items() const {
  std::vector<Value> all;
  std::size_t i = 0;
  for (const auto& item : node_) all.emplace_back(*document_, item, path_ + "[" + std::to_string(i++) + "]");
  return all;
}
std::vector<std::pair<std::string, Value>> Value::entries() const {
  std::vector<std::pair<std::string, Value>> all;
  for (const auto& entry : node_)
    all.emplace_back(entry.first.Scalar(),
                     Value{*document_, entry.second, child_path(path_, entry.first.Scalar())});
  return all;
}
std::string Value::text() const {
  if (!node_.IsScalar()) fail("must be a text");
  return node_.Scalar();
}
std::int64_t Value::integer() const {
  const std::string t = text();
  std::int64_t v = 0;
  const auto [end, error] = std::from_chars(t.data(), t.data() + t.size(), v);
  if (error != std::errc() || end != t.data() + t.size()) fail("'" + t + "' is no whole number");
  return v;
}
double Value::number() const {
  const std::string t = text();
  double v = 0;
  const auto [end, error] = std::from_chars(t.data(), t.data() + t.size(), v);
  if (error != std::errc() || end != t.data() + t.size() || !std::isfinite(v))
    fail("'" + t + "' is no number");
  return v;
}
bool Value::boolean() const {
  const std::string t = text();
  if (t != "true" && t != "false") fail("'" + t + "' is neither true nor false");
  return t == "true";
}
Time Value::duration() const {
  try {
    return parse_duration(text());
  } catch (const std::invalid_argument& e) {
    fail(e.what());
  }
}
double Value::rate() const {
  try {
    return parse_rate(text());
  } catch (const std::invalid_argument& e) {
    fail(e.what());
  }
}
std::int64_t Value::size() const {
  try {
    return parse_size(text());
  } catch (const std::invalid_argument& e) {
    fail(e.what());
  }
}
std::string Value::suggestion(const std::string& name, const std::vector<std::string>& names) {
  const auto near = nearest(name, names);
  if (!near.empty()) return "; did you mean '" + near + "'?";
  std::string all = "; one of:";
  for (const auto& n : names) all += " " + n;
  return all;
}
int Value::index_in(const std::vector<std::string>& names, const char* what) const {
  const auto it = std::find(names.begin(), names.end(), text());
  if (it == names.end())
    fail("no " + std::string(what) + " is named '" + text() + "'" + suggestion(text(), names));
  return static_cast<int>(it - names.begin());
}

}  // namespace cedarplank::config
