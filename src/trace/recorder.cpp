#include "trace/recorder.hpp"

#include <algorithm>
#include <pcg_random.hpp>

namespace cedarplank::trace {
namespace {

constexpr Time kSecond = 1'000'000;           // microseconds
constexpr Time kKindLifetime = 60 * kSecond;  // a kind not seen for longer loses its share of the rate
constexpr std::size_t kMaxTextBytes = 200;    // bytes kept of a text that a peer may have supplied

}  // namespace

bool TraceRateLimit::try_take(Bucket& b, Time now, double rate) {
  b.tokens = std::min(burst(rate), b.tokens + rate * static_cast<double>(now - b.at) / kSecond);
  b.at = now;
  if (b.tokens < 1) return false;
  b.tokens -= 1;
  return true;
}

bool TraceRateLimit::try_acquire(Time now, const Kind& kind) {
  if (rate_ <= 0) return false;
  const auto [it, inserted] = bucket_by_kind_.try_emplace(kind, Bucket{1, now});
  std::erase_if(bucket_by_kind_,
                [&](const auto& k) { return k.first != kind && now - k.second.at > kKindLifetime; });
  return try_take(it->second, now, rate_ / 2 / static_cast<double>(bucket_by_kind_.size())) ||
         try_take(shared_bucket_, now, rate_ / 2);
}

Recorder::Recorder(Settings settings, std::uint64_t seed, Sink sink)
    : settings_(std::move(settings)),
      seed_(seed),
      sink_(std::move(sink)),
      rate_limit_(settings_.max_traces_per_second) {}

void Recorder::update_settings(Settings settings) {
  settings_ = std::move(settings);
  rate_limit_.set_rate(settings_.max_traces_per_second);
}

// The memory that a step takes, its texts included. The vector of steps may have capacity for as many again.
std::size_t Recorder::size_of(const Step& s) {
  return sizeof(Step) + s.endpoint.size() + s.composed_reason.size();
}

MessageTrace Recorder::make_trace(Time now, MessageId id, MessageInfo&& head) {
  MessageTrace s;
  s.id = id, s.accepted_at = s.ended_at = now, s.aim = head.aim, s.deadline = head.deadline;
  s.key = std::move(head.key), s.destination = std::move(head.destination);
  s.message_class = std::move(head.message_class), s.tenant = std::move(head.tenant);
  Step taken;
  taken.at = now, taken.connection = head.connection, taken.stream = head.stream;
  s.steps.push_back(std::move(taken));
  return s;
}

void Recorder::begin(Time now, MessageId id, MessageInfo head) {
  counts_.begun++;
  OpenTrace live;
  live.message_trace = make_trace(now, id, std::move(head));
  const MessageTrace& s = live.message_trace;
  live.bytes = sizeof(OpenTrace) + s.key.size() + s.destination.size() + s.message_class.size() +
               s.tenant.size() + size_of(s.steps[0]);
  // When memory is short a new trace does not displace others: nothing has gone wrong in it so far either.
  if (bytes_ + live.bytes > settings_.max_open_bytes) {
    counts_.discarded_for_memory++;
    return;
  }
  bytes_ += live.bytes;
  open_traces_.emplace(id, std::move(live));
  trouble_free_.insert(id);
}

// When memory is short, the newest trace in which nothing has gone wrong is discarded first: it is the least
// likely to be kept in the end, whereas older ones may be about to become late.
bool Recorder::free_memory(std::size_t bytes, MessageId keep) {
  while (bytes_ + bytes > settings_.max_open_bytes) {
    const auto newest =
        std::find_if(trouble_free_.rbegin(), trouble_free_.rend(), [&](MessageId id) { return id != keep; });
    if (newest == trouble_free_.rend()) return false;
    counts_.discarded_for_memory++;
    erase_trace(open_traces_.find(*newest));
  }
  return true;
}

void Recorder::erase_trace(OpenTraces::iterator it) {
  trouble_free_.erase(it->first);
  bytes_ -= it->second.bytes;
  open_traces_.erase(it);
}

void Recorder::add(OpenTrace& live, Step&& step) {
  if (step.composed_reason.size() > kMaxTextBytes) step.composed_reason.resize(kMaxTextBytes);
  auto& steps = live.message_trace.steps;
  step.at = std::max(step.at, steps.back().at);  // the host's clock may be slightly behind in between
  // At the limit of steps or of memory, steps in the middle are left out: the first ones show how the message
  // began and the last ones how it ended.
  const auto max_steps = static_cast<std::size_t>(std::max(2, settings_.max_steps_per_trace));
  const std::size_t bytes = size_of(step);
  while (steps.size() > 1 && (steps.size() >= max_steps || !free_memory(bytes, live.message_trace.id))) {
    const auto middle = steps.begin() + static_cast<std::ptrdiff_t>((steps.size() + 1) / 2);
    bytes_ -= size_of(*middle), live.bytes -= size_of(*middle);
    steps.erase(middle);
    live.message_trace.elided++;
  }
  if (!free_memory(bytes, live.message_trace.id)) {
    live.message_trace.elided++;
    return;
  }
  bytes_ += bytes, live.bytes += bytes;
  steps.push_back(std::move(step));
}

void Recorder::mark_trouble(MessageId id, OpenTrace& live) {
  if (live.trouble_free) trouble_free_.erase(id);
  live.trouble_free = false;
}

void Recorder::record_step(MessageId id, Step step) {
  const auto it = open_traces_.find(id);
  if (it == open_traces_.end()) return;
  const bool is_retry = step.what == Step::What::send && step.attempt > 0;
  if (is_retry || step.what == Step::What::fail || step.what == Step::What::refuse)
    mark_trouble(id, it->second);
  add(it->second, std::move(step));
}

void Recorder::record_end(MessageId id, Verdict verdict, Step step) {
  const auto it = open_traces_.find(id);
  if (it == open_traces_.end()) return;
  MessageTrace& s = it->second.message_trace;
  s.ended_at = step.at;
  const bool retried =
      std::any_of(s.steps.begin(), s.steps.end(), [](const Step& x) { return x.attempt > 0; });
  if (verdict == Verdict::served && step.at > s.aim) verdict = Verdict::late;
  if (verdict == Verdict::served && retried) verdict = Verdict::retried;
  s.verdict = verdict;
  if (verdict != Verdict::served) mark_trouble(id, it->second);
  add(it->second, std::move(step));
}

void Recorder::close(Time now, MessageId id) {
  const auto it = open_traces_.find(id);
  if (it == open_traces_.end()) return;
  MessageTrace message_trace = std::move(it->second.message_trace);
  erase_trace(it);
  keep_or_discard(now, std::move(message_trace));
}

void Recorder::record_rejection(Time now, MessageId id, MessageInfo head, const char* why) {
  counts_.begun++;
  MessageTrace s = make_trace(now, id, std::move(head));
  s.verdict = Verdict::turned_away, s.deadline = 0;
  Step answered;
  answered.at = now, answered.what = Step::What::answered, answered.literal_reason = why;
  s.steps.push_back(std::move(answered));
  keep_or_discard(now, std::move(s));
}

void Recorder::keep_or_discard(Time now, MessageTrace&& s) {
  // Depends only on the message's number and the seed, so that a repeated run keeps the same traces.
  const auto sampled = [&] {
    return settings_.sample > 0 && pcg32(seed_, s.id)(static_cast<std::uint32_t>(settings_.sample)) == 0;
  };
  const bool notable = s.verdict != Verdict::served;
  s.watched = settings_.watch.count(s.destination) > 0;
  const TraceRateLimit::Kind kind = {s.message_class,
                                     static_cast<int>(s.verdict) + (s.watched ? kVerdictCount : 0)};
  auto& unkept = since_last_kept_[kind];
  unkept++;
  if (!notable && !s.watched && !sampled()) return;
  if (!rate_limit_.try_acquire(now, kind)) {
    counts_.over_rate_limit++;
    return;
  }
  counts_.kept++;
  s.stands_for = unkept;
  unkept = 0;
  sink_(std::move(s));
}

}  // namespace cedarplank::trace
