// A load client: pushes messages through relays (or directly to endpoints) over HTTP/2 or SMPP and counts
// every answer.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "net/socket.hpp"
#include "record/smpp_wire_capture.hpp"
#include "rig/client_protocol.hpp"
#include "rig/load_model.hpp"

namespace cedarplank::rig {

// A relay (or endpoint) that messages are pushed to.
struct Target {
  std::string name, address;
  std::string system_id = {}, password = {};  // if set: SMPP, with these credentials
};

class LoadClient {
 public:
  using Message = LoadModel::Message;
  using Tally = LoadModel::Tally;
  // Chooses the target of a message, and the path on it. `up`: which targets have a usable connection.
  using Router =
      std::function<std::pair<std::size_t, std::string>(const Message&, const std::vector<bool>& up)>;

  LoadClient(loop::Loop& loop, const LoadSettings& settings, std::vector<Target> targets, Router router,
             record::Sink sink = {});
  ~LoadClient();

  void start();
  void stop_creating() { creating_ = false; }  // creates no further messages
  // No further messages are created, and each has its final answer.
  bool done() const;
  void on_done(std::function<void()> f) { on_done_ = std::move(f); }

  LoadModel& model() { return model_; }
  const std::vector<Tally>& tallies() const { return model_.tallies(); }  // by class
  std::uint64_t created() const { return model_.created(); }
  std::uint64_t answered() const { return model_.answered(); }
  std::uint64_t duplicate_answers() const {
    return duplicate_answers_;
  }  // second, differing or unexpected final answers
  std::size_t unanswered() const { return model_.unanswered(); }

 private:
  // A connection to a target; replaced by a new one with another id after it is lost.
  struct Connection {
    std::size_t target = 0;
    std::uint64_t id = 0;
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<ClientProtocol> protocol;
    std::unique_ptr<record::WireCapture> capture;
    std::map<std::uint32_t, Message> open_requests;  // by stream: pushed, without an answer
    bool up = false;
  };
  // For a target that answers with receipts: the messages that it has accepted, over any connection.
  struct AcceptedMessages {
    struct AcceptedMessage {
      Message message;
      Time until = 0;  // when the client stops waiting for the receipt
      std::uint64_t link = 0;
      std::uint32_t stream = 0;  // on that connection
    };
    std::map<std::string, AcceptedMessage> awaiting_receipt;  // by id: waiting for a receipt
    std::map<std::string, ClientEvent> early_receipts;        // receipts that came before the response
    // By id: the status of ended messages, since a receipt may come twice, with the same status. Empty: the
    // client gave the message up, and any status is right.
    std::map<std::string, std::string> ended;
    std::shared_ptr<record::PendingReceipts> book = std::make_shared<record::PendingReceipts>();
  };
  void connect(std::size_t link);
  void on_connection_lost(std::size_t link, std::uint64_t id);
  void receive(std::size_t link, std::uint64_t id, std::string_view bytes);
  void flush(Connection& l);
  void on_event(Connection& l, const ClientEvent& h);
  void on_receipt(AcceptedMessages& t, const ClientEvent& h);
  void schedule_give_up(Connection& l, std::uint32_t stream);
  void expire_receipts();
  std::unique_ptr<record::WireCapture> make_capture(const Connection& l);
  void create_due_messages();
  void submit(Message m);
  void push_queued();
  void apply_next_step(Message m, LoadModel::NextStep next);

  loop::Loop& loop_;
  LoadModel model_;
  const LoadSettings& settings_ = model_.settings();
  std::vector<Target> targets_;
  Router router_;
  record::Sink sink_;
  std::vector<Connection> connections_;
  std::vector<AcceptedMessages> accepted_;   // by target
  std::vector<std::deque<Message>> queues_;  // by target: submitted, not pushed on a stream yet
  std::uint64_t next_connection_ = 1, duplicate_answers_ = 0;
  bool creating_ = false;
  Time next_message_at_ = 0;
  loop::TimerId timer_ = 0;
  std::function<void()> on_done_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::rig
