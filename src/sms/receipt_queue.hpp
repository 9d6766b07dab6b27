// Queue of delivery receipts for SMPP clients. Holds each receipt until its client has accepted it: in the
// order in which the messages ended, for any bind of the client, and also while the client has no bind. Does
// no I/O and reads no clock; bounded in number and time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "smpp/pdu.hpp"

namespace cedarplank::sms {

using Time = std::int64_t;

class ReceiptQueue {
 public:
  using Number = std::uint64_t;
  struct Settings {
    std::size_t max_waiting = 100'000;  // receipts waiting, of all clients together
    Time retention = 3'600'000'000;     // how long a receipt waits before it expires, us
    Time retry_delay = 1'000'000;       // delay before a receipt that was postponed is sent again, us
  };
  struct Counts {
    std::uint64_t added = 0, delivered = 0, refused = 0, expired = 0, dropped = 0;
  };
  explicit ReceiptQueue(const Settings& settings) : settings_(settings) {}

  // Adds a receipt. At the limit, drops the oldest receipt of the client with the most waiting, so that a
  // client that never binds does not displace the receipts of others. `tag` is returned when the receipt is
  // done.
  void add(Time now, const std::string& client, smpp::Message receipt, std::uint64_t tag = 0);
  // Takes the next receipt to send to this client; it is outstanding until one of the calls below ends that.
  std::optional<std::pair<Number, smpp::Message>> next(Time now, const std::string& client);
  std::uint64_t delivered(Number number);  // the client accepted it; returns its tag
  std::uint64_t refused(Number number);    // the client will never accept it; returns its tag
  void postpone(Time now, Number number);  // the client cannot accept it now: sent again after a delay
  void requeue(Number number);             // its bind was lost without a response: sent again, first
  // Drops the receipts that have expired.
  void tick(Time now);
  // When the next postponed receipt is due; the largest time where there is none.
  Time next_retry(Time now) const;

  std::size_t waiting(const std::string& client) const;
  std::size_t waiting() const { return waiting_; }
  std::size_t outstanding() const { return outstanding_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct WaitingReceipt {
    smpp::Message receipt;
    Time expires_at = 0, not_before = 0;  // when it expires; when it may be sent
    std::uint64_t tag = 0;
  };
  struct SentReceipt {  // sent, without a response yet
    std::string client;
    WaitingReceipt entry;
  };
  std::uint64_t complete(Number number, std::uint64_t& count);
  void put_back(Number number, Time not_before);

  Settings settings_;
  std::map<std::string, std::deque<WaitingReceipt>> waiting_by_client_;  // waiting receipts, by system_id
  std::map<Number, SentReceipt> outstanding_;
  std::size_t waiting_ = 0;
  Number next_number_ = 1;
  Counts counts_;
};

}  // namespace cedarplank::sms
