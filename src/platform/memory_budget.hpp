// The memory of the process: one budget, worked out from its limit, that knows of every holder whose size
// depends on clients, endpoints or discovery. What is counted is what is allocated, not what is filled.
//
// docs/design/memory.md derives the shares.
#pragma once

#include <array>
#include <cstddef>

namespace cedarplank::platform {

// What memory is used for; name_of() gives the name in the counters.
enum class MemoryUse {
  client_connections,  // connections of clients, each with the room that it has in any case
  client_requests,     // what requests of clients need beyond that room
  messages,            // messages held and final answers to be told, with their records and copies in calls
  final_answers,       // remembered for copies of ended requests
  endpoints,           // connections to endpoints, with calls and answers
  list                 // the list of endpoints, in all that know it
};
constexpr std::size_t kMemoryUses = 6;
const char* name_of(MemoryUse use);

// How the memory limit is divided. All in bytes.
struct MemoryPlan {
  std::size_t total = 0;               // for all uses together
  std::size_t client_connections = 0;  // the most of them, a number
  // Set apart for uses that must not be crowded out; what they don't need stays free for them.
  std::size_t reserved_for_connections = 0, reserved_for_messages = 0, reserved_for_final_answers = 0;
  std::size_t shared = 0;     // the part of the total that is not reserved
  std::size_t list_text = 0;  // of one answer of discovery

  // Of a client's connection without what it has sent, and the room for a request that each has in any case.
  static constexpr std::size_t kClientConnectionBytes = 2 * 1024, kGuaranteedRequestRoom = 4 * 1024;
  // Of a connection to an endpoint without what it carries.
  static constexpr std::size_t kEndpointConnectionBytes = 3 * 1024;
  // Of an endpoint in the list, in all that know it.
  static constexpr std::size_t kListedEndpointBytes = 3 * 512;
};

// Divides `limit` bytes for a relay that may have so many connections.
MemoryPlan plan_memory(std::size_t limit, std::size_t client_connections, std::size_t endpoint_connections);

class MemoryBudget {
 public:
  explicit MemoryBudget(const MemoryPlan& plan) : plan_(plan) {}
  const MemoryPlan& plan() const { return plan_; }
  std::size_t used(MemoryUse use) const { return used_[static_cast<std::size_t>(use)]; }
  std::size_t used() const;
  // Whether this use may take so many bytes more. Reserved room is open to its own use only.
  bool has_room(MemoryUse use, std::size_t bytes) const;
  // Bytes that neither are used nor reserved.
  std::size_t free() const;
  // Sets what this use holds now.
  void set(MemoryUse use, std::size_t bytes) { used_[static_cast<std::size_t>(use)] = bytes; }
  void add(MemoryUse use, std::size_t bytes) { used_[static_cast<std::size_t>(use)] += bytes; }
  void subtract(MemoryUse use, std::size_t bytes) { used_[static_cast<std::size_t>(use)] -= bytes; }

 private:
  std::size_t reserved(MemoryUse use) const;

  const MemoryPlan plan_;
  std::array<std::size_t, kMemoryUses> used_{};
};

// What one holder has allocated for one use; the budget knows of it until this object is destroyed. An object
// that may outlive the budget is set to 0 before.
class MemoryCharge {
 public:
  MemoryCharge(MemoryBudget& budget, MemoryUse use) : budget_(budget), use_(use) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  std::size_t bytes() const { return bytes_; }
  void set(std::size_t bytes);

 private:
  MemoryBudget& budget_;
  const MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace cedarplank::platform
