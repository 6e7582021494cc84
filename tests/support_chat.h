#ifndef PAPAYA_TEST_SUPPORT_CHAT_H
#define PAPAYA_TEST_SUPPORT_CHAT_H

#include "support.h"

enum { CHAT_TOKENS = 40 };

/*
 * One node of zone-a with team t1: a model service "chat" and a repeatable
 * plain service "pages". Two servers on host-1 and host-2 belong to one of
 * them.
 */
typedef struct chat {
	program_t *store, *node, *one, *two;
	int max_tokens;	    /* of each request */
	int receive_buffer; /* as in test_request_t */
} chat_t;

extern chat_t chat;

/*
 * Starts everything and waits until the settings are in effect. The servers
 * are this stand-in program and belong to this service; extra goes to
 * papayad_start().
 */
void chat_start(
    const char *program, const char *service, int in_flight, json_t *extra);
/* Waits until a node has the settings. */
void chat_wait_applied(program_t *node);
/* Ends all programs: the teardown of a test. */
void chat_end(void);

/* Asks the node for a completion; header may be NULL. */
test_response_t *chat_complete(bool stream, const char *prompt,
    const char *header, bool (*on_data)(test_response_t *answer, void *data),
    void *data);

/* Tokens of a stream in order; -1 where one is not the prompt's. */
int chat_tokens(const test_response_t *answer, const char *prompt);

/* Checks that a stream is whole and right, and frees it. */
void chat_check(test_response_t *answer, const char *prompt);

/* A number of an engine's own statistics. */
int chat_stat(const program_t *engine, const char *name);

#endif
