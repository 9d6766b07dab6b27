// Reads the records of a log into a state image. A record that can't be read costs itself alone: it is noted,
// and all others are applied. Free of I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "journal/state_image.hpp"

namespace cedarplank::journal {

class RecordReader {
 public:
  // To be called for each record, in the order of their numbers.
  void read(Sequence sequence, std::string_view bytes);

  const StateImage& image() const { return image_; }
  StateImage take_image() { return std::move(image_); }
  // Numbers and sizes in bytes of all records, including those that can't be read.
  const std::vector<std::pair<Sequence, std::size_t>>& records() const { return records_; }
  // One line for each record that can't be read, up to a number of them, and then one with the number of the
  // others.
  std::vector<std::string> problems() const;
  // Why a record of a later version, which must not be skipped, can't be read; empty: there is none.
  const std::string& newer_version() const { return newer_version_; }

 private:
  StateImage image_;
  std::vector<std::pair<Sequence, std::size_t>> records_;
  std::vector<std::string> problems_;
  std::size_t unreadable_ = 0;
  std::string newer_version_;
};

}  // namespace cedarplank::journal
