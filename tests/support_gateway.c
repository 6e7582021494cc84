#include "support_gateway.h"
#include "support_wire.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READY_POLL_INTERVAL_US = 20000,
	READY_POLLS_MAX = 500,
};

#define DEFAULT_LIMITS                                                   \
	{                                                                \
		.body_bytes = 2000, .idle_ms = 5000, .timeout_ms = 4000, \
		.read_attempts = 2, .read_service = "plain",             \
		.write_attempts = 1                                      \
	}

static const gateway_limits_t default_limits = DEFAULT_LIMITS;

program_t *platform_standin;
program_t *gateway_node;
gateway_limits_t gateway_limits = DEFAULT_LIMITS;
int backend_listener_1, backend_listener_2;
int backend_port_1, backend_port_2;

void
gateway_store_put(const char *key, const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	test_response_free(
	    test_request_json(platform_standin, "POST", "/v1/kv-txn",
		json_pack("{s:[],s:[{s:s,s:s}],s:[]}", "expected_rev", "writes",
		    "key", key, "value", text, "remove"),
		200));
	g_free(text);
}

void
gateway_store_remove(const char *key)
{
	test_response_free(
	    test_request_json(platform_standin, "POST", "/v1/kv-txn",
		json_pack("{s:[],s:[],s:[s]}", "expected_rev", "writes",
		    "remove", key),
		200));
}

char *
gateway_store_get(const char *key)
{
	char *path = g_strconcat("/v1/kv-key?key=", key, NULL);
	test_request_t ask = {.target = platform_standin, .path = path};
	test_response_t *answer = test_request_send(&ask);
	const char *value =
	    json_string_value(json_object_get(answer->json, "value"));
	char *text = NULL;
	gsize length;

	if (answer->status == 200 && value != NULL)
		text = (char *)g_base64_decode(value, &length);
	if (text != NULL)
		text = g_realloc(text, length + 1);
	if (text != NULL)
		text[length] = '\0';
	test_response_free(answer);
	g_free(path);
	return text;
}

static json_t *
make_route(
    const char *path, const char *kind, int attempts, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:i}", "name",
	    path, "host", "t.example", "path_prefix", path, "route_type", kind,
	    "timeout_ms", gateway_limits.timeout_ms, "target_latency_ms", 1000,
	    "priority", 1, "service", service, "max_attempts", attempts,
	    "gap_aim_ms", 1000);
}

static json_t *
make_configuration(int version, const char *keys_json, double rate_per_s)
{
	json_t *keys = json_loads(keys_json, 0, NULL);
	json_t *talk = make_route("/talk/", "streaming", 2, "engine");
	json_t *open = make_route("/open/", "idempotent", 2, "plain");

	json_object_set_new(talk, "can_resume", json_true());
	json_object_set_new(open, "public", json_true());
	return json_pack("{s:i,s:[o,o,o,o,o],s:[{s:s},{s:s,s:{s:i,s:i,s:b}}],"
			 "s:{s:i,s:i,s:i,s:i},s:[{s:s,s:o,s:i,s:f,s:f}]}",
	    "version", version, "routes",
	    make_route("/book/", "non_idempotent", 1, "plain"),
	    make_route("/read/", "idempotent", gateway_limits.read_attempts,
		gateway_limits.read_service),
	    talk,
	    make_route("/write/", "streaming", gateway_limits.write_attempts,
		"engine"),
	    open, "services", "name", "plain", "name", "engine", "engine",
	    "slots", 8, "kv_capacity_tokens", 100000, "moves", 1, "limits",
	    "max_header_bytes", 4000, "max_body_bytes",
	    gateway_limits.body_bytes, "header_timeout_ms", 500,
	    "idle_timeout_ms", gateway_limits.idle_ms, "tenants", "name",
	    "depot", "api_keys", keys, "priority", 1, "rate_per_s", rate_per_s,
	    "burst", 0.0);
}

/* Steals the reference to json. */
static void
write_configuration(json_t *json)
{
	char *text = json_dumps(json, 0);

	gateway_store_put("op/config", text);
	free(text);
	json_decref(json);
}

void
gateway_configure(int version, const char *keys_json)
{
	write_configuration(make_configuration(version, keys_json, 0));
}

void
gateway_configure_rate(int version, double rate_per_s)
{
	write_configuration(
	    make_configuration(version, "[\"key-1\"]", rate_per_s));
}

/* The member of the array whose string member name has the value. */
static json_t *
find_member(json_t *array, const char *name, const char *value)
{
	json_t *member;
	size_t i;

	json_array_foreach (array, i, member)
		if (g_str_equal(
			json_string_value(json_object_get(member, name)),
			value))
			return member;
	return NULL;
}

void
gateway_configure_regions(
    int version, const char *path_prefix, const char *regions_json)
{
	json_t *json = make_configuration(version, "[\"key-1\"]", 0);
	json_t *routes = json_object_get(json, "routes");
	json_t *workspaces = json_object_get(json, "tenants");
	json_t *owner = path_prefix == NULL
			    ? json_array_get(workspaces, 0)
			    : find_member(routes, "path_prefix", path_prefix);

	json_object_set_new(
	    owner, "allowed_regions", json_loads(regions_json, 0, NULL));
	write_configuration(json);
}

void
gateway_register_server(
    const char *id, const char *service, int port, const char *state)
{
	gateway_register_server_version(id, service, port, state, "v1");
}

static void
register_server(const char *id, const char *service, int port,
    const char *state, const char *version, const char *zone)
{
	char *key = g_strconcat("servers/", id, NULL);
	char *text = g_strdup_printf(
	    "{\"service\": \"%s\", \"address\": \"127.0.0.1:%d\","
	    " \"zone\": \"%s\", \"version\": \"%s\", \"slots\": 4,"
	    " \"state\": \"%s\", \"sequence\": 1}",
	    service, port, zone, version, state);

	gateway_store_put(key, text);
	g_free(text);
	g_free(key);
}

void
gateway_register_server_version(const char *id, const char *service, int port,
    const char *state, const char *version)
{
	register_server(id, service, port, state, version, "z");
}

void
gateway_register_server_in_zone(
    const char *id, const char *service, int port, const char *zone)
{
	register_server(id, service, port, "ready", "v1", zone);
}

void
gateway_setup(void)
{
	platform_standin = program_start("standin-platform", NULL);
	gateway_configure(1, "[\"key-1\", \"key-2\"]");
}

void
gateway_teardown(void)
{
	programs_end();
	gateway_limits = default_limits;
}

/* Adds the limits that a test has set to a node's settings. */
static void
add_limits(json_t *settings)
{
	json_t *limits = json_object();

	if (gateway_limits.memory_mb != 0)
		json_object_set_new(limits, "memory_mb",
		    json_integer(gateway_limits.memory_mb));
	if (gateway_limits.fds_max != 0)
		json_object_set_new(
		    limits, "max_fds", json_integer(gateway_limits.fds_max));
	if (json_object_size(limits) > 0)
		json_object_set(settings, "limits", limits);
	json_decref(limits);
}

/*
 * Writes a node's settings file, which leaves all ports to the kernel; returns
 * its path, to be freed. zones_json: see gateway_start_in_zone(); NULL: none.
 */
static char *
write_settings(const char *name, const char *zone, const char *zones_json)
{
	char *path = g_strdup("/tmp/papaya-front-XXXXXX");
	json_t *json =
	    json_pack("{s:s,s:s,s:s,s:{s:o,s:o,s:o},s:[i,i],s:{s:o},s:{s:o},"
		      "s:{s:i,s:i,s:i,s:i,s:i}}",
		"node_name", name, "zone", zone, "ip", "127.0.0.1",
		"listen_addrs", "front", json_string("127.0.0.1:0"), "ready",
		json_string("127.0.0.1:0"), "directory",
		json_string("127.0.0.1:0"), "internal_ports", 0, 0, "platform",
		"address", json_string(platform_standin->address), "cloud_api",
		"address", json_string(platform_standin->address), "bounds",
		"revoke_ms", 2000, "window_s", 1, "usage_late_s", 10, "grace_s",
		6, "expose_slack", 200);

	if (zones_json != NULL) {
		json_t *zones = json_loads(zones_json, 0, NULL);

		json_object_set(json, "region", json_object_get(zones, zone));
		json_object_set_new(json, "zones", zones);
	}
	add_limits(json);
	close(mkstemp(path));
	ck_assert_int_eq(json_dump_file(json, path, 0), 0);
	json_decref(json);
	return path;
}

static void
wait_ready(const char *address)
{
	program_t to = {.address = (char *)address};

	for (int i = 0; i < READY_POLLS_MAX; i++) {
		test_request_t ask = {.target = &to, .path = "/v1/readiness"};
		test_response_t *answer = test_request_send(&ask);
		bool ready = answer->status == 200;

		test_response_free(answer);
		if (ready)
			return;
		g_usleep(READY_POLL_INTERVAL_US);
	}
	ck_abort_msg("the node at %s was not ready in time", address);
}

/* Reads the line of the ports that the node got. */
static void
read_ports(program_t *program)
{
	char *line = program_read_line(program);
	char directory[32];

	ck_assert_msg(
	    sscanf(line, "ports ready=%*s directory=%31s metrics=%d peer=%d",
		directory, &program->metrics_port, &program->peer_port) == 3,
	    "%s", line);
	program->directory_address = g_strdup(directory);
	g_free(line);
}

static program_t *
launch(const char *name, const char *zone, const char *zones_json)
{
	char *path = write_settings(name, zone, zones_json);
	program_t *program;

	g_setenv("PAPAYAWHARF_NODE_FILE", path, TRUE);
	program = program_start("papayad", "--platform", NULL);
	unlink(path);
	g_free(path);
	read_ports(program);
	return program;
}

program_t *
gateway_launch(const char *name)
{
	return launch(name, "z", NULL);
}

program_t *
gateway_start_in_zone(
    const char *name, const char *zone, const char *zones_json)
{
	program_t *program = launch(name, zone, zones_json);

	wait_ready(gateway_directory_address(program));
	return program;
}

program_t *
gateway_start(const char *name)
{
	program_t *program = gateway_launch(name);

	wait_ready(gateway_directory_address(program));
	return program;
}

const char *
gateway_directory_address(const program_t *gateway)
{
	return gateway->directory_address;
}

char *
gateway_format_request(
    const char *path, const char *attempt_id, const char *key)
{
	return g_strdup_printf("POST %s HTTP/1.1\r\nHost: t.example\r\n"
			       "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
			       "Authorization: Bearer %s\r\n"
			       "Content-Length: 4\r\n\r\nbody",
	    path, attempt_id, key);
}

double
gateway_metric(const program_t *gateway, const char *name)
{
	program_t metrics = {
	    .address = g_strdup_printf("127.0.0.1:%d", gateway->metrics_port)};
	double value = metric_read(&metrics, name);

	g_free(metrics.address);
	return value;
}

void
gateway_fixture_setup(void)
{
	gateway_setup();
	backend_listener_1 = wire_listen(&backend_port_1);
	backend_listener_2 = wire_listen(&backend_port_2);
	gateway_register_server("i-1", "plain", backend_port_1, "ready");
	gateway_register_server("e-1", "engine", backend_port_2, "ready");
	gateway_node = gateway_start("n1");
}

void
gateway_fixture_teardown(void)
{
	gateway_teardown();
	close(backend_listener_1);
	close(backend_listener_2);
}

int
gateway_send_request(const char *path, const char *attempt_id)
{
	char *text = gateway_format_request(path, attempt_id, "key-1");
	int fd = wire_connect(gateway_node->address);

	wire_send(fd, text);
	g_free(text);
	return fd;
}

unsigned
gateway_booking_status(const program_t *gateway, const char *key)
{
	char *booking = gateway_format_request("/book/", "id-1", key);
	int fd = wire_connect(gateway->address);
	unsigned status;

	wire_send(fd, booking);
	status = wire_read_status(fd);
	g_free(booking);
	close(fd);
	return status;
}

gateway_exchange_t
gateway_exchange_open(const char *path, int listener)
{
	gateway_exchange_t exchange = {
	    .client_fd = gateway_send_request(path, "id-1")};

	exchange.server_fd = wire_accept(listener);
	exchange.request = wire_read_message(exchange.server_fd);
	return exchange;
}

void
gateway_exchange_close(gateway_exchange_t *exchange)
{
	g_free(exchange->request);
	if (exchange->client_fd >= 0)
		close(exchange->client_fd);
	if (exchange->server_fd >= 0)
		close(exchange->server_fd);
}
