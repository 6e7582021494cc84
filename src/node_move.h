#ifndef PAPAYA_NODE_MOVE_H
#define PAPAYA_NODE_MOVE_H

#include "move_start.h"
#include "node.h"

#include <sys/queue.h>

/* Newest known move of one service. Owned by node_moves.services. */
typedef struct service_move {
	move_t *move;
	bool writer;		/* this node advances the stages in the store */
	bool watch_pending;	/* on the state key */
	unsigned attempts_sent; /* in the evidence last sent */
	int64_t evidence_sent_ms;
} service_move_t;

/*
 * One store call or a sequence of them. On the list node_moves.ops until
 * move_op_end().
 */
typedef struct move_op {
	LIST_ENTRY(move_op) entries;
	node_t *node;
	char *service;
	char *id;
	/* For POST and GET requests of the admin API; else NULL. */
	http_request_t *request;
	move_start_t *start; /* POST only; else NULL */
	int64_t expected;
} move_op_t;

struct node_moves {
	node_t *node;
	GHashTable *services; /* TEAM/NAME to service_move_t */
	LIST_HEAD(, move_op) ops;
	uv_timer_t timer;
	unsigned teams_loaded; /* successful listings of a team's moves */
	/* Monotonic times. */
	int64_t next_list_ms;
	int64_t next_records_request_ms;
	int64_t next_evidence_ms; /* earliest time to send evidence */
};

/* service and id (that of the move) are copied. */
move_op_t *move_op_new(node_t *node, const char *service, const char *id);
/* Releases the operation and its reference to the request. */
void move_op_end(move_op_t *op);

char *move_declaration_key(const char *service);
char *move_state_key(const char *service, const char *id);

/*
 * Parses the record in a store result. The caller owns it; NULL if it is absent
 * or malformed.
 */
move_record_t *move_result_record(node_t *node, const store_result_t *result);
move_write_result_t move_result_write(const store_result_t *result);
/* False if the key was read or is absent. */
bool move_result_failed(const store_result_t *result);

/*
 * Keeps the record if it is newer than the known one of its service, and then
 * broadcasts it to the peers. revision is that of the state key, or 0 if it is
 * unknown.
 */
void node_move_merge_record(
    node_t *node, const move_record_t *record, int64_t revision);

/*
 * Returns the service in the settings (borrowed) and sets the revision of the
 * settings; NULL and 0 if the service is unknown.
 */
const service_t *node_move_service_settings(
    node_t *node, const char *name, int64_t *revision);

/* Executes the actions of the move that are due now. */
void node_move_execute_actions(node_t *node, service_move_t *entry);

/*
 * Sends a MOVE_STATE message to a peer, or to all peers if to is NULL. Steals
 * the reference to json.
 */
void node_move_send_state(
    node_t *node, const char *to, const char *service, json_t *json);
void node_move_send_record(
    node_t *node, const char *to, const move_t *move, int64_t revision);

/* Merges every record in a listing of "move/..." keys. */
void node_move_merge_list(node_t *node, const store_result_t *result);

/* Writes a record to the store; see store_compare_and_swap(). */
void node_move_write(node_t *node, const char *key, const move_record_t *record,
    int64_t expected_revision, const char *lease, store_callback_t on_complete,
    void *data);

/* Newest known move of the service, borrowed; NULL if there is none. */
service_move_t *node_move_find(node_t *node, const char *service);

#endif
