#ifndef PAPAYA_TEST_SUPPORT_H
#define PAPAYA_TEST_SUPPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

/* A program under test. Ended by program_end() or programs_end(). */
typedef struct program {
	pid_t pid;
	char *address; /* IP:PORT that it listens on */
	int stdout_fd; /* read end of its stdout */
} program_t;

/*
 * Starts a program of the build folder (PAPAYA_BIN) with arguments, NULL at
 * the end, and waits for its line "listening". Fails the test otherwise.
 */
program_t *program_start(const char *name, ...) G_GNUC_NULL_TERMINATED;

/*
 * Starts papayad with a configuration made of these values and of the members
 * of extra (may be NULL; the reference is taken over).
 */
program_t *papayad_start(const char *name, const char *zone,
    const program_t *store, const char *team, json_t *extra);

/* Exit code, or 128 plus the signal that ended it. Releases the program. */
int program_end(program_t *program, int signal);

/* Waits for the end of a program that was told to end. Releases it. */
int program_wait(program_t *program);

/* Ends every program still running, by pid: the teardown of a test. */
void programs_end(void);

/* Response to one request. */
typedef struct test_response {
	long status;	     /* 0: no response */
	bool complete;	     /* false: cut, or none in time */
	GString *body;	     /* so far, while it arrives */
	GHashTable *headers; /* lower-case name: value */
	json_t *json;	     /* body as JSON; NULL if it is none */
} test_response_t;

typedef struct test_request {
	const char *method; /* NULL: GET, or POST with a body */
	const program_t *target;
	const char *path;
	const char *const *headers; /* "Name: value", NULL at the end */
	const char *body;
	long timeout_ms;	  /* 0: 30000 */
	int receive_buffer_bytes; /* bytes that the socket takes unread; 0:
				     default */
	/* Optional: after each piece of the body; false stops reading. */
	bool (*on_data)(test_response_t *answer, void *data);
	void *data;
} test_request_t;

test_response_t *test_request_send(const test_request_t *request);
void test_response_free(test_response_t *response);
const char *test_response_header(
    const test_response_t *response, const char *name);

/* Sends JSON (the reference is taken over) and checks the status. */
test_response_t *test_request_json(const program_t *target, const char *method,
    const char *path, json_t *body, long expected_status);

/* Sets faults of a stand-in from JSON text. */
void faults_set(const program_t *standin, const char *json);

/* Puts a team's first settings (the reference to tree is taken over). */
void settings_put(const program_t *node, const char *team, json_t *tree);

/* Peer address of a registered node, newly allocated. */
char *node_peer_address(const program_t *store, const char *name);

/* Waits until ready(data) is true; fails the test after 20 s. */
void wait_until(bool (*condition)(void *data), void *data);

/* Value of a counter at /metrics; 0 if it is absent. */
double metric_read(const program_t *node, const char *name);

#endif
