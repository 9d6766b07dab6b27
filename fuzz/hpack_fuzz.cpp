// HPACK: any bytes either decode or fail, within the bounds of the dynamic table. Decoded header fields
// survive a round trip through the encoder and the decoder, and any bytes one through the Huffman code.
#include <cstdlib>

#include "http2/hpack.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cedarplank::http2;
  HpackDecoder decoder;
  HpackEncoder encoder;
  HpackDecoder again;
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  // Consecutive header blocks; each has its length in the byte before it.
  while (!rest.empty()) {
    const std::size_t n = std::min<std::size_t>(rest.size() - 1, static_cast<unsigned char>(rest[0]));
    const auto block = rest.substr(1, n);
    rest.remove_prefix(1 + n);
    Headers out;
    const auto result = decoder.decode(block, 4096, out);
    if (decoder.table().size() > 4096) std::abort();
    if (result == HpackDecoder::Result::error) return 0;
    if (result != HpackDecoder::Result::ok) continue;
    std::string coded;
    encoder.encode(out, coded);
    Headers back;
    if (again.decode(coded, 4096, back) != HpackDecoder::Result::ok || !(back == out)) std::abort();
  }
  std::string plain;
  huffman_decode({reinterpret_cast<const char*>(data), size}, plain);
  std::string coded, decoded;
  huffman_encode({reinterpret_cast<const char*>(data), size}, coded);
  if (!huffman_decode(coded, decoded) || decoded != std::string(reinterpret_cast<const char*>(data), size))
    std::abort();
  return 0;
}
