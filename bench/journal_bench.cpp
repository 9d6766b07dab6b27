// The time of a start against the number of messages in the journal, and the cost per message of the journal
// coordinator itself, without disk, transport or dispatcher.
#include <benchmark/benchmark.h>
#include <stdlib.h>

#include <filesystem>
#include <stdexcept>

#include "journal/coordinator.hpp"
#include "journal/recovery.hpp"
#include "store/log.hpp"

namespace cedarplank::journal {
namespace {

std::shared_ptr<relay::NewMessage> message(MessageId id) {
  auto m = std::make_shared<relay::NewMessage>();
  m->idempotency_key = "order-" + std::to_string(id), m->body = std::string(150, 'b');
  return m;
}

struct Folder {
  std::string path = (std::filesystem::temp_directory_path() / "cedarplank-bench-XXXXXX").string();
  Folder() { path = mkdtemp(path.data()); }
  ~Folder() { std::filesystem::remove_all(path); }
};

// Start with a journal of n held messages; a tenth of them have an unfinished attempt.
void start(benchmark::State& state) {
  Folder folder;
  const auto n = static_cast<MessageId>(state.range(0));
  store::LogSettings settings;
  settings.segments_max = 1'000;
  std::uint64_t size = 0;
  {
    auto files = store::open_folder(folder.path + "/journal");
    store::Log log(*files, settings, 1);
    log.open([](store::Sequence, std::string_view) {});
    const auto write = [&](const Record& r) {
      const auto bytes = encode(r);
      size += bytes.size() + store::Log::kRecordHeaderSize;
      if (log.append(bytes) != store::Log::AppendResult::appended) throw std::runtime_error("append");
      if (log.pending() > 1'000'000 && log.commit()) throw std::runtime_error("commit");
    };
    write({1, record::Base{"boot", 1, 1, 1, 0, 1}});
    for (MessageId id = 1; id <= n; id++) {
      record::Taken t;
      t.id = id, t.destination = "bank", t.message_class = "pay", t.message = message(id);
      t.deadline = 1'000'000;
      write({1, t});
      if (id % 10 == 0) write({1, record::Sending{id, {0, "bank-1", 0, 1}}});
    }
    if (log.commit()) throw std::runtime_error("commit");
  }
  for (auto _ : state) {
    auto files = store::open_folder(folder.path + "/journal");
    store::Log log(*files, settings, 1);
    StateImage image;
    log.open([&](store::Sequence s, std::string_view bytes) {
      Record r;
      if (!decode(bytes, r).ok()) throw std::runtime_error("decode");
      image.apply(s, r);
    });
    const auto found = recover(image, 10,
                               {.destination = [](const std::string&) { return DestinationId{0}; },
                                .message_class = [](const std::string&) { return std::optional<int>(0); },
                                .tenant = [](const std::string&) { return std::optional<int>(); }});
    if (found.messages.size() != n) throw std::runtime_error("messages");
  }
  state.counters["messages"] = static_cast<double>(n);
  state.counters["bytes"] = static_cast<double>(size);
}
BENCHMARK(start)->RangeMultiplier(10)->Range(1'000, 1'000'000)->Unit(benchmark::kMillisecond);

// Discards calls and answers.
class NullTransport final : public relay::Transport, public relay::AnswerSink {
  void send(const relay::OutgoingCall&) override {}
  CancelResult cancel(relay::CallId) override { return CancelResult::sent; }
  bool cancel_unsent(relay::CallId) override { return false; }
  std::vector<relay::CallId> cancel_all_unsent(const EndpointId&) override { return {}; }
  void close_idle(const EndpointId&) override {}
  void probe(const EndpointId&) override {}
  void served(MessageId, const relay::CallResult&) override {}
  void refused(MessageId, Time, const relay::AttemptSummary&) override {}
  void failed(MessageId, const relay::AttemptSummary&) override {}
};

// The records of a message's whole lifetime: accepted, sent, ended, answered.
void keep(benchmark::State& state) {
  NullTransport null_transport;
  Sequence next = 1;
  std::uint64_t bytes = 0;
  JournalCoordinatorSettings settings;
  settings.classes.resize(1);
  settings.classes[0].effect = Effect::unsafe, settings.class_names = {"pay"};
  settings.answers_max = 10'000;
  JournalCoordinator coordinator(settings, {},
                                 {.transport = null_transport,
                                  .answers = null_transport,
                                  .destination_name = [](DestinationId) { return std::string("bank"); },
                                  .append = [&](std::string r) { return bytes += r.size(), next++; },
                                  .release = [](Sequence) {},
                                  .call_dropped = {}});
  coordinator.write_base({"boot", 1, 1, 1, 0, 1}, 1);
  MessageId id = 0;
  for (auto _ : state) {
    const auto m = message(++id);
    coordinator.set_time(static_cast<Time>(id));
    coordinator.message_accepted(id, m, static_cast<Time>(id) + 10'000'000);
    coordinator.send({id, "bank-1", id, 0, 10'000'000, m});
    coordinator.mark_durable(next - 1);
    coordinator.attempt_ended({id, "bank-1", id, 0, 0, nullptr}, {});
    coordinator.served(id, {});
    coordinator.mark_durable(next - 1);
    if (id % 500 == 0) coordinator.compact(static_cast<Time>(id), {.items = 1'000});
  }
  state.counters["bytes_a_message"] = static_cast<double>(bytes) / static_cast<double>(id);
}
BENCHMARK(keep);

}  // namespace
}  // namespace cedarplank::journal
