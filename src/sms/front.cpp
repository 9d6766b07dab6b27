#include "sms/front.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include "sms/ownership.hpp"

namespace cedarplank::sms {
namespace {

namespace st = smpp::status;
// With more unread output than this, the server reads nothing more from that client.
constexpr std::size_t kMaxUnreadBytes = 1 << 20;
constexpr Time kLinger = 1'000'000, kSecond = 1'000'000;

smpp::SessionSettings session_settings_of(const config::SmppFront& f) {
  smpp::SessionSettings s;
  s.session_init = f.session_init, s.enquire_after = f.enquire_after, s.inactivity = f.inactivity;
  s.response = f.response;
  s.window = s.peer_window = static_cast<std::size_t>(f.window);
  return s;
}

smpp::Status status_of(const relay::Rejection& r) {
  switch (r.why) {
    case relay::Rejection::Why::no_destination:
      return st::invalid_destination;
    case relay::Rejection::Why::no_class:
      return st::invalid_service_type;
    case relay::Rejection::Why::too_large:
      return st::invalid_message_length;
    case relay::Rejection::Why::malformed:
      break;
  }
  return st::invalid_tlv_value;  // every other field that request validation checks comes from a TLV
}

}  // namespace

Front::Front(loop::Loop& loop, const config::RelaySettings& settings, Host host)
    : loop_(loop),
      settings_(settings),
      smpp_(settings.smpp.value()),
      host_(std::move(host)),
      intake_(settings),
      guard_({.tries = smpp_.bind_tries, .rest = smpp_.bind_rest}),
      receipts_({.most = static_cast<std::size_t>(smpp_.receipts_max), .keep = smpp_.receipts_for}),
      submissions_({.scheduled_max = static_cast<std::size_t>(smpp_.scheduled_max),
                    .bytes_max = static_cast<std::size_t>(settings.body_total_max)}) {
  listener_ = std::make_unique<net::Listener>(loop, net::Address::parse(smpp_.listen),
                                              [this](net::Fd fd) { accept(std::move(fd)); });
  address_ = listener_->address().text();
  char run_id[20];
  snprintf(run_id, sizeof run_id, "%llx", static_cast<unsigned long long>(host_.wall() / 1000));
  life_ = run_id;
  sweep_timer_ = loop_.after(settings_.stalled_after / 4 + 1, [this] { sweep(); });
}

Front::~Front() {
  *alive_ = false;
  loop_.cancel(sweep_timer_), loop_.cancel(due_timer_), loop_.cancel(again_timer_);
  for (auto& [id, c] : clients_) loop_.cancel(c->timer);
}

std::string Front::next_id() {
  return settings_.name.substr(0, 30) + "-" + life_ + "-" + std::to_string(next_message_++);
}

// ---- Connections ----

void Front::accept(net::Fd fd) {
  // At the limit, further connections wait in the backlog until another one closes: see close().
  if (clients_.size() + 1 >= static_cast<std::size_t>(smpp_.binds_max)) listener_->pause(true);
  auto owned = std::make_unique<Client>(session_settings_of(smpp_), loop_.now());
  Client& c = *owned;
  const ClientId id = c.id = next_client_++;
  c.progress_at = loop_.now();
  const auto from = net::Address::of_peer(fd.get()).text();
  c.from = from.substr(0, from.rfind(':'));
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
                                  pump_soon();
                                },
                            .closed = [this, id](const std::string& why) { close(id, why, false); }});
  rearm(c);
}

void Front::flush(Client& c) {
  if (c.session.has_output() && c.stream) c.stream->write(c.session.take_output());
  // Reads no more requests from a client that does not read its responses, so that the output queued for it
  // stays bounded.
  if (!c.paused && c.stream->queued() - c.stream->flushed() > kMaxUnreadBytes) {
    c.paused = true;
    c.stream->pause_reading(true);
  }
  rearm(c);
}

void Front::rearm(Client& c) {
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

void Front::receive(ClientId id, std::string_view bytes) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  std::vector<smpp::Event> events;
  it->second->session.receive(loop_.now(), bytes, events);
  on_events(*it->second, events);
}

void Front::on_events(Client& c, std::vector<smpp::Event>& events) {
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
        on_answer(c, e.pdu.sequence, e.pdu.status);
        break;
      case Type::expired:
        on_answer(c, e.pdu.sequence, std::nullopt);
        break;
      case Type::failed:
        host_.log("client " + c.from + (c.known != nullptr ? " (" + c.known->system_id + ")" : "") + ": " +
                  e.what);
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
  pump_soon();
}

std::size_t Front::binds_of(const std::string& system_id) const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), [&](const auto& x) {
    return x.second->known != nullptr && x.second->known->system_id == system_id && !x.second->closing;
  }));
}

void Front::on_bind(Client& c, const smpp::Pdu& pdu) {
  const auto& bind = std::get<smpp::Bind>(pdu.body);
  const auto reject = [&](smpp::Status why) {
    // Logs one rejection in 100, so that a flood of binds does not fill the log.
    if (turned_down_++ % 100 == 0)
      host_.log("bind of '" + bind.system_id + "' from " + c.from + " turned down: " + smpp::name_of(why) +
                " (" + std::to_string(turned_down_) + " so far)");
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
  if (!listed || !verifier_.known(bind.system_id, bind.password, known->password)) {
    if (!guard_.may_try(loop_.now(), bind.system_id, c.from)) return reject(st::throttled);
    if (!listed || !verifier_.check(bind.system_id, bind.password, known->password)) {
      guard_.wrong(loop_.now(), bind.system_id, c.from);
      return reject(st::wrong_password);  // the same status for an unknown system_id
    }
  }
  guard_.right(bind.system_id, c.from);
  if (binds_of(bind.system_id) >= static_cast<std::size_t>(known->binds_max)) return reject(st::bind_failed);
  c.known = &*known;
  c.session.accept(loop_.now(), smpp_.system_id);
}

void Front::close(ClientId id, const std::string&, bool abort) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // Destroyed later, because the stream itself may be the caller. The client's messages go on; their receipts
  // wait for another bind.
  std::shared_ptr<Client> c(std::move(it->second));
  clients_.erase(it);
  loop_.cancel(c->timer);
  c->stream->close(abort);
  // Put back in reverse, which restores their order.
  for (auto at = c->out.rbegin(); at != c->out.rend(); ++at) receipts_.lost(at->second);
  if (listener_) listener_->pause(false);
  loop_.defer([c] {});
  pump_soon();
}

// Disconnects clients that read nothing.
void Front::sweep() {
  const Time now = loop_.now();
  std::vector<ClientId> stalled;
  for (auto& [id, c] : clients_) {
    const bool unsent = c->stream->queued() > c->stream->flushed();
    if (!unsent || c->stream->flushed() != c->flushed_seen)
      c->progress_at = now, c->flushed_seen = c->stream->flushed();
    if (now - c->progress_at > settings_.stalled_after) stalled.push_back(id);
  }
  for (const auto id : stalled) {
    host_.log("client reads nothing: cut off");
    close(id, "stalled", true);
  }
  receipts_.tick(now);
  sweep_timer_ = loop_.after(settings_.stalled_after / 4 + 1, [this] { sweep(); });
}

// ---- Submits ----

smpp::Status Front::route(const smpp::Message& m, relay::Request& out) const {
  const auto rule = std::find_if(smpp_.classes.begin(), smpp_.classes.end(), [&](const auto& r) {
    return (!r.service_type || *r.service_type == m.service_type) &&
           (!r.priority || *r.priority == m.priority);
  });
  if (rule == smpp_.classes.end()) return st::invalid_service_type;
  out.message_class = rule->message_class;
  out.urgency = m.priority >= 2 ? "high" : m.priority == 1 ? "normal" : "";
  out.sender = text_of(m.source);
  // An alphanumeric address (type of number 5) names the destination itself; a number is a recipient, and its
  // prefix selects the destination.
  if (m.destination.ton == 5) {
    out.destination = m.destination.digits;
    return st::ok;
  }
  const std::string number = text_of(m.destination);
  const config::SmppRoute* best = nullptr;
  for (const auto& r : smpp_.routes)
    if (number.rfind(r.prefix, 0) == 0 && (best == nullptr || r.prefix.size() > best->prefix.size()))
      best = &r;
  if (best == nullptr || number.empty()) return st::invalid_destination;
  out.destination = best->destination, out.recipient = number;
  return st::ok;
}

smpp::Status Front::times(const std::string& schedule, const std::string& validity, Submission& out) const {
  const Time now = loop_.now(), wall = host_.wall();
  out.starts = now;
  if (!schedule.empty()) {
    const auto wait = time_until(schedule, wall);
    if (!wait) return st::invalid_schedule;
    out.starts = now + *wait;
  }
  out.ends = out.starts + smpp_.validity;
  if (!validity.empty()) {
    const auto span = time_until(validity, wall);
    if (!span) return st::invalid_validity;
    out.ends = now + *span;
    if (out.ends < out.starts) return st::invalid_validity;
  }
  return st::ok;
}

Front::Taken Front::submit(Client& c, const smpp::Message& m, std::uint32_t sequence, const std::string& id) {
  if (stopping_) return {st::queue_full, "", 0};
  // While the relay is short of time, a client may have as many open messages as it would get streams over
  // HTTP/2. Otherwise responses pace a client, not final answers.
  const int open = host_.open();
  if (open < settings_.client_streams_max && submissions_.with_relay(c.id) >= static_cast<std::size_t>(open))
    return {st::throttled, "", 1};
  const int mode =
      m.esm_class & 0x03;  // section 5.2.12: forward mode wants the outcome in the response itself
  if (mode == 2) return {st::invalid_esm_class, "", 0};
  if (m.replace_if_present != 0) return {st::invalid_replace_flag, "", 0};
  if (m.default_message != 0) return {st::invalid_default_message, "", 0};
  if (m.priority > 3) return {st::invalid_priority, "", 0};
  Submission s;
  if (const auto wrong = route(m, s.request); wrong != st::ok) return {wrong, "", 0};
  if (!host_.destination(s.request.destination)) return {st::invalid_destination, "", 0};
  const auto valid = [](const std::string& a) { return a.empty() || relay::valid_address(a); };
  if (!valid(s.request.recipient)) return {st::invalid_destination, "", 0};
  if (!valid(s.request.sender)) return {st::invalid_source, "", 0};
  if (const auto wrong = times(m.schedule, m.validity, s); wrong != st::ok) return {wrong, "", 0};
  if (const auto* key = smpp::find(m.tlvs, own::key)) s.request.idempotency_key = key->value;
  if (const auto* topic = smpp::find(m.tlvs, own::topic))
    s.request.topic = topic->value, s.request.has_topic = true;
  s.client = c.known->system_id, s.tenant = c.known->tenant;
  s.registered = m.registered_delivery & 0x03;
  s.connection = c.id, s.sequence = sequence;
  s.receipt.source = m.source, s.receipt.destination = m.destination, s.receipt.service_type = m.service_type;
  s.receipt.taken_wall = host_.wall();
  smpp::Taken taken;
  try {
    taken = smpp::taken_apart(m);
  } catch (const std::invalid_argument&) {
    return {st::invalid_esm_class, "", 0};
  }
  s.request.ttl = std::max<Time>(0, s.ends - s.starts);
  // The checks that every protocol server applies to class, key and fields, before any part is accepted.
  relay::NewMessage checked;
  if (const auto rejection = intake_.check(s.request, checked)) return {status_of(*rejection), "", 0};
  if (!content_of(taken.text, m.data_coding)) return {st::submit_failed, "", 0};
  s.id = id.empty() ? next_id() : id;
  // Holds the data_coding until the text is complete; take() replaces it with the content type.
  s.request.content_type.assign(1, static_cast<char>(m.data_coding));
  if (!taken.part || taken.part->total == 1) {
    s.request.body = std::move(taken.text);
    return take(std::move(s), false);
  }
  const std::string key = s.client + ' ' + text_of(m.source) + ' ' + text_of(m.destination) + ' ' +
                          std::to_string(taken.part->reference) + ' ' + std::to_string(m.data_coding);
  auto added = submissions_.add_part(loop_.now(), key, *taken.part, std::move(s), std::move(taken.text));
  if (added.part == Submissions::Part::no_room) return {st::queue_full, "", 0};
  start_due();
  if (!added.whole) return {st::ok, added.id, 0};
  // The earlier parts have positive responses, so a rejection now becomes the final answer.
  const auto whole = take(std::move(*added.whole), true);
  return {st::ok, added.id, 0, whole.message};
}

Front::Taken Front::take(Submission s, bool answered) {
  const auto refuse = [&](smpp::Status why, Time come_back) -> Taken {
    const auto id = s.id;
    if (answered) end(std::move(s), Receipt::State::refused, come_back);
    return {why, id, static_cast<std::uint32_t>(come_back / kSecond)};
  };
  if (s.request.content_type.size() == 1) {
    auto content = content_of(s.request.body, static_cast<std::uint8_t>(s.request.content_type[0]));
    if (!content) return refuse(st::submit_failed, 0);
    s.request.body = std::move(content->body), s.request.content_type = std::move(content->type);
  }
  s.receipt.message_id = s.id, s.receipt.text = s.request.body.substr(0, 20);
  if (const auto rejection = intake_.check_body(s.request.body.size()))
    return refuse(status_of(*rejection), 0);
  if (s.starts > loop_.now()) {
    const auto id = s.id;
    if (!submissions_.schedule(s)) return refuse(st::queue_full, 0);
    start_due();
    return {st::ok, id, 0};
  }
  const auto destination = host_.destination(s.request.destination);
  if (!destination) return refuse(st::invalid_destination, 0);
  s.request.ttl = std::max<Time>(0, s.ends - loop_.now());
  relay::NewMessage message;
  if (const auto rejection = intake_.check(s.request, message)) return refuse(status_of(*rejection), 0);
  message.destination = *destination, message.tenant = s.tenant;
  message.client_connection = s.connection, message.client_stream = s.sequence;
  message.body = std::move(s.request.body);
  if (host_.book != nullptr) message.owner = ownership_of(s);
  MessageId named = 0;
  const std::string id = s.id;
  const auto entry = host_.take(std::move(message), [&](MessageId n) {
    named = n;
    if (n != 0) submissions_.with_relay(n, std::move(s));
  });
  if (entry.taken == relay::Core::Taken::yes) return {st::ok, id, 0, named};
  if (named != 0) s = std::move(*submissions_.ended(named));
  // The relay is short of capacity or time, which is temporary.
  if (entry.taken == relay::Core::Taken::full) return refuse(st::throttled, kSecond);
  return refuse(entry.taken == relay::Core::Taken::unfit ? st::invalid_destination : st::queue_full, 0);
}

void Front::start_due() {
  const Time due = submissions_.next_due();
  loop_.cancel(due_timer_), due_timer_ = 0;
  if (due == std::numeric_limits<Time>::max()) return;
  due_timer_ = loop_.at(due, [this] {
    due_timer_ = 0;
    std::vector<Submission> start, incomplete;
    submissions_.due(loop_.now(), start, incomplete);
    for (auto& s : start) take(std::move(s), true);
    // Nothing of them was sent, so the client may safely submit them again.
    for (auto& s : incomplete) s.receipt.message_id = s.id, end(std::move(s), Receipt::State::refused, 0);
    start_due();
  });
}

void Front::answer(Client& c, const smpp::Pdu& pdu, const Taken& taken) {
  smpp::MessageResp body;
  if (taken.status == st::ok) body.message_id = taken.id;
  if (taken.wait > 0) body.tlvs.push_back(smpp::tlv(own::wait, taken.wait, 4));
  smpp::Pdu request;
  request.command = pdu.command, request.sequence = pdu.sequence;
  when_taken(
      taken.status == st::ok ? taken.message : 0, c.id,
      [request, status = taken.status, body](Client& to) { to.session.respond(request, status, body); });
}

void Front::when_taken(MessageId id, ClientId client, std::function<void(Client&)> then) {
  if (host_.book == nullptr || id == 0) return then(*clients_.at(client));
  host_.book->when_taken(id, [this, alive = alive_, client, then = std::move(then)] {
    if (!*alive) return;
    const auto it = clients_.find(client);
    if (it == clients_.end() || it->second->closing) return;
    then(*it->second);
    flush(*it->second);
  });
}

bool Front::restore(MessageId id, const std::string& owner) {
  auto s = submission_of(owner);
  if (!s) return false;
  submissions_.with_relay(id, std::move(*s));
  return true;
}

bool Front::owed(MessageId id, const std::string& owner, Receipt::State state, Time come_back) {
  auto s = submission_of(owner);
  if (!s) return false;
  end(std::move(*s), state, come_back, id);
  return true;
}

void Front::on_request(Client& c, smpp::Pdu& pdu) {
  using C = smpp::Command;
  switch (pdu.command) {
    case C::submit_sm:
      return answer(c, pdu, submit(c, std::get<smpp::Message>(pdu.body), pdu.sequence));
    case C::data_sm: {
      auto& d = std::get<smpp::Data>(pdu.body);
      smpp::Message m;
      m.service_type = d.service_type, m.source = d.source, m.destination = d.destination;
      m.esm_class = d.esm_class, m.registered_delivery = d.registered_delivery, m.data_coding = d.data_coding;
      // Section 5.3.2.6: in seconds.
      if (const auto live = smpp::number(d.tlvs, 0x0017))
        m.validity = relative_time(static_cast<Time>(*live) * kSecond);
      m.tlvs = std::move(d.tlvs);
      return answer(c, pdu, submit(c, m, pdu.sequence));
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
void Front::on_multi(Client& c, const smpp::Pdu& pdu) {
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
    const auto taken = submit(c, m, pdu.sequence, body.message_id);
    if (taken.message != 0) last = taken.message;
    if (taken.status != st::ok) body.failed.push_back({r.address, taken.status});
  }
  const bool none = body.failed.size() == multi.recipients.size();
  if (none) return c.session.respond(pdu, body.failed.front().error, smpp::MultiResp{});
  smpp::Pdu request;
  request.command = pdu.command, request.sequence = pdu.sequence;
  when_taken(last, c.id, [request, body](Client& to) { to.session.respond(request, st::ok, body); });
}

void Front::on_query(Client& c, const smpp::Pdu& pdu) {
  const auto& q = std::get<smpp::Query>(pdu.body);
  const auto state = submissions_.state(c.known->system_id, q.message_id);
  if (!state) return c.session.respond(pdu, st::invalid_message_id);
  smpp::QueryResp body{q.message_id, "", state->state, 0};
  if (state->wall > 0) body.final_date = receipt_time(state->wall) + "00000+";
  c.session.respond(pdu, st::ok, std::move(body));
}

void Front::on_cancel(Client& c, const smpp::Pdu& pdu) {
  const auto& q = std::get<smpp::Cancel>(pdu.body);
  // Without an id, section 4.9 cancels all messages with these addresses. That is not supported: it could hit
  // more than the client means.
  const auto cancelled = submissions_.cancel(c.known->system_id, q.message_id, host_.wall());
  for (const auto message : cancelled.messages) host_.withdraw(message);
  c.session.respond(pdu, cancelled.found ? st::ok : st::cancel_failed, smpp::Empty{});
}

void Front::on_replace(Client& c, const smpp::Pdu& pdu) {
  const auto& r = std::get<smpp::Replace>(pdu.body);
  Submission as;
  if (const auto wrong = times(r.schedule, r.validity, as); wrong != st::ok)
    return c.session.respond(pdu, wrong);
  auto content = content_of(r.text, 0);
  // Only scheduled messages can be replaced: any other may already be on its way.
  const bool done = content && intake_.check_body(content->body.size()) == std::nullopt &&
                    submissions_.replace(c.known->system_id, r.message_id, std::move(*content),
                                         r.schedule.empty() ? std::nullopt : std::optional(as.starts),
                                         r.validity.empty() ? std::nullopt : std::optional(as.ends));
  c.session.respond(pdu, done ? st::ok : st::replace_failed, smpp::Empty{});
  if (done) start_due();
}

// ---- Final answers ----

void Front::end(Submission s, Receipt::State state, Time come_back, MessageId message) {
  const Time wall = host_.wall();
  s.receipt.state = state, s.receipt.come_back = come_back, s.receipt.ended_wall = wall;
  const bool served = state == Receipt::State::served;
  submissions_.note_end(s.client, s.id,
                        served                             ? kDelivered
                        : state == Receipt::State::refused ? kRejected
                                                           : kUnknown,
                        wall);
  // Section 5.2.17: 1 for a receipt whatever the outcome, 2 on failure only; 3 (v5) on success only.
  const bool wanted = s.registered == 1 || (s.registered == 2 && !served) || (s.registered == 3 && served);
  if (wanted)
    receipts_.owe(loop_.now(), s.client, receipt_of(s.receipt), message);
  else if (host_.book != nullptr && message != 0)
    host_.book->handed_over(message);
  pump_soon();
}

void Front::ended(MessageId message, Receipt::State state, Time come_back) {
  if (auto s = submissions_.ended(message)) end(std::move(*s), state, come_back, message);
}

void Front::served(MessageId id, const relay::Ending&) { ended(id, Receipt::State::served, 0); }
void Front::refused(MessageId id, Time come_back, const relay::Account&) {
  ended(id, Receipt::State::refused, come_back);
}
void Front::failed(MessageId id, const relay::Account&) { ended(id, Receipt::State::failed, 0); }

void Front::pump_soon() {
  if (pump_due_) return;
  pump_due_ = true;
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    pump_due_ = false;
    pump();
  });
}

void Front::pump() {
  if (receipts_.waiting() > 0) {
    for (auto& [id, c] : clients_) {
      if (c->known == nullptr || c->closing) continue;
      while (!c->paused && c->session.can_request()) {
        auto next = receipts_.next(loop_.now(), c->known->system_id);
        if (!next) break;
        c->out[c->session.request(loop_.now(), smpp::Command::deliver_sm, std::move(next->second))] =
            next->first;
      }
      flush(*c);
    }
  }
  // Sends a postponed receipt again even if no other event triggers it.
  const Time again = receipts_.next_again(loop_.now());
  loop_.cancel(again_timer_), again_timer_ = 0;
  if (again != std::numeric_limits<Time>::max())
    again_timer_ = loop_.at(again, [this] {
      again_timer_ = 0;
      pump();
    });
  if (stopping_ && drained())
    for (auto& [id, c] : clients_)
      if (c->session.bound()) c->session.unbind(loop_.now()), flush(*c);
}

void Front::on_answer(Client& c, std::uint32_t sequence, std::optional<smpp::Status> status) {
  const auto it = c.out.find(sequence);
  if (it == c.out.end()) return;
  const auto number = it->second;
  c.out.erase(it);
  const auto done = [&](std::uint64_t message) {
    if (host_.book != nullptr && message != 0) host_.book->handed_over(message);
  };
  if (status == st::ok) return done(receipts_.delivered(number));
  // No response, or a temporary error: the receipt is sent again. The client may get it twice, but it is not
  // lost.
  if (!status) return receipts_.not_now(loop_.now(), number);
  if (*status == st::throttled || *status == st::queue_full || *status == st::receiver_temporary ||
      *status == st::system_error)
    return receipts_.not_now(loop_.now(), number);
  done(receipts_.refused(number));
}

void Front::stop_taking() {
  if (stopping_) return;
  stopping_ = true;
  listener_.reset();
  for (auto& s : submissions_.take_all())
    s.receipt.message_id = s.id, end(std::move(s), Receipt::State::refused, 0);
  start_due();
  pump_soon();
}

bool Front::drained() const {
  if (submissions_.held() > 0 || receipts_.out() > 0) return false;
  return std::none_of(clients_.begin(), clients_.end(), [&](const auto& x) {
    const Client& c = *x.second;
    if (c.closing || c.known == nullptr) return false;
    const bool receives =
        c.session.state() == smpp::State::receiver || c.session.state() == smpp::State::transceiver;
    return (receives && receipts_.waiting(c.known->system_id) > 0) ||
           c.stream->queued() != c.stream->flushed();
  });
}

}  // namespace cedarplank::sms
