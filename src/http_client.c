#include "http_client.h"

#include "log.h"
#include "status_line.h"

#include <curl/curl.h>
#include <string.h>
#include <sys/queue.h>

enum {
	DEFAULT_CONNECT_TIMEOUT_MS = 2000,
	CONNECTION_CACHE_MAX = 512,
	BODY_MAX_BYTES = 32 * 1024 * 1024,   /* of a response, by default */
	BODIES_MAX_BYTES = 64 * 1024 * 1024, /* of all running calls */
	HEADERS_MAX_BYTES = 64 * 1024,	     /* and trailers of a response */
	/*
	 * A call that libcurl has not ended this long after its timeout is
	 * ended here: as libcurl handles one timer of a call, it drops another
	 * one that has less than 1 ms left.
	 */
	OVERDUE_MS = 100,
	NS_PER_MS = 1000000,
	STATUS_FINAL_MIN = 200, /* of responses that are not interim ones */
};

struct http_call {
	TAILQ_ENTRY(http_call) entries; /* in client's pending or running */
	TAILQ_ENTRY(http_call) deadline_entries; /* in client's deadlines */
	int64_t deadline_ms;			 /* now_ms(); 0: none */
	http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	GString *body;
	size_t headers_bytes;
	bool in_head;	    /* that of the response, or of an interim one */
	bool head_complete; /* that of the response, not of an interim one */
	http_call_options_t options;
	char error[CURL_ERROR_SIZE];
	bool in_multi;
	bool cancelled;
};

struct http_client {
	uv_loop_t *loop;
	uv_timer_t timer;
	/* Adds pending calls to multi, outside libcurl's callbacks. */
	uv_idle_t start_idle;
	CURLM *multi;
	TAILQ_HEAD(, http_call) pending;
	TAILQ_HEAD(, http_call) running;
	/* Running calls with a timeout, the first to end first. */
	TAILQ_HEAD(http_call_list, http_call) deadlines;
	/* Does not keep the loop running; may expire before a deadline. */
	uv_timer_t deadline_timer;
	int64_t deadline_timer_ms; /* uv_now() at which it expires */
	uint64_t overdue_calls;
	size_t bodies_bytes; /* of all calls */
	unsigned open_handles;
	bool closing;
};

typedef struct socket_watch {
	uv_poll_t poll;
	curl_socket_t socket;
	http_client_t *client;
} socket_watch_t;

static void
release_client(http_client_t *client)
{
	if (--client->open_handles == 0)
		g_free(client);
}

static void
on_client_handle_closed(uv_handle_t *handle)
{
	release_client(handle->data);
}

static int64_t
now_ms(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_MS);
}

static void
clear_deadline(http_call_t *call)
{
	if (call->deadline_ms == 0)
		return;
	TAILQ_REMOVE(&call->client->deadlines, call, deadline_entries);
	call->deadline_ms = 0;
}

static void
call_free(http_call_t *call)
{
	clear_deadline(call);
	if (call->in_multi) {
		curl_multi_remove_handle(call->client->multi, call->easy);
		TAILQ_REMOVE(&call->client->running, call, entries);
	} else {
		TAILQ_REMOVE(&call->client->pending, call, entries);
	}
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	call->client->bodies_bytes -= call->body->len;
	g_string_free(call->body, TRUE);
	g_free(call);
}

static http_outcome_t
call_outcome(http_call_t *call, CURLcode code)
{
	curl_off_t pretransfer_us = 0;

	if (code == CURLE_OK)
		return HTTP_OUTCOME_COMPLETE;
	/* Set when the connection is ready, before any request byte is sent. */
	curl_easy_getinfo(
	    call->easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
	if (pretransfer_us == 0)
		return HTTP_OUTCOME_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HTTP_OUTCOME_TIMEOUT;
	return HTTP_OUTCOME_FAILED;
}

/*
 * libcurl takes a response for complete whose server has closed the connection
 * in its head, where no header has announced a body yet.
 */
static CURLcode
check_head(http_call_t *call, CURLcode code)
{
	if (code != CURLE_OK || call->head_complete)
		return code;
	g_strlcpy(
	    call->error, "the response ended in its head", sizeof(call->error));
	return CURLE_PARTIAL_FILE;
}

static void
finish_call(http_call_t *call, CURLcode curl_code)
{
	CURLcode code = check_head(call, curl_code);
	http_result_t result = {
	    .outcome = call_outcome(call, code),
	    .status = http_call_status(call),
	    .body = call->body->str,
	    .body_length = call->body->len,
	    .error_message = "",
	};

	if (code != CURLE_OK)
		result.error_message = call->error[0] != '\0'
					   ? call->error
					   : curl_easy_strerror(code);
	if (!call->cancelled && call->options.on_complete != NULL)
		call->options.on_complete(call, &result, call->options.data);
	call_free(call);
}

static void
finish_completed_calls(http_client_t *client)
{
	CURLMsg *message;
	int messages_left;

	while (
	    !client->closing && (message = curl_multi_info_read(
				     client->multi, &messages_left)) != NULL) {
		http_call_t *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish_call(call, message->data.result);
	}
}

static void
on_timer_expired(uv_timer_t *timer)
{
	http_client_t *client = timer->data;
	int running;

	curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed_calls(client);
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *data)
{
	http_client_t *client = data;

	if (client->closing)
		return 0;
	if (timeout_ms < 0)
		uv_timer_stop(&client->timer);
	else
		uv_timer_start(
		    &client->timer, on_timer_expired, (uint64_t)timeout_ms, 0);
	return 0;
}

static void
on_socket_ready(uv_poll_t *poll, int status, int events)
{
	socket_watch_t *watch = poll->data;
	http_client_t *client = watch->client;
	int running, flags = 0;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, watch->socket, flags, &running);
	finish_completed_calls(client);
}

static void
on_watch_closed(uv_handle_t *handle)
{
	socket_watch_t *watch = handle->data;

	release_client(watch->client);
	g_free(watch);
}

static socket_watch_t *
watch_new(http_client_t *client, curl_socket_t socket)
{
	socket_watch_t *watch = g_new0(socket_watch_t, 1);

	watch->socket = socket;
	watch->client = client;
	uv_poll_init_socket(client->loop, &watch->poll, socket);
	watch->poll.data = watch;
	client->open_handles++;
	curl_multi_assign(client->multi, socket, watch);
	return watch;
}

static int
on_curl_socket(
    CURL *easy, curl_socket_t socket, int what, void *data, void *socket_data)
{
	socket_watch_t *watch = socket_data;
	http_client_t *client = data;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			curl_multi_assign(client->multi, socket, NULL);
			uv_poll_stop(&watch->poll);
			uv_close((uv_handle_t *)&watch->poll, on_watch_closed);
		}
		return 0;
	}
	if (watch == NULL)
		watch = watch_new(client, socket);
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&watch->poll, events, on_socket_ready);
	return 0;
}

static void on_deadline(uv_timer_t *timer);

/* Lets the timer expire at the first deadline, or earlier if it does so. */
static void
start_deadline_timer(http_client_t *client)
{
	const http_call_t *first = TAILQ_FIRST(&client->deadlines);
	int64_t loop_ms = (int64_t)uv_now(client->loop);

	if (first == NULL ||
	    (uv_is_active((uv_handle_t *)&client->deadline_timer) &&
		client->deadline_timer_ms <= first->deadline_ms))
		return;
	client->deadline_timer_ms = MAX(first->deadline_ms, loop_ms);
	uv_timer_start(&client->deadline_timer, on_deadline,
	    (uint64_t)(client->deadline_timer_ms - loop_ms), 0);
}

static void
end_overdue_call(http_call_t *call)
{
	char *url = NULL;

	call->client->overdue_calls++;
	curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
	log_event(LOG_LEVEL_WARN, "http.call_overdue",
	    "url=\"%s\" timeout_ms=%" G_GINT64_FORMAT, url == NULL ? "" : url,
	    call->options.timeout_ms);
	finish_call(call, CURLE_OPERATION_TIMEDOUT);
}

static void
on_deadline(uv_timer_t *timer)
{
	http_client_t *client = timer->data;
	http_call_t *call;

	while (!client->closing &&
	       (call = TAILQ_FIRST(&client->deadlines)) != NULL &&
	       call->deadline_ms <= (int64_t)uv_now(client->loop))
		end_overdue_call(call);
	start_deadline_timer(client);
}

static void
set_deadline(http_call_t *call)
{
	http_client_t *client = call->client;
	http_call_t *before;

	if (call->options.timeout_ms <= 0)
		return;
	call->deadline_ms = now_ms() + call->options.timeout_ms + OVERDUE_MS;
	before = TAILQ_LAST(&client->deadlines, http_call_list);
	while (before != NULL && before->deadline_ms > call->deadline_ms)
		before = TAILQ_PREV(before, http_call_list, deadline_entries);
	if (before != NULL) {
		TAILQ_INSERT_AFTER(
		    &client->deadlines, before, call, deadline_entries);
		return;
	}
	TAILQ_INSERT_HEAD(&client->deadlines, call, deadline_entries);
	start_deadline_timer(client);
}

static void
start_pending_calls(uv_idle_t *idle)
{
	http_client_t *client = idle->data;
	http_call_t *call;

	uv_idle_stop(idle);
	while ((call = TAILQ_FIRST(&client->pending)) != NULL) {
		TAILQ_REMOVE(&client->pending, call, entries);
		TAILQ_INSERT_TAIL(&client->running, call, entries);
		call->in_multi = true;
		set_deadline(call);
		curl_multi_add_handle(client->multi, call->easy);
	}
	finish_completed_calls(client);
}

http_client_t *
http_client_new(uv_loop_t *loop)
{
	http_client_t *client = g_new0(http_client_t, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->multi = curl_multi_init();
	TAILQ_INIT(&client->pending);
	TAILQ_INIT(&client->running);
	TAILQ_INIT(&client->deadlines);
	uv_timer_init(loop, &client->timer);
	uv_timer_init(loop, &client->deadline_timer);
	uv_unref((uv_handle_t *)&client->deadline_timer);
	uv_idle_init(loop, &client->start_idle);
	client->timer.data = client;
	client->deadline_timer.data = client;
	client->start_idle.data = client;
	client->open_handles = 3;
	curl_multi_setopt(
	    client->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTION_CACHE_MAX);
	return client;
}

void
http_client_free(http_client_t *client)
{
	http_call_t *call;

	if (client == NULL)
		return;
	client->closing = true;
	while ((call = TAILQ_FIRST(&client->pending)) != NULL)
		call_free(call);
	while ((call = TAILQ_FIRST(&client->running)) != NULL)
		call_free(call);
	curl_multi_cleanup(client->multi);
	uv_close((uv_handle_t *)&client->timer, on_client_handle_closed);
	uv_close(
	    (uv_handle_t *)&client->deadline_timer, on_client_handle_closed);
	uv_close((uv_handle_t *)&client->start_idle, on_client_handle_closed);
}

uint64_t
http_client_overdue_calls(const http_client_t *client)
{
	return client->overdue_calls;
}

/* True for the line that ends a head, which may lack its CR. */
static bool
is_head_end(const char *line, size_t length)
{
	return length > 0 && (line[0] == '\n' || line[0] == '\r');
}

/* Notes where a head begins and ends; false if its status line is invalid. */
static bool
read_head_line(http_call_t *call, const char *line, size_t length)
{
	bool is_first = !call->in_head;

	call->in_head = !is_head_end(line, length);
	if (!call->in_head)
		call->head_complete =
		    http_call_status(call) >= STATUS_FINAL_MIN;
	return !is_first || status_line_is_valid(line, length);
}

/* Counts the bytes of a response's headers, interim heads and trailers. */
static size_t
on_header(char *bytes, size_t size, size_t count, void *data)
{
	http_call_t *call = data;
	size_t length = size * count;

	/* What follows the head are trailers. */
	if (!call->head_complete && !read_head_line(call, bytes, length)) {
		g_strlcpy(
		    call->error, "malformed status line", sizeof(call->error));
		return 0;
	}
	call->headers_bytes += length;
	return call->headers_bytes <= HEADERS_MAX_BYTES ? length : 0;
}

/* False where the body, or those of all calls together, are too long. */
static bool
append_body(http_call_t *call, const char *bytes, size_t length)
{
	size_t body_max = call->options.body_max_bytes > 0
			      ? call->options.body_max_bytes
			      : BODY_MAX_BYTES;

	if (call->body->len + length > body_max ||
	    call->client->bodies_bytes + length > BODIES_MAX_BYTES)
		return false;
	g_string_append_len(call->body, bytes, (gssize)length);
	call->client->bodies_bytes += length;
	return true;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
	http_call_t *call = data;
	size_t length = size * count;
	bool keep_reading;

	if (call->cancelled)
		return 0;
	if (call->options.on_data == NULL)
		keep_reading = append_body(call, bytes, length);
	else
		keep_reading = call->options.on_data(
		    call, bytes, length, call->options.data);
	return keep_reading && !call->cancelled ? length : 0;
}

static void
set_request(http_call_t *call, const http_call_options_t *options)
{
	CURL *easy = call->easy;

	if (options->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
	if (options->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)options->body_length);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, options->body);
	}
	if (options->method != NULL && strcmp(options->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	for (size_t i = 0;
	     options->headers != NULL && options->headers[i] != NULL; i++)
		call->headers =
		    curl_slist_append(call->headers, options->headers[i]);
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

http_call_t *
http_call_start(http_client_t *client, const http_call_options_t *options)
{
	http_call_t *call = g_new0(http_call_t, 1);
	CURL *easy = curl_easy_init();
	long connect_timeout_ms = options->connect_timeout_ms > 0
				      ? (long)options->connect_timeout_ms
				      : DEFAULT_CONNECT_TIMEOUT_MS;

	call->client = client;
	call->easy = easy;
	call->options = *options;
	call->body = g_string_new(NULL);
	curl_easy_setopt(easy, CURLOPT_URL, options->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
	if (options->fresh_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	set_request(call, options);
	TAILQ_INSERT_TAIL(&client->pending, call, entries);
	uv_idle_start(&client->start_idle, start_pending_calls);
	return call;
}

static bool
call_in_callback(const http_call_t *call)
{
	/*
	 * Removing the handle fails with this code only inside a libcurl
	 * callback; otherwise the handle is removed here, which is harmless
	 * before call_free().
	 */
	return call->in_multi && curl_multi_remove_handle(call->client->multi,
				     call->easy) == CURLM_RECURSIVE_API_CALL;
}

void
http_call_cancel(http_call_t *call)
{
	call->cancelled = true;
	if (call_in_callback(call))
		return;
	call_free(call);
}

const char *
http_call_header(const http_call_t *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}

long
http_call_status(const http_call_t *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return status;
}
