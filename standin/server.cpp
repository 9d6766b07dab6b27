#include "standin/server.hpp"

#include <algorithm>
#include <random>

namespace cedarplank::standin {

const std::map<std::string, Fault>& fault_names() {
  static const std::map<std::string, Fault> names = {{"silent", Fault::silent},
                                                     {"hang_reset", Fault::hang_reset},
                                                     {"shut", Fault::shut},
                                                     {"refuse", Fault::refuse},
                                                     {"down", Fault::down},
                                                     {"errors", Fault::errors},
                                                     {"slow", Fault::slow},
                                                     {"pause", Fault::pause},
                                                     {"drop_after_take", Fault::drop_after_take},
                                                     {"answer_lost", Fault::answer_lost},
                                                     {"goaway", Fault::goaway},
                                                     {"refused_stream", Fault::refused_stream},
                                                     {"garbage", Fault::garbage},
                                                     {"dead_idle", Fault::dead_idle}};
  return names;
}

bool is_outage(Fault fault, double share) {
  switch (fault) {
    case Fault::silent:
    case Fault::hang_reset:
    case Fault::shut:
    case Fault::refuse:
    case Fault::down:
    case Fault::garbage:
      return true;
    case Fault::errors:
      return share > 0.5;
    default:
      return false;
  }
}

Destination::Destination(loop::Loop& loop, const DestinationSettings& settings, record::Sink frames,
                         std::function<void(const Effect&)> effects, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      frames_(std::move(frames)),
      effects_(std::move(effects)),
      seed_(seed) {
  shared_ = std::make_unique<Place>(settings.place, seed);
  for (const auto& e : settings.endpoints) add(e);
}

Endpoint& Destination::add(const EndpointSettings& settings) {
  endpoints_.push_back(std::make_unique<Endpoint>(loop_, settings, *this, frames_, ++seed_ * 7919));
  return *endpoints_.back();
}

Place& Destination::place_of(const std::string& endpoint) {
  if (!settings_.routes_apart) return *shared_;
  auto& place = apart_[endpoint];
  if (!place) place = std::make_unique<Place>(settings_.place, ++seed_);
  return *place;
}

std::string Destination::next_answer(const std::string& message) {
  if (settings_.answers.empty()) return {};
  return settings_.answers[std::min(calls_[message]++, settings_.answers.size() - 1)];
}

void Destination::take_effect(Time now, const std::string& endpoint, const std::string& message,
                              const std::string& key) {
  if (!key.empty() && settings_.key_window > 0) {
    const auto [it, fresh] = keys_.try_emplace(key, now);
    if (!fresh && now < it->second + settings_.key_window) return;  // a repeat: dropped
    it->second = now;
  }
  effects_({now, endpoint, settings_.name, message, key});
}

Endpoint::Endpoint(loop::Loop& loop, const EndpointSettings& settings, Destination& destination,
                   record::Sink sink, std::uint64_t seed)
    : loop_(loop), settings_(settings), destination_(destination), sink_(std::move(sink)), random_(seed) {
  address_ = settings.address;
  listen();
}

Endpoint::~Endpoint() { *alive_ = false; }

void Endpoint::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, net::Address::parse(address_),
                                              [this](net::Fd fd) { accept(std::move(fd)); });
  address_ = listener_->address().text();
}

const FaultSettings* Endpoint::fault(Fault f) const {
  const auto it = faults_.find(f);
  return it == faults_.end() ? nullptr : &it->second;
}

bool Endpoint::strikes(Fault f) {
  const auto* settings = fault(f);
  return settings != nullptr &&
         (settings->share >= 1 || std::uniform_real_distribution<double>()(random_) < settings->share);
}

void Endpoint::begin(const FaultSettings& f) {
  faults_[f.fault] = f;
  Place& place = destination_.place_of(settings_.id);
  if (is_outage(f.fault, f.share)) place.outage_begins(loop_.now());
  if (f.fault == Fault::slow) place.set_slowness(f.times);
  if (f.fault == Fault::down) listener_.reset();
  if (f.fault == Fault::down || f.fault == Fault::refuse || f.fault == Fault::garbage) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, p] : peers_) ids.push_back(id);
    for (const auto id : ids) drop(id, true);
  }
}

void Endpoint::end(Fault f) {
  if (faults_.erase(f) == 0) return;
  Place& place = destination_.place_of(settings_.id);
  const bool still = std::any_of(faults_.begin(), faults_.end(),
                                 [](const auto& x) { return is_outage(x.first, x.second.share); });
  if (!still && is_outage(f, 1)) place.outage_ends(loop_.now());
  if (f == Fault::slow) place.set_slowness(1);
  if (f == Fault::down && !stopped_) listen();
  if (f == Fault::pause) {
    const auto held = std::move(held_);
    held_.clear();
    for (const auto& [id, bytes] : held) receive(id, bytes);
  }
}

void Endpoint::stop() {
  stopped_ = true;
  listener_.reset();
  for (auto& [id, p] : peers_) {
    p->h2.goaway();
    flush(*p);
  }
}

void Endpoint::accept(net::Fd fd) {
  if (fault(Fault::refuse) || destination_.place_of(settings_.id).fallen(loop_.now()) ||
      (settings_.connections_max > 0 &&
       peers_.size() >= static_cast<std::size_t>(settings_.connections_max))) {
    const linger reset{1, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    record::Record r;
    r.at = loop_.now(), r.side = record::Record::Side::endpoint, r.place = settings_.id,
    r.what = "TURNED_AWAY";
    sink_(std::move(r));
    return;  // fd closes here
  }
  http2::LocalSettings local;
  local.max_concurrent_streams = static_cast<std::uint32_t>(settings_.streams_max);
  const std::uint64_t id = next_peer_++;
  auto owned = std::make_unique<Peer>(
      local, record::Tap(record::Record::Side::endpoint, settings_.id, id, false, sink_));
  Peer& p = *owned;
  p.id = id, p.last_used = loop_.now();
  peers_[id] = std::move(owned);
  p.tap.note(loop_.now(), "OPEN");
  p.stream = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data = [this, id](std::string_view b) { receive(id, b); },
                            .drained = {},
                            .closed = [this, id](const std::string&) { drop(id, false); }});
  if (fault(Fault::garbage)) {
    p.stream->write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    p.stream->finish(100'000);
    return;
  }
  flush(p);
}

void Endpoint::flush(Peer& p) {
  if (p.dead || !p.h2.has_output() || fault(Fault::pause)) return;
  const std::string bytes = p.h2.take_output();
  p.tap.pass(loop_.now(), true, bytes);
  p.stream->write(bytes);
}

void Endpoint::receive(std::uint64_t id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  Peer& p = *it->second;
  if (fault(Fault::pause)) {
    held_.emplace_back(id, std::string(bytes));
    return;
  }
  if (const auto* idle = fault(Fault::dead_idle); idle != nullptr && loop_.now() - p.last_used > idle->after)
    p.dead = true;
  p.last_used = loop_.now();
  p.tap.pass(loop_.now(), false, bytes);
  if (p.dead || fault(Fault::garbage)) return;
  std::vector<http2::Event> events;
  p.h2.receive(loop_.now(), bytes, events);
  for (auto& e : events) {
    if (e.stream > p.last_taken) continue;  // came in one read with the call that brought the GOAWAY
    if (e.type == http2::Event::Type::headers) {
      p.coming[e.stream] = {std::move(e.headers), ""};
      if (!e.end_stream) continue;
    } else if (e.type == http2::Event::Type::data) {
      const auto at = p.coming.find(e.stream);
      if (at == p.coming.end()) continue;
      at->second.second += e.data;
      if (!e.end_stream) continue;
    } else {
      if (e.type == http2::Event::Type::reset) p.coming.erase(e.stream);
      continue;
    }
    const auto at = p.coming.find(e.stream);
    if (at == p.coming.end()) continue;
    const auto whole = std::move(at->second);
    p.coming.erase(at);
    request(p, e.stream, whole.first, whole.second);
    if (peers_.count(id) == 0) return;  // a fault ended the connection
  }
  flush(p);
  if (p.h2.failed()) drop(id, true);
}

void Endpoint::request(Peer& p, http2::StreamId stream, const http2::Headers& headers,
                       const std::string& body) {
  const Time now = loop_.now();
  const std::string message = record::message_in(body), key(http2::find_header(headers, "idempotency-key"));
  if (http2::find_header(headers, ":method") != "POST") return respond(p.id, stream, 405, 0);
  if (!http2::has_header(headers, "ttl")) return respond(p.id, stream, 400, 0);
  if (answer_by_script(p, stream, message, key)) return;
  if (strikes(Fault::silent)) return;
  if (const auto* hang = fault(Fault::hang_reset)) {
    loop_.after(hang->after, [this, alive = alive_, id = p.id] {
      if (*alive) drop(id, true);
    });
    return;
  }
  if (const auto* shut = fault(Fault::shut)) return respond(p.id, stream, 503, shut->wait);
  if (strikes(Fault::errors)) return respond(p.id, stream, 500, 0);
  if (strikes(Fault::refused_stream)) return p.h2.reset(stream, http2::ErrorCode::refused_stream);
  if (const auto* g = fault(Fault::goaway); g != nullptr && p.h2.streams() > 1 && strikes(Fault::goaway)) {
    // Everything from this stream on is not taken; what came before it is finished.
    p.last_taken = stream - 1;
    p.h2.goaway_after(p.last_taken, http2::ErrorCode::no_error);
    return;
  }
  Place& place = destination_.place_of(settings_.id);
  const auto arrival = place.arrive(now);
  switch (arrival.verdict) {
    case Verdict::fallen:
      return;  // down: no answer
    case Verdict::limited:
    case Verdict::queue_full:
      return respond(p.id, stream, 429, place.settings().tells_wait);
    case Verdict::accepted:
      break;
  }
  const bool drop_after = strikes(Fault::drop_after_take), lost = strikes(Fault::answer_lost);
  loop_.after(std::max<Time>(0, arrival.done_at - now),
              [this, alive = alive_, id = p.id, stream, message, key, drop_after, lost] {
                if (!*alive) return;
                // What was taken takes effect, whether or not its caller still waits.
                destination_.take_effect(loop_.now(), settings_.id, message, key);
                if (drop_after) return drop(id, true);
                if (!lost) respond(id, stream, 201, 0);
              });
}

bool Endpoint::answer_by_script(Peer& p, http2::StreamId stream, const std::string& message,
                                const std::string& key) {
  const std::string word = destination_.next_answer(message);
  if (word.empty()) return false;
  if (word == "201" || word == "drop") destination_.take_effect(loop_.now(), settings_.id, message, key);
  if (word == "drop")
    drop(p.id, true);
  else if (word == "refuse")
    p.h2.reset(stream, http2::ErrorCode::refused_stream);
  else if (word != "silent")
    respond(p.id, stream, std::stoi(word), 0);
  return true;
}

void Endpoint::respond(std::uint64_t peer, http2::StreamId stream, int status, Time wait) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  http2::Headers headers = {{":status", std::to_string(status)}};
  if (status == 201)
    headers.push_back({"location", "/message/" + settings_.id + "-" + std::to_string(stream)});
  if (wait > 0) headers.push_back({"retry-after", std::to_string((wait + 999'999) / 1'000'000)});
  it->second->h2.respond(stream, headers, "");
  flush(*it->second);
}

void Endpoint::drop(std::uint64_t id, bool abort) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  std::shared_ptr<Peer> p(std::move(it->second));
  peers_.erase(it);
  p->stream->close(abort);
  p->tap.note(loop_.now(), "CLOSE");
  loop_.defer([p] {});
}

}  // namespace cedarplank::standin
