#include "platform/request_room.hpp"

#include <algorithm>

namespace cedarplank::platform {

RequestRoom::RequestRoom(MemoryBudget& budget)
    : budget_(budget),
      connection_(budget, MemoryUse::client_connections),
      excess_(budget, MemoryUse::client_requests) {
  connection_.set(MemoryPlan::kClientConnectionBytes);
}

bool RequestRoom::extend(std::size_t bytes, std::size_t left_for_others) {
  if (bytes <= granted_) return true;
  if (!budget_.has_room(MemoryUse::client_requests, bytes - granted_ + left_for_others)) return false;
  granted_ = bytes;
  charge();
  return true;
}

void RequestRoom::release() {
  granted_ = MemoryPlan::kGuaranteedRequestRoom;
  charge();
}

void RequestRoom::count(std::size_t request_bytes, std::size_t answer_bytes) {
  allocated_ = request_bytes;
  connection_.set(MemoryPlan::kClientConnectionBytes + answer_bytes +
                  std::min(allocated_, MemoryPlan::kGuaranteedRequestRoom));
  charge();
}

void RequestRoom::close() {
  connection_.set(0);
  excess_.set(0);
}

void RequestRoom::charge() {
  excess_.set(std::max(granted_, allocated_) - MemoryPlan::kGuaranteedRequestRoom);
}

}  // namespace cedarplank::platform
