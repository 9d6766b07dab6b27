#include "journal/record_reader.hpp"

namespace cedarplank::journal {
namespace {

constexpr std::size_t kMaxProblems = 16;  // told one by one

std::string describe(Sequence sequence, const DecodeResult& result) {
  const std::string message =
      result.message == 0 ? std::string() : " (message " + std::to_string(result.message) + ")";
  return "record " + std::to_string(sequence) + message + " " + result.problem;
}

}  // namespace

void RecordReader::read(Sequence sequence, std::string_view bytes) {
  records_.emplace_back(sequence, bytes.size());
  Record record;
  const auto result = decode(bytes, record);
  if (result.ok()) return image_.apply(sequence, record);
  if (++unreadable_ <= kMaxProblems) problems_.push_back(describe(sequence, result));
  if (result.status == DecodeResult::Status::newer_version && newer_version_.empty())
    newer_version_ = describe(sequence, result);
}

std::vector<std::string> RecordReader::problems() const {
  auto all = problems_;
  if (unreadable_ > kMaxProblems)
    all.push_back(std::to_string(unreadable_ - kMaxProblems) + " more records can't be read");
  return all;
}

}  // namespace cedarplank::journal
