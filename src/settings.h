#ifndef PAPAYA_SETTINGS_H
#define PAPAYA_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum service_kind { SERVICE_MODEL, SERVICE_PLAIN } service_kind_t;

typedef enum route_policy {
	ROUTE_AFFINITY,
	ROUTE_LEAST_REQUESTS,
	ROUTE_RANDOM,
} route_policy_t;

typedef enum limit_policy { LIMIT_ADAPTIVE, LIMIT_FIXED } limit_policy_t;

typedef enum move_policy { MOVE_EVIDENCE, MOVE_FIXED_STEPS } move_policy_t;

typedef enum fencing { FENCING_CHECKED, FENCING_IGNORED } fencing_t;

/* Service-level objective; times in milliseconds, 0 where not set. */
typedef struct slo {
	int first_token_ms;
	int between_tokens_ms;
	int answer_ms;
	double target; /* share of requests, 0..1 */
} slo_t;

/* One service of a team. Owned by its settings tree. */
typedef struct service {
	char *name; /* TEAM/NAME */
	service_kind_t kind;
	bool repeatable;
	char *current;	 /* version */
	char **versions; /* NULL at the end */
	int timeout_ms;
	slo_t slo;
	unsigned in_flight_max; /* per node */
	unsigned waiting_max;	/* queue slots per node */
	double retry_budget;	/* internal retries per request */
	route_policy_t route_policy;
	limit_policy_t limit_policy;
	move_policy_t move_policy;
	int64_t retention_s;	  /* ledger */
	bool require_uuidv7_keys; /* only UUIDv7 idempotency keys */
} service_t;

/* Declared backend server. Owned by its settings tree. */
typedef struct backend_conf {
	char *name;    /* TEAM/NAME */
	char *address; /* IP:PORT */
	char *host;
	char *zone;
	char *class;
	char *service; /* TEAM/NAME */
	char *version;
	double price_per_hour;
	bool reclaimable;
	fencing_t fencing;
} backend_conf_t;

/* One workspace of a team. Owned by its settings tree. */
typedef struct workspace {
	char *name;
	unsigned weight;
	int priority; /* higher goes first */
	bool large;
} workspace_t;

/*
 * A team's checked settings at one revision. Immutable and reference counted:
 * a request keeps the tree that it started with.
 */
typedef struct tree {
	unsigned refs;
	char *team;
	int64_t revision;
	char *author;
	char *message;
	char *text;		/* the tree as applied, in compact JSON */
	GHashTable *services;	/* TEAM/NAME: service_t */
	GHashTable *backends;	/* TEAM/NAME: backend_conf_t */
	GHashTable *workspaces; /* NAME: workspace_t */
} settings_tree_t;

/*
 * Checks a team's tree. The error names file (source, such as a path or
 * "request"), path in the tree, the bad value and the remedy. Nothing of a bad
 * tree is kept. A source that ends in '/' is a directory: the error names the
 * entry's file in it, such as DIR/services/chat.json.
 */
settings_tree_t *settings_tree_parse(const char *team, int64_t revision,
    const char *author, const char *message, const json_t *json,
    const char *source, GError **error);
settings_tree_t *settings_tree_ref(settings_tree_t *tree);
void settings_tree_unref(settings_tree_t *tree);

/* True for IP:PORT with an IP number, as "127.0.0.1:80" or "[::1]:80". */
bool address_valid(const char *text);

/* The tree as applied; a new reference. */
json_t *settings_tree_to_json(const settings_tree_t *tree);

const service_t *settings_tree_service(
    const settings_tree_t *tree, const char *name);
const workspace_t *settings_tree_workspace(
    const settings_tree_t *tree, const char *name);

/*
 * The store's value of a team: {"revision", "author", "message", "tree"}. The
 * value read may also have the "nonce" of the apply that wrote it.
 */
json_t *settings_tree_to_value(const settings_tree_t *tree);
settings_tree_t *settings_tree_from_value(
    const char *team, const json_t *value, const char *source, GError **error);

/* Lines "+ path", "- path", "~ path: old -> new" between two trees. */
void settings_tree_diff(
    const json_t *old_tree, const json_t *new_tree, GString *out);

/* All teams' newest trees at one node. Revisions never go down. */
typedef struct settings settings_t;

typedef enum settings_update_result {
	SETTINGS_NEWER,
	SETTINGS_SAME,
	SETTINGS_OLDER, /* ignored */
} settings_update_result_t;

settings_t *settings_new(void);
void settings_free(settings_t *settings);

/* Offers a tree; it is kept (a reference is taken) only if newer. */
settings_update_result_t settings_update(
    settings_t *settings, settings_tree_t *tree);

/* Newest tree of a team, borrowed; NULL if unknown. */
settings_tree_t *settings_find_tree(
    const settings_t *settings, const char *team);
int64_t settings_revision(const settings_t *settings, const char *team);

/* Service by TEAM/NAME with its tree (borrowed); NULL if unknown. */
const service_t *settings_service(
    const settings_t *settings, const char *name, settings_tree_t **tree);

/* Calls visit(tree, data) for each team. */
void settings_foreach(const settings_t *settings,
    void (*func)(settings_tree_t *tree, void *data), void *user_data);

#endif
