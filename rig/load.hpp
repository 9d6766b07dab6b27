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
#include "record/smpp_tap.hpp"
#include "rig/client_wire.hpp"
#include "rig/load_book.hpp"

namespace cedarplank::rig {

// A relay (or endpoint) that messages are pushed to.
struct Target {
  std::string name, address;
  std::string system_id = {}, password = {};  // if set: SMPP, with these credentials
};

class LoadClient {
 public:
  using Message = LoadBook::Message;
  using Tally = LoadBook::Tally;
  // Chooses the target of a message, and the path on it. `up`: which targets have a usable connection.
  using Router =
      std::function<std::pair<std::size_t, std::string>(const Message&, const std::vector<bool>& up)>;

  LoadClient(loop::Loop& loop, const LoadSettings& settings, std::vector<Target> targets, Router router,
             record::Sink sink = {});
  ~LoadClient();

  void start();
  void stop_asking() { asking_ = false; }  // creates no further messages
  // No further messages are created, and each has its final answer.
  bool done() const;
  void on_done(std::function<void()> f) { on_done_ = std::move(f); }

  LoadBook& book() { return book_; }
  const std::vector<Tally>& tallies() const { return book_.tallies(); }  // by class
  std::uint64_t asked() const { return book_.asked(); }
  std::uint64_t answered() const { return book_.answered(); }
  std::uint64_t doubled() const { return doubled_; }  // second, differing or unexpected final answers
  std::size_t waiting() const { return book_.waiting(); }

 private:
  // A connection to a target; replaced by a new one with another id after it is lost.
  struct Link {
    std::size_t target = 0;
    std::uint64_t id = 0;
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<ClientWire> wire;
    std::unique_ptr<record::Tap> tap;
    std::map<std::uint32_t, Message> out;  // by stream: pushed, without an answer
    bool up = false;
  };
  // For a target that answers with receipts: the messages that it has accepted, over any connection.
  struct Taken {
    struct Held {
      Message message;
      Time until = 0;  // when the client stops waiting for the receipt
      std::uint64_t link = 0;
      std::uint32_t stream = 0;  // on that link
    };
    std::map<std::string, Held> held;    // by id: waiting for a receipt
    std::map<std::string, Heard> early;  // receipts that came before the response
    // By id: the status of ended messages, since a receipt may come twice, with the same status. Empty: the
    // client gave the message up, and any status is right.
    std::map<std::string, std::string> ended;
    std::shared_ptr<record::ReceiptBook> book = std::make_shared<record::ReceiptBook>();
  };
  void connect(std::size_t link);
  void lost(std::size_t link, std::uint64_t id);
  void receive(std::size_t link, std::uint64_t id, std::string_view bytes);
  void flush(Link& l);
  void on_heard(Link& l, const Heard& h);
  void on_receipt(Taken& t, const Heard& h);
  void give_up_later(Link& l, std::uint32_t stream);
  void look_for_receipts();
  std::unique_ptr<record::Tap> tap_of(const Link& l);
  void ask();
  void submit(Message m);
  void pump();
  void follow(Message m, LoadBook::Next next);

  loop::Loop& loop_;
  LoadBook book_;
  const LoadSettings& settings_ = book_.settings();
  std::vector<Target> targets_;
  Router router_;
  record::Sink sink_;
  std::vector<Link> links_;
  std::vector<Taken> taken_;                 // by target
  std::vector<std::deque<Message>> queues_;  // by target: submitted, not pushed on a stream yet
  std::uint64_t next_link_ = 1, doubled_ = 0;
  bool asking_ = false;
  Time next_at_ = 0;
  loop::TimerId timer_ = 0;
  std::function<void()> on_done_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cedarplank::rig
