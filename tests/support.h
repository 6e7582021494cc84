#ifndef PAPAYA_TEST_SUPPORT_H
#define PAPAYA_TEST_SUPPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

/*
 * A running program under test. Freed by program_end(), program_wait() or
 * programs_end().
 */
typedef struct program {
	pid_t pid;
	char *address; /* IP:PORT that it listens on */
	int stdout_fd; /* read end of its stdout */
	/* Of papayad on the platform; NULL and 0 for other programs. */
	char *directory_address;
	int metrics_port, peer_port;
} program_t;

/* Reads the next line that the program prints. Free with g_free(). */
char *program_read_line(const program_t *program);

/* Path of a program of the build directory (PAPAYA_BIN). Free with g_free(). */
char *program_path(const char *name);

/*
 * Starts a program of the build directory (PAPAYA_BIN) with a NULL-terminated
 * list of arguments and waits until it prints its line "listening". Fails the
 * test if there is no such line in time.
 */
program_t *program_start(const char *name, ...) G_GNUC_NULL_TERMINATED;

/*
 * Starts papayad with a configuration made of these values and the members of
 * extra, which may be NULL. Steals the reference to extra.
 */
program_t *papayad_start(const char *name, const char *zone,
    const program_t *store, const char *team, json_t *extra);

/*
 * Sends a signal to the program, waits for it to exit and frees it. Returns its
 * exit code, or 128 plus the number of the signal that ended it.
 */
int program_end(program_t *program, int signal);

/*
 * Waits for the program to exit and frees it. Returns the same as
 * program_end().
 */
int program_wait(program_t *program);

/* Kills the programs that are still running. For the teardown of a test. */
void programs_end(void);

/* Response to one request. Free with test_response_free(). */
typedef struct test_response {
	long status;	     /* 0: no response */
	bool complete;	     /* false: cut off, timed out or no response */
	GString *body;	     /* received so far */
	GHashTable *headers; /* lower-case name: value */
	json_t *json;	     /* parsed body; NULL if it is not JSON */
} test_response_t;

/* A request that a test sends with libcurl. */
typedef struct test_request {
	const char *method; /* NULL: GET, or POST with a body */
	const program_t *target;
	const char *path;
	const char *const
	    *headers; /* "Name: value", NULL-terminated; or NULL */
	const char *body;
	long timeout_ms;	  /* 0: 30000 */
	int receive_buffer_bytes; /* SO_RCVBUF; 0: system default */
	/* Optional; called after each piece of the body; false aborts. */
	bool (*on_data)(test_response_t *response, void *data);
	void *data;
} test_request_t;

/* Sends a request and waits for the end of the response. Never NULL. */
test_response_t *test_request_send(const test_request_t *request);
void test_response_free(test_response_t *response);

/* Value of a header by its lower-case name; NULL if absent. */
const char *test_response_header(
    const test_response_t *response, const char *name);

/*
 * Sends a request with a JSON body, or none if body is NULL, and fails the test
 * if the response has another status. Steals the reference to body.
 */
test_response_t *test_request_json(const program_t *target, const char *method,
    const char *path, json_t *body, long expected_status);

/* Sets the faults that a stand-in program injects, as JSON text. */
void faults_set(const program_t *standin, const char *json);

/* Puts a team's first settings. Steals the reference to tree. */
void settings_put(const program_t *node, const char *team, json_t *tree);

/* Peer address of a registered node. Free with g_free(). */
char *node_peer_address(const program_t *store, const char *name);

/* Polls until condition(data) is true; fails the test after 20 s. */
void wait_until(bool (*condition)(void *data), void *data);

/* Value of a metric at /metrics, with its labels in name; 0 if it is absent. */
double metric_read(const program_t *node, const char *name);

#endif
