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
	LEDGER_STARTED,	  /* may have run; never runs again */
	LEDGER_RESPONDED, /* ran; the response is known */
	LEDGER_UNKNOWN,	  /* may have run; the response is lost */
} ledger_record_state_t;

/* Where the body of a response is stored. */
typedef enum ledger_body_location {
	LEDGER_BODY_INLINE,   /* in the record */
	LEDGER_BODY_SEPARATE, /* in the store under a separate key */
	LEDGER_BODY_OMITTED,  /* not stored */
} ledger_body_location_t;

enum {
	LEDGER_KEY_MAX = 128,	 /* characters of an idempotency key */
	LEDGER_NO_KEY_TIME = -1, /* the key is not a UUIDv7 */
};

/* One non-idempotent request. Immutable and reference counted. */
typedef struct ledger_record {
	unsigned refs;
	char *service; /* TEAM/NAME */
	char *key;
	char *node; /* started the request and writes its outcome */
	ledger_id_t hash;
	ledger_id_t nonce;     /* of the start */
	int64_t start_ms;      /* wall clock */
	int64_t expires_at_ms; /* wall clock; the record is then removed */
	int64_t key_time_ms;   /* time in a UUIDv7 key, or LEDGER_NO_KEY_TIME */
	ledger_record_state_t state;
	int status;	    /* of the response */
	char *content_type; /* of the response */
	ledger_body_location_t body_location;
	GBytes *body; /* LEDGER_BODY_INLINE only; may be NULL */
} ledger_record_t;

/*
 * Decoded value of one partition. Free with ledger_value_free(). floors: per
 * service, the latest key_time_ms of an expired record. A UUIDv7 key that is
 * not later may have had a record and is refused.
 */
typedef struct ledger_value {
	int64_t revision;    /* of the store */
	GHashTable *records; /* ledger_record_t by ledger_record_name() */
	GHashTable *floors;  /* int64_t, ms, by service */
	size_t size;	     /* upper bound of the encoded size, bytes */
} ledger_value_t;

bool ledger_id_equal(ledger_id_t a, ledger_id_t b);

/* 32 hexadecimal digits; the caller frees with g_free(). */
char *ledger_id_text(ledger_id_t id);
/* False if text is not 32 hexadecimal digits. */
bool ledger_id_parse(const char *text, ledger_id_t *id);

/* Name of a record in its partition; the caller frees with g_free(). */
char *ledger_record_name(const char *service, const char *key);

/*
 * Unix time in ms of a UUIDv7 (RFC 9562, 5.7), or LEDGER_NO_KEY_TIME if key is
 * not one.
 */
int64_t ledger_key_time_ms(const char *key);

/* Copies a record and its strings; takes a reference to its body. */
ledger_record_t *ledger_record_new(const ledger_record_t *record);
ledger_record_t *ledger_record_ref(ledger_record_t *record);
void ledger_record_unref(ledger_record_t *record);

/* Upper bound of the encoded size in bytes. */
size_t ledger_record_size(const ledger_record_t *record);

ledger_value_t *ledger_value_new(void);
ledger_value_t *ledger_value_copy(const ledger_value_t *value);
void ledger_value_free(ledger_value_t *value);

/* Borrowed; NULL if there is none. name is from ledger_record_name(). */
ledger_record_t *ledger_value_find(
    const ledger_value_t *value, const char *name);
/* Adds or replaces a record; owns the given reference. */
void ledger_value_put(ledger_value_t *value, ledger_record_t *record);
void ledger_value_remove(ledger_value_t *value, const char *name);

/* Removes expired records and raises the floors. */
void ledger_value_expire(ledger_value_t *value, int64_t now_ms);

/* Floor of a service, or LEDGER_NO_KEY_TIME if it has none. */
int64_t ledger_value_floor(const ledger_value_t *value, const char *service);

GBytes *ledger_value_encode(const ledger_value_t *value);
/* Returns NULL and sets *error if the bytes are malformed. */
ledger_value_t *ledger_value_decode(
    const void *bytes, size_t length, int64_t revision, GError **error);

#endif
