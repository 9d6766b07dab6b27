#include "trace/recorder.hpp"

#include <algorithm>
#include <pcg_random.hpp>

namespace cedarplank::trace {
namespace {

constexpr Time kSecond = 1'000'000;           // microseconds
constexpr Time kKindLifetime = 60 * kSecond;  // a kind not seen for longer loses its share of the rate
constexpr std::size_t kMaxTextBytes = 200;    // bytes kept of a text that a peer may have supplied

}  // namespace

bool Budget::take(Bucket& b, Time now, double rate) {
  b.tokens = std::min(burst(rate), b.tokens + rate * static_cast<double>(now - b.at) / kSecond);
  b.at = now;
  if (b.tokens < 1) return false;
  b.tokens -= 1;
  return true;
}

bool Budget::spend(Time now, const Kind& kind) {
  if (rate_ <= 0) return false;
  const auto [it, inserted] = kinds_.try_emplace(kind, Bucket{1, now});
  std::erase_if(kinds_, [&](const auto& k) { return k.first != kind && now - k.second.at > kKindLifetime; });
  return take(it->second, now, rate_ / 2 / static_cast<double>(kinds_.size())) ||
         take(shared_, now, rate_ / 2);
}

Recorder::Recorder(Settings settings, std::uint64_t seed, Sink sink)
    : settings_(std::move(settings)), seed_(seed), sink_(std::move(sink)), budget_(settings_.per_second) {}

void Recorder::set(Settings settings) {
  settings_ = std::move(settings);
  budget_.set(settings_.per_second);
}

// The memory that a step takes, its texts included. The vector of steps may have capacity for as many again.
std::size_t Recorder::size_of(const Step& s) { return sizeof(Step) + s.endpoint.size() + s.text.size(); }

Story Recorder::make(Time now, MessageId id, Head&& head) {
  Story s;
  s.id = id, s.taken = s.over_at = now, s.aim = head.aim, s.deadline = head.deadline;
  s.key = std::move(head.key), s.destination = std::move(head.destination);
  s.message_class = std::move(head.message_class), s.tenant = std::move(head.tenant);
  Step taken;
  taken.at = now, taken.connection = head.connection, taken.stream = head.stream;
  s.steps.push_back(std::move(taken));
  return s;
}

void Recorder::begin(Time now, MessageId id, Head head) {
  counts_.begun++;
  Live live;
  live.story = make(now, id, std::move(head));
  const Story& s = live.story;
  live.bytes = sizeof(Live) + s.key.size() + s.destination.size() + s.message_class.size() + s.tenant.size() +
               size_of(s.steps[0]);
  // When memory is short a new trace does not displace others: nothing has gone wrong in it so far either.
  if (bytes_ + live.bytes > settings_.bytes_max) {
    counts_.shed++;
    return;
  }
  bytes_ += live.bytes;
  stories_.emplace(id, std::move(live));
  plain_.insert(id);
}

// When memory is short, the newest trace in which nothing has gone wrong is discarded first: it is the least
// likely to be kept in the end, whereas older ones may be about to become late.
bool Recorder::make_room(std::size_t bytes, MessageId keep) {
  while (bytes_ + bytes > settings_.bytes_max) {
    const auto newest =
        std::find_if(plain_.rbegin(), plain_.rend(), [&](MessageId id) { return id != keep; });
    if (newest == plain_.rend()) return false;
    counts_.shed++;
    drop(stories_.find(*newest));
  }
  return true;
}

void Recorder::drop(Stories::iterator it) {
  plain_.erase(it->first);
  bytes_ -= it->second.bytes;
  stories_.erase(it);
}

void Recorder::add(Live& live, Step&& step) {
  if (step.text.size() > kMaxTextBytes) step.text.resize(kMaxTextBytes);
  auto& steps = live.story.steps;
  step.at = std::max(step.at, steps.back().at);  // the host's clock may be slightly behind in between
  // At the limit of steps or of memory, steps in the middle are left out: the first ones show how the message
  // began and the last ones how it ended.
  const auto max_steps = static_cast<std::size_t>(std::max(2, settings_.steps_max));
  const std::size_t bytes = size_of(step);
  while (steps.size() > 1 && (steps.size() >= max_steps || !make_room(bytes, live.story.id))) {
    const auto middle = steps.begin() + static_cast<std::ptrdiff_t>((steps.size() + 1) / 2);
    bytes_ -= size_of(*middle), live.bytes -= size_of(*middle);
    steps.erase(middle);
    live.story.elided++;
  }
  if (!make_room(bytes, live.story.id)) {
    live.story.elided++;
    return;
  }
  bytes_ += bytes, live.bytes += bytes;
  steps.push_back(std::move(step));
}

void Recorder::not_plain(MessageId id, Live& live) {
  if (live.plain) plain_.erase(id);
  live.plain = false;
}

void Recorder::step(MessageId id, Step step) {
  const auto it = stories_.find(id);
  if (it == stories_.end()) return;
  const bool is_retry = step.what == Step::What::send && step.attempt > 0;
  if (is_retry || step.what == Step::What::fail || step.what == Step::What::refuse) not_plain(id, it->second);
  add(it->second, std::move(step));
}

void Recorder::over(MessageId id, Verdict verdict, Step step) {
  const auto it = stories_.find(id);
  if (it == stories_.end()) return;
  Story& s = it->second.story;
  s.over_at = step.at;
  const bool retried =
      std::any_of(s.steps.begin(), s.steps.end(), [](const Step& x) { return x.attempt > 0; });
  if (verdict == Verdict::served && step.at > s.aim) verdict = Verdict::late;
  if (verdict == Verdict::served && retried) verdict = Verdict::retried;
  s.verdict = verdict;
  if (verdict != Verdict::served) not_plain(id, it->second);
  add(it->second, std::move(step));
}

void Recorder::close(Time now, MessageId id) {
  const auto it = stories_.find(id);
  if (it == stories_.end()) return;
  Story story = std::move(it->second.story);
  drop(it);
  judge(now, std::move(story));
}

void Recorder::turned_away(Time now, MessageId id, Head head, const char* why) {
  counts_.begun++;
  Story s = make(now, id, std::move(head));
  s.verdict = Verdict::turned_away, s.deadline = 0;
  Step answered;
  answered.at = now, answered.what = Step::What::answered, answered.why = why;
  s.steps.push_back(std::move(answered));
  judge(now, std::move(s));
}

void Recorder::judge(Time now, Story&& s) {
  // Depends only on the message's number and the seed, so that a repeated run keeps the same traces.
  const auto sampled = [&] {
    return settings_.sample > 0 && pcg32(seed_, s.id)(static_cast<std::uint32_t>(settings_.sample)) == 0;
  };
  const bool notable = s.verdict != Verdict::served;
  s.watched = settings_.watch.count(s.destination) > 0;
  const Budget::Kind kind = {s.message_class, static_cast<int>(s.verdict) + (s.watched ? kVerdicts : 0)};
  auto& unkept = unkept_[kind];
  unkept++;
  if (!notable && !s.watched && !sampled()) return;
  if (!budget_.spend(now, kind)) {
    counts_.dropped++;
    return;
  }
  counts_.kept++;
  s.stands_for = unkept;
  unkept = 0;
  sink_(std::move(s));
}

}  // namespace cedarplank::trace
