#include "settings.h"

#include "error.h"
#include "json.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum {
	NAME_MAX_LENGTH = 63,
	AUTHOR_MAX_LENGTH = 128,
	MESSAGE_MAX_LENGTH = 4096,
	SHOWN_VALUE_CHARACTERS = 80,
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

/* What is checked, and where errors go. */
typedef struct check {
	const char *team;
	const char *source;
	tree_t *tree;
	GError **error;
} check_t;

/* One object under check. inner is NULL or the object within the entry. */
typedef struct scope {
	const check_t *check;
	const json_t *object;
	const char *section;
	const char *entry;
	const char *inner;
} scope_t;

static char *
value_text(const json_t *value)
{
	char *text, *cut;

	if (value == NULL)
		return g_strdup("missing value");
	text = json_text(value);
	if (text == NULL)
		return g_strdup("value");
	if (g_utf8_strlen(text, -1) <= SHOWN_VALUE_CHARACTERS)
		return text;
	cut = g_utf8_substring(text, 0, SHOWN_VALUE_CHARACTERS);
	g_free(text);
	text = g_strconcat(cut, "...", NULL);
	g_free(cut);
	return text;
}

/* File of the entry where the source is a directory, else the source. */
static char *
source_text(const scope_t *scope)
{
	const char *source = scope->check->source;

	if (!g_str_has_suffix(source, "/") || scope->entry == NULL)
		return g_strdup(source);
	return g_strdup_printf(
	    "%s%s/%s.json", source, scope->section, scope->entry);
}

static void
append_path(GString *path, const char *part)
{
	if (part == NULL)
		return;
	if (path->len > 0)
		g_string_append_c(path, '.');
	g_string_append(path, part);
}

/* Sets "FILE: PATH: VALUE PROBLEM; REMEDY"; always false. */
static bool G_GNUC_PRINTF(4, 5) bad(const scope_t *scope, const char *name,
    const json_t *value, const char *format, ...)
{
	GString *path = g_string_new(NULL);
	char *source = source_text(scope);
	char *shown = value_text(value);
	char *problem;
	va_list args;

	append_path(path, scope->section);
	append_path(path, scope->entry);
	append_path(path, scope->inner);
	append_path(path, name);
	va_start(args, format);
	problem = g_strdup_vprintf(format, args);
	va_end(args);
	papaya_error_set(scope->check->error, PAPAYA_ERROR_BAD_SETTING,
	    "%s: %s: %s %s", source, path->len > 0 ? path->str : "tree", shown,
	    problem);
	g_free(problem);
	g_free(shown);
	g_free(source);
	g_string_free(path, TRUE);
	return false;
}

static bool
label_valid(const char *label, const char *punctuation)
{
	size_t length = strlen(label);

	if (length < 1 || length > NAME_MAX_LENGTH ||
	    !g_ascii_isalnum(label[0]))
		return false;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isalnum(label[i]) &&
		    strchr(punctuation, label[i]) == NULL)
			return false;
	return true;
}

/* Names of teams and entries; without dots, which separate paths. */
static bool
name_valid(const char *name)
{
	return label_valid(name, "-_");
}

static bool
check_fields(const scope_t *scope, const char *const *names)
{
	const char *name;
	json_t *value;

	if (!json_is_object(scope->object))
		return bad(scope, NULL, scope->object,
		    "is not an object; write {...}");
	json_object_foreach ((json_t *)scope->object, name, value) {
		char *known;

		if (g_strv_contains(names, name))
			continue;
		known = g_strjoinv(", ", (char **)names);
		bad(scope, name, value,
		    "is set for an unknown field; remove it or use one of: %s",
		    known);
		g_free(known);
		return false;
	}
	return true;
}

static bool
check_required(const scope_t *scope, const char *const *names)
{
	for (; *names != NULL; names++)
		if (json_object_get(scope->object, *names) == NULL)
			return bad(scope, *names, NULL,
			    "for a required field; set \"%s\"", *names);
	return true;
}

static bool
read_int(const scope_t *scope, const char *name, int64_t least, int64_t most,
    int64_t *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < least ||
	    json_integer_value(value) > most)
		return bad(scope, name, value,
		    "is not a whole number from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT "; set one in that range",
		    least, most);
	*out = json_integer_value(value);
	return true;
}

static bool
read_number(const scope_t *scope, const char *name, double least, double most,
    double *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_number(value) || json_number_value(value) < least ||
	    json_number_value(value) > most)
		return bad(scope, name, value,
		    "is not a number from %g to %g; set one in that range",
		    least, most);
	*out = json_number_value(value);
	return true;
}

static bool
read_bool(const scope_t *scope, const char *name, bool *out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (value == NULL)
		return true;
	if (!json_is_boolean(value))
		return bad(
		    scope, name, value, "is not a boolean; set true or false");
	*out = json_is_true(value);
	return true;
}

/* Reads one of the words into its index. */
static bool
read_word(const scope_t *scope, const char *name, const char *const *words,
    unsigned *out)
{
	const json_t *value = json_object_get(scope->object, name);
	char *known;

	if (value == NULL)
		return true;
	for (unsigned i = 0; json_is_string(value) && words[i] != NULL; i++) {
		if (strcmp(json_string_value(value), words[i]) != 0)
			continue;
		*out = i;
		return true;
	}
	known = g_strjoinv(", ", (char **)words);
	bad(scope, name, value, "is not a known choice; use one of: %s", known);
	g_free(known);
	return false;
}

static bool
label_good(const scope_t *scope, const char *name, const json_t *value)
{
	if (json_is_string(value) &&
	    label_valid(json_string_value(value), "-_."))
		return true;
	return bad(scope, name, value,
	    "is not a name; use 1 to %d of letters, digits, '-', '_' and '.', "
	    "beginning with a letter or digit",
	    NAME_MAX_LENGTH);
}

static bool
read_label(const scope_t *scope, const char *name, char **out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (!label_good(scope, name, value))
		return false;
	*out = g_strdup(json_string_value(value));
	return true;
}

static bool
port_valid(const char *text)
{
	char *end;
	long port;

	if (!g_ascii_isdigit(text[0]) || strlen(text) > 5)
		return false;
	port = strtol(text, &end, 10);
	return *end == '\0' && port >= 1 && port <= G_MAXUINT16;
}

/* "127.0.0.1:80" or "[::1]:80". */
static bool
address_valid(const char *text)
{
	struct in6_addr parsed;
	const char *colon = strrchr(text, ':');
	bool valid;
	char *ip;

	if (colon == NULL || !port_valid(colon + 1))
		return false;
	ip = g_strndup(text, (gsize)(colon - text));
	if (ip[0] == '[' && g_str_has_suffix(ip, "]")) {
		ip[strlen(ip) - 1] = '\0';
		valid = inet_pton(AF_INET6, ip + 1, &parsed) == 1;
	} else {
		valid = inet_pton(AF_INET, ip, &parsed) == 1;
	}
	g_free(ip);
	return valid;
}

static bool
read_address(const scope_t *scope, const char *name, char **out)
{
	const json_t *value = json_object_get(scope->object, name);

	if (!json_is_string(value) || !address_valid(json_string_value(value)))
		return bad(scope, name, value,
		    "is not an address; write IP:PORT, such as "
		    "\"127.0.0.1:9001\"");
	*out = g_strdup(json_string_value(value));
	return true;
}

/* Object within an entry; false in *present where the entry has none. */
static scope_t
inner_scope(const scope_t *scope, const char *name, bool *present)
{
	scope_t inner = *scope;

	inner.inner = name;
	inner.object = json_object_get(scope->object, name);
	*present = inner.object != NULL;
	return inner;
}

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
		return bad(scope, "versions", value,
		    "is not a list of versions; write at least one, such as "
		    "[\"v1\"]");
	service->versions = g_new0(char *, json_array_size(value) + 1);
	json_array_foreach (value, i, item) {
		if (!label_good(scope, "versions", item))
			return false;
		if (g_strv_contains((const char *const *)service->versions,
			json_string_value(item)))
			return bad(scope, "versions", item,
			    "is listed twice; list each version once");
		service->versions[i] = g_strdup(json_string_value(item));
	}
	if (!g_strv_contains(
		(const char *const *)service->versions, service->current))
		return bad(scope, "current",
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
	scope_t slo = inner_scope(scope, "slo", &present);

	service->slo.target = DEFAULT_TARGET;
	if (!present)
		return true;
	if (!check_fields(&slo,
		service->kind == SERVICE_MODEL ? model_names : plain_names) ||
	    !read_int(
		&slo, "first_token_ms", 1, TIMEOUT_MAX_MS, &first_token_ms) ||
	    !read_int(&slo, "between_tokens_ms", 1, TIMEOUT_MAX_MS,
		&between_tokens_ms) ||
	    !read_int(&slo, "answer_ms", 1, TIMEOUT_MAX_MS, &answer_ms) ||
	    !read_number(&slo, "target", 0, 1, &service->slo.target))
		return false;
	/* A target of 1 leaves no error budget to burn. */
	if (service->slo.target <= 0 || service->slo.target >= 1)
		return bad(&slo, "target",
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
	scope_t limit = inner_scope(scope, "limit", &present);

	if (present &&
	    (!check_fields(&limit, names) ||
		!read_int(&limit, "in_flight", 1, LIMIT_MAX, &in_flight) ||
		!read_int(&limit, "waiting", 0, LIMIT_MAX, &waiting)))
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
	scope_t ledger = inner_scope(scope, "ledger", &present);

	service->retention_s = DEFAULT_RETENTION_S;
	if (!present)
		return true;
	if (service->repeatable)
		return bad(scope, "ledger", ledger.object,
		    "has no effect on a repeatable service; remove it or set "
		    "\"repeatable\": false");
	if (!check_fields(&ledger, names) ||
	    !read_int(&ledger, "retention_s", 1, RETENTION_MAX_S,
		&service->retention_s) ||
	    !read_word(&ledger, "key", keys, &key))
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
		return bad(scope, "repeatable", NULL,
		    "for a plain service; set false where a request must not "
		    "run twice, else true");
	if (!read_bool(scope, "repeatable", &service->repeatable))
		return false;
	if (service->kind == SERVICE_MODEL && !service->repeatable)
		return bad(scope, "repeatable", value,
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

	if (!read_word(scope, "route_policy", routes, &route) ||
	    !read_word(scope, "limit_policy", limits, &limit) ||
	    !read_word(scope, "move_policy", moves, &move))
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
	if (!check_fields(scope, names) || !check_required(scope, required) ||
	    !read_word(scope, "kind", kinds, &kind) ||
	    !read_label(scope, "current", &service->current) ||
	    !read_versions(scope, service) ||
	    !read_int(scope, "timeout_ms", 1, TIMEOUT_MAX_MS, &timeout_ms) ||
	    !read_number(scope, "retry_budget", 0, 1, &service->retry_budget))
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

	if (!read_label(scope, "service", &label))
		return false;
	backend->service = g_strconcat(scope->check->team, "/", label, NULL);
	g_free(label);
	service = tree_service(scope->check->tree, backend->service);
	if (service == NULL)
		return bad(scope, "service", value,
		    "is not a service of team %s; add it to services or "
		    "correct the name",
		    scope->check->team);
	if (!read_label(scope, "version", &backend->version))
		return false;
	if (!g_strv_contains(
		(const char *const *)service->versions, backend->version))
		return bad(scope, "version", version,
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
		return bad(scope, "address",
		    json_object_get(scope->object, "address"),
		    "is also the address of backends.%s for the same service; "
		    "declare each backend server once",
		    entry_name(other));
	if (strcmp(backend->host, other->host) == 0 &&
	    strcmp(backend->zone, other->zone) != 0)
		return bad(scope, "zone",
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

	if (!check_fields(scope, names) || !check_required(scope, required) ||
	    !read_address(scope, "address", &backend->address) ||
	    !read_label(scope, "host", &backend->host) ||
	    !read_label(scope, "zone", &backend->zone) ||
	    !read_label(scope, "class", &backend->class) ||
	    !read_backend_service(scope, backend) ||
	    !read_number(scope, "price_per_hour", 0, PRICE_MAX,
		&backend->price_per_hour) ||
	    !read_bool(scope, "reclaimable", &backend->reclaimable) ||
	    !read_word(scope, "fencing", fencings, &fencing))
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
	if (!check_fields(scope, names) ||
	    !read_int(scope, "weight", 1, WEIGHT_MAX, &weight) ||
	    !read_int(scope, "priority", 0, PRIORITY_MAX, &priority) ||
	    !read_bool(scope, "large", &workspace->large))
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
		return bad(&scope, NULL, scope.object,
		    "is not an object; write {\"NAME\": {...}}");
	json_object_foreach ((json_t *)scope.object, name, value) {
		scope_t entry = scope;

		entry.entry = name;
		entry.object = value;
		if (!name_valid(name))
			return bad(&entry, NULL, value,
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
	bad(scope, name, value,
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
	       check_fields(&scope, sections) &&
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
