#include "support.h"

#include <check.h>
#include <curl/curl.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	START_TIMEOUT_MS = 20000,
	WAIT_TIMEOUT_MS = 20000,
	WAIT_STEP_US = 5000,
	ASK_TIMEOUT_MS = 30000,
	LINE_MAX_LENGTH = 256,
};

static GPtrArray *running;

static char *
program_path(const char *name)
{
	const char *folder = g_getenv("PAPAYA_BIN");

	return g_build_filename(folder != NULL ? folder : "build", name, NULL);
}

/* Reads the line "listening IP:PORT" and returns the address. */
static char *
read_address(int output, const char *name)
{
	char line[LINE_MAX_LENGTH] = "";
	size_t length = 0;

	while (length + 1 < sizeof(line) && strchr(line, '\n') == NULL) {
		struct pollfd ready = {.fd = output, .events = POLLIN};
		ssize_t got;

		if (poll(&ready, 1, START_TIMEOUT_MS) <= 0)
			ck_abort_msg("%s did not start in time", name);
		got = read(output, line + length, 1);
		if (got <= 0)
			ck_abort_msg("%s ended before it listened", name);
		length += (size_t)got;
	}
	line[length] = '\0';
	ck_assert_msg(g_str_has_prefix(line, "listening "),
	    "%s printed \"%s\" where \"listening\" was expected", name, line);
	return g_strstrip(g_strdup(line + strlen("listening ")));
}

static program_t *
start(char **arguments, const char *name)
{
	program_t *program = g_new0(program_t, 1);
	int ends[2];

	ck_assert_int_eq(pipe(ends), 0);
	program->pid = fork();
	ck_assert_int_ge(program->pid, 0);
	if (program->pid == 0) {
		/* A test that is killed leaves no program behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(ends[1], STDOUT_FILENO);
		close(ends[0]);
		close(ends[1]);
		execv(arguments[0], arguments);
		_exit(127);
	}
	close(ends[1]);
	program->output = ends[0];
	if (running == NULL)
		running = g_ptr_array_new();
	g_ptr_array_add(running, program);
	program->address = read_address(program->output, name);
	return program;
}

program_t *
program_start(const char *name, ...)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
	program_t *program;
	const char *argument;
	va_list list;

	g_ptr_array_add(arguments, program_path(name));
	va_start(list, name);
	while ((argument = va_arg(list, const char *)) != NULL)
		g_ptr_array_add(arguments, g_strdup(argument));
	va_end(list);
	g_ptr_array_add(arguments, NULL);
	program = start((char **)arguments->pdata, name);
	g_ptr_array_free(arguments, TRUE);
	return program;
}

program_t *
papayad_start(const char *name, const char *zone, const program_t *store,
    const char *team, json_t *extra)
{
	char *url = g_strdup_printf("http://%s", store->address);
	char path[] = "/tmp/papayad-XXXXXX";
	program_t *program;
	json_t *config;

	config =
	    json_pack("{s:s,s:s,s:s,s:s,s:[s],s:i}", "name", name, "zone", zone,
		"address", "127.0.0.1", "store", url, "teams", team, "seed", 1);
	json_object_update(config, extra);
	json_decref(extra);
	close(mkstemp(path));
	ck_assert_int_eq(json_dump_file(config, path, 0), 0);
	program = program_start("papayad", "--config", path, NULL);
	unlink(path);
	json_decref(config);
	g_free(url);
	return program;
}

static void
program_free(program_t *program)
{
	g_ptr_array_remove(running, program);
	close(program->output);
	g_free(program->address);
	g_free(program);
}

int
program_wait(program_t *program)
{
	int status = 0;

	while (waitpid(program->pid, &status, 0) < 0 && errno == EINTR)
		;
	program_free(program);
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

int
program_end(program_t *program, int signal)
{
	kill(program->pid, signal);
	/* A stopped program takes a signal only once it continues. */
	kill(program->pid, SIGCONT);
	return program_wait(program);
}

void
programs_end(void)
{
	while (running != NULL && running->len > 0)
		program_end(g_ptr_array_index(running, 0), SIGKILL);
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *data)
{
	answer_t *answer = data;
	char *line = g_strndup(bytes, size * count);
	char *colon = strchr(line, ':');

	if (colon != NULL) {
		*colon = '\0';
		g_hash_table_replace(answer->headers, g_ascii_strdown(line, -1),
		    g_strdup(g_strstrip(colon + 1)));
	}
	g_free(line);
	return size * count;
}

typedef struct transfer {
	const ask_t *ask;
	answer_t *answer;
	CURL *easy;
} transfer_t;

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
	transfer_t *transfer = data;
	const ask_t *ask = transfer->ask;

	g_string_append_len(
	    transfer->answer->body, bytes, (gssize)(size * count));
	curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &transfer->answer->status);
	if (ask->on_data != NULL && !ask->on_data(transfer->answer, ask->data))
		return 0;
	return size * count;
}

static int
on_socket(void *data, curl_socket_t socket, curlsocktype purpose)
{
	const ask_t *ask = data;

	setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &ask->receive_buffer,
	    sizeof(ask->receive_buffer));
	return CURL_SOCKOPT_OK;
}

static struct curl_slist *
header_list(const char *const *headers)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (; headers != NULL && *headers != NULL; headers++)
		list = curl_slist_append(list, *headers);
	return list;
}

answer_t *
ask_send(const ask_t *ask)
{
	char *url = g_strdup_printf("http://%s%s", ask->to->address, ask->path);
	struct curl_slist *headers = header_list(ask->headers);
	answer_t *answer = g_new0(answer_t, 1);
	transfer_t transfer = {ask, answer, curl_easy_init()};
	CURL *easy = transfer.easy;

	answer->body = g_string_new(NULL);
	answer->headers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    ask->timeout_ms > 0 ? ask->timeout_ms : (long)ASK_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
	if (ask->receive_buffer > 0) {
		curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
		curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, ask);
	}
	if (ask->body != NULL)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, ask->body);
	if (ask->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, ask->method);
	answer->whole = curl_easy_perform(easy) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	answer->json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_free(url);
	return answer;
}

void
answer_free(answer_t *answer)
{
	json_decref(answer->json);
	g_hash_table_destroy(answer->headers);
	g_string_free(answer->body, TRUE);
	g_free(answer);
}

const char *
answer_header(const answer_t *answer, const char *name)
{
	return g_hash_table_lookup(answer->headers, name);
}

answer_t *
ask_json(const program_t *to, const char *method, const char *path,
    json_t *body, long status)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	ask_t ask = {.to = to, .method = method, .path = path, .body = text};
	answer_t *answer = ask_send(&ask);

	ck_assert_msg(answer->status == status, "%s %s: status %ld: %s", method,
	    path, answer->status, answer->body->str);
	json_decref(body);
	free(text);
	return answer;
}

void
faults_set(const program_t *standin, const char *json)
{
	answer_free(ask_json(
	    standin, "POST", "/faults", json_loads(json, 0, NULL), 200));
}

void
settings_put(const program_t *node, const char *team, json_t *tree)
{
	static const char *const headers[] = {"If-Match: \"0\"", NULL};
	char *path = g_strdup_printf("/v1/admin/settings/%s", team);
	json_t *body = json_pack(
	    "{s:s,s:s,s:o}", "author", "test", "message", "test", "tree", tree);
	char *text = json_dumps(body, 0);
	ask_t ask = {.to = node,
	    .method = "PUT",
	    .path = path,
	    .headers = headers,
	    .body = text};
	answer_t *answer = ask_send(&ask);

	ck_assert_msg(answer->status / 100 == 2, "settings of %s: %ld %s", team,
	    answer->status, answer->body->str);
	answer_free(answer);
	free(text);
	json_decref(body);
	g_free(path);
}

void
wait_until(bool (*ready)(void *data), void *data)
{
	gint64 end = g_get_monotonic_time() + WAIT_TIMEOUT_MS * 1000LL;

	while (!ready(data)) {
		ck_assert_msg(g_get_monotonic_time() < end,
		    "the condition did not come true in time");
		g_usleep(WAIT_STEP_US);
	}
}

double
counter_read(const program_t *node, const char *name)
{
	ask_t ask = {.to = node, .path = "/metrics"};
	answer_t *answer = ask_send(&ask);
	char **lines = g_strsplit(answer->body->str, "\n", -1);
	size_t length = strlen(name);
	double value = 0;

	for (size_t i = 0; lines[i] != NULL; i++)
		if (strncmp(lines[i], name, length) == 0 &&
		    lines[i][length] == ' ')
			value = g_ascii_strtod(lines[i] + length, NULL);
	g_strfreev(lines);
	answer_free(answer);
	return value;
}

char *
node_peer_address(const program_t *store, const char *name)
{
	char *path = g_strdup_printf("/v1/kv/node/%s", name);
	answer_t *answer = ask_json(store, "GET", path, NULL, 200);
	char *address = g_strdup(
	    json_string_value(json_object_get(answer->json, "peer_address")));

	answer_free(answer);
	g_free(path);
	return address;
}
