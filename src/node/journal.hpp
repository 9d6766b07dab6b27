// The journal of one relay: folder, writer's thread and keeper put together, what was there taken over, and
// its state made known.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/relay_settings.hpp"
#include "journal/keeper.hpp"
#include "journal/recovery.hpp"
#include "loop/loop.hpp"
#include "relay/book.hpp"
#include "relay/desk.hpp"
#include "relay/partner_book.hpp"
#include "store/writer.hpp"

namespace cedarplank::node {

class Journal {
 public:
  using Log = std::function<void(const std::string&)>;
  // Locks the folder and reads all that is there. Throws std::runtime_error naming folder, place and cause
  // where it belongs to another process, is damaged or of a later version.
  Journal(loop::Loop& loop, const config::RelaySettings& settings, Log log);
  ~Journal();

  struct Ends {  // what the keeper stands between
    relay::Transport& transport;
    relay::Answers& answers;
    std::function<std::string(DestinationId)> destination;
    std::function<void(relay::CallId, relay::Ending)> unsent;
  };
  // To be called once; the keeper lives as long as the journal.
  journal::Keeper& connect(Ends ends);
  struct Heirs {
    // Who gets the answer of a message that is still held.
    std::function<relay::Answers&(MessageId, const std::string& owner)> held;
    // Of one that has its answer, and an owner to be told of it.
    std::function<void(const journal::record::Answered&)> answered;
  };
  // Hands what an earlier run left to a desk that has its list.
  void recover(relay::Desk& desk, relay::PartnerBook& book, const Heirs& heirs);

  journal::Keeper& keeper() { return *keeper_; }
  const journal::Keeper& keeper() const { return *keeper_; }
  const store::Writer& writer() const { return *writer_; }
  // Whether more may be taken on, and why not.
  const char* turns_away() const;
  // All that was written is durable, and nothing waits.
  bool settled() const { return keeper_->settled(); }

 private:
  void changed();
  void tidy();

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Log log_;
  journal::Image image_;                                         // until connect()
  std::vector<std::pair<journal::Sequence, std::size_t>> read_;  // records and their bytes; until connect()
  std::size_t records_ = 0;
  std::unique_ptr<store::Writer> writer_;
  std::unique_ptr<journal::Keeper> keeper_;
  store::Writer::State told_ = store::Writer::State::well;
  loop::TimerId tidy_timer_ = 0;
};

// The journal as a front asks it.
class JournalBook final : public relay::Book {
 public:
  explicit JournalBook(const std::unique_ptr<Journal>& journal) : journal_(journal) {}
  Entry find(const std::string& tenant, const std::string& destination, const std::string& message_class,
             const relay::NewMessage& message) const override;
  Entry look(MessageId id) const override;
  void when_taken(MessageId id, std::function<void()> then) override;
  void keep_answer(MessageId id) override;
  void handed_over(MessageId id) override;

 private:
  const std::unique_ptr<Journal>& journal_;
};

}  // namespace cedarplank::node
