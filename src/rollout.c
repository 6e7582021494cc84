#include "rollout.h"

#include <string.h>

enum {
	/* The outcome is written so long before the deadline. */
	DEADLINE_MARGIN_MS = 1500,
	/* Time for the ramp and the full stage, before the margin. */
	SHIFT_MS = 5000,
	RAMP_MS = 800,
	/* So long the full stage lasts at least: digests of a fault arrive. */
	FULL_MIN_MS = 1000,
	/* With fewer attempts nothing is known of the new version. */
	LEAST_ATTEMPTS = 10,
};

/* The canary stage lasts for at least this part of the move. */
static const double canary_part = 0.4;

/*
 * Part of the allowed requests that the canary stage uses. The rest covers the
 * later stages until a fault under load is found, and nodes that were started
 * again and have forgotten their counts.
 */
static const double canary_allowance = 0.25;
static const double canary_share_max = 0.3;
static const double ramp_share = 0.2;

static const char *const stage_names[ROLLOUT_STAGES] = {
    [ROLLOUT_CANARY] = "canary",
    [ROLLOUT_RAMP] = "ramp",
    [ROLLOUT_FULL] = "full",
    [ROLLOUT_COMPLETED] = "completed",
    [ROLLOUT_REVERTED] = "reverted",
};

struct rollout {
	char *target;
	int64_t revision;
	int64_t duration_ms;
	rollout_limits_t limits;
	rollout_stage_t stage;
	int64_t started_ms;
	int64_t entered_ms; /* the stage */
	double sent;	    /* first attempts of this node, to any version */
	double sent_new;
	evidence_t *own;
	evidence_t *all;   /* own and peers' */
	GHashTable *peers; /* node to json_t: its evidence taken last */
	bool stopped;
	char *reason; /* NULL: none */
};

static void
free_json(void *json)
{
	json_decref(json);
}

rollout_t *
rollout_new(const rollout_order_t *order, const rollout_limits_t *limits,
    int64_t started_ms)
{
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->target = g_strdup(order->target);
	rollout->revision = order->revision;
	rollout->duration_ms = order->duration_ms;
	rollout->limits = *limits;
	rollout->started_ms = started_ms;
	rollout->entered_ms = started_ms;
	rollout->own = evidence_new();
	rollout->all = evidence_new();
	rollout->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_json);
	return rollout;
}

void
rollout_free(rollout_t *rollout)
{
	if (rollout == NULL)
		return;
	g_free(rollout->target);
	g_free(rollout->reason);
	evidence_free(rollout->own);
	evidence_free(rollout->all);
	g_hash_table_unref(rollout->peers);
	g_free(rollout);
}

const char *
rollout_target(const rollout_t *rollout)
{
	return rollout->target;
}

int64_t
rollout_revision(const rollout_t *rollout)
{
	return rollout->revision;
}

int64_t
rollout_started_ms(const rollout_t *rollout)
{
	return rollout->started_ms;
}

rollout_stage_t
rollout_stage(const rollout_t *rollout)
{
	return rollout->stage;
}

const char *
rollout_reason(const rollout_t *rollout)
{
	return rollout->reason == NULL ? "" : rollout->reason;
}

static bool
is_final(const rollout_t *rollout)
{
	return rollout->stage == ROLLOUT_COMPLETED ||
	       rollout->stage == ROLLOUT_REVERTED;
}

void
rollout_enter(rollout_t *rollout, rollout_stage_t stage, int64_t started_ms,
    int64_t now_ms)
{
	if (is_final(rollout))
		return;
	rollout->started_ms = started_ms;
	if (stage == rollout->stage)
		return;
	rollout->stage = stage;
	rollout->entered_ms = now_ms;
}

/* Requests that this node may still send to the new version. */
static double
canary_left(const rollout_t *rollout, unsigned nodes)
{
	double allowed = rollout->limits.share * rollout->sent +
			 rollout->limits.extra / MAX(nodes, 1);

	return canary_allowance * allowed - rollout->sent_new;
}

/* As many requests for each new server as an old one has. */
static double
canary_share(const rollout_t *rollout, const rollout_view_t *view)
{
	if (canary_left(rollout, view->nodes) < 1)
		return 0;
	return MIN((double)view->new_servers / MAX(view->old_servers, 1),
	    canary_share_max);
}

double
rollout_share(const rollout_t *rollout, const rollout_view_t *view)
{
	if (rollout->stage == ROLLOUT_COMPLETED || view->old_listed == 0)
		return 1;
	if (rollout->stopped || view->new_servers == 0)
		return 0;
	switch (rollout->stage) {
	case ROLLOUT_CANARY:
		return canary_share(rollout, view);
	case ROLLOUT_RAMP:
		return ramp_share;
	case ROLLOUT_FULL:
		/* A doubt is settled by a comparison of both versions. */
		return evidence_doubt(rollout->all) ? ramp_share : 1;
	case ROLLOUT_COMPLETED:
	case ROLLOUT_REVERTED:
	case ROLLOUT_STAGES:
		break;
	}
	return 0;
}

void
rollout_sent(rollout_t *rollout, bool to_new)
{
	rollout->sent++;
	if (to_new)
		rollout->sent_new++;
}

void
rollout_observe(rollout_t *rollout, const evidence_attempt_t *attempt)
{
	evidence_add(rollout->own, attempt);
	evidence_add(rollout->all, attempt);
}

json_t *
rollout_evidence(const rollout_t *rollout)
{
	return evidence_json(rollout->own);
}

static void
stop(rollout_t *rollout, const char *reason)
{
	if (rollout->stopped || is_final(rollout))
		return;
	rollout->stopped = true;
	rollout->reason = g_strdup(reason);
}

bool
rollout_merge(
    rollout_t *rollout, const char *node, json_t *evidence, bool stopped)
{
	const json_t *last = g_hash_table_lookup(rollout->peers, node);

	if (!evidence_absorb(rollout->all, evidence, last))
		return false;
	g_hash_table_replace(
	    rollout->peers, g_strdup(node), json_incref(evidence));
	if (stopped) {
		char *reason = g_strdup_printf("found bad by %s", node);

		stop(rollout, reason);
		g_free(reason);
	}
	return true;
}

bool
rollout_judge(rollout_t *rollout)
{
	char *why = NULL;

	if (!rollout->stopped && !is_final(rollout) &&
	    evidence_judge(rollout->all, NULL, &why) == EVIDENCE_BAD)
		stop(rollout, why);
	g_free(why);
	return rollout->stopped;
}

/* Time by which the canary stage ends where all is well. */
static int64_t
canary_end_ms(const rollout_t *rollout)
{
	int64_t least = (int64_t)(canary_part * (double)rollout->duration_ms);

	return rollout->started_ms +
	       MAX(least, rollout->duration_ms - DEADLINE_MARGIN_MS - SHIFT_MS);
}

static int64_t
last_write_ms(const rollout_t *rollout)
{
	return rollout->started_ms + rollout->duration_ms - DEADLINE_MARGIN_MS;
}

static bool
has_enough(const rollout_t *rollout)
{
	return evidence_count(rollout->all, EVIDENCE_NEW) >= LEAST_ATTEMPTS;
}

static bool
is_clear(const rollout_t *rollout)
{
	return evidence_judge(rollout->all, NULL, NULL) == EVIDENCE_CLEAR;
}

/* The outcome at the last moment: without clear evidence nothing completes. */
static rollout_stage_t
end_stage(rollout_t *rollout)
{
	if (has_enough(rollout) && is_clear(rollout) &&
	    !evidence_doubt(rollout->all))
		return ROLLOUT_COMPLETED;
	stop(rollout, has_enough(rollout) ? "in doubt until the end"
					  : "too few requests to judge");
	return ROLLOUT_REVERTED;
}

rollout_stage_t
rollout_next(rollout_t *rollout, const rollout_view_t *view)
{
	int64_t in_stage_ms = view->now_ms - rollout->entered_ms;

	if (is_final(rollout))
		return rollout->stage;
	if (rollout_judge(rollout))
		return ROLLOUT_REVERTED;
	if (view->old_listed == 0 && view->new_servers > 0)
		return ROLLOUT_COMPLETED;
	if (view->now_ms >= last_write_ms(rollout))
		return end_stage(rollout);
	switch (rollout->stage) {
	case ROLLOUT_CANARY:
		return view->now_ms >= canary_end_ms(rollout) &&
			       has_enough(rollout) && is_clear(rollout)
			   ? ROLLOUT_RAMP
			   : ROLLOUT_CANARY;
	case ROLLOUT_RAMP:
		return in_stage_ms >= RAMP_MS && is_clear(rollout)
			   ? ROLLOUT_FULL
			   : ROLLOUT_RAMP;
	case ROLLOUT_FULL:
		if (evidence_doubt(rollout->all))
			return ROLLOUT_RAMP;
		return in_stage_ms >= FULL_MIN_MS && view->old_in_flight == 0
			   ? ROLLOUT_COMPLETED
			   : ROLLOUT_FULL;
	case ROLLOUT_COMPLETED:
	case ROLLOUT_REVERTED:
	case ROLLOUT_STAGES:
		break;
	}
	return rollout->stage;
}

const char *
rollout_stage_name(rollout_stage_t stage)
{
	return stage_names[stage];
}

rollout_stage_t
rollout_stage_parse(const char *name)
{
	rollout_stage_t stage = ROLLOUT_CANARY;

	while (stage < ROLLOUT_STAGES && strcmp(stage_names[stage], name) != 0)
		stage++;
	return stage;
}
