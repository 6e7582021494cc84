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
	WAIT_POLL_INTERVAL_US = 5000,
	REQUEST_TIMEOUT_MS = 30000,
	LINE_MAX_LENGTH = 256,
};

static GPtrArray *running_programs;

char *
program_path(const char *name)
{
	const char *folder = g_getenv("PAPAYA_BIN");

	return g_build_filename(folder != NULL ? folder : "build", name, NULL);
}

/* Reads the next line of a program's output. Free with g_free(). */
static char *
read_line(int output, const char *name)
{
	char line[LINE_MAX_LENGTH] = "";
	size_t length = 0;

	while (length + 1 < sizeof(line) && strchr(line, '\n') == NULL) {
		struct pollfd ready = {.fd = output, .events = POLLIN};
		ssize_t count;

		if (poll(&ready, 1, START_TIMEOUT_MS) <= 0)
			ck_abort_msg("%s did not start in time", name);
		count = read(output, line + length, 1);
		if (count <= 0)
			ck_abort_msg("%s exited before it was listening", name);
		length += (size_t)count;
	}
	line[length] = '\0';
	return g_strdup(line);
}

char *
program_read_line(const program_t *program)
{
	return read_line(program->stdout_fd, "the program");
}

/* Reads the line "listening IP:PORT". Free the address with g_free(). */
static char *
read_address(int output, const char *name)
{
	char *line = read_line(output, name);
	char *address;

	ck_assert_msg(g_str_has_prefix(line, "listening "),
	    "%s printed \"%s\" where \"listening\" was expected", name, line);
	address = g_strstrip(g_strdup(line + strlen("listening ")));
	g_free(line);
	return address;
}

static program_t *
spawn_program(char **arguments, const char *name)
{
	program_t *program = g_new0(program_t, 1);
	int pipe_fds[2];

	ck_assert_int_eq(pipe(pipe_fds), 0);
	program->pid = fork();
	ck_assert_int_ge(program->pid, 0);
	if (program->pid == 0) {
		/* Ends the program if the test is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(pipe_fds[1], STDOUT_FILENO);
		close(pipe_fds[0]);
		close(pipe_fds[1]);
		execv(arguments[0], arguments);
		_exit(127);
	}
	close(pipe_fds[1]);
	program->stdout_fd = pipe_fds[0];
	if (running_programs == NULL)
		running_programs = g_ptr_array_new();
	g_ptr_array_add(running_programs, program);
	program->address = read_address(program->stdout_fd, name);
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
	program = spawn_program((char **)arguments->pdata, name);
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
	g_ptr_array_remove(running_programs, program);
	close(program->stdout_fd);
	g_free(program->address);
	g_free(program->directory_address);
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
	/* A stopped process handles other signals only once it continues. */
	kill(program->pid, SIGCONT);
	return program_wait(program);
}

void
programs_end(void)
{
	while (running_programs != NULL && running_programs->len > 0)
		program_end(g_ptr_array_index(running_programs, 0), SIGKILL);
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *data)
{
	test_response_t *response = data;
	char *line = g_strndup(bytes, size * count);
	char *colon = strchr(line, ':');

	if (colon != NULL) {
		*colon = '\0';
		g_hash_table_replace(response->headers,
		    g_ascii_strdown(line, -1), g_strdup(g_strstrip(colon + 1)));
	}
	g_free(line);
	return size * count;
}

typedef struct transfer {
	const test_request_t *request;
	test_response_t *response;
	CURL *easy;
} transfer_t;

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
	transfer_t *transfer = data;
	const test_request_t *request = transfer->request;

	g_string_append_len(
	    transfer->response->body, bytes, (gssize)(size * count));
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
	    &transfer->response->status);
	if (request->on_data != NULL &&
	    !request->on_data(transfer->response, request->data))
		return 0;
	return size * count;
}

static int
set_receive_buffer(void *data, curl_socket_t socket, curlsocktype purpose)
{
	const test_request_t *request = data;

	setsockopt(socket, SOL_SOCKET, SO_RCVBUF,
	    &request->receive_buffer_bytes,
	    sizeof(request->receive_buffer_bytes));
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

test_response_t *
test_request_send(const test_request_t *request)
{
	char *url = g_strdup_printf(
	    "http://%s%s", request->target->address, request->path);
	struct curl_slist *headers = header_list(request->headers);
	test_response_t *response = g_new0(test_response_t, 1);
	transfer_t transfer = {request, response, curl_easy_init()};
	CURL *easy = transfer.easy;

	response->body = g_string_new(NULL);
	response->headers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    request->timeout_ms > 0 ? request->timeout_ms
				    : (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, response);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
	if (request->receive_buffer_bytes > 0) {
		curl_easy_setopt(
		    easy, CURLOPT_SOCKOPTFUNCTION, set_receive_buffer);
		curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, request);
	}
	if (request->body != NULL)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request->body);
	if (request->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	response->complete = curl_easy_perform(easy) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
	response->json =
	    json_loadb(response->body->str, response->body->len, 0, NULL);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_free(url);
	return response;
}

void
test_response_free(test_response_t *response)
{
	json_decref(response->json);
	g_hash_table_destroy(response->headers);
	g_string_free(response->body, TRUE);
	g_free(response);
}

const char *
test_response_header(const test_response_t *response, const char *name)
{
	return g_hash_table_lookup(response->headers, name);
}

test_response_t *
test_request_json(const program_t *target, const char *method, const char *path,
    json_t *body, long expected_status)
{
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	test_request_t request = {
	    .target = target, .method = method, .path = path, .body = text};
	test_response_t *response = test_request_send(&request);

	ck_assert_msg(response->status == expected_status,
	    "%s %s: status %ld: %s", method, path, response->status,
	    response->body->str);
	json_decref(body);
	free(text);
	return response;
}

void
faults_set(const program_t *standin, const char *json)
{
	test_response_free(test_request_json(
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
	test_request_t request = {.target = node,
	    .method = "PUT",
	    .path = path,
	    .headers = headers,
	    .body = text};
	test_response_t *response = test_request_send(&request);

	ck_assert_msg(response->status / 100 == 2, "settings of %s: %ld %s",
	    team, response->status, response->body->str);
	test_response_free(response);
	free(text);
	json_decref(body);
	g_free(path);
}

void
wait_until(bool (*condition)(void *data), void *data)
{
	gint64 deadline_us = g_get_monotonic_time() + WAIT_TIMEOUT_MS * 1000LL;

	while (!condition(data)) {
		ck_assert_msg(g_get_monotonic_time() < deadline_us,
		    "the condition did not become true in time");
		g_usleep(WAIT_POLL_INTERVAL_US);
	}
}

double
metric_read(const program_t *node, const char *name)
{
	test_request_t request = {.target = node, .path = "/metrics"};
	test_response_t *response = test_request_send(&request);
	char **lines = g_strsplit(response->body->str, "\n", -1);
	size_t length = strlen(name);
	double value = 0;

	for (size_t i = 0; lines[i] != NULL; i++)
		if (strncmp(lines[i], name, length) == 0 &&
		    lines[i][length] == ' ')
			value = g_ascii_strtod(lines[i] + length, NULL);
	g_strfreev(lines);
	test_response_free(response);
	return value;
}

char *
node_peer_address(const program_t *store, const char *name)
{
	char *path = g_strdup_printf("/v1/kv/node/%s", name);
	test_response_t *response =
	    test_request_json(store, "GET", path, NULL, 200);
	char *address = g_strdup(
	    json_string_value(json_object_get(response->json, "peer_address")));

	test_response_free(response);
	g_free(path);
	return address;
}
