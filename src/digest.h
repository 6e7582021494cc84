#ifndef PAPAYA_DIGEST_H
#define PAPAYA_DIGEST_H

#include "pool.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The state that each node reports to every other node, as one datagram in
 * msgpack that is sent periodically. A digest is complete and replaces the
 * previous one of its sender, so a lost one is not sent again.
 */

typedef struct digest_spending {
	char *workspace;
	double spent_units;  /* by the sender since its start, in quota units */
	double bucket_level; /* of the sender's token bucket, in units */
	/* Units lately asked of the sender; -1: it does not report that. */
	double demand_per_s;
} digest_spending_t;

typedef struct digest_load {
	uint32_t server_tag; /* server_tag() of its id */
	server_load_t load;
} digest_load_t;

typedef struct digest_usage {
	int64_t window; /* number, see usage.h */
	char *workspace;
	double count; /* requests that the sender began to run in it */
} digest_usage_t;

/* The sender's evidence on a version move in progress. */
typedef struct digest_move {
	char *service;
	int64_t revision; /* of the store, at which the move was ordered */
	int64_t era;	  /* of that revision; an earlier version sends 0 */
	bool stopped;	  /* by the sender, which found the new version bad */
	char *evidence;	  /* JSON text of evidence_to_json() */
} digest_move_t;

/* See crash_guard.h. Times are Unix milliseconds. */
typedef struct digest_crash {
	uint64_t segment;
	uint32_t process; /* of a backend server */
	int64_t sent_ms;
	int64_t crashed_ms;
} digest_crash_t;

typedef struct digest_survival {
	uint64_t segment;
	int64_t began_ms;
} digest_survival_t;

/* See process_liveness.h. */
typedef struct digest_liveness {
	uint32_t process; /* of a backend server */
	int64_t alive_ms;
} digest_liveness_t;

typedef struct digest {
	char *node;
	int64_t incarnation; /* start of the sender's process, ms since 1970 */
	int64_t sequence;    /* increases within an incarnation */
	char *client_address;
	bool ready;
	/* Not ready for lack of proof of its configuration only. */
	bool unproven;
	bool active;	   /* receives digests often, see active_set.h */
	bool leader;	   /* has the singleton duties */
	double processors; /* that the sender may use */
	int64_t wall_ms;   /* slewed clock of the sender when it was sent */
	int64_t configuration_version;
	int64_t store_era;	 /* that the sender knows; 0: none */
	int64_t recorded_window; /* newest recorded usage; 0: none */
	/* Of the sender; NULL: unknown, or the deployment has one region. */
	char *zone;
	GArray *spending;  /* of digest_spending_t */
	GArray *loads;	   /* of digest_load_t */
	GArray *usage;	   /* of digest_usage_t */
	GArray *moves;	   /* of digest_move_t, moves in progress */
	GArray *crashes;   /* of digest_crash_t */
	GArray *survivals; /* of digest_survival_t */
	GArray *liveness;  /* of digest_liveness_t */
} digest_t;

digest_t *digest_new(void);
void digest_free(digest_t *digest);

/* Appends the encoded digest to out. */
void digest_encode(const digest_t *digest, GByteArray *out);

/* NULL where the bytes are malformed or of another format version. */
digest_t *digest_decode(const char *bytes, size_t length);

#endif
