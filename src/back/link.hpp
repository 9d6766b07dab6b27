// Interface of one connection to an endpoint, independent of the protocol that the partner uses. It stands
// between the endpoint driver and the implementations: HTTP/2 connections, SMPP binds and the simulator's
// virtual connections.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pool/pool.hpp"
#include "relay/core.hpp"

namespace cedarplank::back {

using relay::CallId;
using Time = std::int64_t;

class Link {
 public:
  struct SubmitResult {
    enum class Status { sent, no_capacity, unsupported } status = Status::sent;
    std::uint32_t stream = 0;  // yes: the number of the call's stream on this connection
    relay::CallResult ending;  // never: the protocol cannot express the call; nothing of it was sent
  };
  struct Capacity {
    std::uint32_t calls_max = 0;  // calls that the peer allows at once
    bool blocked = false;         // the peer does not read what was written, so no further calls are written
  };
  virtual ~Link() = default;

  // Sends the call. `left` is the remaining time of its message, in microseconds.
  virtual SubmitResult submit(const relay::OutgoingCall& call, Time left) = 0;
  // Abandons a call. Nothing more of it is sent, and nothing is reported for it afterwards.
  virtual void reset(CallId call) = 0;
  // Sends the protocol's liveness check (PING or enquire_link).
  virtual void ping() = 0;
  // Closes gracefully: what was written is still sent. The driver is notified when the connection has closed.
  virtual void close() = 0;
  // Closes immediately and reports nothing more. May be called from within the connection's own reports to
  // the driver.
  virtual void drop() = 0;
  // The connection's current capacity; nothing while the connection is not established.
  virtual std::optional<Capacity> capacity() = 0;
  // Periodic housekeeping, called from the driver's timers.
  virtual void run_maintenance() {}
  // The outcome of an outstanding call after the connection was lost: whether any of it may have been sent.
  virtual relay::CallResult ending_when_lost(CallId call, const std::string& why) = 0;
};

}  // namespace cedarplank::back
