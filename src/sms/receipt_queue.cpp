#include "sms/receipt_queue.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::sms {

void ReceiptQueue::add(Time now, const std::string& client, smpp::Message receipt, std::uint64_t tag) {
  counts_.added++;
  if (settings_.max_waiting == 0) {
    counts_.dropped++;
    return;
  }
  if (waiting_ >= settings_.max_waiting) {
    const auto longest =
        std::max_element(waiting_by_client_.begin(), waiting_by_client_.end(),
                         [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    longest->second.pop_front();
    if (longest->second.empty()) waiting_by_client_.erase(longest);
    waiting_--, counts_.dropped++;
  }
  waiting_by_client_[client].push_back({std::move(receipt), now + settings_.retention, 0, tag});
  waiting_++;
}

std::optional<std::pair<ReceiptQueue::Number, smpp::Message>> ReceiptQueue::next(Time now,
                                                                                 const std::string& client) {
  const auto it = waiting_by_client_.find(client);
  if (it == waiting_by_client_.end() || it->second.front().not_before > now) return std::nullopt;
  WaitingReceipt entry = std::move(it->second.front());
  it->second.pop_front();
  if (it->second.empty()) waiting_by_client_.erase(it);
  waiting_--;
  const Number number = next_number_++;
  auto receipt = entry.receipt;
  outstanding_[number] = {client, std::move(entry)};
  return std::pair(number, std::move(receipt));
}

std::uint64_t ReceiptQueue::delivered(Number number) { return complete(number, counts_.delivered); }
std::uint64_t ReceiptQueue::refused(Number number) { return complete(number, counts_.refused); }
std::uint64_t ReceiptQueue::complete(Number number, std::uint64_t& count) {
  const auto it = outstanding_.find(number);
  if (it == outstanding_.end()) return 0;
  const auto tag = it->second.entry.tag;
  outstanding_.erase(it);
  count++;
  return tag;
}
void ReceiptQueue::requeue(Number number) { put_back(number, 0); }
void ReceiptQueue::postpone(Time now, Number number) { put_back(number, now + settings_.retry_delay); }

void ReceiptQueue::put_back(Number number, Time not_before) {
  const auto it = outstanding_.find(number);
  if (it == outstanding_.end()) return;
  it->second.entry.not_before = not_before;
  waiting_by_client_[it->second.client].push_front(std::move(it->second.entry));
  waiting_++;
  outstanding_.erase(it);
}

void ReceiptQueue::tick(Time now) {
  for (auto it = waiting_by_client_.begin(); it != waiting_by_client_.end();) {
    auto& queue = it->second;
    const auto expired = std::remove_if(queue.begin(), queue.end(),
                                        [&](const WaitingReceipt& o) { return o.expires_at <= now; });
    const auto n = static_cast<std::size_t>(queue.end() - expired);
    queue.erase(expired, queue.end());
    waiting_ -= n, counts_.expired += n;
    it = queue.empty() ? waiting_by_client_.erase(it) : std::next(it);
  }
}

Time ReceiptQueue::next_retry(Time now) const {
  Time due = std::numeric_limits<Time>::max();
  for (const auto& [client, queue] : waiting_by_client_)
    if (queue.front().not_before > now) due = std::min(due, queue.front().not_before);
  return due;
}

std::size_t ReceiptQueue::waiting(const std::string& client) const {
  const auto it = waiting_by_client_.find(client);
  return it == waiting_by_client_.end() ? 0 : it->second.size();
}

}  // namespace cedarplank::sms
