#ifndef PAPAYA_REQUEST_FACTS_H
#define PAPAYA_REQUEST_FACTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PROMPT_SEGMENTS_MAX = 24 };

/*
 * One segment of a prompt. Requests may have leading segments in common; the
 * last segment belongs to one request only.
 */
typedef struct prompt_segment {
	uint64_t id;
	unsigned tokens;
} prompt_segment_t;

/* Values of a client's request headers; strings are borrowed from the head. */
typedef struct request_facts {
	const char *attempt_id; /* NULL where missing or repeated */
	const char *host;	/* NULL where missing or repeated */
	const char *api_key;	/* NULL where missing */
	int64_t timeout_ms;	/* from receipt to the deadline; -1: none */
	bool has_tokens;	/* tokens_in and tokens_out are set */
	unsigned tokens_in;	/* of the prompt */
	unsigned tokens_out;	/* of the output */
	prompt_segment_t segments[PROMPT_SEGMENTS_MAX];
	size_t segment_count;
} request_facts_t;

/* Values of a backend server's response headers. */
typedef struct response_facts {
	const char *attempt_id; /* NULL where missing */
	bool not_run;	   /* the server guarantees that it did not run it */
	bool wrong_server; /* another server has the address now */
	bool leaving;	   /* the server is about to shut down */
	bool no_events;	   /* its media type is not that of an event stream */
	int64_t retry_after_ms; /* of a 503: pause that it asks for; -1: none */
	int64_t cold_ms; /* for which the server is still cold; -1: not given */
	int64_t idle_timeout_ms; /* of the connection; -1: not given */
} response_facts_t;

/* Headers to set or drop when a request is forwarded to a backend server. */
typedef struct forward_options {
	const char *server_id;
	const char *workspace;	   /* NULL: none */
	bool drop_api_key;	   /* the key is this system's */
	int64_t remaining_ms;	   /* until the request's deadline */
	int priority;		   /* 0 is the most urgent; -1: not sent */
	const char *last_event_id; /* replaces the client's; NULL: keeps it */
	/* IP:PORT/HANDLE of a moved request's KV cache; NULL: not moved */
	const char *moved_from;
	size_t body_length;
	bool has_body;
} forward_options_t;

#endif
