#include "node.h"

#include "clock.h"
#include "error.h"
#include "json.h"
#include "log.h"

#include <string.h>
#include <sys/random.h>

enum {
	STORE_TIMEOUT_MS = 2000,
	DEFAULT_DRAIN_TIMEOUT_MS = 60000,
	DEFAULT_LEDGER_PARTITIONS = 64,
	LEDGER_PARTITIONS_MAX = 4096,
	MESH_MAX = 1000,
	DRAIN_POLL_MS = 20,
};

static char **
string_list(const json_t *array)
{
	char **list = g_new0(char *, json_array_size(array) + 1);
	const json_t *item;
	size_t i;

	json_array_foreach (array, i, item)
		list[i] = g_strdup(
		    json_is_string(item) ? json_string_value(item) : "");
	return list;
}

static const char *const config_names[] = {"name", "zone", "address",
    "http_port", "peer_port", "store", "cloud", "teams", "peers", "mesh_max",
    "ledger_partitions", "seed", "drain_timeout_ms", NULL};

static bool
check_names(const char *file, json_t *json, GError **error)
{
	const char *name;
	json_t *value;

	json_object_foreach (json, name, value) {
		if (g_strv_contains(config_names, name))
			continue;
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: unknown setting \"%s\"; remove it or correct its name",
		    file, name);
		return false;
	}
	return true;
}

static bool
check_required(const char *file, const json_t *json, GError **error)
{
	static const char *const required[] = {
	    "name", "zone", "address", "store"};

	for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
		if (json_get_string(json, required[i], "")[0] != '\0')
			continue;
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: \"%s\" is missing or not a string; set it", file,
		    required[i]);
		return false;
	}
	if (json_array_size(json_object_get(json, "teams")) == 0) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: \"teams\" is missing or empty; list the teams served",
		    file);
		return false;
	}
	return true;
}

static bool
check_range(const char *file, const json_t *json, const char *name,
    int64_t least, int64_t most, GError **error)
{
	const json_t *value = json_object_get(json, name);

	if (value == NULL)
		return true;
	if (json_is_integer(value) && json_integer_value(value) >= least &&
	    json_integer_value(value) <= most)
		return true;
	papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
	    "%s: \"%s\" is not a whole number from %" G_GINT64_FORMAT
	    " to %" G_GINT64_FORMAT "; correct it",
	    file, name, least, most);
	return false;
}

static bool
config_check(const char *file, json_t *json, GError **error)
{
	if (!json_is_object(json)) {
		papaya_error_set(error, PAPAYA_ERROR_BAD_SETTING,
		    "%s: not a JSON object; see docs/OPERATIONS.md", file);
		return false;
	}
	return check_names(file, json, error) &&
	       check_required(file, json, error) &&
	       check_range(file, json, "http_port", 0, 65535, error) &&
	       check_range(file, json, "peer_port", 0, 65535, error) &&
	       check_range(file, json, "ledger_partitions", 1,
		   LEDGER_PARTITIONS_MAX, error) &&
	       check_range(file, json, "mesh_max", 0, MESH_MAX, error) &&
	       check_range(file, json, "seed", 0, G_MAXINT64, error) &&
	       check_range(
		   file, json, "drain_timeout_ms", 0, G_MAXINT32, error);
}

static node_config_t *
config_from_json(const json_t *json)
{
	node_config_t *config = g_new0(node_config_t, 1);

	config->name = g_strdup(json_get_string(json, "name", ""));
	config->zone = g_strdup(json_get_string(json, "zone", ""));
	config->address = g_strdup(json_get_string(json, "address", ""));
	config->http_port = (int)json_get_int(json, "http_port", 0);
	config->peer_port = (int)json_get_int(json, "peer_port", 0);
	config->store_url = g_strdup(json_get_string(json, "store", ""));
	config->cloud_url = g_strdup(json_get_string(json, "cloud", NULL));
	config->teams = string_list(json_object_get(json, "teams"));
	config->peers = string_list(json_object_get(json, "peers"));
	config->mesh_max = (unsigned)json_get_int(json, "mesh_max", 0);
	config->ledger_partitions = (unsigned)json_get_int(
	    json, "ledger_partitions", DEFAULT_LEDGER_PARTITIONS);
	config->seed = (uint64_t)json_get_int(json, "seed", 0);
	config->drain_timeout_ms =
	    json_get_int(json, "drain_timeout_ms", DEFAULT_DRAIN_TIMEOUT_MS);
	return config;
}

node_config_t *
node_config_load(const char *file, GError **error)
{
	json_t *json = json_load_settings(
	    file, "give a readable file with --config", error);
	node_config_t *config = NULL;

	if (json == NULL)
		return NULL;
	if (config_check(file, json, error))
		config = config_from_json(json);
	json_decref(json);
	return config;
}

void
node_config_free(node_config_t *config)
{
	if (config == NULL)
		return;
	g_free(config->name);
	g_free(config->zone);
	g_free(config->address);
	g_free(config->store_url);
	g_free(config->cloud_url);
	g_strfreev(config->teams);
	g_strfreev(config->peers);
	g_free(config);
}

static void
serve_metrics(node_t *node, http_request_t *request)
{
	static const http_header_t headers[] = {{"content-type", "text/plain"}};
	GString *text = g_string_new(NULL);

	counters_write(node->counters, text);
	http_reply(request, 200, headers, 1, text->str, text->len);
	g_string_free(text, TRUE);
}

static void
on_request(http_request_t *request, void *data)
{
	node_t *node = data;
	GError *error = NULL;

	if (strcmp(http_request_path(request), "/metrics") == 0) {
		serve_metrics(node, request);
		return;
	}
	if (node_calls_handle(node, request) ||
	    node_settings_handle(node, request) ||
	    node_peers_handle(node, request) ||
	    node_moves_handle(node, request) ||
	    node_report_handle(node, request) ||
	    node_admin_handle(node, request))
		return;
	counter_add(node->counters, 1, "requests_unknown_path_total");
	papaya_error_set(&error, PAPAYA_ERROR_NOT_FOUND, "no such path: %s",
	    http_request_path(request));
	http_reply_error(request, error, true);
	g_error_free(error);
}

uint64_t
node_random(node_t *node)
{
	return (uint64_t)g_rand_int(node->rand) << 32 | g_rand_int(node->rand);
}

uint64_t
node_unique(node_t *node)
{
	uint64_t number;

	if (getrandom(&number, sizeof(number), 0) == (ssize_t)sizeof(number))
		return number;
	return node_random(node) ^ (uint64_t)node->incarnation << 16 ^
	       (uint64_t)g_str_hash(node->config->name);
}

node_t *
node_start(uv_loop_t *loop, node_config_t *config, GError **error)
{
	node_t *node = g_new0(node_t, 1);
	http_server_options_t options = {
	    .address = config->address,
	    .port = config->http_port,
	    .handler = on_request,
	    .data = node,
	};

	node->loop = loop;
	node->config = config;
	node->incarnation = clock_wall_ms();
	node->rand = config->seed != 0
			 ? g_rand_new_with_seed((guint32)config->seed)
			 : g_rand_new();
	node->counters = counters_new();
	node->http = http_client_new(loop);
	node->store =
	    store_new(loop, node->http, config->store_url, STORE_TIMEOUT_MS);
	node->settings = settings_new();
	node->backends = backends_new();
	node->server = http_server_start(loop, &options, error);
	if (node->server == NULL)
		return NULL;
	config->http_port = http_server_port(node->server);
	if (!node_peers_start(node, error))
		return NULL;
	config->peer_port = node_peers_port(node);
	node_backends_start(node);
	node_reports_start(node);
	node_moves_start(node);
	node_calls_start(node);
	node_books_start(node);
	node_settings_start(node);
	node_admin_start(node);
	log_event(LOG_LEVEL_INFO, "node.started",
	    "node=%s zone=%s http=%s:%d peer=%d", config->name, config->zone,
	    config->address, config->http_port, config->peer_port);
	return node;
}

typedef struct drain {
	uv_timer_t timer;
	node_t *node;
	void (*done)(node_t *node);
	int64_t until_ms;
} drain_t;

static void
on_drain_closed(uv_handle_t *handle)
{
	drain_t *drain = handle->data;

	drain->done(drain->node);
	g_free(drain);
}

static void
on_drain_poll(uv_timer_t *timer)
{
	drain_t *drain = timer->data;
	unsigned active = http_server_active_requests(drain->node->server) +
			  node_books_active(drain->node);

	if ((active > 0 || !node_peers_left(drain->node)) &&
	    clock_mono_ms() < drain->until_ms)
		return;
	log_event(active > 0 ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "node.drained",
	    "node=%s interrupted=%u", drain->node->config->name, active);
	uv_timer_stop(timer);
	uv_close((uv_handle_t *)timer, on_drain_closed);
}

void
node_drain(node_t *node, void (*done)(node_t *node))
{
	drain_t *drain;

	if (node->draining)
		return;
	node->draining = true;
	log_event(LOG_LEVEL_INFO, "node.draining", "node=%s requests=%u",
	    node->config->name, http_server_active_requests(node->server));
	node_peers_drain(node);
	node_calls_drain(node);
	http_server_stop(node->server);
	drain = g_new0(drain_t, 1);
	drain->node = node;
	drain->done = done;
	drain->until_ms = clock_mono_ms() + node->config->drain_timeout_ms;
	uv_timer_init(node->loop, &drain->timer);
	drain->timer.data = drain;
	uv_timer_start(&drain->timer, on_drain_poll, 0, DRAIN_POLL_MS);
}

void
node_free(node_t *node)
{
	if (node == NULL)
		return;
	node_admin_free(node);
	node_settings_free(node);
	node_books_free(node);
	node_calls_free(node);
	node_moves_free(node);
	node_reports_free(node);
	node_backends_free(node);
	node_peers_free(node);
	store_free(node->store);
	http_client_free(node->http);
	backends_free(node->backends);
	settings_free(node->settings);
	counters_free(node->counters);
	g_rand_free(node->rand);
	node_config_free(node->config);
	g_free(node);
}
