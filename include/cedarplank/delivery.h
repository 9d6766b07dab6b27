/* cedarplank: the delivery engine for C. A thin layer over cedarplank/delivery.hpp with a stable ABI:
 * structures only grow at their end, and carry their size, so that older callers go on working.
 *
 * Ownership: strings passed in are copied; strings of an answer belong to the caller's cp_answer until the
 * next cp_poll() with the same structure or cp_answer_free(). Threads: every call from any thread; cp_close()
 * once. Units: times in microseconds. */
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
  int64_t come_back;
  char detail[160];
} cp_answer;

/* The version that the library was built with; compare with CP_ABI_VERSION. */
int cp_abi_version(void);

/* NULL on failure, with why in `error` (cut to `error_size`, always ended). */
cp_engine* cp_open(const char* settings_file, char* error, size_t error_size);

/* enum cp_status; `ticket` is set where taken, `error` may be NULL. Never blocks. */
int cp_submit(cp_engine* engine, const cp_message* message, uint64_t* ticket, char* error, size_t error_size);
void cp_withdraw(cp_engine* engine, uint64_t ticket);

/* Fills at most `most` answers, whose `size` members must be set; returns how many. */
size_t cp_poll(cp_engine* engine, cp_answer* answers, size_t most);
/* Readable while answers may be there. Not to be read or closed. */
int cp_descriptor(const cp_engine* engine);

int cp_engine_state(const cp_engine* engine); /* enum cp_state */
size_t cp_held(const cp_engine* engine);
void cp_drain(cp_engine* engine, int64_t within);
void cp_stop(cp_engine* engine);
int cp_wait(cp_engine* engine, int64_t within); /* 1: stopped */
/* Stops, waits until every ticket was answered, frees. Unpolled answers are gone. NULL is allowed. */
void cp_close(cp_engine* engine);

#ifdef __cplusplus
}
#endif
#endif
