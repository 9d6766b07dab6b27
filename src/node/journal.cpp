#include "node/journal.hpp"

#include <algorithm>
#include <stdexcept>

#include "node/clock.hpp"

namespace cedarplank::node {
namespace {

// Periodic maintenance of the journal's state: the interval, and the shorter one while work is left over.
constexpr Time kMaintenanceInterval = 100'000, kMaintenanceBusyInterval = 5'000;
constexpr std::size_t kMaintenanceBatch = 500;  // items; occupies the loop for a few milliseconds at most

store::WriterSettings writer_settings(const config::JournalSettings& j) {
  store::WriterSettings s;
  s.sync = static_cast<store::WriterSettings::Sync>(j.sync);  // both enums have the same order
  s.batch_time = std::chrono::microseconds(j.batch_time);
  s.batch_records = static_cast<std::size_t>(j.batch_records);
  s.log.segment_size = static_cast<std::uint64_t>(j.segment);
  s.log.segments_max = static_cast<std::size_t>(j.disk_max / j.segment);
  s.log.record_size_max = static_cast<std::size_t>(j.segment / 2);
  s.log.spares_max = 2;
  return s;
}

}  // namespace

Journal::Journal(loop::Loop& loop, const config::RelaySettings& settings, Log log)
    : loop_(loop), settings_(settings), log_(std::move(log)) {
  const auto& j = *settings.journal;
  std::unique_ptr<store::Files> files;
  try {
    files = store::open_folder(j.folder);
  } catch (const std::system_error& e) {
    if (e.code() == std::errc::resource_unavailable_try_again)
      throw std::runtime_error("journal: " + j.folder + ": another process has it");
    throw std::runtime_error("journal: " + std::string(e.what()));
  }
  writer_ = std::make_unique<store::Writer>(
      std::move(files), writer_settings(j), settings.seed ^ static_cast<std::uint64_t>(clock_now().wall),
      store::Writer::Ports{.post = [this](std::function<void()> f) { loop_.post(std::move(f)); },
                           .on_change = [this] { writer_changed(); }});
  const auto opened =
      writer_->open([&](store::Sequence s, std::string_view bytes) { reader_.read(s, bytes); });
  const std::string bad = opened.problem ? opened.problem->text : reader_.newer_version();
  if (!bad.empty())
    throw std::runtime_error("journal: " + j.folder + ": " + bad + "; see `cedarplank journal verify`");
  for (const auto& problem : reader_.problems()) log_(problem + "; left out");
  if (opened.torn_bytes > 0)
    log_("a torn tail of " + std::to_string(opened.torn_bytes) +
         " bytes was cut: written when the last run ended");
}

Journal::~Journal() {
  loop_.cancel(maintenance_timer_);
  if (writer_)
    log_("written: " + std::to_string(writer_->bytes()) + " bytes in " + std::to_string(writer_->commits()) +
         " commits");
  writer_.reset();  // before the coordinator, which it notifies
}

journal::JournalCoordinator& Journal::connect(Ports ports) {
  const auto& j = *settings_.journal;
  journal::JournalCoordinatorSettings k;
  k.classes = settings_.dispatcher.classes;
  k.class_names = settings_.names.classes, k.tenant_names = settings_.names.tenants;
  k.answers_for = j.answers_for, k.answers_max = static_cast<std::size_t>(j.answers_max);
  // Together within the half of the disk limit up to which the writer allows new messages: see store::Writer.
  k.window_bytes = static_cast<std::uint64_t>(j.disk_max) / 4;
  k.answers_bytes_max = static_cast<std::size_t>(j.disk_max) / 8;
  k.record_bytes_max = writer_settings(j).log.record_size_max;
  coordinator_ = std::make_unique<journal::JournalCoordinator>(
      std::move(k), reader_.take_image(),
      journal::JournalCoordinator::Ports{
          .transport = ports.transport,
          .answers = ports.answers,
          .destination_name = std::move(ports.destination),
          .append = [this](std::string bytes) { return writer_->append(std::move(bytes)); },
          .release = [this](journal::Sequence upto) { writer_->release(upto); },
          // Deferred, so that it does not run within the core's own round.
          .call_dropped =
              [this, unsent = std::move(ports.unsent)](relay::CallId call, relay::CallResult ending) {
                loop_.defer([unsent, call, ending] { unsent(call, ending); });
              },
          .log = log_});
  for (const auto& [sequence, bytes] : reader_.records())
    coordinator_->count_existing_record(sequence, bytes);
  record_count_ = reader_.records().size();
  reader_ = {};
  return *coordinator_;
}

void Journal::recover(relay::RelayAssembly& assembly, relay::PartnerRegistry& registry,
                      const RecoveryHandlers& handlers) {
  const Time now = loop_.refresh_now();
  const auto& image = coordinator_->image();
  const auto base = journal::make_base(image, clock_now());
  coordinator_->write_base(base, now);
  const auto index_of = [](const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? std::nullopt : std::optional(static_cast<int>(it - names.begin()));
  };
  const auto found = journal::recover(
      image, now,
      {.destination = [&](const std::string& name) { return registry.id_of(name); },
       .message_class = [&](const std::string& name) { return index_of(settings_.names.classes, name); },
       .tenant = [&](const std::string& name) { return index_of(settings_.names.tenants, name); }});
  assembly.reserve_ids_below(image.next_id());
  for (const auto& k : found.known_endpoints) assembly.core().restore_endpoint(k);
  for (const auto& m : found.messages)
    assembly.restore(now, m.id, m.message, registry.name_of(m.message->destination), m.deadline,
                     m.prior_attempts, handlers.held(m.id, m.message->owner));
  // Copied first: an owner may acknowledge the answer at once, which changes the state being iterated.
  std::vector<journal::record::Answered> owned;
  for (const auto& [id, answer] : image.answers())
    if (!answer.answered.owner.empty()) owned.push_back(answer.answered);
  for (const auto& answer : owned) handlers.answered(answer);
  for (const auto id : found.without_class) coordinator_->end_message_without_class(id);
  if (base.run > 1)
    log_("run " + std::to_string(base.run) + ": " + std::to_string(record_count_) + " records read; " +
         std::to_string(found.messages.size()) + " messages held, " + std::to_string(image.answers().size()) +
         " answers kept, " + std::to_string(found.known_endpoints.size()) + " endpoints known");
  if (!found.without_class.empty())
    log_(std::to_string(found.without_class.size()) +
         " messages ended: their class is gone from the settings");
  maintenance_timer_ = loop_.after(kMaintenanceInterval, [this] { run_maintenance(); });
}

void Journal::writer_changed() {
  if (!coordinator_) return;
  coordinator_->mark_durable(writer_->durable());
  const auto state = writer_->state();
  if (state == logged_state_) return;
  logged_state_ = state;
  using State = store::Writer::State;
  coordinator_->set_stalled(state == State::blocked);
  if (state == State::blocked)
    log_(writer_->problem() +
         "; answers are given before they are written, and nothing is sent that must not "
         "run twice, until there is room");
  if (state == State::healthy) log_("writing again; messages are taken again");
  if (state == State::low_space) log_(writer_->problem() + "; nothing more is taken, what is held goes on");
  if (state == State::failed) {
    log_(writer_->problem() +
         "; nothing more is taken; what is held goes on without it, but for what must not run twice");
    coordinator_->fail(writer_->problem());
  }
}

void Journal::run_maintenance() {
  using Coordinator = journal::JournalCoordinator;
  const bool short_of_space = writer_->state() != store::Writer::State::healthy;
  const bool more = coordinator_->compact(
      loop_.now(), {.items = kMaintenanceBatch},
      short_of_space ? Coordinator::SpacePressure::low : Coordinator::SpacePressure::none);
  maintenance_timer_ =
      loop_.after(more ? kMaintenanceBusyInterval : kMaintenanceInterval, [this] { run_maintenance(); });
}

const char* Journal::rejection_reason() const {
  if (coordinator_->failed()) return "the journal can't be written; not taken";
  if (writer_->state() == store::Writer::State::blocked) return "the journal can't be written now; not taken";
  return writer_->has_room() ? nullptr : "the journal has no room now; not taken";
}

namespace {

relay::MessageRegistry::Entry entry_of(const journal::JournalCoordinator& coordinator, MessageId id) {
  const auto& image = coordinator.image();
  using What = relay::MessageRegistry::Entry::State;
  relay::MessageRegistry::Entry e;
  e.id = id;
  if (const auto it = image.held().find(id); it != image.held().end()) {
    const auto& m = it->second.state;
    e.state = What::held, e.tenant = m.tenant, e.message_class = m.message_class;
    e.summary.attempts = m.attempts, e.summary.last_outcome = m.last;
    return e;
  }
  const auto it = image.answers().find(id);
  if (it == image.answers().end()) return e;
  const auto& a = it->second.answered;
  e.state = !coordinator.may_deliver_answer(it->second.needed_from) ? What::held
            : a.verdict == journal::record::Verdict::served         ? What::served
            : a.verdict == journal::record::Verdict::refused        ? What::refused
                                                                    : What::failed;
  e.tenant = a.tenant, e.message_class = a.message_class, e.come_back = a.come_back;
  e.summary.attempts = a.attempts, e.summary.last_outcome = a.last;
  return e;
}

}  // namespace

relay::MessageRegistry::Entry JournalMessageRegistry::find_by_id(MessageId id) const {
  return entry_of(journal_->coordinator(), id);
}

relay::MessageRegistry::Entry JournalMessageRegistry::find(const std::string& tenant,
                                                           const std::string& destination,
                                                           const std::string& message_class,
                                                           const relay::NewMessage& message) const {
  const auto& image = journal_->coordinator().image();
  const auto id = image.find(tenant, destination, message.idempotency_key);
  if (!id) return {};
  Entry e = entry_of(journal_->coordinator(), *id);
  const auto held = image.held().find(*id);
  const auto fingerprint =
      held != image.held().end()
          ? journal::fingerprint(destination, held->second.state.message_class, *held->second.state.message)
          : image.answers().at(*id).answered.fingerprint;
  if (fingerprint != journal::fingerprint(destination, message_class, message))
    e.state = Entry::State::key_conflict;
  return e;
}

void JournalMessageRegistry::when_durable(MessageId id, std::function<void()> then) {
  journal_->coordinator().when_durable(id, std::move(then));
}
void JournalMessageRegistry::keep_answer(MessageId id) { journal_->coordinator().keep_answer(id); }
void JournalMessageRegistry::answer_delivered(MessageId id) { journal_->coordinator().answer_delivered(id); }

}  // namespace cedarplank::node
