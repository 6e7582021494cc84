#include "settings_read.h"

#include "error.h"
#include "json.h"

#include <string.h>

/*
 * SETTINGS_MUTANT compiles in a fault that the fuzz target must detect:
 * 1 accepts a backend server's version that its service does not list,
 * 2 accepts a current version that the service does not list,
 * 3 accepts an SLO target of 0 or 1.
 */
#ifndef SETTINGS_MUTANT
#define SETTINGS_MUTANT 0
#endif

enum {
	AUTHOR_MAX_BYTES = 128,
	MESSAGE_MAX_BYTES = 4096,
	TIMEOUT_MAX_MS = 3600000,
	REQUEST_LIMIT_MAX = 100000,
	RETENTION_MAX_S = 366 * 86400,
	WEIGHT_MAX = 1000,
	PRIORITY_MAX = 100,
	DEFAULT_TIMEOUT_MS = 30000,
	DEFAULT_IN_FLIGHT_MAX = 64,
	DEFAULT_WAITING_MAX = 256,
	DEFAULT_RETENTION_S = 86400,
};

static const double PRICE_PER_HOUR_MAX = 100000;
static const double DEFAULT_SLO_TARGET = 0.95;
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
read_versions(const object_reader_t *reader, service_t *service)
{
	const json_t *value = json_object_get(reader->json, "versions");
	const json_t *item;
	size_t i;

	if (!json_is_array(value) || json_array_size(value) == 0)
		return object_error(reader, "versions", value,
		    "is not a list of versions; write at least one, such as "
		    "[\"v1\"]");
	service->versions = g_new0(char *, json_array_size(value) + 1);
	json_array_foreach (value, i, item) {
		if (!object_check_label(reader, "versions", item))
			return false;
		if (g_strv_contains((const char *const *)service->versions,
			json_string_value(item)))
			return object_error(reader, "versions", item,
			    "is listed twice; list each version once");
		service->versions[i] = g_strdup(json_string_value(item));
	}
	if (SETTINGS_MUTANT != 2 &&
	    !g_strv_contains(
		(const char *const *)service->versions, service->current))
		return object_error(reader, "current",
		    json_object_get(reader->json, "current"),
		    "is not listed in versions; add it there or use one of "
		    "them");
	return true;
}

static bool
read_slo(const object_reader_t *reader, service_t *service)
{
	static const char *const model_fields[] = {
	    "first_token_ms", "between_tokens_ms", "target", NULL};
	static const char *const plain_fields[] = {"answer_ms", "target", NULL};
	int64_t first_token_ms = 0, between_tokens_ms = 0, answer_ms = 0;
	bool present;
	object_reader_t slo = object_open_nested(reader, "slo", &present);

	service->slo.target = DEFAULT_SLO_TARGET;
	if (!present)
		return true;
	if (!object_check_fields(&slo,
		service->kind == SERVICE_MODEL ? model_fields : plain_fields) ||
	    !object_read_int(
		&slo, "first_token_ms", 1, TIMEOUT_MAX_MS, &first_token_ms) ||
	    !object_read_int(&slo, "between_tokens_ms", 1, TIMEOUT_MAX_MS,
		&between_tokens_ms) ||
	    !object_read_int(
		&slo, "answer_ms", 1, TIMEOUT_MAX_MS, &answer_ms) ||
	    !object_read_number(&slo, "target", 0, 1, &service->slo.target))
		return false;
	/* A target of 1 leaves no error budget. */
	if (SETTINGS_MUTANT != 3 &&
	    (service->slo.target <= 0 || service->slo.target >= 1))
		return object_error(&slo, "target",
		    json_object_get(slo.json, "target"),
		    "is not between 0 and 1; set a share such as 0.95");
	service->slo.first_token_ms = (int)first_token_ms;
	service->slo.between_tokens_ms = (int)between_tokens_ms;
	service->slo.answer_ms = (int)answer_ms;
	return true;
}

static bool
read_limit(const object_reader_t *reader, service_t *service)
{
	static const char *const known_fields[] = {
	    "in_flight", "waiting", NULL};
	int64_t in_flight = DEFAULT_IN_FLIGHT_MAX,
		waiting = DEFAULT_WAITING_MAX;
	bool present;
	object_reader_t limit = object_open_nested(reader, "limit", &present);

	if (present && (!object_check_fields(&limit, known_fields) ||
			   !object_read_int(&limit, "in_flight", 1,
			       REQUEST_LIMIT_MAX, &in_flight) ||
			   !object_read_int(&limit, "waiting", 0,
			       REQUEST_LIMIT_MAX, &waiting)))
		return false;
	service->in_flight_max = (unsigned)in_flight;
	service->waiting_max = (unsigned)waiting;
	return true;
}

static bool
read_ledger(const object_reader_t *reader, service_t *service)
{
	static const char *const known_fields[] = {"retention_s", "key", NULL};
	static const char *const key_formats[] = {"any", "uuidv7", NULL};
	unsigned key_format = 0;
	bool present;
	object_reader_t ledger = object_open_nested(reader, "ledger", &present);

	service->retention_s = DEFAULT_RETENTION_S;
	if (!present)
		return true;
	if (service->repeatable)
		return object_error(reader, "ledger", ledger.json,
		    "has no effect on a repeatable service; remove it or set "
		    "\"repeatable\": false");
	if (!object_check_fields(&ledger, known_fields) ||
	    !object_read_int(&ledger, "retention_s", 1, RETENTION_MAX_S,
		&service->retention_s) ||
	    !object_read_enum(&ledger, "key", key_formats, &key_format))
		return false;
	service->require_uuidv7_keys = key_format == 1;
	return true;
}

static bool
read_repeatable(const object_reader_t *reader, service_t *service)
{
	const json_t *value = json_object_get(reader->json, "repeatable");

	service->repeatable = true;
	if (service->kind == SERVICE_PLAIN && value == NULL)
		return object_error(reader, "repeatable", NULL,
		    "for a plain service; set false where a request must not "
		    "run twice, else true");
	if (!object_read_bool(reader, "repeatable", &service->repeatable))
		return false;
	if (service->kind == SERVICE_MODEL && !service->repeatable)
		return object_error(reader, "repeatable", value,
		    "is not possible for a model service; remove it");
	return true;
}

static bool
read_policies(const object_reader_t *reader, service_t *service)
{
	static const char *const route_policies[] = {
	    "affinity", "least", "random", NULL};
	static const char *const limit_policies[] = {"adaptive", "fixed", NULL};
	static const char *const move_policies[] = {
	    "evidence", "fixed_steps", NULL};
	unsigned route_policy = service->kind == SERVICE_MODEL
				    ? ROUTE_AFFINITY
				    : ROUTE_LEAST_REQUESTS;
	unsigned limit_policy = LIMIT_ADAPTIVE, move_policy = MOVE_EVIDENCE;

	if (!object_read_enum(
		reader, "route_policy", route_policies, &route_policy) ||
	    !object_read_enum(
		reader, "limit_policy", limit_policies, &limit_policy) ||
	    !object_read_enum(
		reader, "move_policy", move_policies, &move_policy))
		return false;
	service->route_policy = (route_policy_t)route_policy;
	service->limit_policy = (limit_policy_t)limit_policy;
	service->move_policy = (move_policy_t)move_policy;
	return true;
}

static bool
read_service(const object_reader_t *reader, service_t *service)
{
	static const char *const known_fields[] = {"kind", "repeatable",
	    "current", "versions", "timeout_ms", "slo", "limit", "retry_budget",
	    "route_policy", "limit_policy", "move_policy", "ledger", NULL};
	static const char *const required_fields[] = {
	    "kind", "current", "versions", NULL};
	static const char *const kinds[] = {"model", "plain", NULL};
	int64_t timeout_ms = DEFAULT_TIMEOUT_MS;
	unsigned kind = SERVICE_MODEL;

	service->retry_budget = DEFAULT_RETRY_BUDGET;
	if (!object_check_fields(reader, known_fields) ||
	    !object_check_required(reader, required_fields) ||
	    !object_read_enum(reader, "kind", kinds, &kind) ||
	    !object_read_label(reader, "current", &service->current) ||
	    !read_versions(reader, service) ||
	    !object_read_int(
		reader, "timeout_ms", 1, TIMEOUT_MAX_MS, &timeout_ms) ||
	    !object_read_number(
		reader, "retry_budget", 0, 1, &service->retry_budget))
		return false;
	service->kind = (service_kind_t)kind;
	service->timeout_ms = (int)timeout_ms;
	return read_repeatable(reader, service) && read_slo(reader, service) &&
	       read_limit(reader, service) && read_ledger(reader, service) &&
	       read_policies(reader, service);
}

static bool
add_service(const object_reader_t *reader)
{
	settings_tree_t *tree = reader->context->tree;
	service_t *service = g_new0(service_t, 1);

	service->name =
	    g_strconcat(reader->context->team, "/", reader->entry, NULL);
	g_hash_table_insert(tree->services, service->name, service);
	return read_service(reader, service);
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
read_backend_service(const object_reader_t *reader, backend_conf_t *backend)
{
	const json_t *value = json_object_get(reader->json, "service");
	const json_t *version = json_object_get(reader->json, "version");
	const service_t *service;
	char *label;

	if (!object_read_label(reader, "service", &label))
		return false;
	backend->service = g_strconcat(reader->context->team, "/", label, NULL);
	g_free(label);
	service =
	    settings_tree_service(reader->context->tree, backend->service);
	if (service == NULL)
		return object_error(reader, "service", value,
		    "is not a service of team %s; add it to services or "
		    "correct the name",
		    reader->context->team);
	if (!object_read_label(reader, "version", &backend->version))
		return false;
	if (SETTINGS_MUTANT != 1 &&
	    !g_strv_contains(
		(const char *const *)service->versions, backend->version))
		return object_error(reader, "version", version,
		    "is not listed in the versions of %s; add it there or use "
		    "one of them",
		    service->name);
	return true;
}

static const char *
backend_entry_name(const backend_conf_t *backend)
{
	return strchr(backend->name, '/') + 1;
}

/*
 * Fails where both declare the same address for one service, or put one host in
 * two availability zones.
 */
static bool
check_backend_pair(const object_reader_t *reader, const backend_conf_t *backend,
    const backend_conf_t *other)
{
	if (strcmp(backend->address, other->address) == 0 &&
	    strcmp(backend->service, other->service) == 0)
		return object_error(reader, "address",
		    json_object_get(reader->json, "address"),
		    "is also the address of backends.%s for the same service; "
		    "declare each backend server once",
		    backend_entry_name(other));
	if (strcmp(backend->host, other->host) == 0 &&
	    strcmp(backend->zone, other->zone) != 0)
		return object_error(reader, "zone",
		    json_object_get(reader->json, "zone"),
		    "differs from zone \"%s\" of backends.%s on the same host; "
		    "give a host one availability zone",
		    other->zone, backend_entry_name(other));
	return true;
}

static bool
check_against_backends(
    const object_reader_t *reader, const backend_conf_t *backend)
{
	GHashTableIter iter;
	gpointer other;

	g_hash_table_iter_init(&iter, reader->context->tree->backends);
	while (g_hash_table_iter_next(&iter, NULL, &other))
		if (!check_backend_pair(reader, backend, other))
			return false;
	return true;
}

static bool
read_backend(const object_reader_t *reader, backend_conf_t *backend)
{
	static const char *const known_fields[] = {"address", "host", "zone",
	    "class", "service", "version", "price_per_hour", "reclaimable",
	    "fencing", NULL};
	static const char *const required_fields[] = {
	    "address", "host", "zone", "class", "service", "version", NULL};
	static const char *const fencings[] = {"checked", "ignored", NULL};
	unsigned fencing = FENCING_IGNORED;

	if (!object_check_fields(reader, known_fields) ||
	    !object_check_required(reader, required_fields) ||
	    !object_read_address(reader, "address", &backend->address) ||
	    !object_read_label(reader, "host", &backend->host) ||
	    !object_read_label(reader, "zone", &backend->zone) ||
	    !object_read_label(reader, "class", &backend->class) ||
	    !read_backend_service(reader, backend) ||
	    !object_read_number(reader, "price_per_hour", 0, PRICE_PER_HOUR_MAX,
		&backend->price_per_hour) ||
	    !object_read_bool(reader, "reclaimable", &backend->reclaimable) ||
	    !object_read_enum(reader, "fencing", fencings, &fencing))
		return false;
	backend->fencing = (fencing_t)fencing;
	return check_against_backends(reader, backend);
}

static bool
add_backend(const object_reader_t *reader)
{
	backend_conf_t *backend = g_new0(backend_conf_t, 1);

	backend->name =
	    g_strconcat(reader->context->team, "/", reader->entry, NULL);
	if (!read_backend(reader, backend)) {
		backend_conf_free(backend);
		return false;
	}
	g_hash_table_insert(
	    reader->context->tree->backends, backend->name, backend);
	return true;
}

static void
workspace_free(workspace_t *workspace)
{
	g_free(workspace->name);
	g_free(workspace);
}

static bool
add_workspace(const object_reader_t *reader)
{
	static const char *const known_fields[] = {
	    "weight", "priority", "large", NULL};
	workspace_t *workspace = g_new0(workspace_t, 1);
	int64_t weight = 1, priority = 1;

	workspace->name = g_strdup(reader->entry);
	g_hash_table_insert(
	    reader->context->tree->workspaces, workspace->name, workspace);
	if (!object_check_fields(reader, known_fields) ||
	    !object_read_int(reader, "weight", 1, WEIGHT_MAX, &weight) ||
	    !object_read_int(reader, "priority", 0, PRIORITY_MAX, &priority) ||
	    !object_read_bool(reader, "large", &workspace->large))
		return false;
	workspace->weight = (unsigned)weight;
	workspace->priority = (int)priority;
	return true;
}

static bool
read_section(const parse_context_t *context, const json_t *tree_json,
    const char *section, bool (*add_entry)(const object_reader_t *reader))
{
	object_reader_t section_reader = {
	    .context = context, .section = section};
	const char *name;
	json_t *value;

	section_reader.json = json_object_get(tree_json, section);
	if (section_reader.json == NULL)
		return true;
	if (!json_is_object(section_reader.json))
		return object_error(&section_reader, NULL, section_reader.json,
		    "is not an object; write {\"NAME\": {...}}");
	json_object_foreach ((json_t *)section_reader.json, name, value) {
		object_reader_t entry_reader = section_reader;

		entry_reader.entry = name;
		entry_reader.json = value;
		if (!name_valid(name))
			return object_error(&entry_reader, NULL, value,
			    "has a bad name; use 1 to %d of letters, digits, "
			    "'-' and '_', beginning with a letter or digit",
			    NAME_MAX_LENGTH);
		if (!add_entry(&entry_reader))
			return false;
	}
	return true;
}

static bool
check_utf8_length(const object_reader_t *reader, const char *field,
    const char *text, int max_bytes)
{
	json_t *value;

	if (g_utf8_validate(text, -1, NULL) &&
	    strlen(text) <= (size_t)max_bytes)
		return true;
	value = json_string(text);
	object_error(reader, field, value,
	    "is longer than %d bytes or not UTF-8; shorten or correct it",
	    max_bytes);
	json_decref(value);
	return false;
}

static bool
check_tree(const parse_context_t *context, const json_t *tree_json)
{
	static const char *const sections[] = {
	    "services", "backends", "workspaces", NULL};
	object_reader_t tree_reader = {.context = context, .json = tree_json};

	if (!name_valid(context->team)) {
		papaya_error_set(context->error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: team: \"%s\" is not a name; use 1 to %d of letters, "
		    "digits, '-' and '_', beginning with a letter or digit",
		    context->source, context->team, NAME_MAX_LENGTH);
		return false;
	}
	return check_utf8_length(&tree_reader, "author", context->tree->author,
		   AUTHOR_MAX_BYTES) &&
	       check_utf8_length(&tree_reader, "message",
		   context->tree->message, MESSAGE_MAX_BYTES) &&
	       object_check_fields(&tree_reader, sections) &&
	       read_section(context, tree_json, "services", add_service) &&
	       read_section(context, tree_json, "backends", add_backend) &&
	       read_section(context, tree_json, "workspaces", add_workspace);
}

settings_tree_t *
settings_tree_parse(const char *team, int64_t revision, const char *author,
    const char *message, const json_t *json, const char *source, GError **error)
{
	settings_tree_t *tree = g_new0(settings_tree_t, 1);
	parse_context_t context = {
	    .team = team, .source = source, .tree = tree, .error = error};

	tree->refs = 1;
	tree->team = g_strdup(team);
	tree->revision = revision;
	tree->author = g_strdup(author != NULL ? author : "");
	tree->message = g_strdup(message != NULL ? message : "");
	tree->text = json != NULL ? json_text(json) : g_strdup("null");
	tree->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)service_free);
	tree->backends = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)backend_conf_free);
	tree->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)workspace_free);
	if (check_tree(&context, json))
		return tree;
	settings_tree_unref(tree);
	return NULL;
}
