#ifndef PAPAYA_NODE_MOVE_H
#define PAPAYA_NODE_MOVE_H

#include "move_start.h"
#include "node.h"

#include <sys/queue.h>

/* The newest move of one service. Owned by the part. */
typedef struct service_move {
	move_t *move;
	bool writer;		/* this node writes its stages */
	bool watch_pending;	/* a watch of its state is pending */
	unsigned attempts_sent; /* in the last evidence sent */
	int64_t evidence_sent_ms;
} service_move_t;

/* One store call, or a chain of them. Owned by the part. */
typedef struct move_op {
	LIST_ENTRY(move_op) entries;
	node_t *node;
	char *service;
	char *id;
	/* Start of a move, or GET. */
	http_request_t *request;
	move_start_t *start;
	int64_t expected;
} move_op_t;

struct node_moves {
	node_t *node;
	GHashTable *services; /* TEAM/NAME: service_move_t */
	LIST_HEAD(, move_op) ops;
	uv_timer_t timer;
	unsigned teams_loaded;
	int64_t next_list_ms;
	int64_t next_records_request_ms;
	int64_t next_evidence_ms; /* not before */
};

move_op_t *move_op_new(node_t *node, const char *service, const char *id);
void move_op_end(move_op_t *op);

char *move_declaration_key(const char *service);
char *move_state_key(const char *service, const char *id);

/* Record in a store result; NULL where it is absent or malformed. */
move_record_t *move_result_record(node_t *node, const store_result_t *result);
move_write_result_t move_result_write(const store_result_t *result);
bool move_result_failed(const store_result_t *result);

/*
 * Takes over a record, with the revision of the state or 0, and tells the
 * peers where it is new.
 */
void node_move_merge_record(
    node_t *node, const move_record_t *record, int64_t revision);

/* Service in the settings and their revision; NULL and 0 if unknown. */
const service_t *node_move_service_settings(
    node_t *node, const char *name, int64_t *revision);

/* Carries out what the move wants now. */
void node_move_execute_actions(node_t *node, service_move_t *entry);

/* Sends a MOVE_STATE (the reference to json is taken over) to a peer or all. */
void node_move_send_state(
    node_t *node, const char *to, const char *service, json_t *json);
void node_move_send_record(
    node_t *node, const char *to, const move_t *move, int64_t revision);

/* Takes over every entry of a listing of "move/...". */
void node_move_merge_list(node_t *node, const store_result_t *result);

/* Writes a record to the store; see store_swap(). */
void node_move_write(node_t *node, const char *key, const move_record_t *record,
    int64_t expected, const char *lease, store_callback_t done, void *data);

/* The service's newest move, borrowed; NULL if none is known. */
service_move_t *node_move_find(node_t *node, const char *service);

#endif
