// SMPP client for tests: the test decides on each PDU that it sends.
#pragma once

#include "service.hpp"
#include "smpp/session.hpp"
#include "sms/semantics.hpp"

namespace cedarplank::testing {

class Esme {
 public:
  Esme(loop::Loop& loop, const std::string& address, const std::string& system_id = "bank",
       const std::string& password = "secret", smpp::Command how = smpp::Command::bind_transceiver)
      : loop_(loop), session(smpp::Role::esme, session_settings(), loop.now()) {
    stream = std::make_unique<net::TcpStream>(
        loop, net::Address::parse(address), 5 * kS,
        net::Stream::Handlers{.connected =
                                  [this, system_id, password, how] {
                                    session.bind(loop_.now(), how, {system_id, password, "", 0x34, {}});
                                    flush();
                                  },
                              .data =
                                  [this](std::string_view b) {
                                    std::vector<smpp::Event> events;
                                    session.receive(loop_.now(), b, events);
                                    for (auto& e : events) on_event(e);
                                    flush();
                                  },
                              .drained = {},
                              .closed = [this](const std::string&) { closed = true; }});
  }
  void flush() {
    if (session.has_output()) stream->write(session.take_output());
  }
  // A message to a destination by its name, or to a number.
  static smpp::Message message(const std::string& to, const std::string& type, const std::string& text) {
    smpp::Message m;
    m.destination = to[0] == '+' ? smpp::Address{1, 1, to.substr(1)} : smpp::Address{5, 0, to};
    m.source = {1, 1, "255700"}, m.service_type = type, m.text = text, m.registered_delivery = 1;
    m.validity = sms::format_relative_time(5 * kS);
    return m;
  }
  std::uint32_t submit(smpp::Message m, smpp::Command how = smpp::Command::submit_sm) {
    const auto n = session.request(loop_.now(), how, std::move(m));
    flush();
    return n;
  }
  std::uint32_t send_request(smpp::Command command, smpp::Body body) {
    const auto n = session.request(loop_.now(), command, std::move(body));
    flush();
    return n;
  }
  void on_event(smpp::Event& e) {
    using Type = smpp::Event::Type;
    if (e.type == Type::response) {
      responses[e.pdu.sequence] = e.pdu;
      if (const auto* r = std::get_if<smpp::MessageResp>(&e.pdu.body))
        message_ids[e.pdu.sequence] = r->message_id;
    } else if (e.type == Type::refused) {
      refused = e.pdu.status;
    } else if (e.type == Type::request) {
      const auto& m = std::get<smpp::Message>(e.pdu.body);
      deliveries.push_back(m);
      if (const auto says = sms::parse_receipt(m); says && receipt_status == smpp::status::ok)
        receipts[says->message_id].push_back(*says);
      if (answer_receipts) session.respond(e.pdu, receipt_status, smpp::MessageResp{});
    } else if (e.type == Type::unbind) {
      unbound = true;
    }
  }
  smpp::Status status(std::uint32_t n) const { return responses.at(n).status; }
  int receipt_state(std::uint32_t n) const {  // message_state of its receipt; 0: no receipt, -1: several
    const auto it = receipts.find(message_ids.at(n));
    return it == receipts.end() ? 0 : it->second.size() > 1 ? -1 : it->second[0].state;
  }

  loop::Loop& loop_;
  smpp::Session session;
  std::unique_ptr<net::Stream> stream;
  std::map<std::uint32_t, smpp::Pdu> responses;
  std::map<std::uint32_t, std::string> message_ids;
  std::map<std::string, std::vector<sms::ReceiptFields>> receipts;
  std::vector<smpp::Message> deliveries;
  smpp::Status refused = 0, receipt_status = smpp::status::ok;
  bool closed = false, answer_receipts = true, unbound = false;

 private:
  static smpp::SessionSettings session_settings() {
    smpp::SessionSettings s;
    s.window = 10'000;
    return s;
  }
};

}  // namespace cedarplank::testing
