#include "settings_read.h"

#include "error.h"

#include <string.h>

/*
 * SETTINGS_MUTANT compiles a fault in, for the checks of the checks: 1 a
 * backend server's version is not looked up, 2 the current version is not,
 * 3 a target that leaves no error budget is accepted.
 */
#ifndef SETTINGS_MUTANT
#define SETTINGS_MUTANT 0
#endif

enum {
	AUTHOR_MAX_LENGTH = 128,
	MESSAGE_MAX_LENGTH = 4096,
	TIMEOUT_MAX_MS = 3600000,
	LIMIT_MAX = 100000,
	RETENTION_MAX_S = 366 * 86400,
	WEIGHT_MAX = 1000,
	PRIORITY_MAX = 100,
	DEFAULT_TIMEOUT_MS = 30000,
	DEFAULT_IN_FLIGHT = 64,
	DEFAULT_WAITING = 256,
	DEFAULT_RETENTION_S = 86400,
};

static const double PRICE_MAX = 100000;
static const double DEFAULT_TARGET = 0.95;
static const double DEFAULT_RETRY_BUDGET = 0.1;

static void
service_free(service_t *service)
{
	g_free(service->name);
	g_free(service->current);
	g_strfreev(service->versions);
	g_free(service);
}

static bool
read_versions(const scope_t *scope, service_t *service)
{
	const json_t *value = json_object_get(scope->object, "versions");
	const json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) == 0)
		return scope_bad(scope, "versions", value,
		    "is not a list of versions; write at least one, such as "
		    "[\"v1\"]");
	service->versions = g_new0(char *, json_array_size(value) + 1);
	json_array_foreach (value, i, item) {
		if (!scope_label_good(scope, "versions", item))
			return false;
		if (g_strv_contains((const char *const *)service->versions,
			json_string_value(item)))
			return scope_bad(scope, "versions", item,
			    "is listed twice; list each version once");
		service->versions[i] = g_strdup(json_string_value(item));
	}
	if (SETTINGS_MUTANT != 2 &&
	    !g_strv_contains(
		(const char *const *)service->versions, service->current))
		return scope_bad(scope, "current",
		    json_object_get(scope->object, "current"),
		    "is not listed in versions; add it there or use one of "
		    "them");
	return true;
}

static bool
read_slo(const scope_t *scope, service_t *service)
{
	static const char *const model_names[] = {
	    "first_token_ms", "between_tokens_ms", "target", NULL};
	static const char *const plain_names[] = {"answer_ms", "target", NULL};
	int64_t first_token_ms = 0, between_tokens_ms = 0, answer_ms = 0;
	bool present;
	scope_t slo = scope_inner(scope, "slo", &present);

	service->slo.target = DEFAULT_TARGET;
	if (!present)
		return true;
	if (!scope_fields(&slo,
		service->kind == SERVICE_MODEL ? model_names : plain_names) ||
	    !scope_int(
		&slo, "first_token_ms", 1, TIMEOUT_MAX_MS, &first_token_ms) ||
	    !scope_int(&slo, "between_tokens_ms", 1, TIMEOUT_MAX_MS,
		&between_tokens_ms) ||
	    !scope_int(&slo, "answer_ms", 1, TIMEOUT_MAX_MS, &answer_ms) ||
	    !scope_number(&slo, "target", 0, 1, &service->slo.target))
		return false;
	/* A target of 1 leaves no error budget to burn. */
	if (SETTINGS_MUTANT != 3 &&
	    (service->slo.target <= 0 || service->slo.target >= 1))
		return scope_bad(&slo, "target",
		    json_object_get(slo.object, "target"),
		    "is not between 0 and 1; set a share such as 0.95");
	service->slo.first_token_ms = (int)first_token_ms;
	service->slo.between_tokens_ms = (int)between_tokens_ms;
	service->slo.answer_ms = (int)answer_ms;
	return true;
}

static bool
read_limit(const scope_t *scope, service_t *service)
{
	static const char *const names[] = {"in_flight", "waiting", NULL};
	int64_t in_flight = DEFAULT_IN_FLIGHT, waiting = DEFAULT_WAITING;
	bool present;
	scope_t limit = scope_inner(scope, "limit", &present);

	if (present &&
	    (!scope_fields(&limit, names) ||
		!scope_int(&limit, "in_flight", 1, LIMIT_MAX, &in_flight) ||
		!scope_int(&limit, "waiting", 0, LIMIT_MAX, &waiting)))
		return false;
	service->in_flight_max = (unsigned)in_flight;
	service->waiting_max = (unsigned)waiting;
	return true;
}

static bool
read_ledger(const scope_t *scope, service_t *service)
{
	static const char *const names[] = {"retention_s", "key", NULL};
	static const char *const keys[] = {"any", "uuidv7", NULL};
	unsigned key = 0;
	bool present;
	scope_t ledger = scope_inner(scope, "ledger", &present);

	service->retention_s = DEFAULT_RETENTION_S;
	if (!present)
		return true;
	if (service->repeatable)
		return scope_bad(scope, "ledger", ledger.object,
		    "has no effect on a repeatable service; remove it or set "
		    "\"repeatable\": false");
	if (!scope_fields(&ledger, names) ||
	    !scope_int(&ledger, "retention_s", 1, RETENTION_MAX_S,
		&service->retention_s) ||
	    !scope_word(&ledger, "key", keys, &key))
		return false;
	service->key_uuidv7 = key == 1;
	return true;
}

static bool
read_repeatable(const scope_t *scope, service_t *service)
{
	const json_t *value = json_object_get(scope->object, "repeatable");

	service->repeatable = true;
	if (service->kind == SERVICE_PLAIN && value == NULL)
		return scope_bad(scope, "repeatable", NULL,
		    "for a plain service; set false where a request must not "
		    "run twice, else true");
	if (!scope_bool(scope, "repeatable", &service->repeatable))
		return false;
	if (service->kind == SERVICE_MODEL && !service->repeatable)
		return scope_bad(scope, "repeatable", value,
		    "is not possible for a model service; remove it");
	return true;
}

static bool
read_policies(const scope_t *scope, service_t *service)
{
	static const char *const routes[] = {
	    "affinity", "least", "random", NULL};
	static const char *const limits[] = {"adaptive", "fixed", NULL};
	static const char *const moves[] = {"evidence", "fixed_steps", NULL};
	unsigned route =
	    service->kind == SERVICE_MODEL ? ROUTE_AFFINITY : ROUTE_LEAST;
	unsigned limit = LIMIT_ADAPTIVE, move = MOVE_EVIDENCE;

	if (!scope_word(scope, "route_policy", routes, &route) ||
	    !scope_word(scope, "limit_policy", limits, &limit) ||
	    !scope_word(scope, "move_policy", moves, &move))
		return false;
	service->route_policy = (route_policy_t)route;
	service->limit_policy = (limit_policy_t)limit;
	service->move_policy = (move_policy_t)move;
	return true;
}

static bool
read_service(const scope_t *scope, service_t *service)
{
	static const char *const names[] = {"kind", "repeatable", "current",
	    "versions", "timeout_ms", "slo", "limit", "retry_budget",
	    "route_policy", "limit_policy", "move_policy", "ledger", NULL};
	static const char *const required[] = {
	    "kind", "current", "versions", NULL};
	static const char *const kinds[] = {"model", "plain", NULL};
	int64_t timeout_ms = DEFAULT_TIMEOUT_MS;
	unsigned kind = SERVICE_MODEL;

	service->retry_budget = DEFAULT_RETRY_BUDGET;
	if (!scope_fields(scope, names) || !scope_required(scope, required) ||
	    !scope_word(scope, "kind", kinds, &kind) ||
	    !scope_label(scope, "current", &service->current) ||
	    !read_versions(scope, service) ||
	    !scope_int(scope, "timeout_ms", 1, TIMEOUT_MAX_MS, &timeout_ms) ||
	    !scope_number(scope, "retry_budget", 0, 1, &service->retry_budget))
		return false;
	service->kind = (service_kind_t)kind;
	service->timeout_ms = (int)timeout_ms;
	return read_repeatable(scope, service) && read_slo(scope, service) &&
	       read_limit(scope, service) && read_ledger(scope, service) &&
	       read_policies(scope, service);
}

static bool
add_service(const scope_t *scope)
{
	tree_t *tree = scope->check->tree;
	service_t *service = g_new0(service_t, 1);

	service->name =
	    g_strconcat(scope->check->team, "/", scope->entry, NULL);
	g_hash_table_insert(tree->services, service->name, service);
	return read_service(scope, service);
}

static void
backend_conf_free(backend_conf_t *backend)
{
	g_free(backend->name);
	g_free(backend->address);
	g_free(backend->host);
	g_free(backend->zone);
	g_free(backend->class);
	g_free(backend->service);
	g_free(backend->version);
	g_free(backend);
}

static bool
read_backend_service(const scope_t *scope, backend_conf_t *backend)
{
	const json_t *value = json_object_get(scope->object, "service");
	const json_t *version = json_object_get(scope->object, "version");
	const service_t *service;
	char *label;

	if (!scope_label(scope, "service", &label))
		return false;
	backend->service = g_strconcat(scope->check->team, "/", label, NULL);
	g_free(label);
	service = tree_service(scope->check->tree, backend->service);
	if (service == NULL)
		return scope_bad(scope, "service", value,
		    "is not a service of team %s; add it to services or "
		    "correct the name",
		    scope->check->team);
	if (!scope_label(scope, "version", &backend->version))
		return false;
	if (SETTINGS_MUTANT != 1 &&
	    !g_strv_contains(
		(const char *const *)service->versions, backend->version))
		return scope_bad(scope, "version", version,
		    "is not listed in the versions of %s; add it there or use "
		    "one of them",
		    service->name);
	return true;
}

static const char *
entry_name(const backend_conf_t *backend)
{
	return strchr(backend->name, '/') + 1;
}

/* Rules between two backend servers. */
static bool
check_pair(const scope_t *scope, const backend_conf_t *backend,
    const backend_conf_t *other)
{
	if (strcmp(backend->address, other->address) == 0 &&
	    strcmp(backend->service, other->service) == 0)
		return scope_bad(scope, "address",
		    json_object_get(scope->object, "address"),
		    "is also the address of backends.%s for the same service; "
		    "declare each backend server once",
		    entry_name(other));
	if (strcmp(backend->host, other->host) == 0 &&
	    strcmp(backend->zone, other->zone) != 0)
		return scope_bad(scope, "zone",
		    json_object_get(scope->object, "zone"),
		    "differs from zone \"%s\" of backends.%s on the same host; "
		    "give a host one availability zone",
		    other->zone, entry_name(other));
	return true;
}

static bool
check_others(const scope_t *scope, const backend_conf_t *backend)
{
	GHashTableIter iter;
	gpointer other;

	g_hash_table_iter_init(&iter, scope->check->tree->backends);
	while (g_hash_table_iter_next(&iter, NULL, &other))
		if (!check_pair(scope, backend, other))
			return false;
	return true;
}

static bool
read_backend(const scope_t *scope, backend_conf_t *backend)
{
	static const char *const names[] = {"address", "host", "zone", "class",
	    "service", "version", "price_per_hour", "reclaimable", "fencing",
	    NULL};
	static const char *const required[] = {
	    "address", "host", "zone", "class", "service", "version", NULL};
	static const char *const fencings[] = {"checked", "ignored", NULL};
	unsigned fencing = FENCING_IGNORED;

	if (!scope_fields(scope, names) || !scope_required(scope, required) ||
	    !scope_address(scope, "address", &backend->address) ||
	    !scope_label(scope, "host", &backend->host) ||
	    !scope_label(scope, "zone", &backend->zone) ||
	    !scope_label(scope, "class", &backend->class) ||
	    !read_backend_service(scope, backend) ||
	    !scope_number(scope, "price_per_hour", 0, PRICE_MAX,
		&backend->price_per_hour) ||
	    !scope_bool(scope, "reclaimable", &backend->reclaimable) ||
	    !scope_word(scope, "fencing", fencings, &fencing))
		return false;
	backend->fencing = (fencing_t)fencing;
	return check_others(scope, backend);
}

static bool
add_backend(const scope_t *scope)
{
	backend_conf_t *backend = g_new0(backend_conf_t, 1);

	backend->name =
	    g_strconcat(scope->check->team, "/", scope->entry, NULL);
	if (!read_backend(scope, backend)) {
		backend_conf_free(backend);
		return false;
	}
	g_hash_table_insert(
	    scope->check->tree->backends, backend->name, backend);
	return true;
}

static void
workspace_free(workspace_t *workspace)
{
	g_free(workspace->name);
	g_free(workspace);
}

static bool
add_workspace(const scope_t *scope)
{
	static const char *const names[] = {
	    "weight", "priority", "large", NULL};
	workspace_t *workspace = g_new0(workspace_t, 1);
	int64_t weight = 1, priority = 1;

	workspace->name = g_strdup(scope->entry);
	g_hash_table_insert(
	    scope->check->tree->workspaces, workspace->name, workspace);
	if (!scope_fields(scope, names) ||
	    !scope_int(scope, "weight", 1, WEIGHT_MAX, &weight) ||
	    !scope_int(scope, "priority", 0, PRIORITY_MAX, &priority) ||
	    !scope_bool(scope, "large", &workspace->large))
		return false;
	workspace->weight = (unsigned)weight;
	workspace->priority = (int)priority;
	return true;
}

static bool
read_section(const check_t *check, const json_t *json, const char *section,
    bool (*add)(const scope_t *scope))
{
	scope_t scope = {.check = check, .section = section};
	const char *name;
	json_t *value;

	scope.object = json_object_get(json, section);
	if (scope.object == NULL)
		return true;
	if (!json_is_object(scope.object))
		return scope_bad(&scope, NULL, scope.object,
		    "is not an object; write {\"NAME\": {...}}");
	json_object_foreach ((json_t *)scope.object, name, value) {
		scope_t entry = scope;

		entry.entry = name;
		entry.object = value;
		if (!name_valid(name))
			return scope_bad(&entry, NULL, value,
			    "has a bad name; use 1 to %d of letters, digits, "
			    "'-' and '_', beginning with a letter or digit",
			    NAME_MAX_LENGTH);
		if (!add(&entry))
			return false;
	}
	return true;
}

static bool
check_text(const scope_t *scope, const char *name, const char *text, int most)
{
	json_t *value;

	if (g_utf8_validate(text, -1, NULL) && strlen(text) <= (size_t)most)
		return true;
	value = json_string(text);
	scope_bad(scope, name, value,
	    "is longer than %d bytes or not UTF-8; shorten or correct it",
	    most);
	json_decref(value);
	return false;
}

static bool
check_tree(const check_t *check, const json_t *json)
{
	static const char *const sections[] = {
	    "services", "backends", "workspaces", NULL};
	scope_t scope = {.check = check, .object = json};

	if (!name_valid(check->team)) {
		papaya_error_set(check->error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: team: \"%s\" is not a name; use 1 to %d of letters, "
		    "digits, '-' and '_', beginning with a letter or digit",
		    check->source, check->team, NAME_MAX_LENGTH);
		return false;
	}
	return check_text(
		   &scope, "author", check->tree->author, AUTHOR_MAX_LENGTH) &&
	       check_text(&scope, "message", check->tree->message,
		   MESSAGE_MAX_LENGTH) &&
	       scope_fields(&scope, sections) &&
	       read_section(check, json, "services", add_service) &&
	       read_section(check, json, "backends", add_backend) &&
	       read_section(check, json, "workspaces", add_workspace);
}

tree_t *
tree_parse(const char *team, int64_t revision, const char *author,
    const char *message, const json_t *json, const char *source, GError **error)
{
	tree_t *tree = g_new0(tree_t, 1);
	check_t check = {
	    .team = team, .source = source, .tree = tree, .error = error};

	tree->refs = 1;
	tree->team = g_strdup(team);
	tree->revision = revision;
	tree->author = g_strdup(author != NULL ? author : "");
	tree->message = g_strdup(message != NULL ? message : "");
	tree->json = json != NULL ? json_deep_copy(json) : json_null();
	tree->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)service_free);
	tree->backends = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)backend_conf_free);
	tree->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)workspace_free);
	if (check_tree(&check, json))
		return tree;
	tree_unref(tree);
	return NULL;
}
