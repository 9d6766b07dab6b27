// The memory that one client's connection may use for the requests that it sends. Each connection has some
// room in any case, so that small requests are read however much others hold; for a larger request it asks
// the budget for more, and gives that back once the request is handled.
#pragma once

#include "platform/memory_budget.hpp"

namespace cedarplank::platform {

class RequestRoom {
 public:
  explicit RequestRoom(MemoryBudget& budget);
  // Bytes that may be allocated for requests.
  std::size_t bytes() const { return granted_; }
  bool extended() const { return granted_ > MemoryPlan::kGuaranteedRequestRoom; }
  // Asks for room for so many bytes in all, and so many for what is kept free for others. Returns whether the
  // connection has it now.
  bool extend(std::size_t bytes, std::size_t left_for_others = 0);
  // Gives back what exceeds the guaranteed room and is not allocated.
  void release();
  // Tells the budget what is allocated for requests and for answers that are not sent.
  void count(std::size_t request_bytes, std::size_t answer_bytes);
  // The connection is closed and holds nothing any more.
  void close();

 private:
  void charge();

  MemoryBudget& budget_;
  MemoryCharge connection_, excess_;
  std::size_t granted_ = MemoryPlan::kGuaranteedRequestRoom;
  std::size_t allocated_ = 0;  // for requests
};

}  // namespace cedarplank::platform
