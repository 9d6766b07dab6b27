// SMPP v3.4 protocol data units, with the parts of v5.0 that peers expect: structures, encoding and decoding.
// Does no I/O.
//
// Source: "SMPP Protocol Specification v3.4", SMPP Developers Forum, 1999 (below: section numbers alone), and
// "Short Message Peer-to-Peer Protocol Specification Version 5.0", 2003 (below: v5). Every length that a peer
// states is checked against the specification's bound before anything is read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cedarplank::smpp {

constexpr std::size_t kHeaderSize = 16;              // section 3.2
constexpr std::uint32_t kResponseBit = 0x8000'0000;  // this bit of a command id marks a response
constexpr std::uint32_t kMaxSequence = 0x7fff'ffff;  // section 5.1.4

enum class Command : std::uint32_t {  // section 5.1.2.1
  bind_receiver = 0x1,
  bind_transmitter = 0x2,
  query_sm = 0x3,
  submit_sm = 0x4,
  deliver_sm = 0x5,
  unbind = 0x6,
  replace_sm = 0x7,
  cancel_sm = 0x8,
  bind_transceiver = 0x9,
  outbind = 0xb,
  enquire_link = 0x15,
  submit_multi = 0x21,
  alert_notification = 0x102,
  data_sm = 0x103,
  generic_nack = 0x8000'0000,
  bind_receiver_resp = 0x8000'0001,
  bind_transmitter_resp = 0x8000'0002,
  query_sm_resp = 0x8000'0003,
  submit_sm_resp = 0x8000'0004,
  deliver_sm_resp = 0x8000'0005,
  unbind_resp = 0x8000'0006,
  replace_sm_resp = 0x8000'0007,
  cancel_sm_resp = 0x8000'0008,
  bind_transceiver_resp = 0x8000'0009,
  enquire_link_resp = 0x8000'0015,
  submit_multi_resp = 0x8000'0021,
  data_sm_resp = 0x8000'0103
};
// The command's name in the specification; empty where the id is unknown.
const char* name_of(Command command);
constexpr bool is_response(Command c) { return (static_cast<std::uint32_t>(c) & kResponseBit) != 0; }
constexpr Command response_to(Command c) {
  return static_cast<Command>(static_cast<std::uint32_t>(c) | kResponseBit);
}

using Status = std::uint32_t;
namespace status {  // section 5.1.3; the ones that this program sends or handles
constexpr Status ok = 0x0, invalid_message_length = 0x1, invalid_command_length = 0x2, invalid_command = 0x3,
                 wrong_bind_state = 0x4, already_bound = 0x5, invalid_priority = 0x6,
                 invalid_registered_delivery = 0x7, system_error = 0x8, invalid_source = 0xa,
                 invalid_destination = 0xb, invalid_message_id = 0xc, bind_failed = 0xd, wrong_password = 0xe,
                 invalid_system_id = 0xf, cancel_failed = 0x11, replace_failed = 0x13, queue_full = 0x14,
                 invalid_service_type = 0x15, invalid_destinations = 0x33, invalid_list_name = 0x34,
                 invalid_esm_class = 0x43, cannot_submit_to_list = 0x44, submit_failed = 0x45,
                 invalid_source_ton = 0x48, invalid_source_npi = 0x49, invalid_destination_ton = 0x50,
                 invalid_destination_npi = 0x51, invalid_system_type = 0x53, invalid_replace_flag = 0x54,
                 invalid_message_count = 0x55, throttled = 0x58, invalid_schedule = 0x61,
                 invalid_validity = 0x62, invalid_default_message = 0x63, receiver_temporary = 0x64,
                 receiver_permanent = 0x65, receiver_reject = 0x66, query_failed = 0x67,
                 invalid_tlv_stream = 0xc0, tlv_not_allowed = 0xc1, invalid_tlv_length = 0xc2,
                 missing_tlv = 0xc3, invalid_tlv_value = 0xc4, delivery_failure = 0xfe, unknown_error = 0xff;
}  // namespace status
// The name in the specification, for example ESME_RTHROTTLED; empty for reserved and vendor-specific ones.
const char* name_of(Status status);

struct Tlv {  // optional parameter (tag, length, value), section 3.2.4.1
  std::uint16_t tag = 0;
  std::string value;
  bool operator==(const Tlv&) const = default;
};
using Tlvs = std::vector<Tlv>;
namespace tag {  // section 5.3.2
constexpr std::uint16_t dest_addr_subunit = 0x0005, source_addr_subunit = 0x000d, payload_type = 0x0019,
                        additional_status_info_text = 0x001d, receipted_message_id = 0x001e,
                        ms_msg_wait_facilities = 0x0030, privacy_indicator = 0x0201,
                        source_subaddress = 0x0202, dest_subaddress = 0x0203, user_message_reference = 0x0204,
                        user_response_code = 0x0205, source_port = 0x020a, destination_port = 0x020b,
                        sar_msg_ref_num = 0x020c, language_indicator = 0x020d, sar_total_segments = 0x020e,
                        sar_segment_seqnum = 0x020f, sc_interface_version = 0x0210, callback_num = 0x0381,
                        dpf_result = 0x0420, set_dpf = 0x0421, ms_availability_status = 0x0422,
                        network_error_code = 0x0423, message_payload = 0x0424,
                        delivery_failure_reason = 0x0425, more_messages_to_send = 0x0426,
                        message_state = 0x0427,
                        congestion_state = 0x0428,  // v5 section 4.8.4.18
    its_session_info = 0x1383;
}  // namespace tag
// The first one with this tag; null where there is none.
const Tlv* find_tlv(const Tlvs& tlvs, std::uint16_t tag);
// The value of a TLV of one to four bytes as a number; nothing where it is missing or has another length.
std::optional<std::uint32_t> tlv_number(const Tlvs& tlvs, std::uint16_t tag);
// A TLV whose value is a number of this many bytes.
Tlv make_tlv(std::uint16_t tag, std::uint32_t value, int bytes);

struct Address {
  std::uint8_t ton = 0, npi = 0;  // type of number, numbering plan indicator
  std::string digits;
  bool operator==(const Address&) const = default;
};

// PDU bodies, section 4. Strings are C-octet strings without the terminating NUL.
struct Empty {
  bool operator==(const Empty&) const = default;
};
struct Bind {  // 4.1.1, 4.1.3, 4.1.5
  std::string system_id, password, system_type;
  std::uint8_t interface_version = 0x34;
  Address range;  // address_range
  bool operator==(const Bind&) const = default;
};
struct BindResp {
  std::string system_id;
  Tlvs tlvs;
  bool operator==(const BindResp&) const = default;
};
struct Outbind {  // 4.1.7
  std::string system_id, password;
  bool operator==(const Outbind&) const = default;
};
struct Message {  // submit_sm 4.4.1, deliver_sm 4.6.1
  std::string service_type;
  Address source, destination;
  std::uint8_t esm_class = 0, protocol_id = 0, priority = 0;
  std::string schedule, validity;
  std::uint8_t registered_delivery = 0, replace_if_present = 0, data_coding = 0, default_message = 0;
  std::string text;  // short_message
  Tlvs tlvs;
  bool operator==(const Message&) const = default;
};
struct MessageResp {  // submit_sm_resp, deliver_sm_resp, data_sm_resp
  std::string message_id;
  Tlvs tlvs;
  bool operator==(const MessageResp&) const = default;
};
struct Recipient {  // 4.5.1.1: an address, or a distribution list
  Address address;
  std::string list;  // name of the distribution list; empty: it is an address
  bool operator==(const Recipient&) const = default;
};
struct Multi {  // submit_multi 4.5.1; message.destination is not used
  std::vector<Recipient> recipients;
  Message message;
  bool operator==(const Multi&) const = default;
};
struct MultiResp {  // 4.5.2
  std::string message_id;
  struct Failed {
    Address address;
    Status error = 0;
    bool operator==(const Failed&) const = default;
  };
  std::vector<Failed> failed;
  Tlvs tlvs;
  bool operator==(const MultiResp&) const = default;
};
struct Data {  // data_sm 4.7.1
  std::string service_type;
  Address source, destination;
  std::uint8_t esm_class = 0, registered_delivery = 0, data_coding = 0;
  Tlvs tlvs;
  bool operator==(const Data&) const = default;
};
struct Query {  // 4.8.1
  std::string message_id;
  Address source;
  bool operator==(const Query&) const = default;
};
struct QueryResp {  // 4.8.2
  std::string message_id, final_date;
  std::uint8_t message_state = 0, error_code = 0;
  bool operator==(const QueryResp&) const = default;
};
struct Cancel {  // 4.9.1
  std::string service_type, message_id;
  Address source, destination;
  bool operator==(const Cancel&) const = default;
};
struct Replace {  // 4.10.1
  std::string message_id;
  Address source;
  std::string schedule, validity;
  std::uint8_t registered_delivery = 0, default_message = 0;
  std::string text;
  bool operator==(const Replace&) const = default;
};
struct Alert {  // alert_notification 4.12.1
  Address source, esme;
  Tlvs tlvs;
  bool operator==(const Alert&) const = default;
};
using Body = std::variant<Empty, Bind, BindResp, Outbind, Message, MessageResp, Multi, MultiResp, Data, Query,
                          QueryResp, Cancel, Replace, Alert>;

struct Pdu {
  Command command{};
  Status status = status::ok;
  std::uint32_t sequence = 0;
  Body body;
};

// Appends the encoded PDU to `out`. Throws std::invalid_argument, naming the field, where a field exceeds its
// bound or the body is not of that command, both of which are errors of the caller.
void encode(const Pdu& pdu, std::string& out);

struct DecodeError {
  Status status = status::ok;  // the status to answer with
  std::string what;            // description; names the field
};
// Decodes one complete PDU, whose command_length must be its size. Sets command, status and sequence of
// `header` even where the body is invalid. A response with an error status may lack its body (section 4.4.2).
std::variant<Pdu, DecodeError> decode(std::string_view bytes, Pdu* header = nullptr);

// Splits a byte stream into PDUs.
class Framer {
 public:
  // A PDU longer than `most` bytes is an error. By default a data_sm with a message_payload of 64 KiB fits.
  explicit Framer(std::size_t most = 70'000) : max_pdu_size_(most) {}
  void receive(std::string_view bytes) { buffer_.append(bytes); }
  // The bytes of the next complete PDU, valid until the next call. Nothing where more bytes are needed, or
  // after a failure.
  std::optional<std::string_view> next();
  // A command_length was out of bounds (section 3.2), so nothing after it can be read.
  bool failed() const { return failed_; }
  // Bytes received and not yet returned.
  std::size_t buffered() const { return buffer_.size() - read_offset_; }

 private:
  std::size_t max_pdu_size_, read_offset_ = 0;
  std::string buffer_;
  bool failed_ = false;
};

}  // namespace cedarplank::smpp
