#ifndef PAPAYA_NODE_SETTINGS_H
#define PAPAYA_NODE_SETTINGS_H

#include "node.h"

#include <sys/queue.h>

/* Between node_settings.c and node_apply.c, which share the part's state. */

/*
 * One operator request that waits for the store. Owned by its node's settings
 * part; freed by operation_end(), or with the node.
 */
typedef struct operation {
	LIST_ENTRY(operation) entries;
	node_t *node;
	http_request_t *request;
	char *team;
	uv_timer_t timer; /* for retries */
	void (*retry)(struct operation *operation);
	int64_t started_ms; /* monotonic */

	/* Of an apply. */
	int64_t base;	       /* revision that the operator worked from */
	settings_tree_t *tree; /* at revision base + 1 */
	char *nonce;	       /* tells this apply's write from all others */
	bool nonce_given;      /* by the client, which may be retrying */
	char *value;	       /* JSON text to write */
	bool maybe_written;    /* a write was sent and not answered */
	int64_t key_revision;  /* of the store's key, as read last */
	int64_t refused_key_revision; /* at which a swap did not take effect */
	json_t *other;		      /* the store's value, as read last */

	/* Of a history request. */
	json_t *list;
	int64_t next; /* revision to read next */
} operation_t;

struct node_settings {
	node_t *node;
	GPtrArray *teams; /* team_follow_t, of node_settings.c */
	LIST_HEAD(, operation) operations;
};

/*
 * Offers a tree to the node; where it is newer, applies its backend servers
 * and, if push is set, sends it to the peers.
 */
settings_update_result_t node_settings_take(
    node_t *node, settings_tree_t *tree, bool push);

operation_t *operation_new(
    node_t *node, http_request_t *request, const char *team);
/* Runs retry(operation) after a short delay. */
void operation_retry(
    operation_t *operation, void (*retry)(operation_t *operation));
/* Replies with the error and ends; takes over error. */
void operation_fail(operation_t *operation, GError *error, bool not_run);
void operation_end(operation_t *operation);

/* Key of a team's value, or of a replaced value, for g_free(). */
char *settings_key(const char *team);
char *settings_history_key(const char *team, int64_t revision);

/* Serves PUT /v1/admin/settings/TEAM. */
void node_apply(node_t *node, http_request_t *request, const char *team);
/* Serves GET /v1/admin/settings/TEAM/history. */
void node_history(node_t *node, http_request_t *request, const char *team);

#endif
