// HTTP/1.1, requests and responses: any bytes give the same messages however they are split, within the
// bounds. A request that the platform's HTTP server accepts can be passed on.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "http1/message.hpp"
#include "platform/semantics.hpp"

namespace {

using namespace cedarplank;
using http1::Parser;

// Reads the bytes in pieces of the given size; returns a text of everything read and of the final state.
std::string run(Parser::Side side, std::string_view bytes, std::size_t piece) {
  http1::Bounds bounds;
  bounds.head = 512, bounds.fields = 8, bounds.body = 256;
  Parser r(side, bounds);
  std::string seen;
  for (int messages = 0; messages < 8 && r.state() != Parser::State::broken; messages++) {
    while (!bytes.empty() && r.state() != Parser::State::complete && r.state() != Parser::State::broken) {
      const auto n = r.consume(bytes.substr(0, piece));
      bytes.remove_prefix(n);
      if (n == 0) break;
    }
    if (bytes.empty()) r.end_of_input();
    const auto& m = r.message();
    if (m.body.size() > bounds.body || m.fields.size() > bounds.fields) std::abort();
    if (r.state() != Parser::State::complete) break;
    seen += m.method + " " + m.target + " " + std::to_string(m.status) + "\n";
    for (const auto& f : m.fields) {
      if (f.value.find_first_of("\r\n") != std::string::npos) std::abort();
      seen += f.name + ":" + f.value + "\n";
    }
    seen += m.body + (m.close ? "|close\n" : "|\n");
    if (side == Parser::Side::responses) {
      platform::ending_of(m);
      platform::endings_of(m, true, {"a", "b"});
    } else {
      settings::NameTables names;
      names.classes = {{"notice", 0}};
      http1::Message copy = m;
      platform::SubmittedMessage in;
      if (!platform::read_request(copy, names, in)) {
        if (in.id.empty() || in.id.find(' ') != std::string::npos || in.message.time_left <= 0) std::abort();
        platform::bulk_call({{in.id, "", in.message.body}}, 1, "h");
      }
    }
    r.next();
  }
  return seen + std::to_string(static_cast<int>(r.state())) + r.problem();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const auto side = data[0] & 1 ? Parser::Side::requests : Parser::Side::responses;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const auto whole = run(side, bytes, bytes.size());
  for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}})
    if (run(side, bytes, piece) != whole) std::abort();
  return 0;
}
