#include "sms/bind_link.hpp"

#include <algorithm>
#include <stdexcept>

namespace cedarplank::sms {
namespace {

// Longest time that closing may take: the unbind response, then the output that is still queued.
constexpr Time kLinger = 1'000'000;

const config::SmppEndpointSettings& kind_of(const config::RelaySettings& s,
                                            const config::PartnerEndpoint& e) {
  return s.kind_protocols.at(static_cast<std::size_t>(e.kind)).smpp.value();
}

smpp::SessionSettings session_settings_of(const config::RelaySettings& s,
                                          const config::SmppEndpointSettings& kind) {
  smpp::SessionSettings session;
  session.session_init = s.dispatcher.connect_timeout;
  session.response_timeout = kind.response;
  session.window = static_cast<std::size_t>(kind.window);
  return session;  // no enquire_link timer: the connection pool sends the pings
}

}  // namespace

BindLink::BindLink(loop::Loop& loop, const config::RelaySettings& settings,
                   const config::PartnerEndpoint& endpoint, pool::LinkId id, back::EndpointDriver& driver,
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
    if (!closed_) driver_.connection_changed(endpoint_.id);
  };
  handlers.closed = [this](const std::string& why) {
    closed_ = true;
    driver_.connection_closed(endpoint_.id, id_, why);
  };
  // The pool enforces the connect timeout over the whole handshake, until the bind is accepted.
  stream_ = std::make_unique<net::TcpStream>(loop_, net::Address::parse(endpoint_.address),
                                             settings_.dispatcher.connect_timeout, std::move(handlers));
}

BindLink::~BindLink() { loop_.cancel(timer_); }

void BindLink::drop() {
  closed_ = true;
  loop_.cancel(timer_), timer_ = 0;
  stream_->close();
}

void BindLink::flush() {
  if (session_.has_output()) stream_->write(session_.take_output());
  rearm();
}

void BindLink::rearm() {
  const Time due = session_.next_due();
  if (closed_ || due == smpp::kNever || (timer_ != 0 && timer_at_ <= due)) return;
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

// No request is queued behind bytes that the endpoint has not read yet: it could no longer be cancelled.
bool BindLink::can_send() const {
  return session_.can_request() && stream_->bytes_written() == stream_->bytes_flushed();
}

std::optional<back::Link::Capacity> BindLink::capacity() {
  if (!session_.bound()) return std::nullopt;
  return Capacity{static_cast<std::uint32_t>(kind_.window), !can_send()};
}

back::Link::SubmitResult BindLink::submit(const relay::OutgoingCall& call, Time left) {
  if (!can_send()) return {SubmitResult::Status::no_capacity, 0, {}};
  SubmittedCall out;
  try {
    const auto& cls = settings_.names.classes[static_cast<std::size_t>(call.message->message_class)];
    auto parts = encode_submits(*call.message, cls, kind_, left, ++reference_);
    // A message of several parts waits until the window has capacity for all of them, so that it is not left
    // partly sent behind other messages.
    if (session_.outstanding() > 0 && !session_.can_request(parts.size()))
      return {SubmitResult::Status::no_capacity, 0, {}};
    std::move(parts.begin(), parts.end(), std::back_inserter(out.unsent_parts));
    // A field that cannot be encoded throws at the first part, before anything is sent; the other parts
    // differ from it only in their text, which has been split to fit.
    send_parts(call.id, out);
  } catch (const std::invalid_argument& e) {
    return {SubmitResult::Status::unsupported, 0, {Outcome::not_sent, 0, {}, e.what(), {}}};
  }
  const auto first = out.outstanding_parts.begin()->first;
  submitted_calls_[call.id] = std::move(out);
  flush();
  return {SubmitResult::Status::sent, first, {}};
}

void BindLink::send_parts(relay::CallId id, SubmittedCall& out) {
  while (!out.unsent_parts.empty() && !out.failed && session_.can_request()) {
    const std::uint64_t begin_offset = stream_->bytes_written() + session_.output_size();
    const auto n =
        session_.request(loop_.now(), smpp::Command::submit_sm, std::move(out.unsent_parts.front()));
    out.unsent_parts.pop_front();
    out.outstanding_parts[n] = begin_offset;
    call_by_sequence_[n] = id;
  }
}

void BindLink::on_part_result(std::uint32_t sequence, relay::CallResult ending) {
  const auto at = call_by_sequence_.find(sequence);
  if (at == call_by_sequence_.end()) return;
  const auto id = at->second;
  call_by_sequence_.erase(at);
  SubmittedCall& out = submitted_calls_.at(id);
  out.outstanding_parts.erase(sequence);
  out.failed = out.failed || ending.outcome != Outcome::served;
  out.part_results.push_back(std::move(ending));
  finish_if_done(id);
}

void BindLink::finish_if_done(relay::CallId id) {
  SubmittedCall& out = submitted_calls_.at(id);
  if (!out.outstanding_parts.empty() || (!out.unsent_parts.empty() && !out.failed && session_.bound()))
    return;
  auto ending = result_of_parts(out.part_results, out.unsent_parts.empty());
  submitted_calls_.erase(id);
  driver_.call_answered(endpoint_.id, id_, id, std::move(ending));
}

void BindLink::receive(std::string_view bytes) {
  driver_.data_received(endpoint_.id, id_);
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
        driver_.connection_ready(endpoint_.id, id_, static_cast<std::uint32_t>(kind_.window));
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
        on_part_result(e.pdu.sequence, {Outcome::reset, 0, {}, "no submit_sm_resp in time", {}});
        break;
      case Type::request: {
        // Receipts are not requested, but some message centres send them anyway, even before the response.
        const auto* m = std::get_if<smpp::Message>(&e.pdu.body);
        const bool receipt = m != nullptr && parse_receipt(*m);
        session_.respond(e.pdu, receipt ? smpp::status::ok : smpp::status::receiver_permanent);
        break;
      }
      case Type::enquiry_answered:
        driver_.pong_received(endpoint_.id, id_);
        break;
      case Type::unbind:
        driver_.connection_draining(endpoint_.id, id_);
        break;
      case Type::unbound:
        close_reason = closing_ ? "closed" : "the endpoint unbound";
        break;
      case Type::failed:
        close_reason = e.what;
        log_("endpoint " + endpoint_.id + ": " + close_reason);
        break;
      case Type::invalid_pdu:
      case Type::unmatched:
        if (unexpected_pdus_++ == 0)
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
  if (closed_) return;
  // Sends parts that waited for capacity in the window, oldest call first.
  for (auto& [id, out] : submitted_calls_) send_parts(id, out);
  flush();
  if (close_reason.empty()) return driver_.pump(endpoint_.id);
  closed_ = true;
  driver_.connection_closed(endpoint_.id, id_, close_reason);
}

void BindLink::on_response(smpp::Pdu& pdu) { on_part_result(pdu.sequence, result_of_response(pdu, kind_)); }

void BindLink::reset(relay::CallId id) {
  const auto it = submitted_calls_.find(id);
  if (it == submitted_calls_.end()) return;
  // SMPP cannot cancel a submit before its response has given the message id: the request stays outstanding
  // and its response is ignored.
  for (const auto& [sequence, at] : it->second.outstanding_parts)
    session_.abandon(sequence), call_by_sequence_.erase(sequence);
  submitted_calls_.erase(it);
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

relay::CallResult BindLink::ending_when_lost(relay::CallId id, const std::string& why) {
  const auto it = submitted_calls_.find(id);
  if (it == submitted_calls_.end()) return {Outcome::reset, 0, {}, why, {}};
  SubmittedCall& out = it->second;
  auto parts = out.part_results;
  for (const auto& [sequence, begin_offset] : out.outstanding_parts) {
    // If none of its bytes was handed to the kernel, the request certainly did not run.
    const bool any_sent = stream_->bytes_flushed() > begin_offset;
    parts.push_back({any_sent ? Outcome::reset : Outcome::connect_failed, 0, {}, why, {}});
  }
  auto ending = result_of_parts(parts, out.unsent_parts.empty());
  submitted_calls_.erase(it);
  return ending;
}

}  // namespace cedarplank::sms
