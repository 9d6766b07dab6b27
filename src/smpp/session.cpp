#include "smpp/session.hpp"

#include <algorithm>
#include <stdexcept>

namespace cedarplank::smpp {
namespace {

// Number of expired requests remembered, so that late responses are recognized.
constexpr std::size_t kExpiredKept = 4096;

bool is_bind(Command c) {
  return c == Command::bind_receiver || c == Command::bind_transmitter || c == Command::bind_transceiver;
}
State state_of(Command bind) {
  return bind == Command::bind_receiver      ? State::receiver
         : bind == Command::bind_transmitter ? State::transmitter
                                             : State::transceiver;
}

}  // namespace

const char* name_of(State state) {
  switch (state) {
    case State::open:
      return "open";
    case State::transmitter:
      return "bound as transmitter";
    case State::receiver:
      return "bound as receiver";
    case State::transceiver:
      return "bound as transceiver";
    case State::unbinding:
      return "unbinding";
    case State::closed:
      return "closed";
  }
  return "";
}

Session::Session(Role role, const SessionSettings& settings, Time now)
    : role_(role),
      settings_(settings),
      framer_(settings.max_pdu_size),
      started_at_(now),
      last_received_at_(now),
      last_message_at_(now) {}

std::string Session::take_output() {
  std::string out;
  out.swap(output_);
  return out;
}

// Section 5.1.4: 1 to 0x7fffffff, then from 1 again. Skips numbers whose responses may still come.
std::uint32_t Session::next_sequence() {
  while (outstanding_.count(next_sequence_) > 0 || expired_.count(next_sequence_) > 0)
    next_sequence_ = next_sequence_ >= kMaxSequence ? 1 : next_sequence_ + 1;
  const auto n = next_sequence_;
  next_sequence_ = n >= kMaxSequence ? 1 : n + 1;
  return n;
}

void Session::bind(Time now, Command how, const Bind& as) {
  if (role_ != Role::esme || state_ != State::open || pending_bind_) throw std::logic_error("bind: not now");
  Pdu pdu{how, status::ok, next_sequence(), as};
  send(pdu);
  pending_bind_ = std::move(pdu);
  started_at_ = now;
}

void Session::accept(Time now, const std::string& system_id) {
  if (role_ != Role::smsc || !pending_bind_) throw std::logic_error("accept: no bind waits");
  state_ = state_of(pending_bind_->command);
  peer_bind_ = std::get<Bind>(pending_bind_->body);
  BindResp resp{system_id, {}};
  // Section 4.1.2: sc_interface_version, sent only to peers whose version has optional parameters. It
  // says 3.4, because v5.0 is implemented only in part.
  if (peer_bind_.interface_version >= 0x34) resp.tlvs.push_back(make_tlv(tag::sc_interface_version, 0x34, 1));
  send({response_to(pending_bind_->command), status::ok, pending_bind_->sequence, std::move(resp)});
  pending_bind_.reset();
  last_message_at_ = now;
}

void Session::reject(Status why) {
  if (role_ != Role::smsc || !pending_bind_) throw std::logic_error("reject: no bind waits");
  send({response_to(pending_bind_->command), why, pending_bind_->sequence, BindResp{}});
  pending_bind_.reset();
}

bool Session::can_request(std::size_t requests) const {
  const bool allowed = role_ == Role::esme ? state_ == State::transmitter || state_ == State::transceiver
                                           : state_ == State::receiver || state_ == State::transceiver;
  return allowed && outstanding_.size() + requests <= settings_.window;
}

std::uint32_t Session::request(Time now, Command command, Body body) {
  const auto n = next_sequence();
  send({command, status::ok, n, std::move(body)});
  outstanding_[n] = {command, now + settings_.response_timeout, false};
  expiries_.insert({now + settings_.response_timeout, n});
  last_message_at_ = now;
  return n;
}

void Session::abandon(std::uint32_t sequence) {
  const auto it = outstanding_.find(sequence);
  if (it != outstanding_.end()) it->second.abandoned = true;
}

void Session::remove_outstanding(std::uint32_t sequence) {
  const auto it = outstanding_.find(sequence);
  if (it == outstanding_.end()) return;
  expiries_.erase({it->second.expires_at, sequence});
  outstanding_.erase(it);
}

void Session::respond(const Pdu& request, Status why, Body body) {
  const auto it = unanswered_.find(request.sequence);
  if (it == unanswered_.end() || state_ == State::closed) return;
  unanswered_.erase(it);
  const Command command = response_to(request.command);
  if (body == Body{Empty{}}) {
    if (command == Command::submit_multi_resp)
      body = MultiResp{};
    else if (command == Command::query_sm_resp)
      body = QueryResp{};
    else if (command == Command::submit_sm_resp || command == Command::deliver_sm_resp ||
             command == Command::data_sm_resp)
      body = MessageResp{};
  }
  send({command, why, request.sequence, std::move(body)});
}

void Session::enquire(Time now) {
  if (enquiry_ || state_ == State::closed) return;
  enquiry_ = {next_sequence(), now + settings_.response_timeout};
  send({Command::enquire_link, status::ok, enquiry_->first, Empty{}});
}

void Session::unbind(Time now) {
  if (!bound() && state_ != State::unbinding) {
    state_ = State::closed;
    return;
  }
  if (own_unbind_) return;
  state_ = State::unbinding;
  own_unbind_ = next_sequence();
  unbind_due_ = now + settings_.response_timeout;
  send({Command::unbind, status::ok, *own_unbind_, Empty{}});
}

void Session::fail(const std::string& what, std::vector<Event>& events) {
  if (state_ == State::closed) return;
  state_ = State::closed;
  events.push_back({Event::Type::failed, {}, what});
}

void Session::receive(Time now, std::string_view bytes, std::vector<Event>& events) {
  if (state_ == State::closed) return;
  last_received_at_ = now;
  framer_.receive(bytes);
  while (state_ != State::closed) {
    const auto pdu = framer_.next();
    if (!pdu) break;
    on_pdu(now, *pdu, events);
  }
  if (state_ != State::closed && framer_.failed()) {
    // Section 5.1.3: reported to the peer, although nothing after it can be read. The sequence number is
    // unknown.
    send({Command::generic_nack, status::invalid_command_length, 0, Empty{}});
    fail("command_length is out of bounds", events);
  }
}

void Session::on_invalid_pdu(const Pdu& header, const DecodeError& wrong, std::vector<Event>& events) {
  // Section 4.3: an unknown command gets generic_nack; a request with an invalid body gets its own response
  // type. Responses are never answered.
  if (!is_response(header.command)) {
    const bool known = *name_of(header.command) != '\0';
    Pdu pdu{Command::generic_nack, wrong.status, header.sequence, Empty{}};
    if (known && header.command != Command::alert_notification && header.command != Command::outbind) {
      unanswered_.insert(header.sequence);
      if (is_bind(header.command)) {
        unanswered_.erase(unanswered_.find(header.sequence));
        send({response_to(header.command), wrong.status, header.sequence, BindResp{}});
      } else {
        respond(header, wrong.status);
      }
    } else {
      send(pdu);
    }
  }
  events.push_back({Event::Type::invalid_pdu, header, wrong.what});
  if (++invalid_pdus_ >= settings_.max_invalid_pdus)
    fail("too many PDUs in a row that can't be taken", events);
}

void Session::on_pdu(Time now, std::string_view bytes, std::vector<Event>& events) {
  Pdu header;
  auto read = decode(bytes, &header);
  std::string what;
  if (const auto* wrong = std::get_if<DecodeError>(&read)) {
    // The sequence number still identifies the request, which is completed although the body is invalid.
    if (!is_response(header.command) || *name_of(header.command) == '\0')
      return on_invalid_pdu(header, *wrong, events);
    what = wrong->what;
    read = header;
  } else {
    invalid_pdus_ = 0;
  }
  Pdu& pdu = std::get<Pdu>(read);
  if (is_response(pdu.command)) return on_response(now, pdu, std::move(what), events);
  if (is_bind(pdu.command)) return on_bind(pdu, events);
  switch (pdu.command) {
    case Command::enquire_link:
      return send({Command::enquire_link_resp, status::ok, pdu.sequence, Empty{}});
    case Command::unbind:
      if (!bound() && state_ != State::unbinding)
        return send({Command::unbind_resp, status::wrong_bind_state, pdu.sequence, Empty{}});
      state_ = State::unbinding;
      peer_unbind_ = pdu.sequence;
      events.push_back({Event::Type::unbind, std::move(pdu), {}});
      return answer_unbind_if_idle(events);
    case Command::outbind:
      if (role_ == Role::esme && state_ == State::open && !pending_bind_)
        events.push_back({Event::Type::outbind, std::move(pdu), {}});
      else
        on_invalid_pdu(pdu, {status::wrong_bind_state, "outbind is not allowed in this state"}, events);
      return;
    default:
      return on_request(now, pdu, events);
  }
}

void Session::on_bind(Pdu& pdu, std::vector<Event>& events) {
  const auto refuse = [&](Status why) {
    send({response_to(pdu.command), why, pdu.sequence, BindResp{}});
    events.push_back({Event::Type::invalid_pdu, pdu, "bind is not allowed in this state"});
  };
  if (role_ != Role::smsc) return refuse(status::invalid_command);
  if (state_ != State::open || pending_bind_) return refuse(status::already_bound);
  pending_bind_ = pdu;
  events.push_back({Event::Type::bind, std::move(pdu), {}});
}

// Section 2.3: which requests each side may send in which state.
bool Session::peer_may_request(Command c) const {
  const bool transmits = state_ == State::transmitter || state_ == State::transceiver,
             receives = state_ == State::receiver || state_ == State::transceiver;
  switch (c) {
    case Command::submit_sm:
    case Command::submit_multi:
    case Command::query_sm:
    case Command::cancel_sm:
    case Command::replace_sm:
      return role_ == Role::smsc && transmits;
    case Command::deliver_sm:
    case Command::alert_notification:
      return role_ == Role::esme && receives;
    case Command::data_sm:
      return role_ == Role::smsc ? transmits : receives;
    default:
      return false;
  }
}

void Session::on_request(Time now, Pdu& pdu, std::vector<Event>& events) {
  if (pdu.command == Command::alert_notification) {
    if (peer_may_request(pdu.command)) events.push_back({Event::Type::alert, std::move(pdu), {}});
    return;
  }
  if (!peer_may_request(pdu.command)) {
    unanswered_.insert(pdu.sequence);
    respond(pdu, status::wrong_bind_state);
    events.push_back(
        {Event::Type::invalid_pdu, pdu, std::string(name_of(pdu.command)) + " while " + name_of(state_)});
    return;
  }
  last_message_at_ = now;
  unanswered_.insert(pdu.sequence);
  // A peer that keeps sending without waiting for responses is throttled, so that memory use stays bounded.
  if (unanswered_.size() > settings_.peer_window) return respond(pdu, status::throttled);
  events.push_back({Event::Type::request, std::move(pdu), {}});
}

void Session::on_response(Time now, Pdu& pdu, std::string what, std::vector<Event>& events) {
  if (enquiry_ && pdu.sequence == enquiry_->first) {
    enquiry_.reset();  // also for generic_nack: a peer that does not know enquire_link is alive
    events.push_back({Event::Type::enquiry_answered, std::move(pdu), {}});
    return;
  }
  if (own_unbind_ && pdu.sequence == *own_unbind_) {
    own_unbind_.reset();
    unbind_due_ = kNever;
    state_ = State::closed;
    events.push_back({Event::Type::unbound, std::move(pdu), {}});
    return;
  }
  if (role_ == Role::esme && pending_bind_ && pdu.sequence == pending_bind_->sequence &&
      state_ == State::open) {
    const bool matches = pdu.command == response_to(pending_bind_->command);
    if (matches && pdu.status == status::ok) {
      state_ = state_of(pending_bind_->command);
      last_message_at_ = now;
      pending_bind_.reset();
      events.push_back({Event::Type::bound, std::move(pdu), {}});
      return;
    }
    state_ = State::closed;
    events.push_back({Event::Type::refused, std::move(pdu), {}});
    return;
  }
  const auto it = outstanding_.find(pdu.sequence);
  if (it == outstanding_.end()) {
    const bool known = expired_.erase(pdu.sequence) > 0;
    events.push_back({known ? Event::Type::late : Event::Type::unmatched, std::move(pdu), std::move(what)});
    return;
  }
  // A response of another type than the request with this number does not answer it.
  if (pdu.command != Command::generic_nack && pdu.command != response_to(it->second.command)) {
    events.push_back({Event::Type::unmatched, std::move(pdu), "response to another command"});
    return;
  }
  const auto type = it->second.abandoned ? Event::Type::late : Event::Type::response;
  remove_outstanding(pdu.sequence);
  events.push_back({type, std::move(pdu), std::move(what)});
  answer_unbind_if_idle(events);
}

void Session::answer_unbind_if_idle(std::vector<Event>& events) {
  if (!peer_unbind_ || !outstanding_.empty()) return;
  send({Command::unbind_resp, status::ok, *peer_unbind_, Empty{}});
  peer_unbind_.reset();
  state_ = State::closed;
  events.push_back({Event::Type::unbound, {}, {}});
}

Time Session::next_due() const {
  if (state_ == State::closed) return kNever;
  Time due = unbind_due_;
  if (state_ == State::open) due = std::min(due, started_at_ + settings_.session_init);
  if (!expiries_.empty()) due = std::min(due, expiries_.begin()->first);
  if (enquiry_) due = std::min(due, enquiry_->second);
  if (bound()) {
    if (settings_.enquire_after > 0 && !enquiry_)
      due = std::min(due, last_received_at_ + settings_.enquire_after);
    if (settings_.inactivity_timeout > 0)
      due = std::min(due, last_message_at_ + settings_.inactivity_timeout);
  }
  return due;
}

void Session::tick(Time now, std::vector<Event>& events) {
  if (state_ == State::closed) return;
  if (state_ == State::open && now >= started_at_ + settings_.session_init)
    return fail("not bound in time", events);
  if (now >= unbind_due_) return fail("unbind was not answered", events);
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto n = expiries_.begin()->second;
    const bool abandoned = outstanding_.at(n).abandoned;
    remove_outstanding(n);
    // The number is not reused for a while: the response may still come, and must not be matched to another
    // request.
    if (expired_.insert(n).second) expired_order_.push_back(n);
    if (expired_order_.size() > kExpiredKept) {
      for (std::size_t i = 0; i < kExpiredKept / 2; i++) expired_.erase(expired_order_[i]);
      expired_order_.erase(expired_order_.begin(), expired_order_.begin() + kExpiredKept / 2);
    }
    if (abandoned) continue;
    Event e{Event::Type::expired, {}, {}};
    e.pdu.sequence = n;
    events.push_back(std::move(e));
  }
  answer_unbind_if_idle(events);
  if (state_ == State::closed) return;
  if (enquiry_ && now >= enquiry_->second) {
    // The session fails only if nothing else arrived either: a missing response while submits flow does not
    // mean that the connection is dead.
    if (last_received_at_ <= enquiry_->second - settings_.response_timeout)
      return fail("enquire_link was not answered", events);
    enquiry_.reset();
  }
  if (!bound()) return;
  if (settings_.inactivity_timeout > 0 && now >= last_message_at_ + settings_.inactivity_timeout)
    return unbind(now);
  if (settings_.enquire_after > 0 && !enquiry_ && now >= last_received_at_ + settings_.enquire_after)
    enquire(now);
}

}  // namespace cedarplank::smpp
