// The journal. The input is taken as records that are applied in any order to a state image, printed and
// encoded again; and as a segment of a log that is inspected and salvaged. Nothing may crash, and a decoded
// record must survive a round trip.
#include <cstdlib>

#include "journal/recovery.hpp"
#include "store/inspect.hpp"

namespace {

using namespace cedarplank;

// A folder with a single, read-only segment.
class OneFile final : public store::Files {
 public:
  explicit OneFile(std::string bytes) : bytes_(std::move(bytes)) {}
  std::error_code open(const std::string&, OpenMode, std::unique_ptr<store::File>& out) override {
    out = std::make_unique<Handle>(bytes_);
    return {};
  }
  std::error_code list(std::vector<std::string>& names) override {
    names = {"log-0000000000000001"};
    return {};
  }
  std::error_code rename(const std::string&, const std::string&) override { return refused(); }
  std::error_code remove(const std::string&) override { return refused(); }
  std::error_code sync_folder() override { return refused(); }

 private:
  static std::error_code refused() { std::abort(); }  // reading must not write
  struct Handle final : store::File {
    explicit Handle(const std::string& b) : bytes(b) {}
    std::error_code write(std::uint64_t, std::string_view, std::size_t&) override { return refused(); }
    std::error_code read(std::uint64_t at, std::size_t size, std::string& out) override {
      out = at < bytes.size() ? bytes.substr(at, size) : std::string();
      return {};
    }
    std::error_code sync() override { return refused(); }
    std::error_code allocate(std::uint64_t) override { return refused(); }
    std::error_code size(std::uint64_t& out) override { return out = bytes.size(), std::error_code(); }
    const std::string& bytes;
  };
  std::string bytes_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  const std::string_view all(reinterpret_cast<const char*>(data), size);
  // Records, each with its length in the byte before it.
  journal::StateImage image;
  journal::Sequence next = 1;
  for (std::string_view rest = all; rest.size() > 1;) {
    const std::size_t n = std::min<std::size_t>(static_cast<unsigned char>(rest[0]), rest.size() - 1);
    journal::Record record, again;
    if (journal::decode(rest.substr(1, n), record).ok()) {
      if (journal::to_json(record).empty()) std::abort();
      const auto bytes = journal::encode(record);
      const bool other = std::holds_alternative<journal::record::Unknown>(record.what);
      if (!other && (!journal::decode(bytes, again).ok() || journal::encode(again) != bytes)) std::abort();
      image.apply(next++, record);
      if (image.oldest_needed() >= next) std::abort();
      if (image.oldest_needed() != 0) journal::encode(image.oldest_item_record(1));
    }
    rest.remove_prefix(n + 1);
  }
  journal::make_base(image, {"another", 5, 7});
  OneFile files{std::string(all)};
  std::uint64_t read = 0;
  const auto inspected = store::inspect(files, [&](store::Sequence, std::string_view) { read++; });
  std::uint64_t salvaged = 0;
  store::salvage(files, [&](store::Sequence, std::string_view) { salvaged++; });
  if (!inspected.problem && salvaged < read) std::abort();
  return 0;
}
