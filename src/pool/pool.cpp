#include "pool/pool.hpp"

#include <algorithm>

namespace cedarplank::pool {

bool Gate::enter(const std::string& name) {
  // Queued names come first; a request out of turn joins the end of the queue.
  const bool first = queue_.empty() || queue_.front() == name;
  if (inside_ < most_ && first) {
    forget(name);
    inside_++;
    return true;
  }
  if (queued_.insert(name).second) queue_.push_back(name);
  return false;
}

std::optional<std::string> Gate::next() {
  if (queue_.empty() || inside_ >= most_) return std::nullopt;
  return queue_.front();
}

void Gate::forget(const std::string& name) {
  if (queued_.erase(name) == 0) return;
  queue_.erase(std::find(queue_.begin(), queue_.end(), name));
}

const char* text_of(Why reason) {
  switch (reason) {
    case Why::idle:
      return "idle";
    case Why::goaway:
      return "the endpoint accepts no more calls on this connection";
    case Why::unlisted:
      return "the endpoint is no longer listed";
    case Why::unhealthy:
      return "connection closed: PING or enquire_link not answered";
    case Why::asked:
      return "closing of idle connections was requested";
    case Why::connect_timeout:
      return "not ready for calls in time";
  }
  return "";
}

Pool::Pool(std::string name, const Settings& settings, Gate& limiter, LinkId& next_link, std::uint64_t seed)
    : name_(std::move(name)), settings_(settings), gate_(limiter), next_link_(next_link), random_(seed) {}

Pool::~Pool() {
  for (auto& [id, l] : links_) release(l);
  gate_.forget(name_);
}

void Pool::release(Link& l) {
  if (l.gated) gate_.leave(), l.gated = false;
}

bool Pool::withdraw(CallId call) {
  const auto it = std::find(waiting_.begin(), waiting_.end(), call);
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

std::vector<CallId> Pool::recall() {
  std::vector<CallId> all(waiting_.begin(), waiting_.end());
  waiting_.clear();
  return all;
}

void Pool::over(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  it->second.out--;
  it->second.since = now;
}

void Pool::standing(LinkId id, Time now, std::uint32_t streams_max) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.state != Link::State::connecting) return;
  Link& l = it->second;
  release(l);
  l.state = Link::State::standing, l.since = l.heard_at = now, l.streams_max = streams_max;
  // More connections are ready than the observed limit: it no longer applies.
  const auto open = std::count_if(links_.begin(), links_.end(),
                                  [](const auto& x) { return x.second.state == Link::State::standing; });
  if (cap_ > 0 && open > cap_) cap_ = 0;
}

void Pool::set_streams_max(LinkId id, std::uint32_t streams_max) {
  const auto it = links_.find(id);
  if (it != links_.end()) it->second.streams_max = streams_max;
}

void Pool::heard(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& l = it->second;
  l.heard_at = now, l.suspect = false;  // any input proves that the peer is alive
  if (!l.probe_from) l.asked_at = 0;
}

std::optional<Time> Pool::pong(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return std::nullopt;
  Link& l = it->second;
  // Even a late answer proves that the peer is alive: it may have been paused for a while.
  l.asked_at = 0, l.suspect = false;
  if (!l.probe_from) return std::nullopt;
  const Time latency = now - *l.probe_from;
  l.probe_from.reset();
  return latency;
}

void Pool::set_blocked(LinkId id, bool blocked) {
  const auto it = links_.find(id);
  if (it != links_.end()) it->second.blocked = blocked;
}

void Pool::draining(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.state != Link::State::standing) return;
  Link& l = it->second;
  l.state = Link::State::draining;
  // The last ready connection, and in use: its replacement is opened before a call has to wait for one. All
  // relays get their GOAWAY at the same moment, so the start is spread over a random time; a call that waits
  // still connects at once.
  const bool in_use = l.out > 0 || now - l.since < settings_.idle / 4;
  if (in_use && !any_standing() && !any_connecting() && listed_)
    replace_at_ = now + static_cast<Time>(
                            random_(static_cast<std::uint32_t>(std::max<Time>(1, settings_.replace_spread))));
}

void Pool::closing(LinkId id) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  release(it->second);
  it->second.state = Link::State::closing;
}

Pool::Loss Pool::lost(LinkId id, Time now) {
  Loss loss;
  const auto it = links_.find(id);
  if (it == links_.end()) return loss;
  Link l = it->second;
  release(l);
  links_.erase(it);
  loss.was_standing = l.state != Link::State::connecting;
  if (l.probe_from) loss.probe = now - *l.probe_from;
  if (loss.was_standing) return loss;
  if (probe_wanted_) loss.probe = now - *probe_wanted_, probe_wanted_.reset();
  const auto open =
      std::count_if(links_.begin(), links_.end(), [this](const auto& x) { return usable(x.second); });
  if (open > 0) {
    // Other connections are ready and this one was refused: the endpoint has reached its connection limit.
    cap_ = static_cast<int>(open), cap_until_ = now + settings_.cap_memory;
  } else if (!any_connecting()) {
    loss.no_connection = recall();
  }
  return loss;
}

bool Pool::any_standing() const {
  return std::any_of(links_.begin(), links_.end(), [this](const auto& x) { return usable(x.second); });
}

bool Pool::any_connecting() const {
  return std::any_of(links_.begin(), links_.end(),
                     [](const auto& x) { return x.second.state == Link::State::connecting; });
}

void Pool::probe(Time now) {
  if (!probe_wanted_) probe_wanted_ = now;
}

bool Pool::has_room(const Link& l) const {
  // No call is queued behind bytes that the endpoint doesn't read: it could no longer be cancelled unsent.
  return usable(l) && !l.blocked &&
         static_cast<std::uint32_t>(l.out) <
             std::min(l.streams_max, static_cast<std::uint32_t>(settings_.streams_max));
}

// Picks the connection for the next call: the fullest one below calls_at_risk, so that spare connections
// become idle and close; if there is none, the one with the fewest calls, so that the loss of a connection
// costs least.
std::map<LinkId, Pool::Link>::iterator Pool::pick() {
  auto best = links_.end();
  for (auto it = links_.begin(); it != links_.end(); ++it) {
    const Link& l = it->second;
    if (!has_room(l)) continue;
    if (best == links_.end()) {
      best = it;
      continue;
    }
    const Link& b = best->second;
    const bool below = l.out < settings_.calls_at_risk, best_below = b.out < settings_.calls_at_risk;
    if (below != best_below ? below : below ? l.out > b.out : l.out < b.out) best = it;
  }
  return best;
}

void Pool::look_after(Time now, std::vector<Step>& out) {
  for (auto& [id, l] : links_) {
    const auto close = [&, link = id](Why reason) { out.push_back({Step::Do::close, link, 0, reason}); };
    if (l.state == Link::State::closing) continue;
    if (l.state == Link::State::connecting) {
      if (now >= l.since + settings_.connect_timeout) close(Why::connect_timeout);
      continue;
    }
    if (l.asked_at > 0 && now >= l.asked_at + settings_.ping_timeout) l.suspect = true;
    if (l.out <= 0) {
      // Marked as closing at once, so that the same steps don't submit a call on it.
      const auto before = out.size();
      if (l.state == Link::State::draining) {
        close(Why::goaway);
      } else if (!listed_) {
        close(Why::unlisted);
      } else if (l.suspect) {
        close(Why::unhealthy);
      } else if (close_idle_) {
        close(Why::asked);
      } else if (now >= idle_end(l)) {
        close(Why::idle);
      }
      if (out.size() > before) {
        l.state = Link::State::closing;
        continue;
      }
    }
    const bool silent = settings_.ping_after > 0 && now >= l.heard_at + settings_.ping_after;
    if (silent && l.asked_at == 0 && !l.suspect) {
      l.asked_at = now;
      out.push_back({Step::Do::ping, id, 0, {}});
    }
  }
  close_idle_ = false;
  if (!probe_wanted_) return;
  for (auto& [id, l] : links_) {
    if (!usable(l) || l.probe_from) continue;
    l.probe_from = probe_wanted_, l.asked_at = now;
    probe_wanted_.reset();
    out.push_back({Step::Do::ping, id, 0, {}});
    return;
  }
}

void Pool::submit(Time, std::vector<Step>& out) {
  while (!waiting_.empty()) {
    const auto it = pick();
    if (it == links_.end()) return;
    out.push_back({Step::Do::submit, it->first, waiting_.front(), {}});
    waiting_.pop_front();
    it->second.out++;
  }
}

void Pool::connect(Time now, std::vector<Step>& out) {
  if (now >= cap_until_) cap_ = 0;
  int open = 0, ready = 0, connecting = 0, below_risk = 0;
  for (const auto& [id, l] : links_) {
    if (l.state == Link::State::closing || l.state == Link::State::draining || l.suspect) continue;
    open++;
    connecting += l.state == Link::State::connecting;
    ready += usable(l);
    below_risk += usable(l) && l.out < settings_.calls_at_risk;
  }
  const bool at_risk = ready > 0 && below_risk == 0;
  // A due replacement is kept as a flag, apart from its time: it may have to wait for the handshake limit. An
  // endpoint that left the list meanwhile needs no replacement; a time left set would stay due for ever and
  // keep the host busy.
  if (now >= replace_at_) replace_at_ = kNever, replace_ = true;
  if (open > 0 || !listed_) replace_at_ = kNever, replace_ = false;
  const bool wanted = !waiting_.empty() || probe_wanted_ || at_risk || replace_;
  // The first connection is opened alone; after that no more at once than are ready already, so that an
  // endpoint sees their number double at most. Without waiting calls, one connection in progress is enough.
  const int open_max = cap_ > 0 ? std::min(cap_, settings_.connections_max) : settings_.connections_max;
  const bool allowed =
      open < open_max && connecting < std::max(1, ready) && (connecting == 0 || !waiting_.empty());
  if (!wanted || !listed_ || !allowed) return gate_.forget(name_);
  if (!gate_.enter(name_)) return;
  replace_at_ = kNever, replace_ = false;
  const LinkId id = next_link_++;
  Link& l = links_[id];
  l.since = now, l.gated = true;
  out.push_back({Step::Do::connect, id, 0, {}});
}

void Pool::steps(Time now, std::vector<Step>& out) {
  look_after(now, out);
  submit(now, out);
  connect(now, out);
}

Time Pool::next_due() const {
  Time due = replace_at_;
  for (const auto& [id, l] : links_) {
    if (l.state == Link::State::closing) continue;
    if (l.state == Link::State::connecting) {
      due = std::min(due, l.since + settings_.connect_timeout);
      continue;
    }
    if (l.asked_at > 0 && !l.suspect) due = std::min(due, l.asked_at + settings_.ping_timeout);
    if (settings_.ping_after > 0 && l.asked_at == 0) due = std::min(due, l.heard_at + settings_.ping_after);
    if (l.out <= 0 && l.state == Link::State::standing) due = std::min(due, idle_end(l));
  }
  return due;
}

}  // namespace cedarplank::pool
