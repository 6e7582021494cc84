#ifndef PAPAYA_TEST_SUPPORT_GATEWAY_H
#define PAPAYA_TEST_SUPPORT_GATEWAY_H

#include "support.h"

/*
 * Starts one or more `papayad --platform` with the stand-in of the users'
 * platform as their store and cloud API.
 * The configuration has, on host "t.example":
 *   /book/    non-idempotent, one attempt, service "plain"
 *   /read/    idempotent, two attempts by default, service "plain"
 *   /talk/    resumable stream, two attempts, service "engine"
 *   /write/   stream that cannot be resumed, one attempt, service "engine"
 *   /open/    idempotent and public, service "plain"
 * and workspace "depot" with the API keys "key-1" and "key-2".
 */

extern program_t *platform_standin;

/*
 * Limits of the configuration and of the nodes' settings. Set before
 * gateway_setup(); gateway_teardown() restores the defaults.
 */
typedef struct gateway_limits {
	int body_bytes;	   /* limits.max_body_bytes of the configuration */
	int memory_mb;	   /* limits.memory_mb of the settings; 0: not set */
	int fds_max;	   /* limits.max_fds of the settings; 0: not set */
	int idle_ms;	   /* limits.idle_timeout_ms of the configuration */
	int timeout_ms;	   /* of its routes */
	int read_attempts; /* max_attempts of the route /read/ */
	const char *read_service; /* of the route /read/ */
	int write_attempts;	  /* max_attempts of the route /write/ */
} gateway_limits_t;

extern gateway_limits_t gateway_limits;

/* Starts the stand-in and writes the configuration. */
void gateway_setup(void);
void gateway_teardown(void);

/* Starts the gateway of an entry host and waits until it is ready. */
program_t *gateway_start(const char *name);

/* Starts it without waiting for readiness. */
program_t *gateway_launch(const char *name);

/* IP:PORT at which the node serves address lists and readiness. */
const char *gateway_directory_address(const program_t *gateway);

/*
 * Starts the gateway of an entry host in an availability zone of a deployment
 * with several regions; zones_json: the region of each zone. The other
 * functions start nodes in zone "z", without regions.
 */
program_t *gateway_start_in_zone(
    const char *name, const char *zone, const char *zones_json);

/* Value of a metric of the node; 0 if it is absent. */
double gateway_metric(const program_t *gateway, const char *name);

/* Writes a configuration; keys_json: array of the workspace's API keys. */
void gateway_configure(int version, const char *keys_json);

/* Writes a configuration with "key-1" and a rate limit of the workspace. */
void gateway_configure_rate(int version, double rate_per_s);

/*
 * Writes a configuration with "key-1" in which the route with the path prefix,
 * or the workspace if that is NULL, has these allowed regions.
 */
void gateway_configure_regions(
    int version, const char *path_prefix, const char *regions_json);

/* Writes, or removes, a key of the store. */
void gateway_store_put(const char *key, const char *value);
void gateway_store_remove(const char *key);

/*
 * A gateway and the listening sockets of its two scripted backend servers:
 * 1 is "i-1" of service "plain", 2 is "e-1" of service "engine".
 */
extern program_t *gateway_node;
extern int backend_listener_1, backend_listener_2;
extern int backend_port_1, backend_port_2;

/* Fixture: gateway_setup(), then gateway_node and its backend servers. */
void gateway_fixture_setup(void);
void gateway_fixture_teardown(void);

/* Sends a request with "key-1" to gateway_node; returns the new connection. */
int gateway_send_request(const char *path, const char *attempt_id);

/*
 * Sends a booking with the key to a gateway on a new connection; returns the
 * status of the response.
 */
unsigned gateway_booking_status(const program_t *gateway, const char *key);

/* A request in progress through gateway_node. */
typedef struct gateway_exchange {
	int client_fd; /* -1: closed by the test */
	int server_fd; /* -1: closed by the test */
	char *request; /* as the backend server received it; owned */
} gateway_exchange_t;

/* Sends a request with attempt id "id-1" and accepts it at listener. */
gateway_exchange_t gateway_exchange_open(const char *path, int listener);
void gateway_exchange_close(gateway_exchange_t *exchange);

/* Writes the store's entry of a backend server, of version "v1" by default. */
void gateway_register_server(
    const char *id, const char *service, int port, const char *state);
void gateway_register_server_version(const char *id, const char *service,
    int port, const char *state, const char *version);

/* Writes the entry of a ready backend server in an availability zone. */
void gateway_register_server_in_zone(
    const char *id, const char *service, int port, const char *zone);

/* Value of a key of the store; NULL if it is absent. Free with g_free(). */
char *gateway_store_get(const char *key);

/* Text of a POST request to host "t.example". Free with g_free(). */
char *gateway_format_request(
    const char *path, const char *attempt_id, const char *key);

#endif
