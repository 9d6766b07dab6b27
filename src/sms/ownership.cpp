#include "sms/ownership.hpp"

#include <charconv>
#include <vector>

namespace cedarplank::sms {
namespace {

constexpr std::string_view kFormatTag = "smpp1";

// Writes the field with its length before it, so that it may contain any byte.
void put_field(std::string& to, std::string_view field) {
  to += std::to_string(field.size()), to += ':', to += field;
}
void put_field(std::string& to, const smpp::Address& a) {
  put_field(to, std::to_string(a.ton)), put_field(to, std::to_string(a.npi)), put_field(to, a.digits);
}

std::optional<std::vector<std::string>> split_fields(std::string_view bytes) {
  std::vector<std::string> fields;
  while (!bytes.empty()) {
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(bytes.data(), bytes.data() + bytes.size(), size);
    const auto used = static_cast<std::size_t>(end - bytes.data());
    if (error != std::errc() || used >= bytes.size() || bytes[used] != ':') return std::nullopt;
    bytes.remove_prefix(used + 1);
    if (size > bytes.size()) return std::nullopt;
    fields.emplace_back(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return fields;
}

std::int64_t parse_number(const std::string& text) { return std::strtoll(text.c_str(), nullptr, 10); }
smpp::Address read_address(const std::vector<std::string>& f, std::size_t at) {
  smpp::Address a;
  a.ton = static_cast<std::uint8_t>(parse_number(f[at])),
  a.npi = static_cast<std::uint8_t>(parse_number(f[at + 1]));
  a.digits = f[at + 2];
  return a;
}

}  // namespace

std::string encode_ownership(const Submission& s) {
  std::string bytes(kFormatTag);
  put_field(bytes, s.client), put_field(bytes, s.id), put_field(bytes, std::to_string(s.registered_delivery));
  put_field(bytes, std::to_string(s.receipt.accepted_wall)), put_field(bytes, s.receipt.text);
  put_field(bytes, s.receipt.service_type), put_field(bytes, s.receipt.source),
      put_field(bytes, s.receipt.destination);
  return bytes;
}

std::optional<Submission> decode_ownership(std::string_view ownership) {
  if (ownership.substr(0, kFormatTag.size()) != kFormatTag) return std::nullopt;
  const auto f = split_fields(ownership.substr(kFormatTag.size()));
  if (!f || f->size() != 12) return std::nullopt;
  Submission s;
  s.client = (*f)[0], s.id = s.receipt.message_id = (*f)[1];
  s.registered_delivery = static_cast<std::uint8_t>(parse_number((*f)[2]));
  s.receipt.accepted_wall = parse_number((*f)[3]), s.receipt.text = (*f)[4], s.receipt.service_type = (*f)[5];
  s.receipt.source = read_address(*f, 6), s.receipt.destination = read_address(*f, 9);
  return s;
}

}  // namespace cedarplank::sms
