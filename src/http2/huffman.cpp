// The Huffman code of RFC 7541 appendix B. It is canonical: codes of one length are consecutive in the order
// of their symbols, and each length continues where the shorter one ended, so the code lengths alone
// determine all codes.
#include <array>

#include "http2/hpack.hpp"

namespace cedarplank::http2 {
namespace {

constexpr unsigned kEos = 256, kSymbols = 257, kMaxBits = 30, kFastBits = 10;

// Code length of each symbol in bits; the last one is EOS.
constexpr std::array<std::uint8_t, kSymbols> kLengths = {
    13, 23, 28, 28, 28, 28, 28, 28, 28, 24, 30, 28, 28, 30, 28, 28,  // 0
    28, 28, 28, 28, 28, 28, 30, 28, 28, 28, 28, 28, 28, 28, 28, 28,  // 16
    6,  10, 10, 12, 13, 6,  8,  11, 10, 10, 8,  11, 8,  6,  6,  6,   // 32
    5,  5,  5,  6,  6,  6,  6,  6,  6,  6,  7,  8,  15, 6,  12, 10,  // 48
    13, 6,  7,  7,  7,  7,  7,  7,  7,  7,  7,  7,  7,  7,  7,  7,   // 64
    7,  7,  7,  7,  7,  7,  7,  7,  8,  7,  8,  13, 19, 13, 14, 6,   // 80
    15, 5,  6,  5,  6,  5,  6,  6,  6,  5,  7,  7,  6,  6,  6,  5,   // 96
    6,  7,  6,  5,  5,  6,  7,  7,  7,  7,  7,  15, 11, 14, 13, 28,  // 112
    20, 22, 20, 20, 22, 22, 22, 23, 22, 23, 23, 23, 23, 23, 24, 23,  // 128
    24, 24, 22, 23, 24, 23, 23, 23, 23, 21, 22, 23, 22, 23, 23, 24,  // 144
    22, 21, 20, 22, 22, 23, 23, 21, 23, 22, 22, 24, 21, 22, 23, 23,  // 160
    21, 21, 22, 21, 23, 22, 23, 23, 20, 22, 22, 22, 23, 22, 22, 23,  // 176
    26, 26, 20, 19, 22, 23, 22, 25, 26, 26, 26, 27, 27, 26, 24, 25,  // 192
    19, 21, 26, 27, 27, 26, 27, 24, 21, 21, 26, 26, 28, 27, 27, 27,  // 208
    20, 24, 20, 21, 22, 21, 21, 23, 22, 22, 25, 25, 24, 24, 26, 23,  // 224
    26, 27, 26, 26, 27, 27, 27, 27, 27, 28, 27, 27, 27, 27, 27, 26,  // 240
    30};

struct Tables {
  std::array<std::uint32_t, kSymbols> codes{};
  std::array<std::uint16_t, kSymbols> ordered{};  // symbols in the order of their codes
  // By code length: the first code, the number of codes, and the first code's position in `ordered`.
  std::array<std::uint32_t, kMaxBits + 2> first{}, count{}, offset{};
  // By the next kFastBits bits: symbol << 4 | length, or 0 for longer codes.
  std::array<std::uint16_t, 1u << kFastBits> fast{};
};

constexpr Tables make_tables() {
  Tables t;
  for (const auto length : kLengths) t.count[length]++;
  std::uint32_t code = 0, position = 0;
  for (unsigned length = 1; length <= kMaxBits; length++) {
    code <<= 1;
    t.first[length] = code, t.offset[length] = position;
    for (unsigned symbol = 0; symbol < kSymbols; symbol++) {
      if (kLengths[symbol] != length) continue;
      t.ordered[position++] = static_cast<std::uint16_t>(symbol);
      if (length <= kFastBits) {
        const std::uint32_t from = code << (kFastBits - length);
        for (std::uint32_t i = 0; i < (1u << (kFastBits - length)); i++)
          t.fast[from + i] = static_cast<std::uint16_t>(symbol << 4 | length);
      }
      t.codes[symbol] = code++;
    }
  }
  return t;
}
constexpr Tables kTables = make_tables();

}  // namespace

std::size_t huffman_length(std::string_view text) {
  std::size_t bits = 0;
  for (const char c : text) bits += kLengths[static_cast<unsigned char>(c)];
  return (bits + 7) / 8;
}

void huffman_encode(std::string_view text, std::string& out) {
  std::uint64_t buffer = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const auto symbol = static_cast<unsigned char>(c);
    buffer = buffer << kLengths[symbol] | kTables.codes[symbol];
    bits += kLengths[symbol];
    while (bits >= 8) bits -= 8, out.push_back(static_cast<char>(buffer >> bits));
  }
  // Section 5.2: padded with the most significant bits of EOS, all ones.
  if (bits > 0) out.push_back(static_cast<char>(buffer << (8 - bits) | (0xffu >> bits)));
}

bool huffman_decode(std::string_view code, std::string& out) {
  std::uint64_t buffer = 0;
  unsigned bits = 0;
  std::size_t at = 0;
  for (;;) {
    while (bits <= 56 && at < code.size())
      buffer = buffer << 8 | static_cast<unsigned char>(code[at++]), bits += 8;
    if (bits == 0) return true;
    if (bits >= kFastBits) {
      const auto entry = kTables.fast[buffer >> (bits - kFastBits) & ((1u << kFastBits) - 1)];
      if (entry != 0) {
        out.push_back(static_cast<char>(entry >> 4));
        bits -= entry & 15;
        continue;
      }
    }
    bool found = false;
    for (unsigned length = 5; length <= kMaxBits && length <= bits; length++) {
      const auto value =
          static_cast<std::uint32_t>(buffer >> (bits - length) & ((std::uint64_t{1} << length) - 1));
      if (value < kTables.first[length] || value - kTables.first[length] >= kTables.count[length]) continue;
      const unsigned symbol = kTables.ordered[kTables.offset[length] + value - kTables.first[length]];
      if (symbol == kEos) return false;  // section 5.2: EOS in a string is an error
      out.push_back(static_cast<char>(symbol));
      bits -= length;
      found = true;
      break;
    }
    if (found) continue;
    // The remaining bits must be padding: fewer than 8 bits, all ones (section 5.2).
    const std::uint64_t ones = (std::uint64_t{1} << bits) - 1;
    return at == code.size() && bits < 8 && (buffer & ones) == ones;
  }
}

}  // namespace cedarplank::http2
