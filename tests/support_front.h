#ifndef PAPAYA_TEST_SUPPORT_FRONT_H
#define PAPAYA_TEST_SUPPORT_FRONT_H

#include "support.h"

/*
 * One or more `papayad --platform` over the stand-in of the users' platform.
 * The configuration has, on host "t.example":
 *   /book/    non-idempotent, one attempt, service "plain"
 *   /read/    idempotent, two attempts, service "plain"
 *   /talk/    a stream that can be resumed, two attempts, service "engine"
 *   /write/   a stream that cannot, one attempt, service "engine"
 *   /open/    idempotent and public, service "plain"
 * and workspace "depot" with the keys "key-1" and "key-2".
 */

extern program_t *front_platform;

/* Starts the stand-in and writes the configuration. */
void front_setup(void);
void front_teardown(void);

/* Starts the daemon of an entry host and waits until it is ready. */
program_t *front_start(const char *name);

/* The same without the wait. */
program_t *front_launch(const char *name);

/* Address of the node's directory and readiness questions. */
const char *front_questions(const program_t *front);

/* Writes a configuration with these keys of the workspace. */
void front_configure(int version, const char *keys_json);

/* The same with a rate limit of the workspace, in requests a second. */
void front_configure_rate(int version, double rate_per_s);

/* Writes, or removes, a key of the store. */
void front_put(const char *key, const char *value);
void front_remove(const char *key);

/*
 * Listening sockets of two scripted backend servers, and a node in front of
 * them: "i-1" of service "plain" and "e-1" of service "engine".
 */
extern program_t *front_node;
extern int front_server_1, front_server_2;
extern int front_port_1, front_port_2;

/* A fixture of these on top of front_setup(). */
void front_fixture_start(void);
void front_fixture_end(void);

/* Sends a request with "key-1" on a new connection to front_node. */
int front_send(const char *path, const char *attempt_id);

/* Both ends of one request, and the request as its server got it. */
typedef struct front_ends {
	int client;
	int server;
	char *request;
} front_ends_t;

/* Sends a request with id "id-1" and accepts it at a server's socket. */
front_ends_t front_open(const char *path, int listener);
/* Closes what is still open (not -1). */
void front_close(front_ends_t *ends);

/* Lists a backend server of version "v1", or of another one. */
void front_list_server(
    const char *id, const char *service, int port, const char *state);
void front_list_version(const char *id, const char *service, int port,
    const char *state, const char *version);

/* The value of a key of the store; NULL where there is none. */
char *front_get(const char *key);

/* Text of a request of one of the routes above. Free with g_free(). */
char *front_request(const char *path, const char *attempt_id, const char *key);

#endif
