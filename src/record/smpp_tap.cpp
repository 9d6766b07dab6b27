#include "record/smpp_tap.hpp"

#include <algorithm>
#include <stdexcept>

#include "smpp/text.hpp"

namespace cedarplank::record {
namespace {

namespace st = smpp::status;
// Tags of the vendor-specific TLVs: idempotency key, topic, and told wait or time to come back in seconds.
constexpr std::uint16_t kKey = 0x1401, kTopic = 0x1402, kWait = 0x1403;
constexpr std::uint32_t kRefusedStream = 7;  // HTTP/2 error code REFUSED_STREAM

// The HTTP status for a command_status; empty for a refusal that is recorded as a reset of the stream.
std::string status_of(smpp::Status s) {
  switch (s) {
    case st::ok:
      return "201";
    case st::throttled:
      return "429";
    case st::system_error:
      return "503";
    case st::invalid_destination:
    case st::invalid_service_type:
      return "404";
    case st::queue_full:
    case st::wrong_bind_state:
      return "";  // proves that the message was not accepted, as REFUSED_STREAM does
    default:
      return "500";
  }
}

}  // namespace

SmppTap::SmppTap(Record::Side side, std::string place, std::uint64_t connection, Sink sink, Client client)
    : Tap(side, std::move(place), connection, std::move(sink)), client_(std::move(client)) {}

void SmppTap::note(Time at, const char* what) {
  if (side_ == Record::Side::endpoint || std::string_view(what) != "CLOSE") return Tap::note(at, what);
  for (const auto& [stream, call] : calls_) {
    if (call.answered > 0) continue;
    Record r = fresh(at, true, "RST_STREAM", stream);  // the client has given the message up
    r.code = 8;                                        // CANCEL
    sink_(std::move(r));
  }
}

void SmppTap::pass(Time at, bool sent, std::string_view bytes) {
  auto& framer = sent ? out_ : in_;
  framer.receive(bytes);
  while (const auto one = framer.next()) {
    const auto read = smpp::decode(*one);
    if (const auto* p = std::get_if<smpp::Pdu>(&read)) pdu(at, sent, *p);
  }
}

void SmppTap::pdu(Time at, bool sent, const smpp::Pdu& p) {
  using C = smpp::Command;
  const bool from_client = sent == (side_ == Record::Side::client);
  if (p.command == C::submit_sm && from_client) return submit(at, sent, p);
  if ((p.command == C::submit_sm_resp || p.command == C::generic_nack) && !from_client)
    return response(at, sent, p);
  if (p.command == C::deliver_sm && !from_client) return receipt(at, sent, p);
  if (p.command == C::cancel_sm && from_client && client_.book) {
    const auto it = client_.book->find(std::get<smpp::Cancel>(p.body).message_id);
    if (it == client_.book->end()) return;
    Record r = fresh(at, sent, "RST_STREAM", it->second.second);
    r.connection = it->second.first, r.code = 8;  // CANCEL
    client_.book->erase(it);
    return sink_(std::move(r));
  }
  if (from_client)
    if (const auto* bind = std::get_if<smpp::Bind>(&p.body)) system_id_ = bind->system_id;
}

void SmppTap::submit(Time at, bool sent, const smpp::Pdu& p) {
  const auto& m = std::get<smpp::Message>(p.body);
  smpp::Taken taken;
  try {
    taken = smpp::taken_apart(m);
  } catch (const std::invalid_argument&) {
    return;
  }
  std::uint32_t stream = p.sequence;
  const bool continues = taken.part && taken.part->number > 1 && open_parts_.count(taken.part->reference) > 0;
  if (continues) stream = open_parts_.at(taken.part->reference);
  call_of_[p.sequence] = stream;
  auto& call = calls_[stream];
  call.seen++;
  if (taken.part) {
    call.parts = taken.part->total;
    open_parts_[taken.part->reference] = stream;
    if (call.seen == call.parts) open_parts_.erase(taken.part->reference);
  }
  if (continues) return;
  Record r = fresh(at, sent, "HEADERS", stream);
  r.fields[":method"] = "POST";
  r.fields["via"] = "SMPP " + system_id_;
  if (client_.path_of) r.fields[":path"] = client_.path_of(m);
  if (const auto* key = smpp::find(m.tlvs, kKey)) r.fields["idempotency-key"] = key->value;
  if (const auto* topic = smpp::find(m.tlvs, kTopic)) r.fields["topic"] = topic->value;
  if (m.validity.size() == 16 && m.validity[15] == 'R') {
    const auto two = [&](std::size_t i) { return std::stoll(m.validity.substr(i, 2)); };
    r.fields["ttl"] = std::to_string(((two(4) * 24 + two(6)) * 60 + two(8)) * 60 + two(10));
  }
  sink_(std::move(r));
  Record data = fresh(at, sent, "DATA", stream);
  data.end = true, data.message = message_in(taken.text);
  sink_(std::move(data));
}

void SmppTap::answer(Time at, bool sent, std::uint64_t connection, std::uint32_t stream,
                     const std::string& status, std::uint32_t wait) {
  Record r = fresh(at, sent, status.empty() ? "RST_STREAM" : "HEADERS", stream);
  r.connection = connection;
  if (status.empty()) r.code = kRefusedStream;
  if (!status.empty()) r.fields[":status"] = status;
  if (wait > 0) r.fields["retry-after"] = std::to_string(wait);
  sink_(std::move(r));
}

void SmppTap::response(Time at, bool sent, const smpp::Pdu& p) {
  const auto it = call_of_.find(p.sequence);
  if (it == call_of_.end()) return;
  const auto stream = it->second;
  call_of_.erase(it);
  Call& call = calls_[stream];
  call.answered++;
  const auto* body = std::get_if<smpp::MessageResp>(&p.body);
  if (p.status != st::ok && call.status == "201") call.status = status_of(p.status);
  if (body != nullptr) call.wait = std::max(call.wait, smpp::number(body->tlvs, kWait).value_or(0));
  const bool complete = call.answered == call.seen && (call.seen == call.parts || call.status != "201");
  if (!complete) return;
  const Call ended = call;
  // At a client a successful response is not the final answer; the receipt is.
  if (side_ == Record::Side::client && p.status == st::ok && client_.book) {
    if (body != nullptr) (*client_.book)[body->message_id] = {connection_, stream};
    return;
  }
  calls_.erase(stream);
  const bool client = side_ == Record::Side::client;
  answer(at, sent, connection_, stream, client && ended.status.empty() ? "503" : ended.status, ended.wait);
}

void SmppTap::receipt(Time at, bool sent, const smpp::Pdu& p) {
  if (!client_.book) return;
  const auto& m = std::get<smpp::Message>(p.body);
  const auto* id = smpp::find(m.tlvs, smpp::tag::receipted_message_id);
  if (id == nullptr) return;
  const auto it = client_.book->find(id->value.substr(0, id->value.find('\0')));
  if (it == client_.book->end()) return;
  const auto [connection, stream] = it->second;
  client_.book->erase(it);
  const auto state = smpp::number(m.tlvs, smpp::tag::message_state).value_or(0);
  // message_state: 2 is DELIVERED, 8 is REJECTED.
  answer(at, sent, connection, stream,
         state == 2   ? "201"
         : state == 8 ? "503"
                      : "504",
         smpp::number(m.tlvs, kWait).value_or(0));
}

}  // namespace cedarplank::record
