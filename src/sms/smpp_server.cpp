#include "sms/smpp_server.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include "sms/ownership.hpp"

namespace cedarplank::sms {
namespace {

namespace st = smpp::status;
// Unread output of one client, at least and at most; beyond it the server reads nothing more from that
// client.
constexpr std::size_t kMinUnreadBytes = 16 * 1024, kMaxUnreadBytes = 1 << 20;
constexpr Time kLinger = 1'000'000, kSecond = 1'000'000;

smpp::SessionSettings session_settings_of(const config::SmppServerSettings& f) {
  smpp::SessionSettings s;
  s.session_init = f.session_init, s.enquire_after = f.enquire_after, s.inactivity_timeout = f.inactivity;
  s.response_timeout = f.response;
  s.window = s.peer_window = static_cast<std::size_t>(f.window);
  return s;
}

smpp::Status status_of(const relay::Rejection& r) {
  switch (r.reason) {
    case relay::Rejection::Reason::unknown_destination:
      return st::invalid_destination;
    case relay::Rejection::Reason::unknown_class:
      return st::invalid_service_type;
    case relay::Rejection::Reason::too_large:
      return st::invalid_message_length;
    case relay::Rejection::Reason::malformed:
      break;
  }
  return st::invalid_tlv_value;  // every other field that request validation checks comes from a TLV
}

}  // namespace

SmppServer::SmppServer(loop::Loop& loop, const config::RelaySettings& settings, Host host)
    : loop_(loop),
      settings_(settings),
      smpp_(settings.smpp.value()),
      host_(std::move(host)),
      request_validator_(settings),
      bind_limiter_({.max_failures = smpp_.bind_tries, .initial_delay = smpp_.bind_rest}),
      receipts_(
          {.max_waiting = static_cast<std::size_t>(smpp_.receipts_max), .retention = smpp_.receipts_for}),
      unread_max_(std::clamp(static_cast<std::size_t>(settings.body_total_max / std::max(smpp_.binds_max, 1)),
                             kMinUnreadBytes, kMaxUnreadBytes)),
      submissions_({.scheduled_max = static_cast<std::size_t>(smpp_.scheduled_max),
                    .bytes_max = static_cast<std::size_t>(settings.body_total_max)}) {
  listener_ = std::make_unique<net::Listener>(loop, net::Address::parse(smpp_.listen),
                                              [this](net::Fd fd) { accept(std::move(fd)); });
  address_ = listener_->address().text();
  char run_id[20];
  snprintf(run_id, sizeof run_id, "%llx", static_cast<unsigned long long>(host_.wall_clock() / 1000));
  run_id_ = run_id;
  stall_check_timer_ = loop_.after(settings_.stalled_after / 4 + 1, [this] { check_stalled(); });
}

SmppServer::~SmppServer() {
  *alive_ = false;
  loop_.cancel(stall_check_timer_), loop_.cancel(due_timer_), loop_.cancel(receipt_retry_timer_);
  for (auto& [id, c] : clients_) loop_.cancel(c->timer);
}

std::string SmppServer::next_id() {
  return settings_.name.substr(0, 30) + "-" + run_id_ + "-" + std::to_string(next_message_++);
}

// ---- Connections ----

void SmppServer::accept(net::Fd fd) {
  // At the limit, further connections wait in the backlog until another one closes: see close().
  if (clients_.size() + 1 >= static_cast<std::size_t>(smpp_.binds_max)) listener_->pause(true);
  auto owned = std::make_unique<Client>(session_settings_of(smpp_), loop_.now());
  Client& c = *owned;
  const ClientId id = c.id = next_client_++;
  c.progress_at = loop_.now();
  const auto from = net::Address::of_peer(fd.get()).text();
  c.peer_address = from.substr(0, from.rfind(':'));
  clients_[id] = std::move(owned);
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
                                  send_receipts_soon();
                                },
                            .closed = [this, id](const std::string& why) { close(id, why, false); }});
  rearm(c);
}

void SmppServer::flush(Client& c) {
  if (c.session.has_output() && c.stream) c.stream->write(c.session.take_output());
  // Reads no more requests from a client that does not read its responses, so that the output queued for it
  // stays bounded.
  if (!c.paused && c.stream->bytes_written() - c.stream->bytes_flushed() > unread_max_) {
    c.paused = true;
    c.stream->pause_reading(true);
  }
  rearm(c);
}

void SmppServer::rearm(Client& c) {
  const Time due = c.session.next_due();
  if (due == smpp::kNever || (c.timer != 0 && c.timer_at <= due)) return;
  loop_.cancel(c.timer);
  c.timer_at = due;
  c.timer = loop_.at(due, [this, id = c.id] {
    const auto it = clients_.find(id);
    if (it == clients_.end()) return;
    it->second->timer = 0;
    std::vector<smpp::Event> events;
    it->second->session.tick(loop_.now(), events);
    on_events(*it->second, events);
  });
}

void SmppServer::receive(ClientId id, std::string_view bytes) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  std::vector<smpp::Event> events;
  it->second->session.receive(loop_.now(), bytes, events);
  on_events(*it->second, events);
}

void SmppServer::on_events(Client& c, std::vector<smpp::Event>& events) {
  using Type = smpp::Event::Type;
  bool finished = false;
  for (auto& e : events) {
    switch (e.type) {
      case Type::bind:
        on_bind(c, e.pdu);
        break;
      case Type::request:
        on_request(c, e.pdu);
        break;
      case Type::response:
        on_receipt_response(c, e.pdu.sequence, e.pdu.status);
        break;
      case Type::expired:
        on_receipt_response(c, e.pdu.sequence, std::nullopt);
        break;
      case Type::failed:
        host_.log("client " + c.peer_address +
                  (c.settings != nullptr ? " (" + c.settings->system_id + ")" : "") + ": " + e.what);
        finished = true;
        break;
      case Type::unbound:
        finished = true;
        break;
      default:
        break;  // the session answers unbind; late and stray responses need no action
    }
  }
  flush(c);
  if (finished && !c.closing) {
    c.closing = true;
    c.stream->finish(kLinger);
  }
  send_receipts_soon();
}

std::size_t SmppServer::binds_of(const std::string& system_id) const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), [&](const auto& x) {
    return x.second->settings != nullptr && x.second->settings->system_id == system_id && !x.second->closing;
  }));
}

void SmppServer::on_bind(Client& c, const smpp::Pdu& pdu) {
  const auto& bind = std::get<smpp::Bind>(pdu.body);
  const auto reject = [&](smpp::Status why) {
    // Logs one rejection in 100, so that a flood of binds does not fill the log.
    if (rejected_binds_++ % 100 == 0)
      host_.log("bind of '" + bind.system_id + "' from " + c.peer_address +
                " turned down: " + smpp::name_of(why) + " (" + std::to_string(rejected_binds_) + " so far)");
    c.session.reject(why);
    flush(c);
    c.closing = true;
    c.stream->finish(kLinger);
  };
  if (stopping_) return reject(st::bind_failed);
  const auto known = std::find_if(smpp_.clients.begin(), smpp_.clients.end(),
                                  [&](const auto& k) { return k.system_id == bind.system_id; });
  const bool listed = known != smpp_.clients.end();
  // A password that was verified before is accepted whatever others have tried under this system_id. Any
  // other attempt is rate-limited, so that guessing is slow and a flood of binds cannot make the server
  // compute PBKDF2 for each one.
  if (!listed || !password_verifier_.is_cached(bind.system_id, bind.password, known->password)) {
    if (!bind_limiter_.may_attempt(loop_.now(), bind.system_id, c.peer_address)) return reject(st::throttled);
    if (!listed || !password_verifier_.verify(bind.system_id, bind.password, known->password)) {
      bind_limiter_.record_failure(loop_.now(), bind.system_id, c.peer_address);
      return reject(st::wrong_password);  // the same status for an unknown system_id
    }
  }
  bind_limiter_.record_success(bind.system_id, c.peer_address);
  if (binds_of(bind.system_id) >= static_cast<std::size_t>(known->binds_max)) return reject(st::bind_failed);
  c.settings = &*known;
  c.session.accept(loop_.now(), smpp_.system_id);
}

void SmppServer::close(ClientId id, const std::string&, bool abort) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // Destroyed later, because the stream itself may be the caller. The client's messages go on; their receipts
  // wait for another bind.
  std::shared_ptr<Client> c(std::move(it->second));
  clients_.erase(it);
  loop_.cancel(c->timer);
  c->stream->close(abort);
  // Put back in reverse, which restores their order.
  for (auto at = c->unanswered_receipts.rbegin(); at != c->unanswered_receipts.rend(); ++at)
    receipts_.requeue(at->second);
  if (listener_) listener_->pause(false);
  loop_.defer([c] {});
  send_receipts_soon();
}

// Disconnects clients that read nothing.
void SmppServer::check_stalled() {
  const Time now = loop_.now();
  std::vector<ClientId> stalled;
  for (auto& [id, c] : clients_) {
    const bool unsent = c->stream->bytes_written() > c->stream->bytes_flushed();
    if (!unsent || c->stream->bytes_flushed() != c->flushed_at_progress)
      c->progress_at = now, c->flushed_at_progress = c->stream->bytes_flushed();
    if (now - c->progress_at > settings_.stalled_after) stalled.push_back(id);
  }
  for (const auto id : stalled) {
    host_.log("client reads nothing: cut off");
    close(id, "stalled", true);
  }
  receipts_.tick(now);
  stall_check_timer_ = loop_.after(settings_.stalled_after / 4 + 1, [this] { check_stalled(); });
}

// ---- Submits ----

smpp::Status SmppServer::route(const smpp::Message& m, relay::Request& out) const {
  const auto rule = std::find_if(smpp_.classes.begin(), smpp_.classes.end(), [&](const auto& r) {
    return (!r.service_type || *r.service_type == m.service_type) &&
           (!r.priority || *r.priority == m.priority);
  });
  if (rule == smpp_.classes.end()) return st::invalid_service_type;
  out.message_class = rule->message_class;
  out.urgency = m.priority >= 2 ? "high" : m.priority == 1 ? "normal" : "";
  out.sender = format_address(m.source);
  // An alphanumeric address (type of number 5) names the destination itself; a number is a recipient, and its
  // prefix selects the destination.
  if (m.destination.ton == 5) {
    out.destination = m.destination.digits;
    return st::ok;
  }
  const std::string number = format_address(m.destination);
  const config::SmppRoute* best = nullptr;
  for (const auto& r : smpp_.routes)
    if (number.rfind(r.prefix, 0) == 0 && (best == nullptr || r.prefix.size() > best->prefix.size()))
      best = &r;
  if (best == nullptr || number.empty()) return st::invalid_destination;
  out.destination = best->destination, out.recipient = number;
  return st::ok;
}

smpp::Status SmppServer::parse_times(const std::string& schedule, const std::string& validity,
                                     Submission& out) const {
  const Time now = loop_.now(), wall = host_.wall_clock();
  out.not_before = now;
  if (!schedule.empty()) {
    const auto wait = time_until(schedule, wall);
    if (!wait) return st::invalid_schedule;
    out.not_before = now + *wait;
  }
  out.expires_at = out.not_before + smpp_.validity;
  if (!validity.empty()) {
    const auto span = time_until(validity, wall);
    if (!span) return st::invalid_validity;
    out.expires_at = now + *span;
    if (out.expires_at < out.not_before) return st::invalid_validity;
  }
  return st::ok;
}

SmppServer::SubmitResult SmppServer::handle_submit(Client& c, const smpp::Message& m, std::uint32_t sequence,
                                                   const std::string& id) {
  if (stopping_) return {st::queue_full, "", 0};
  // While the relay is short of time, a client may have as many open messages as it would get streams over
  // HTTP/2. Otherwise responses pace a client, not final answers.
  const int open = host_.max_open_messages();
  if (open < settings_.client_streams_max &&
      submissions_.accepted_count(c.id) >= static_cast<std::size_t>(open))
    return {st::throttled, "", 1};
  const int mode =
      m.esm_class & 0x03;  // section 5.2.12: forward mode wants the outcome in the response itself
  if (mode == 2) return {st::invalid_esm_class, "", 0};
  if (m.replace_if_present != 0) return {st::invalid_replace_flag, "", 0};
  if (m.default_message != 0) return {st::invalid_default_message, "", 0};
  if (m.priority > 3) return {st::invalid_priority, "", 0};
  Submission s;
  if (const auto wrong = route(m, s.request); wrong != st::ok) return {wrong, "", 0};
  if (!host_.find_destination(s.request.destination)) return {st::invalid_destination, "", 0};
  const auto valid = [](const std::string& a) { return a.empty() || relay::valid_address(a); };
  if (!valid(s.request.recipient)) return {st::invalid_destination, "", 0};
  if (!valid(s.request.sender)) return {st::invalid_source, "", 0};
  if (const auto wrong = parse_times(m.schedule, m.validity, s); wrong != st::ok) return {wrong, "", 0};
  if (const auto* key = smpp::find_tlv(m.tlvs, own::key)) s.request.idempotency_key = key->value;
  if (const auto* topic = smpp::find_tlv(m.tlvs, own::topic))
    s.request.topic = topic->value, s.request.has_topic = true;
  s.client = c.settings->system_id, s.tenant = c.settings->tenant;
  s.registered_delivery = m.registered_delivery & 0x03;
  s.connection = c.id, s.sequence = sequence;
  s.receipt.source = m.source, s.receipt.destination = m.destination, s.receipt.service_type = m.service_type;
  s.receipt.accepted_wall = host_.wall_clock();
  smpp::ParsedText taken;
  try {
    taken = smpp::parse_text(m);
  } catch (const std::invalid_argument&) {
    return {st::invalid_esm_class, "", 0};
  }
  s.request.ttl = std::max<Time>(0, s.expires_at - s.not_before);
  // The checks that every protocol server applies to class, key and fields, before any part is accepted.
  relay::NewMessage checked;
  if (const auto rejection = request_validator_.check(s.request, checked))
    return {status_of(*rejection), "", 0};
  if (!decode_content(taken.text, m.data_coding)) return {st::submit_failed, "", 0};
  s.id = id.empty() ? next_id() : id;
  // Holds the data_coding until the text is complete; submit_to_relay() replaces it with the content type.
  s.request.content_type.assign(1, static_cast<char>(m.data_coding));
  if (!taken.part || taken.part->total == 1) {
    s.request.body = std::move(taken.text);
    return submit_to_relay(std::move(s), false);
  }
  const std::string key = s.client + ' ' + format_address(m.source) + ' ' + format_address(m.destination) +
                          ' ' + std::to_string(taken.part->reference) + ' ' + std::to_string(m.data_coding);
  auto added = submissions_.add_part(loop_.now(), key, *taken.part, std::move(s), std::move(taken.text));
  if (added.part == Submissions::Part::no_capacity) return {st::queue_full, "", 0};
  rearm_due_timer();
  if (!added.completed) return {st::ok, added.id, 0};
  // The earlier parts have positive responses, so a rejection now becomes the final answer.
  const auto whole = submit_to_relay(std::move(*added.completed), true);
  return {st::ok, added.id, 0, whole.relay_id};
}

SmppServer::SubmitResult SmppServer::submit_to_relay(Submission s, bool answered) {
  const auto refuse = [&](smpp::Status why, Time come_back) -> SubmitResult {
    const auto id = s.id;
    if (answered) finish_submission(std::move(s), Receipt::State::refused, come_back);
    return {why, id, static_cast<std::uint32_t>(come_back / kSecond)};
  };
  if (s.request.content_type.size() == 1) {
    auto content = decode_content(s.request.body, static_cast<std::uint8_t>(s.request.content_type[0]));
    if (!content) return refuse(st::submit_failed, 0);
    s.request.body = std::move(content->body), s.request.content_type = std::move(content->type);
  }
  s.receipt.message_id = s.id, s.receipt.text = s.request.body.substr(0, 20);
  if (const auto rejection = request_validator_.check_body(s.request.body.size()))
    return refuse(status_of(*rejection), 0);
  if (s.not_before > loop_.now()) {
    const auto id = s.id;
    if (!submissions_.schedule(s)) return refuse(st::queue_full, 0);
    rearm_due_timer();
    return {st::ok, id, 0};
  }
  const auto destination = host_.find_destination(s.request.destination);
  if (!destination) return refuse(st::invalid_destination, 0);
  s.request.ttl = std::max<Time>(0, s.expires_at - loop_.now());
  relay::NewMessage message;
  if (const auto rejection = request_validator_.check(s.request, message))
    return refuse(status_of(*rejection), 0);
  message.destination = *destination, message.tenant = s.tenant;
  message.client_connection = s.connection, message.client_stream = s.sequence;
  message.body = std::move(s.request.body);
  if (host_.message_registry != nullptr) message.owner = encode_ownership(s);
  MessageId named = 0;
  const std::string id = s.id;
  const auto entry = host_.accept(std::move(message), [&](MessageId n) {
    named = n;
    if (n != 0) submissions_.add_accepted(n, std::move(s));
  });
  if (entry.status == relay::Core::AcceptStatus::accepted) return {st::ok, id, 0, named};
  if (named != 0) s = std::move(*submissions_.remove_ended(named));
  // The relay is short of capacity or time, which is temporary.
  if (entry.status == relay::Core::AcceptStatus::full) return refuse(st::throttled, kSecond);
  return refuse(
      entry.status == relay::Core::AcceptStatus::unsupported ? st::invalid_destination : st::queue_full, 0);
}

void SmppServer::rearm_due_timer() {
  const Time due = submissions_.next_due();
  loop_.cancel(due_timer_), due_timer_ = 0;
  if (due == std::numeric_limits<Time>::max()) return;
  due_timer_ = loop_.at(due, [this] {
    due_timer_ = 0;
    std::vector<Submission> start, incomplete;
    submissions_.take_due(loop_.now(), start, incomplete);
    for (auto& s : start) submit_to_relay(std::move(s), true);
    // Nothing of them was sent, so the client may safely submit them again.
    for (auto& s : incomplete)
      s.receipt.message_id = s.id, finish_submission(std::move(s), Receipt::State::refused, 0);
    rearm_due_timer();
  });
}

void SmppServer::respond_to_submit(Client& c, const smpp::Pdu& pdu, const SubmitResult& taken) {
  smpp::MessageResp body;
  if (taken.status == st::ok) body.message_id = taken.id;
  if (taken.wait > 0) body.tlvs.push_back(smpp::make_tlv(own::wait, taken.wait, 4));
  smpp::Pdu request;
  request.command = pdu.command, request.sequence = pdu.sequence;
  when_durable(
      taken.status == st::ok ? taken.relay_id : 0, c.id,
      [request, status = taken.status, body](Client& to) { to.session.respond(request, status, body); });
}

void SmppServer::when_durable(MessageId id, ClientId client, std::function<void(Client&)> then) {
  if (host_.message_registry == nullptr || id == 0) return then(*clients_.at(client));
  host_.message_registry->when_durable(id, [this, alive = alive_, client, then = std::move(then)] {
    if (!*alive) return;
    const auto it = clients_.find(client);
    if (it == clients_.end() || it->second->closing) return;
    then(*it->second);
    flush(*it->second);
  });
}

bool SmppServer::restore_message(MessageId id, const std::string& owner) {
  auto s = decode_ownership(owner);
  if (!s) return false;
  submissions_.add_accepted(id, std::move(*s));
  return true;
}

bool SmppServer::restore_receipt(MessageId id, const std::string& owner, Receipt::State state,
                                 Time come_back) {
  auto s = decode_ownership(owner);
  if (!s) return false;
  finish_submission(std::move(*s), state, come_back, id);
  return true;
}

void SmppServer::on_request(Client& c, smpp::Pdu& pdu) {
  using C = smpp::Command;
  switch (pdu.command) {
    case C::submit_sm:
      return respond_to_submit(c, pdu, handle_submit(c, std::get<smpp::Message>(pdu.body), pdu.sequence));
    case C::data_sm: {
      auto& d = std::get<smpp::Data>(pdu.body);
      smpp::Message m;
      m.service_type = d.service_type, m.source = d.source, m.destination = d.destination;
      m.esm_class = d.esm_class, m.registered_delivery = d.registered_delivery, m.data_coding = d.data_coding;
      // Section 5.3.2.6: in seconds.
      if (const auto live = smpp::tlv_number(d.tlvs, 0x0017))
        m.validity = format_relative_time(static_cast<Time>(*live) * kSecond);
      m.tlvs = std::move(d.tlvs);
      return respond_to_submit(c, pdu, handle_submit(c, m, pdu.sequence));
    }
    case C::submit_multi:
      return on_multi(c, pdu);
    case C::query_sm:
      return on_query(c, pdu);
    case C::cancel_sm:
      return on_cancel(c, pdu);
    case C::replace_sm:
      return on_replace(c, pdu);
    default:
      return c.session.respond(pdu, st::invalid_command);
  }
}

// Section 4.5: one id for all; each recipient is a message of its own, and its receipt names the recipient.
void SmppServer::on_multi(Client& c, const smpp::Pdu& pdu) {
  const auto& multi = std::get<smpp::Multi>(pdu.body);
  smpp::MultiResp body;
  MessageId last = 0;
  body.message_id = next_id();
  for (const auto& r : multi.recipients) {
    if (!r.list.empty()) {
      body.failed.push_back({{}, st::invalid_list_name});
      continue;
    }
    smpp::Message m = multi.message;
    m.destination = r.address;
    const auto taken = handle_submit(c, m, pdu.sequence, body.message_id);
    if (taken.relay_id != 0) last = taken.relay_id;
    if (taken.status != st::ok) body.failed.push_back({r.address, taken.status});
  }
  const bool none = body.failed.size() == multi.recipients.size();
  if (none) return c.session.respond(pdu, body.failed.front().error, smpp::MultiResp{});
  smpp::Pdu request;
  request.command = pdu.command, request.sequence = pdu.sequence;
  when_durable(last, c.id, [request, body](Client& to) { to.session.respond(request, st::ok, body); });
}

void SmppServer::on_query(Client& c, const smpp::Pdu& pdu) {
  const auto& q = std::get<smpp::Query>(pdu.body);
  const auto state = submissions_.state(c.settings->system_id, q.message_id);
  if (!state) return c.session.respond(pdu, st::invalid_message_id);
  smpp::QueryResp body{q.message_id, "", state->state, 0};
  if (state->wall > 0) body.final_date = format_receipt_time(state->wall) + "00000+";
  c.session.respond(pdu, st::ok, std::move(body));
}

void SmppServer::on_cancel(Client& c, const smpp::Pdu& pdu) {
  const auto& q = std::get<smpp::Cancel>(pdu.body);
  // Without an id, section 4.9 cancels all messages with these addresses. That is not supported: it could hit
  // more than the client means.
  const auto cancelled = submissions_.cancel(c.settings->system_id, q.message_id, host_.wall_clock());
  for (const auto message : cancelled.messages) host_.withdraw(message);
  c.session.respond(pdu, cancelled.found ? st::ok : st::cancel_failed, smpp::Empty{});
}

void SmppServer::on_replace(Client& c, const smpp::Pdu& pdu) {
  const auto& r = std::get<smpp::Replace>(pdu.body);
  Submission as;
  if (const auto wrong = parse_times(r.schedule, r.validity, as); wrong != st::ok)
    return c.session.respond(pdu, wrong);
  auto content = decode_content(r.text, 0);
  // Only scheduled messages can be replaced: any other may already be on its way.
  const bool done = content && request_validator_.check_body(content->body.size()) == std::nullopt &&
                    submissions_.replace(c.settings->system_id, r.message_id, std::move(*content),
                                         r.schedule.empty() ? std::nullopt : std::optional(as.not_before),
                                         r.validity.empty() ? std::nullopt : std::optional(as.expires_at));
  c.session.respond(pdu, done ? st::ok : st::replace_failed, smpp::Empty{});
  if (done) rearm_due_timer();
}

// ---- Final answers ----

void SmppServer::finish_submission(Submission s, Receipt::State state, Time come_back, MessageId message) {
  const Time wall = host_.wall_clock();
  s.receipt.state = state, s.receipt.come_back = come_back, s.receipt.ended_wall = wall;
  const bool served = state == Receipt::State::served;
  submissions_.record_final_state(s.client, s.id,
                                  served                             ? kDelivered
                                  : state == Receipt::State::refused ? kRejected
                                                                     : kUnknown,
                                  wall);
  // Section 5.2.17: 1 for a receipt whatever the outcome, 2 on failure only; 3 (v5) on success only.
  const bool wanted = s.registered_delivery == 1 || (s.registered_delivery == 2 && !served) ||
                      (s.registered_delivery == 3 && served);
  if (wanted)
    receipts_.add(loop_.now(), s.client, encode_receipt(s.receipt), message);
  else if (host_.message_registry != nullptr && message != 0)
    host_.message_registry->answer_delivered(message);
  send_receipts_soon();
}

void SmppServer::finish_message(MessageId message, Receipt::State state, Time come_back) {
  if (auto s = submissions_.remove_ended(message))
    finish_submission(std::move(*s), state, come_back, message);
}

void SmppServer::served(MessageId id, const relay::CallResult&) {
  finish_message(id, Receipt::State::served, 0);
}
void SmppServer::refused(MessageId id, Time come_back, const relay::AttemptSummary&) {
  finish_message(id, Receipt::State::refused, come_back);
}
void SmppServer::failed(MessageId id, const relay::AttemptSummary&) {
  finish_message(id, Receipt::State::failed, 0);
}

void SmppServer::send_receipts_soon() {
  if (send_receipts_due_) return;
  send_receipts_due_ = true;
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    send_receipts_due_ = false;
    send_receipts();
  });
}

void SmppServer::send_receipts() {
  if (receipts_.waiting() > 0) {
    for (auto& [id, c] : clients_) {
      if (c->settings == nullptr || c->closing) continue;
      while (!c->paused && c->session.can_request()) {
        auto next = receipts_.next(loop_.now(), c->settings->system_id);
        if (!next) break;
        c->unanswered_receipts[c->session.request(loop_.now(), smpp::Command::deliver_sm,
                                                  std::move(next->second))] = next->first;
      }
      flush(*c);
    }
  }
  // Sends a postponed receipt again even if no other event triggers it.
  const Time again = receipts_.next_retry(loop_.now());
  loop_.cancel(receipt_retry_timer_), receipt_retry_timer_ = 0;
  if (again != std::numeric_limits<Time>::max())
    receipt_retry_timer_ = loop_.at(again, [this] {
      receipt_retry_timer_ = 0;
      send_receipts();
    });
  if (stopping_ && drained())
    for (auto& [id, c] : clients_)
      if (c->session.bound()) c->session.unbind(loop_.now()), flush(*c);
}

void SmppServer::on_receipt_response(Client& c, std::uint32_t sequence, std::optional<smpp::Status> status) {
  const auto it = c.unanswered_receipts.find(sequence);
  if (it == c.unanswered_receipts.end()) return;
  const auto number = it->second;
  c.unanswered_receipts.erase(it);
  const auto done = [&](std::uint64_t message) {
    if (host_.message_registry != nullptr && message != 0) host_.message_registry->answer_delivered(message);
  };
  if (status == st::ok) return done(receipts_.delivered(number));
  // No response, or a temporary error: the receipt is sent again. The client may get it twice, but it is not
  // lost.
  if (!status) return receipts_.postpone(loop_.now(), number);
  if (*status == st::throttled || *status == st::queue_full || *status == st::receiver_temporary ||
      *status == st::system_error)
    return receipts_.postpone(loop_.now(), number);
  done(receipts_.refused(number));
}

void SmppServer::stop_accepting() {
  if (stopping_) return;
  stopping_ = true;
  listener_.reset();
  for (auto& s : submissions_.take_all())
    s.receipt.message_id = s.id, finish_submission(std::move(s), Receipt::State::refused, 0);
  rearm_due_timer();
  send_receipts_soon();
}

bool SmppServer::drained() const {
  if (submissions_.held() > 0 || receipts_.outstanding() > 0) return false;
  return std::none_of(clients_.begin(), clients_.end(), [&](const auto& x) {
    const Client& c = *x.second;
    if (c.closing || c.settings == nullptr) return false;
    const bool receives =
        c.session.state() == smpp::State::receiver || c.session.state() == smpp::State::transceiver;
    return (receives && receipts_.waiting(c.settings->system_id) > 0) ||
           c.stream->bytes_written() != c.stream->bytes_flushed();
  });
}

}  // namespace cedarplank::sms
