#include "rollout.h"

#include <string.h>

enum {
	/* The outcome is written this long before the deadline. */
	DEADLINE_MARGIN_MS = 1500,
	/* Time for the ramp and the full stage, before the margin. */
	RAMP_AND_FULL_MS = 5000,
	RAMP_MIN_MS = 800,
	/* Long enough for the digests of peers that see a fault to arrive. */
	FULL_MIN_MS = 1000,
	/* Fewer attempts at the new version are no basis for an outcome. */
	MIN_ATTEMPTS = 10,
	/* The full stage is entered again after so many regressions in it. */
	REGRESSIONS_MAX = 1,
};

/* The canary stage lasts at least this fraction of the rollout. */
static const double canary_min_fraction = 0.4;

/*
 * Fraction of the requests allowed by the limits that the canary stage uses.
 * The remainder is for the later stages, until a fault that occurs only under
 * load is detected, and for nodes that have restarted and lost their counts.
 */
static const double canary_budget_fraction = 0.25;
static const double canary_traffic_share_max = 0.3;
/* Fraction of them up to which requests are sent to compare the versions. */
static const double trial_budget_fraction = 0.8;
static const double ramp_traffic_share = 0.2;

static const char *const stage_names[ROLLOUT_STAGES] = {
    [ROLLOUT_CANARY] = "canary",
    [ROLLOUT_RAMP] = "ramp",
    [ROLLOUT_FULL] = "full",
    [ROLLOUT_COMPLETED] = "completed",
    [ROLLOUT_REVERTED] = "reverted",
};

struct rollout {
	char *target;
	int64_t era;
	int64_t revision;
	int64_t duration_ms;
	rollout_limits_t limits;
	rollout_stage_t stage;
	int64_t started_ms;
	int64_t stage_entered_ms;
	double requests; /* first attempts sent by this node, to any version */
	double requests_to_new;
	evidence_t *own_evidence;
	evidence_t *all_evidence;  /* own and peers' */
	GHashTable *peer_evidence; /* node to json_t: the last one merged */
	/* all_evidence when each stage was last entered; NULL: not yet. */
	evidence_t *entry_evidence[ROLLOUT_STAGES];
	unsigned regressions; /* times that the full stage was left for them */
	bool stopped;	      /* to be reverted */
	char *reason;	      /* NULL: none */
};

static void
free_json(void *json)
{
	json_decref(json);
}

rollout_t *
rollout_new(const rollout_spec_t *spec, const rollout_limits_t *limits,
    int64_t started_ms)
{
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->target = g_strdup(spec->target);
	rollout->era = spec->era;
	rollout->revision = spec->revision;
	rollout->duration_ms = spec->duration_ms;
	rollout->limits = *limits;
	rollout->started_ms = started_ms;
	rollout->stage_entered_ms = started_ms;
	rollout->own_evidence = evidence_new();
	rollout->all_evidence = evidence_new();
	rollout->peer_evidence =
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
	evidence_free(rollout->own_evidence);
	evidence_free(rollout->all_evidence);
	for (int stage = 0; stage < ROLLOUT_STAGES; stage++)
		evidence_free(rollout->entry_evidence[stage]);
	g_hash_table_unref(rollout->peer_evidence);
	g_free(rollout);
}

const char *
rollout_target(const rollout_t *rollout)
{
	return rollout->target;
}

int64_t
rollout_era(const rollout_t *rollout)
{
	return rollout->era;
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

bool
rollout_has_content(const rollout_t *rollout, const rollout_spec_t *spec)
{
	return strcmp(rollout->target, spec->target) == 0 &&
	       rollout->duration_ms == spec->duration_ms;
}

void
rollout_renew(rollout_t *rollout, const rollout_spec_t *spec)
{
	rollout->era = spec->era;
	rollout->revision = spec->revision;
}

static bool
is_final(const rollout_t *rollout)
{
	return rollout->stage == ROLLOUT_COMPLETED ||
	       rollout->stage == ROLLOUT_REVERTED;
}

void
rollout_set_stage(rollout_t *rollout, rollout_stage_t stage, int64_t started_ms,
    int64_t now_ms)
{
	if (is_final(rollout))
		return;
	rollout->started_ms = started_ms;
	if (stage == rollout->stage)
		return;
	if (rollout->stage == ROLLOUT_FULL && stage == ROLLOUT_RAMP)
		rollout->regressions++;
	evidence_free(rollout->entry_evidence[stage]);
	rollout->entry_evidence[stage] = evidence_copy(rollout->all_evidence);
	rollout->stage = stage;
	rollout->stage_entered_ms = now_ms;
}

/*
 * True where this node may send another request to the new version within a
 * fraction of those that the limits allow.
 */
static bool
has_budget(const rollout_t *rollout, double fraction, unsigned node_count)
{
	double allowed = rollout->limits.share * rollout->requests +
			 rollout->limits.extra_requests / MAX(node_count, 1);

	return fraction * allowed - rollout->requests_to_new >= 1;
}

/* Gives each new server as many requests as an old one, up to a maximum. */
static double
canary_traffic_share(const rollout_t *rollout, const rollout_inputs_t *inputs)
{
	if (!has_budget(rollout, canary_budget_fraction, inputs->node_count))
		return 0;
	return MIN((double)inputs->new_servers_usable /
		       MAX(inputs->old_servers_usable, 1),
	    canary_traffic_share_max);
}

/*
 * True where the new version seems worse since the stage was entered than the
 * old one since the last ramp, when it had the same load. Sets *reason, newly
 * allocated, unless reason is NULL.
 */
static bool
regression_suspected(const rollout_t *rollout, char **reason)
{
	return evidence_regression_suspected(rollout->all_evidence,
	    rollout->entry_evidence[ROLLOUT_RAMP],
	    rollout->entry_evidence[rollout->stage], reason);
}

/* Share for a comparison of the versions, once there have been canaries. */
static double
trial_traffic_share(const rollout_t *rollout, const rollout_inputs_t *inputs)
{
	return has_budget(rollout, trial_budget_fraction, inputs->node_count)
		   ? ramp_traffic_share
		   : 0;
}

double
rollout_traffic_share(const rollout_t *rollout, const rollout_inputs_t *inputs)
{
	if (rollout->stage == ROLLOUT_COMPLETED ||
	    inputs->old_servers_listed == 0)
		return 1;
	if (rollout->stopped || inputs->new_servers_usable == 0)
		return 0;
	switch (rollout->stage) {
	case ROLLOUT_CANARY:
		return canary_traffic_share(rollout, inputs);
	case ROLLOUT_RAMP:
		return trial_traffic_share(rollout, inputs);
	case ROLLOUT_FULL:
		/* A suspicion can only be tested with attempts at both. */
		return regression_suspected(rollout, NULL)
			   ? trial_traffic_share(rollout, inputs)
			   : 1;
	case ROLLOUT_COMPLETED:
	case ROLLOUT_REVERTED:
	case ROLLOUT_STAGES:
		break;
	}
	return 0;
}

void
rollout_count_request(rollout_t *rollout, bool to_new_version)
{
	rollout->requests++;
	if (to_new_version)
		rollout->requests_to_new++;
}

void
rollout_count_extra(rollout_t *rollout)
{
	rollout->requests_to_new++;
}

void
rollout_add_attempt(rollout_t *rollout, const evidence_attempt_t *attempt)
{
	evidence_add(rollout->own_evidence, attempt);
	evidence_add(rollout->all_evidence, attempt);
}

json_t *
rollout_evidence_json(const rollout_t *rollout)
{
	return evidence_to_json(rollout->own_evidence);
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
rollout_merge_evidence(
    rollout_t *rollout, const char *node, json_t *evidence, bool stopped)
{
	const json_t *previous =
	    g_hash_table_lookup(rollout->peer_evidence, node);

	if (!evidence_merge_json(rollout->all_evidence, evidence, previous))
		return false;
	g_hash_table_replace(
	    rollout->peer_evidence, g_strdup(node), json_incref(evidence));
	if (stopped) {
		char *reason = g_strdup_printf("found bad by %s", node);

		stop(rollout, reason);
		g_free(reason);
	}
	return true;
}

bool
rollout_evaluate(rollout_t *rollout)
{
	char *reason = NULL;

	if (!rollout->stopped && !is_final(rollout) &&
	    evidence_evaluate(rollout->all_evidence, NULL, &reason) ==
		EVIDENCE_BAD)
		stop(rollout, reason);
	g_free(reason);
	return rollout->stopped;
}

/* Time at which the canary stage ends if the new version is not suspect. */
static int64_t
canary_end_ms(const rollout_t *rollout)
{
	int64_t min_ms =
	    (int64_t)(canary_min_fraction * (double)rollout->duration_ms);

	return rollout->started_ms +
	       MAX(min_ms, rollout->duration_ms - DEADLINE_MARGIN_MS -
			       RAMP_AND_FULL_MS);
}

static int64_t
outcome_due_ms(const rollout_t *rollout)
{
	return rollout->started_ms + rollout->duration_ms - DEADLINE_MARGIN_MS;
}

static bool
has_enough_attempts(const rollout_t *rollout)
{
	return evidence_attempts(rollout->all_evidence, EVIDENCE_NEW_VERSION) >=
	       MIN_ATTEMPTS;
}

/* Like regression_suspected(), for both kinds of suspicion. */
static bool
is_suspect(const rollout_t *rollout, char **reason)
{
	return evidence_evaluate(rollout->all_evidence, NULL, reason) !=
		   EVIDENCE_CLEAR ||
	       regression_suspected(rollout, reason);
}

static void
stop_with_details(rollout_t *rollout, const char *summary, const char *details)
{
	char *reason = g_strdup_printf("%s: %s", summary, details);

	stop(rollout, reason);
	g_free(reason);
}

/* The outcome once it is due: reverted unless the evidence is sufficient and
 * raises no suspicion. */
static rollout_stage_t
outcome_at_deadline(rollout_t *rollout)
{
	char *suspicion = NULL;

	if (!has_enough_attempts(rollout)) {
		stop(rollout, "too few requests to judge");
		return ROLLOUT_REVERTED;
	}
	if (!is_suspect(rollout, &suspicion))
		return ROLLOUT_COMPLETED;
	stop_with_details(rollout, "in doubt until the end", suspicion);
	g_free(suspicion);
	return ROLLOUT_REVERTED;
}

/* A fault that appears each time under full load cannot be seen in the ramp. */
static rollout_stage_t
after_regression(rollout_t *rollout, const char *suspicion)
{
	if (rollout->regressions < REGRESSIONS_MAX)
		return ROLLOUT_RAMP;
	stop_with_details(
	    rollout, "worse under full load, repeatedly", suspicion);
	return ROLLOUT_REVERTED;
}

static rollout_stage_t
after_full(rollout_t *rollout, const rollout_inputs_t *inputs)
{
	int64_t in_stage_ms = inputs->now_ms - rollout->stage_entered_ms;
	char *suspicion = NULL;
	rollout_stage_t next;

	if (!regression_suspected(rollout, &suspicion))
		return in_stage_ms >= FULL_MIN_MS &&
			       inputs->old_requests_in_flight == 0
			   ? ROLLOUT_COMPLETED
			   : ROLLOUT_FULL;
	next = after_regression(rollout, suspicion);
	g_free(suspicion);
	return next;
}

rollout_stage_t
rollout_next_stage(rollout_t *rollout, const rollout_inputs_t *inputs)
{
	int64_t in_stage_ms = inputs->now_ms - rollout->stage_entered_ms;

	if (is_final(rollout))
		return rollout->stage;
	if (rollout_evaluate(rollout))
		return ROLLOUT_REVERTED;
	if (inputs->old_servers_listed == 0 && inputs->new_servers_usable > 0)
		return ROLLOUT_COMPLETED;
	if (inputs->now_ms >= outcome_due_ms(rollout))
		return outcome_at_deadline(rollout);
	switch (rollout->stage) {
	case ROLLOUT_CANARY:
		return inputs->now_ms >= canary_end_ms(rollout) &&
			       has_enough_attempts(rollout) &&
			       evidence_evaluate(rollout->all_evidence, NULL,
				   NULL) == EVIDENCE_CLEAR
			   ? ROLLOUT_RAMP
			   : ROLLOUT_CANARY;
	case ROLLOUT_RAMP:
		return in_stage_ms >= RAMP_MIN_MS && !is_suspect(rollout, NULL)
			   ? ROLLOUT_FULL
			   : ROLLOUT_RAMP;
	case ROLLOUT_FULL:
		return after_full(rollout, inputs);
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
