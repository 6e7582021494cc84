#ifndef PAPAYA_SERVER_H
#define PAPAYA_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A backend server's service discovery entry, which the server writes. */
typedef struct server_info {
	char *id;
	char *service;
	char *address; /* IP:PORT */
	char *zone;
	char *version;
	unsigned slots;		/* requests that it runs concurrently */
	bool draining;		/* shuts down: gets no new requests */
	bool spot;		/* on a reclaimable host */
	int64_t shutdown_in_ms; /* time left if draining; -1: unknown */
	int64_t warmup_ms;	/* how long it is slow after its start */
	int64_t started_ms;	/* Unix time of its start; 0: unknown */
	int64_t
	    sequence; /* grows with each write since its start; 0: unknown */
} server_info_t;

void server_info_free(server_info_t *info);

#endif
