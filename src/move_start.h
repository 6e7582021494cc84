#ifndef PAPAYA_MOVE_START_H
#define PAPAYA_MOVE_START_H

#include "move.h"

/*
 * Starts one move: writes the declaration, obtains a lease and creates the
 * state. If two operators start a move of a service at once, the swap of the
 * declaration lets only one succeed. The move runs from the creation of the
 * state, whose lease expires before the deadline. As in move.h, the caller
 * executes the actions and reports their results.
 */
typedef struct move_start move_start_t;

typedef enum move_start_action_type {
	MOVE_START_READ_DECLARATION,
	MOVE_START_READ_STATE, /* of the move with the id move_id */
	MOVE_START_SWAP_DECLARATION,
	MOVE_START_GRANT_LEASE,
	MOVE_START_SWAP_STATE, /* create it, attached to the lease */
	MOVE_START_DONE,
	MOVE_START_FAILED,
} move_start_action_type_t;

typedef struct move_start_action {
	move_start_action_type_t type;
	const char *move_id;	     /* READ_STATE */
	const move_record_t *record; /* SWAP_*, DONE */
	int64_t expected_revision;   /* SWAP_DECLARATION; 0: absent */
	int64_t ttl_ms;		     /* GRANT_LEASE */
	const GError *error;	     /* FAILED */
} move_start_action_t;

typedef struct move_request {
	const char *service;
	const char *to;
	const char *current_version; /* in the settings */
	int64_t settings_revision;
	move_policy_t policy;
	int64_t within_ms;  /* from the start to the deadline */
	uint64_t random_id; /* becomes the id of the move */
} move_request_t;

/* Copies the request. */
move_start_t *move_start_new(const move_request_t *request);
void move_start_free(move_start_t *start);

/* The next action; report its result before the next call. */
move_start_action_t move_start_step(move_start_t *start, int64_t now_ms);

/* record is NULL if the read failed or the key is absent. */
void move_start_read_done(move_start_t *start, const move_record_t *record,
    int64_t revision, bool failed, int64_t now_ms);
void move_start_swap_done(move_start_t *start, move_write_result_t result,
    int64_t revision, int64_t now_ms);
/* lease is NULL if the call failed. */
void move_start_lease_done(
    move_start_t *start, const char *lease, int64_t now_ms);

/* Revision of the state key, valid after DONE. */
int64_t move_start_state_revision(const move_start_t *start);

#endif
