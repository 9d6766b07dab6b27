// The write-ahead journal of one relay: puts together the journal folder, the writer thread and the
// coordinator, restores what an earlier run left, and reports the journal's state.
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
  // Locks the folder and reads all records in it. Throws std::runtime_error naming the folder, the position
  // and the cause if the folder is in use by another process, is damaged or was written by a later version.
  Journal(loop::Loop& loop, const config::RelaySettings& settings, Log log);
  ~Journal();

  struct Ends {  // what the coordinator connects the core to
    relay::Transport& transport;
    relay::Answers& answers;
    std::function<std::string(DestinationId)> destination;     // the destination's name
    std::function<void(relay::CallId, relay::Ending)> unsent;  // a send that was held back is never made
  };
  // Creates the coordinator, which lives as long as the journal. To be called once.
  journal::Keeper& connect(Ends ports);
  struct Heirs {  // handlers for what an earlier run left
    // Returns the receiver of the answer of a message that is still held.
    std::function<relay::Answers&(MessageId, const std::string& owner)> held;
    // A message that has its answer, and an owner who has to be informed of it.
    std::function<void(const journal::record::Answered&)> answered;
  };
  // Restores the messages and endpoint states that an earlier run left. The relay must have its partner list.
  void recover(relay::Desk& assembly, relay::PartnerBook& registry, const Heirs& handlers);

  journal::Keeper& keeper() { return *keeper_; }
  const journal::Keeper& keeper() const { return *keeper_; }
  const store::Writer& writer() const { return *writer_; }
  // Why no further message may be accepted now; null if one may.
  const char* turns_away() const;
  // All that was written is durable, and nothing waits for a record.
  bool settled() const { return keeper_->settled(); }

 private:
  void changed();  // the writer's durable position or state has changed
  void tidy();     // one step of the coordinator's periodic maintenance

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Log log_;
  journal::Image image_;                                         // until connect()
  std::vector<std::pair<journal::Sequence, std::size_t>> read_;  // records and their bytes; until connect()
  std::size_t records_ = 0;
  std::unique_ptr<store::Writer> writer_;
  std::unique_ptr<journal::Keeper> keeper_;
  store::Writer::State told_ = store::Writer::State::well;  // last state that was logged
  loop::TimerId tidy_timer_ = 0;
};

// Answers a protocol server's queries about accepted messages from the journal.
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
