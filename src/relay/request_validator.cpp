#include "relay/request_validator.hpp"

#include <algorithm>

namespace cedarplank::relay {
namespace {

// The position of a name in a list; -1 if it is not there.
int index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

bool valid_topic(std::string_view text) {
  return !text.empty() && text.size() <= 32 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

bool valid_address(std::string_view text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  return !text.empty() && text.size() <= 20 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

std::optional<Rejection> RequestValidator::check(const Request& r, NewMessage& m) const {
  using Reason = Rejection::Reason;
  const auto malformed = [](std::string detail) { return Rejection{Reason::malformed, std::move(detail)}; };
  m.message_class = index_of(settings_.names.classes, r.message_class);
  if (m.message_class < 0)
    return Rejection{Reason::unknown_class, "no class is named '" + r.message_class + "'"};
  if (!r.ttl)
    return malformed("the TTL field is missing or no whole number of seconds (RFC 8030 section 5.2)");
  m.time_left = *r.ttl;
  const auto& cls = settings_.dispatcher.classes[static_cast<std::size_t>(m.message_class)];
  if (cls.effect == Effect::keyed && r.idempotency_key.empty())
    return malformed("class '" + r.message_class + "' is keyed: the Idempotency-Key field is missing");
  if (r.idempotency_key.size() > 256) return malformed("Idempotency-Key exceeds 256 characters");
  if (r.has_topic && !valid_topic(r.topic))
    return malformed("Topic is not up to 32 characters of base64url (RFC 8030 section 5.4)");
  if (!r.tenant.empty()) {
    m.tenant = index_of(settings_.names.tenants, r.tenant);
    if (m.tenant < 0) return malformed(settings_.tenant_field + " names no tenant: '" + r.tenant + "'");
  }
  for (const auto* address : {&r.recipient, &r.sender})
    if (!address->empty() && !valid_address(*address))
      return malformed("Recipient and Sender are up to 20 digits or letters, after a + or not");
  // Values that are forwarded to endpoints must not corrupt the header section there (RFC 9110 section 5.5).
  for (const auto* text : {&r.idempotency_key, &r.content_type, &r.content_encoding, &r.urgency}) {
    const bool invalid = text->size() > 1024 || std::any_of(text->begin(), text->end(), [](unsigned char c) {
                           return c < 0x20 || c == 0x7f;
                         });
    if (invalid || (!text->empty() && (text->front() == ' ' || text->back() == ' ')))
      return malformed("a field value can't be passed on");
  }
  m.idempotency_key = r.idempotency_key, m.topic = r.topic;
  if (cls.ordered) m.order_key = r.topic.empty() ? r.recipient : r.topic;
  m.recipient = r.recipient, m.sender = r.sender;
  m.content_type = r.content_type, m.content_encoding = r.content_encoding, m.urgency = r.urgency;
  return std::nullopt;
}

std::optional<Rejection> RequestValidator::check_body(std::size_t bytes) const {
  if (bytes <= static_cast<std::size_t>(settings_.body_max)) return std::nullopt;
  return Rejection{Rejection::Reason::too_large,
                   "the body exceeds " + std::to_string(settings_.body_max) + " bytes"};
}

}  // namespace cedarplank::relay
