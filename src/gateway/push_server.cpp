#include "gateway/push_server.hpp"

#include <algorithm>
#include <limits>

namespace cedarplank::gateway {
namespace {

// Bytes of answers that wait to be sent to one client, at least and at most.
constexpr std::size_t kMinUnsentAnswerBytes = 16 * 1024, kMaxUnsentAnswerBytes = 1 << 20;
// Of a request besides its texts: the stream and the places in maps.
constexpr std::size_t kStreamBytes = 512;
// How long the output of a failed connection, its GOAWAY included, may take to be sent. In us.
constexpr Time kCloseLinger = 2'000'000;

const char* title_of(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 422:
      return "Unprocessable Content";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "";
  }
}

int status_of(relay::Rejection::Reason why) {
  switch (why) {
    case relay::Rejection::Reason::unknown_destination:
    case relay::Rejection::Reason::unknown_class:
      return 404;
    case relay::Rejection::Reason::too_large:
      return 413;
    case relay::Rejection::Reason::malformed:
      break;
  }
  return 400;
}

}  // namespace

PushServer::PushServer(loop::Loop& loop, const config::RelaySettings& settings, Host host)
    : loop_(loop),
      settings_(settings),
      host_(std::move(host)),
      request_validator_(settings),
      unsent_answers_max_(std::clamp(
          static_cast<std::size_t>(settings.body_total_max / std::max(settings.client_connections_max, 1)),
          kMinUnsentAnswerBytes, kMaxUnsentAnswerBytes)),
      client_share_(static_cast<std::size_t>(settings.body_total_max / 2 /
                                             std::max(settings.client_connections_max, 1))) {
  listener_ = std::make_unique<net::Listener>(loop, net::Address::parse(settings.listen),
                                              [this](net::Fd fd) { accept(std::move(fd)); });
  stall_check_timer_ = loop_.after(settings_.stalled_after / 4 + 1, [this] { check_stalled(); });
}

PushServer::~PushServer() {
  *alive_ = false;
  loop_.cancel(stall_check_timer_);
}

void PushServer::accept(net::Fd fd) {
  // At the limit, further connections wait in the listener's backlog until one closes: see close().
  if (clients_.size() + 1 >= static_cast<std::size_t>(settings_.client_connections_max))
    listener_->pause(true);
  http2::LocalSettings local;
  local.max_concurrent_streams = static_cast<std::uint32_t>(settings_.client_streams_max);
  auto client = std::make_unique<Client>(local);
  const ClientId id = client->id = next_client_++;
  client->progress_at = loop_.now();
  Client& c = *client;
  clients_[id] = std::move(client);
  c.stream = std::make_unique<net::TcpStream>(
      loop_, std::move(fd),
      net::Stream::Handlers{.connected = {},
                            .data = [this, id](std::string_view bytes) { receive(id, bytes); },
                            .drained =
                                [this, id] {
                                  const auto it = clients_.find(id);
                                  if (it == clients_.end() || !it->second->paused) return;
                                  it->second->paused = false;
                                  it->second->stream->pause_reading(false);
                                },
                            .closed = [this, id](const std::string& why) { close(id, why, false); }});
  flush(c);
}

void PushServer::flush(Client& c) {
  if (c.closing || !c.h2.has_output()) return;
  c.stream->write(c.h2.take_output());
  // Reads no more requests from a client that doesn't read its answers, so that the answers held for it stay
  // bounded.
  if (!c.paused && c.stream->bytes_written() - c.stream->bytes_flushed() > unsent_answers_max_) {
    c.paused = true;
    c.stream->pause_reading(true);
  }
}

void PushServer::receive(ClientId id, std::string_view bytes) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& c = *it->second;
  std::vector<http2::Event> events;
  c.h2.receive(loop_.now(), bytes, events);
  for (auto& e : events) on_event(c, e);
  c.h2.limit_streams(static_cast<std::uint32_t>(host_.client_streams_max()));
  flush(c);
  if (c.h2.failed() && !c.closing) {
    c.closing = true;
    c.stream->finish(kCloseLinger);
  }
}

void PushServer::on_event(Client& c, http2::Event& e) {
  using Type = http2::Event::Type;
  switch (e.type) {
    case Type::headers:
      on_request(c, e);
      break;
    case Type::data: {
      const auto it = c.incoming.find(e.stream);
      if (it == c.incoming.end()) break;  // answered already: the rest of the body is ignored
      auto& body = it->second.message.body;
      if (const auto rejection = request_validator_.check_body(body.size() + e.data.size())) {
        drop_request(c, e.stream);
        answer_problem(c, e.stream, {413, title_of(413), rejection->detail});
        break;
      }
      if (!has_room(c, it->second, e.data.size())) {
        refuse_for_room(c, e.stream);
        break;
      }
      body += e.data;
      count(c, it->second, memory_of(it->second));
      if (e.end_stream) submit_request(c, e.stream);
      break;
    }
    case Type::trailers:
      submit_request(c, e.stream);
      break;
    case Type::reset: {
      drop_request(c, e.stream);
      const auto it = c.unanswered.find(e.stream);
      if (it == c.unanswered.end()) break;
      const MessageId id = it->second;
      c.unanswered.erase(it);
      waiting_requests_.erase(id);
      host_.withdraw(id);
      break;
    }
    case Type::failed: {
      if (e.local) host_.log("client connection closed after a connection error: " + e.data);
      const auto unanswered = std::move(c.unanswered);
      c.unanswered.clear();
      for (const auto& [stream, id] : unanswered) on_client_lost(id);
      while (!c.incoming.empty()) drop_request(c, c.incoming.begin()->first);
      break;
    }
    case Type::ping_ack:
      if (stopping_) c.h2.goaway();
      break;
    default:
      break;
  }
}

// Everything that can be wrong with a request's headers is reported before any of its body is kept.
void PushServer::on_request(Client& c, http2::Event& e) {
  const auto bad = [&](int status, const std::string& detail, http2::Headers extra = {}) {
    answer_problem(c, e.stream, {status, title_of(status), detail}, std::move(extra));
  };
  if (host_.message_registry != nullptr && on_message_resource(c, e)) return;
  const auto target = parse_target(http2::find_header(e.headers, ":path"));
  if (!target) return bad(404, "the path is no /push/<destination>/<class>");
  if (http2::find_header(e.headers, ":method") != "POST")
    return bad(405, "only POST pushes a message", {{"allow", "POST"}});
  Request r;
  r.received_at = loop_.now();
  const auto destination = host_.find_destination(target->destination);
  if (!destination) return bad(404, "no destination is named '" + target->destination + "'");
  r.message.destination = *destination;
  r.message.client_connection = c.id, r.message.client_stream = e.stream;
  relay::Request request;
  request.destination = target->destination, request.message_class = target->message_class;
  const auto field = [&](const char* name) { return std::string(http2::find_header(e.headers, name)); };
  request.ttl = parse_ttl(field("ttl"));
  request.idempotency_key = field("idempotency-key"), request.urgency = field("urgency");
  request.topic = field("topic"), request.has_topic = http2::has_header(e.headers, "topic");
  request.content_type = field("content-type"), request.content_encoding = field("content-encoding");
  request.recipient = field("recipient"), request.sender = field("sender");
  if (!settings_.tenant_field.empty()) request.tenant = field(settings_.tenant_field.c_str());
  r.destination = target->destination, r.message_class = target->message_class, r.tenant = request.tenant;
  r.async = host_.message_registry != nullptr && has_preference(field("prefer"), "respond-async");
  auto rejection = request_validator_.check(request, r.message);
  const auto length = http2::find_header(e.headers, "content-length");
  if (!rejection && !length.empty())
    rejection = request_validator_.check_body(length.size() > 12 ? std::numeric_limits<std::size_t>::max()
                                                                 : std::stoull(std::string(length)));
  if (rejection) return bad(status_of(rejection->reason), rejection->detail);
  if (!e.end_stream && !has_room(c, r, 0)) return refuse_for_room(c, e.stream);
  Request& incoming = c.incoming[e.stream] = std::move(r);
  count(c, incoming, memory_of(incoming));
  if (e.end_stream) submit_request(c, e.stream);
}

std::size_t PushServer::memory_of(const Request& r) {
  std::size_t bytes = sizeof(Request) + kStreamBytes;
  for (const auto* text : {&r.message.body, &r.message.idempotency_key, &r.message.topic,
                           &r.message.content_type, &r.message.content_encoding, &r.message.recipient,
                           &r.message.sender, &r.destination, &r.message_class, &r.tenant})
    bytes += text->capacity();
  return bytes;
}

bool PushServer::has_room(const Client& c, const Request& r, std::size_t more) const {
  const std::size_t after = c.incoming_bytes - r.counted + memory_of(r) + more;
  if (after <= client_share_) return true;
  const std::size_t others = incoming_beyond_shares_ - beyond_share(c.incoming_bytes);
  return others + beyond_share(after) <= static_cast<std::size_t>(settings_.body_total_max) / 2;
}

void PushServer::count(Client& c, Request& r, std::size_t bytes) {
  incoming_beyond_shares_ -= beyond_share(c.incoming_bytes);
  c.incoming_bytes += bytes - r.counted;
  r.counted = bytes;
  incoming_beyond_shares_ += beyond_share(c.incoming_bytes);
}

void PushServer::refuse_for_room(Client& c, http2::StreamId stream) {
  drop_request(c, stream);
  answer_problem(c, stream, {503, title_of(503), "too much is coming in at once; not taken"});
}

void PushServer::submit_request(Client& c, http2::StreamId stream) {
  const auto it = c.incoming.find(stream);
  if (it == c.incoming.end()) return;
  count(c, it->second, 0);
  Request r = std::move(it->second);
  c.incoming.erase(it);
  if (host_.message_registry != nullptr && !r.message.idempotency_key.empty() && answer_repeat(c, stream, r))
    return;
  if (stopping_) return answer_problem(c, stream, {503, title_of(503), "the relay is stopping; not taken"});
  MessageId id = 0;
  const auto entry = host_.accept(std::move(r.message), [&](MessageId assigned) {
    id = assigned;
    c.unanswered[stream] = id;
    waiting_requests_[id] = {c.id, stream};
  });
  if (entry.status == relay::Core::AcceptStatus::accepted) {
    if (r.async) answer_when_durable(id, c.id, stream);
    return;
  }
  c.unanswered.erase(stream);
  waiting_requests_.erase(id);
  if (entry.status == relay::Core::AcceptStatus::unsupported)
    return answer_problem(c, stream, {400, title_of(400), entry.reason});
  // Too little capacity or time is a passing state, so the client may try again. A relay that is stopping
  // gives no retry-after, since it won't be there.
  http2::Headers extra;
  if (entry.status == relay::Core::AcceptStatus::full) extra.push_back({"retry-after", "1"});
  answer_problem(c, stream, {503, title_of(503), entry.reason}, std::move(extra));
}

// RFC 8030 section 5.1: 202 with the location of the message resource, once the message would survive a
// crash.
void PushServer::answer_when_durable(MessageId id, ClientId client, http2::StreamId stream) {
  host_.message_registry->keep_answer(id);
  host_.message_registry->when_durable(id, [this, id, client, stream, alive = alive_] {
    if (!*alive) return;
    const auto it = waiting_requests_.find(id);
    // Answered meanwhile, or its client left.
    if (it == waiting_requests_.end() || it->second != std::pair(client, stream)) return;
    answer_waiting_request(id, {{":status", "202"}, {"location", "/message/" + message_name(id)}});
  });
}

void PushServer::on_client_lost(MessageId id) {
  waiting_requests_.erase(id);
  // A relay that remembers messages goes on with it, since the client may have lost only its connection and
  // may ask again.
  if (host_.message_registry != nullptr)
    host_.message_registry->keep_answer(id);
  else
    host_.withdraw(id);
}

// The repeat of a request takes over the wait for its message if no other request waits for it (409 if one
// does), or gets the final answer that the message had. A message that was refused had no effect, so its
// repeat is accepted as a new message.
bool PushServer::answer_repeat(Client& c, http2::StreamId stream, const Request& r) {
  using State = relay::MessageRegistry::Entry::State;
  const auto e = host_.message_registry->find(r.tenant, r.destination, r.message_class, r.message);
  if (e.state == State::unknown || e.state == State::refused) return false;
  if (e.state == State::key_conflict) {
    answer_problem(c, stream, {422, title_of(422), "another message was sent under this idempotency-key"});
  } else if (e.state != State::held) {
    answer_remembered(c, stream, e);
  } else if (const auto at = waiting_requests_.find(e.id); at != waiting_requests_.end()) {
    answer_problem(c, stream, {409, title_of(409), "the message of this idempotency-key is being delivered"},
                   {{"location", "/message/" + message_name(e.id)}, {"retry-after", "1"}});
  } else {
    c.unanswered[stream] = e.id, waiting_requests_[e.id] = {c.id, stream};
    if (r.async) answer_when_durable(e.id, c.id, stream);
  }
  return true;
}

// The same response that the message's first request would have got.
void PushServer::answer_remembered(Client& c, http2::StreamId stream,
                                   const relay::MessageRegistry::Entry& e) {
  if (e.state == relay::MessageRegistry::Entry::State::served)
    return answer(c, stream, {{":status", "201"}, {"location", "/message/" + message_name(e.id)}});
  const int status = e.summary.attempts == 0 || e.summary.last_outcome == "no answer in time" ? 504 : 502;
  const Problem p{status, title_of(status), "given up: it may or may not have taken effect"};
  answer(c, stream, {{":status", std::to_string(status)}, {"content-type", "application/problem+json"}},
         problem_body(p, message_name(e.id), e.message_class, e.summary.last_outcome, e.summary.attempts));
}

bool PushServer::on_message_resource(Client& c, const http2::Event& e) {
  constexpr std::string_view kPrefix = "/message/";
  std::string_view path = http2::find_header(e.headers, ":path");
  if (path.substr(0, kPrefix.size()) != kPrefix) return false;
  path.remove_prefix(kPrefix.size());
  using State = relay::MessageRegistry::Entry::State;
  relay::MessageRegistry::Entry found;
  const auto& name = settings_.name;
  if (path.size() > name.size() + 1 && path.size() < name.size() + 21 &&
      path.substr(0, name.size() + 1) == name + "-") {
    const auto digits = path.substr(name.size() + 1);
    if (digits.find_first_not_of("0123456789") == std::string_view::npos)
      found = host_.message_registry->find_by_id(std::strtoull(std::string(digits).c_str(), nullptr, 10));
  }
  // A message of another tenant is answered as if it didn't exist.
  if (!settings_.tenant_field.empty() &&
      found.tenant != http2::find_header(e.headers, settings_.tenant_field.c_str()))
    found = {};
  const auto method = http2::find_header(e.headers, ":method");
  if (found.state == State::unknown) {
    answer_problem(c, e.stream, {404, title_of(404), "no such message is held or remembered"});
  } else if (method == "DELETE") {
    if (found.state == State::held)
      // 410 for the request that waits for it.
      answer_waiting_request(found.id, {{":status", "410"}}), host_.withdraw(found.id);
    else
      host_.message_registry->answer_delivered(found.id);
    answer(c, e.stream, {{":status", "204"}});
  } else if (method != "GET") {
    answer_problem(c, e.stream, {405, title_of(405), "a message is asked for by GET and withdrawn by DELETE"},
                   {{"allow", "GET, DELETE"}});
  } else {
    http2::Headers headers = {{":status", found.state == State::held ? "202" : "200"},
                              {"content-type", "application/json"}};
    if (found.state == State::held) headers.push_back({"retry-after", "1"});
    answer(c, e.stream, std::move(headers), message_body(message_name(found.id), found));
  }
  return true;
}

void PushServer::drop_request(Client& c, http2::StreamId stream) {
  const auto it = c.incoming.find(stream);
  if (it == c.incoming.end()) return;
  count(c, it->second, 0);
  c.incoming.erase(it);
}

void PushServer::answer(Client& c, http2::StreamId stream, http2::Headers headers, const std::string& body) {
  if (!body.empty()) headers.push_back({"content-length", std::to_string(body.size())});
  c.h2.respond(stream, headers, body);
}

void PushServer::answer_problem(Client& c, http2::StreamId stream, const Problem& p, http2::Headers extra) {
  http2::Headers headers = {{":status", std::to_string(p.status)},
                            {"content-type", "application/problem+json"}};
  headers.insert(headers.end(), extra.begin(), extra.end());
  answer(c, stream, std::move(headers), problem_body(p, "", "", "", 0));
}

void PushServer::answer_waiting_request(MessageId id, http2::Headers headers, const std::string& body) {
  const auto it = waiting_requests_.find(id);
  if (it == waiting_requests_.end()) return;  // its client has left
  const auto [client, stream] = it->second;
  waiting_requests_.erase(it);
  const auto at = clients_.find(client);
  if (at == clients_.end()) return;
  at->second->unanswered.erase(stream);
  answer(*at->second, stream, std::move(headers), body);
  flush(*at->second);
}

void PushServer::served(MessageId id, const relay::CallResult&) {
  // RFC 8030 section 5: 201 with the location of the message resource.
  answer_waiting_request(id, {{":status", "201"}, {"location", "/message/" + message_name(id)}});
}

void PushServer::refused(MessageId id, Time wait, const relay::AttemptSummary& summary) {
  const Problem p{503, title_of(503), "handed back: trying again is harmless"};
  http2::Headers headers = {{":status", "503"}, {"content-type", "application/problem+json"}};
  if (wait > 0) headers.push_back({"retry-after", format_retry_after(wait)});
  const auto& name = settings_.names.classes[static_cast<std::size_t>(summary.message_class)];
  answer_waiting_request(id, std::move(headers),
                         problem_body(p, message_name(id), name, summary.last_outcome, summary.attempts));
}

void PushServer::failed(MessageId id, const relay::AttemptSummary& summary) {
  // 504 if the last attempt got no answer in time or there was none, else 502. Neither carries retry-after:
  // the message may have taken effect.
  const int status = summary.attempts == 0 || summary.last_outcome == "no answer in time" ? 504 : 502;
  const Problem p{status, title_of(status), "given up: it may or may not have taken effect"};
  const auto& name = settings_.names.classes[static_cast<std::size_t>(summary.message_class)];
  answer_waiting_request(id,
                         {{":status", std::to_string(status)}, {"content-type", "application/problem+json"}},
                         problem_body(p, message_name(id), name, summary.last_outcome, summary.attempts));
}

void PushServer::stop_accepting() {
  if (stopping_) return;
  stopping_ = true;
  listener_.reset();
  for (auto& [id, c] : clients_) {
    // RFC 9113 section 6.8: the shutdown is announced first. Once the client has received that (it answers
    // the PING), a second GOAWAY fixes the last stream. Requests received in between are answered as not
    // accepted.
    c->h2.announce_shutdown();
    c->h2.ping("draining");
    flush(*c);
  }
}

bool PushServer::drained() const {
  if (!waiting_requests_.empty()) return false;
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) {
    return c.second->stream->bytes_written() == c.second->stream->bytes_flushed() &&
           c.second->h2.unsent_body_bytes() == 0;
  });
}

void PushServer::close(ClientId id, const std::string&, bool abort) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // Destroyed later, since this may be called from within the stream's own callbacks.
  std::shared_ptr<Client> c(std::move(it->second));
  clients_.erase(it);
  c->stream->close(abort);
  for (const auto& [stream, message] : c->unanswered) on_client_lost(message);
  incoming_beyond_shares_ -= beyond_share(c->incoming_bytes);
  if (listener_) listener_->pause(false);
  loop_.defer([c] {});
}

// Closes connections whose client reads no answers, and answers requests whose body doesn't end in time.
void PushServer::check_stalled() {
  const Time now = loop_.now(), limit = settings_.stalled_after;
  std::vector<ClientId> stalled;
  for (auto& [id, c] : clients_) {
    const bool owed =
        c->stream->bytes_written() > c->stream->bytes_flushed() || c->h2.unsent_body_bytes() > 0;
    if (!owed || c->stream->bytes_flushed() != c->flushed_at_progress)
      c->progress_at = now, c->flushed_at_progress = c->stream->bytes_flushed();
    if (now - c->progress_at > limit) {
      stalled.push_back(id);
      continue;
    }
    std::vector<http2::StreamId> late;
    for (const auto& [stream, r] : c->incoming)
      if (now - r.received_at > limit) late.push_back(stream);
    for (const auto stream : late) {
      drop_request(*c, stream);
      answer_problem(*c, stream, {408, title_of(408), "the request never came whole"});
    }
    flush(*c);
  }
  for (const auto id : stalled) {
    host_.log("client reads nothing: cut off");
    close(id, "stalled", true);
  }
  stall_check_timer_ = loop_.after(limit / 4 + 1, [this] { check_stalled(); });
}

}  // namespace cedarplank::gateway
