#include "record/smpp_wire_capture.hpp"

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

SmppWireCapture::SmppWireCapture(CaptureRecord::Side side, std::string place, std::uint64_t connection,
                                 Sink sink, ClientContext client)
    : WireCapture(side, std::move(place), connection, std::move(sink)), client_context_(std::move(client)) {}

void SmppWireCapture::record_connection_event(Time at, const char* what) {
  if (side_ == CaptureRecord::Side::endpoint || std::string_view(what) != "CLOSE")
    return WireCapture::record_connection_event(at, what);
  for (const auto& [stream, call] : messages_by_stream_) {
    if (call.answered_parts > 0) continue;
    CaptureRecord r = make_record(at, true, "RST_STREAM", stream);  // the client has given the message up
    r.code = 8;                                                     // CANCEL
    sink_(std::move(r));
  }
}

void SmppWireCapture::process_bytes(Time at, bool sent, std::string_view bytes) {
  auto& framer = sent ? out_ : in_;
  framer.receive(bytes);
  while (const auto one = framer.next()) {
    const auto read = smpp::decode(*one);
    if (const auto* p = std::get_if<smpp::Pdu>(&read)) process_pdu(at, sent, *p);
  }
}

void SmppWireCapture::process_pdu(Time at, bool sent, const smpp::Pdu& p) {
  using C = smpp::Command;
  const bool from_client = sent == (side_ == CaptureRecord::Side::client);
  if (p.command == C::submit_sm && from_client) return process_submit(at, sent, p);
  if ((p.command == C::submit_sm_resp || p.command == C::generic_nack) && !from_client)
    return process_response(at, sent, p);
  if (p.command == C::deliver_sm && !from_client) return process_receipt(at, sent, p);
  if (p.command == C::cancel_sm && from_client && client_context_.pending_receipts) {
    const auto it = client_context_.pending_receipts->find(std::get<smpp::Cancel>(p.body).message_id);
    if (it == client_context_.pending_receipts->end()) return;
    CaptureRecord r = make_record(at, sent, "RST_STREAM", it->second.second);
    r.connection = it->second.first, r.code = 8;  // CANCEL
    client_context_.pending_receipts->erase(it);
    return sink_(std::move(r));
  }
  if (from_client)
    if (const auto* bind = std::get_if<smpp::Bind>(&p.body)) system_id_ = bind->system_id;
}

void SmppWireCapture::process_submit(Time at, bool sent, const smpp::Pdu& p) {
  const auto& m = std::get<smpp::Message>(p.body);
  smpp::ParsedText taken;
  try {
    taken = smpp::parse_text(m);
  } catch (const std::invalid_argument&) {
    return;
  }
  std::uint32_t stream = p.sequence;
  const bool continues =
      taken.part && taken.part->number > 1 && stream_by_reference_.count(taken.part->reference) > 0;
  if (continues) stream = stream_by_reference_.at(taken.part->reference);
  stream_by_sequence_[p.sequence] = stream;
  auto& call = messages_by_stream_[stream];
  call.submitted_parts++;
  if (taken.part) {
    call.parts = taken.part->total;
    stream_by_reference_[taken.part->reference] = stream;
    if (call.submitted_parts == call.parts) stream_by_reference_.erase(taken.part->reference);
  }
  if (continues) return;
  CaptureRecord r = make_record(at, sent, "HEADERS", stream);
  r.fields[":method"] = "POST";
  r.fields["via"] = "SMPP " + system_id_;
  if (client_context_.path_of) r.fields[":path"] = client_context_.path_of(m);
  if (const auto* key = smpp::find_tlv(m.tlvs, kKey)) r.fields["idempotency-key"] = key->value;
  if (const auto* topic = smpp::find_tlv(m.tlvs, kTopic)) r.fields["topic"] = topic->value;
  if (m.validity.size() == 16 && m.validity[15] == 'R') {
    const auto two = [&](std::size_t i) { return std::stoll(m.validity.substr(i, 2)); };
    r.fields["ttl"] = std::to_string(((two(4) * 24 + two(6)) * 60 + two(8)) * 60 + two(10));
  }
  sink_(std::move(r));
  CaptureRecord data = make_record(at, sent, "DATA", stream);
  data.end = true, data.message = message_id_in(taken.text);
  sink_(std::move(data));
}

void SmppWireCapture::record_answer(Time at, bool sent, std::uint64_t connection, std::uint32_t stream,
                                    const std::string& status, std::uint32_t wait) {
  CaptureRecord r = make_record(at, sent, status.empty() ? "RST_STREAM" : "HEADERS", stream);
  r.connection = connection;
  if (status.empty()) r.code = kRefusedStream;
  if (!status.empty()) r.fields[":status"] = status;
  if (wait > 0) r.fields["retry-after"] = std::to_string(wait);
  sink_(std::move(r));
}

void SmppWireCapture::process_response(Time at, bool sent, const smpp::Pdu& p) {
  const auto it = stream_by_sequence_.find(p.sequence);
  if (it == stream_by_sequence_.end()) return;
  const auto stream = it->second;
  stream_by_sequence_.erase(it);
  SubmittedMessage& call = messages_by_stream_[stream];
  call.answered_parts++;
  const auto* body = std::get_if<smpp::MessageResp>(&p.body);
  if (p.status != st::ok && call.status == "201") call.status = status_of(p.status);
  if (body != nullptr) call.wait = std::max(call.wait, smpp::tlv_number(body->tlvs, kWait).value_or(0));
  const bool complete = call.answered_parts == call.submitted_parts &&
                        (call.submitted_parts == call.parts || call.status != "201");
  if (!complete) return;
  const SubmittedMessage ended = call;
  // At a client a successful response is not the final answer; the receipt is.
  if (side_ == CaptureRecord::Side::client && p.status == st::ok && client_context_.pending_receipts) {
    if (body != nullptr) (*client_context_.pending_receipts)[body->message_id] = {connection_, stream};
    return;
  }
  messages_by_stream_.erase(stream);
  const bool client = side_ == CaptureRecord::Side::client;
  record_answer(at, sent, connection_, stream, client && ended.status.empty() ? "503" : ended.status,
                ended.wait);
}

void SmppWireCapture::process_receipt(Time at, bool sent, const smpp::Pdu& p) {
  if (!client_context_.pending_receipts) return;
  const auto& m = std::get<smpp::Message>(p.body);
  const auto* id = smpp::find_tlv(m.tlvs, smpp::tag::receipted_message_id);
  if (id == nullptr) return;
  const auto it = client_context_.pending_receipts->find(id->value.substr(0, id->value.find('\0')));
  if (it == client_context_.pending_receipts->end()) return;
  const auto [connection, stream] = it->second;
  client_context_.pending_receipts->erase(it);
  const auto state = smpp::tlv_number(m.tlvs, smpp::tag::message_state).value_or(0);
  // message_state: 2 is DELIVERED, 8 is REJECTED.
  record_answer(at, sent, connection, stream,
                state == 2   ? "201"
                : state == 8 ? "503"
                             : "504",
                smpp::tlv_number(m.tlvs, kWait).value_or(0));
}

}  // namespace cedarplank::record
