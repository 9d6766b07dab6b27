/* cedarplank: the delivery engine for C. A thin layer over cedarplank/delivery.hpp with a stable ABI:
 * structures only grow at their end and carry their size, so that older callers continue to work.
 *
 * Ownership: strings passed in are copied; strings of an answer are part of the caller's cp_answer and are
 * overwritten by the next cp_poll() with the same structure. Threads: every function may be called from any
 * thread; cp_close() only once. Units: times in microseconds. */
#ifndef CEDARPLANK_DELIVERY_H
#define CEDARPLANK_DELIVERY_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CP_ABI_VERSION 1

typedef struct cp_engine cp_engine;

enum cp_status { CP_TAKEN = 0, CP_WOULD_BLOCK = 1, CP_REJECTED = 2, CP_CLOSED = 3, CP_INVALID = 4 };
enum cp_final { CP_SERVED = 0, CP_REFUSED = 1, CP_FAILED = 2, CP_WITHDRAWN = 3, CP_REJECTED_LATE = 4 };
enum cp_state { CP_OPENING = 0, CP_RUNNING = 1, CP_DRAINING = 2, CP_STOPPING = 3, CP_STOPPED = 4 };

typedef struct cp_message {
  size_t size; /* sizeof(cp_message) */
  const char* destination;
  const char* message_class;
  const char* tenant;          /* NULL: none */
  const char* idempotency_key; /* NULL: none */
  const char* topic;           /* NULL: none */
  const char* content_type;    /* NULL: none */
  const void* body;
  size_t body_size;
  int64_t time_to_live; /* 0: the class's deadline */
} cp_message;

typedef struct cp_answer {
  size_t size; /* sizeof(cp_answer) */
  uint64_t ticket;
  int final; /* enum cp_final */
  int attempts;
  int64_t come_back; /* CP_REFUSED: how long to wait before submitting it again; 0: no advice */
  char detail[160];  /* how the last attempt ended, or why the message was rejected */
} cp_answer;

/* The ABI version that the library was built with; compare it with CP_ABI_VERSION. */
int cp_abi_version(void);

/* Returns NULL on failure, with the reason in `error`, truncated to `error_size` and null-terminated. */
cp_engine* cp_open(const char* settings_file, char* error, size_t error_size);

/* Returns enum cp_status. Sets `ticket` for CP_TAKEN; `error` may be NULL. Never blocks. */
int cp_submit(cp_engine* engine, const cp_message* message, uint64_t* ticket, char* error, size_t error_size);
/* Requests that the message not be sent any more; it is still answered once. */
void cp_withdraw(cp_engine* engine, uint64_t ticket);

/* Fills at most `most` answers, whose `size` members must be set, and returns their number. */
size_t cp_poll(cp_engine* engine, cp_answer* answers, size_t most);
/* File descriptor that is readable while cp_poll() may have answers. Don't read or close it. */
int cp_descriptor(const cp_engine* engine);

int cp_engine_state(const cp_engine* engine); /* enum cp_state */
/* Number of messages submitted and not yet answered. */
size_t cp_held(const cp_engine* engine);
/* Accepts no more messages; processes the held ones until `within` has passed, then ends them as cp_stop()
 * does. */
void cp_drain(cp_engine* engine, int64_t within);
/* Ends every held message now: as refused if submitting it again is harmless, otherwise as failed. */
void cp_stop(cp_engine* engine);
/* Waits until the engine has stopped, for at most `within`; returns 1 if it has, otherwise 0. */
int cp_wait(cp_engine* engine, int64_t within);
/* Stops, waits until every ticket is answered and frees the engine. Answers not polled by then are lost. NULL
 * is allowed. */
void cp_close(cp_engine* engine);

#ifdef __cplusplus
}
#endif
#endif
