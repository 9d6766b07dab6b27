#include "sms/bind_link.hpp"

#include <algorithm>
#include <stdexcept>

namespace cedarplank::sms {
namespace {

// Longest time that closing may take: the unbind response, then the output that is still queued.
constexpr Time kLinger = 1'000'000;

const config::SmppBack& kind_of(const config::RelaySettings& s, const config::PartnerEndpoint& e) {
  return s.kind_wire.at(static_cast<std::size_t>(e.kind)).smpp.value();
}

smpp::SessionSettings session_settings_of(const config::RelaySettings& s, const config::SmppBack& kind) {
  smpp::SessionSettings session;
  session.session_init = s.dispatcher.connect_timeout;
  session.response = kind.response;
  session.window = static_cast<std::size_t>(kind.window);
  return session;  // no enquire_link timer: the connection pool sends the pings
}

}  // namespace

BindLink::BindLink(loop::Loop& loop, const config::RelaySettings& settings,
                   const config::PartnerEndpoint& endpoint, pool::LinkId id, back::Driver& driver,
                   std::function<void(const std::string&)> log)
    : loop_(loop),
      settings_(settings),
      endpoint_(endpoint),
      kind_(kind_of(settings, endpoint)),
      id_(id),
      driver_(driver),
      log_(std::move(log)),
      session_(smpp::Role::esme, session_settings_of(settings, kind_), loop.now()) {
  net::Stream::Handlers handlers;
  handlers.connected = [this] {
    smpp::Bind bind;
    bind.system_id = kind_.system_id, bind.password = kind_.password, bind.system_type = kind_.system_type;
    session_.bind(loop_.now(),
                  kind_.transceiver ? smpp::Command::bind_transceiver : smpp::Command::bind_transmitter,
                  bind);
    flush();
  };
  handlers.data = [this](std::string_view bytes) { receive(bytes); };
  handlers.drained = [this] {
    if (!gone_) driver_.touched(endpoint_.id);
  };
  handlers.closed = [this](const std::string& why) {
    gone_ = true;
    driver_.gone(endpoint_.id, id_, why);
  };
  // The pool enforces the connect timeout over the whole handshake, until the bind is accepted.
  stream_ = std::make_unique<net::TcpStream>(loop_, net::Address::parse(endpoint_.address),
                                             settings_.dispatcher.connect_timeout, std::move(handlers));
}

BindLink::~BindLink() { loop_.cancel(timer_); }

void BindLink::drop() {
  gone_ = true;
  loop_.cancel(timer_), timer_ = 0;
  stream_->close();
}

void BindLink::flush() {
  if (session_.has_output()) stream_->write(session_.take_output());
  rearm();
}

void BindLink::rearm() {
  const Time due = session_.next_due();
  if (gone_ || due == smpp::kNever || (timer_ != 0 && timer_at_ <= due)) return;
  loop_.cancel(timer_);
  timer_at_ = due;
  timer_ = loop_.at(due, [this] {
    timer_ = 0;
    tick();
  });
}

void BindLink::tick() {
  std::vector<smpp::Event> events;
  session_.tick(loop_.now(), events);
  on_events(events);
}

// No request is queued behind bytes that the endpoint has not read yet: it could no longer be withdrawn.
bool BindLink::takes_more() const {
  return session_.can_request() && stream_->queued() == stream_->flushed();
}

std::optional<back::Link::Room> BindLink::room() {
  if (!session_.bound()) return std::nullopt;
  return Room{static_cast<std::uint32_t>(kind_.window), !takes_more()};
}

back::Link::Submitted BindLink::submit(const relay::CallOrder& call, Time left) {
  if (!takes_more()) return {Submitted::Went::no_room, 0, {}};
  Out out;
  try {
    const auto& cls = settings_.names.classes[static_cast<std::size_t>(call.message->message_class)];
    auto parts = submits_of(*call.message, cls, kind_, left, ++reference_);
    // A message of several parts waits until the window has capacity for all of them, so that it is not left
    // partly sent behind other messages.
    if (session_.outstanding() > 0 && !session_.can_request(parts.size()))
      return {Submitted::Went::no_room, 0, {}};
    std::move(parts.begin(), parts.end(), std::back_inserter(out.unsent));
    // A field that cannot be encoded throws at the first part, before anything is sent; the other parts
    // differ from it only in their text, which has been split to fit.
    send_parts(call.id, out);
  } catch (const std::invalid_argument& e) {
    return {Submitted::Went::never, 0, {Outcome::not_sent, 0, {}, e.what(), {}}};
  }
  const auto first = out.waiting.begin()->first;
  out_[call.id] = std::move(out);
  flush();
  return {Submitted::Went::yes, first, {}};
}

void BindLink::send_parts(relay::CallId id, Out& out) {
  while (!out.unsent.empty() && !out.broken && session_.can_request()) {
    const std::uint64_t begin_offset = stream_->queued() + session_.output_size();
    const auto n = session_.request(loop_.now(), smpp::Command::submit_sm, std::move(out.unsent.front()));
    out.unsent.pop_front();
    out.waiting[n] = begin_offset;
    call_of_[n] = id;
  }
}

void BindLink::part_ended(std::uint32_t sequence, relay::Ending ending) {
  const auto at = call_of_.find(sequence);
  if (at == call_of_.end()) return;
  const auto id = at->second;
  call_of_.erase(at);
  Out& out = out_.at(id);
  out.waiting.erase(sequence);
  out.broken = out.broken || ending.outcome != Outcome::served;
  out.ended.push_back(std::move(ending));
  end_if_over(id);
}

void BindLink::end_if_over(relay::CallId id) {
  Out& out = out_.at(id);
  if (!out.waiting.empty() || (!out.unsent.empty() && !out.broken && session_.bound())) return;
  auto ending = ending_of_parts(out.ended, out.unsent.empty());
  out_.erase(id);
  driver_.answered(endpoint_.id, id_, id, std::move(ending));
}

void BindLink::receive(std::string_view bytes) {
  driver_.heard(endpoint_.id, id_);
  std::vector<smpp::Event> events;
  session_.receive(loop_.now(), bytes, events);
  on_events(events);
}

void BindLink::on_events(std::vector<smpp::Event>& events) {
  using Type = smpp::Event::Type;
  std::string close_reason;
  for (auto& e : events) {
    switch (e.type) {
      case Type::bound:
        driver_.standing(endpoint_.id, id_, static_cast<std::uint32_t>(kind_.window));
        break;
      case Type::refused: {
        const char* name = smpp::name_of(e.pdu.status);
        close_reason =
            std::string("bind refused: ") + (*name != '\0' ? name : std::to_string(e.pdu.status).c_str());
        log_("endpoint " + endpoint_.id + ": " + close_reason);
        break;
      }
      case Type::response:
        on_response(e.pdu);
        break;
      case Type::expired:
        part_ended(e.pdu.sequence, {Outcome::reset, 0, {}, "no submit_sm_resp in time", {}});
        break;
      case Type::request: {
        // Receipts are not requested, but some message centres send them anyway, even before the response.
        const auto* m = std::get_if<smpp::Message>(&e.pdu.body);
        const bool receipt = m != nullptr && read_receipt(*m);
        session_.respond(e.pdu, receipt ? smpp::status::ok : smpp::status::receiver_permanent);
        break;
      }
      case Type::alive:
        driver_.pong(endpoint_.id, id_);
        break;
      case Type::unbind:
        driver_.draining(endpoint_.id, id_);
        break;
      case Type::unbound:
        close_reason = closing_ ? "closed" : "the endpoint unbound";
        break;
      case Type::failed:
        close_reason = e.what;
        log_("endpoint " + endpoint_.id + ": " + close_reason);
        break;
      case Type::mistake:
      case Type::stray:
        if (odd_++ == 0)
          log_("endpoint " + endpoint_.id + ": " +
               (e.what.empty() ? std::string("a response that answers nothing") : e.what));
        break;
      case Type::late:
      case Type::alert:
      case Type::outbind:
      case Type::bind:
        break;
    }
  }
  if (gone_) return;
  // Sends parts that waited for capacity in the window, oldest call first.
  for (auto& [id, out] : out_) send_parts(id, out);
  flush();
  if (close_reason.empty()) return driver_.pump(endpoint_.id);
  gone_ = true;
  driver_.gone(endpoint_.id, id_, close_reason);
}

void BindLink::on_response(smpp::Pdu& pdu) { part_ended(pdu.sequence, ending_of_response(pdu, kind_)); }

void BindLink::reset(relay::CallId id) {
  const auto it = out_.find(id);
  if (it == out_.end()) return;
  // SMPP cannot cancel a submit before its response has given the message id: the request stays outstanding
  // and its response is ignored.
  for (const auto& [sequence, at] : it->second.waiting) session_.abandon(sequence), call_of_.erase(sequence);
  out_.erase(it);
}

void BindLink::ping() {
  session_.enquire(loop_.now());
  flush();
}

void BindLink::close() {
  closing_ = true;
  session_.unbind(loop_.now());
  flush();
  if (session_.state() == smpp::State::closed) return stream_->finish(kLinger);
  // Closes the connection even if the message centre does not answer the unbind.
  loop_.cancel(timer_);
  timer_at_ = loop_.now() + kLinger;
  timer_ = loop_.at(timer_at_, [this] {
    timer_ = 0;
    stream_->finish(kLinger);
  });
}

relay::Ending BindLink::ending_when_lost(relay::CallId id, const std::string& why) {
  const auto it = out_.find(id);
  if (it == out_.end()) return {Outcome::reset, 0, {}, why, {}};
  Out& out = it->second;
  auto parts = out.ended;
  for (const auto& [sequence, begin_offset] : out.waiting) {
    // If none of its bytes was handed to the kernel, the request certainly did not run.
    const bool any_sent = stream_->flushed() > begin_offset;
    parts.push_back({any_sent ? Outcome::reset : Outcome::connect_failed, 0, {}, why, {}});
  }
  auto ending = ending_of_parts(parts, out.unsent.empty());
  out_.erase(it);
  return ending;
}

}  // namespace cedarplank::sms
