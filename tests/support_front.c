#include "support_front.h"
#include "support_wire.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* Below the ports that the kernel gives to connections. */
	PORTS_FIRST = 20000,
	PORTS_LAST = 32000,
	PORTS_EACH = 5, /* of one node */
	READY_STEP_US = 20000,
	READY_STEPS = 500,
};

program_t *front_platform;
program_t *front_node;
int front_server_1, front_server_2;
int front_port_1, front_port_2;
static GHashTable *questions; /* program_t to IP:PORT */
static int next_port;

void
front_put(const char *key, const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));

	answer_free(ask_json(front_platform, "POST", "/v1/kv-txn",
	    json_pack("{s:[],s:[{s:s,s:s}],s:[]}", "expected_rev", "writes",
		"key", key, "value", text, "remove"),
	    200));
	g_free(text);
}

void
front_remove(const char *key)
{
	answer_free(ask_json(front_platform, "POST", "/v1/kv-txn",
	    json_pack(
		"{s:[],s:[],s:[s]}", "expected_rev", "writes", "remove", key),
	    200));
}

char *
front_get(const char *key)
{
	char *path = g_strconcat("/v1/kv-key?key=", key, NULL);
	ask_t ask = {.to = front_platform, .path = path};
	answer_t *answer = ask_send(&ask);
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
	answer_free(answer);
	g_free(path);
	return text;
}

static json_t *
route(const char *path, const char *kind, int attempts, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:i}", "name",
	    path, "host", "t.example", "path_prefix", path, "route_type", kind,
	    "timeout_ms", 4000, "target_latency_ms", 1000, "priority", 1,
	    "service", service, "max_attempts", attempts, "gap_aim_ms", 1000);
}

static void
configure(int version, const char *keys_json, double rate_per_s)
{
	json_t *keys = json_loads(keys_json, 0, NULL);
	json_t *talk = route("/talk/", "streaming", 2, "engine");
	json_t *open = route("/open/", "idempotent", 2, "plain");
	json_t *json;
	char *text;

	json_object_set_new(talk, "can_resume", json_true());
	json_object_set_new(open, "public", json_true());
	json = json_pack("{s:i,s:[o,o,o,o,o],s:[{s:s},{s:s,s:{s:i,s:i,s:b}}],"
			 "s:{s:i,s:i,s:i,s:i},s:[{s:s,s:o,s:i,s:f,s:f}]}",
	    "version", version, "routes",
	    route("/book/", "non_idempotent", 1, "plain"),
	    route("/read/", "idempotent", 2, "plain"), talk,
	    route("/write/", "streaming", 1, "engine"), open, "services",
	    "name", "plain", "name", "engine", "engine", "slots", 8,
	    "kv_capacity_tokens", 100000, "moves", 1, "limits",
	    "max_header_bytes", 4000, "max_body_bytes", 2000,
	    "header_timeout_ms", 500, "idle_timeout_ms", 5000, "tenants",
	    "name", "depot", "api_keys", keys, "priority", 1, "rate_per_s",
	    rate_per_s, "burst", 0.0);
	text = json_dumps(json, 0);
	front_put("op/config", text);
	free(text);
	json_decref(json);
}

void
front_configure(int version, const char *keys_json)
{
	configure(version, keys_json, 0);
}

void
front_configure_rate(int version, double rate_per_s)
{
	configure(version, "[\"key-1\"]", rate_per_s);
}

void
front_list_server(
    const char *id, const char *service, int port, const char *state)
{
	front_list_version(id, service, port, state, "v1");
}

void
front_list_version(const char *id, const char *service, int port,
    const char *state, const char *version)
{
	char *key = g_strconcat("servers/", id, NULL);
	char *text = g_strdup_printf(
	    "{\"service\": \"%s\", \"address\": \"127.0.0.1:%d\","
	    " \"zone\": \"z\", \"version\": \"%s\", \"slots\": 4,"
	    " \"state\": \"%s\", \"sequence\": 1}",
	    service, port, version, state);

	front_put(key, text);
	g_free(text);
	g_free(key);
}

void
front_setup(void)
{
	front_platform = program_start("standin-platform", NULL);
	questions = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	next_port = PORTS_FIRST +
		    (int)getpid() % ((PORTS_LAST - PORTS_FIRST) / PORTS_EACH) *
			PORTS_EACH;
	front_configure(1, "[\"key-1\", \"key-2\"]");
}

void
front_teardown(void)
{
	programs_end();
	g_hash_table_unref(questions);
}

/* Writes the settings file of a node; returns its path. */
static char *
write_settings(const char *name, int port)
{
	char *path = g_strdup("/tmp/papaya-front-XXXXXX");
	json_t *json =
	    json_pack("{s:s,s:s,s:s,s:{s:o,s:o,s:o},s:[i,i],s:{s:o},s:{s:o},"
		      "s:{s:i,s:i,s:i,s:i,s:i}}",
		"node_name", name, "zone", "z", "ip", "127.0.0.1",
		"listen_addrs", "front", json_sprintf("127.0.0.1:%d", port),
		"ready", json_sprintf("127.0.0.1:%d", port + 1), "directory",
		json_sprintf("127.0.0.1:%d", port + 2), "internal_ports",
		port + 3, port + 4, "platform", "address",
		json_string(front_platform->address), "cloud_api", "address",
		json_string(front_platform->address), "bounds", "revoke_ms",
		2000, "window_s", 1, "usage_late_s", 10, "grace_s", 6,
		"expose_slack", 200);

	close(mkstemp(path));
	ck_assert_int_eq(json_dump_file(json, path, 0), 0);
	json_decref(json);
	return path;
}

static bool
is_free(int port, int type)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool ok;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

/* First of the ports of one node, all of which are free. */
static int
free_ports(void)
{
	for (;;) {
		int first = next_port, used = 0;

		next_port += PORTS_EACH;
		if (next_port > PORTS_LAST)
			next_port = PORTS_FIRST;
		for (int i = 0; i < PORTS_EACH; i++)
			if (!is_free(first + i, SOCK_STREAM) ||
			    !is_free(first + i, SOCK_DGRAM))
				used++;
		if (used == 0)
			return first;
	}
}

static void
wait_ready(const char *address)
{
	program_t to = {.address = (char *)address};

	for (int i = 0; i < READY_STEPS; i++) {
		ask_t ask = {.to = &to, .path = "/v1/readiness"};
		answer_t *answer = ask_send(&ask);
		bool ready = answer->status == 200;

		answer_free(answer);
		if (ready)
			return;
		g_usleep(READY_STEP_US);
	}
	ck_abort_msg("the node at %s was not ready in time", address);
}

program_t *
front_launch(const char *name)
{
	int port = free_ports();
	char *path = write_settings(name, port);
	program_t *program;

	g_setenv("PAPAYAWHARF_NODE_FILE", path, TRUE);
	program = program_start("papayad", "--platform", NULL);
	unlink(path);
	g_free(path);
	g_hash_table_insert(
	    questions, program, g_strdup_printf("127.0.0.1:%d", port + 2));
	return program;
}

program_t *
front_start(const char *name)
{
	program_t *program = front_launch(name);

	wait_ready(front_questions(program));
	return program;
}

const char *
front_questions(const program_t *front)
{
	return g_hash_table_lookup(questions, front);
}

char *
front_request(const char *path, const char *attempt_id, const char *key)
{
	return g_strdup_printf("POST %s HTTP/1.1\r\nHost: t.example\r\n"
			       "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
			       "Authorization: Bearer %s\r\n"
			       "Content-Length: 4\r\n\r\nbody",
	    path, attempt_id, key);
}

void
front_fixture_start(void)
{
	front_setup();
	front_server_1 = wire_listen(&front_port_1);
	front_server_2 = wire_listen(&front_port_2);
	front_list_server("i-1", "plain", front_port_1, "ready");
	front_list_server("e-1", "engine", front_port_2, "ready");
	front_node = front_start("n1");
}

void
front_fixture_end(void)
{
	front_teardown();
	close(front_server_1);
	close(front_server_2);
}

int
front_send(const char *path, const char *attempt_id)
{
	char *text = front_request(path, attempt_id, "key-1");
	int fd = wire_connect(front_node->address);

	wire_send(fd, text);
	g_free(text);
	return fd;
}

front_ends_t
front_open(const char *path, int listener)
{
	front_ends_t ends = {.client = front_send(path, "id-1")};

	ends.server = wire_accept(listener);
	ends.request = wire_read_message(ends.server);
	return ends;
}

void
front_close(front_ends_t *ends)
{
	g_free(ends->request);
	if (ends->client >= 0)
		close(ends->client);
	if (ends->server >= 0)
		close(ends->server);
}
