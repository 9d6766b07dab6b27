// The write-ahead journal of one relay: puts together the journal folder, the writer thread and the
// coordinator, restores what an earlier run left, and reports the journal's state.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/relay_settings.hpp"
#include "journal/coordinator.hpp"
#include "journal/record_reader.hpp"
#include "journal/recovery.hpp"
#include "loop/loop.hpp"
#include "relay/message_registry.hpp"
#include "relay/partner_registry.hpp"
#include "relay/relay_assembly.hpp"
#include "store/writer.hpp"

namespace cedarplank::node {

class Journal {
 public:
  using Log = std::function<void(const std::string&)>;
  // Locks the folder and reads all records in it; one that can't be decoded is logged and left out. Throws
  // std::runtime_error naming the folder, the position and the cause if the folder is in use by another
  // process, is damaged or was written by a later version.
  Journal(loop::Loop& loop, const config::RelaySettings& settings, Log log);
  ~Journal();

  struct Ports {  // what the coordinator connects the core to
    relay::Transport& transport;
    relay::AnswerSink& answers;
    std::function<std::string(DestinationId)> destination;         // the destination's name
    std::function<void(relay::CallId, relay::CallResult)> unsent;  // a send that was held back is never made
  };
  // Creates the coordinator, which lives as long as the journal. To be called once.
  journal::JournalCoordinator& connect(Ports ports);
  struct RecoveryHandlers {  // handlers for what an earlier run left
    // Returns the receiver of the answer of a message that is still held.
    std::function<relay::AnswerSink&(MessageId, const std::string& owner)> held;
    // A message that has its answer, and an owner who has to be informed of it.
    std::function<void(const journal::record::Answered&)> answered;
  };
  // Restores the messages and endpoint states that an earlier run left. The relay must have its partner list.
  void recover(relay::RelayAssembly& assembly, relay::PartnerRegistry& registry,
               const RecoveryHandlers& handlers);

  journal::JournalCoordinator& coordinator() { return *coordinator_; }
  const journal::JournalCoordinator& coordinator() const { return *coordinator_; }
  const store::Writer& writer() const { return *writer_; }
  // Why no further message may be accepted now; null if one may.
  const char* rejection_reason() const;
  // Whether the record of this message is no larger than a record may be.
  bool may_record(const relay::NewMessage& message) const { return coordinator_->may_record(message); }
  // All that was written is durable, and nothing waits for a record.
  bool settled() const { return coordinator_->is_idle(); }

 private:
  void writer_changed();   // the writer's durable position or state has changed
  void run_maintenance();  // one step of the coordinator's periodic maintenance

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  Log log_;
  journal::RecordReader reader_;  // what the log holds; until connect()
  std::size_t record_count_ = 0;
  std::unique_ptr<store::Writer> writer_;
  std::unique_ptr<journal::JournalCoordinator> coordinator_;
  store::Writer::State logged_state_ = store::Writer::State::healthy;  // last state that was logged
  loop::TimerId maintenance_timer_ = 0;
};

// Answers a protocol server's queries about accepted messages from the journal.
class JournalMessageRegistry final : public relay::MessageRegistry {
 public:
  explicit JournalMessageRegistry(const std::unique_ptr<Journal>& journal) : journal_(journal) {}
  Entry find(const std::string& tenant, const std::string& destination, const std::string& message_class,
             const relay::NewMessage& message) const override;
  Entry find_by_id(MessageId id) const override;
  void when_durable(MessageId id, std::function<void()> then) override;
  void keep_answer(MessageId id) override;
  void answer_delivered(MessageId id) override;

 private:
  const std::unique_ptr<Journal>& journal_;
};

}  // namespace cedarplank::node
