#include "platform/journal.hpp"

#include <algorithm>
#include <stdexcept>

#include "node/clock.hpp"
#include "store/inspect.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kTidyEvery = 50'000;
constexpr std::size_t kTidyAtOnce = 64;             // items
constexpr std::uint64_t kLeastSegment = 96 * 1024;  // bytes: a record with a body of 64 KiB fits
constexpr std::uint64_t kMostSegment = 4 * 1024 * 1024;
constexpr std::uint64_t kSegments = 24;
constexpr std::size_t kSpare = 1;
constexpr std::uint64_t kFewestFiles = 6;
constexpr std::size_t kRecordMore = 2048;  // bytes of a message's record beside its body

}  // namespace

// Files count in whole 512 bytes; a segment is allocated whole. One is being made beside the spare, and some
// room is left for the lock and the folder itself.
store::LogSettings Journal::log_settings(std::uint64_t disk) {
  store::LogSettings s;
  s.sync = false;
  const std::uint64_t all = disk * 95 / 100;
  s.segment = std::clamp(disk / kSegments / 512 * 512, kLeastSegment, kMostSegment);
  s.segments_max = static_cast<std::size_t>(std::max(all / s.segment, kFewestFiles) - kSpare - 1);
  s.spare_max = kSpare;
  s.record_max = static_cast<std::size_t>(s.segment - store::Log::kHead - store::Log::kSegmentHead);
  return s;
}

Journal::Journal(loop::Loop& loop, Settings settings, Ends ends, Log log)
    : loop_(loop),
      settings_(std::move(settings)),
      log_settings_(log_settings(settings_.disk)),
      log_line_(std::move(log)) {
  try {
    files_ = store::open_folder(settings_.folder, store::Folder::existing);
  } catch (const std::system_error& e) {
    throw std::runtime_error("journal: " + std::string(e.what()));
  }
  journal::Image image;
  open_log(image);
  journal::KeeperSettings k = settings_.keeper;
  // The log is as long as its window and what is carried on; see room() for what is left to finish on.
  k.window = log_settings_.segment * log_settings_.segments_max / 4;
  k.answers_bytes = static_cast<std::size_t>(k.window / 2);
  keeper_ = std::make_unique<journal::Keeper>(
      std::move(k), std::move(image),
      journal::Keeper::Ports{
          .transport = ends.transport,
          .answers = ends.answers,
          .destination = [](DestinationId id) { return std::to_string(id); },
          .append = [this](std::string bytes) -> journal::Sequence {
            dirty_ = true;
            const auto number = log_->next();
            return log_->append(bytes) == store::Log::Appended::yes ? number : 0;
          },
          .release =
              [this](journal::Sequence upto) {
                if (const auto e = log_->release(upto)) log_line_("release: " + e.message());
              },
          .unsent =
              [this, unsent = std::move(ends.unsent)](relay::CallId call, relay::Ending ending) {
                loop_.defer([weak = std::weak_ptr(alive_), unsent, call, ending] {
                  if (!weak.expired()) unsent(call, ending);
                });
              }});
  for (const auto& [sequence, bytes] : read_) keeper_->found(sequence, bytes);
  read_ = {};
  timer_ = loop_.after(kTidyEvery, [this] { tidy(); });
}

Journal::~Journal() { loop_.cancel(timer_); }

void Journal::open_log(journal::Image& image) {
  const auto id = static_cast<std::uint64_t>(node::clock_now().wall);
  log_ = std::make_unique<store::Log>(*files_, log_settings_, id);
  std::string problem;
  const auto opened = log_->open([&](store::Sequence s, std::string_view bytes) {
    journal::Record r;
    const auto why = journal::decode(bytes, r);
    if (why.empty())
      image.apply(s, r);
    else if (problem.empty())
      problem = "record " + std::to_string(s) + " " + why;
    read_.emplace_back(s, bytes.size());
  });
  if (opened.torn > 0)
    log_line_(
        std::to_string(opened.torn) +
        " bytes behind the last record were cleared: a commit that never ended, or a segment's earlier use");
  if (opened.problem) problem = opened.problem->text;
  if (!problem.empty()) salvage(image, problem);
}

// Guards against a damaged journal that would keep the relay from starting: what can be read is taken over
// into a new one, and the old is removed, since there is no room for both.
void Journal::salvage(journal::Image& image, const std::string& problem) {
  image = {}, read_.clear();
  const auto found = store::salvage(*files_, [&](store::Sequence s, std::string_view bytes) {
    journal::Record r;
    if (journal::decode(bytes, r).empty()) image.apply(s, r);
  });
  log_line_("damaged: " + problem + "; " + std::to_string(found.records) + " records could be read, " +
            std::to_string(found.lost.size()) + " gaps; " + std::to_string(image.held().size()) +
            " messages are taken over");
  std::vector<std::string> names;
  files_->list(names);
  for (const auto& name : names) files_->remove(name);
  log_ = std::make_unique<store::Log>(*files_, log_settings_,
                                      static_cast<std::uint64_t>(node::clock_now().wall));
  if (const auto opened = log_->open([](store::Sequence, std::string_view) {}); opened.problem)
    throw std::runtime_error("journal: " + settings_.folder + ": " + opened.problem->text);
  journal::Image fresh;
  const auto write = [&](auto what) {
    const journal::Record r{image.last_at(), std::move(what)};
    const auto bytes = journal::encode(r);
    const auto number = log_->next();
    if (log_->append(bytes) != store::Log::Appended::yes) return;
    fresh.apply(number, r), read_.emplace_back(number, bytes.size());
  };
  auto base = image.base();
  base.next_id = image.next_id(), base.shift = 0;
  write(base);
  for (const auto& [endpoint, wait] : image.waits()) write(wait.first);
  for (const auto& [endpoint, seen] : image.health()) write(seen.first);
  for (const auto& [message, answer] : image.answers()) write(answer.is);
  for (const auto& [message, held] : image.held()) write(held.now);
  if (const auto e = log_->commit()) log_line_("what was salvaged could not be written: " + e.message());
  image = std::move(fresh);
}

void Journal::commit() {
  // One commit may let answers go whose records come with the next.
  for (int i = 0; i < 4 && dirty_; i++) {
    dirty_ = false;
    if (!keeper_->failed()) {
      if (const auto e = log_->commit()) {
        log_line_("the journal can't be written any more: " + e.message() + "; nothing more is taken");
        keeper_->fail(e.message());
        return;
      }
    }
    keeper_->durable(log_->durable());
  }
}

bool Journal::room(std::size_t body) const {
  return !keeper_->failed() && body + kRecordMore <= log_settings_.record_max &&
         log_->segments() <= log_settings_.segments_max * 2 / 3 &&
         image().bytes() < log_settings_.segment * log_settings_.segments_max / 3;
}

void Journal::tidy() {
  const bool pressed = log_->segments() > log_settings_.segments_max / 2;
  keeper_->tidy(loop_.now(), kTidyAtOnce, pressed);
  commit();
  timer_ = loop_.after(kTidyEvery, [this] { tidy(); });
}

}  // namespace cedarplank::platform
