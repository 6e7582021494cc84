#ifndef REVIEW_ENGINE_H
#define REVIEW_ENGINE_H

#include "fleet.h"

/*
 * Model servers that stream events and move running streams with their memory,
 * as PROTOCOL.md says: POST /v1/kv-move with "last", and Kv-From.
 */

enum { ENGINE_EVENTS = 100 }; /* of a stream, one each 100 ms */

/* Starts an engine; all but the handler is set. */
void engine_start(server_t *engine);

/* Answers one request. */
bool engine_serve(server_t *engine, int fd, const message_t *request);

/* Tells whether the engine refuses a request as not run; NULL: none does. */
extern bool (*engine_sheds)(const server_t *engine);

/* Runs of a request, without those that go on with a copy. */
int engine_count_runs(const char *id);

extern int engine_moved_count;

#endif
