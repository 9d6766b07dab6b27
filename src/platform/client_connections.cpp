#include "platform/client_connections.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cedarplank::platform {
namespace {

// From connecting to a first complete request; clients are promised 3 s.
constexpr Time kFirstRequestTimeout = 2'300'000;
constexpr Time kRequestTimeout = 2'300'000;  // from a later request's first byte to its last
constexpr Time kIdleTimeout = 60'000'000;
// For the client to read a last answer, while what it sends is not read.
constexpr Time kLingerTime = 200'000;
// Beyond that, for a client that has not read its answers: then it hears of the close by a reset.
constexpr Time kUnreadLingerTime = 300'000;
constexpr Time kSweepInterval = 50'000;
// From connecting or a first byte: by then a client has sent its request.
constexpr Time kSilentAfter = 150'000;
// The protocol allows an idle connection to be closed after this time.
constexpr Time kMayCloseIdleAfter = 2'000'000;
constexpr Time kReuseExpectedWithin = 300'000;      // by then a client that reuses its connection has done so
constexpr std::size_t kCrowdedDivisor = 3;          // crowded: above 1/3 of the maximum of connections
constexpr std::size_t kMaxBytesAhead = 128 * 1024;  // bytes read ahead on one connection
constexpr std::size_t kReadAheadStep = 32 * 1024;   // bytes by which the room for them grows
constexpr std::size_t kMinReadBytes = 512;          // room for less is none
// An unfinished request that is older may have to give way: by then a client has sent its request.
constexpr Time kMayGiveWayAfter = 150'000;
constexpr Time kReadAheadTime = 5'000;  // in one turn of the loop, for requests that were sent ahead
constexpr int kRequestsPerTurn = 16;    // of one connection
constexpr Time kUnreadAnswerTimeout = 2'300'000;  // without the client reading any of its answers

}  // namespace

ClientConnections::ClientConnections(loop::Loop& loop, const net::Address& listen, std::size_t most,
                                     MemoryBudget& budget, Host host)
    : loop_(loop), most_(std::max<std::size_t>(most, 1)), budget_(budget), host_(std::move(host)) {
  listener_ = std::make_unique<net::Listener>(
      loop_, listen, [this](net::Fd fd) { add_connection(std::move(fd)); }, 1024);
  timer_ = loop_.after(kSweepInterval, [this] { close_expired(); });
}

ClientConnections::~ClientConnections() {
  loop_.cancel(timer_), loop_.cancel(ready_timer_);
  for (const auto& [n, c] : connections_) {
    c->stream->close();
    c->room.close();
  }
}

void ClientConnections::add_connection(net::Fd fd) {
  counts_.accepted++;
  if (!ensure_capacity()) return host_.log("connection refused: connection limit reached");  // closed at once
  auto c = std::make_shared<Connection>(budget_);
  c->id = next_id_++, c->since = loop_.now();
  const std::weak_ptr<Connection> weak = c;
  c->stream = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data =
                                [this, weak](std::string_view bytes) {
                                  if (const auto l = weak.lock()) handle_data(l, bytes);
                                },
                            .drained =
                                [this, weak] {
                                  if (const auto l = weak.lock()) handle_drained(l);
                                },
                            .closed =
                                [this, weak](const std::string&) {
                                  const auto l = weak.lock();
                                  if (!l) return;
                                  const bool open = l->request_open;
                                  close_connection(l);
                                  if (open) host_.client_left(l->id, ReadSide::closed);
                                },
                            .end_of_input =
                                [this, weak] {
                                  if (const auto l = weak.lock()) handle_end_of_input(l);
                                }});
  connections_[c->id] = c;
  update_reading(c);
}

// Guards against a full table in which each new connection evicts the one accepted just before it, before it
// was read, while hundreds that were used once stay; and against a crowd that evicts the connections that
// submit messages: a relay that is shutting down gets no new connections in their place.
int ClientConnections::eviction_rank(const Connection& c) const {
  const Time quiet = loop_.now() - c.since;
  if (c.closing) return -1;  // it has got its last answer
  if (c.requests == 0) return quiet >= kSilentAfter ? 0 : 3;
  return !c.has_submitted ? 1 : quiet >= kMayCloseIdleAfter ? 2 : 4;
}

// Closing such a connection would lose a message. A request that stops halfway doesn't count.
bool ClientConnections::has_pending_request(const Connection& c) const {
  if (c.closing) return false;
  if (c.reader.unread() > 0) return true;
  if (c.reader.state() != http1::Parser::State::waiting) return loop_.now() - c.since < kSilentAfter;
  char byte = 0;
  return recv(c.stream->descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Evicts a connection without an open request: of those with the lowest rank the one that has been silent for
// longest. Each is examined once: guards against a full table in which all clients have just written, where
// repeated searches would never end.
bool ClientConnections::ensure_capacity() {
  if (connections_.size() < most_) return true;
  std::vector<std::tuple<int, Time, ConnectionId>> order;
  for (const auto& [n, c] : connections_)
    if (!c->request_open) order.emplace_back(eviction_rank(*c), c->since, n);
  std::sort(order.begin(), order.end());
  for (const auto& [at, since, n] : order) {
    const ConnectionPtr c = connections_.at(n);
    if (!has_pending_request(*c)) {
      counts_.evicted++;
      host_.log("evicted: requests=" + std::to_string(c->requests));
      close_connection(c);
      return true;
    }
    if (at >= 3) break;  // the remaining ones are new or were in use as recently
  }
  return false;
}

// The only way for received bytes to the reader, which keeps them in their order: a socket may be read
// several times before the requests that wait are read on.
void ClientConnections::handle_data(const ConnectionPtr& c, std::string_view bytes) {
  if (c->closing) return;
  const bool begins = !c->request_open && c->reader.state() == http1::Parser::State::waiting;
  if (begins && c->requests > 0) c->since = loop_.now();
  if (begins) c->received = 0;
  c->received += bytes.size(), c->received_at = loop_.now();
  c->reader.receive(bytes);
  if (!c->request_open) handle_progress(c);
  update_reading(c);
}

void ClientConnections::read_ahead(const ConnectionPtr& c) {
  if (c->request_open || c->closing || c->reader.unread() == 0) return;
  if (c->stream->unsent() > 0) return;  // goes on once its client has read the answers that it has
  c->since = c->received_at = loop_.now();
  c->received = c->reader.unread();
  c->reader.read();
  handle_progress(c);
  update_reading(c);
  // The client has ended its sending in the middle of a request.
  if (c->sends_no_more && !c->request_open && !c->closing && c->reader.unread() == 0) close_idle(c);
}

void ClientConnections::handle_progress(const ConnectionPtr& c) {
  using State = http1::Parser::State;
  const auto& parser = c->reader.parser();
  if (parser.state() == State::broken) return reject(c, parser.error_status(), parser.problem());
  if (parser.expects_continue() && !c->continue_sent) {
    c->continue_sent = true;
    write(*c, http1::build_response(100, {}, {}, false));
  }
  if (parser.state() != State::complete) return;
  c->request_open = true, c->requests++, c->continue_sent = false;
  counts_.requests++;
  host_.request(c->id, c->reader.message(), c->sends_no_more ? Input::ended : Input::open);
  c->room.release();  // a message that was accepted has taken its bytes along
  if (c->request_open && c->sends_no_more) host_.client_left(c->id, ReadSide::open);
}

void ClientConnections::count_memory(Connection& c) {
  if (connections_.count(c.id) > 0) c.room.count(c.reader.memory(), c.stream->memory());
}

void ClientConnections::write(Connection& c, const std::string& bytes) {
  c.stream->write(bytes);
  c.answers_unread = c.stream->unsent() > 0;
  count_memory(c);
}

ClientConnections::Unfinished ClientConnections::unfinished() const {
  Unfinished found;
  for (const auto& [n, c] : connections_) {
    found.waiting_for_room += c->waits_for_room;
    if (!is_unfinished(*c)) continue;
    found.requests++;
    found.oldest = std::max(found.oldest, loop_.now() - c->since);
  }
  return found;
}

bool ClientConnections::is_unfinished(const Connection& c) const {
  return !c.request_open && !c.closing && c.reader.state() != http1::Parser::State::waiting;
}

std::size_t ClientConnections::bytes_unread() const {
  std::size_t bytes = 0;
  for (const auto& [n, c] : connections_) bytes += c->reader.unread();
  return bytes;
}

void ClientConnections::handle_drained(const ConnectionPtr& c) {
  if (!std::exchange(c->answers_unread, false)) return;  // all was sent at once
  count_memory(*c);
  if (c->closing) return;
  if (c->sends_no_more && !c->request_open && c->reader.unread() == 0) return close_idle(c);
  update_reading(c);
  schedule_read_ahead(c);
}

void ClientConnections::schedule_read_ahead(const ConnectionPtr& c) {
  if (c->reader.unread() == 0 || std::exchange(c->read_scheduled, true)) return;
  ready_.push_back(c);
  if (std::exchange(ready_scheduled_, true)) return;
  loop_.defer([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) handle_ready();
  });
}

// Guards against hundreds of clients that send ahead and together hold up the others: they take turns, and
// what is left after some time is handled in the next iteration of the loop, after the sockets.
void ClientConnections::handle_ready() {
  const Time until = loop::monotonic_now() + kReadAheadTime;
  bool in_time = true;
  for (int round = 0; round < kRequestsPerTurn && in_time && !ready_.empty(); round++) {
    for (std::size_t left = ready_.size(); left > 0 && in_time; left--) {
      const auto c = ready_.front().lock();
      ready_.pop_front();
      if (!c) continue;
      c->read_scheduled = false;
      read_ahead(c);
      in_time = loop::monotonic_now() < until;
    }
  }
  ready_scheduled_ = !ready_.empty();
  if (ready_scheduled_) ready_timer_ = loop_.after(0, [this] { handle_ready(); });
}

void ClientConnections::update_reading(const ConnectionPtr& c) {
  if (connections_.count(c->id) == 0) return;  // closed meanwhile
  count_memory(*c);
  if (c->closing) return;
  const std::size_t bytes = readable_bytes(*c);
  if (bytes > 0) c->stream->limit_reads(bytes);
  c->stream->pause_reading(bytes == 0);
}

std::size_t ClientConnections::readable_bytes(Connection& c) {
  c.waits_for_room = false;
  if (c.stream->unsent() > 0) return 0;  // what a client sends waits until it has read its answers
  const std::size_t used = c.reader.memory();
  const auto left = [&] { return c.room.bytes() - std::min(c.room.bytes(), used); };
  const bool reads_ahead = c.request_open || c.reader.unread() > 0;
  if (reads_ahead && c.reader.unread() >= kMaxBytesAhead) return 0;
  if (left() >= kMinReadBytes) return left();
  if (reads_ahead) {
    // Reading ahead only saves time, so half of the room is left to unfinished requests. A request that is
    // read on needs as much again.
    return c.room.extend(used + 2 * kReadAheadStep, budget_.plan().shared / 2) ? kReadAheadStep : 0;
  }
  c.waits_for_room = !c.room.extend(c.reader.memory_at_most() + 2 * kMinReadBytes);
  if (c.waits_for_room) return 0;
  c.extended_at = loop_.now();
  return left();
}

// Small requests first; of equal ones the latest, whose clients have waited least and so still wait.
void ClientConnections::serve_waiting() {
  std::vector<std::pair<std::size_t, ConnectionPtr>> waiting;
  for (const auto& [n, c] : connections_)
    if (c->waits_for_room) waiting.emplace_back(c->reader.memory_at_most(), c);
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->id > b.second->id;
  });
  for (const auto& [bytes, c] : waiting) {
    update_reading(c);
    if (c->waits_for_room) return;  // the others need no less
  }
}

// A client that is quick is never among them: its request is not old enough.
void ClientConnections::make_room() {
  serve_waiting();
  const bool wanted = std::any_of(connections_.begin(), connections_.end(),
                                  [](const auto& entry) { return entry.second->waits_for_room; });
  if (!wanted) return;
  std::vector<std::pair<double, ConnectionPtr>> slow;
  for (const auto& [n, c] : connections_) {
    if (!is_unfinished(*c) || !c->room.extended() || loop_.now() - c->extended_at < kMayGiveWayAfter)
      continue;
    const bool stopped = loop_.now() - c->received_at >= kMayGiveWayAfter;
    const double rate = static_cast<double>(c->received) / static_cast<double>(loop_.now() - c->since);
    slow.emplace_back(stopped ? 0 : rate, c);
  }
  std::sort(slow.begin(), slow.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  // Half of them at a time, so that those which make progress may come to their end.
  slow.resize((slow.size() + 1) / 2);
  for (const auto& [rate, c] : slow) {
    counts_.no_room++;
    host_.log("gives way: received=" + std::to_string(c->received) + " in_ms=" +
              std::to_string((loop_.now() - c->since) / 1000) + " room=" + std::to_string(c->room.bytes()));
    reject(c, 503, "no memory is left for so slow a request");
  }
  serve_waiting();
}

void ClientConnections::close_unread() {
  const Time now = loop_.now();
  std::vector<ConnectionPtr> unread;
  for (const auto& [n, c] : connections_) {
    if (c->stream->unsent() == 0 || c->stream->bytes_flushed() != c->sent)
      c->sent = c->stream->bytes_flushed(), c->sent_at = now;
    if (!c->closing && now - c->sent_at > kUnreadAnswerTimeout) unread.push_back(c);
  }
  for (const auto& c : unread) {
    counts_.unread_answers++;
    host_.log("reads no answers: requests=" + std::to_string(c->requests) + " unsent=" +
              std::to_string(c->stream->unsent()) + " for_ms=" + std::to_string((now - c->sent_at) / 1000));
    const bool open = c->request_open;
    close_connection(c, true);  // otherwise the kernel would hold the answers, and the client not hear of it
    if (open) host_.client_left(c->id, ReadSide::closed);
  }
}

// It can't be known whether the client has closed its connection, as the platform's clients do to cancel, or
// has only ended its sending. So its request is cancelled, and the client is informed in case it still reads.
// The requests that it has sent ahead are answered too, one after the other.
void ClientConnections::handle_end_of_input(const ConnectionPtr& c) {
  c->sends_no_more = true;
  if (c->request_open) return host_.client_left(c->id, ReadSide::open);
  if (c->reader.unread() > 0 && !c->closing) return;
  if (c->stream->unsent() == 0 || c->closing) return close_connection(c);
  close_idle(c);  // once the answers are sent
}

void ClientConnections::answer(ConnectionId number, int status, const std::vector<http1::Field>& fields,
                               const std::string& text) {
  const auto it = connections_.find(number);
  if (it == connections_.end() || !it->second->request_open) return;
  const ConnectionPtr c = it->second;
  const bool unread = c->reader.unread() > 0;
  // Requests that the client has already sent are answered too before its connection ends.
  const bool last = ((draining_ || c->sends_no_more) && !unread) || c->reader.message().close;
  write(*c, http1::build_response(status, fields, text, last));
  c->has_submitted = c->has_submitted || (status < 300 && c->reader.message().method == "POST");
  c->request_open = false, c->since = loop_.now();
  if (last && unread) return close_after_linger(c, kLingerTime);
  if (last) {
    close_idle(c);  // ends as soon as the client closes too
    return;
  }
  c->reader.next();
  c->room.release();
  update_reading(c);
  schedule_read_ahead(c);
}

void ClientConnections::reject(const ConnectionPtr& c, int status, const char* why) {
  counts_.unread++;
  host_.log("request rejected unread: " + std::to_string(status) + " " + why);
  write(*c, http1::build_response(status, {}, std::string(why) + "\n", true));
  close_after_linger(c, kLingerTime);
}

// What the client goes on sending is not read: it may be tens of megabytes. `linger` lets it read its answer.
void ClientConnections::close_after_linger(const ConnectionPtr& c, Time linger) {
  c->closing = true;
  c->stream->pause_reading(true);
  c->reader.abandon();
  c->room.release();
  c->waits_for_room = false;
  count_memory(*c);
  loop_.after(linger, [this, weak = std::weak_ptr(c)] {
    const auto l = weak.lock();
    if (!l) return;
    if (!l->stream->has_unacknowledged_data()) return close_connection(l);
    loop_.after(kUnreadLingerTime, [this, weak] {
      if (const auto unread = weak.lock())
        close_connection(unread, unread->stream->has_unacknowledged_data());
    });
  });
}

void ClientConnections::close_connection(const ConnectionPtr& c, bool abort) {
  loop_.defer([c] {});  // keeps the object alive: one of its own callbacks may be running now
  c->stream->close(abort);
  connections_.erase(c->id);
  c->room.close();
}

// Closes a connection in two steps (RFC 9112 section 9.6): the relay ends its sending, then reads and
// discards what still arrives for a while. Guards against closing just as bytes arrive, which would reset the
// connection and may destroy the answer sent before. A request that arrives meanwhile is not processed: its
// client sends it again on a new connection.
void ClientConnections::close_idle(const ConnectionPtr& c) {
  c->closing = true;
  c->reader.abandon();
  c->room.release();
  c->stream->finish(kLingerTime);
}

// A connection on which a request waits to be read stays until that is answered.
void ClientConnections::drain() {
  draining_ = true;
  std::vector<ConnectionPtr> idle;
  for (const auto& [n, c] : connections_)
    if (!c->request_open && !c->closing && c->reader.state() == http1::Parser::State::waiting &&
        !has_pending_request(*c))
      idle.push_back(c);
  for (const auto& c : idle) close_idle(c);
}

// Used when many connections are open. Guards against clients that send one request per connection and keep
// the connection open: the number they may have is limited, and they can submit nothing more until some end.
// Connections that are reused stay: a relay that is shutting down goes on accepting on them; if each ended
// with its answer, all clients would move to the other relay.
void ClientConnections::close_single_use() {
  std::vector<ConnectionPtr> once;
  for (const auto& [n, c] : connections_) {
    const bool idle = !c->request_open && !c->closing && c->reader.state() == http1::Parser::State::waiting;
    if (idle && c->requests == 1 && loop_.now() - c->since >= kReuseExpectedWithin &&
        !has_pending_request(*c))
      once.push_back(c);
  }
  counts_.ended_once += once.size();
  for (const auto& c : once) close_idle(c);
}

void ClientConnections::close_expired() {
  const Time now = loop_.now();
  std::vector<ConnectionPtr> late;
  for (const auto& [n, c] : connections_) {
    if (c->request_open || c->closing || c->answers_unread) continue;
    const bool within = c->reader.state() != http1::Parser::State::waiting;
    const Time limit = c->requests == 0 ? kFirstRequestTimeout : within ? kRequestTimeout : kIdleTimeout;
    if (now - c->since > limit && !has_pending_request(*c)) late.push_back(c);
  }
  if (!keep_single_use_ && connections_.size() > most_ / kCrowdedDivisor) close_single_use();
  for (const auto& c : late) {
    counts_.timed_out++;
    host_.log("timed out: requests=" + std::to_string(c->requests));
    if (c->reader.state() == http1::Parser::State::waiting)
      close_idle(c);
    else if (c->waits_for_room)
      counts_.no_room++, reject(c, 503, "no memory is left for so large a request");
    else
      reject(c, 408, "the request did not come to its end in time");
  }
  close_unread();
  make_room();
  timer_ = loop_.after(kSweepInterval, [this] { close_expired(); });
}

}  // namespace cedarplank::platform
