// HPACK, header compression for HTTP/2 (RFC 7541): Huffman code, dynamic table, encoder and decoder.
// Does no I/O; its memory is bounded by the table size and by the size of a header list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cedarplank::http2 {

struct Header {
  std::string name, value;
  bool never_indexed = false;  // RFC 7541 section 7.1.3: intermediaries must not index it either
  bool operator==(const Header& o) const { return name == o.name && value == o.value; }
};
using Headers = std::vector<Header>;

// Huffman code of RFC 7541 appendix B. huffman_length() is the size of the encoded text in bytes.
std::size_t huffman_length(std::string_view text);
void huffman_encode(std::string_view text, std::string& out);
// False if the code is invalid (section 5.2: EOS inside, padding of 8 bits or more, or padding not of ones).
bool huffman_decode(std::string_view code, std::string& out);

// Integers with an N-bit prefix (section 5.1). `first` holds the bits of the first byte above the prefix.
void encode_integer(std::uint64_t value, unsigned prefix, std::uint8_t first, std::string& out);
// Reads from `at` on and moves it behind the integer. False if the bytes end inside the integer, it takes
// more than six bytes, or it exceeds 2^32 - 1.
bool decode_integer(std::string_view in, std::size_t& at, unsigned prefix, std::uint32_t& value);

// Dynamic table: entries by age, the newest first (section 2.3.2). Sizes are counted as in section 4.1.
class DynamicTable {
 public:
  struct Entry {
    std::string name, value;
    std::size_t hash;  // of the name, only to skip entries quickly
  };
  static constexpr std::size_t kEntryOverhead = 32;  // bytes that section 4.1 adds to each entry's size
  explicit DynamicTable(std::size_t capacity) : capacity_(capacity) {}
  void set_capacity(std::size_t capacity);
  void add(std::string name, std::string value);
  std::size_t count() const { return entries_.size(); }
  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  const Entry& at(std::size_t i) const { return entries_[i]; }

 private:
  // Removes the oldest entries until `needed` bytes are free, or all of them.
  void evict(std::size_t needed);
  std::deque<Entry> entries_;
  std::size_t capacity_, size_ = 0;
};

class HpackDecoder {
 public:
  enum class Result {
    ok,
    too_large,  // the list exceeds the limit; the table still matches the peer's, so the connection can go on
    error       // a decoding error (RFC 7541 section 2.2), which is a connection error COMPRESSION_ERROR
  };
  explicit HpackDecoder(std::size_t table_size = 4096) : table_size_limit_(table_size), table_(table_size) {}
  // Sets the SETTINGS_HEADER_TABLE_SIZE that the peer has acknowledged.
  void set_table_size_limit(std::size_t limit);
  // Decodes one complete header block. `max_list` is in bytes, counted as in RFC 9113 section 6.5.2.
  Result decode(std::string_view block, std::size_t max_list, Headers& out);
  // Why decode() returned `error`.
  const std::string& error() const { return error_; }
  const DynamicTable& table() const { return table_; }

 private:
  // Decodes a string literal (section 5.2).
  bool decode_string(std::string_view block, std::size_t& at, std::string& out);
  bool fail(const char* why) {
    error_ = why;
    return false;
  }
  // Decodes one field; `list` is the size of the header list so far.
  bool decode_field(std::string_view block, std::size_t& at, std::size_t max_list, std::size_t& list,
                    Headers& out);
  std::size_t table_size_limit_;       // the largest table size that a size update may set
  bool size_update_required_ = false;  // section 4.2: the next block must begin with a size update
  DynamicTable table_;
  std::string error_;
};

class HpackEncoder {
 public:
  explicit HpackEncoder(std::size_t table_size = 4096) : table_(table_size) {}
  // Sets the peer's SETTINGS_HEADER_TABLE_SIZE; the encoder uses at most 4,096 bytes of it.
  void set_table_size_limit(std::size_t limit);
  void encode(const Headers& headers, std::string& out);
  const DynamicTable& table() const { return table_; }

 private:
  // Encodes a string literal, by the Huffman code if that is shorter.
  void encode_string(std::string_view text, std::string& out);
  DynamicTable table_;
  bool size_update_due_ = false;     // the next block must begin with a size update
  std::size_t min_size_update_ = 0;  // the smallest table size set since the last block
};

}  // namespace cedarplank::http2
