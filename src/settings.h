#ifndef PAPAYA_SETTINGS_H
#define PAPAYA_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum service_kind { SERVICE_MODEL, SERVICE_PLAIN } service_kind_t;

typedef enum route_policy {
	ROUTE_AFFINITY, /* prefers servers with the prompt prefix cached */
	ROUTE_LEAST_REQUESTS, /* fewest requests in flight */
	ROUTE_RANDOM,
} route_policy_t;

typedef enum limit_policy { LIMIT_ADAPTIVE, LIMIT_FIXED } limit_policy_t;

typedef enum move_policy { MOVE_EVIDENCE, MOVE_FIXED_STEPS } move_policy_t;

/* Whether the backend server rejects commands with an old fencing token. */
typedef enum fencing { FENCING_CHECKED, FENCING_IGNORED } fencing_t;

/* Service-level objective; times in milliseconds, 0 where not set. */
typedef struct slo {
	int first_token_ms;
	int between_tokens_ms;
	int answer_ms; /* response of a plain service */
	double target; /* share of requests, 0..1 exclusive */
} slo_t;

/* One service of a team. Owned by its settings tree. */
typedef struct service {
	char *name; /* TEAM/NAME */
	service_kind_t kind;
	bool repeatable; /* a request may run more than once */
	char *current;	 /* version in use; one of versions */
	char **versions; /* NULL-terminated */
	int timeout_ms;
	slo_t slo;
	unsigned in_flight_max; /* per node */
	unsigned waiting_max;	/* queue slots per node */
	double retry_budget;	/* retries by papayad per request */
	route_policy_t route_policy;
	limit_policy_t limit_policy;
	move_policy_t move_policy;
	int64_t retention_s;	  /* of the ledger's entries */
	bool require_uuidv7_keys; /* rejects other idempotency keys */
} service_t;

/* Declared backend server. Owned by its settings tree. */
typedef struct backend_conf {
	char *name;    /* TEAM/NAME */
	char *address; /* IP:PORT */
	char *host;
	char *zone;
	char *class;   /* machine class */
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
	bool large;   /* gets more entry hosts */
} workspace_t;

/*
 * A team's validated settings at one revision. Immutable and reference counted:
 * a request uses the tree of its start until it ends.
 */
typedef struct settings_tree {
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
 * Validates a team's JSON tree and returns it with one reference. If any part
 * is invalid, the whole tree is rejected: returns NULL and sets an error that
 * names the source (a path or "request"), the path in the tree, the invalid
 * value and a remedy. A source that ends in '/' is a directory: the error names
 * the entry's file in it, such as DIR/services/chat.json. author and message
 * may be NULL, which means empty.
 */
settings_tree_t *settings_tree_parse(const char *team, int64_t revision,
    const char *author, const char *message, const json_t *json,
    const char *source, GError **error);
settings_tree_t *settings_tree_ref(settings_tree_t *tree);
void settings_tree_unref(settings_tree_t *tree);

/* True for a numeric IP:PORT, such as "127.0.0.1:80" or "[::1]:80". */
bool address_valid(const char *text);

/* Returns the tree as applied; free with json_decref(). */
json_t *settings_tree_to_json(const settings_tree_t *tree);

/* Service by TEAM/NAME, workspace by NAME; borrowed, NULL if unknown. */
const service_t *settings_tree_service(
    const settings_tree_t *tree, const char *name);
const workspace_t *settings_tree_workspace(
    const settings_tree_t *tree, const char *name);

/*
 * Converts to and from the value of a team's key in the store: {"revision",
 * "author", "message", "tree"}. Reading also accepts the "nonce" of the request
 * that applied the settings. Errors are those of settings_tree_parse().
 */
json_t *settings_tree_to_value(const settings_tree_t *tree);
settings_tree_t *settings_tree_from_value(
    const char *team, const json_t *value, const char *source, GError **error);

/*
 * Appends a line for each difference: "+ path" (added), "- path" (removed) or
 * "~ path: old -> new". A NULL tree is empty.
 */
void settings_tree_diff(
    const json_t *old_tree, const json_t *new_tree, GString *out);

/*
 * The newest known tree of each team on this node. A team's revision never
 * decreases.
 */
typedef struct settings settings_t;

/* Revision of the given tree, compared with the stored one. */
typedef enum settings_update_result {
	SETTINGS_NEWER, /* stored */
	SETTINGS_SAME,	/* ignored */
	SETTINGS_OLDER, /* ignored */
} settings_update_result_t;

settings_t *settings_new(void);
void settings_free(settings_t *settings);

/* Stores the team's tree, taking a reference, only if its revision is newer. */
settings_update_result_t settings_update(
    settings_t *settings, settings_tree_t *tree);

/* Newest tree of a team, borrowed; NULL if unknown. */
settings_tree_t *settings_find_tree(
    const settings_t *settings, const char *team);

/* Revision of the newest tree; 0 if the team is unknown. */
int64_t settings_revision(const settings_t *settings, const char *team);

/*
 * Service by TEAM/NAME, borrowed; NULL if unknown. If tree is not NULL, *tree
 * is set to the team's tree (borrowed) where the team is known.
 */
const service_t *settings_service(
    const settings_t *settings, const char *name, settings_tree_t **tree);

/* Calls func(tree, user_data) for each team's newest tree. */
void settings_foreach(const settings_t *settings,
    void (*func)(settings_tree_t *tree, void *data), void *user_data);

#endif
