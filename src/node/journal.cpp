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
  s.log.segment = static_cast<std::uint64_t>(j.segment);
  s.log.segments_max = static_cast<std::size_t>(j.disk_max / j.segment);
  s.log.record_max = static_cast<std::size_t>(j.segment / 2);
  s.log.spare_max = 2;
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
                           .changed = [this] { changed(); }});
  std::string bad;
  const auto opened = writer_->open([&](store::Sequence s, std::string_view bytes) {
    journal::Record r;
    const auto why = journal::decode(bytes, r);
    if (!why.empty() && bad.empty()) bad = "record " + std::to_string(s) + " " + why;
    if (why.empty()) image_.apply(s, r);
    read_.emplace_back(s, bytes.size());
  });
  if (opened.problem) bad = opened.problem->text;
  if (!bad.empty())
    throw std::runtime_error("journal: " + j.folder + ": " + bad + "; see `cedarplank journal verify`");
  if (opened.torn > 0)
    log_("a torn tail of " + std::to_string(opened.torn) + " bytes was cut: written when the last run ended");
}

Journal::~Journal() {
  loop_.cancel(tidy_timer_);
  if (writer_)
    log_("written: " + std::to_string(writer_->bytes()) + " bytes in " + std::to_string(writer_->commits()) +
         " commits");
  writer_.reset();  // before the coordinator, which it notifies
}

journal::Keeper& Journal::connect(Ends ports) {
  const auto& j = *settings_.journal;
  journal::KeeperSettings k;
  k.classes = settings_.dispatcher.classes;
  k.class_names = settings_.names.classes, k.tenant_names = settings_.names.tenants;
  k.answers_for = j.answers_for, k.answers_max = static_cast<std::size_t>(j.answers_max);
  // Together within the half of the disk limit up to which the writer allows new messages: see store::Writer.
  k.window = static_cast<std::uint64_t>(j.disk_max) / 4;
  k.answers_bytes = static_cast<std::size_t>(j.disk_max) / 8;
  keeper_ = std::make_unique<journal::Keeper>(
      std::move(k), std::move(image_),
      journal::Keeper::Ports{
          .transport = ports.transport,
          .answers = ports.answers,
          .destination = std::move(ports.destination),
          .append = [this](std::string bytes) { return writer_->append(std::move(bytes)); },
          .release = [this](journal::Sequence upto) { writer_->release(upto); },
          // Deferred, so that it does not run within the core's own round.
          .unsent =
              [this, unsent = std::move(ports.unsent)](relay::CallId call, relay::Ending ending) {
                loop_.defer([unsent, call, ending] { unsent(call, ending); });
              }});
  for (const auto& [sequence, bytes] : read_) keeper_->found(sequence, bytes);
  records_ = read_.size();
  read_ = {};
  return *keeper_;
}

void Journal::recover(relay::Desk& assembly, relay::PartnerBook& registry, const Heirs& handlers) {
  const Time now = loop_.refresh();
  const auto& image = keeper_->image();
  const auto base = journal::begin(image, clock_now());
  keeper_->begin(base, now);
  const auto index_of = [](const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? std::nullopt : std::optional(static_cast<int>(it - names.begin()));
  };
  const auto found = journal::recover(
      image, now,
      {.destination = [&](const std::string& name) { return registry.number_of(name); },
       .message_class = [&](const std::string& name) { return index_of(settings_.names.classes, name); },
       .tenant = [&](const std::string& name) { return index_of(settings_.names.tenants, name); }});
  assembly.number_from(image.next_id());
  for (const auto& k : found.known) assembly.core().known(k);
  for (const auto& m : found.messages)
    assembly.restore(now, m.id, m.message, registry.name_of(m.message->destination), m.deadline, m.before,
                     handlers.held(m.id, m.message->owner));
  // Copied first: an owner may acknowledge the answer at once, which changes the state being iterated.
  std::vector<journal::record::Answered> owned;
  for (const auto& [id, answer] : image.answers())
    if (!answer.is.owner.empty()) owned.push_back(answer.is);
  for (const auto& answer : owned) handlers.answered(answer);
  for (const auto id : found.classless) keeper_->end_classless(id);
  if (base.run > 1)
    log_("run " + std::to_string(base.run) + ": " + std::to_string(records_) + " records read; " +
         std::to_string(found.messages.size()) + " messages held, " + std::to_string(image.answers().size()) +
         " answers kept, " + std::to_string(found.known.size()) + " endpoints known");
  if (!found.classless.empty())
    log_(std::to_string(found.classless.size()) + " messages ended: their class is gone from the settings");
  tidy_timer_ = loop_.after(kMaintenanceInterval, [this] { tidy(); });
}

void Journal::changed() {
  if (!keeper_) return;
  keeper_->durable(writer_->durable());
  const auto state = writer_->state();
  if (state == told_) return;
  told_ = state;
  using State = store::Writer::State;
  keeper_->stall(state == State::stuck);
  if (state == State::stuck)
    log_(writer_->problem() +
         "; answers are given before they are written, and nothing is sent that must not "
         "run twice, until there is room");
  if (state == State::well) log_("writing again; messages are taken again");
  if (state == State::full) log_(writer_->problem() + "; nothing more is taken, what is held goes on");
  if (state == State::failed) {
    log_(writer_->problem() +
         "; nothing more is taken; what is held goes on without it, but for what must not run twice");
    keeper_->fail(writer_->problem());
  }
}

void Journal::tidy() {
  const bool more =
      keeper_->tidy(loop_.now(), kMaintenanceBatch, writer_->state() != store::Writer::State::well);
  tidy_timer_ = loop_.after(more ? kMaintenanceBusyInterval : kMaintenanceInterval, [this] { tidy(); });
}

const char* Journal::turns_away() const {
  if (keeper_->failed()) return "the journal can't be written; not taken";
  if (writer_->state() == store::Writer::State::stuck) return "the journal can't be written now; not taken";
  return writer_->room() ? nullptr : "the journal has no room now; not taken";
}

namespace {

relay::Book::Entry entry_of(const journal::Keeper& coordinator, MessageId id) {
  const auto& image = coordinator.image();
  using What = relay::Book::Entry::What;
  relay::Book::Entry e;
  e.id = id;
  if (const auto it = image.held().find(id); it != image.held().end()) {
    const auto& m = it->second.now;
    e.what = What::held, e.tenant = m.tenant, e.message_class = m.message_class;
    e.account.attempts = m.attempts, e.account.last = m.last;
    return e;
  }
  const auto it = image.answers().find(id);
  if (it == image.answers().end()) return e;
  const auto& a = it->second.is;
  e.what = !coordinator.may_be_told(it->second.first)       ? What::held
           : a.verdict == journal::record::Verdict::served  ? What::served
           : a.verdict == journal::record::Verdict::refused ? What::refused
                                                            : What::failed;
  e.tenant = a.tenant, e.message_class = a.message_class, e.come_back = a.come_back;
  e.account.attempts = a.attempts, e.account.last = a.last;
  return e;
}

}  // namespace

relay::Book::Entry JournalBook::look(MessageId id) const { return entry_of(journal_->keeper(), id); }

relay::Book::Entry JournalBook::find(const std::string& tenant, const std::string& destination,
                                     const std::string& message_class,
                                     const relay::NewMessage& message) const {
  const auto& image = journal_->keeper().image();
  const auto id = image.find(tenant, destination, message.idempotency_key);
  if (!id) return {};
  Entry e = entry_of(journal_->keeper(), *id);
  const auto held = image.held().find(*id);
  const auto fingerprint =
      held != image.held().end()
          ? journal::fingerprint(destination, held->second.now.message_class, *held->second.now.message)
          : image.answers().at(*id).is.fingerprint;
  if (fingerprint != journal::fingerprint(destination, message_class, message)) e.what = Entry::What::another;
  return e;
}

void JournalBook::when_taken(MessageId id, std::function<void()> then) {
  journal_->keeper().when_taken(id, std::move(then));
}
void JournalBook::keep_answer(MessageId id) { journal_->keeper().keep_answer(id); }
void JournalBook::handed_over(MessageId id) { journal_->keeper().handed_over(id); }

}  // namespace cedarplank::node
