// Experiments as JSON records.
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <stdexcept>

#include "lab/experiment.hpp"

namespace cedarplank::lab {
namespace {

constexpr int kFormat = 1;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void text(Writer& w, const char* key, const std::string& v) {
  w.Key(key), w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
}
template <class T>
void list(Writer& w, const char* key, const std::vector<T>& values) {
  w.Key(key), w.StartArray();
  for (const auto& v : values) w.Uint64(v);
  w.EndArray();
}

// Reads values of a record; a missing or wrong one throws with the file and the key.
struct Reader {
  const std::string& file;
  [[noreturn]] void fail(const std::string& what) const { throw std::runtime_error(file + ": " + what); }
  const rapidjson::Value& at(const rapidjson::Value& v, const char* key) const {
    if (!v.IsObject() || !v.HasMember(key)) fail(std::string("'") + key + "' is missing");
    return v[key];
  }
  std::string text(const rapidjson::Value& v, const char* key) const {
    const auto& x = at(v, key);
    if (!x.IsString()) fail(std::string("'") + key + "' is not a string");
    return x.GetString();
  }
  double number(const rapidjson::Value& v, const char* key) const {
    const auto& x = at(v, key);
    if (!x.IsNumber()) fail(std::string("'") + key + "' is not a number");
    return x.GetDouble();
  }
  const rapidjson::Value& list(const rapidjson::Value& v, const char* key) const {
    const auto& x = at(v, key);
    if (!x.IsArray()) fail(std::string("'") + key + "' is no list");
    return x;
  }
  std::vector<std::uint64_t> counts(const rapidjson::Value& v, const char* key) const {
    std::vector<std::uint64_t> all;
    for (const auto& x : list(v, key).GetArray()) {
      if (!x.IsUint64()) fail(std::string("'") + key + "' contains a value that is not a count");
      all.push_back(x.GetUint64());
    }
    return all;
  }
};

}  // namespace

std::string to_json(const Experiment& e) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("format"), w.Int(kFormat);
  text(w, "name", e.name), text(w, "day", e.day), text(w, "revision", e.revision), text(w, "where", e.where);
  w.Key("cells"), w.StartArray();
  for (const auto& c : e.runs) {
    w.StartObject();
    w.Key("settings"), w.StartArray();
    for (const auto& o : c.settings) {
      w.StartObject();
      text(w, "path", o.path), text(w, "value", o.value);
      w.EndObject();
    }
    w.EndArray();
    text(w, "policy", c.policy);
    w.Key("seed"), w.Uint64(c.seed);
    text(w, "error", c.error);
    w.Key("figures"), w.StartObject();
    for (const auto& [name, value] : c.figures) w.Key(name.c_str()), w.Double(value);
    w.EndObject();
    w.Key("classes"), w.StartArray();
    for (const auto& k : c.classes) {
      w.StartObject();
      text(w, "name", k.name);
      w.Key("asked"), w.Double(k.asked), w.Key("served"), w.Double(k.served), w.Key("in_aim"),
          w.Double(k.in_aim);
      w.Key("p50_ms"), w.Double(k.p50_ms), w.Key("p99_ms"), w.Double(k.p99_ms);
      w.EndObject();
    }
    w.EndArray();
    w.Key("broken"), w.StartArray();
    for (const auto& line : c.broken_rules) w.String(line.c_str());
    w.EndArray();
    // Figures by second, as one list for each figure.
    std::vector<std::uint64_t> asked, served, in_aim, calls, refused, held;
    for (const auto& s : c.seconds)
      asked.push_back(s.asked), served.push_back(s.served), in_aim.push_back(s.in_aim),
          calls.push_back(s.calls), refused.push_back(s.refused_calls), held.push_back(s.held);
    w.Key("seconds"), w.StartObject();
    list(w, "asked", asked), list(w, "served", served), list(w, "in_aim", in_aim), list(w, "calls", calls);
    list(w, "refused_calls", refused), list(w, "held", held);
    w.Key("served_by_class"), w.StartArray();
    for (std::size_t k = 0; k < c.classes.size(); k++) {
      w.StartArray();
      for (const auto& s : c.seconds) w.Uint64(k < s.served_by_class.size() ? s.served_by_class[k] : 0);
      w.EndArray();
    }
    w.EndArray();
    w.EndObject();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

Experiment from_json(const std::string& file, const std::string& bytes) {
  const Reader r{file};
  rapidjson::Document d;
  d.Parse<rapidjson::kParseFullPrecisionFlag>(bytes.data(), bytes.size());
  if (d.HasParseError())
    r.fail(fmt::format("byte {}: {}", d.GetErrorOffset(), rapidjson::GetParseError_En(d.GetParseError())));
  if (r.number(d, "format") != kFormat) r.fail("written in another format");
  Experiment e;
  e.name = r.text(d, "name"), e.day = r.text(d, "day"), e.revision = r.text(d, "revision"),
  e.where = r.text(d, "where");
  for (const auto& v : r.list(d, "cells").GetArray()) {
    RunResult c;
    for (const auto& o : r.list(v, "settings").GetArray())
      c.settings.push_back({r.text(o, "path"), r.text(o, "value")});
    c.policy = r.text(v, "policy"), c.error = r.text(v, "error");
    c.seed = static_cast<std::uint64_t>(r.number(v, "seed"));
    for (const auto& name : figure_names())
      if (r.at(v, "figures").HasMember(name.c_str()))
        c.figures[name] = r.number(r.at(v, "figures"), name.c_str());
    for (const auto& k : r.list(v, "classes").GetArray())
      c.classes.push_back({r.text(k, "name"), r.number(k, "asked"), r.number(k, "served"),
                           r.number(k, "in_aim"), r.number(k, "p50_ms"), r.number(k, "p99_ms")});
    for (const auto& line : r.list(v, "broken").GetArray())
      c.broken_rules.push_back(line.IsString() ? line.GetString() : "");
    const auto& s = r.at(v, "seconds");
    const auto asked = r.counts(s, "asked"), served = r.counts(s, "served"), in_aim = r.counts(s, "in_aim"),
               calls = r.counts(s, "calls"), refused = r.counts(s, "refused_calls"),
               held = r.counts(s, "held");
    for (const auto* other : {&served, &in_aim, &calls, &refused, &held})
      if (other->size() != asked.size()) r.fail("the lists of 'seconds' have different lengths");
    for (std::size_t i = 0; i < asked.size(); i++)
      c.seconds.push_back(
          {asked[i], served[i], in_aim[i], calls[i], refused[i], static_cast<std::size_t>(held[i]), {}});
    for (const auto& list : r.list(s, "served_by_class").GetArray()) {
      if (!list.IsArray() || list.Size() != asked.size())
        r.fail("the lists of 'served_by_class' and 'seconds' have different lengths");
      for (rapidjson::SizeType i = 0; i < list.Size(); i++) {
        if (!list[i].IsUint64()) r.fail("'served_by_class' contains a value that is not a count");
        c.seconds[i].served_by_class.push_back(list[i].GetUint64());
      }
    }
    e.runs.push_back(std::move(c));
  }
  return e;
}

}  // namespace cedarplank::lab
