// SMPP: a stream of bytes is cut into PDUs, each read or refused; what is read is written again, and its text
// taken apart.
#include <cstdlib>
#include <stdexcept>

#include "smpp/pdu.hpp"
#include "smpp/text.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::smpp;
  Framer framer;
  framer.receive({reinterpret_cast<const char*>(data), size});
  Assembly assembly(4);
  while (const auto bytes = framer.next()) {
    const auto read = decode(*bytes);
    if (!std::holds_alternative<Pdu>(read)) continue;
    const Pdu& pdu = std::get<Pdu>(read);
    std::string out;
    encode(pdu, out);
    if (!std::holds_alternative<Pdu>(decode(out))) std::abort();
    const auto* message = std::get_if<Message>(&pdu.body);
    if (message == nullptr) continue;
    try {
      const auto taken = taken_apart(*message);
      for (const auto coding : {Coding::gsm7, Coding::latin1, Coding::ucs2}) {
        const auto text = from_coding(taken.text, coding);
        if (text && coding != Coding::gsm7 && to_coding(*text, coding) != taken.text) std::abort();
      }
      if (taken.part) assembly.add("x", *taken.part, taken.text);
    } catch (const std::invalid_argument&) {
    }
  }
  return 0;
}
