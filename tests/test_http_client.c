#include "http_client.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * Calls on a clock that the test advances: clock_gettime() of this program
 * takes precedence over the C library's, for libuv and libcurl too. Each
 * reading takes READ_NS, and no time passes in the network.
 */

enum {
	READ_NS = 10,
	NS_PER_MS = 1000000,
	NS_PER_S = 1000000000,
	/* A call ends this long after its own timeout at the latest. */
	OVERDUE_MAX_MS = 150,
	STEPS_MAX = 20000,
	CALLS = 300,
	PIECE_BYTES = 64 * 1024,
	BODY_MAX_BYTES = 1024 * 1024,
	/* Limits of a response, and what is on the way when they are reached.
	 */
	ENDLESS_MAX_BYTES = BODY_MAX_BYTES + 16 * 1024 * 1024,
	/* More than the kernel's buffers hold. */
	UPLOAD_BYTES = 16 * 1024 * 1024,
};

static const char early_answer[] = "HTTP/1.1 200 OK\r\n\r\n{\"text\": \"01";

static int64_t clock_ns = 1000LL * NS_PER_S;
/* Each timer expires late by this. */
static int64_t lateness_ns;

int
clock_gettime(clockid_t clock, struct timespec *time)
{
	(void)clock;
	clock_ns += READ_NS;
	time->tv_sec = clock_ns / NS_PER_S;
	time->tv_nsec = clock_ns % NS_PER_S;
	return 0;
}

typedef enum server_kind {
	SERVER_SILENT,	/* accepts connections and never answers */
	SERVER_FULL,	/* its queue of connections is full */
	SERVER_ANSWERS, /* answers each request */
	/* Resets its connection in a response that has no length. */
	SERVER_RESETS,
	/* Closes its connection after fixture.cut_bytes of fixture.start. */
	SERVER_CUTS,
	SERVER_ENDLESS, /* sends fixture.endless until the call ends */
} server_kind_t;

typedef struct fixture {
	uv_loop_t loop;
	http_client_t *client;
	server_kind_t server;
	char url[64];
	int listener;
	int filler;   /* fills the queue; -1: none */
	int accepted; /* the last connection; -1: none */
	size_t cut_bytes;
	/* The response of SERVER_ENDLESS and SERVER_CUTS. */
	const char *start;
	const char *repeat;
	bool is_started;
	size_t sent_bytes;
} fixture_t;

typedef struct call_end {
	bool ended;
	int64_t started_ns;
	int64_t ended_ns;
	http_outcome_t outcome;
	unsigned *order; /* ends so far; NULL: not counted */
	unsigned position;
} call_end_t;

static fixture_t fixture;

static void
open_server(server_kind_t server)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);

	fixture.server = server;
	fixture.filler = -1;
	fixture.accepted = -1;
	fixture.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	(void)bind(
	    fixture.listener, (struct sockaddr *)&address, sizeof(address));
	(void)listen(fixture.listener, server == SERVER_FULL ? 0 : SOMAXCONN);
	(void)getsockname(
	    fixture.listener, (struct sockaddr *)&address, &length);
	g_snprintf(fixture.url, sizeof(fixture.url), "http://127.0.0.1:%d/",
	    ntohs(address.sin_port));
	if (server != SERVER_FULL)
		return;
	fixture.filler = socket(AF_INET, SOCK_STREAM, 0);
	(void)connect(
	    fixture.filler, (struct sockaddr *)&address, sizeof(address));
}

static void
setup(server_kind_t server)
{
	open_server(server);
	uv_loop_init(&fixture.loop);
	fixture.client = http_client_new(&fixture.loop);
}

static void
teardown(void)
{
	http_client_free(fixture.client);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture.loop), 0);
	close(fixture.listener);
	if (fixture.filler >= 0)
		close(fixture.filler);
	if (fixture.accepted >= 0)
		close(fixture.accepted);
}

static void
on_complete(http_call_t *call, const http_result_t *result, void *data)
{
	call_end_t *end = data;

	ck_assert(!end->ended);
	end->ended = true;
	end->ended_ns = clock_ns;
	end->outcome = result->outcome;
	if (end->order != NULL)
		end->position = (*end->order)++;
}

static http_call_t *
start_call(call_end_t *end, int64_t timeout_ms, int64_t connect_timeout_ms)
{
	end->started_ns = clock_ns;
	return http_call_start(
	    fixture.client, &(http_call_options_t){.url = fixture.url,
				.timeout_ms = timeout_ms,
				.connect_timeout_ms = connect_timeout_ms,
				.body_max_bytes = BODY_MAX_BYTES,
				.on_complete = on_complete,
				.data = end});
}

static void
reset_accepted(void)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(
	    fixture.accepted, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fixture.accepted);
	fixture.accepted = -1;
}

static void
answer_requests(void)
{
	const char *answer =
	    fixture.server == SERVER_ANSWERS
		? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		: "HTTP/1.1 200 OK\r\n\r\npart";
	char request[4096];
	int fd = accept(fixture.listener, NULL, NULL);

	if (fd >= 0) {
		if (fixture.accepted >= 0)
			close(fixture.accepted);
		fixture.accepted = fd;
	}
	if (fixture.accepted < 0 ||
	    recv(fixture.accepted, request, sizeof(request), MSG_DONTWAIT) <= 0)
		return;
	(void)send(fixture.accepted, answer, strlen(answer), MSG_NOSIGNAL);
	if (fixture.server == SERVER_RESETS)
		reset_accepted();
}

static void
cut_answer(void)
{
	char request[4096];
	int fd = accept(fixture.listener, NULL, NULL);

	if (fd < 0)
		return;
	(void)recv(fd, request, sizeof(request), 0);
	(void)send(fd, fixture.start, fixture.cut_bytes, MSG_NOSIGNAL);
	close(fd);
}

/* Sends for as long as the kernel takes it. */
static void
send_endless(void)
{
	static GString *piece;
	ssize_t count;

	if (fixture.accepted < 0)
		fixture.accepted = accept(fixture.listener, NULL, NULL);
	if (fixture.accepted < 0)
		return;
	if (!fixture.is_started)
		(void)send(fixture.accepted, fixture.start,
		    strlen(fixture.start), MSG_NOSIGNAL);
	fixture.is_started = true;
	if (piece == NULL)
		piece = g_string_new(NULL);
	g_string_truncate(piece, 0);
	while (piece->len < PIECE_BYTES)
		g_string_append(piece, fixture.repeat);
	while ((count = send(fixture.accepted, piece->str, piece->len,
		    MSG_NOSIGNAL | MSG_DONTWAIT)) == (ssize_t)piece->len)
		fixture.sent_bytes += (size_t)count;
}

/* Plays the server; false if it does nothing. */
static bool
play_server(void)
{
	switch (fixture.server) {
	case SERVER_SILENT:
	case SERVER_FULL:
		return false;
	case SERVER_ANSWERS:
	case SERVER_RESETS:
		answer_requests();
		return true;
	case SERVER_CUTS:
		cut_answer();
		return true;
	case SERVER_ENDLESS:
		send_endless();
		return true;
	}
	return false;
}

/* Runs the loop once and moves the clock to its next timer. */
static void
step(void)
{
	bool server_acts;
	int wait_ms;

	uv_run(&fixture.loop, UV_RUN_NOWAIT);
	server_acts = play_server();
	wait_ms = uv_backend_timeout(&fixture.loop);
	if (wait_ms != 0 && server_acts)
		wait_ms = 1;
	if (wait_ms != 0)
		clock_ns += (int64_t)(wait_ms < 0 ? 1 : wait_ms) * NS_PER_MS +
			    lateness_ns;
}

static void
run_until_ended(const call_end_t *end)
{
	for (int i = 0; i < STEPS_MAX && !end->ended; i++)
		step();
}

static int64_t
duration_ms(const call_end_t *end)
{
	return (end->ended_ns - end->started_ns) / NS_PER_MS;
}

static const struct timeouts {
	int64_t timeout_ms;
	int64_t connect_timeout_ms;
} timeouts[] = {{701, 700}, {701, 699}, {201, 2000}, {202, 2000}};

/*
 * Guards against a call that never ends: the server is silent, and libcurl
 * drops the timer of the whole call if less than 1 ms is left as it handles
 * another one, here that of the connect phase or of the wait for a second
 * address (200 ms).
 */
START_TEST(call_to_a_silent_server_ends)
{
	enum { TRIALS = 200 };
	const struct timeouts *pair = &timeouts[_i];

	setup(SERVER_SILENT);
	for (int trial = 0; trial < TRIALS; trial++) {
		call_end_t end = {0};

		lateness_ns = trial * NS_PER_MS / TRIALS;
		start_call(&end, pair->timeout_ms, pair->connect_timeout_ms);
		run_until_ended(&end);
		ck_assert_msg(end.ended, "late by %d us: no end",
		    (int)(lateness_ns / 1000));
		ck_assert_int_eq(end.outcome, HTTP_OUTCOME_TIMEOUT);
		ck_assert_int_ge(duration_ms(&end), pair->timeout_ms - 1);
		ck_assert_int_le(
		    duration_ms(&end), pair->timeout_ms + OVERDUE_MAX_MS);
	}
	teardown();
}
END_TEST

/* Guards against a request reported as sent that no connection carried. */
START_TEST(call_that_cannot_connect_is_not_sent)
{
	call_end_t end = {0};

	setup(SERVER_FULL);
	start_call(&end, 701, 700);
	run_until_ended(&end);
	ck_assert(end.ended);
	ck_assert_int_eq(end.outcome, HTTP_OUTCOME_NOT_SENT);
	ck_assert_int_le(duration_ms(&end), 701 + OVERDUE_MAX_MS);
	teardown();
}
END_TEST

/* Guards against calls that wait for the deadline of another one. */
START_TEST(each_call_ends_at_its_own_deadline)
{
	static call_end_t ends[CALLS];
	unsigned ended = 0;

	setup(SERVER_SILENT);
	for (int i = 0; i < CALLS; i++) {
		/* Timeouts in no order, each with the one 1 ms below it. */
		int64_t timeout_ms = 300 + i * 7919 % 1000;

		ends[i] = (call_end_t){.order = &ended};
		start_call(&ends[i], timeout_ms, timeout_ms - 1);
	}
	for (int i = 0; i < STEPS_MAX && ended < CALLS; i++)
		step();
	for (int i = 0; i < CALLS; i++) {
		int64_t timeout_ms = 300 + i * 7919 % 1000;

		ck_assert_msg(ends[i].ended, "call %d: no end", i);
		ck_assert_int_ge(duration_ms(&ends[i]), timeout_ms - 1);
		ck_assert_int_le(
		    duration_ms(&ends[i]), timeout_ms + OVERDUE_MAX_MS);
	}
	teardown();
}
END_TEST

/* Guards against a deadline that ends a call twice, or a later one. */
START_TEST(answered_call_is_not_ended_by_its_deadline)
{
	enum { ANSWERED = 20 };

	setup(SERVER_ANSWERS);
	for (int i = 0; i < ANSWERED; i++) {
		call_end_t end = {0};

		start_call(&end, 50, 49);
		run_until_ended(&end);
		ck_assert_int_eq(end.outcome, HTTP_OUTCOME_COMPLETE);
		/* Past the deadline of an ended call. */
		for (int n = 0; n < 200; n++)
			step();
	}
	teardown();
}
END_TEST

static const struct endless {
	const char *what;
	const char *start;
	const char *repeat;
} endless[] = {
    {"head", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"},
    {"header", "HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"body", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	"X-Filler: abcdefgh\r\n"},
    {"no response", "", "abcdefgh"},
};

/* Guards against a response that is kept, or read, until the call's timeout. */
START_TEST(endless_response_ends_its_call)
{
	call_end_t end = {0};

	setup(SERVER_ENDLESS);
	fixture.start = endless[_i].start;
	fixture.repeat = endless[_i].repeat;
	fixture.is_started = false;
	fixture.sent_bytes = 0;
	start_call(&end, 20000, 500);
	for (int i = 0; i < STEPS_MAX && !end.ended &&
			fixture.sent_bytes <= ENDLESS_MAX_BYTES;
	     i++)
		step();
	ck_assert_msg(end.ended, "%s: no end after %zu bytes", endless[_i].what,
	    fixture.sent_bytes);
	ck_assert_int_eq(end.outcome, HTTP_OUTCOME_FAILED);
	teardown();
}
END_TEST

/* Guards against a reset response that is taken for complete. */
START_TEST(call_whose_response_is_reset_fails)
{
	call_end_t end = {0};

	setup(SERVER_RESETS);
	start_call(&end, 500, 499);
	run_until_ended(&end);
	ck_assert(end.ended);
	ck_assert_int_eq(end.outcome, HTTP_OUTCOME_FAILED);
	teardown();
}
END_TEST

/*
 * Guards against half of an early answer without a length that is taken for
 * complete: the server resets while the upload is written. With an even _i the
 * call has read the answer before.
 */
START_TEST(call_whose_upload_is_reset_fails)
{
	call_end_t end = {0};
	char *body = g_strnfill(UPLOAD_BYTES, 'x');

	setup(SERVER_SILENT);
	http_call_start(
	    fixture.client, &(http_call_options_t){.url = fixture.url,
				.method = "POST",
				.body = body,
				.body_length = UPLOAD_BYTES,
				.on_complete = on_complete,
				.data = &end});
	while (fixture.accepted < 0) {
		step();
		fixture.accepted = accept(fixture.listener, NULL, NULL);
	}
	step();
	(void)send(
	    fixture.accepted, early_answer, strlen(early_answer), MSG_NOSIGNAL);
	if (_i % 2 == 0)
		step();
	reset_accepted();
	run_until_ended(&end);
	ck_assert(end.ended);
	ck_assert_int_eq(end.outcome, HTTP_OUTCOME_FAILED);
	g_free(body);
	teardown();
}
END_TEST

/* Responses; the bytes that may be taken for a whole one, from whole_from on.
 */
static const struct cut {
	const char *response;
	const char *whole_from; /* a suffix; NULL: none */
} cuts[] = {
    {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", NULL},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
	"\n"},
    {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nok", "ok"},
    {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", NULL},
    {"HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	NULL},
    {"HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", NULL},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", NULL},
};

/* Guards against a response that ends in its head and is taken for complete. */
START_TEST(call_whose_response_is_cut_fails)
{
	const struct cut *cut = &cuts[_i];
	size_t length = strlen(cut->response), whole_from = length;

	if (cut->whole_from != NULL)
		whole_from -= strlen(cut->whole_from);
	setup(SERVER_CUTS);
	fixture.start = cut->response;
	for (size_t bytes = 0; bytes <= length; bytes++) {
		call_end_t end = {0};

		fixture.cut_bytes = bytes;
		start_call(&end, 500, 499);
		run_until_ended(&end);
		ck_assert(end.ended);
		ck_assert_msg((end.outcome == HTTP_OUTCOME_COMPLETE) ==
				  (bytes >= whole_from),
		    "%zu bytes of \"%s\": %d", bytes, cut->response,
		    end.outcome);
	}
	teardown();
}
END_TEST

/* Responses with a status that is none, by itself or after an interim one. */
static const char *const bad_statuses[] = {
    "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 0200 Odd\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 103 Early Hints\r\n\r\n"
    "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok",
};

/* Guards against bytes that are no response and are taken for one. */
START_TEST(call_whose_response_has_no_status_fails)
{
	call_end_t end = {0};

	setup(SERVER_CUTS);
	fixture.start = bad_statuses[_i];
	fixture.cut_bytes = strlen(bad_statuses[_i]);
	start_call(&end, 500, 499);
	run_until_ended(&end);
	ck_assert(end.ended);
	ck_assert_int_eq(end.outcome, HTTP_OUTCOME_FAILED);
	teardown();
}
END_TEST

/* Guards against the use of a cancelled call when its deadline passes. */
START_TEST(cancelled_call_has_no_deadline)
{
	call_end_t cancelled = {0}, other = {0};
	http_call_t *call;

	setup(SERVER_SILENT);
	call = start_call(&cancelled, 100, 99);
	start_call(&other, 200, 199);
	step();
	step();
	http_call_cancel(call);
	run_until_ended(&other);
	ck_assert(other.ended);
	ck_assert(!cancelled.ended);
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http_client");
	TCase *cases = tcase_create("http_client");

	tcase_set_timeout(cases, 60);
	tcase_add_loop_test(
	    cases, call_to_a_silent_server_ends, 0, G_N_ELEMENTS(timeouts));
	tcase_add_test(cases, call_that_cannot_connect_is_not_sent);
	tcase_add_test(cases, each_call_ends_at_its_own_deadline);
	tcase_add_test(cases, answered_call_is_not_ended_by_its_deadline);
	tcase_add_loop_test(
	    cases, endless_response_ends_its_call, 0, G_N_ELEMENTS(endless));
	tcase_add_test(cases, call_whose_response_is_reset_fails);
	tcase_add_loop_test(cases, call_whose_upload_is_reset_fails, 0, 2);
	tcase_add_loop_test(
	    cases, call_whose_response_is_cut_fails, 0, G_N_ELEMENTS(cuts));
	tcase_add_loop_test(cases, call_whose_response_has_no_status_fails, 0,
	    G_N_ELEMENTS(bad_statuses));
	tcase_add_test(cases, cancelled_call_has_no_deadline);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
