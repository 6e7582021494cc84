#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small deployment on loopback addresses: the stand-in of the platform, entry
 * hosts started with the command of the deploy file, backend servers and
 * callers that run as threads of the test. Everything that is started ends with
 * the test.
 */

enum {
	NODES_MAX = 8,
	TEXT_MAX = 64 * 1024,
	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_CANNOT_RUN = 2,
};

/* Milliseconds of the steady clock since the test started. */
int64_t now_ms(void);
/* Unix time in milliseconds. */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Writes a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends the test as one that could not run. */
void cannot_run(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* True unless the environment has TROUBLE=0. */
bool has_trouble(void);

/* A free TCP port; pair: the one after it is free too. */
int free_port(bool pair);

/* A message: start line and headers in head, then the body. */
typedef struct message {
	char head[16 * 1024];
	char body[TEXT_MAX];
	size_t body_length;
	bool has_head;
	bool complete; /* its framing says that nothing is missing */
	int status;    /* of a response; 0: none */
	int64_t ended_ms;
} message_t;

/* Copies the value of a header; false where there is none. */
bool header_value(
    const message_t *message, const char *name, char *out, size_t size);
double header_number(
    const message_t *message, const char *name, double fallback);

/* A connection, -1 where there is none. */
int connect_to(const char *ip, int port, int timeout_ms);
bool send_text(int fd, const char *text);
/* Closes with a reset. */
void reset_connection(int fd);
/* Reads a response until it ends, or until timeout_ms have passed. */
void read_response(int fd, message_t *response, int64_t timeout_ms);
/* One call on a new connection; false where there is no response. */
bool call(const char *ip, int port, const char *request, message_t *response,
    int64_t timeout_ms);

/* A backend server; handler answers one request of a connection. */
typedef struct server {
	char id[64];
	char service[64];
	char zone[64];
	bool spot;
	int slots;
	int port;
	int64_t born_ms;
	int sequence;
	bool down;   /* writes no entry, resets connections */
	bool hidden; /* writes no entry */
	bool draining;
	int64_t leaves_at_ms; /* now_ms() at which it leaves; 0: unknown */
	/* False: closes the connection. */
	bool (*handler)(
	    struct server *server, int fd, const message_t *request);
	int number;
} server_t;

void server_start(server_t *server);
/* Writes the server's entry to the store. */
void server_register(server_t *server);

/* The stand-in of the platform; program: its file in the build folder. */
void platform_start(const char *program);
/* Sends a call to it; false where it does not answer. */
bool platform_call(const char *method, const char *path, const char *body,
    message_t *response);
/* Writes a key as the operator or a server does. */
bool platform_put(const char *key, const char *value);
int platform_port(void);

/* An entry host. */
typedef struct node {
	char ip[32];
	char name[64];
	char zone[64];
	pid_t pid; /* 0: not running */
} node_t;

extern node_t nodes[NODES_MAX];
extern int front_port;

/* Starts node number index; bootstrap as in its settings. */
void node_start(int index, const char *zone, bool bootstrap);
/* Waits until the node reports that it is ready. */
void node_await_ready(int index, int64_t timeout_ms);
void node_signal(int index, int signal_number);
/* Kills it and waits for its end. */
void node_kill(int index);
/* True where the process runs. */
bool node_runs(int index);

/* Prepares the test; arguments: the file of the record, a folder for logs. */
void fleet_begin(int argc, char **argv);

#endif
