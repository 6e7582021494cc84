#ifndef PAPAYA_MOVE_START_H
#define PAPAYA_MOVE_START_H

#include "move.h"

/*
 * Start of one move: declaration, lease, state. The declaration decides which
 * of two operators who start at once wins; the state, created under a lease
 * that ends before the deadline, makes the move run. As in move.h the caller
 * carries out the actions and reports results.
 */
typedef struct move_start move_start_t;

typedef enum move_start_action_type {
	MOVE_START_READ_DECLARATION,
	MOVE_START_READ_STATE, /* of the move with this id */
	MOVE_START_SWAP_DECLARATION,
	MOVE_START_GRANT_LEASE,
	MOVE_START_SWAP_STATE, /* create under the lease */
	MOVE_START_DONE,
	MOVE_START_FAILED,
} move_start_action_type_t;

typedef struct move_start_action {
	move_start_action_type_t type;
	const char *move_id;	     /* READ_STATE */
	const move_record_t *record; /* SWAP_*, DONE */
	int64_t expected_revision;   /* SWAP_DECLARATION */
	int64_t ttl_ms;		     /* LEASE */
	const GError *error;	     /* FAILED */
} move_start_action_t;

typedef struct move_request {
	const char *service;
	const char *to;
	const char *current_version; /* version in the settings */
	int64_t settings_revision;
	move_policy_t policy;
	int64_t within_ms;
	uint64_t random_id; /* id of the move */
} move_request_t;

move_start_t *move_start_new(const move_request_t *request);
void move_start_free(move_start_t *start);

/* The next action; one is in progress at a time. */
move_start_action_t move_start_step(move_start_t *start, int64_t now_ms);

/* A read's result; record NULL and failed false: the key is absent. */
void move_start_read_done(move_start_t *start, const move_record_t *record,
    int64_t revision, bool failed, int64_t now_ms);
void move_start_swap_done(move_start_t *start, move_write_result_t result,
    int64_t revision, int64_t now_ms);
/* lease NULL: the call failed. */
void move_start_lease_done(
    move_start_t *start, const char *lease, int64_t now_ms);

/* Revision of the state once DONE. */
int64_t move_start_state_revision(const move_start_t *start);

#endif
