// What stories begin with, from a message and the settings; for whoever drives a core and keeps stories.
#pragma once

#include "config/relay_settings.hpp"
#include "relay/core.hpp"

namespace cedarplank::relay {

trace::Settings trace_settings(const config::RelaySettings& settings);

// `now` is the moment at which the message is handed to the core.
trace::Head head_of(const NewMessage& message, const std::string& destination, Time now,
                    const config::RelaySettings& settings);

}  // namespace cedarplank::relay
