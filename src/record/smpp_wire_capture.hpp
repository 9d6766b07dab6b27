// Captures the SMPP PDUs that pass a socket as records of the same form as HTTP/2 frames, so that one checker
// can check both: a submit becomes a request (HEADERS, then DATA with the message id), its response or
// receipt the answer. Decodes the raw bytes without an SMPP session.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "record/wire_capture.hpp"
#include "smpp/pdu.hpp"

namespace cedarplank::record {

// By message id that the relay assigned: connection and stream of the client's submit. Shared, because a
// receipt may arrive over another bind of the client.
using PendingReceipts = std::map<std::string, std::pair<std::uint64_t, std::uint32_t>>;

// Captures SMPP PDUs.
class SmppWireCapture final : public WireCapture {
 public:
  // Needed only at a client. `path_of` returns the path with the destination and class that a submit names;
  // the pending receipts are shared by the client's binds to one relay.
  struct ClientContext {
    std::function<std::string(const smpp::Message&)> path_of;
    std::shared_ptr<PendingReceipts> pending_receipts;
  };
  SmppWireCapture(CaptureRecord::Side side, std::string place, std::uint64_t connection, Sink sink,
                  ClientContext client = {});
  void process_bytes(Time at, bool sent, std::string_view bytes) override;
  // On CLOSE at a client, records a reset for the submits without a response. Those that have a message id
  // can still be answered by the relay.
  void record_connection_event(Time at, const char* what) override;

 private:
  // A message of one or more parts.
  struct SubmittedMessage {
    int parts = 1, submitted_parts = 0,
        answered_parts = 0;      // parts in all, submitted so far, and with a response
    std::string status = "201";  // of the first part that failed, else 201
    std::uint32_t wait = 0;      // the longest wait given for a part, in seconds
  };
  void process_pdu(Time at, bool sent, const smpp::Pdu& p);
  void process_submit(Time at, bool sent, const smpp::Pdu& p);
  void process_response(Time at, bool sent, const smpp::Pdu& p);
  void process_receipt(Time at, bool sent, const smpp::Pdu& p);
  void record_answer(Time at, bool sent, std::uint64_t connection, std::uint32_t stream,
                     const std::string& status, std::uint32_t wait);

  ClientContext client_context_;
  smpp::Framer in_, out_;
  std::string system_id_;  // from the bind
  // By a part's sequence number: that of the message's first part, which serves as its stream.
  std::map<std::uint32_t, std::uint32_t> stream_by_sequence_;
  std::map<std::uint32_t, SubmittedMessage> messages_by_stream_;  // by stream
  // By part reference: the stream of a message of which more parts are to come.
  std::map<std::uint16_t, std::uint32_t> stream_by_reference_;
};

}  // namespace cedarplank::record
