// The C interface, built on the C++ interface. No exception leaves it.
#include <algorithm>
#include <cstring>

#include "cedarplank/delivery.h"
#include "cedarplank/delivery.hpp"

struct cp_engine {
  std::unique_ptr<cedarplank::delivery::Engine> engine;
};

namespace {

using namespace cedarplank::delivery;

// Copies the text to a buffer of the caller, cut off to fit and terminated by a zero.
void copy_text(const std::string& text, char* out, std::size_t size) {
  if (out == nullptr || size == 0) return;
  const std::size_t n = std::min(text.size(), size - 1);
  std::memcpy(out, text.data(), n);
  out[n] = 0;
}
// The text of a C string; empty for a null pointer.
std::string text(const char* s) { return s == nullptr ? "" : s; }

}  // namespace

extern "C" {

int cp_abi_version(void) { return CP_ABI_VERSION; }

cp_engine* cp_open(const char* settings_file, char* error, size_t error_size) {
  try {
    auto engine = Engine::open(text(settings_file));
    return new cp_engine{std::move(engine)};
  } catch (const std::exception& e) {
    copy_text(e.what(), error, error_size);
  } catch (...) {
    copy_text("unknown failure", error, error_size);
  }
  return nullptr;
}

int cp_submit(cp_engine* engine, const cp_message* m, uint64_t* ticket, char* error, size_t error_size) {
  if (engine == nullptr || m == nullptr || m->size < sizeof(cp_message) ||
      (m->body == nullptr && m->body_size > 0)) {
    copy_text("engine or message is missing, or of another size", error, error_size);
    return CP_INVALID;
  }
  try {
    Message message;
    message.destination = text(m->destination), message.message_class = text(m->message_class),
    message.tenant = text(m->tenant);
    message.idempotency_key = text(m->idempotency_key), message.topic = text(m->topic),
    message.content_type = text(m->content_type);
    if (m->body_size > 0) message.body.assign(static_cast<const char*>(m->body), m->body_size);
    message.time_to_live = m->time_to_live;
    const auto s = engine->engine->submit(std::move(message));
    if (ticket != nullptr) *ticket = s.ticket;
    copy_text(s.error, error, error_size);
    return static_cast<int>(s.status);
  } catch (const std::exception& e) {  // out of memory
    copy_text(e.what(), error, error_size);
    return CP_INVALID;
  }
}

void cp_withdraw(cp_engine* engine, uint64_t ticket) {
  if (engine != nullptr) engine->engine->withdraw(ticket);
}

size_t cp_poll(cp_engine* engine, cp_answer* answers, size_t most) {
  if (engine == nullptr || answers == nullptr || most == 0 || answers[0].size < sizeof(cp_answer)) return 0;
  std::vector<Answer> got;
  const std::size_t n = engine->engine->poll(got, most);
  // The caller's structures may be larger than this version's, so their stated size is the stride.
  const std::size_t stride = answers[0].size;
  auto* at = reinterpret_cast<char*>(answers);
  for (const auto& a : got) {
    auto* out = reinterpret_cast<cp_answer*>(at);
    out->ticket = a.ticket, out->final = static_cast<int>(a.final), out->attempts = a.attempts,
    out->come_back = a.come_back;
    copy_text(a.detail, out->detail, sizeof out->detail);
    at += stride;
  }
  return n;
}

int cp_descriptor(const cp_engine* engine) { return engine == nullptr ? -1 : engine->engine->descriptor(); }
int cp_engine_state(const cp_engine* engine) {
  return engine == nullptr ? CP_STOPPED : static_cast<int>(engine->engine->state());
}
size_t cp_held(const cp_engine* engine) { return engine == nullptr ? 0 : engine->engine->snapshot().held; }
void cp_drain(cp_engine* engine, int64_t within) {
  if (engine != nullptr) engine->engine->drain(within);
}
void cp_stop(cp_engine* engine) {
  if (engine != nullptr) engine->engine->stop();
}
int cp_wait(cp_engine* engine, int64_t within) {
  return engine == nullptr || engine->engine->wait(within) ? 1 : 0;
}
void cp_close(cp_engine* engine) { delete engine; }

}  // extern "C"
