// Structured log: one JSON object per line on standard error, written through spdlog.
#pragma once

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <string>
#include <utility>
#include <vector>

#include "text/text.hpp"

namespace cedarplank::app {

class JsonLog {
 public:
  explicit JsonLog(const std::string& name)
      : logger_(name, std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l","name":"%n",%v})");
    logger_.flush_on(spdlog::level::info);
  }
  // Name and value of each field.
  using Fields = std::vector<std::pair<const char*, std::string>>;
  void write(const char* event, const Fields& fields, spdlog::level::level_enum level = spdlog::level::info) {
    rapidjson::StringBuffer buffer;
    text::JsonWriter w(buffer);
    w.StartObject();
    text::write_json(w, "event", event);
    for (const auto& [key, value] : fields) text::write_json(w, key, value);
    w.EndObject();
    // The pattern supplies the outer braces.
    logger_.log(level, std::string(buffer.GetString() + 1, buffer.GetSize() - 2));
  }

 private:
  spdlog::logger logger_;
};

}  // namespace cedarplank::app
