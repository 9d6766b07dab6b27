// Which of several connections to the discovery service carries the next request. An exchange is a connection
// and the request on it, if any: it has an HttpClient `client`, and `order`, which grows with each request.
#pragma once

#include <memory>
#include <vector>

namespace cedarplank::platform {

// An exchange without a request, if there is one: preferably one that is connected; null: all are in use.
template <typename Exchange>
Exchange* find_idle(const std::vector<std::unique_ptr<Exchange>>& exchanges) {
  Exchange* idle = nullptr;
  for (const auto& exchange : exchanges) {
    if (exchange->client.busy()) continue;
    if (idle == nullptr || (exchange->client.connected() && !idle->client.connected())) idle = exchange.get();
  }
  return idle;
}

// The exchange whose request was sent first; null: none has one.
template <typename Exchange>
Exchange* find_oldest(const std::vector<std::unique_ptr<Exchange>>& exchanges) {
  Exchange* oldest = nullptr;
  for (const auto& exchange : exchanges) {
    if (!exchange->client.busy()) continue;
    if (oldest == nullptr || exchange->order < oldest->order) oldest = exchange.get();
  }
  return oldest;
}

}  // namespace cedarplank::platform
