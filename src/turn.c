#include "turn.h"

#include "clock.h"
#include "log.h"

#include <arpa/inet.h>

enum {
	NS_PER_US = 1000,
	NS_PER_MS = 1000 * 1000,
	/* Time of a turn for reading from connections. */
	BUDGET_NS = 3 * NS_PER_MS,
	/* A connection's share of it, to which its reads are cut. */
	SHARE_NS = 1 * NS_PER_MS,
	/* Readings that take less have a budget of their own. */
	CHEAP_NS = 100 * NS_PER_US,
	/* Least that a reading counts. */
	COST_MIN_NS = 20 * NS_PER_US,
	/* A timer that starts itself with 0 ms would not let the loop go on. */
	WAIT_MS = 1,
	READ_MIN_BYTES = 4 * 1024,
	LONG_TURN_MS = 50,
	/* Between two log lines on long turns. */
	LOG_INTERVAL_MS = 1000,
	ADDRESS_BYTES = INET_ADDRSTRLEN + sizeof(":65535"),
};

static const char *const part_names[TURN_PARTS] = {
    [TURN_CLIENT] = "client",
    [TURN_SERVER] = "server",
    [TURN_STORE] = "store",
    [TURN_PEER] = "peer",
    [TURN_TICK] = "tick",
};

/* What took longest in a turn. */
typedef struct longest {
	turn_part_t part;
	uint64_t ns;
	char address[ADDRESS_BYTES]; /* of the connection; empty: none */
} longest_t;

static struct turn {
	uv_prepare_t prepare;
	uv_loop_t *loop;   /* NULL: not started */
	uint64_t *put_off; /* counter */
	histogram_t *times;
	uint64_t *longest_us; /* gauge, since the start */
	uint64_t began_ns;
	uint64_t idle_ns; /* of the loop, when the turn began */
	uint64_t spent_ns;
	/* Expected of the readings that turn_take() has let in. */
	uint64_t taken_ns, taken_cheap_ns;
	bool is_contended;  /* some connection waits for another turn */
	bool was_contended; /* the same in the turn before */
	longest_t longest;
	int64_t logged_ms;
} turn;

uint64_t
turn_clock_ns(void)
{
	return uv_hrtime();
}

static void
log_long_turn(uint64_t busy_ns)
{
	int64_t now_ms = clock_boot_ms();

	if (now_ms - turn.logged_ms < LOG_INTERVAL_MS)
		return;
	turn.logged_ms = now_ms;
	log_event(LOG_LEVEL_WARN, "loop.long_turn",
	    "took_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT
	    " part=%s address=\"%s\"",
	    busy_ns / NS_PER_MS, turn.longest.ns / NS_PER_MS,
	    part_names[turn.longest.part], turn.longest.address);
}

/* The loop is about to wait: the turn has ended. */
static void
on_prepare(uv_prepare_t *prepare)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t idle_ns = uv_metrics_idle_time(turn.loop);
	uint64_t busy_ns = now_ns - turn.began_ns - (idle_ns - turn.idle_ns);
	uint64_t busy_us = busy_ns / NS_PER_US;

	histogram_add(turn.times, (int64_t)busy_us);
	*turn.longest_us = MAX(*turn.longest_us, busy_us);
	if (busy_ns >= LONG_TURN_MS * (uint64_t)NS_PER_MS)
		log_long_turn(busy_ns);
	turn.began_ns = now_ns;
	turn.idle_ns = idle_ns;
	turn.spent_ns = 0;
	turn.taken_ns = 0;
	turn.taken_cheap_ns = 0;
	turn.was_contended = turn.is_contended;
	turn.is_contended = false;
	turn.longest = (longest_t){.ns = 0};
}

void
turn_start(uv_loop_t *loop, counters_t *counters)
{
	turn.loop = loop;
	turn.times = histogram_get(counters, "loop_turn_us");
	turn.longest_us = counter_get(counters, "loop_turn_longest_us");
	turn.put_off = counter_get(counters, "readings_put_off_total");
	turn.began_ns = uv_hrtime();
	uv_loop_configure(loop, UV_METRICS_IDLE_TIME);
	uv_prepare_init(loop, &turn.prepare);
	uv_prepare_start(&turn.prepare, on_prepare);
	uv_unref((uv_handle_t *)&turn.prepare);
}

static void
write_address(const uv_tcp_t *tcp, char *text)
{
	struct sockaddr_in peer;
	int length = sizeof(peer);
	char host[INET_ADDRSTRLEN];

	text[0] = '\0';
	if (tcp == NULL ||
	    uv_tcp_getpeername(tcp, (struct sockaddr *)&peer, &length) != 0)
		return;
	uv_ip4_name(&peer, host, sizeof(host));
	g_snprintf(text, ADDRESS_BYTES, "%s:%u", host, ntohs(peer.sin_port));
}

static uint64_t
note(turn_part_t part, const uv_tcp_t *tcp, uint64_t since_ns)
{
	uint64_t ns = uv_hrtime() - since_ns;

	if (ns <= turn.longest.ns)
		return ns;
	turn.longest.part = part;
	turn.longest.ns = ns;
	turn.longest.address[0] = '\0';
	if (ns > SHARE_NS)
		write_address(tcp, turn.longest.address);
	return ns;
}

void
turn_note(turn_part_t part, uint64_t since_ns)
{
	note(part, NULL, since_ns);
}

uint64_t
turn_note_connection(turn_part_t part, const uv_tcp_t *tcp, uint64_t since_ns)
{
	uint64_t ns = note(part, tcp, since_ns);

	turn.spent_ns += ns;
	return ns;
}

bool
turn_is_spent(void)
{
	return turn.loop != NULL && turn.spent_ns > BUDGET_NS;
}

bool
turn_take(uint64_t cost_ns)
{
	uint64_t *taken_ns =
	    cost_ns < CHEAP_NS ? &turn.taken_cheap_ns : &turn.taken_ns;
	uint64_t sum_ns = *taken_ns + MAX(cost_ns, (uint64_t)COST_MIN_NS);

	/* A reading that costs more than the budget is alone in its turn. */
	if (turn.loop != NULL && *taken_ns != 0 && sum_ns > BUDGET_NS) {
		turn.is_contended = true;
		return false;
	}
	*taken_ns = sum_ns;
	return true;
}

uint64_t
turn_wait_ms(void)
{
	return turn.is_contended || turn.was_contended ? WAIT_MS : 0;
}

void
turn_put_off(void)
{
	turn.is_contended = true;
	++*turn.put_off;
}

bool
turn_is_costly(uint64_t cost_ns)
{
	return turn.loop != NULL && cost_ns > SHARE_NS;
}

size_t
turn_read_max(size_t length, uint64_t cost_ns)
{
	double share = (double)SHARE_NS / (double)MAX(cost_ns, 1);

	return MAX((size_t)((double)length * share), (size_t)READ_MIN_BYTES);
}
