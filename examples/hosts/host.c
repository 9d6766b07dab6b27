/* A host program in C: submits messages, waits for answers with poll(2) on the engine's descriptor, and counts them.
 * Usage: host SETTINGS DESTINATION CLASS COUNT */
#include <cedarplank/delivery.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int main(int argc, char** argv) {
  char error[512];
  if (argc != 5 || cp_abi_version() != CP_ABI_VERSION) {
    fprintf(stderr, "usage: host SETTINGS DESTINATION CLASS COUNT\n");
    return 2;
  }
  cp_engine* engine = cp_open(argv[1], error, sizeof error);
  if (engine == NULL) {
    fprintf(stderr, "%s\n", error);
    return 2;
  }
  const int count = atoi(argv[4]);
  int submitted = 0, answered = 0, finals[5] = {0, 0, 0, 0, 0};
  while (answered < count) {
    while (submitted < count) {
      char body[64];
      snprintf(body, sizeof body, "id=c%d;", submitted);
      cp_message m;
      memset(&m, 0, sizeof m);
      m.size = sizeof m, m.destination = argv[2], m.message_class = argv[3];
      m.body = body, m.body_size = strlen(body), m.idempotency_key = body;
      uint64_t ticket;
      const int status = cp_submit(engine, &m, &ticket, error, sizeof error);
      if (status == CP_WOULD_BLOCK) break;
      if (status != CP_TAKEN) {
        fprintf(stderr, "%s\n", error);
        cp_close(engine);
        return 1;
      }
      submitted++;
    }
    struct pollfd ready = {cp_descriptor(engine), POLLIN, 0};
    poll(&ready, 1, 1000);
    cp_answer answers[64];
    for (int i = 0; i < 64; i++) answers[i].size = sizeof answers[i];
    const size_t n = cp_poll(engine, answers, 64);
    for (size_t i = 0; i < n; i++) finals[answers[i].final]++;
    answered += (int)n;
  }
  cp_drain(engine, 5000000);
  const int stopped = cp_wait(engine, 10000000);
  cp_close(engine);
  printf("served %d, refused %d, failed %d of %d\n", finals[CP_SERVED], finals[CP_REFUSED], finals[CP_FAILED], count);
  return stopped && finals[CP_SERVED] == count ? 0 : 1;
}
