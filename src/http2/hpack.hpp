// HPACK, header compression for HTTP/2 (RFC 7541): Huffman code, dynamic table, encoder and decoder.
// Free of I/O; bounded by the table size and by the size of a header list.
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
  bool never_indexed = false;  // RFC 7541 section 7.1.3: kept from every table on the way
  bool operator==(const Header& o) const { return name == o.name && value == o.value; }
};
using Headers = std::vector<Header>;

// Huffman code of RFC 7541 appendix B.
std::size_t huffman_length(std::string_view text);  // bytes that the code of `text` takes
void huffman_encode(std::string_view text, std::string& out);
// False on a code that the RFC forbids (section 5.2: EOS inside, padding of 8 bits or more or not of ones).
bool huffman_decode(std::string_view code, std::string& out);

// Integers with an N-bit prefix (section 5.1). `first` holds the bits above the prefix.
void encode_integer(std::uint64_t value, unsigned prefix, std::uint8_t first, std::string& out);
// False where the bytes end inside the integer or it exceeds 2^32 - 1.
bool decode_integer(std::string_view in, std::size_t& at, unsigned prefix, std::uint32_t& value);

// Entries by age, the newest first (section 2.3.2); sizes as in section 4.1.
class DynamicTable {
 public:
  struct Entry {
    std::string name, value;
    std::size_t hash;  // of the name, only to skip entries quickly
  };
  static constexpr std::size_t kOverhead = 32;
  explicit DynamicTable(std::size_t capacity) : capacity_(capacity) {}
  void set_capacity(std::size_t capacity);
  void add(std::string name, std::string value);
  std::size_t count() const { return entries_.size(); }
  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  const Entry& at(std::size_t i) const { return entries_[i]; }

 private:
  void evict(std::size_t room);
  std::deque<Entry> entries_;
  std::size_t capacity_, size_ = 0;
};

class HpackDecoder {
 public:
  enum class Result {
    ok,
    too_large,  // the list is over the limit; the table is right all the same, the connection can go on
    error       // section 2.2 of RFC 7541: a connection error COMPRESSION_ERROR
  };
  explicit HpackDecoder(std::size_t table_size = 4096) : limit_(table_size), table_(table_size) {}
  // The SETTINGS_HEADER_TABLE_SIZE that the peer has acknowledged.
  void set_limit(std::size_t limit);
  // One whole header block. `max_list` is in bytes as RFC 9113 section 6.5.2 counts them.
  Result decode(std::string_view block, std::size_t max_list, Headers& out);
  const std::string& error() const { return error_; }
  const DynamicTable& table() const { return table_; }

 private:
  bool literal(std::string_view block, std::size_t& at, std::string& out);
  bool fail(const char* why) {
    error_ = why;
    return false;
  }
  bool field(std::string_view block, std::size_t& at, std::size_t max_list, std::size_t& list, Headers& out);
  std::size_t limit_;
  bool must_shrink_ = false;  // section 4.2: the next block has to begin with a size update
  DynamicTable table_;
  std::string error_;
};

class HpackEncoder {
 public:
  explicit HpackEncoder(std::size_t table_size = 4096) : table_(table_size) {}
  // The peer's SETTINGS_HEADER_TABLE_SIZE; the encoder uses at most 4,096 bytes of it.
  void set_limit(std::size_t limit);
  void encode(const Headers& headers, std::string& out);
  const DynamicTable& table() const { return table_; }

 private:
  void literal(std::string_view text, std::string& out);
  DynamicTable table_;
  bool update_due_ = false;
  std::size_t least_update_ = 0;
};

}  // namespace cedarplank::http2
