#ifndef PAPAYA_LEDGER_RECORD_H
#define PAPAYA_LEDGER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* 128 bits: a nonce, or the hash of a request. */
typedef struct ledger_id {
	uint64_t high;
	uint64_t low;
} ledger_id_t;

typedef enum ledger_record_state {
	LEDGER_STARTED,	  /* may have run; never run again */
	LEDGER_RESPONDED, /* ran; the response is known */
	LEDGER_UNKNOWN,	  /* may have run; the response is lost */
} ledger_record_state_t;

/* Where the body of a response is. */
typedef enum ledger_body_location {
	LEDGER_BODY_INLINE,   /* in the record */
	LEDGER_BODY_SEPARATE, /* in the store under a key of its own */
	LEDGER_BODY_OMITTED,
} ledger_body_location_t;

enum {
	LEDGER_KEY_MAX = 128, /* characters of an idempotency key */
	LEDGER_NO_KEY_TIME = -1,
};

/* One non-idempotent request. Immutable and reference counted. */
typedef struct ledger_record {
	unsigned refs;
	char *service; /* TEAM/NAME */
	char *key;
	char *node; /* that writes the outcome */
	ledger_id_t hash;
	ledger_id_t nonce;     /* of the start */
	int64_t start_ms;      /* wall clock */
	int64_t expires_at_ms; /* wall clock */
	int64_t key_time_ms;   /* time in a UUIDv7 key, or LEDGER_NO_KEY_TIME */
	ledger_record_state_t state;
	int status;	    /* of the response */
	char *content_type; /* content type of the response */
	ledger_body_location_t body_location;
	GBytes *body; /* INLINE only */
} ledger_record_t;

/*
 * Decoded value of one partition. Owned by its holder. floors: per service,
 * the newest key_ms of a dropped record; a UUIDv7 key that is not newer may
 * have had a record and is refused.
 */
typedef struct ledger_value {
	int64_t revision;
	GHashTable *records; /* ledger_record_name(): ledger_record_t */
	GHashTable *floors;  /* service: int64_t */
	size_t size;	     /* upper bound of the encoded size */
} ledger_value_t;

bool ledger_id_equal(ledger_id_t a, ledger_id_t b);

/* 32 hexadecimal digits, newly allocated for g_free(). */
char *ledger_id_text(ledger_id_t id);
bool ledger_id_parse(const char *text, ledger_id_t *id);

/* Name of a request in its partition, newly allocated for g_free(). */
char *ledger_record_name(const char *service, const char *key);

/* Time in a UUIDv7 (RFC 9562, 5.7) in ms, or LEDGER_NO_KEY_TIME. */
int64_t ledger_key_time_ms(const char *key);

/* Copies record's strings and takes a reference to its body. */
ledger_record_t *ledger_record_new(const ledger_record_t *record);
ledger_record_t *ledger_record_ref(ledger_record_t *record);
void ledger_record_unref(ledger_record_t *record);

/* Upper bound of the encoded size. */
size_t ledger_record_size(const ledger_record_t *record);

ledger_value_t *ledger_value_new(void);
ledger_value_t *ledger_value_copy(const ledger_value_t *value);
void ledger_value_free(ledger_value_t *value);

ledger_record_t *ledger_value_find(
    const ledger_value_t *value, const char *name);
/* Adds or replaces; takes over the reference. */
void ledger_value_put(ledger_value_t *value, ledger_record_t *record);
void ledger_value_remove(ledger_value_t *value, const char *name);

/* Drops records past their time and raises the floors. */
void ledger_value_expire(ledger_value_t *value, int64_t now_ms);

/* Newest key_ms that was dropped for a service, or LEDGER_NO_KEY_TIME. */
int64_t ledger_value_floor(const ledger_value_t *value, const char *service);

GBytes *ledger_value_encode(const ledger_value_t *value);
/* NULL and *error where malformed. */
ledger_value_t *ledger_value_decode(
    const void *bytes, size_t length, int64_t revision, GError **error);

#endif
