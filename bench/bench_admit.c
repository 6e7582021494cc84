/*
 * Drives admission on one seeded load while an availability zone is gone:
 * clients give an attempt up after a timeout and retry at once. The backend
 * servers share their speed among all requests that run. Prints one JSON
 * object a policy: work started per request asked, goodput before, during and
 * after the fault, and the time until goodput is back.
 */
#include "admit.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

enum {
	SLOTS = 36, /* run at full speed at once, in three zones */
	SERVICE_MS = 50,
	TIMEOUT_MS = 400,
	PATIENCE_MS = 10000,
	FAULT_FROM_MS = 20000,
	FAULT_UNTIL_MS = 40000,
	RUN_MS = 70000,
	ROUND_TRIP_MS = 5, /* from a quick refusal to the retry */
	BUCKET_MS = 500,
	WINDOW_BUCKETS = 4,
	BUCKETS = RUN_MS / BUCKET_MS,
	WORKSPACES = 5,
};

/* Share of the requests that one zone takes with it. */
static const double ZONE_SHARE = 1.0 / 3;

typedef struct setup {
	const char *name;
	limit_policy_t limit;
	unsigned in_flight_max;
	unsigned waiting_max;
	bool coalesce;
	bool paced;
	double retry_budget;
} setup_t;

typedef struct request request_t;

/* One run of a request at the backend servers, or waiting for it. */
typedef struct work {
	admit_request_t admission; /* first */
	TAILQ_ENTRY(work) entries;
	request_t *request;
	double left_ms;
	int64_t started_ms;
} work_t;

struct request {
	TAILQ_ENTRY(request) entries;
	int workspace;
	int64_t asked_ms;
	int64_t attempt_ms;
	int64_t retry_at_ms; /* a refusal arrives; 0: attempt in progress */
	unsigned works;	     /* in progress or waiting */
	bool answered;
	bool gone;
};

typedef struct bench {
	const setup_t *setup;
	admit_t *admit;
	GRand *rand;
	TAILQ_HEAD(, work) running;
	TAILQ_HEAD(, request) requests;
	unsigned running_count;
	uint64_t asked;
	uint64_t started; /* work that reached the backend servers */
	uint64_t started_in_fault;
	uint64_t asked_in_fault;
	uint64_t attempts;
	uint64_t good;
	uint64_t lost; /* clients out of patience */
	unsigned goodput[BUCKETS];
	unsigned asked_in[BUCKETS];
} bench_t;

static bool
in_fault(int64_t now_ms)
{
	return now_ms >= FAULT_FROM_MS && now_ms < FAULT_UNTIL_MS;
}

static void
run_work(bench_t *bench, work_t *work, int64_t now_ms)
{
	work->left_ms = SERVICE_MS;
	work->started_ms = now_ms;
	TAILQ_INSERT_TAIL(&bench->running, work, entries);
	bench->running_count++;
	bench->started++;
	bench->started_in_fault += in_fault(now_ms);
}

static void
drop_work(work_t *work)
{
	work->request->works--;
	free(work);
}

static void
refuse(bench_t *bench, request_t *request, int64_t now_ms)
{
	int64_t pace_ms = 0;

	if (bench->setup->paced) {
		pace_ms = admit_refusal_delay_ms(bench->admit, now_ms);
		if (pace_ms > 0)
			admit_refusal_sent(bench->admit);
	}
	request->retry_at_ms = now_ms + pace_ms + ROUND_TRIP_MS;
}

static void
attempt(bench_t *bench, request_t *request, int64_t now_ms)
{
	admit_request_t *evicted;
	char workspace[8];
	work_t *work;

	request->attempt_ms = now_ms;
	request->retry_at_ms = 0;
	bench->attempts++;
	if (bench->setup->coalesce && request->works > 0)
		return;
	work = calloc(1, sizeof(*work));
	work->request = request;
	request->works++;
	g_snprintf(workspace, sizeof(workspace), "w%d", request->workspace);
	switch (admit_submit(bench->admit, &work->admission, workspace, 1,
	    now_ms + PATIENCE_MS, now_ms, &evicted)) {
	case ADMIT_RUN:
		run_work(bench, work, now_ms);
		break;
	case ADMIT_QUEUE:
		if (evicted != NULL) {
			work_t *other = (work_t *)evicted;

			refuse(bench, other->request, now_ms);
			drop_work(other);
		}
		break;
	case ADMIT_REFUSE:
		drop_work(work);
		refuse(bench, request, now_ms);
		break;
	}
}

static void
arrive(bench_t *bench, int64_t now_ms)
{
	request_t *request = calloc(1, sizeof(*request));

	/* One workspace sends more than half. */
	request->workspace =
	    g_rand_double(bench->rand) < 0.6
		? 0
		: (int)(1 + g_rand_int(bench->rand) % (WORKSPACES - 1));
	request->asked_ms = now_ms;
	TAILQ_INSERT_TAIL(&bench->requests, request, entries);
	bench->asked++;
	bench->asked_in[now_ms / BUCKET_MS]++;
	bench->asked_in_fault += in_fault(now_ms);
	attempt(bench, request, now_ms);
}

static void
end_work(bench_t *bench, work_t *work, bool ok, int64_t now_ms)
{
	request_t *request = work->request;

	TAILQ_REMOVE(&bench->running, work, entries);
	bench->running_count--;
	admit_finish(bench->admit, &work->admission, ok,
	    (double)(now_ms - work->started_ms), now_ms);
	if (ok && !request->answered && !request->gone) {
		request->answered = true;
		bench->good++;
		bench->goodput[now_ms / BUCKET_MS]++;
	}
	request->works--;
	free(work);
}

/* The zone takes its requests with it; those that may be are run again. */
static void
lose_zone(bench_t *bench, int64_t now_ms)
{
	work_t *work, *next;
	char workspace[8];

	for (work = TAILQ_FIRST(&bench->running); work != NULL; work = next) {
		next = TAILQ_NEXT(work, entries);
		if (g_rand_double(bench->rand) >= ZONE_SHARE)
			continue;
		g_snprintf(workspace, sizeof(workspace), "w%d",
		    work->request->workspace);
		if (bench->setup->retry_budget > 0 &&
		    admit_take_retry(bench->admit, workspace, false)) {
			work->left_ms = SERVICE_MS;
			bench->started++;
			bench->started_in_fault++;
		} else {
			refuse(bench, work->request, now_ms);
			end_work(bench, work, false, now_ms);
		}
	}
}

static void
serve(bench_t *bench, int64_t now_ms)
{
	double slots = in_fault(now_ms) ? SLOTS * (1 - ZONE_SHARE) : SLOTS;
	double speed = fmin(1, slots / MAX(bench->running_count, 1));
	admit_request_t *waiting;
	work_t *work, *next;

	for (work = TAILQ_FIRST(&bench->running); work != NULL; work = next) {
		next = TAILQ_NEXT(work, entries);
		work->left_ms -= speed;
		if (work->left_ms <= 0)
			end_work(bench, work, true, now_ms);
	}
	while ((waiting = admit_remove_expired(bench->admit, now_ms)) != NULL)
		drop_work((work_t *)waiting);
	while ((waiting = admit_start_next(bench->admit, now_ms)) != NULL)
		run_work(bench, (work_t *)waiting, now_ms);
}

static void
clients(bench_t *bench, int64_t now_ms)
{
	request_t *request, *next;

	for (request = TAILQ_FIRST(&bench->requests); request != NULL;
	     request = next) {
		next = TAILQ_NEXT(request, entries);
		if (!request->answered && !request->gone) {
			if (now_ms - request->asked_ms >= PATIENCE_MS) {
				request->gone = true;
				bench->lost++;
			} else if (request->retry_at_ms != 0
				       ? now_ms >= request->retry_at_ms
				       : now_ms - request->attempt_ms >=
					     TIMEOUT_MS) {
				attempt(bench, request, now_ms);
			}
		}
		if ((request->answered || request->gone) &&
		    request->works == 0) {
			TAILQ_REMOVE(&bench->requests, request, entries);
			free(request);
		}
	}
}

static double
mean_goodput(const bench_t *bench, int64_t from_ms, int64_t until_ms)
{
	double sum = 0;

	for (int64_t b = from_ms / BUCKET_MS; b < until_ms / BUCKET_MS; b++)
		sum += bench->goodput[b];
	return sum * 1000 / (double)(until_ms - from_ms);
}

/*
 * Milliseconds after the fault until goodput stays at 95% of what is asked, in
 * windows of two seconds; -1 where it never does.
 */
static int64_t
recovery_ms(const bench_t *bench)
{
	int back = FAULT_UNTIL_MS / BUCKET_MS;

	for (int b = back; b + WINDOW_BUCKETS <= BUCKETS; b++) {
		unsigned good = 0, asked = 0;

		for (int i = b; i < b + WINDOW_BUCKETS; i++) {
			good += bench->goodput[i];
			asked += bench->asked_in[i];
		}
		if (good < 0.95 * asked)
			back = b + 1;
	}
	if (back + WINDOW_BUCKETS > BUCKETS)
		return -1;
	return (int64_t)back * BUCKET_MS - FAULT_UNTIL_MS;
}

static void
run(const setup_t *setup, double rate, uint32_t seed)
{
	service_t service = {
	    .in_flight_max = setup->in_flight_max,
	    .waiting_max = setup->waiting_max,
	    .retry_budget = setup->retry_budget,
	    .limit_policy = setup->limit,
	};
	bench_t *bench = g_new0(bench_t, 1);
	double next_ms = 0, level;

	bench->setup = setup;
	bench->admit = admit_new(&service);
	bench->rand = g_rand_new_with_seed(seed);
	TAILQ_INIT(&bench->running);
	TAILQ_INIT(&bench->requests);
	for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++) {
		if (now_ms == FAULT_FROM_MS)
			lose_zone(bench, now_ms);
		serve(bench, now_ms);
		clients(bench, now_ms);
		while (next_ms <= (double)now_ms) {
			arrive(bench, now_ms);
			next_ms +=
			    -log(1 - g_rand_double(bench->rand)) * 1000 / rate;
		}
	}
	level = mean_goodput(bench, FAULT_FROM_MS / 2, FAULT_FROM_MS);
	printf("{\"policy\": \"%s\", \"seed\": %u, \"rate\": %.0f, "
	       "\"asked\": %lu, \"work_per_asked\": %.3f, "
	       "\"work_per_asked_in_fault\": %.3f, "
	       "\"attempts_per_asked\": %.2f, \"goodput_before\": %.0f, "
	       "\"goodput_in_fault\": %.0f, \"goodput_after\": %.0f, "
	       "\"recovery_ms\": %ld, \"out_of_patience\": %lu}\n",
	    setup->name, seed, rate, bench->asked,
	    (double)bench->started / (double)bench->asked,
	    (double)bench->started_in_fault / (double)bench->asked_in_fault,
	    (double)bench->attempts / (double)bench->asked, level,
	    mean_goodput(bench, FAULT_FROM_MS + 2000, FAULT_UNTIL_MS),
	    mean_goodput(bench, RUN_MS - 10000, RUN_MS), recovery_ms(bench),
	    bench->lost);
	admit_free(bench->admit);
	g_rand_free(bench->rand);
	g_free(bench);
}

int
main(int argc, char **argv)
{
	static const setup_t setups[] = {
	    {"adaptive", LIMIT_ADAPTIVE, 72, 128, true, true, 0.1},
	    {"fixed", LIMIT_FIXED, 512, 512, false, false, 0},
	};
	static const double rates[] = {450, 600};
	uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;

	for (size_t r = 0; r < G_N_ELEMENTS(rates); r++)
		for (uint32_t seed = first; seed < first + 3; seed++)
			for (size_t s = 0; s < G_N_ELEMENTS(setups); s++)
				run(&setups[s], rates[r], seed);
	return 0;
}
