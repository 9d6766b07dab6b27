#include "http1/message_reader.hpp"

namespace cedarplank::http1 {

void MessageReader::receive(std::string_view bytes) {
  if (unread() == 0) {
    // The common case: nothing waits, so only what belongs to a later message is copied.
    const auto taken = parser_.consume(bytes);
    unread_.assign(bytes.substr(taken));
    offset_ = 0;
    return;
  }
  unread_.append(bytes);
  read();
}

void MessageReader::read() {
  offset_ += parser_.consume(std::string_view(unread_).substr(offset_));
  // Moves the rest to the front only when at least as much has been read, so that each byte is moved once on
  // average.
  if (offset_ < unread_.size() / 2) return;
  unread_.erase(0, offset_);
  offset_ = 0;
}

void MessageReader::discard_unread() {
  unread_.clear();
  offset_ = 0;
}

}  // namespace cedarplank::http1
