#include "platform/attempt_log.hpp"

namespace cedarplank::platform {
namespace {

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::served:
      return "served";
    case Outcome::error:
      return "error";
    case Outcome::full:
      return "refused";
    case Outcome::timeout:
      return "timeout";
    case Outcome::connect_failed:
      return "connect_failed";
    case Outcome::reset:
      return "reset";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      return "not_sent";
  }
  return "unknown";
}

std::string text_of(int attempt, const EndpointId& endpoint) {
  return "attempt=" + std::to_string(attempt) + " endpoint=" + endpoint;
}

std::string text_of(const relay::ConnectionUse& use) {
  if (use.number == 0) return {};
  return " connection=" + std::to_string(use.number) + " call=" + std::to_string(use.call) +
         " idle_ms=" + std::to_string(use.idle / 1000);
}

}  // namespace

void AttemptLog::send(const relay::OutgoingCall& call) {
  if (call.attempt > 0 || followed_.count(call.message_id) > 0)
    log_.line(Event::retry, call.message->owner, [&] {
      return text_of(call.attempt, call.endpoint) + " left_ms=" + std::to_string(call.time_left / 1000);
    });
  coordinator_.send(call);
}

void AttemptLog::attempt_ended(const relay::OutgoingCall& call, const relay::CallResult& ending) {
  const bool delivered = ending.outcome == Outcome::served && followed_.count(call.message_id) == 0;
  log_.line(delivered ? Event::delivered : Event::attempt, client_id_of_(call.message_id), [&] {
    std::string text = text_of(call.attempt, call.endpoint) + " outcome=" + name_of(ending.outcome) +
                       " why=\"" + ending.detail + "\"" + text_of(ending.connection);
    if (ending.told_wait > 0) text += " wait_ms=" + std::to_string(ending.told_wait / 1000);
    return text;
  });
  if (ending.retry_status != relay::RetryStatus::allowed)
    log_.line(Event::said_over, client_id_of_(call.message_id),
              [&] { return text_of(call.attempt, call.endpoint) + " why=\"" + ending.detail + "\""; });
  coordinator_.attempt_ended(call, ending);
}

}  // namespace cedarplank::platform
