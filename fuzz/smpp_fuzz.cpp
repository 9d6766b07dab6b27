// SMPP: a byte stream is framed into PDUs, each decoded or rejected; a decoded PDU is encoded again, and its
// text parsed and converted. The same bytes are also received by either side of a session that has requests
// of its own outstanding.
#include <cstdlib>
#include <stdexcept>

#include "smpp/pdu.hpp"
#include "smpp/session.hpp"
#include "smpp/text.hpp"

namespace {

// Lets a session in the given role receive the bytes; whatever it sends must be valid SMPP.
void session(cedarplank::smpp::Role role, std::string_view bytes) {
  using namespace cedarplank::smpp;
  Session s(role, {}, 0);
  std::vector<Event> events;
  if (role == Role::esme) s.bind(0, Command::bind_transceiver, {"a", "b", "", 0x34, {}});
  Time now = 0;
  for (std::size_t at = 0; at < bytes.size(); at += 61) {
    s.receive(++now, bytes.substr(at, 61), events);
    for (auto& e : events) {
      if (e.type == Event::Type::bind) s.accept(now, "c");
      if (e.type == Event::Type::request) s.respond(e.pdu, status::throttled);
    }
    events.clear();
    if (s.can_request())
      s.request(now, role == Role::esme ? Command::submit_sm : Command::deliver_sm, Message{});
    if (s.outstanding() > s.settings().window || s.unanswered() > s.settings().peer_window) std::abort();
    Framer output;  // must decode as SMPP
    output.receive(s.take_output());
    while (const auto pdu = output.next())
      if (!std::holds_alternative<Pdu>(decode(*pdu))) std::abort();
  }
  s.tick(kNever - 1, events);
  s.unbind(kNever - 1);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::smpp;
  const std::string_view bytes{reinterpret_cast<const char*>(data), size};
  session(Role::smsc, bytes), session(Role::esme, bytes);
  Framer framer;
  framer.receive(bytes);
  MessageAssembler assembly(4);
  while (const auto pdu_bytes = framer.next()) {
    const auto read = decode(*pdu_bytes);
    if (!std::holds_alternative<Pdu>(read)) continue;
    const Pdu& pdu = std::get<Pdu>(read);
    std::string out;
    encode(pdu, out);
    if (!std::holds_alternative<Pdu>(decode(out))) std::abort();
    const auto* message = std::get_if<Message>(&pdu.body);
    if (message == nullptr) continue;
    try {
      const auto parsed = parse_text(*message);
      for (const auto coding : {Coding::gsm7, Coding::latin1, Coding::ucs2}) {
        const auto text = decode_text(parsed.text, coding);
        if (text && coding != Coding::gsm7 && encode_text(*text, coding) != parsed.text) std::abort();
      }
      if (parsed.part) assembly.add("x", *parsed.part, parsed.text);
    } catch (const std::invalid_argument&) {
    }
  }
  return 0;
}
