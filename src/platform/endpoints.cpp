#include "platform/endpoints.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "platform/semantics.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kIdleMargin = 250'000;  // before the other side's idle time: its close must not cross a call
constexpr Time kSweepEvery = 50'000;
constexpr Time kHoldLast = 2'000;  // from a call's other bytes to its last one, for a dead connection to show
constexpr Time kHeadGrace = 100'000;    // from a first line that says 200 to the end of its head
constexpr Time kConnectAgain = 30'000;  // where this machine was short of something
constexpr Time kRestGrace = 1'000'000;  // from an outcome to the end of its answer

}  // namespace

Endpoints::Endpoints(loop::Loop& loop, Bounds bounds, Host host)
    : loop_(loop), bounds_(bounds), host_(std::move(host)) {
  sweep_timer_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

Endpoints::~Endpoints() {
  loop_.cancel(sweep_timer_);
  for (const auto& [n, link] : links_) {
    loop_.cancel(link->timer);
    // What is out now ends as in doubt at the next start, perhaps before it would be delivered.
    link->stream->close(link->size > 0 && link->stream->unacknowledged());
  }
}

void Endpoints::learn(const Catalogue& catalogue) {
  auto before = std::move(addresses_);
  addresses_.clear();
  if (!catalogue.whole) addresses_ = before;
  for (const auto& l : catalogue.endpoints) {
    if (l.endpoint.listing == Listing::gone)
      addresses_.erase(l.endpoint.id);
    else
      addresses_[l.endpoint.id] = l.address;
  }
  for (const auto& [id, address] : before) {
    const auto it = addresses_.find(id);
    if (it == addresses_.end() || it->second != address) close_idle(id);
  }
}

void Endpoints::send(const relay::CallOrder& call) { ordered_.push_back(call); }

void Endpoints::flush() {
  std::vector<relay::CallOrder> ordered;
  ordered.swap(ordered_);
  std::map<std::uint64_t, std::size_t> places;
  std::vector<std::vector<relay::CallOrder>> bundles;
  for (auto& call : ordered) {
    const auto [it, fresh] = places.emplace(call.bundle, bundles.size());
    if (fresh) bundles.emplace_back();
    bundles[it->second].push_back(std::move(call));
  }
  counts_.calls += bundles.size();
  for (auto& bundle : bundles) start(std::move(bundle), loop_.now());
}

// The message that is waited for longest stands first. Guards against a call whose first message is over
// before the others are: its receiver may take the whole call for given up, and its answer for none.
void Endpoints::start(std::vector<relay::CallOrder> bundle, Time ordered) {
  const EndpointId endpoint = bundle.front().endpoint;
  const auto at = addresses_.find(endpoint);
  LinkPtr link;
  if (at != addresses_.end()) {
    link = idle_link(endpoint, at->second);
    if (!link && make_room()) link = open(endpoint, at->second);
  }
  if (!link) {
    const char* why = at == addresses_.end() ? "its endpoint has left the list" : "no descriptor is left";
    // Not from within the core's own round.
    loop_.defer([this, weak = std::weak_ptr(alive_), bundle = std::move(bundle), why] {
      if (weak.expired()) return;
      for (const auto& call : bundle) host_.ended(call.id, {Outcome::not_sent, 0, {}, why, {}});
    });
    return;
  }
  std::stable_sort(bundle.begin(), bundle.end(),
                   [this](const auto& a, const auto& b) { return waited_for(a) > waited_for(b); });
  for (const auto& call : bundle) calls_[call.id] = link;
  link->size = bundle.size(), link->members = std::move(bundle);
  link->ordered = ordered, link->told = link->begun = false;
  if (link->up) begin(link);
}

// How long a message of a call of several is waited for: where it may not go elsewhere meanwhile, as long as
// it has time (see cancel()).
std::pair<Time, Time> Endpoints::waited_for(const relay::CallOrder& call) const {
  return bounds_.second_copies ? std::pair(call.timeout, call.time_left)
                               : std::pair(call.time_left, call.timeout);
}

// A call's bytes are made when its connection is up. Guards against a message that was over or given up
// meanwhile and went along with the others of its call.
//
// A call runs only once its last byte has arrived, so that one goes out a moment after the others. Guards
// against connections that the other side has given up and that show it at the next request only: whole, that
// call would be in doubt, and a message that must not run twice lost.
void Endpoints::begin(const LinkPtr& link) {
  std::vector<Called> called;
  for (const auto& m : link->members)
    called.push_back({m.message->owner, m.message->idempotency_key, m.message->body});
  const Time wait =
      called.size() == 1 ? link->members.front().timeout : waited_for(link->members.front()).first;
  const Time budget = std::max<Time>(1'000, wait - (loop_.now() - link->ordered));
  const std::string request = called.size() == 1 ? single_call(called.front(), budget, link->address)
                                                 : bulk_call(called, budget, link->address);
  link->size = called.size(), link->begun = true;
  link->last = link->stream->queued() + request.size(), link->last_byte = request.back();
  link->stream->write(std::string_view(request).substr(0, request.size() - 1));
  link->timer = loop_.after(kHoldLast, [this, link] {
    link->timer = 0;
    link->stream->write({&link->last_byte, 1});
  });
}

// A call of which nothing can have run, on another connection, with the messages that are left in it:
// one whose kept connection broke before its last byte, as if that had been found dead before, or one of
// whose messages was over by then.
void Endpoints::move(const LinkPtr& link) {
  counts_.moved++;
  auto members = std::exchange(link->members, {});
  drop(link);  // first: its descriptor is the new one's
  for (const auto& m : members) calls_.erase(m.id);
  start(std::move(members), link->ordered);
}

// The one used last: the others come to their idle time sooner.
Endpoints::LinkPtr Endpoints::idle_link(const EndpointId& endpoint, const std::string& address) {
  // Looked up anew each time: drop() takes an endpoint's last idle connection off with its place.
  for (auto it = idle_.find(endpoint); it != idle_.end() && !it->second.empty(); it = idle_.find(endpoint)) {
    const LinkPtr link = it->second.back();
    it->second.pop_back();
    // Guards against a connection closed or answered on since the loop last looked: a call written to it
    // would end in doubt, or take another's answer for its own.
    char byte = 0;
    const int fd = link->stream->descriptor();
    const bool quiet =
        recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    const bool old = loop_.now() - link->idle_from > bounds_.idle - kIdleMargin;
    if (quiet && !old && link->address == address) return counts_.reused++, link;
    counts_.stale++;
    drop(link);
  }
  return nullptr;
}

// Descriptors are bounded: an idle connection to another endpoint gives way, the longest idle first.
bool Endpoints::make_room() {
  if (links_.size() < bounds_.connections) return true;
  LinkPtr oldest;
  for (const auto& [id, links] : idle_)
    if (!links.empty() && (!oldest || links.front()->idle_from < oldest->idle_from)) oldest = links.front();
  if (!oldest) return counts_.full++, false;
  drop(oldest);
  return true;
}

Endpoints::LinkPtr Endpoints::open(const EndpointId& endpoint, const std::string& address) {
  auto link = std::make_shared<Link>();
  link->number = next_link_++, link->endpoint = endpoint, link->address = address;
  links_[link->number] = link;
  counts_.opened++;
  connect(link);
  return link;
}

void Endpoints::connect(const LinkPtr& link) {
  const std::weak_ptr<Link> weak = link;
  link->stream =
      std::make_unique<net::TcpStream>(loop_, net::Address::parse(link->address), bounds_.connect_timeout,
                                       net::Stream::Handlers{.connected =
                                                                 [this, weak] {
                                                                   const auto l = weak.lock();
                                                                   if (!l) return;
                                                                   l->up = true;
                                                                   if (l->size > 0) begin(l);
                                                                 },
                                                             .data =
                                                                 [this, weak](std::string_view bytes) {
                                                                   if (const auto l = weak.lock())
                                                                     data(l, bytes);
                                                                 },
                                                             .drained = {},
                                                             .closed =
                                                                 [this, weak](const std::string& why) {
                                                                   if (const auto l = weak.lock())
                                                                     closed(l, why);
                                                                 }});
  // Guards against a call that the system goes on delivering when this process is killed, after the next one
  // has ended its message (rule 1).
  link->stream->reset_on_exit();
}

// What this machine is short of for a moment says nothing of the endpoint: its calls wait for a connection,
// within the time that one may take. Guards against endpoints all taken for out, and then for cold, at once.
bool Endpoints::connect_again(const LinkPtr& link) {
  if (link->up || link->size == 0 || !link->stream->failed_here()) return false;
  if (loop_.now() >= link->ordered + bounds_.connect_timeout) return false;
  loop_.cancel(link->timer);
  link->timer = loop_.after(kConnectAgain, [this, link] {
    link->timer = 0;
    connect(link);
  });
  return true;
}

bool Endpoints::cannot_have_run(const Link& link) const {
  return !link.begun || link.stream->flushed() < link.last;
}

void Endpoints::data(const LinkPtr& link, std::string_view bytes) {
  // Nothing was asked: noise, or a second copy of the last answer. Whatever comes next can't be told apart.
  if (link->size == 0) return drop(link);
  auto& reader = link->reader;
  const auto taken = reader.take(bytes);
  using State = http1::Reader::State;
  if (cannot_have_run(*link)) return answered_early(link);
  const bool single = link->size == 1;
  const bool head = reader.state() == State::body || reader.state() == State::complete;
  if (reader.state() == State::broken) {
    counts_.spoilt++;
    host_.log("spoilt answer of " + link->endpoint + ": " + reader.problem());
    return spoilt(link);
  }
  if (single && !link->told) {
    // One message: its first line tells, once its head is whole; a 200 is true whatever follows.
    if (head && (reader.first_line() == 200 || reader.state() == State::complete)) {
      link->told = true;
      tell(link, {ending_of(reader.message())});
    } else if (reader.first_line() == 200 && link->timer == 0) {
      link->timer = loop_.after(kHeadGrace, [this, link] { link->timer = 0, spoilt(link); });
    }
  }
  if (reader.state() == State::complete) {
    if (!link->told)
      tell(link, endings_of(reader.message(), true, [&] {
             std::vector<std::string> ids;
             for (const auto& m : link->members) ids.push_back(m.message->owner);
             return ids;
           }()));
    return rest(link, taken == bytes.size() && !reader.message().close);
  }
  if (link->told && link->timer == 0)
    link->timer = loop_.after(kRestGrace, [this, link] { link->timer = 0, drop(link); });
}

// An answer ahead of the call's last byte, which is not written any more: turned away unread. Whatever it
// says otherwise, nothing has run.
void Endpoints::answered_early(const LinkPtr& link) {
  const auto state = link->reader.state();
  loop_.cancel(link->timer), link->timer = 0;
  relay::Ending ending{Outcome::connect_failed, 0, {}, "an answer before the call was whole", {}};
  if (state == http1::Reader::State::complete) {
    const auto said = ending_of(link->reader.message());
    if (said.outcome == Outcome::full || said.outcome == Outcome::not_sent) ending = said;
  } else if (state != http1::Reader::State::broken) {
    link->timer = loop_.after(kHeadGrace, [this, link, ending] {
      link->timer = 0;
      tell_all(link, ending);
      drop(link);
    });
    return;
  }
  tell_all(link, ending);
  drop(link);
}

// The answer came to no good end: nothing more is read on this connection.
void Endpoints::spoilt(const LinkPtr& link) {
  if (!link->told) {
    relay::Ending ending{Outcome::error, 0, {}, std::string("spoilt answer: ") + link->reader.problem(), {}};
    if (link->size == 1 && link->reader.first_line() == 200) ending = {Outcome::served, 0, {}, "200", {}};
    tell_all(link, ending);
  }
  drop(link);
}

void Endpoints::closed(const LinkPtr& link, const std::string& why) {
  if (connect_again(link)) return;
  if (link->size > 0 && !link->told)
    host_.log("closed " + link->endpoint + ": " + why + (cannot_have_run(*link) ? ", nothing has run" : ""));
  link->reader.end();
  const auto state = link->reader.state();
  if (link->size > 0 && !link->told) {
    if (cannot_have_run(*link)) {
      // The last byte never left: it has not run.
      if (link->kept) return move(link);
      tell_all(link, {Outcome::connect_failed, 0, {}, why, {}});
    } else if (link->size == 1 && link->reader.first_line() == 200) {
      tell_all(link, {Outcome::served, 0, {}, "200", {}});
    } else if (state == http1::Reader::State::complete) {
      std::vector<std::string> ids;
      for (const auto& m : link->members) ids.push_back(m.message->owner);
      tell(link, link->size == 1 ? std::vector{ending_of(link->reader.message())}
                                 : endings_of(link->reader.message(), true, ids));
    } else {
      tell_all(link, {Outcome::reset, 0, {}, why, {}});
    }
  }
  drop(link);
}

// After its call: idle, or of no further use.
void Endpoints::rest(const LinkPtr& link, bool reusable) {
  loop_.cancel(link->timer), link->timer = 0;
  if (!reusable || cannot_have_run(*link) || addresses_.count(link->endpoint) == 0) return drop(link);
  link->reader.next();
  link->kept = true;
  link->size = 0, link->told = false, link->members.clear();
  link->idle_from = loop_.now();
  idle_[link->endpoint].push_back(link);
}

void Endpoints::tell(const LinkPtr& link, const std::vector<relay::Ending>& endings) {
  link->told = true;
  auto members = std::move(link->members);
  link->members.clear();
  for (const auto& m : members) calls_.erase(m.id);
  for (std::size_t i = 0; i < members.size(); i++) host_.ended(members[i].id, endings[i]);
}

void Endpoints::tell_all(const LinkPtr& link, const relay::Ending& ending) {
  tell(link, std::vector(link->members.size(), ending));
}

void Endpoints::drop(const LinkPtr& link, Close how) {
  loop_.cancel(link->timer), link->timer = 0;
  // It may be what tells us that is running now.
  loop_.defer([link] {});
  link->stream->close(how == Close::reset);
  links_.erase(link->number);
  const auto it = idle_.find(link->endpoint);
  if (it == idle_.end()) return;
  std::erase(it->second, link);
  if (it->second.empty()) idle_.erase(it);
}

relay::Transport::Recalled Endpoints::cancel(relay::CallId call) {
  const auto waiting =
      std::find_if(ordered_.begin(), ordered_.end(), [&](const auto& o) { return o.id == call; });
  if (waiting != ordered_.end()) {
    ordered_.erase(waiting);
    return Recalled::waiting;
  }
  const auto it = calls_.find(call);
  if (it == calls_.end()) return Recalled::sent;
  const LinkPtr link = it->second;
  const bool whole = !cannot_have_run(*link), up = link->up;
  const auto member =
      std::find_if(link->members.begin(), link->members.end(), [&](const auto& m) { return m.id == call; });
  // The others of its call are waited for, and their connection has to stay open. While it does, this one is
  // out on it too, whatever we think: where that bars it from going elsewhere, it stays with them.
  const bool over = loop_.now() >= link->ordered + member->time_left;
  if (whole && link->members.size() > 1 && !bounds_.second_copies && !over) return Recalled::kept;
  calls_.erase(it);
  link->members.erase(member);
  // Guards against bytes that wait in this machine's buffers, and that a plain close goes on delivering once
  // the message had its end (rule 1).
  if (link->members.empty())
    drop(link, whole && link->stream->unacknowledged() ? Close::reset : Close::plain);
  else if (!link->begun)
    link->size = link->members.size();
  else if (!whole)
    move(link);
  return whole ? Recalled::sent : up ? Recalled::waiting : Recalled::connecting;
}

bool Endpoints::take_back(relay::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return cancel(call) == Recalled::waiting;
  if (!cannot_have_run(*it->second)) return false;
  cancel(call);
  return true;
}

// Of a call of several, the others are still waited for.
bool Endpoints::withhold(relay::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || it->second->members.size() > 1 || !it->second->stream->unacknowledged())
    return false;
  cancel(call);
  return true;
}

std::vector<relay::CallId> Endpoints::recall(const EndpointId& endpoint) {
  std::vector<relay::CallId> back;
  std::erase_if(ordered_,
                [&](const auto& o) { return o.endpoint == endpoint && (back.push_back(o.id), true); });
  std::vector<LinkPtr> links;
  for (const auto& [number, link] : links_)
    if (link->endpoint == endpoint && link->size > 0 && cannot_have_run(*link)) links.push_back(link);
  for (const auto& link : links) {
    for (const auto& m : link->members) back.push_back(m.id), calls_.erase(m.id);
    drop(link);
  }
  return back;
}

void Endpoints::close_idle(const EndpointId& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  const auto links = it->second;
  for (const auto& link : links) drop(link);
}

void Endpoints::sweep() {
  std::vector<LinkPtr> old;
  for (const auto& [id, links] : idle_)
    for (const auto& link : links)
      if (loop_.now() - link->idle_from > bounds_.idle - kIdleMargin) old.push_back(link);
  for (const auto& link : old) drop(link);
  sweep_timer_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

}  // namespace cedarplank::platform
