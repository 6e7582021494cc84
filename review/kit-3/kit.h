#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins and helpers of the scripts of this review: a key-value store with
 * the cloud API, small HTTP servers and clients on loopback, and the nodes,
 * which are processes of their own. Blocking sockets, a thread for each
 * connection.
 */

enum { KIT_TEXT_MAX = 512 };

/* Milliseconds of the steady clock. */
int64_t kit_now_ms(void);
/* Milliseconds since 1970. */
int64_t kit_wall_ms(void);
void kit_sleep_ms(int64_t duration_ms);
/* Ends the script: it could not run. */
void kit_fail(const char *format, ...) __attribute__((format(printf, 1, 2)))
__attribute__((noreturn));

/* Opens FILE for kit_record(), and starts the time of the records. */
void kit_record_open(const char *file);
/* Writes one line with the time since kit_record_open(). */
void kit_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Starts a detached thread. */
void kit_thread(void *(*run)(void *), void *data);

/* A request or a response, as it was read. */
typedef struct kit_message {
	char head[16 * 1024]; /* with its last empty line, NUL-terminated */
	char method[16];
	char target[KIT_TEXT_MAX];
	unsigned status;
	char *body; /* NUL-terminated; to be freed by kit_message_clear() */
	size_t body_length;
	bool complete; /* the body came to its end */
} kit_message_t;

void kit_message_clear(kit_message_t *message);
/* Copies a header's value; false, and "", where there is none. */
bool kit_header(
    const kit_message_t *message, const char *name, char *value, size_t size);
/* Reads a request, or a response; false at the end of the connection. */
bool kit_read_request(int fd, kit_message_t *message);
bool kit_read_response(int fd, kit_message_t *message);
bool kit_send(int fd, const char *bytes, size_t length);
bool kit_sendf(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Closes the connection with a reset. */
void kit_reset(int fd);
/* Connects to a port of 127.0.0.1, with a limit for each read; -1: failed. */
int kit_connect(int port, int64_t read_limit_ms);
/* Listens on a free port of 127.0.0.1, or on *port where that is not 0. */
int kit_listen(int *port);
/* Serves each connection of the listener with run(fd, data). */
typedef struct kit_server {
	int listener;
	void (*run)(int fd, void *data);
	void *data;
} kit_server_t;
void kit_serve(const kit_server_t *server);

/* The platform's store and cloud API; returns its port. */
int kit_store_start(void);
/* Writes a value, whose key is given as the text within a JSON string. */
void kit_store_put(const char *key_text, const char *value);
/* While it is away, the store answers 503. */
void kit_store_set_away(bool away);
/* Keeps a copy of the store, and comes back from it: the era rises. */
void kit_store_copy(void);
void kit_store_restore(void);

/* Calls this for each usage report; the cloud API accepts every one whose
 * fencing token is not lower than one before. */
void kit_store_on_usage(
    void (*on_usage)(const char *holder, const char *token, const char *body));

typedef struct kit_node {
	const char *name;
	const char *zone;
	pid_t pid;
	int front_port;
	int ready_port;
} kit_node_t;

/* Starts papayad with the command of the deploy file, and waits for it. */
void kit_node_start(kit_node_t *node, const char *folder, int store_port);
bool kit_node_is_ready(const kit_node_t *node);
/* Waits until it is; fails after 20 s. */
void kit_node_wait_ready(const kit_node_t *node);
/* False where the process has ended by itself. */
bool kit_node_is_running(const kit_node_t *node);
/* Kills the process; it may be started again. */
void kit_node_kill(kit_node_t *node);
/* Ends all nodes that were started. */
void kit_nodes_end(void);

#endif
