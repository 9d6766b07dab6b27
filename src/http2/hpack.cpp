#include "http2/hpack.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <unordered_map>

namespace cedarplank::http2 {
namespace {

constexpr std::size_t kMaxEncoderTableBytes = 4096;

// Static table of RFC 7541 appendix A.
struct StaticEntry {
  std::string_view name, value;
};
constexpr std::array<StaticEntry, 61> kStatic = {{{":authority", ""},
                                                  {":method", "GET"},
                                                  {":method", "POST"},
                                                  {":path", "/"},
                                                  {":path", "/index.html"},
                                                  {":scheme", "http"},
                                                  {":scheme", "https"},
                                                  {":status", "200"},
                                                  {":status", "204"},
                                                  {":status", "206"},
                                                  {":status", "304"},
                                                  {":status", "400"},
                                                  {":status", "404"},
                                                  {":status", "500"},
                                                  {"accept-charset", ""},
                                                  {"accept-encoding", "gzip, deflate"},
                                                  {"accept-language", ""},
                                                  {"accept-ranges", ""},
                                                  {"accept", ""},
                                                  {"access-control-allow-origin", ""},
                                                  {"age", ""},
                                                  {"allow", ""},
                                                  {"authorization", ""},
                                                  {"cache-control", ""},
                                                  {"content-disposition", ""},
                                                  {"content-encoding", ""},
                                                  {"content-language", ""},
                                                  {"content-length", ""},
                                                  {"content-location", ""},
                                                  {"content-range", ""},
                                                  {"content-type", ""},
                                                  {"cookie", ""},
                                                  {"date", ""},
                                                  {"etag", ""},
                                                  {"expect", ""},
                                                  {"expires", ""},
                                                  {"from", ""},
                                                  {"host", ""},
                                                  {"if-match", ""},
                                                  {"if-modified-since", ""},
                                                  {"if-none-match", ""},
                                                  {"if-range", ""},
                                                  {"if-unmodified-since", ""},
                                                  {"last-modified", ""},
                                                  {"link", ""},
                                                  {"location", ""},
                                                  {"max-forwards", ""},
                                                  {"proxy-authenticate", ""},
                                                  {"proxy-authorization", ""},
                                                  {"range", ""},
                                                  {"referer", ""},
                                                  {"refresh", ""},
                                                  {"retry-after", ""},
                                                  {"server", ""},
                                                  {"set-cookie", ""},
                                                  {"strict-transport-security", ""},
                                                  {"transfer-encoding", ""},
                                                  {"user-agent", ""},
                                                  {"vary", ""},
                                                  {"via", ""},
                                                  {"www-authenticate", ""}}};

// Position of the first entry of each name in the static table; entries with the same name are adjacent.
const std::unordered_map<std::string_view, std::size_t>& static_names() {
  static const auto names = [] {
    std::unordered_map<std::string_view, std::size_t> m;
    for (std::size_t i = 0; i < kStatic.size(); i++) m.emplace(kStatic[i].name, i);
    return m;
  }();
  return names;
}

// False for fields whose values hardly repeat or whose compressed size could reveal a secret: these are not
// put into the dynamic table.
bool worth_indexing(std::string_view name) {
  return name != "content-length" && name != "date" && name != "idempotency-key" && name != "ttl" &&
         name != "topic" && name != "location" && name != "retry-after" && name != "etag";
}

}  // namespace

void encode_integer(std::uint64_t value, unsigned prefix, std::uint8_t first, std::string& out) {
  const std::uint64_t prefix_max = (1u << prefix) - 1;
  if (value < prefix_max) {
    out.push_back(static_cast<char>(first | value));
    return;
  }
  out.push_back(static_cast<char>(first | prefix_max));
  for (value -= prefix_max; value >= 128; value >>= 7) out.push_back(static_cast<char>(value % 128 + 128));
  out.push_back(static_cast<char>(value));
}

bool decode_integer(std::string_view in, std::size_t& at, unsigned prefix, std::uint32_t& value) {
  if (at >= in.size()) return false;
  const std::uint32_t prefix_max = (1u << prefix) - 1;
  std::uint64_t v = static_cast<unsigned char>(in[at++]) & prefix_max;
  if (v == prefix_max) {
    for (unsigned shift = 0;; shift += 7) {
      if (at >= in.size() || shift > 28) return false;  // section 5.1: too long an encoding is an error
      const auto byte = static_cast<unsigned char>(in[at++]);
      v += static_cast<std::uint64_t>(byte & 127) << shift;
      if (v > 0xffffffffu) return false;
      if ((byte & 128) == 0) break;
    }
  }
  value = static_cast<std::uint32_t>(v);
  return true;
}

void DynamicTable::evict(std::size_t needed) {
  while (!entries_.empty() && size_ + needed > capacity_) {
    size_ -= entries_.back().name.size() + entries_.back().value.size() + kEntryOverhead;
    entries_.pop_back();
  }
}
void DynamicTable::set_capacity(std::size_t capacity) {
  capacity_ = capacity;
  evict(0);
}
void DynamicTable::add(std::string name, std::string value) {
  const std::size_t size = name.size() + value.size() + kEntryOverhead;
  evict(size);
  if (size > capacity_) return;  // section 4.4: too large an entry empties the table; no error
  const auto hash = std::hash<std::string_view>()(name);
  entries_.push_front({std::move(name), std::move(value), hash});
  size_ += size;
}

void HpackDecoder::set_table_size_limit(std::size_t limit) {
  table_size_limit_ = limit;
  size_update_required_ = table_.capacity() > limit;
}

bool HpackDecoder::decode_string(std::string_view block, std::size_t& at, std::string& out) {
  if (at >= block.size()) return fail("a string is missing");
  const bool huffman = static_cast<unsigned char>(block[at]) & 128;
  std::uint32_t length = 0;
  if (!decode_integer(block, at, 7, length)) return fail("a string's length is cut off or too large");
  if (length > block.size() - at) return fail("a string runs past the block");
  const auto bytes = block.substr(at, length);
  at += length;
  out.clear();
  if (!huffman) return out.assign(bytes), true;
  return huffman_decode(bytes, out) || fail("a string breaks the Huffman code");
}

bool HpackDecoder::decode_field(std::string_view block, std::size_t& at, std::size_t max_list,
                                std::size_t& list, Headers& out) {
  const auto first = static_cast<unsigned char>(block[at]);
  std::uint32_t index = 0;
  // Sections 6.1 (indexed), 6.2.1 (incremental indexing), 6.2.2 (without indexing), 6.2.3 (never indexed).
  const bool indexed = first & 0x80, indexing = (first & 0xc0) == 0x40, never = (first & 0xf0) == 0x10;
  if (!decode_integer(block, at, indexed ? 7 : indexing ? 6 : 4, index))
    return fail("an index is cut off or too large");
  if (indexed && index == 0) return fail("index 0 is used");  // section 6.1
  std::string_view name, value;
  std::string own_name, own_value;
  if (index > 0) {
    if (index <= kStatic.size()) {
      name = kStatic[index - 1].name, value = kStatic[index - 1].value;
    } else {
      const std::size_t i = index - kStatic.size() - 1;
      if (i >= table_.count()) return fail("an index lies outside the tables");  // section 2.3.3
      name = table_.at(i).name, value = table_.at(i).value;
    }
  }
  if (!indexed) {
    if (index == 0) {
      if (!decode_string(block, at, own_name)) return false;
      name = own_name;
    }
    if (!decode_string(block, at, own_value)) return false;
    value = own_value;
  }
  list += name.size() + value.size() + DynamicTable::kEntryOverhead;
  // Fields beyond the limit are not kept, since a small block could expand into a very large list.
  if (list <= max_list) out.push_back({std::string(name), std::string(value), never});
  if (indexing) table_.add(std::string(name), std::string(value));
  return true;
}

HpackDecoder::Result HpackDecoder::decode(std::string_view block, std::size_t max_list, Headers& out) {
  std::size_t at = 0, list = 0;
  bool updates_allowed = true;
  while (at < block.size()) {
    const auto first = static_cast<unsigned char>(block[at]);
    if ((first & 0xe0) == 0x20) {
      // Section 4.2: size updates are allowed only at the beginning of a block, and only up to the limit.
      std::uint32_t size = 0;
      if (!updates_allowed) return fail("a table size update stands after a field"), Result::error;
      if (!decode_integer(block, at, 5, size) || size > table_size_limit_)
        return fail("a table size update exceeds the limit"), Result::error;
      table_.set_capacity(size);
      size_update_required_ = false;
      continue;
    }
    if (size_update_required_) return fail("the table size was not reduced as set"), Result::error;
    updates_allowed = false;
    if (!decode_field(block, at, max_list, list, out)) return Result::error;
  }
  return list > max_list ? Result::too_large : Result::ok;
}

void HpackEncoder::set_table_size_limit(std::size_t limit) {
  const std::size_t capacity = std::min(limit, kMaxEncoderTableBytes);
  if (capacity == table_.capacity() && !size_update_due_) return;
  // Section 4.2: if the size changed several times, the smallest one must be signalled too.
  min_size_update_ = size_update_due_ ? std::min(min_size_update_, capacity) : capacity;
  size_update_due_ = true;
  table_.set_capacity(capacity);
}

void HpackEncoder::encode_string(std::string_view text, std::string& out) {
  const std::size_t huffman_size = huffman_length(text);
  if (huffman_size < text.size()) {
    encode_integer(huffman_size, 7, 0x80, out);
    huffman_encode(text, out);
  } else {
    encode_integer(text.size(), 7, 0, out);
    out.append(text);
  }
}

void HpackEncoder::encode(const Headers& headers, std::string& out) {
  if (size_update_due_) {
    if (min_size_update_ < table_.capacity()) encode_integer(min_size_update_, 5, 0x20, out);
    encode_integer(table_.capacity(), 5, 0x20, out);
    size_update_due_ = false;
  }
  for (const auto& h : headers) {
    // Indexes of an entry with the same name and value, and of one with the same name; 0 if there is none.
    std::size_t field_index = 0, name_index = 0;
    const auto it = static_names().find(h.name);
    if (it != static_names().end()) {
      name_index = it->second + 1;
      for (std::size_t i = it->second; i < kStatic.size() && kStatic[i].name == h.name; i++)
        if (kStatic[i].value == h.value) {
          field_index = i + 1;
          break;
        }
    }
    const bool index = !h.never_indexed && worth_indexing(h.name);
    if (field_index == 0 && (index || name_index == 0)) {
      const auto hash = std::hash<std::string_view>()(h.name);
      for (std::size_t i = 0; i < table_.count(); i++) {
        const auto& e = table_.at(i);
        if (e.hash != hash || e.name != h.name) continue;
        if (name_index == 0) name_index = kStatic.size() + 1 + i;
        if (e.value == h.value) {
          field_index = kStatic.size() + 1 + i;
          break;
        }
      }
    }
    if (field_index != 0 && !h.never_indexed) {
      encode_integer(field_index, 7, 0x80, out);
      continue;
    }
    if (index)
      encode_integer(name_index, 6, 0x40, out);
    else
      encode_integer(name_index, 4, h.never_indexed ? 0x10 : 0x00, out);
    if (name_index == 0) encode_string(h.name, out);
    encode_string(h.value, out);
    if (index) table_.add(h.name, h.value);
  }
}

}  // namespace cedarplank::http2
