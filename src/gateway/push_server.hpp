// The push gateway's server side: accepts HTTP/2 connections of clients, turns their requests (RFC 8030) into
// messages for the core, and sends the core's final answers back as responses.
//
// Also serves the message resources (/message/<id>) where the relay remembers messages and their answers.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/relay_settings.hpp"
#include "gateway/semantics.hpp"
#include "http2/connection.hpp"
#include "net/socket.hpp"
#include "relay/core.hpp"
#include "relay/message_registry.hpp"
#include "relay/request_validator.hpp"

namespace cedarplank::gateway {

// The core reports the final answers of messages to it.
class PushServer final : public relay::AnswerSink {
 public:
  // What the server needs from the relay around it.
  struct Host {
    // Looks up a destination by name; nothing if there is none.
    std::function<std::optional<DestinationId>(const std::string&)> find_destination;
    // Submits a message to the core. If it is accepted, `id_assigned` is called with its id before any final
    // answer can be given.
    std::function<relay::AcceptResult(relay::NewMessage, const std::function<void(MessageId)>& id_assigned)>
        accept;
    // The client no longer wants the message.
    std::function<void(MessageId)> withdraw;
    // How many streams one client may have open now.
    std::function<int()> client_streams_max;
    std::function<void(const std::string&)> log;
    // Null if the relay doesn't remember messages that it has answered.
    relay::MessageRegistry* message_registry = nullptr;
  };
  // Throws if the address can't be listened on.
  PushServer(loop::Loop& loop, const config::RelaySettings& settings, Host host);
  ~PushServer() override;

  // The address listened on, with the port that the system assigned.
  std::string address() const { return listener_->address().text(); }

  void served(MessageId id, const relay::CallResult& result) override;
  void refused(MessageId id, Time wait, const relay::AttemptSummary& summary) override;
  void failed(MessageId id, const relay::AttemptSummary& summary) override;

  // Accepts no new requests: closes the listener, and tells clients by GOAWAY which requests were accepted.
  void stop_accepting();
  // Whether every accepted request has been answered and every answer was handed to the kernel.
  bool drained() const;

 private:
  // A request whose body is still being received.
  struct Request {
    relay::NewMessage message;
    Time received_at = 0;  // when its headers were received
    // The client's own names, for the lookup of repeated requests.
    std::string destination, message_class, tenant;
    // RFC 8030 section 5.1: answered with 202; the client asks the message resource for the final answer.
    bool async = false;
    std::size_t counted = 0;  // its part of what its client has allocated
  };
  // One client connection.
  struct Client {
    std::uint64_t id = 0;
    std::unique_ptr<net::Stream> stream;
    http2::Connection h2;
    std::map<http2::StreamId, Request> incoming;      // requests whose body is still being received
    std::size_t incoming_bytes = 0;                   // allocated for them
    std::map<http2::StreamId, MessageId> unanswered;  // accepted requests that have no response yet
    // For the stall check: the bytes that the kernel had taken at the last progress, and when that was. While
    // nothing waits to be sent, every check counts as progress.
    std::uint64_t flushed_at_progress = 0;
    Time progress_at = 0;
    // paused: nothing is read from it, because too many bytes of answers wait to be sent. closing: the
    // connection failed and closes once its output is sent.
    bool paused = false, closing = false;
    explicit Client(const http2::LocalSettings& local) : h2(http2::Role::server, local) {}
  };
  using ClientId = std::uint64_t;

  void accept(net::Fd fd);
  void receive(ClientId id, std::string_view bytes);
  void on_event(Client& c, http2::Event& e);
  // Checks a request's headers, and answers at once if they are wrong. Otherwise waits for the body.
  void on_request(Client& c, http2::Event& e);
  // The body is complete: submits the message, or answers why it is not accepted.
  void submit_request(Client& c, http2::StreamId stream);
  // Requests for a message resource: GET for the message's state, DELETE to cancel it. False if the path
  // names no message resource.
  bool on_message_resource(Client& c, const http2::Event& e);
  // Answers a request whose message the relay knows already by its idempotency key. False if the request is
  // to be submitted as a new message.
  bool answer_repeat(Client& c, http2::StreamId stream, const Request& r);
  // Answers 202 with the message resource as soon as the message would survive a crash of the relay.
  void answer_when_durable(MessageId id, ClientId client, http2::StreamId stream);
  // The client's connection ended before the message's final answer.
  void on_client_lost(MessageId id);
  // Answers with a final answer that the relay remembers.
  void answer_remembered(Client& c, http2::StreamId stream, const relay::MessageRegistry::Entry& e);
  static std::size_t memory_of(const Request& r);  // bytes that are allocated for it
  // Whether a request that is still being received has room for so many bytes more of its body.
  bool has_room(const Client& c, const Request& r, std::size_t more) const;
  // Sets what the request has allocated.
  void count(Client& c, Request& r, std::size_t bytes);
  // What a client with so many bytes has beyond its share.
  std::size_t beyond_share(std::size_t bytes) const { return bytes - std::min(bytes, client_share_); }
  // Answers that there is no room for a request, and forgets it.
  void refuse_for_room(Client& c, http2::StreamId stream);
  // Forgets a request whose body is still being received.
  void drop_request(Client& c, http2::StreamId stream);
  void answer(Client& c, http2::StreamId stream, http2::Headers headers, const std::string& body = {});
  void answer_problem(Client& c, http2::StreamId stream, const Problem& p, http2::Headers extra = {});
  // Answers the request that waits for the message, if its client is still connected.
  void answer_waiting_request(MessageId id, http2::Headers headers, const std::string& body = {});
  // The name by which clients know a message: "<relay name>-<id>".
  std::string message_name(MessageId id) const { return settings_.name + "-" + std::to_string(id); }
  void flush(Client& c);
  void close(ClientId id, const std::string& why, bool abort);
  // Runs regularly: closes stalled connections and answers requests whose body takes too long.
  void check_stalled();

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Host host_;
  std::unique_ptr<net::Listener> listener_;
  std::map<ClientId, std::unique_ptr<Client>> clients_;
  // The request that waits for each message's final answer.
  std::map<MessageId, std::pair<ClientId, http2::StreamId>> waiting_requests_;
  relay::RequestValidator request_validator_;
  ClientId next_client_ = 1;
  const std::size_t
      unsent_answers_max_;  // bytes that wait for one client; beyond it nothing more is read from it
  // Half of `body_total_max` is divided among the connections, so that none is crowded out; the rest is for
  // those that need more: allocated of it, by all of them.
  const std::size_t client_share_;
  std::size_t incoming_beyond_shares_ = 0;
  bool stopping_ = false;
  loop::TimerId stall_check_timer_ = 0;
  // Set to false by the destructor, for callbacks that outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::gateway
