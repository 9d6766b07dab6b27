#include "sms/receipt_book.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::sms {

void ReceiptBook::owe(Time now, const std::string& client, smpp::Message receipt, std::uint64_t tag) {
  counts_.owed++;
  if (settings_.most == 0) {
    counts_.dropped++;
    return;
  }
  if (waiting_ >= settings_.most) {
    const auto longest = std::max_element(clients_.begin(), clients_.end(), [](const auto& a, const auto& b) {
      return a.second.size() < b.second.size();
    });
    longest->second.pop_front();
    if (longest->second.empty()) clients_.erase(longest);
    waiting_--, counts_.dropped++;
  }
  clients_[client].push_back({std::move(receipt), now + settings_.keep, 0, tag});
  waiting_++;
}

std::optional<std::pair<ReceiptBook::Number, smpp::Message>> ReceiptBook::next(Time now,
                                                                               const std::string& client) {
  const auto it = clients_.find(client);
  if (it == clients_.end() || it->second.front().not_before > now) return std::nullopt;
  Owed owed = std::move(it->second.front());
  it->second.pop_front();
  if (it->second.empty()) clients_.erase(it);
  waiting_--;
  const Number number = next_++;
  auto receipt = owed.receipt;
  out_[number] = {client, std::move(owed)};
  return std::pair(number, std::move(receipt));
}

std::uint64_t ReceiptBook::delivered(Number number) { return done(number, counts_.delivered); }
std::uint64_t ReceiptBook::refused(Number number) { return done(number, counts_.refused); }
std::uint64_t ReceiptBook::done(Number number, std::uint64_t& count) {
  const auto it = out_.find(number);
  if (it == out_.end()) return 0;
  const auto tag = it->second.owed.tag;
  out_.erase(it);
  count++;
  return tag;
}
void ReceiptBook::lost(Number number) { put_back(number, 0); }
void ReceiptBook::not_now(Time now, Number number) { put_back(number, now + settings_.again_after); }

void ReceiptBook::put_back(Number number, Time not_before) {
  const auto it = out_.find(number);
  if (it == out_.end()) return;
  it->second.owed.not_before = not_before;
  clients_[it->second.client].push_front(std::move(it->second.owed));
  waiting_++;
  out_.erase(it);
}

void ReceiptBook::tick(Time now) {
  for (auto it = clients_.begin(); it != clients_.end();) {
    auto& queue = it->second;
    const auto expired =
        std::remove_if(queue.begin(), queue.end(), [&](const Owed& o) { return o.until <= now; });
    const auto n = static_cast<std::size_t>(queue.end() - expired);
    queue.erase(expired, queue.end());
    waiting_ -= n, counts_.expired += n;
    it = queue.empty() ? clients_.erase(it) : std::next(it);
  }
}

Time ReceiptBook::next_again(Time now) const {
  Time due = std::numeric_limits<Time>::max();
  for (const auto& [client, queue] : clients_)
    if (queue.front().not_before > now) due = std::min(due, queue.front().not_before);
  return due;
}

std::size_t ReceiptBook::waiting(const std::string& client) const {
  const auto it = clients_.find(client);
  return it == clients_.end() ? 0 : it->second.size();
}

}  // namespace cedarplank::sms
