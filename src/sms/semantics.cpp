#include "sms/semantics.hpp"

#include <time.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cedarplank::sms {
namespace {

namespace st = smpp::status;
// In us. A longer told wait counts as kMaxToldWait.
constexpr Time kSecond = 1'000'000, kMaxToldWait = 24LL * 3600 * kSecond;
constexpr std::uint8_t kEsmReceipt = 0x04;  // message type in esm_class bits 5 to 2, section 5.2.12

std::optional<int> parse_digits(std::string_view text) {
  int v = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    v = v * 10 + (c - '0');
  }
  return v;
}

// The last two digits of a number.
std::string two_digits(Time n) {
  return {static_cast<char>('0' + n / 10 % 10), static_cast<char>('0' + n % 10)};
}

tm utc(Time wall) {
  const time_t seconds = wall / kSecond;
  tm parts{};
  gmtime_r(&seconds, &parts);
  return parts;
}

bool is_text(const relay::NewMessage& m) {
  return m.content_encoding.empty() && (m.content_type.empty() || m.content_type.rfind("text/plain", 0) == 0);
}

std::uint8_t priority_of(const std::string& urgency) {  // RFC 8030 section 5.3
  return urgency == "high" ? 2 : urgency == "normal" ? 1 : 0;
}

}  // namespace

Proof proof_of(smpp::Status s, const config::SmppEndpointSettings& kind) {
  if (s == st::ok) return Proof::ran;
  if (std::find(kind.unseen.begin(), kind.unseen.end(), s) != kind.unseen.end()) return Proof::refused;
  switch (s) {
    case st::throttled:
    case st::queue_full:
      return Proof::refused;
    // Errors in the PDU itself, reported before the message centre acts on it (section 5.1.3).
    case st::invalid_message_length:
    case st::invalid_command_length:
    case st::invalid_command:
    case st::wrong_bind_state:
    case st::invalid_priority:
    case st::invalid_registered_delivery:
    case st::invalid_source:
    case st::invalid_destination:
    case st::invalid_service_type:
    case st::invalid_destinations:
    case st::invalid_list_name:
    case st::invalid_esm_class:
    case st::cannot_submit_to_list:
    case st::invalid_source_ton:
    case st::invalid_source_npi:
    case st::invalid_destination_ton:
    case st::invalid_destination_npi:
    case st::invalid_system_type:
    case st::invalid_replace_flag:
    case st::invalid_message_count:
    case st::invalid_schedule:
    case st::invalid_validity:
    case st::invalid_default_message:
    case st::invalid_tlv_stream:
    case st::tlv_not_allowed:
    case st::invalid_tlv_length:
    case st::missing_tlv:
    case st::invalid_tlv_value:
      return Proof::not_run;
    default:
      return Proof::in_doubt;  // also for reserved and vendor-specific statuses
  }
}

relay::CallResult result_of_response(const smpp::Pdu& response, const config::SmppEndpointSettings& kind) {
  relay::CallResult e;
  const char* name = smpp::name_of(response.status);
  e.detail = *name != '\0' ? name : "status " + std::to_string(response.status);
  const auto proof = proof_of(response.status, kind);
  // A generic_nack means that the peer could not read the PDU, not that it accepted it, whatever its status.
  if (proof == Proof::ran && response.command == smpp::Command::generic_nack)
    e.outcome = Outcome::error;
  else
    e.outcome = proof == Proof::ran       ? Outcome::served
                : proof == Proof::refused ? Outcome::full
                : proof == Proof::not_run ? Outcome::not_sent
                                          : Outcome::error;
  const auto* body = std::get_if<smpp::MessageResp>(&response.body);
  if (body == nullptr) return e;
  if (e.outcome == Outcome::served) e.location = body->message_id;
  // v5 section 4.8.4.18: 0 idle to 100 congested.
  if (const auto congestion = smpp::tlv_number(body->tlvs, smpp::tag::congestion_state);
      congestion && *congestion <= 100)
    e.report.limit_left = 1 - static_cast<double>(*congestion) / 100;
  if (const auto wait = smpp::tlv_number(body->tlvs, own::wait); wait && kind.own_tags)
    e.told_wait = std::min<Time>(static_cast<Time>(*wait) * kSecond, kMaxToldWait);
  return e;
}

relay::CallResult result_of_parts(const std::vector<relay::CallResult>& parts, bool sent_all) {
  relay::CallResult whole;
  whole.outcome = Outcome::not_sent, whole.detail = "nothing was sent";
  std::size_t ran = 0, not_run = 0;
  const relay::CallResult* worst = nullptr;
  for (const auto& p : parts) {
    whole.told_wait = std::max(whole.told_wait, p.told_wait);
    if (p.report.limit_left >= 0) whole.report = p.report;
    if (p.outcome == Outcome::served) {
      ran++;
      if (whole.location.empty()) whole.location = p.location;
      continue;
    }
    const bool proved =
        p.outcome == Outcome::full || p.outcome == Outcome::not_sent || p.outcome == Outcome::connect_failed;
    not_run += proved;
    // Reports the least certain outcome; among refusals, the one that concerns the endpoint itself.
    if (worst == nullptr || !proved || (p.outcome == Outcome::full && worst->outcome == Outcome::not_sent))
      worst = &p;
  }
  if (worst == nullptr) {
    if (ran > 0) whole.outcome = sent_all ? Outcome::served : Outcome::error;
    if (ran > 0) whole.detail = sent_all ? parts.back().detail : "some of its parts were never sent";
    return whole;
  }
  whole.detail = worst->detail;
  whole.outcome = worst->outcome;
  if (ran > 0 && not_run > 0 && ran + not_run == parts.size())
    whole.outcome = Outcome::error, whole.detail += " for a part, after others were taken";
  whole.location.clear();
  return whole;
}

const char* unsupported_reason(const config::SmppEndpointSettings& kind, const relay::NewMessage& m,
                               Effect effect) {
  if (m.recipient.empty() && kind.recipient.empty())
    return "the destination takes short messages: the Recipient field is missing";
  if (effect == Effect::keyed && !kind.own_tags)
    return "the destination knows no keys, and the class is keyed";
  return nullptr;
}

smpp::Address parse_address(const std::string& text) {
  if (text.empty()) return {};
  const bool plus = text.front() == '+';
  const std::string rest = text.substr(plus ? 1 : 0);
  if (std::all_of(rest.begin(), rest.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return {static_cast<std::uint8_t>(plus ? 1 : 0), 1, rest};
  return {5, 0, text};
}

std::string format_address(const smpp::Address& a) { return a.ton == 1 ? "+" + a.digits : a.digits; }

std::string format_relative_time(Time span) {
  // Section 7.1.1.2 has years and months too, but their length varies, so only days and smaller units are
  // used.
  auto s = std::max<Time>(1, (span + kSecond - 1) / kSecond);
  s = std::min<Time>(s, 30LL * 24 * 3600 - 1);
  return "0000" + two_digits(s / 86'400) + two_digits(s / 3600 % 24) + two_digits(s / 60 % 60) +
         two_digits(s % 60) + "000R";
}

std::string format_receipt_time(Time wall) {
  const tm t = utc(wall);
  return two_digits(t.tm_year) + two_digits(t.tm_mon + 1) + two_digits(t.tm_mday) + two_digits(t.tm_hour) +
         two_digits(t.tm_min);
}

std::optional<Time> time_until(const std::string& text, Time wall) {
  if (text.size() != 16) return std::nullopt;
  const std::string_view v(text);
  int f[6];
  for (std::size_t i = 0; i < 6; i++) {
    const auto n = parse_digits(v.substr(i * 2, 2));
    if (!n) return std::nullopt;
    f[i] = *n;
  }
  const auto tenths = parse_digits(v.substr(12, 1)), quarters = parse_digits(v.substr(13, 2));
  if (!tenths || !quarters || f[3] > 23 || f[4] > 59 || f[5] > 59) return std::nullopt;
  const char sign = v[15];
  tm t{};
  if (sign == 'R') {
    if (f[1] > 12 || f[2] > 31) return std::nullopt;
    // Added in calendar units, so that a month has the length of that month.
    t = utc(wall);
    t.tm_year += f[0], t.tm_mon += f[1], t.tm_mday += f[2], t.tm_hour += f[3], t.tm_min += f[4],
        t.tm_sec += f[5];
    return std::max<Time>(0, timegm(&t) * kSecond + wall % kSecond - wall);
  }
  if ((sign != '+' && sign != '-') || *quarters > 48 || f[1] < 1 || f[1] > 12 || f[2] < 1 || f[2] > 31)
    return std::nullopt;
  t.tm_year = f[0] + 100, t.tm_mon = f[1] - 1, t.tm_mday = f[2], t.tm_hour = f[3], t.tm_min = f[4],
  t.tm_sec = f[5];
  const Time offset = *quarters * 15 * 60;  // seconds from UTC; with '+', local time is ahead
  const Time at = (timegm(&t) - (sign == '+' ? offset : -offset)) * kSecond + *tenths * 100'000;
  return std::max<Time>(0, at - wall);
}

std::vector<smpp::Message> encode_submits(const relay::NewMessage& m, const std::string& message_class,
                                          const config::SmppEndpointSettings& kind, Time left,
                                          std::uint16_t reference) {
  smpp::Message s;
  const auto type = kind.service_types.find(message_class);
  if (type != kind.service_types.end()) s.service_type = type->second;
  s.source = parse_address(m.sender.empty() ? kind.sender : m.sender);
  s.destination = parse_address(m.recipient.empty() ? kind.recipient : m.recipient);
  if (s.destination.digits.empty()) throw std::invalid_argument("no recipient");
  s.priority = priority_of(m.urgency);
  s.validity = format_relative_time(left);
  if (kind.own_tags && !m.idempotency_key.empty()) s.tlvs.push_back({own::key, m.idempotency_key});
  if (kind.own_tags && !m.topic.empty()) s.tlvs.push_back({own::topic, m.topic});
  using Long = config::SmppEndpointSettings::LongMessageMode;
  const auto how = kind.long_messages == Long::udh   ? smpp::Split::udh
                   : kind.long_messages == Long::sar ? smpp::Split::sar
                                                     : smpp::Split::payload;
  const auto coding = is_text(m) ? smpp::shortest_coding(m.body) : std::nullopt;
  if (!coding) return smpp::split_message(s, m.body, smpp::Coding::octets, how, reference);
  return smpp::split_message(s, *smpp::encode_text(m.body, *coding), *coding, how, reference);
}

std::optional<Content> decode_content(std::string_view text, std::uint8_t data_coding) {
  using smpp::Coding;
  // Section 5.2.19: 0 the default alphabet, 1 ASCII, 3 Latin-1, 8 UCS-2, 2 and 4 octets. Any other
  // value is treated as octets.
  const auto as = [&](Coding c) -> std::optional<Content> {
    auto utf8 = smpp::decode_text(text, c);
    if (!utf8) return std::nullopt;
    return Content{std::move(*utf8), "text/plain;charset=utf-8"};
  };
  switch (data_coding) {
    case 0:
      return as(Coding::gsm7);
    case 1:
      if (std::any_of(text.begin(), text.end(), [](char c) { return (c & 0x80) != 0; })) return std::nullopt;
      return as(Coding::latin1);
    case 3:
      return as(Coding::latin1);
    case 8:
      return as(Coding::ucs2);
    default:
      return Content{std::string(text), "application/octet-stream"};
  }
}

smpp::Message encode_receipt(const Receipt& r) {
  using State = Receipt::State;
  const bool served = r.state == State::served;
  const std::uint8_t state = served ? kDelivered : r.state == State::refused ? kRejected : kUnknown;
  const char* stat = served ? "DELIVRD" : r.state == State::refused ? "REJECTD" : "UNKNOWN";
  smpp::Message m;
  m.esm_class = kEsmReceipt;
  m.service_type = r.service_type;
  m.source = r.destination, m.destination = r.source;  // goes back to the sender
  std::string plain;
  for (const char c : r.text.substr(0, 20)) plain += c >= ' ' && c < 0x7f ? c : '.';
  m.text = "id:" + r.message_id + " sub:001 dlvrd:" + (served ? "001" : "000") +
           " submit date:" + format_receipt_time(r.accepted_wall) +
           " done date:" + format_receipt_time(r.ended_wall) + " stat:" + stat + " err:000 text:" + plain;
  m.tlvs.push_back({smpp::tag::receipted_message_id, r.message_id + '\0'});
  m.tlvs.push_back(smpp::make_tlv(smpp::tag::message_state, state, 1));
  if (r.come_back > 0)
    m.tlvs.push_back(
        smpp::make_tlv(own::wait, static_cast<std::uint32_t>((r.come_back + kSecond - 1) / kSecond), 4));
  return m;
}

std::optional<ReceiptFields> parse_receipt(const smpp::Message& m) {
  if ((m.esm_class & 0x3c) != kEsmReceipt) return std::nullopt;
  ReceiptFields says;
  if (const auto* id = smpp::find_tlv(m.tlvs, smpp::tag::receipted_message_id))
    says.message_id = id->value.substr(0, id->value.find('\0'));
  if (const auto state = smpp::tlv_number(m.tlvs, smpp::tag::message_state))
    says.state = static_cast<std::uint8_t>(*state);
  if (const auto wait = smpp::tlv_number(m.tlvs, own::wait))
    says.come_back = static_cast<Time>(*wait) * kSecond;
  const auto field = [&](const char* key) {
    const auto at = m.text.find(key);
    if (at == std::string::npos) return std::string();
    const auto from = at + std::string_view(key).size();
    return m.text.substr(from, m.text.find(' ', from) - from);
  };
  if (says.message_id.empty()) says.message_id = field("id:");
  if (says.state == 0) {
    static constexpr std::pair<const char*, std::uint8_t> kWords[] = {
        {"DELIVRD", kDelivered}, {"EXPIRED", kExpired}, {"DELETED", kDeleted}, {"UNDELIV", kUndeliverable},
        {"ACCEPTD", kAccepted},  {"UNKNOWN", kUnknown}, {"REJECTD", kRejected}};
    const auto stat = field("stat:");
    for (const auto& [name, state] : kWords)
      if (stat == name) says.state = state;
  }
  return says;
}

}  // namespace cedarplank::sms
