#include "platform/endpoints.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "platform/semantics.hpp"

namespace cedarplank::platform {
namespace {

constexpr Time kIdleMargin = 250'000;  // before the endpoint's idle time: its close must not cross a call
constexpr Time kSweepInterval = 50'000;
// From the call's other bytes to its last one, for a dead connection to show.
constexpr Time kLastByteDelay = 2'000;
constexpr Time kHeadTimeout = 100'000;    // from a status line with 200 to the end of the head
constexpr Time kReconnectDelay = 30'000;  // until the next try after this machine ran out of a resource
constexpr Time kRestTimeout = 1'000'000;  // from an outcome to the end of the answer

}  // namespace

Endpoints::Endpoints(loop::Loop& loop, Bounds bounds, Host host)
    : loop_(loop), bounds_(bounds), host_(std::move(host)) {
  sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

Endpoints::~Endpoints() {
  loop_.cancel(sweep_timer_);
  for (const auto& [n, conn] : links_) {
    loop_.cancel(conn->timer);
    // A call in flight now is ended as possibly run at the next start; reset, it can't be delivered after
    // that.
    conn->stream->close(conn->size > 0 && conn->stream->unacknowledged());
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
  std::map<std::uint64_t, std::size_t> positions;
  std::vector<std::vector<relay::CallOrder>> bundles;
  for (auto& call : ordered) {
    const auto [it, fresh] = positions.emplace(call.bundle, bundles.size());
    if (fresh) bundles.emplace_back();
    bundles[it->second].push_back(std::move(call));
  }
  counts_.calls += bundles.size();
  for (auto& bundle : bundles) start(std::move(bundle), loop_.now());
}

// The message that is waited for longest goes first. Guards against a call whose first message ends before
// the others: the endpoint may treat the whole call as abandoned and not answer it.
void Endpoints::start(std::vector<relay::CallOrder> bundle, Time ordered) {
  const EndpointId endpoint = bundle.front().endpoint;
  const auto at = addresses_.find(endpoint);
  LinkPtr conn;
  if (at != addresses_.end()) {
    conn = idle_link(endpoint, at->second);
    if (!conn && make_room()) conn = open(endpoint, at->second);
  }
  if (!conn) {
    const char* why = at == addresses_.end() ? "its endpoint has left the list" : "no descriptor is left";
    // Deferred, so as not to call back within the core's own round.
    loop_.defer([this, weak = std::weak_ptr(alive_), bundle = std::move(bundle), why] {
      if (weak.expired()) return;
      for (const auto& call : bundle) host_.ended(call.id, {Outcome::not_sent, 0, {}, why, {}});
    });
    return;
  }
  std::stable_sort(bundle.begin(), bundle.end(),
                   [this](const auto& a, const auto& b) { return waited_for(a) > waited_for(b); });
  for (const auto& call : bundle) calls_[call.id] = conn;
  conn->size = bundle.size(), conn->members = std::move(bundle);
  conn->ordered = ordered, conn->told = conn->begun = false;
  if (conn->up) begin(conn);
}

// How long a message that shares a call is waited for, as a sort key: if it may not be sent elsewhere
// meanwhile, until its deadline (see cancel()).
std::pair<Time, Time> Endpoints::waited_for(const relay::CallOrder& call) const {
  return bounds_.second_copies ? std::pair(call.timeout, call.time_left)
                               : std::pair(call.time_left, call.timeout);
}

// The call's bytes are built only when the connection is up. Guards against a message that ended or was
// abandoned meanwhile and would be sent along with the others of its call.
//
// A call runs only once its last byte has arrived, so that byte is sent a moment after the others. Guards
// against connections that the endpoint has abandoned and that fail only at the next request: if the call had
// been sent whole, it would be unknown whether it ran, and a message that must not run twice would be lost.
void Endpoints::begin(const LinkPtr& conn) {
  std::vector<Called> called;
  for (const auto& m : conn->members)
    called.push_back({m.message->owner, m.message->idempotency_key, m.message->body});
  const Time wait =
      called.size() == 1 ? conn->members.front().timeout : waited_for(conn->members.front()).first;
  const Time budget = std::max<Time>(1'000, wait - (loop_.now() - conn->ordered));
  const std::string request = called.size() == 1 ? single_call(called.front(), budget, conn->address)
                                                 : bulk_call(called, budget, conn->address);
  conn->size = called.size(), conn->begun = true;
  conn->last = conn->stream->queued() + request.size(), conn->last_byte = request.back();
  conn->stream->write(std::string_view(request).substr(0, request.size() - 1));
  conn->timer = loop_.after(kLastByteDelay, [this, conn] {
    conn->timer = 0;
    conn->stream->write({&conn->last_byte, 1});
  });
}

// Moves a call that can't have run to another connection, with the messages that are left in it. Its kept
// connection broke before the last byte was sent, as if it had been found dead earlier, or one of its
// messages ended by then.
void Endpoints::move(const LinkPtr& conn) {
  counts_.moved++;
  auto members = std::exchange(conn->members, {});
  drop(conn);  // first, to free its descriptor for the new connection
  for (const auto& m : members) calls_.erase(m.id);
  start(std::move(members), conn->ordered);
}

// Takes the most recently used idle connection; the others reach their idle time sooner.
Endpoints::LinkPtr Endpoints::idle_link(const EndpointId& endpoint, const std::string& address) {
  // Looked up again each time: closing an endpoint's last idle connection erases its map entry.
  for (auto it = idle_.find(endpoint); it != idle_.end() && !it->second.empty(); it = idle_.find(endpoint)) {
    const LinkPtr conn = it->second.back();
    it->second.pop_back();
    // Guards against a connection that was closed, or on which bytes arrived, since the last poll: a call
    // written to it might or might not run, or get the answer to another call.
    char byte = 0;
    const int fd = conn->stream->descriptor();
    const bool quiet =
        recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    const bool old = loop_.now() - conn->idle_from > bounds_.idle - kIdleMargin;
    if (quiet && !old && conn->address == address) return counts_.reused++, conn;
    counts_.stale++;
    drop(conn);
  }
  return nullptr;
}

// Descriptors are limited: at the limit the longest idle connection to another endpoint is closed.
bool Endpoints::make_room() {
  if (links_.size() < bounds_.connections) return true;
  LinkPtr oldest;
  for (const auto& [id, conns] : idle_)
    if (!conns.empty() && (!oldest || conns.front()->idle_from < oldest->idle_from)) oldest = conns.front();
  if (!oldest) return counts_.full++, false;
  drop(oldest);
  return true;
}

Endpoints::LinkPtr Endpoints::open(const EndpointId& endpoint, const std::string& address) {
  auto conn = std::make_shared<Link>();
  conn->number = next_link_++, conn->endpoint = endpoint, conn->address = address;
  links_[conn->number] = conn;
  counts_.opened++;
  connect(conn);
  return conn;
}

void Endpoints::connect(const LinkPtr& conn) {
  const std::weak_ptr<Link> weak = conn;
  conn->stream =
      std::make_unique<net::TcpStream>(loop_, net::Address::parse(conn->address), bounds_.connect_timeout,
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
  // Guards against a call that the system goes on delivering after this process is killed, when the next
  // process has already ended its message (rule 1).
  conn->stream->reset_on_exit();
}

// A temporary lack of resources on this machine says nothing about the endpoint: its call waits and connects
// again, within the connect timeout. Guards against all endpoints being treated as down, and then as cold, at
// once.
bool Endpoints::connect_again(const LinkPtr& conn) {
  if (conn->up || conn->size == 0 || !conn->stream->failed_here()) return false;
  if (loop_.now() >= conn->ordered + bounds_.connect_timeout) return false;
  loop_.cancel(conn->timer);
  conn->timer = loop_.after(kReconnectDelay, [this, conn] {
    conn->timer = 0;
    connect(conn);
  });
  return true;
}

bool Endpoints::cannot_have_run(const Link& conn) const {
  return !conn.begun || conn.stream->flushed() < conn.last;
}

void Endpoints::data(const LinkPtr& conn, std::string_view bytes) {
  // Bytes without a call: noise, or a second copy of the last answer. A later answer could not be told apart
  // from them.
  if (conn->size == 0) return drop(conn);
  auto& reader = conn->reader;
  const auto taken = reader.take(bytes);
  using State = http1::Reader::State;
  if (cannot_have_run(*conn)) return answered_early(conn);
  const bool single = conn->size == 1;
  const bool head = reader.state() == State::body || reader.state() == State::complete;
  if (reader.state() == State::broken) {
    counts_.spoilt++;
    host_.log("malformed answer from " + conn->endpoint + ": " + reader.problem());
    return spoilt(conn);
  }
  if (single && !conn->told) {
    // One message: the status line decides once the head is complete; a 200 counts whatever follows it.
    if (head && (reader.first_line() == 200 || reader.state() == State::complete)) {
      conn->told = true;
      tell(conn, {ending_of(reader.message())});
    } else if (reader.first_line() == 200 && conn->timer == 0) {
      conn->timer = loop_.after(kHeadTimeout, [this, conn] { conn->timer = 0, spoilt(conn); });
    }
  }
  if (reader.state() == State::complete) {
    if (!conn->told)
      tell(conn, endings_of(reader.message(), true, [&] {
             std::vector<std::string> ids;
             for (const auto& m : conn->members) ids.push_back(m.message->owner);
             return ids;
           }()));
    return rest(conn, taken == bytes.size() && !reader.message().close);
  }
  if (conn->told && conn->timer == 0)
    conn->timer = loop_.after(kRestTimeout, [this, conn] { conn->timer = 0, drop(conn); });
}

// The endpoint answered before the call's last byte, which is not written any more: it rejected the call
// without having read it. Whatever else the answer says, nothing has run.
void Endpoints::answered_early(const LinkPtr& conn) {
  const auto state = conn->reader.state();
  loop_.cancel(conn->timer), conn->timer = 0;
  relay::Ending ending{Outcome::connect_failed, 0, {}, "an answer before the call was whole", {}};
  if (state == http1::Reader::State::complete) {
    const auto said = ending_of(conn->reader.message());
    if (said.outcome == Outcome::full || said.outcome == Outcome::not_sent) ending = said;
  } else if (state != http1::Reader::State::broken) {
    conn->timer = loop_.after(kHeadTimeout, [this, conn, ending] {
      conn->timer = 0;
      tell_all(conn, ending);
      drop(conn);
    });
    return;
  }
  tell_all(conn, ending);
  drop(conn);
}

// The answer is malformed or incomplete: nothing more is read on this connection.
void Endpoints::spoilt(const LinkPtr& conn) {
  if (!conn->told) {
    relay::Ending ending{Outcome::error, 0, {}, std::string("spoilt answer: ") + conn->reader.problem(), {}};
    if (conn->size == 1 && conn->reader.first_line() == 200) ending = {Outcome::served, 0, {}, "200", {}};
    tell_all(conn, ending);
  }
  drop(conn);
}

void Endpoints::closed(const LinkPtr& conn, const std::string& why) {
  if (connect_again(conn)) return;
  if (conn->size > 0 && !conn->told)
    host_.log("closed " + conn->endpoint + ": " + why + (cannot_have_run(*conn) ? ", nothing has run" : ""));
  conn->reader.end();
  const auto state = conn->reader.state();
  if (conn->size > 0 && !conn->told) {
    if (cannot_have_run(*conn)) {
      // The last byte was never sent: the call has not run.
      if (conn->kept) return move(conn);
      tell_all(conn, {Outcome::connect_failed, 0, {}, why, {}});
    } else if (conn->size == 1 && conn->reader.first_line() == 200) {
      tell_all(conn, {Outcome::served, 0, {}, "200", {}});
    } else if (state == http1::Reader::State::complete) {
      std::vector<std::string> ids;
      for (const auto& m : conn->members) ids.push_back(m.message->owner);
      tell(conn, conn->size == 1 ? std::vector{ending_of(conn->reader.message())}
                                 : endings_of(conn->reader.message(), true, ids));
    } else {
      tell_all(conn, {Outcome::reset, 0, {}, why, {}});
    }
  }
  drop(conn);
}

// After a call: keeps the connection as idle, or closes it.
void Endpoints::rest(const LinkPtr& conn, bool reusable) {
  loop_.cancel(conn->timer), conn->timer = 0;
  if (!reusable || cannot_have_run(*conn) || addresses_.count(conn->endpoint) == 0) return drop(conn);
  conn->reader.next();
  conn->kept = true;
  conn->size = 0, conn->told = false, conn->members.clear();
  conn->idle_from = loop_.now();
  idle_[conn->endpoint].push_back(conn);
}

void Endpoints::tell(const LinkPtr& conn, const std::vector<relay::Ending>& endings) {
  conn->told = true;
  auto members = std::move(conn->members);
  conn->members.clear();
  for (const auto& m : members) calls_.erase(m.id);
  for (std::size_t i = 0; i < members.size(); i++) host_.ended(members[i].id, endings[i]);
}

void Endpoints::tell_all(const LinkPtr& conn, const relay::Ending& ending) {
  tell(conn, std::vector(conn->members.size(), ending));
}

void Endpoints::drop(const LinkPtr& conn, Close how) {
  loop_.cancel(conn->timer), conn->timer = 0;
  // Keeps the object alive: one of its own callbacks may be running now.
  loop_.defer([conn] {});
  conn->stream->close(how == Close::reset);
  links_.erase(conn->number);
  const auto it = idle_.find(conn->endpoint);
  if (it == idle_.end()) return;
  std::erase(it->second, conn);
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
  const LinkPtr conn = it->second;
  const bool whole = !cannot_have_run(*conn), up = conn->up;
  const auto member =
      std::find_if(conn->members.begin(), conn->members.end(), [&](const auto& m) { return m.id == call; });
  // The other messages of the call are still waited for, so their connection has to stay open, and this
  // message stays in flight on it. If that means it may not be sent elsewhere, it stays in the call.
  const bool over = loop_.now() >= conn->ordered + member->time_left;
  if (whole && conn->members.size() > 1 && !bounds_.second_copies && !over) return Recalled::kept;
  calls_.erase(it);
  conn->members.erase(member);
  // Guards against bytes that wait in this machine's buffers: after a plain close the system would go on
  // delivering them once the message has ended (rule 1).
  if (conn->members.empty())
    drop(conn, whole && conn->stream->unacknowledged() ? Close::reset : Close::plain);
  else if (!conn->begun)
    conn->size = conn->members.size();
  else if (!whole)
    move(conn);
  return whole ? Recalled::sent : up ? Recalled::waiting : Recalled::connecting;
}

bool Endpoints::take_back(relay::CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return cancel(call) == Recalled::waiting;
  if (!cannot_have_run(*it->second)) return false;
  cancel(call);
  return true;
}

// A call of several messages is not withheld: the others are still waited for.
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
  std::vector<LinkPtr> conns;
  for (const auto& [number, conn] : links_)
    if (conn->endpoint == endpoint && conn->size > 0 && cannot_have_run(*conn)) conns.push_back(conn);
  for (const auto& conn : conns) {
    for (const auto& m : conn->members) back.push_back(m.id), calls_.erase(m.id);
    drop(conn);
  }
  return back;
}

void Endpoints::close_idle(const EndpointId& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  const auto conns = it->second;
  for (const auto& conn : conns) drop(conn);
}

void Endpoints::sweep() {
  std::vector<LinkPtr> old;
  for (const auto& [id, conns] : idle_)
    for (const auto& conn : conns)
      if (loop_.now() - conn->idle_from > bounds_.idle - kIdleMargin) old.push_back(conn);
  for (const auto& conn : old) drop(conn);
  sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

}  // namespace cedarplank::platform
