// Ownership record of an SMPP client's message: what is needed to deliver its receipt after a crash, encoded
// as bytes that the relay stores with the message. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sms/submissions.hpp"

namespace cedarplank::sms {

// Encodes the fields that a receipt needs.
std::string encode_ownership(const Submission& submission);
// Decodes a record. Nothing where the bytes are not one: written by another protocol server or a later
// version.
std::optional<Submission> decode_ownership(std::string_view ownership);

}  // namespace cedarplank::sms
