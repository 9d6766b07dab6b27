// SMPP server: presents the relay to clients as a message centre. Clients bind and submit messages, and get
// the final answers as delivery receipts over any bind that they have at that time (docs/operate/smpp.md).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/socket.hpp"
#include "relay/core.hpp"
#include "relay/message_registry.hpp"
#include "relay/request_validator.hpp"
#include "smpp/session.hpp"
#include "sms/bind_rate_limiter.hpp"
#include "sms/password.hpp"
#include "sms/receipt_queue.hpp"
#include "sms/semantics.hpp"
#include "sms/submissions.hpp"

namespace cedarplank::sms {

class SmppServer final : public relay::AnswerSink {
 public:
  // What the server needs from the relay.
  struct Host {
    std::function<std::optional<DestinationId>(const std::string&)> find_destination;  // by its name
    // Submits a message. `named` is called with the message's id before any final answer can arrive.
    std::function<relay::AcceptResult(relay::NewMessage, const std::function<void(MessageId)>& named)> accept;
    std::function<void(MessageId)> withdraw;
    std::function<int()>
        max_open_messages;  // messages that one client may have open now, as admission control sets it
    std::function<Time()> wall_clock;  // us since 1970
    std::function<void(const std::string&)> log;
    relay::MessageRegistry* message_registry =
        nullptr;  // null: the relay keeps no record of answered messages
  };
  // Restores a message that an earlier run accepted. restore_message(): the relay still holds it.
  // restore_receipt(): it has its final answer, but the receipt was not delivered yet. Both return false
  // where the ownership record is not one of this server.
  bool restore_message(MessageId id, const std::string& owner);
  bool restore_receipt(MessageId id, const std::string& owner, Receipt::State state, Time come_back);
  // Throws where the listener cannot be opened. The settings must have an `smpp` section.
  SmppServer(loop::Loop& loop, const config::RelaySettings& settings, Host host);
  ~SmppServer() override;

  std::string address() const { return address_; }

  void served(MessageId id, const relay::CallResult& ending) override;
  void refused(MessageId id, Time come_back, const relay::AttemptSummary& account) override;
  void failed(MessageId id, const relay::AttemptSummary& account) override;

  // Stops accepting messages: closes the listener, rejects submits and refuses what was scheduled.
  void stop_accepting();
  // Whether all final answers have been sent to the clients that are bound; those without a bind cannot be
  // reached any more.
  bool drained() const;
  const ReceiptQueue& receipts() const { return receipts_; }

 private:
  using ClientId = std::uint64_t;
  struct Client {
    ClientId id = 0;
    std::string peer_address;                      // peer address, without the port
    const config::SmppClient* settings = nullptr;  // the client's settings, once it is bound
    std::unique_ptr<net::Stream> stream;
    smpp::Session session;
    std::map<std::uint32_t, ReceiptQueue::Number>
        unanswered_receipts;  // receipts without a response, by sequence number
    loop::TimerId timer = 0;
    // progress_at: when output last made progress, or none was queued.
    Time timer_at = 0, progress_at = 0;
    std::uint64_t flushed_at_progress = 0;  // bytes flushed at the last stall check
    // paused: nothing is read, because the client does not read its responses.
    bool paused = false, closing = false;
    Client(const smpp::SessionSettings& s, Time now) : session(smpp::Role::smsc, s, now) {}
  };
  // What a submit is answered with.
  struct SubmitResult {
    smpp::Status status = smpp::status::ok;
    std::string id;          // the message id that the client gets
    std::uint32_t wait = 0;  // told wait, seconds
    MessageId relay_id = 0;  // the relay's id; 0: not submitted to the relay yet
  };

  void accept(net::Fd fd);
  void receive(ClientId id, std::string_view bytes);
  void on_events(Client& c, std::vector<smpp::Event>& events);
  void on_bind(Client& c, const smpp::Pdu& pdu);
  void on_request(Client& c, smpp::Pdu& pdu);
  // The response to a receipt; no status: none came in time.
  void on_receipt_response(Client& c, std::uint32_t sequence, std::optional<smpp::Status> status);
  void on_multi(Client& c, const smpp::Pdu& pdu);
  void on_query(Client& c, const smpp::Pdu& pdu);
  void on_cancel(Client& c, const smpp::Pdu& pdu);
  void on_replace(Client& c, const smpp::Pdu& pdu);
  void respond_to_submit(Client& c, const smpp::Pdu& pdu, const SubmitResult& taken);
  // Validates a submit completely before any part of it is accepted.
  SubmitResult handle_submit(Client& c, const smpp::Message& m, std::uint32_t sequence,
                             const std::string& id = {});
  // Schedules the message or submits it to the relay. `answered`: the client already has a positive response,
  // so that a rejection becomes a receipt.
  SubmitResult submit_to_relay(Submission s, bool answered);
  // Sets class, urgency, sender, destination and recipient from the settings.
  smpp::Status route(const smpp::Message& m, relay::Request& out) const;
  // Sets when the message may be sent and when it expires.
  smpp::Status parse_times(const std::string& schedule, const std::string& validity, Submission& out) const;
  // Calls `then` once the message is durable, if the client is still connected.
  void when_durable(MessageId id, ClientId client, std::function<void(Client&)> then);
  // Records the final state and queues a receipt if the client asked for one.
  void finish_submission(Submission s, Receipt::State state, Time come_back, MessageId message = 0);
  void finish_message(MessageId message, Receipt::State state, Time come_back);
  void send_receipts_soon();
  void send_receipts();    // sends receipts to the clients that are bound to receive them
  void rearm_due_timer();  // sets the timer for scheduled messages and incomplete long ones
  void flush(Client& c);
  void rearm(Client& c);
  void close(ClientId id, const std::string& why, bool abort);
  void check_stalled();  // disconnects clients that do not read; expires receipts
  std::string next_id();
  std::size_t binds_of(const std::string& system_id) const;

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  const config::SmppServerSettings& smpp_;
  Host host_;
  std::unique_ptr<net::Listener> listener_;
  std::string address_;
  relay::RequestValidator request_validator_;
  PasswordVerifier password_verifier_;
  BindRateLimiter bind_limiter_;
  ReceiptQueue receipts_;
  const std::size_t unread_max_;  // bytes of unread output of one client
  Submissions submissions_;
  std::map<ClientId, std::unique_ptr<Client>> clients_;
  ClientId next_client_ = 1;
  std::uint64_t next_message_ = 1;
  std::string run_id_;  // part of message ids; makes those of this run differ from those of earlier runs
  bool stopping_ = false, send_receipts_due_ = false;
  std::uint64_t rejected_binds_ = 0;
  loop::TimerId stall_check_timer_ = 0, due_timer_ = 0, receipt_retry_timer_ = 0;
  // False once the server is destroyed; deferred callbacks share it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::sms
