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

extern program_t *platform_standin;

/* Starts the stand-in and writes the configuration. */
void gateway_setup(void);
void gateway_teardown(void);

/* Starts the daemon of an entry host and waits until it is ready. */
program_t *gateway_start(const char *name);

/* The same without the wait. */
program_t *gateway_launch(const char *name);

/* Address of the node's directory and readiness questions. */
const char *gateway_directory_address(const program_t *gateway);

/* Writes a configuration with these keys of the workspace. */
void gateway_configure(int version, const char *keys_json);

/* The same with a rate limit of the workspace, in requests a second. */
void gateway_configure_rate(int version, double rate_per_s);

/* Writes, or removes, a key of the store. */
void gateway_store_put(const char *key, const char *value);
void gateway_store_remove(const char *key);

/*
 * Listening sockets of two scripted backend servers, and a node in front of
 * them: "i-1" of service "plain" and "e-1" of service "engine".
 */
extern program_t *gateway_node;
extern int backend_listener_1, backend_listener_2;
extern int backend_port_1, backend_port_2;

/* A fixture of these on top of gateway_setup(). */
void gateway_fixture_setup(void);
void gateway_fixture_teardown(void);

/* Sends a request with "key-1" on a new connection to gateway_node. */
int gateway_send_request(const char *path, const char *attempt_id);

/* Both ends of one request, and the request as its server got it. */
typedef struct gateway_exchange {
	int client_fd;
	int server_fd;
	char *request;
} gateway_exchange_t;

/* Sends a request with id "id-1" and accepts it at a server's socket. */
gateway_exchange_t gateway_exchange_open(const char *path, int listener);
/* Closes what is still open (not -1). */
void gateway_exchange_close(gateway_exchange_t *exchange);

/* Lists a backend server of version "v1", or of another one. */
void gateway_register_server(
    const char *id, const char *service, int port, const char *state);
void gateway_register_server_version(const char *id, const char *service,
    int port, const char *state, const char *version);

/* The value of a key of the store; NULL where there is none. */
char *gateway_store_get(const char *key);

/* Text of a request of one of the routes above. Free with g_free(). */
char *gateway_format_request(
    const char *path, const char *attempt_id, const char *key);

#endif
