#include "record/wire_capture.hpp"

#include <rapidjson/document.h>

#include <stdexcept>

#include "text/text.hpp"

namespace cedarplank::record {
namespace {

constexpr std::size_t kBodyPrefixBytes = 96;  // bytes at the start of a body, searched for the message id

// The payload without its padding.
std::string_view without_padding(const http2::FrameHeader& h, std::string_view payload) {
  if (!h.has(http2::flag::padded) || payload.empty()) return payload;
  const std::size_t padding = static_cast<unsigned char>(payload[0]);
  payload.remove_prefix(1);
  payload.remove_suffix(std::min(padding, payload.size()));
  return payload;
}

}  // namespace

std::string message_id_in(std::string_view body) {
  const auto end = body.find(';');
  if (body.substr(0, 3) != "id=" || end == std::string_view::npos) return {};
  return std::string(body.substr(3, end - 3));
}

std::string message_class_in(std::string_view body) {
  const auto from = body.find(";class="),
             end = body.find(';', from == std::string_view::npos ? from : from + 1);
  if (from == std::string_view::npos || end == std::string_view::npos) return {};
  return std::string(body.substr(from + 7, end - from - 7));
}

std::string to_json(const CaptureRecord& r) {
  rapidjson::StringBuffer buffer;
  text::JsonWriter w(buffer);
  const auto text = [&](const char* key, const std::string& value) { text::write_json(w, key, value); };
  w.StartObject();
  w.Key("at"), w.Int64(r.at);
  w.Key("side"), w.String(r.side == CaptureRecord::Side::client ? "client" : "endpoint");
  text("place", r.place);
  w.Key("connection"), w.Uint64(r.connection);
  w.Key("sent"), w.Bool(r.sent);
  text("what", r.what);
  if (r.stream != 0) w.Key("stream"), w.Uint(r.stream);
  if (r.end) w.Key("end"), w.Bool(true);
  if (r.what == "RST_STREAM" || r.what == "GOAWAY") w.Key("code"), w.Uint(r.code);
  if (r.what == "GOAWAY") w.Key("last"), w.Uint(r.last);
  if (!r.fields.empty()) {
    w.Key("fields"), w.StartObject();
    for (const auto& [name, value] : r.fields) text(name.c_str(), value);
    w.EndObject();
  }
  if (!r.message.empty()) text("message", r.message);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

CaptureRecord from_json(std::string_view line) {
  rapidjson::Document d;
  d.Parse(line.data(), line.size());
  if (d.HasParseError() || !d.IsObject()) throw std::runtime_error("the record is not a JSON object");
  const auto text = [&](const char* key) {
    if (!d.HasMember(key) || !d[key].IsString()) return std::string();
    return std::string(d[key].GetString(), d[key].GetStringLength());
  };
  const auto number = [&](const char* key) {
    return d.HasMember(key) && d[key].IsInt64() ? d[key].GetInt64() : std::int64_t{0};
  };
  const auto flag = [&](const char* key) { return d.HasMember(key) && d[key].IsBool() && d[key].GetBool(); };
  CaptureRecord r;
  r.at = number("at");
  r.side = text("side") == "client" ? CaptureRecord::Side::client : CaptureRecord::Side::endpoint;
  r.place = text("place"), r.what = text("what"), r.message = text("message");
  if (r.what.empty()) throw std::runtime_error("the record has no 'what'");
  r.connection = static_cast<std::uint64_t>(number("connection"));
  r.sent = flag("sent"), r.end = flag("end");
  r.stream = static_cast<std::uint32_t>(number("stream"));
  r.code = static_cast<std::uint32_t>(number("code")), r.last = static_cast<std::uint32_t>(number("last"));
  if (d.HasMember("fields") && d["fields"].IsObject()) {
    const auto& fields = d["fields"];
    for (auto f = fields.MemberBegin(); !(f == fields.MemberEnd()); ++f)
      if (f->value.IsString()) r.fields[f->name.GetString()] = f->value.GetString();
  }
  return r;
}

Http2WireCapture::Http2WireCapture(CaptureRecord::Side side, std::string place, std::uint64_t connection,
                                   bool client_end, Sink sink)
    : WireCapture(side, std::move(place), connection, std::move(sink)) {
  in_.preface_expected = !client_end, out_.preface_expected = client_end;
}

CaptureRecord WireCapture::make_record(Time at, bool sent, const char* what, std::uint32_t stream) const {
  CaptureRecord r;
  r.at = at, r.side = side_, r.place = place_, r.connection = connection_, r.sent = sent, r.what = what,
  r.stream = stream;
  return r;
}

void WireCapture::record_connection_event(Time at, const char* what) {
  sink_(make_record(at, true, what, 0));
}

void Http2WireCapture::process_bytes(Time at, bool sent, std::string_view bytes) {
  Direction& d = sent ? out_ : in_;
  if (d.undecodable) return;
  d.bytes.append(bytes);
  std::size_t pos = 0;
  if (d.preface_expected) {
    if (d.bytes.size() < http2::kClientPreface.size()) return;
    if (d.bytes.compare(0, http2::kClientPreface.size(), http2::kClientPreface) != 0) {
      d.undecodable = true;
      return;
    }
    d.preface_expected = false, pos = http2::kClientPreface.size();
  }
  while (d.bytes.size() - pos >= http2::kFrameHeaderSize) {
    const auto h = http2::parse_frame_header(d.bytes, pos);
    if (d.bytes.size() - pos < http2::kFrameHeaderSize + h.length) break;
    process_frame(at, sent, d, h, std::string_view(d.bytes).substr(pos + http2::kFrameHeaderSize, h.length));
    pos += http2::kFrameHeaderSize + h.length;
  }
  d.bytes.erase(0, pos);
}

void Http2WireCapture::process_frame(Time at, bool sent, Direction& d, const http2::FrameHeader& h,
                                     std::string_view payload) {
  using T = http2::FrameType;
  switch (h.type) {
    case T::headers: {
      payload = without_padding(h, payload);
      if (h.has(http2::flag::priority)) payload.remove_prefix(std::min<std::size_t>(5, payload.size()));
      d.field_block.assign(payload), d.block_stream = h.stream, d.block_end = h.has(http2::flag::end_stream);
      if (h.has(http2::flag::end_headers)) record_field_block(at, sent, d);
      return;
    }
    case T::continuation:
      d.field_block.append(payload);
      if (h.has(http2::flag::end_headers)) record_field_block(at, sent, d);
      return;
    case T::data: {
      auto& body = d.bodies[h.stream];
      if (body.size() < kBodyPrefixBytes)
        body.append(without_padding(h, payload).substr(0, kBodyPrefixBytes - body.size()));
      if (!h.has(http2::flag::end_stream)) return;
      CaptureRecord r = make_record(at, sent, "DATA", h.stream);
      r.end = true, r.message = message_id_in(body);
      d.bodies.erase(h.stream);
      return sink_(std::move(r));
    }
    case T::rst_stream: {
      if (payload.size() != 4) return;
      CaptureRecord r = make_record(at, sent, "RST_STREAM", h.stream);
      r.code = http2::read_u32(payload, 0);
      d.bodies.erase(h.stream);
      return sink_(std::move(r));
    }
    case T::goaway: {
      if (payload.size() < 8) return;
      CaptureRecord r = make_record(at, sent, "GOAWAY", 0);
      r.last = http2::read_u32(payload, 0) & http2::kMaxStreamId, r.code = http2::read_u32(payload, 4);
      return sink_(std::move(r));
    }
    default:
      return;  // window updates, pings and settings carry nothing about messages
  }
}

void Http2WireCapture::record_field_block(Time at, bool sent, Direction& d) {
  http2::Headers headers;
  if (d.decoder.decode(d.field_block, 1 << 20, headers) == http2::HpackDecoder::Result::error) {
    d.undecodable = true;
    return;
  }
  CaptureRecord r = make_record(at, sent, "HEADERS", d.block_stream);
  r.end = d.block_end;
  for (auto& h : headers) r.fields[h.name] = std::move(h.value);
  sink_(std::move(r));
}

}  // namespace cedarplank::record
