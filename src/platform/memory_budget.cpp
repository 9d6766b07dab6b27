#include "platform/memory_budget.hpp"

#include <algorithm>
#include <numeric>

namespace cedarplank::platform {
namespace {

// Code, libraries, the journal's buffers and what the process needs at rest.
constexpr std::size_t kProgramBytes = 10'000'000;
constexpr std::size_t kAllocatorDivisor =
    8;  // this part of the limit is left to fragments and copies in passing
constexpr std::size_t kListTextDivisor = 24;
constexpr std::size_t kMaxListText = 4 * 1024 * 1024;
// However small the limit, requests of the largest size can be read one after the other.
constexpr std::size_t kMinTotal = 1024 * 1024;
constexpr std::size_t kMinClientConnections = 8;

}  // namespace

const char* name_of(MemoryUse use) {
  switch (use) {
    case MemoryUse::client_connections:
      return "client_connections";
    case MemoryUse::client_requests:
      return "client_requests";
    case MemoryUse::messages:
      return "messages";
    case MemoryUse::final_answers:
      return "final_answers";
    case MemoryUse::endpoints:
      return "endpoints";
    case MemoryUse::list:
      return "list";
  }
  return "unknown";
}

MemoryPlan plan_memory(std::size_t limit, std::size_t client_connections, std::size_t endpoint_connections) {
  constexpr std::size_t kBytesPerClient =
      MemoryPlan::kClientConnectionBytes + MemoryPlan::kGuaranteedRequestRoom;
  MemoryPlan plan;
  const std::size_t fixed =
      kProgramBytes + limit / kAllocatorDivisor + endpoint_connections * MemoryPlan::kEndpointConnectionBytes;
  plan.total = std::max(limit > fixed ? limit - fixed : 0, kMinTotal) +
               endpoint_connections * MemoryPlan::kEndpointConnectionBytes;
  plan.client_connections = std::clamp(plan.total / 2 / kBytesPerClient, kMinClientConnections,
                                       std::max(client_connections, kMinClientConnections));
  plan.reserved_for_connections = plan.client_connections * kBytesPerClient;
  const std::size_t rest = plan.total - std::min(plan.total, plan.reserved_for_connections);
  plan.reserved_for_messages = plan.reserved_for_final_answers = rest / 4;
  plan.shared = rest - plan.reserved_for_messages - plan.reserved_for_final_answers;
  plan.list_text = std::min(limit / kListTextDivisor, kMaxListText);
  return plan;
}

std::size_t MemoryBudget::used() const { return std::accumulate(used_.begin(), used_.end(), std::size_t{0}); }

std::size_t MemoryBudget::reserved(MemoryUse use) const {
  switch (use) {
    case MemoryUse::client_connections:
      return plan_.reserved_for_connections;
    case MemoryUse::messages:
      return plan_.reserved_for_messages;
    case MemoryUse::final_answers:
      return plan_.reserved_for_final_answers;
    case MemoryUse::client_requests:
    case MemoryUse::endpoints:
    case MemoryUse::list:
      break;
  }
  return 0;
}

std::size_t MemoryBudget::free() const {
  std::size_t committed = 0;
  for (std::size_t use = 0; use < kMemoryUses; use++)
    committed += std::max(used_[use], reserved(static_cast<MemoryUse>(use)));
  return plan_.total - std::min(plan_.total, committed);
}

bool MemoryBudget::has_room(MemoryUse use, std::size_t bytes) const {
  const std::size_t unused_reserve = reserved(use) - std::min(reserved(use), used(use));
  return bytes <= unused_reserve || bytes - unused_reserve <= free();
}

void MemoryCharge::set(std::size_t bytes) {
  if (bytes == bytes_) return;
  budget_.subtract(use_, bytes_);
  budget_.add(use_, bytes);
  bytes_ = bytes;
}

}  // namespace cedarplank::platform
