#ifndef PAPAYA_REQUEST_FACTS_H
#define PAPAYA_REQUEST_FACTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PROMPT_SEGMENTS_MAX = 24 };

/* One part of a prompt; requests share parts, but for the last one. */
typedef struct prompt_segment {
	uint64_t id;
	unsigned tokens;
} prompt_segment_t;

/* What a client's request says; strings are borrowed from its head. */
typedef struct request_facts {
	const char *attempt_id; /* NULL where missing or repeated */
	const char *host;	/* NULL where missing or repeated */
	const char *api_key;	/* NULL where missing */
	int64_t timeout_ms;	/* -1: none */
	bool has_tokens;
	unsigned tokens_in;
	unsigned tokens_out;
	prompt_segment_t segments[PROMPT_SEGMENTS_MAX];
	size_t segment_count;
} request_facts_t;

/* What a backend server's response says. */
typedef struct response_facts {
	const char *attempt_id; /* NULL where missing */
	bool not_run;		/* the server promises that it did not run it */
	bool wrong_server;	/* another server has the address now */
	int64_t idle_timeout_ms; /* of the connection; -1: not said */
} response_facts_t;

/* What the system adds to a request on its way to a backend server. */
typedef struct forward_options {
	const char *server_id;
	const char *workspace;	   /* NULL: none */
	bool drop_api_key;	   /* the API key is the system's */
	int64_t remaining_ms;	   /* time left */
	int priority;		   /* 0 is the most urgent; -1: not said */
	const char *last_event_id; /* overrides the client's; NULL: its own */
	const char *moved_from; /* IP:PORT/HANDLE of a run's memory; or NULL */
	size_t body_length;
	bool has_body;
} forward_options_t;

#endif
