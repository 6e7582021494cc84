#ifndef PAPAYA_DIGEST_H
#define PAPAYA_DIGEST_H

#include "pool.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What a node tells every other one several times a second, as one datagram
 * in msgpack. Each digest replaces the one before.
 */

typedef struct digest_spending {
	char *workspace;
	double spent_units;  /* by the sender since its start */
	double bucket_level; /* of its bucket */
} digest_spending_t;

typedef struct digest_load {
	uint32_t server_tag; /* server_tag() */
	server_load_t load;
} digest_load_t;

typedef struct digest_usage {
	int64_t window;
	char *workspace;
	double count;
} digest_usage_t;

/* What a node has seen of a version move. */
typedef struct digest_move {
	char *service;
	int64_t revision; /* of the order */
	bool stopped;	  /* the sender has found the new version bad */
	char *evidence;	  /* JSON text of evidence_to_json() */
} digest_move_t;

typedef struct digest {
	char *node;
	int64_t incarnation; /* of the process; later ones are higher */
	int64_t sequence;
	char *client_address;
	bool ready;
	int64_t wall_ms; /* of the sender's clock when it was sent */
	int64_t configuration_version;
	GArray *spending; /* of digest_spending_t */
	GArray *loads;	  /* of digest_load_t */
	GArray *usage;	  /* of digest_usage_t */
	GArray *moves;	  /* of digest_move_t, those that run */
} digest_t;

digest_t *digest_new(void);
void digest_free(digest_t *digest);

/* Appends the datagram. */
void digest_encode(const digest_t *digest, GByteArray *out);

/* NULL where the bytes are not a digest. */
digest_t *digest_decode(const char *bytes, size_t length);

#endif
