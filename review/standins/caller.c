#include "net.h"

#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/*
 * Callers of the users' platform. Each sends its requests one after the other,
 * each on a new connection, to the entry hosts in turn, and prints a line for
 * each: its id, the entry host, the status, how the answer ended for an
 * HTTP/1.1 client (complete, cut, reset, timeout), the bytes of its body and
 * whether the body is the server's whole one.
 */

enum {
	ADDRESSES_MAX = 16,
	BODY_MAX = 1024 * 1024,
	TEXT_MAX = 2048,
	ID_MAX = 64,
};

typedef struct options {
	const char *addresses[ADDRESSES_MAX];
	long address_count;
	const char *path;
	const char *prefix; /* of the request ids */
	const char *end;    /* of a whole body; "ID": "end ID\n" */
	long callers;	    /* at the same time */
	long requests;	    /* of each caller */
	long pause_ms;	    /* between two requests of a caller */
	long deadline_ms;
} options_t;

typedef enum framing {
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_CLOSE, /* the body ends with the connection */
} framing_t;

typedef struct answer {
	net_message_t message;
	int status; /* 0: no answer */
	net_end_t end;
	char body[BODY_MAX + 1];
	size_t length;
} answer_t;

static options_t options = {.path = "/",
    .prefix = "r",
    .end = "ID",
    .callers = 1,
    .requests = 1,
    .deadline_ms = 3000};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static framing_t
framing_of(const answer_t *answer)
{
	char value[32];

	if (net_header(
		&answer->message, "Transfer-Encoding", value, sizeof(value)))
		return FRAMING_CHUNKED;
	return net_content_length(&answer->message) >= 0 ? FRAMING_LENGTH
							 : FRAMING_CLOSE;
}

/* Reads more of the body as it comes on the wire. */
static net_end_t
read_more(int fd, answer_t *answer)
{
	size_t length;
	net_end_t end = net_read(fd, answer->body + answer->length,
	    BODY_MAX - answer->length, &length);

	answer->length += length;
	answer->body[answer->length] = '\0';
	return end;
}

static net_end_t
read_length(int fd, answer_t *answer)
{
	size_t wanted = (size_t)net_content_length(&answer->message);

	while (answer->length < wanted) {
		net_end_t end = read_more(fd, answer);

		if (end != NET_OK)
			return end == NET_CLOSED ? NET_RESET : end;
	}
	return NET_OK;
}

/* Leaves the chunks' frames in the body: only its end is looked at. */
static net_end_t
read_chunked(int fd, answer_t *answer)
{
	static const char last_chunk[] = "0\r\n\r\n";
	size_t last_length = strlen(last_chunk);

	for (;;) {
		net_end_t end;

		if (answer->length >= last_length &&
		    strcmp(answer->body + answer->length - last_length,
			last_chunk) == 0)
			return NET_OK;
		end = read_more(fd, answer);
		if (end != NET_OK)
			return end == NET_CLOSED ? NET_RESET : end;
	}
}

static net_end_t
read_until_closed(int fd, answer_t *answer)
{
	net_end_t end;

	do
		end = read_more(fd, answer);
	while (end == NET_OK);
	return end == NET_CLOSED ? NET_OK : end;
}

static void
read_answer(int fd, answer_t *answer)
{
	net_message_t *message = &answer->message;

	answer->status = 0;
	answer->length = 0;
	answer->end = net_read_head(fd, message);
	if (answer->end != NET_OK)
		return;
	answer->status = net_status(message);
	answer->length = message->length - message->head_length;
	memcpy(
	    answer->body, message->head + message->head_length, answer->length);
	answer->body[answer->length] = '\0';
	switch (framing_of(answer)) {
	case FRAMING_LENGTH:
		answer->end = read_length(fd, answer);
		return;
	case FRAMING_CHUNKED:
		answer->end = read_chunked(fd, answer);
		return;
	case FRAMING_CLOSE:
		answer->end = read_until_closed(fd, answer);
		return;
	}
}

static bool
is_whole(const answer_t *answer, const char *id)
{
	char end[TEXT_MAX];

	if (strcmp(options.end, "ID") == 0)
		snprintf(end, sizeof(end), "end %s\n", id);
	else
		snprintf(end, sizeof(end), "%s", options.end);
	return strstr(answer->body, end) != NULL;
}

static void
print_answer(const answer_t *answer, const char *id, const char *address)
{
	static const char *const ends[] = {[NET_OK] = "complete",
	    [NET_CLOSED] = "closed",
	    [NET_RESET] = "cut",
	    [NET_TIMEOUT] = "timeout"};

	pthread_mutex_lock(&lock);
	printf("answer %s %s %d %s %zu %s\n", id, address, answer->status,
	    ends[answer->end], answer->length,
	    is_whole(answer, id) ? "whole" : "part");
	fflush(stdout);
	pthread_mutex_unlock(&lock);
}

static void
print_sent(const char *id, const char *address)
{
	pthread_mutex_lock(&lock);
	printf("sent %s %s\n", id, address);
	fflush(stdout);
	pthread_mutex_unlock(&lock);
}

static void
send_request(answer_t *answer, const char *id, const char *address)
{
	char text[TEXT_MAX];
	/* A server may take a little longer than the deadline. */
	int fd = net_connect(address, (int)options.deadline_ms + 2000);

	answer->status = 0;
	answer->length = 0;
	answer->end = NET_RESET;
	snprintf(text, sizeof(text),
	    "POST %s HTTP/1.1\r\nHost: t.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: %ld\r\nAuthorization: Bearer key-1\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    options.path, id, options.deadline_ms);
	print_sent(id, address);
	if (fd >= 0 && net_send(fd, text, strlen(text)))
		read_answer(fd, answer);
	if (fd >= 0)
		close(fd);
	print_answer(answer, id, address);
}

static void
sleep_ms(long ms)
{
	struct timespec pause = {
	    .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L};

	nanosleep(&pause, NULL);
}

static void *
run_caller(void *data)
{
	long caller = (long)data;
	answer_t *answer = calloc(1, sizeof(*answer));

	/* Spreads the callers over the pause, so that they are not in step. */
	sleep_ms(options.pause_ms * caller / options.callers);
	for (long i = 0; i < options.requests; i++) {
		char id[ID_MAX];

		snprintf(
		    id, sizeof(id), "%s-%ld-%ld", options.prefix, caller, i);
		send_request(answer, id,
		    options.addresses[(caller + i) % options.address_count]);
		sleep_ms(options.pause_ms);
	}
	free(answer);
	return NULL;
}

static void
parse_options(int argc, char **argv)
{
	static const struct option names[] = {
	    {"address", required_argument, NULL, 'a'},
	    {"path", required_argument, NULL, 'p'},
	    {"prefix", required_argument, NULL, 'x'},
	    {"end", required_argument, NULL, 'e'},
	    {"callers", required_argument, NULL, 'c'},
	    {"requests", required_argument, NULL, 'n'},
	    {"pause-ms", required_argument, NULL, 's'},
	    {"deadline-ms", required_argument, NULL, 'd'}, {0}};
	int option;

	while ((option = getopt_long(argc, argv, "", names, NULL)) != -1) {
		const char *value = optarg == NULL ? "" : optarg;
		long number = strtol(value, NULL, 10);

		switch (option) {
		case 'a':
			if (options.address_count < ADDRESSES_MAX)
				options.addresses[options.address_count++] =
				    value;
			break;
		case 'p':
			options.path = value;
			break;
		case 'x':
			options.prefix = value;
			break;
		case 'e':
			options.end = value;
			break;
		case 'c':
			options.callers = number;
			break;
		case 'n':
			options.requests = number;
			break;
		case 's':
			options.pause_ms = number;
			break;
		case 'd':
			options.deadline_ms = number;
			break;
		default:
			exit(2);
		}
	}
}

int
main(int argc, char **argv)
{
	pthread_t *threads;

	signal(SIGPIPE, SIG_IGN);
	parse_options(argc, argv);
	if (options.address_count == 0 || options.callers < 1) {
		fprintf(stderr, "caller: give --address and --callers\n");
		return 2;
	}
	threads = calloc((size_t)options.callers, sizeof(*threads));
	for (long i = 0; i < options.callers; i++)
		if (pthread_create(&threads[i], NULL, run_caller, (void *)i) !=
		    0)
			return 2;
	for (long i = 0; i < options.callers; i++)
		pthread_join(threads[i], NULL);
	free(threads);
	return 0;
}
