// Settings and partner lists: any text is either accepted or rejected with a ConfigError.
#include "config/partners.hpp"
#include "config/relay_settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::config;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    parse_relay_settings("relay.yaml", text);
  } catch (const ConfigError&) {
  }
  try {
    parse_partners("partners.yaml", text, {{"a"}, {"k"}, {"z"}, {}});
  } catch (const ConfigError&) {
  }
  return 0;
}
