#include "pool/pool.hpp"

#include <algorithm>

namespace cedarplank::pool {

bool HandshakeLimiter::acquire(const std::string& name) {
  // Queued names come first; a request out of turn joins the end of the queue.
  const bool first = queue_.empty() || queue_.front() == name;
  if (in_progress_ < limit_ && first) {
    cancel_wait(name);
    in_progress_++;
    return true;
  }
  if (queued_.insert(name).second) queue_.push_back(name);
  return false;
}

std::optional<std::string> HandshakeLimiter::next_waiting() {
  if (queue_.empty() || in_progress_ >= limit_) return std::nullopt;
  return queue_.front();
}

void HandshakeLimiter::cancel_wait(const std::string& name) {
  if (queued_.erase(name) == 0) return;
  queue_.erase(std::find(queue_.begin(), queue_.end(), name));
}

const char* text_of(CloseReason reason) {
  switch (reason) {
    case CloseReason::idle:
      return "idle";
    case CloseReason::goaway:
      return "the endpoint accepts no more calls on this connection";
    case CloseReason::unlisted:
      return "the endpoint is no longer listed";
    case CloseReason::unhealthy:
      return "connection closed: PING or enquire_link not answered";
    case CloseReason::requested:
      return "closing of idle connections was requested";
    case CloseReason::connect_timeout:
      return "not ready for calls in time";
  }
  return "";
}

Pool::Pool(std::string name, const Settings& settings, HandshakeLimiter& limiter, LinkId& next_link,
           std::uint64_t seed)
    : name_(std::move(name)),
      settings_(settings),
      handshake_limiter_(limiter),
      next_link_(next_link),
      random_(seed) {}

Pool::~Pool() {
  for (auto& [id, l] : links_) end_handshake(l);
  handshake_limiter_.cancel_wait(name_);
}

void Pool::end_handshake(Link& l) {
  if (l.in_handshake) handshake_limiter_.release(), l.in_handshake = false;
}

bool Pool::remove_waiting(CallId call) {
  const auto it = std::find(waiting_.begin(), waiting_.end(), call);
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

std::vector<CallId> Pool::remove_all_waiting() {
  std::vector<CallId> all(waiting_.begin(), waiting_.end());
  waiting_.clear();
  return all;
}

void Pool::call_ended(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  it->second.calls_out--;
  it->second.since = now;
}

void Pool::set_ready(LinkId id, Time now, std::uint32_t streams_max) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.state != Link::State::connecting) return;
  Link& l = it->second;
  end_handshake(l);
  l.state = Link::State::ready, l.since = l.received_at = now, l.streams_max = streams_max;
  // More connections are ready than the observed limit: it no longer applies.
  const auto open = std::count_if(links_.begin(), links_.end(),
                                  [](const auto& x) { return x.second.state == Link::State::ready; });
  if (connection_cap_ > 0 && open > connection_cap_) connection_cap_ = 0;
}

void Pool::set_streams_max(LinkId id, std::uint32_t streams_max) {
  const auto it = links_.find(id);
  if (it != links_.end()) it->second.streams_max = streams_max;
}

void Pool::data_received(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& l = it->second;
  l.received_at = now, l.suspect = false;  // any input proves that the peer is alive
  if (!l.probe_since) l.pinged_at = 0;
}

std::optional<Time> Pool::pong_received(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end()) return std::nullopt;
  Link& l = it->second;
  // Even a late answer proves that the peer is alive: it may have been paused for a while.
  l.pinged_at = 0, l.suspect = false;
  if (!l.probe_since) return std::nullopt;
  const Time latency = now - *l.probe_since;
  l.probe_since.reset();
  return latency;
}

void Pool::set_blocked(LinkId id, bool blocked) {
  const auto it = links_.find(id);
  if (it != links_.end()) it->second.blocked = blocked;
}

void Pool::set_draining(LinkId id, Time now) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.state != Link::State::ready) return;
  Link& l = it->second;
  l.state = Link::State::draining;
  // The last ready connection, and in use: its replacement is opened before a call has to wait for one. All
  // relays get their GOAWAY at the same moment, so the start is spread over a random time; a call that waits
  // still connects at once.
  const bool in_use = l.calls_out > 0 || now - l.since < settings_.idle_timeout / 4;
  if (in_use && !any_ready() && !any_connecting() && listed_)
    replace_at_ = now + static_cast<Time>(random_(
                            static_cast<std::uint32_t>(std::max<Time>(1, settings_.replace_delay_max))));
}

void Pool::set_closing(LinkId id) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  end_handshake(it->second);
  it->second.state = Link::State::closing;
}

Pool::LostConnection Pool::connection_lost(LinkId id, Time now) {
  LostConnection loss;
  const auto it = links_.find(id);
  if (it == links_.end()) return loss;
  Link l = it->second;
  end_handshake(l);
  links_.erase(it);
  loss.was_ready = l.state != Link::State::connecting;
  if (l.probe_since) loss.probe_time = now - *l.probe_since;
  if (loss.was_ready) return loss;
  if (probe_requested_at_) loss.probe_time = now - *probe_requested_at_, probe_requested_at_.reset();
  const auto open =
      std::count_if(links_.begin(), links_.end(), [this](const auto& x) { return usable(x.second); });
  if (open > 0) {
    // Other connections are ready and this one was refused: the endpoint has reached its connection limit.
    connection_cap_ = static_cast<int>(open), connection_cap_until_ = now + settings_.connection_cap_ttl;
  } else if (!any_connecting()) {
    loss.unsent_calls = remove_all_waiting();
  }
  return loss;
}

bool Pool::any_ready() const {
  return std::any_of(links_.begin(), links_.end(), [this](const auto& x) { return usable(x.second); });
}

bool Pool::any_connecting() const {
  return std::any_of(links_.begin(), links_.end(),
                     [](const auto& x) { return x.second.state == Link::State::connecting; });
}

void Pool::probe(Time now) {
  if (!probe_requested_at_) probe_requested_at_ = now;
}

bool Pool::has_capacity(const Link& l) const {
  // No call is queued behind bytes that the endpoint doesn't read: it could no longer be cancelled unsent.
  return usable(l) && !l.blocked &&
         static_cast<std::uint32_t>(l.calls_out) <
             std::min(l.streams_max, static_cast<std::uint32_t>(settings_.streams_max));
}

// Picks the connection for the next call: the fullest one below calls_at_risk, so that spare connections
// become idle and close; if there is none, the one with the fewest calls, so that the loss of a connection
// costs least.
std::map<LinkId, Pool::Link>::iterator Pool::pick() {
  auto best = links_.end();
  for (auto it = links_.begin(); it != links_.end(); ++it) {
    const Link& l = it->second;
    if (!has_capacity(l)) continue;
    if (best == links_.end()) {
      best = it;
      continue;
    }
    const Link& b = best->second;
    const bool below = l.calls_out < settings_.calls_at_risk,
               best_below = b.calls_out < settings_.calls_at_risk;
    if (below != best_below ? below : below ? l.calls_out > b.calls_out : l.calls_out < b.calls_out)
      best = it;
  }
  return best;
}

void Pool::maintain_connections(Time now, std::vector<Step>& out) {
  for (auto& [id, l] : links_) {
    const auto close = [&, link = id](CloseReason reason) {
      out.push_back({Step::Kind::close, link, 0, reason});
    };
    if (l.state == Link::State::closing) continue;
    if (l.state == Link::State::connecting) {
      if (now >= l.since + settings_.connect_timeout) close(CloseReason::connect_timeout);
      continue;
    }
    if (l.pinged_at > 0 && now >= l.pinged_at + settings_.ping_timeout) l.suspect = true;
    if (l.calls_out <= 0) {
      // Marked as closing at once, so that the same steps don't submit a call on it.
      const auto before = out.size();
      if (l.state == Link::State::draining) {
        close(CloseReason::goaway);
      } else if (!listed_) {
        close(CloseReason::unlisted);
      } else if (l.suspect) {
        close(CloseReason::unhealthy);
      } else if (close_idle_) {
        close(CloseReason::requested);
      } else if (now >= idle_deadline(l)) {
        close(CloseReason::idle);
      }
      if (out.size() > before) {
        l.state = Link::State::closing;
        continue;
      }
    }
    const bool silent = settings_.ping_after > 0 && now >= l.received_at + settings_.ping_after;
    if (silent && l.pinged_at == 0 && !l.suspect) {
      l.pinged_at = now;
      out.push_back({Step::Kind::ping, id, 0, {}});
    }
  }
  close_idle_ = false;
  if (!probe_requested_at_) return;
  for (auto& [id, l] : links_) {
    if (!usable(l) || l.probe_since) continue;
    l.probe_since = probe_requested_at_, l.pinged_at = now;
    probe_requested_at_.reset();
    out.push_back({Step::Kind::ping, id, 0, {}});
    return;
  }
}

void Pool::submit(Time, std::vector<Step>& out) {
  while (!waiting_.empty()) {
    const auto it = pick();
    if (it == links_.end()) return;
    out.push_back({Step::Kind::submit, it->first, waiting_.front(), {}});
    waiting_.pop_front();
    it->second.calls_out++;
  }
}

void Pool::connect(Time now, std::vector<Step>& out) {
  if (now >= connection_cap_until_) connection_cap_ = 0;
  int open = 0, ready = 0, connecting = 0, below_risk = 0;
  for (const auto& [id, l] : links_) {
    if (l.state == Link::State::closing || l.state == Link::State::draining || l.suspect) continue;
    open++;
    connecting += l.state == Link::State::connecting;
    ready += usable(l);
    below_risk += usable(l) && l.calls_out < settings_.calls_at_risk;
  }
  const bool at_risk = ready > 0 && below_risk == 0;
  // A due replacement is kept as a flag, apart from its time: it may have to wait for the handshake limit. An
  // endpoint that left the list meanwhile needs no replacement; a time left set would stay due for ever and
  // keep the host busy.
  if (now >= replace_at_) replace_at_ = kNever, replace_due_ = true;
  if (open > 0 || !listed_) replace_at_ = kNever, replace_due_ = false;
  const bool wanted = !waiting_.empty() || probe_requested_at_ || at_risk || replace_due_;
  // The first connection is opened alone; after that no more at once than are ready already, so that an
  // endpoint sees their number double at most. Without waiting calls, one connection in progress is enough.
  const int open_max =
      connection_cap_ > 0 ? std::min(connection_cap_, settings_.connections_max) : settings_.connections_max;
  const bool allowed =
      open < open_max && connecting < std::max(1, ready) && (connecting == 0 || !waiting_.empty());
  if (!wanted || !listed_ || !allowed) return handshake_limiter_.cancel_wait(name_);
  if (!handshake_limiter_.acquire(name_)) return;
  replace_at_ = kNever, replace_due_ = false;
  const LinkId id = next_link_++;
  Link& l = links_[id];
  l.since = now, l.in_handshake = true;
  out.push_back({Step::Kind::connect, id, 0, {}});
}

void Pool::steps(Time now, std::vector<Step>& out) {
  maintain_connections(now, out);
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
    if (l.pinged_at > 0 && !l.suspect) due = std::min(due, l.pinged_at + settings_.ping_timeout);
    if (settings_.ping_after > 0 && l.pinged_at == 0)
      due = std::min(due, l.received_at + settings_.ping_after);
    if (l.calls_out <= 0 && l.state == Link::State::ready) due = std::min(due, idle_deadline(l));
  }
  return due;
}

}  // namespace cedarplank::pool
