#include "smpp/pdu.hpp"

#include <algorithm>
#include <stdexcept>
#include <type_traits>

namespace cedarplank::smpp {
namespace {

constexpr std::size_t kMaxTlvs = 256;        // of one PDU
constexpr std::size_t kMaxRecipients = 254;  // section 4.5.1
constexpr std::size_t kMaxText = 254;        // section 4.4.1: sm_length

// A whole number, most significant byte first (section 3.1).
template <class T>
void put(std::string& out, T value) {
  for (int shift = (static_cast<int>(sizeof(T)) - 1) * 8; shift >= 0; shift -= 8)
    out += static_cast<char>(static_cast<std::uint64_t>(value) >> shift & 0xff);
}
std::uint32_t big_endian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

// Length limits of the values of optional parameters (section 5.3.2).
struct TlvBound {
  std::uint16_t tag;
  std::size_t min, max;
};
constexpr TlvBound kTlvBounds[] = {
    {tag::dest_addr_subunit, 1, 1},
    {tag::source_addr_subunit, 1, 1},
    {tag::payload_type, 1, 1},
    {tag::additional_status_info_text, 1, 256},
    {tag::receipted_message_id, 1, 65},
    {tag::ms_msg_wait_facilities, 1, 1},
    {tag::privacy_indicator, 1, 1},
    {tag::source_subaddress, 2, 23},
    {tag::dest_subaddress, 2, 23},
    {tag::user_message_reference, 2, 2},
    {tag::user_response_code, 1, 1},
    {tag::source_port, 2, 2},
    {tag::destination_port, 2, 2},
    {tag::sar_msg_ref_num, 2, 2},
    {tag::language_indicator, 1, 1},
    {tag::sar_total_segments, 1, 1},
    {tag::sar_segment_seqnum, 1, 1},
    {tag::sc_interface_version, 1, 1},
    {tag::callback_num, 4, 19},
    {tag::dpf_result, 1, 1},
    {tag::set_dpf, 1, 1},
    {tag::ms_availability_status, 1, 1},
    {tag::network_error_code, 3, 3},
    {tag::message_payload, 0, 65'535},
    {tag::delivery_failure_reason, 1, 1},
    {tag::more_messages_to_send, 1, 1},
    {tag::message_state, 1, 1},
    {tag::congestion_state, 1, 1},
    {tag::its_session_info, 2, 2},
};
const TlvBound* bound_of(std::uint16_t tag) {
  const auto it = std::find_if(std::begin(kTlvBounds), std::end(kTlvBounds),
                               [&](const TlvBound& b) { return b.tag == tag; });
  return it == std::end(kTlvBounds) ? nullptr : it;
}

// Writes the fields of a body. Throws std::invalid_argument where one exceeds its bound.
class FieldWriter {
 public:
  explicit FieldWriter(std::string& out) : out_(out) {}
  void u8(const char*, std::uint8_t value) { put(out_, value); }
  void u32(const char*, std::uint32_t value) { put(out_, value); }
  void text(const char* name, const std::string& value, std::size_t max, Status) {
    if (value.size() + 1 > max || value.find('\0') != std::string::npos)
      throw std::invalid_argument(std::string(name) + ": longer than its bound, or it holds a zero");
    out_ += value, out_ += '\0';
  }
  // An absolute or relative time (section 7.1.1): 16 characters, or empty.
  void time(const char* name, const std::string& value, Status) {
    if (!value.empty() && value.size() != 16)
      throw std::invalid_argument(std::string(name) + ": neither empty nor 16 characters");
    text(name, value, 17, 0);
  }
  void length_prefixed(const char* name, const std::string& value) {
    if (value.size() > kMaxText) throw std::invalid_argument(std::string(name) + ": longer than 254 bytes");
    put(out_, static_cast<std::uint8_t>(value.size()));
    out_ += value;
  }
  void tlvs(const Tlvs& tlvs) {
    if (tlvs.size() > kMaxTlvs) throw std::invalid_argument("optional parameters: too many");
    for (const auto& t : tlvs) {
      const auto* bound = bound_of(t.tag);
      if (t.value.size() > 65'535 ||
          (bound != nullptr && (t.value.size() < bound->min || t.value.size() > bound->max)))
        throw std::invalid_argument("optional parameter " + std::to_string(t.tag) + ": wrong length");
      put(out_, t.tag), put(out_, static_cast<std::uint16_t>(t.value.size()));
      out_ += t.value;
    }
  }
  template <class T, class Each>
  void list(const char* name, const std::vector<T>& items, std::size_t min, std::size_t max, Each each) {
    if (items.size() < min || items.size() > max)
      throw std::invalid_argument(std::string(name) + ": too few or too many");
    put(out_, static_cast<std::uint8_t>(items.size()));
    for (const auto& item : items) each(*this, item);
  }
  static constexpr bool kReads = false;

 private:
  std::string& out_;
};

// Reads the fields of a body. After the first invalid field the others keep their defaults.
class FieldReader {
 public:
  explicit FieldReader(std::string_view in) : in_(in) {}
  void u8(const char* name, std::uint8_t& value) {
    if (const auto bytes = take_bytes(name, 1); !bytes.empty()) value = static_cast<std::uint8_t>(bytes[0]);
  }
  void u32(const char* name, std::uint32_t& value) {
    if (const auto bytes = take_bytes(name, 4); !bytes.empty()) value = big_endian(bytes);
  }
  void text(const char* name, std::string& value, std::size_t max, Status status) {
    if (wrong_) return;
    const auto end = in_.substr(0, max).find('\0');
    if (end == std::string_view::npos)
      return in_.size() < max ? fail(status::invalid_command_length, name, "is not NUL-terminated")
                              : fail(status, name, "is longer than its bound");
    value.assign(in_.substr(0, end));
    in_.remove_prefix(end + 1);
  }
  void time(const char* name, std::string& value, Status status) {
    text(name, value, 17, status);
    if (!wrong_ && !value.empty() && value.size() != 16)
      fail(status, name, "is neither empty nor 16 characters");
  }
  void length_prefixed(const char* name, std::string& value) {
    std::uint8_t size = 0;
    u8(name, size);
    if (!wrong_ && size > kMaxText)
      return fail(status::invalid_message_length, name, "is longer than 254 bytes");
    if (!wrong_ && in_.size() < size)
      return fail(status::invalid_message_length, name, "is longer than what is left");
    if (!wrong_) value.assign(in_.substr(0, size)), in_.remove_prefix(size);
  }
  void tlvs(Tlvs& tlvs) {
    while (!wrong_ && !in_.empty()) {
      if (in_.size() < 4)
        return fail(status::invalid_tlv_stream, "optional parameters", "end in the middle of one");
      Tlv t;
      t.tag = static_cast<std::uint16_t>(big_endian(in_.substr(0, 2)));
      const std::size_t size = big_endian(in_.substr(2, 2));
      in_.remove_prefix(4);
      if (in_.size() < size)
        return fail(status::invalid_tlv_stream, "an optional parameter", "is longer than what is left");
      const auto* bound = bound_of(t.tag);
      if (bound != nullptr && (size < bound->min || size > bound->max))
        return fail(status::invalid_tlv_length, "an optional parameter", "has a wrong length");
      if (tlvs.size() >= kMaxTlvs)
        return fail(status::invalid_tlv_stream, "optional parameters", "are too many");
      t.value.assign(in_.substr(0, size));
      in_.remove_prefix(size);
      tlvs.push_back(std::move(t));
    }
  }
  template <class T, class Each>
  void list(const char* name, std::vector<T>& items, std::size_t min, std::size_t max, Each each) {
    std::uint8_t n = 0;
    u8(name, n);
    if (!wrong_ && (n < min || n > max))
      return fail(status::invalid_destinations, name, "are too few or too many");
    for (std::size_t i = 0; !wrong_ && i < n; i++) each(*this, items.emplace_back());
  }
  void fail(Status status, const char* name, const char* how) {
    if (!wrong_) wrong_ = DecodeError{status, std::string(name) + ' ' + how};
  }
  bool empty() const { return in_.empty(); }
  const std::optional<DecodeError>& wrong() const { return wrong_; }
  static constexpr bool kReads = true;

 private:
  std::string_view take_bytes(const char* name, std::size_t n) {
    if (wrong_) return {};
    if (in_.size() < n) {
      fail(status::invalid_command_length, name, "is missing");
      return {};
    }
    const auto bytes = in_.substr(0, n);
    in_.remove_prefix(n);
    return bytes;
  }
  std::string_view in_;
  std::optional<DecodeError> wrong_;
};

// One description of each body serves both directions: `V` is FieldWriter or FieldReader; `B` is the body,
// const when it is written.
template <class B, class T>
concept SameBody = std::is_same_v<std::remove_const_t<B>, T>;

constexpr std::size_t kAddressMax = 21, kLongAddressMax = 65;
template <class V, class A>
void address(V& v, const char* name, A& a, std::size_t max, Status status) {
  v.u8(name, a.ton), v.u8(name, a.npi), v.text(name, a.digits, max, status);
}
template <class V, class A>
void source(V& v, A& a, std::size_t max = kAddressMax) {
  address(v, "source_addr", a, max, status::invalid_source);
}
template <class V, class A>
void destination(V& v, A& a, std::size_t max = kAddressMax) {
  address(v, "destination_addr", a, max, status::invalid_destination);
}
template <class V, class T>
void service_type(V& v, T& t) {
  v.text("service_type", t, 6, status::invalid_service_type);
}
template <class V, class T>
void message_id(V& v, T& t) {
  v.text("message_id", t, 65, status::invalid_message_id);
}

template <class V, SameBody<Empty> B>
void fields(V&, B&) {}
template <class V, SameBody<Bind> B>
void fields(V& v, B& b) {
  v.text("system_id", b.system_id, 16, status::invalid_system_id);
  v.text("password", b.password, 9, status::wrong_password);
  v.text("system_type", b.system_type, 13, status::invalid_system_type);
  v.u8("interface_version", b.interface_version);
  address(v, "address_range", b.range, 41, status::bind_failed);
}
template <class V, SameBody<BindResp> B>
void fields(V& v, B& b) {
  v.text("system_id", b.system_id, 16, status::invalid_system_id);
  v.tlvs(b.tlvs);
}
template <class V, SameBody<Outbind> B>
void fields(V& v, B& b) {
  v.text("system_id", b.system_id, 16, status::invalid_system_id);
  v.text("password", b.password, 9, status::wrong_password);
}
// The fields that submit_sm and submit_multi have after the destination.
template <class V, class B>
void message_tail(V& v, B& b) {
  v.u8("esm_class", b.esm_class), v.u8("protocol_id", b.protocol_id), v.u8("priority_flag", b.priority);
  v.time("schedule_delivery_time", b.schedule, status::invalid_schedule);
  v.time("validity_period", b.validity, status::invalid_validity);
  v.u8("registered_delivery", b.registered_delivery);
  v.u8("replace_if_present_flag", b.replace_if_present), v.u8("data_coding", b.data_coding);
  v.u8("sm_default_msg_id", b.default_message);
  v.length_prefixed("short_message", b.text);
  v.tlvs(b.tlvs);
}
template <class V, SameBody<Message> B>
void fields(V& v, B& b) {
  service_type(v, b.service_type);
  source(v, b.source), destination(v, b.destination);
  message_tail(v, b);
}
template <class V, SameBody<MessageResp> B>
void fields(V& v, B& b) {
  message_id(v, b.message_id);
  v.tlvs(b.tlvs);
}
template <class V, SameBody<Multi> B>
void fields(V& v, B& b) {
  service_type(v, b.message.service_type);
  source(v, b.message.source);
  v.list("dest_address", b.recipients, 1, kMaxRecipients, [](V& w, auto& r) {
    std::uint8_t kind = r.list.empty() ? 1 : 2;
    w.u8("dest_flag", kind);
    if (kind == 1) return destination(w, r.address);
    if (kind == 2) return w.text("dl_name", r.list, 21, status::invalid_list_name);
    if constexpr (V::kReads) w.fail(status::invalid_destinations, "dest_flag", "is neither 1 nor 2");
  });
  message_tail(v, b.message);
}
template <class V, SameBody<MultiResp> B>
void fields(V& v, B& b) {
  message_id(v, b.message_id);
  v.list("unsuccess_sme", b.failed, 0, 255, [](V& w, auto& f) {
    destination(w, f.address);
    w.u32("error_status_code", f.error);
  });
  v.tlvs(b.tlvs);
}
template <class V, SameBody<Data> B>
void fields(V& v, B& b) {
  service_type(v, b.service_type);
  source(v, b.source, kLongAddressMax), destination(v, b.destination, kLongAddressMax);
  v.u8("esm_class", b.esm_class), v.u8("registered_delivery", b.registered_delivery);
  v.u8("data_coding", b.data_coding);
  v.tlvs(b.tlvs);
}
template <class V, SameBody<Query> B>
void fields(V& v, B& b) {
  message_id(v, b.message_id);
  source(v, b.source);
}
template <class V, SameBody<QueryResp> B>
void fields(V& v, B& b) {
  message_id(v, b.message_id);
  v.time("final_date", b.final_date, status::query_failed);
  v.u8("message_state", b.message_state), v.u8("error_code", b.error_code);
}
template <class V, SameBody<Cancel> B>
void fields(V& v, B& b) {
  service_type(v, b.service_type);
  message_id(v, b.message_id);
  source(v, b.source), destination(v, b.destination);
}
template <class V, SameBody<Replace> B>
void fields(V& v, B& b) {
  message_id(v, b.message_id);
  source(v, b.source);
  v.time("schedule_delivery_time", b.schedule, status::invalid_schedule);
  v.time("validity_period", b.validity, status::invalid_validity);
  v.u8("registered_delivery", b.registered_delivery), v.u8("sm_default_msg_id", b.default_message);
  v.length_prefixed("short_message", b.text);
}
template <class V, SameBody<Alert> B>
void fields(V& v, B& b) {
  source(v, b.source, kLongAddressMax);
  address(v, "esme_addr", b.esme, kLongAddressMax, status::invalid_destination);
  v.tlvs(b.tlvs);
}

struct CommandInfo {
  Command command;
  const char* name;
  Body (*empty_body)();
};
template <class B>
Body empty_body() {
  return B{};
}
constexpr CommandInfo kCommands[] = {
    {Command::bind_receiver, "bind_receiver", empty_body<Bind>},
    {Command::bind_transmitter, "bind_transmitter", empty_body<Bind>},
    {Command::query_sm, "query_sm", empty_body<Query>},
    {Command::submit_sm, "submit_sm", empty_body<Message>},
    {Command::deliver_sm, "deliver_sm", empty_body<Message>},
    {Command::unbind, "unbind", empty_body<Empty>},
    {Command::replace_sm, "replace_sm", empty_body<Replace>},
    {Command::cancel_sm, "cancel_sm", empty_body<Cancel>},
    {Command::bind_transceiver, "bind_transceiver", empty_body<Bind>},
    {Command::outbind, "outbind", empty_body<Outbind>},
    {Command::enquire_link, "enquire_link", empty_body<Empty>},
    {Command::submit_multi, "submit_multi", empty_body<Multi>},
    {Command::alert_notification, "alert_notification", empty_body<Alert>},
    {Command::data_sm, "data_sm", empty_body<Data>},
    {Command::generic_nack, "generic_nack", empty_body<Empty>},
    {Command::bind_receiver_resp, "bind_receiver_resp", empty_body<BindResp>},
    {Command::bind_transmitter_resp, "bind_transmitter_resp", empty_body<BindResp>},
    {Command::query_sm_resp, "query_sm_resp", empty_body<QueryResp>},
    {Command::submit_sm_resp, "submit_sm_resp", empty_body<MessageResp>},
    {Command::deliver_sm_resp, "deliver_sm_resp", empty_body<MessageResp>},
    {Command::unbind_resp, "unbind_resp", empty_body<Empty>},
    {Command::replace_sm_resp, "replace_sm_resp", empty_body<Empty>},
    {Command::cancel_sm_resp, "cancel_sm_resp", empty_body<Empty>},
    {Command::bind_transceiver_resp, "bind_transceiver_resp", empty_body<BindResp>},
    {Command::enquire_link_resp, "enquire_link_resp", empty_body<Empty>},
    {Command::submit_multi_resp, "submit_multi_resp", empty_body<MultiResp>},
    {Command::data_sm_resp, "data_sm_resp", empty_body<MessageResp>},
};
const CommandInfo* command_info(Command command) {
  const auto it = std::find_if(std::begin(kCommands), std::end(kCommands),
                               [&](const CommandInfo& k) { return k.command == command; });
  return it == std::end(kCommands) ? nullptr : it;
}

}  // namespace

const char* name_of(Command command) {
  const auto* k = command_info(command);
  return k == nullptr ? "" : k->name;
}

const char* name_of(Status s) {
  static constexpr std::pair<Status, const char*> kNames[] = {
      {0x0, "ESME_ROK"},
      {0x1, "ESME_RINVMSGLEN"},
      {0x2, "ESME_RINVCMDLEN"},
      {0x3, "ESME_RINVCMDID"},
      {0x4, "ESME_RINVBNDSTS"},
      {0x5, "ESME_RALYBND"},
      {0x6, "ESME_RINVPRTFLG"},
      {0x7, "ESME_RINVREGDLVFLG"},
      {0x8, "ESME_RSYSERR"},
      {0xa, "ESME_RINVSRCADR"},
      {0xb, "ESME_RINVDSTADR"},
      {0xc, "ESME_RINVMSGID"},
      {0xd, "ESME_RBINDFAIL"},
      {0xe, "ESME_RINVPASWD"},
      {0xf, "ESME_RINVSYSID"},
      {0x11, "ESME_RCANCELFAIL"},
      {0x13, "ESME_RREPLACEFAIL"},
      {0x14, "ESME_RMSGQFUL"},
      {0x15, "ESME_RINVSERTYP"},
      {0x33, "ESME_RINVNUMDESTS"},
      {0x34, "ESME_RINVDLNAME"},
      {0x40, "ESME_RINVDESTFLAG"},
      {0x42, "ESME_RINVSUBREP"},
      {0x43, "ESME_RINVESMCLASS"},
      {0x44, "ESME_RCNTSUBDL"},
      {0x45, "ESME_RSUBMITFAIL"},
      {0x48, "ESME_RINVSRCTON"},
      {0x49, "ESME_RINVSRCNPI"},
      {0x50, "ESME_RINVDSTTON"},
      {0x51, "ESME_RINVDSTNPI"},
      {0x53, "ESME_RINVSYSTYP"},
      {0x54, "ESME_RINVREPFLAG"},
      {0x55, "ESME_RINVNUMMSGS"},
      {0x58, "ESME_RTHROTTLED"},
      {0x61, "ESME_RINVSCHED"},
      {0x62, "ESME_RINVEXPIRY"},
      {0x63, "ESME_RINVDFTMSGID"},
      {0x64, "ESME_RX_T_APPN"},
      {0x65, "ESME_RX_P_APPN"},
      {0x66, "ESME_RX_R_APPN"},
      {0x67, "ESME_RQUERYFAIL"},
      {0xc0, "ESME_RINVOPTPARSTREAM"},
      {0xc1, "ESME_ROPTPARNOTALLWD"},
      {0xc2, "ESME_RINVPARLEN"},
      {0xc3, "ESME_RMISSINGOPTPARAM"},
      {0xc4, "ESME_RINVOPTPARAMVAL"},
      {0xfe, "ESME_RDELIVERYFAILURE"},
      {0xff, "ESME_RUNKNOWNERR"},
  };
  for (const auto& [status, name] : kNames)
    if (status == s) return name;
  return "";
}

const Tlv* find_tlv(const Tlvs& tlvs, std::uint16_t tag) {
  const auto it = std::find_if(tlvs.begin(), tlvs.end(), [&](const Tlv& t) { return t.tag == tag; });
  return it == tlvs.end() ? nullptr : &*it;
}

std::optional<std::uint32_t> tlv_number(const Tlvs& tlvs, std::uint16_t tag) {
  const auto* t = find_tlv(tlvs, tag);
  if (t == nullptr || t->value.empty() || t->value.size() > 4) return std::nullopt;
  return big_endian(t->value);
}

Tlv make_tlv(std::uint16_t tag, std::uint32_t value, int bytes) {
  Tlv t{tag, {}};
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    t.value += static_cast<char>(value >> shift & 0xff);
  return t;
}

void encode(const Pdu& pdu, std::string& out) {
  const auto* k = command_info(pdu.command);
  if (k == nullptr) throw std::invalid_argument("command_id: unknown");
  if (k->empty_body().index() != pdu.body.index())
    throw std::invalid_argument(std::string(k->name) + ": the body belongs to another command");
  const std::size_t start = out.size();
  put(out, std::uint32_t{0});
  put(out, static_cast<std::uint32_t>(pdu.command)), put(out, pdu.status), put(out, pdu.sequence);
  // Section 4.4.2: a response with an error status has no body, unless its fields are set (4.7.2).
  const bool omit_body = is_response(pdu.command) && pdu.status != status::ok && pdu.body == k->empty_body();
  try {
    FieldWriter v(out);
    if (!omit_body) std::visit([&](const auto& body) { fields(v, body); }, pdu.body);
  } catch (...) {
    out.resize(start);
    throw;
  }
  std::string length;
  put(length, static_cast<std::uint32_t>(out.size() - start));
  out.replace(start, 4, length);
}

std::variant<Pdu, DecodeError> decode(std::string_view bytes, Pdu* header) {
  Pdu pdu;
  if (bytes.size() < kHeaderSize || big_endian(bytes.substr(0, 4)) != bytes.size())
    return DecodeError{status::invalid_command_length, "command_length is not the PDU's length"};
  pdu.command = static_cast<Command>(big_endian(bytes.substr(4, 4)));
  pdu.status = big_endian(bytes.substr(8, 4)), pdu.sequence = big_endian(bytes.substr(12, 4));
  if (header != nullptr) *header = pdu;
  const auto* k = command_info(pdu.command);
  if (k == nullptr) return DecodeError{status::invalid_command, "command_id is unknown"};
  pdu.body = k->empty_body();
  FieldReader v(bytes.substr(kHeaderSize));
  const bool error = is_response(pdu.command) && pdu.status != status::ok;
  // Peers leave out the message_id of these, which carries no information (sections 4.6.2 and 4.7.2).
  const bool body_optional = pdu.command == Command::deliver_sm_resp || pdu.command == Command::data_sm_resp;
  if (!(v.empty() && (error || body_optional))) std::visit([&](auto& body) { fields(v, body); }, pdu.body);
  if (!v.wrong() && !v.empty()) v.fail(status::invalid_command_length, "the PDU", "has bytes after its body");
  if (v.wrong()) return *v.wrong();
  return pdu;
}

std::optional<std::string_view> Framer::next() {
  if (read_offset_ > 0 && (read_offset_ == buffer_.size() || read_offset_ > 64 * 1024))
    buffer_.erase(0, read_offset_), read_offset_ = 0;
  if (failed_ || buffer_.size() - read_offset_ < 4) return std::nullopt;
  const std::size_t length = big_endian(std::string_view(buffer_).substr(read_offset_, 4));
  // Checked as soon as the first four bytes are there, so that a peer cannot make this side wait for, or
  // buffer, 4 GB.
  if (length < kHeaderSize || length > max_pdu_size_) {
    failed_ = true;
    return std::nullopt;
  }
  if (buffer_.size() - read_offset_ < length) return std::nullopt;
  const auto pdu = std::string_view(buffer_).substr(read_offset_, length);
  read_offset_ += length;
  return pdu;
}

}  // namespace cedarplank::smpp
