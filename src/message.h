#ifndef PAPAYA_MESSAGE_H
#define PAPAYA_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Messages between nodes. The payload of a frame is one msgpack array
 * [TYPE, field, ...], with the fields in the order of the structs below.
 */
typedef enum message_type {
	MESSAGE_HELLO = 1,
	MESSAGE_HEARTBEAT,
	MESSAGE_SETTINGS,
	MESSAGE_SETTINGS_REQUEST,
	MESSAGE_HOST_LEAVING,
	MESSAGE_MOVE_STOP,
	MESSAGE_MOVE_STATE,
	MESSAGE_OUTCOME_REQUEST,
	MESSAGE_OUTCOME_RESPONSE,
	MESSAGE_ZONE_SUMMARY,
	MESSAGE_ENGINE_REPORTS,
} message_type_t;

enum { MESSAGE_FRAME_MAX_BYTES = 2 * 1024 * 1024 };

typedef struct message_revision {
	char *team;
	int64_t revision;
} message_revision_t;

/* One node of a zone summary. */
typedef struct message_member {
	char *node;
	char *http_address;
	char *peer_address;
	int64_t incarnation;
	bool draining;
	bool suspect;
} message_member_t;

/* Frees the strings of a member, not the struct. */
void message_member_clear(message_member_t *member);

/* Load of one engine, and changes of its prefix cache since the last report. */
typedef struct message_engine_report {
	char *backend;
	unsigned running_requests;
	unsigned waiting_requests;
	GArray *stored_prefixes;  /* uint64_t, newly cached; may be NULL */
	GArray *evicted_prefixes; /* uint64_t; may be NULL */
} message_engine_report_t;

/* A decoded message. Strings and arrays are owned by it. */
typedef struct message {
	message_type_t type;
	union {
		struct {
			char *node;
			char *zone;
			char *http_address;  /* IP:PORT for clients */
			char *peer_address;  /* IP:PORT for nodes */
			int64_t incarnation; /* higher after a restart */
		} hello;
		struct {
			char *node;
			int64_t sequence;
			bool draining;
			unsigned in_flight;
			GArray *revisions; /* message_revision_t */
		} heartbeat;
		struct {
			char *team;
			int64_t revision;
			char *value; /* JSON text of the store's value */
		} settings;
		struct {
			char *team;
		} settings_request;
		struct {
			char *host;
			int64_t leave_at_ms; /* wall clock */
			char *source;
		} host_leaving;
		struct {
			char *service;
			char *move_id;
			char *reason;
		} move_stop;
		struct {
			char *service; /* "" if not about a single one */
			char *record;  /* JSON text */
		} move_state;
		struct {
			char *service;
			char *key;
			char *nonce;
		} outcome_request;
		struct {
			char *service;
			char *key;
			char *nonce;
			bool known;
			int status;
			char *body;
			size_t body_length;
		} outcome_response;
		struct {
			char *zone;
			unsigned nodes;
			unsigned backends;
			unsigned in_flight;
			/* wall clock; 0 in the summary sent on connecting */
			int64_t sent_at_ms;
			/* message_revision_t; lowest in effect, per team */
			GArray *revisions;
			/* message_member_t; empty: unchanged since the last */
			GArray *members;
		} zone_summary;
		struct {
			GArray *list; /* message_engine_report_t */
		} engine_reports;
	};
} message_t;

/* Releases what the message owns; the struct itself is the caller's. */
void message_clear(message_t *message);

/*
 * Appends one frame, with its length, to out. Appends nothing where receivers
 * would reject the frame and close the connection: if it exceeds
 * MESSAGE_FRAME_MAX_BYTES, or if a name is empty or too long. A NULL string is
 * sent as an empty one.
 */
void message_encode(const message_t *message, GByteArray *out);

/*
 * Decodes the payload of one frame. If it is malformed, returns false, sets
 * *error and leaves nothing in the message to release.
 */
bool message_decode(
    const void *payload, size_t length, message_t *message, GError **error);

#endif
