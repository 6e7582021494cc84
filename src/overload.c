#include "overload.h"

enum {
	/* Span over which requests are counted. */
	SPAN_MS = 1000,
	SLOTS = 10,
	SLOT_MS = SPAN_MS / SLOTS,
	/* Time from one change of the admitted share to the next. */
	STEP_MS = 200,
	/* Reports that were applied longer ago are not used. */
	REMOTE_MAX_AGE_MS = 2000,
	/* Urgent requests on time that are assumed besides the counted ones:
	 * one that is late by chance shows nothing. */
	EVIDENCE_PRIOR = 10,
	RETRY_AFTER_MIN_MS = 500,
	RETRY_AFTER_SPREAD_MS = 1000,
};

/* Share of an objective after which an urgent request counts as late. */
static const double late_share = 0.75;
/* Share of the objective that a prompt of any size may wait. */
static const double wait_share = 0.3;
/* Share of late urgent requests beyond which others are refused. */
static const double late_max = 0.1;
/* Change of the admitted share in a step: up, and the largest factor down. */
static const double step_up = 0.05;
static const double step_down = 0.5;
/* Requests that can wait are never refused altogether. */
static const double admitted_min = 0.1;

/* Requests of one workspace that can wait. */
typedef struct demand_of {
	double weight;
	int64_t newest_slot;
	unsigned slots[SLOTS];
	unsigned total;	 /* of the slots */
	double admitted; /* probability */
} demand_of_t;

typedef struct service_state {
	int64_t newest_slot;
	unsigned on_time[SLOTS];
	unsigned late[SLOTS];
	overload_counts_t remote;
	int64_t remote_ms;
	double admitted_share;
	int64_t stepped_ms;
	GHashTable *workspaces; /* name to demand_of_t */
} service_state_t;

struct overload {
	GHashTable *services; /* name to service_state_t */
};

static void
service_state_free(gpointer data)
{
	service_state_t *state = data;

	g_hash_table_unref(state->workspaces);
	g_free(state);
}

overload_t *
overload_new(void)
{
	overload_t *overload = g_new0(overload_t, 1);

	overload->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_state_free);
	return overload;
}

void
overload_free(overload_t *overload)
{
	if (overload == NULL)
		return;
	g_hash_table_unref(overload->services);
	g_free(overload);
}

/* Clears the slots that begin, up to now. */
static void
advance_service(service_state_t *state, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS;

	state->newest_slot = MAX(state->newest_slot, slot - SLOTS);
	while (state->newest_slot < slot) {
		size_t next = (size_t)(++state->newest_slot % SLOTS);

		state->on_time[next] = 0;
		state->late[next] = 0;
	}
}

static void
advance_demand(demand_of_t *demand, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS;

	demand->newest_slot = MAX(demand->newest_slot, slot - SLOTS);
	while (demand->newest_slot < slot) {
		size_t next = (size_t)(++demand->newest_slot % SLOTS);

		demand->total -= demand->slots[next];
		demand->slots[next] = 0;
	}
}

static service_state_t *
find_or_add_service(overload_t *overload, const char *service, int64_t now_ms)
{
	service_state_t *state =
	    g_hash_table_lookup(overload->services, service);

	if (state == NULL) {
		state = g_new0(service_state_t, 1);
		state->admitted_share = 1;
		state->stepped_ms = now_ms;
		state->workspaces = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(
		    overload->services, g_strdup(service), state);
	}
	advance_service(state, now_ms);
	return state;
}

static overload_counts_t
own_counts(const service_state_t *state)
{
	overload_counts_t counts = {0};

	for (size_t i = 0; i < SLOTS; i++) {
		counts.on_time += state->on_time[i];
		counts.late += state->late[i];
	}
	return counts;
}

/*
 * Changes the admitted share by what urgent requests met: down by up to a half,
 * up by a small step, so that it settles near what the servers can take.
 */
static void
step_admitted_share(service_state_t *state, int64_t now_ms)
{
	overload_counts_t counts = own_counts(state);
	double total, late;

	if (now_ms - state->remote_ms <= REMOTE_MAX_AGE_MS) {
		counts.on_time += state->remote.on_time;
		counts.late += state->remote.late;
	}
	total = counts.on_time + counts.late;
	late = counts.late / (total + EVIDENCE_PRIOR);
	if (late > late_max)
		state->admitted_share *= 1 - step_down * late;
	else
		state->admitted_share += step_up;
	state->admitted_share = CLAMP(state->admitted_share, admitted_min, 1);
}

/*
 * Requests in the span for each unit of weight that a workspace may send, so
 * that all of them together send their admitted share.
 */
static double
fair_level(const service_state_t *state)
{
	GHashTableIter iter;
	gpointer value;
	double total = 0, level = 0;
	bool changed = true;

	g_hash_table_iter_init(&iter, state->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		total += ((demand_of_t *)value)->total;
	/* Workspaces below the level leave the rest of their share to others.
	 */
	while (changed) {
		double rest = total * state->admitted_share;
		double weights = 0;
		double next;

		g_hash_table_iter_init(&iter, state->workspaces);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const demand_of_t *demand = value;

			if (demand->total <= level * demand->weight)
				rest -= demand->total;
			else
				weights += demand->weight;
		}
		next = weights > 0 ? rest / weights : level;
		changed = next > level;
		level = MAX(next, level);
	}
	return level;
}

static gboolean
is_idle(gpointer name, gpointer value, gpointer now_ms)
{
	demand_of_t *demand = value;

	advance_demand(demand, *(int64_t *)now_ms);
	return demand->total == 0;
}

static void
divide_admitted_share(service_state_t *state, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	double level;

	g_hash_table_foreach_remove(state->workspaces, is_idle, &now_ms);
	level = fair_level(state);
	g_hash_table_iter_init(&iter, state->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		demand_of_t *demand = value;

		demand->admitted =
		    MIN(1, level * demand->weight / demand->total);
	}
}

static void
update(service_state_t *state, int64_t now_ms)
{
	if (now_ms - state->stepped_ms < STEP_MS)
		return;
	/* After a pause nothing is known of the present load. */
	if (now_ms - state->stepped_ms > SPAN_MS)
		state->admitted_share = 1;
	state->stepped_ms = now_ms;
	step_admitted_share(state, now_ms);
	divide_admitted_share(state, now_ms);
}

void
overload_count_urgent(
    overload_t *overload, const char *service, bool late, int64_t now_ms)
{
	service_state_t *state = find_or_add_service(overload, service, now_ms);
	size_t slot = (size_t)(state->newest_slot % SLOTS);

	if (late)
		state->late[slot]++;
	else
		state->on_time[slot]++;
	update(state, now_ms);
}

int64_t
overload_wait_max_ms(int64_t objective_ms, double unloaded_ms)
{
	double objective = (double)objective_ms;

	return (int64_t)MAX(
	    late_share * objective, unloaded_ms + wait_share * objective);
}

void
overload_set_remote(overload_t *overload, const char *service,
    overload_counts_t counts, int64_t now_ms)
{
	service_state_t *state = find_or_add_service(overload, service, now_ms);

	state->remote = counts;
	state->remote_ms = now_ms;
}

bool
overload_admit(overload_t *overload, const char *service, const char *workspace,
    double weight, double random, int64_t now_ms)
{
	service_state_t *state = find_or_add_service(overload, service, now_ms);
	demand_of_t *demand = g_hash_table_lookup(state->workspaces, workspace);

	if (demand == NULL) {
		demand = g_new0(demand_of_t, 1);
		demand->admitted = state->admitted_share;
		g_hash_table_insert(
		    state->workspaces, g_strdup(workspace), demand);
	}
	demand->weight = weight;
	advance_demand(demand, now_ms);
	demand->slots[demand->newest_slot % SLOTS]++;
	demand->total++;
	update(state, now_ms);
	return random < demand->admitted;
}

int64_t
overload_retry_after_ms(double random)
{
	return RETRY_AFTER_MIN_MS + (int64_t)(random * RETRY_AFTER_SPREAD_MS);
}

double
overload_admitted_share(const overload_t *overload, const char *service)
{
	const service_state_t *state =
	    g_hash_table_lookup(overload->services, service);

	return state == NULL ? 1 : state->admitted_share;
}

bool
overload_is_present(overload_t *overload, const char *service, int64_t now_ms)
{
	service_state_t *state = find_or_add_service(overload, service, now_ms);

	update(state, now_ms);
	return state->admitted_share < 1;
}

void
overload_each(overload_t *overload, int64_t now_ms,
    void (*callback)(const char *service, overload_counts_t counts, void *data),
    void *data)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, overload->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		advance_service(value, now_ms);
		callback(name, own_counts(value), data);
	}
}
