// Texts of short messages: encoding in the GSM 7-bit default alphabet with its extension table (3GPP
// TS 23.038), Latin-1 and UCS-2, and splitting long messages into parts (TS 23.040 section 9.2.3.24.1; SMPP
// v3.4 sections 5.3.2.22 to 24). Does no I/O.
//
// In SMPP a message in the default alphabet has one septet in each octet; the message centre packs them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "smpp/pdu.hpp"

namespace cedarplank::smpp {

enum class Coding : std::uint8_t {
  gsm7 = 0x00,
  latin1 = 0x03,
  octets = 0x04,
  ucs2 = 0x08
};  // data_coding, 5.2.19

// Encodes a UTF-8 text. Nothing where a character is not in the alphabet, or the text is not valid UTF-8.
std::optional<std::string> encode_text(std::string_view utf8, Coding coding);
// Decodes to UTF-8. Nothing where the bytes are not valid in that alphabet (UCS-2: an odd number of bytes, or
// half a surrogate pair).
std::optional<std::string> decode_text(std::string_view bytes, Coding coding);
// The coding that needs the fewest parts for the text; of equals, the first of GSM 7-bit, Latin-1, UCS-2.
// Nothing where the text is not valid UTF-8.
std::optional<Coding> shortest_coding(std::string_view utf8);

// Splits an encoded text so that no part holds more than `most` octets and no character is split: an escape
// stays with the septet after it, and a surrogate pair stays together.
std::vector<std::string> split_text(std::string_view encoded, Coding coding, std::size_t most);

// How a long message is carried: in parts with user data headers or SAR parameters, or in one
// message_payload.
enum class Split { udh, sar, payload };
// A message with its text as one or more PDUs. `reference` distinguishes the parts of one message from those
// of another. Throws std::invalid_argument where it would take more than 255 parts, or a payload of more than
// 64 KiB.
std::vector<Message> split_message(const Message& message, std::string_view encoded, Coding coding, Split how,
                                   std::uint16_t reference);

// The position of a part in its long message.
struct PartInfo {
  std::uint16_t reference = 0;
  int number = 1, total = 1;  // numbers start at 1
};
struct ParsedText {
  std::string text;              // without its user data header
  std::optional<PartInfo> part;  // nothing: it is a complete message
};
// Extracts the text and the part information: from the user data header (8 or 16 bit references), SAR
// parameters or message_payload. Throws std::invalid_argument saying what is wrong: a header longer than its
// text, part 0 or beyond the total, or text in both short_message and message_payload.
ParsedText parse_text(const Message& message);

// Reassembles long messages. Bounded: beyond `most` incomplete messages, or `bytes` of their text, the oldest
// are discarded.
class MessageAssembler {
 public:
  explicit MessageAssembler(std::size_t most = 1000, std::size_t bytes = 16 * 1024 * 1024)
      : max_messages_(most), max_bytes_(bytes) {}
  // `from` identifies the sender, because senders choose references independently. Returns the whole text
  // once all parts are there.
  std::optional<std::string> add(const std::string& from, const PartInfo& part, std::string text);
  std::size_t incomplete_count() const { return incomplete_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct IncompleteMessage {
    std::string from;
    std::uint16_t reference = 0;
    int received = 0;  // parts received
    std::size_t bytes = 0;
    std::vector<std::optional<std::string>> parts;
  };
  void discard(std::vector<IncompleteMessage>::iterator it);
  std::size_t max_messages_, max_bytes_, bytes_ = 0;
  std::vector<IncompleteMessage> incomplete_;  // oldest first
};

}  // namespace cedarplank::smpp
