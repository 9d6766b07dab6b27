#include "platform/clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <tuple>

namespace cedarplank::platform {
namespace {

// From connecting to a first complete request; clients are promised 3 s.
constexpr Time kFirstRequestTimeout = 2'300'000;
constexpr Time kRequestTimeout = 2'300'000;  // from a later request's first byte to its last
constexpr Time kIdleTimeout = 60'000'000;
// For the client to read a last answer, while what it sends is not read.
constexpr Time kLingerTime = 200'000;
constexpr Time kSweepInterval = 50'000;
// From connecting or a first byte: by then a client has sent its request.
constexpr Time kSilentAfter = 150'000;
// The protocol allows an idle connection to be closed after this time.
constexpr Time kMayCloseIdleAfter = 2'000'000;
constexpr Time kReuseExpectedWithin = 300'000;      // by then a client that reuses its connection has done so
constexpr std::size_t kCrowdedDivisor = 3;          // crowded: above 1/3 of the maximum of connections
constexpr std::size_t kMaxBytesAhead = 128 * 1024;  // bytes read after an open request

}  // namespace

Clients::Clients(loop::Loop& loop, const net::Address& listen, std::size_t max_connections, Host host)
    : loop_(loop), most_(std::max<std::size_t>(max_connections, 1)), host_(std::move(host)) {
  listener_ = std::make_unique<net::Listener>(
      loop_, listen, [this](net::Fd fd) { accepted(std::move(fd)); }, 1024);
  timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

Clients::~Clients() {
  loop_.cancel(timer_);
  for (const auto& [n, c] : all_) c->stream->close();
}

void Clients::accepted(net::Fd fd) {
  counts_.accepted++;
  if (!make_room()) return host_.log("connection refused: connection limit reached");  // closed at once
  auto c = std::make_shared<Client>();
  c->number = next_++, c->since = loop_.now();
  const std::weak_ptr<Client> weak = c;
  c->stream =
      std::make_unique<net::TcpStream>(loop_, std::move(fd),
                                       net::Stream::Handlers{.connected = {},
                                                             .data =
                                                                 [this, weak](std::string_view bytes) {
                                                                   if (const auto l = weak.lock())
                                                                     data(l, bytes);
                                                                 },
                                                             .drained = {},
                                                             .closed =
                                                                 [this, weak](const std::string&) {
                                                                   const auto l = weak.lock();
                                                                   if (!l) return;
                                                                   const bool open = l->open;
                                                                   drop(l);
                                                                   if (open) host_.gone(l->number, Reads::no);
                                                                 },
                                                             .ended =
                                                                 [this, weak] {
                                                                   if (const auto l = weak.lock()) ended(l);
                                                                 }});
  all_[c->number] = c;
}

// Guards against a full table in which each new connection evicts the one accepted just before it, before it
// was read, while hundreds that were used once stay; and against a crowd that evicts the connections that
// submit messages: a relay that is shutting down gets no new connections in their place.
int Clients::standing(const Client& c) const {
  const Time quiet = loop_.now() - c.since;
  if (c.leaving) return -1;  // it has got its last answer
  if (c.requests == 0) return quiet >= kSilentAfter ? 0 : 3;
  return !c.handed_in ? 1 : quiet >= kMayCloseIdleAfter ? 2 : 4;
}

// Closing such a connection would lose a message. A request that stops halfway doesn't count.
bool Clients::asking(const Client& c) const {
  if (c.leaving) return false;
  if (c.reader.state() != http1::Reader::State::waiting) return loop_.now() - c.since < kSilentAfter;
  char byte = 0;
  return recv(c.stream->descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Evicts a connection without an open request: of those with the lowest rank the one that has been silent for
// longest. Each is examined once: guards against a full table in which all clients have just written, where
// repeated searches would never end.
bool Clients::make_room() {
  if (all_.size() < most_) return true;
  std::vector<std::tuple<int, Time, Number>> order;
  for (const auto& [n, c] : all_)
    if (!c->open) order.emplace_back(standing(*c), c->since, n);
  std::sort(order.begin(), order.end());
  for (const auto& [at, since, n] : order) {
    const ClientPtr c = all_.at(n);
    if (!asking(*c)) {
      counts_.evicted++;
      host_.log("evicted: requests=" + std::to_string(c->requests));
      drop(c);
      return true;
    }
    if (at >= 3) break;  // the remaining ones are new or were in use as recently
  }
  return false;
}

void Clients::data(const ClientPtr& c, std::string_view bytes) {
  if (c->leaving) return;
  if (c->open) {
    c->ahead.append(bytes);
    if (c->ahead.size() > kMaxBytesAhead) c->stream->pause_reading(true);
    return;
  }
  read(c, bytes);
}

// It can't be known whether the client has closed its connection, as the platform's clients do to cancel, or
// has only ended its sending. So its request is cancelled, and the client is informed in case it still reads.
void Clients::ended(const ClientPtr& c) {
  if (!c->open) return drop(c);
  c->ahead.clear(), c->sends_no_more = true;
  host_.gone(c->number, Reads::still);
}

void Clients::read(const ClientPtr& c, std::string_view bytes) {
  using State = http1::Reader::State;
  if (c->reader.state() == State::waiting && c->requests > 0) c->since = loop_.now();
  const auto taken = c->reader.take(bytes);
  if (c->reader.state() == State::broken) return turn_away(c, c->reader.status(), c->reader.problem());
  if (c->reader.expects_continue() && !c->continued) {
    c->continued = true;
    c->stream->write(http1::response(100, {}, {}, false));
  }
  if (c->reader.state() != State::complete) return;
  c->ahead.assign(bytes.substr(taken));
  c->open = true, c->requests++, c->continued = false;
  counts_.requests++;
  host_.request(c->number, c->reader.message());
}

void Clients::answer(Number number, int status, const std::vector<http1::Field>& fields,
                     const std::string& text, bool close) {
  const auto it = all_.find(number);
  if (it == all_.end() || !it->second->open) return;
  const ClientPtr c = it->second;
  // While draining, requests that the client has already sent are answered too before its connection ends.
  const bool last = close || c->sends_no_more || (draining_ && c->ahead.empty()) || c->reader.message().close;
  c->stream->write(http1::response(status, fields, text, last));
  c->handed_in = c->handed_in || (status < 300 && c->reader.message().method == "POST");
  c->open = false, c->since = loop_.now();
  if (last && !c->ahead.empty()) return leave(c, kLingerTime);
  if (last) {
    c->leaving = true;
    c->stream->finish(kLingerTime);  // ends as soon as the client closes too
    return;
  }
  c->reader.next();
  if (c->ahead.empty()) return;
  // Handles what arrived meanwhile in a deferred call, so that many pipelined requests don't nest.
  loop_.defer([this, weak = std::weak_ptr(c)] {
    const auto l = weak.lock();
    if (!l || l->open || l->leaving) return;
    std::string ahead;
    ahead.swap(l->ahead);
    l->stream->pause_reading(false);
    read(l, ahead);
  });
}

void Clients::turn_away(const ClientPtr& c, int status, const char* why) {
  counts_.unread++;
  host_.log("request rejected unread: " + std::to_string(status) + " " + why);
  c->stream->write(http1::response(status, {}, std::string(why) + "\n", true));
  leave(c, kLingerTime);
}

// What the client goes on sending is not read: it may be tens of megabytes. `linger` lets it read its answer.
void Clients::leave(const ClientPtr& c, Time linger) {
  c->leaving = true;
  c->stream->pause_reading(true);
  c->ahead.clear();
  loop_.after(linger, [this, weak = std::weak_ptr(c)] {
    if (const auto l = weak.lock()) drop(l);
  });
}

void Clients::drop(const ClientPtr& c) {
  loop_.defer([c] {});  // keeps the object alive: one of its own callbacks may be running now
  c->stream->close();
  all_.erase(c->number);
}

// Closes a connection in two steps (RFC 9112 section 9.6): the relay ends its sending, then reads and
// discards what still arrives for a while. Guards against closing just as bytes arrive, which would reset the
// connection and may destroy the answer sent before. A request that arrives meanwhile is not processed: its
// client sends it again on a new connection.
void Clients::end_idle(const ClientPtr& c) {
  c->leaving = true;
  c->stream->finish(kLingerTime);
}

// A connection on which a request waits to be read stays until that is answered.
void Clients::drain() {
  draining_ = true;
  std::vector<ClientPtr> idle;
  for (const auto& [n, c] : all_)
    if (!c->open && !c->leaving && c->reader.state() == http1::Reader::State::waiting && !asking(*c))
      idle.push_back(c);
  for (const auto& c : idle) end_idle(c);
}

// Used when many connections are open. Guards against clients that send one request per connection and keep
// the connection open: the number they may have is limited, and they can submit nothing more until some end.
// Connections that are reused stay: a relay that is shutting down goes on accepting on them; if each ended
// with its answer, all clients would move to the other relay.
void Clients::end_once() {
  std::vector<ClientPtr> once;
  for (const auto& [n, c] : all_) {
    const bool idle = !c->open && !c->leaving && c->reader.state() == http1::Reader::State::waiting;
    if (idle && c->requests == 1 && loop_.now() - c->since >= kReuseExpectedWithin && !asking(*c))
      once.push_back(c);
  }
  counts_.ended_once += once.size();
  for (const auto& c : once) end_idle(c);
}

void Clients::sweep() {
  const Time now = loop_.now();
  std::vector<ClientPtr> late;
  for (const auto& [n, c] : all_) {
    if (c->open || c->leaving) continue;
    const bool within = c->reader.state() != http1::Reader::State::waiting;
    const Time limit = c->requests == 0 ? kFirstRequestTimeout : within ? kRequestTimeout : kIdleTimeout;
    if (now - c->since > limit && !asking(*c)) late.push_back(c);
  }
  if (!last_ones_ && all_.size() > most_ / kCrowdedDivisor) end_once();
  for (const auto& c : late) {
    counts_.timed_out++;
    host_.log("timed out: requests=" + std::to_string(c->requests));
    if (c->reader.state() == http1::Reader::State::waiting)
      end_idle(c);
    else
      turn_away(c, 408, "the request did not come to its end in time");
  }
  timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

}  // namespace cedarplank::platform
