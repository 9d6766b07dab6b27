#include "http1/message_reader.hpp"

namespace cedarplank::http1 {
namespace {

constexpr std::size_t kSpareBytes =
    8 * 1024;  // so that a row of short reads doesn't copy all bytes each time

}  // namespace

void MessageReader::receive(std::string_view bytes) {
  if (unread() == 0) {
    // The common case: nothing waits, so only what belongs to a later message is copied.
    const auto taken = parser_.consume(bytes);
    discard_unread();
    unread_.assign(bytes.substr(taken));
    return;
  }
  if (unread_.size() + bytes.size() > unread_.capacity()) {
    // A string that grows by itself may get twice the room that it needs.
    std::string larger;
    larger.reserve(unread() + bytes.size() + kSpareBytes);
    larger.append(unread_, offset_);
    unread_.swap(larger);
    offset_ = 0;
  }
  unread_.append(bytes);
  read();
}

void MessageReader::read() {
  offset_ += parser_.consume(std::string_view(unread_).substr(offset_));
  // Moves the rest to the front only when at least as much has been read, so that each byte is moved once on
  // average.
  if (offset_ < unread_.size() / 2) return;
  if (unread() == 0) return discard_unread();
  unread_.erase(0, offset_);
  offset_ = 0;
}

void MessageReader::abandon() {
  discard_unread();
  parser_.abandon();
}

void MessageReader::discard_unread() {
  std::string().swap(unread_);  // emptied, it would keep what was allocated
  offset_ = 0;
}

}  // namespace cedarplank::http1
