#include "trace/recorder.hpp"

#include <algorithm>
#include <pcg_random.hpp>

namespace cedarplank::trace {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kSeenOfLate = 60 * kSecond;  // kinds not seen for so long give their part up
constexpr std::size_t kText = 200;          // bytes kept of a text that a peer may have made up

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
  const auto [it, fresh] = kinds_.try_emplace(kind, Bucket{1, now});
  std::erase_if(kinds_, [&](const auto& k) { return k.first != kind && now - k.second.at > kSeenOfLate; });
  return take(it->second, now, rate_ / 2 / static_cast<double>(kinds_.size())) ||
         take(shared_, now, rate_ / 2);
}

Recorder::Recorder(Settings settings, std::uint64_t seed, Sink sink)
    : settings_(std::move(settings)), seed_(seed), sink_(std::move(sink)), budget_(settings_.per_second) {}

void Recorder::set(Settings settings) {
  settings_ = std::move(settings);
  budget_.set(settings_.per_second);
}

// What a step takes, its texts included; a story's vector may have room for as many again.
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
  // Short of memory a new one has no claim on others that are no worse than it is.
  if (bytes_ + live.bytes > settings_.bytes_max) {
    counts_.shed++;
    return;
  }
  bytes_ += live.bytes;
  stories_.emplace(id, std::move(live));
  plain_.insert(id);
}

// Short of memory, the newest story in which nothing went wrong so far goes first: it is the least likely to
// be kept, where the older ones may be on their way to be late.
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
  if (step.text.size() > kText) step.text.resize(kText);
  auto& steps = live.story.steps;
  step.at = std::max(step.at, steps.back().at);  // a host's clock may stand a little behind in between
  // Full, for one reason or the other: the first half tells how it began, the last how it ended.
  const auto most = static_cast<std::size_t>(std::max(2, settings_.steps_max));
  const std::size_t bytes = size_of(step);
  while (steps.size() > 1 && (steps.size() >= most || !make_room(bytes, live.story.id))) {
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
  const bool trouble = step.what == Step::What::send && step.attempt > 0;
  if (trouble || step.what == Step::What::fail || step.what == Step::What::refuse) not_plain(id, it->second);
  add(it->second, std::move(step));
}

void Recorder::over(MessageId id, Verdict verdict, Step step) {
  const auto it = stories_.find(id);
  if (it == stories_.end()) return;
  Story& s = it->second.story;
  s.over_at = step.at;
  const bool again = std::any_of(s.steps.begin(), s.steps.end(), [](const Step& x) { return x.attempt > 0; });
  if (verdict == Verdict::served && step.at > s.aim) verdict = Verdict::late;
  if (verdict == Verdict::served && again) verdict = Verdict::retried;
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
  // By the message's number and the seed alone, so that the same run keeps the same ones.
  const auto drawn = [&] {
    return settings_.sample > 0 && pcg32(seed_, s.id)(static_cast<std::uint32_t>(settings_.sample)) == 0;
  };
  const bool notable = s.verdict != Verdict::served;
  s.watched = settings_.watch.count(s.destination) > 0;
  const Budget::Kind kind = {s.message_class, static_cast<int>(s.verdict) + (s.watched ? kVerdicts : 0)};
  auto& unkept = unkept_[kind];
  unkept++;
  if (!notable && !s.watched && !drawn()) return;
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
