#include "platform/clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <tuple>

namespace cedarplank::platform {
namespace {

constexpr Time kFirstWithin = 2'300'000;    // from connecting to a first whole request: 3 s are promised
constexpr Time kRequestWithin = 2'300'000;  // from a later request's first byte to its last
constexpr Time kIdleLong = 60'000'000;
constexpr Time kLeaveWithin =
    200'000;  // for the client to read a last answer, what it sends being left unread
constexpr Time kSweepEvery = 50'000;
constexpr Time kSilent = 150'000;               // from connecting or a first byte: by then a client has asked
constexpr Time kIdle = 2'000'000;               // after it a connection may be closed, by the protocol
constexpr Time kOnce = 300'000;                 // by then a client that uses its connection again has done so
constexpr std::size_t kCrowded = 3;             // a third of the connections that there may be
constexpr std::size_t kMostAhead = 128 * 1024;  // bytes read behind an open request

}  // namespace

Clients::Clients(loop::Loop& loop, const net::Address& listen, std::size_t most, Host host)
    : loop_(loop), most_(std::max<std::size_t>(most, 1)), host_(std::move(host)) {
  listener_ = std::make_unique<net::Listener>(
      loop_, listen, [this](net::Fd fd) { accepted(std::move(fd)); }, 1024);
  timer_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

Clients::~Clients() {
  loop_.cancel(timer_);
  for (const auto& [n, c] : all_) c->stream->close();
}

void Clients::accepted(net::Fd fd) {
  counts_.accepted++;
  if (!make_room()) return host_.log("not let in: no place is left");  // closed at once
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

// How readily a connection gives way. Guards against a full table in which each new connection pushed out the
// one accepted just before it, unread, while hundreds that had asked once stayed; and against a crowd that
// pushes out those that hand in messages: told to end, a relay gets no new ones in their place.
int Clients::standing(const Client& c) const {
  const Time quiet = loop_.now() - c.since;
  if (c.leaving) return -1;  // it has its last answer
  if (c.requests == 0) return quiet >= kSilent ? 0 : 3;
  return !c.handed_in ? 1 : quiet >= kIdle ? 2 : 4;
}

// A request has come in part, or waits to be read: closed on it, a message would be lost. One that stops
// halfway is not waited for.
bool Clients::asking(const Client& c) const {
  if (c.leaving) return false;
  if (c.reader.state() != http1::Reader::State::waiting) return loop_.now() - c.since < kSilent;
  char byte = 0;
  return recv(c.stream->descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// One without an open request gives way, of those that stand lowest the longest silent one. Each is looked at
// once: guards against a full table in which all have just written, where looking again would never end.
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
    if (at >= 3) break;  // those behind it have been of use as lately
  }
  return false;
}

void Clients::data(const ClientPtr& c, std::string_view bytes) {
  if (c->leaving) return;
  if (c->open) {
    c->ahead.append(bytes);
    if (c->ahead.size() > kMostAhead) c->stream->pause_reading(true);
    return;
  }
  read(c, bytes);
}

// Whether it has closed, as the platform's clients do to give up, or only ends its sending can't be told. So
// nothing is done for it any more, and it gets to know that, should it still read.
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
  // Ending, what a client has sent ahead is answered too before its connection ends.
  const bool last = close || c->sends_no_more || (draining_ && c->ahead.empty()) || c->reader.message().close;
  c->stream->write(http1::response(status, fields, text, last));
  c->handed_in = c->handed_in || (status < 300 && c->reader.message().method == "POST");
  c->open = false, c->since = loop_.now();
  if (last && !c->ahead.empty()) return leave(c, kLeaveWithin);
  if (last) {
    c->leaving = true;
    c->stream->finish(kLeaveWithin);  // ends as soon as the client closes too
    return;
  }
  c->reader.next();
  if (c->ahead.empty()) return;
  // What came meanwhile: in a call of its own, so that many at once on one connection don't nest.
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
  host_.log("turned away unread: " + std::to_string(status) + " " + why);
  c->stream->write(http1::response(status, {}, std::string(why) + "\n", true));
  leave(c, kLeaveWithin);
}

// What a client goes on sending is not read: it may be tens of megabytes. It gets the time to read its
// answer.
void Clients::leave(const ClientPtr& c, Time linger) {
  c->leaving = true;
  c->stream->pause_reading(true);
  c->ahead.clear();
  loop_.after(linger, [this, weak = std::weak_ptr(c)] {
    if (const auto l = weak.lock()) drop(l);
  });
}

void Clients::drop(const ClientPtr& c) {
  loop_.defer([c] {});  // it may be what tells us that is running now
  c->stream->close();
  all_.erase(c->number);
}

// One that asks for nothing is closed in two steps (RFC 9112 section 9.6): we send nothing more, and what
// still comes for a while is read and let go. Guards against a close over bytes that arrive just then, which
// resets the connection and may take the answer before it along. A request that crosses it is not done: its
// client sends it again on a new one.
void Clients::end_idle(const ClientPtr& c) {
  c->leaving = true;
  c->stream->finish(kLeaveWithin);
}

// A request that waits to be read is answered, and is the last one.
void Clients::drain() {
  draining_ = true;
  std::vector<ClientPtr> idle;
  for (const auto& [n, c] : all_)
    if (!c->open && !c->leaving && c->reader.state() == http1::Reader::State::waiting && !asking(*c))
      idle.push_back(c);
  for (const auto& c : idle) end_idle(c);
}

// Crowded, connections that were used once give way. Guards against clients that ask once a connection and
// hold it: they may have so many at once, and can hand in nothing more until some end. Those used again stay:
// a relay told to end goes on taking on them, where ended with each answer all clients went to the other one.
void Clients::end_once() {
  std::vector<ClientPtr> once;
  for (const auto& [n, c] : all_) {
    const bool idle = !c->open && !c->leaving && c->reader.state() == http1::Reader::State::waiting;
    if (idle && c->requests == 1 && loop_.now() - c->since >= kOnce && !asking(*c)) once.push_back(c);
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
    const Time most = c->requests == 0 ? kFirstWithin : within ? kRequestWithin : kIdleLong;
    if (now - c->since > most && !asking(*c)) late.push_back(c);
  }
  if (!last_ones_ && all_.size() > most_ / kCrowded) end_once();
  for (const auto& c : late) {
    counts_.timed_out++;
    host_.log("timed out: requests=" + std::to_string(c->requests));
    if (c->reader.state() == http1::Reader::State::waiting)
      end_idle(c);
    else
      turn_away(c, 408, "the request did not come to its end in time");
  }
  timer_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

}  // namespace cedarplank::platform
