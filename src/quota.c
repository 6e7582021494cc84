#include "quota.h"

#include <string.h>

enum {
	SLOTS_PER_WINDOW = 32,
	/* One more, since the newest one has only begun. */
	SLOTS = SLOTS_PER_WINDOW + 1,
	RECENT_SLOTS = 8,
	MS_PER_S = 1000,
};

/* Spending of one workspace, by slots of time. */
typedef struct account {
	char *workspace;
	double rate_per_s;
	double limit; /* of a window */
	bool limited;
	double spent;	     /* by this node since its start */
	int64_t slot;	     /* newest one, since the origin of time */
	double slots[SLOTS]; /* of all nodes */
	int64_t recent_slot;
	double recent[RECENT_SLOTS]; /* of this node */
} account_t;

struct quota {
	GHashTable *accounts; /* workspace to account_t */
	int64_t window_ms;
	int64_t unheard_ms;
	int64_t reserved_ms; /* time up to which silent parts are counted */
	unsigned nodes;
	unsigned silent;
};

static void
account_free(gpointer data)
{
	account_t *account = data;

	g_free(account->workspace);
	g_free(account);
}

quota_t *
quota_new(int64_t window_ms, int64_t unheard_ms, int64_t now_ms)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->accounts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, account_free);
	quota->window_ms = MAX(window_ms, SLOTS);
	quota->unheard_ms = MAX(unheard_ms, RECENT_SLOTS);
	quota->reserved_ms = now_ms;
	quota->nodes = 1;
	return quota;
}

void
quota_free(quota_t *quota)
{
	if (quota == NULL)
		return;
	g_hash_table_unref(quota->accounts);
	g_free(quota);
}

static int64_t
slot_ms(const quota_t *quota)
{
	return quota->window_ms / SLOTS_PER_WINDOW;
}

static int64_t
recent_slot_ms(const quota_t *quota)
{
	return quota->unheard_ms / RECENT_SLOTS;
}

/* Clears the slots that have become old. */
static void
advance(const quota_t *quota, account_t *account, int64_t now_ms)
{
	int64_t slot = now_ms / slot_ms(quota);
	int64_t recent = now_ms / recent_slot_ms(quota);

	account->slot = MAX(account->slot, slot - SLOTS);
	while (account->slot < slot)
		account->slots[++account->slot % SLOTS] = 0;
	account->recent_slot =
	    MAX(account->recent_slot, recent - RECENT_SLOTS);
	while (account->recent_slot < recent)
		account->recent[++account->recent_slot % RECENT_SLOTS] = 0;
}

static double
sum(const double *values, size_t count)
{
	double total = 0;

	for (size_t i = 0; i < count; i++)
		total += values[i];
	return total;
}

static void
fill_evenly(account_t *account, double spent)
{
	for (size_t i = 0; i < SLOTS; i++)
		account->slots[i] = spent / SLOTS;
}

static account_t *
account_new(
    quota_t *quota, const catalog_workspace_t *workspace, int64_t now_ms)
{
	account_t *account = g_new0(account_t, 1);

	account->workspace = g_strdup(workspace->name);
	account->slot = now_ms / slot_ms(quota);
	account->recent_slot = now_ms / recent_slot_ms(quota);
	g_hash_table_insert(quota->accounts, account->workspace, account);
	return account;
}

static void
configure(quota_t *quota, const catalog_workspace_t *workspace, int64_t now_ms)
{
	account_t *account =
	    g_hash_table_lookup(quota->accounts, workspace->name);
	bool is_new = account == NULL;

	if (is_new)
		account = account_new(quota, workspace, now_ms);
	account->rate_per_s = workspace->rate_per_s;
	account->limit =
	    workspace->rate_per_s * (double)quota->window_ms / MS_PER_S +
	    workspace->burst;
	account->limited = workspace->rate_per_s > 0;
	if (is_new)
		fill_evenly(account, account->limit);
}

void
quota_configure(quota_t *quota, const catalog_t *catalog, int64_t now_ms)
{
	for (guint i = 0; i < catalog->workspaces->len; i++)
		configure(quota, catalog->workspaces->pdata[i], now_ms);
}

/* What one node's part of an allotment is in a time. */
static double
part(const quota_t *quota, const account_t *account, int64_t ms)
{
	return account->limit * (double)ms / (double)quota->window_ms /
	       MAX(quota->nodes, 1);
}

void
quota_set_nodes(
    quota_t *quota, unsigned nodes, unsigned silent, int64_t now_ms)
{
	int64_t passed_ms = now_ms - quota->reserved_ms;
	GHashTableIter iter;
	gpointer value;

	quota->nodes = nodes;
	quota->silent = silent;
	quota->reserved_ms = now_ms;
	g_hash_table_iter_init(&iter, quota->accounts);
	while (silent > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;

		advance(quota, account, now_ms);
		account->slots[account->slot % SLOTS] +=
		    silent * part(quota, account, passed_ms);
	}
}

/* Spending of all nodes, with what has not been heard of yet. */
static double
estimate(const quota_t *quota, const account_t *account)
{
	unsigned others = quota->nodes - 1 - MIN(quota->silent, quota->nodes - 1);

	return sum(account->slots, SLOTS) +
	       others * sum(account->recent, RECENT_SLOTS);
}

bool
quota_take(quota_t *quota, const char *workspace, double units, int64_t now_ms,
    int64_t *wait_ms)
{
	account_t *account = g_hash_table_lookup(quota->accounts, workspace);

	*wait_ms = 0;
	if (account == NULL || !account->limited)
		return true;
	advance(quota, account, now_ms);
	/* May pass the limit, so that large requests pass as small ones do. */
	if (estimate(quota, account) >= account->limit) {
		*wait_ms = slot_ms(quota) +
			   (int64_t)(units * MS_PER_S / account->rate_per_s);
		return false;
	}
	account->slots[account->slot % SLOTS] += units;
	account->recent[account->recent_slot % RECENT_SLOTS] += units;
	account->spent += units;
	return true;
}

/* Takes spending off the newest slots. */
static void
take_off(account_t *account, double units)
{
	for (int64_t i = 0; i < SLOTS && units > 0; i++) {
		double *slot = &account->slots[(account->slot - i) % SLOTS];
		double off = MIN(*slot, units);

		*slot -= off;
		units -= off;
	}
}

void
quota_return(
    quota_t *quota, const char *workspace, double units, int64_t now_ms)
{
	account_t *account = g_hash_table_lookup(quota->accounts, workspace);

	if (account == NULL || !account->limited)
		return;
	advance(quota, account, now_ms);
	take_off(account, units);
	account->spent -= units;
}

void
quota_spent_elsewhere(quota_t *quota, const char *workspace, double units,
    int64_t silent_ms, int64_t now_ms)
{
	account_t *account = g_hash_table_lookup(quota->accounts, workspace);

	if (account == NULL || !account->limited)
		return;
	advance(quota, account, now_ms);
	if (units < 0) {
		take_off(account, -units);
		return;
	}
	units -= MIN(units, part(quota, account, silent_ms));
	account->slots[account->slot % SLOTS] += units;
}

void
quota_adopt(
    quota_t *quota, const char *workspace, double window_spent, int64_t now_ms)
{
	account_t *account = g_hash_table_lookup(quota->accounts, workspace);

	if (account == NULL || !account->limited)
		return;
	advance(quota, account, now_ms);
	if (window_spent < sum(account->slots, SLOTS))
		fill_evenly(account, MAX(window_spent, 0));
}

void
quota_each(quota_t *quota, int64_t now_ms,
    void (*visit)(const quota_state_t *state, void *data), void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;
		quota_state_t state;

		if (!account->limited)
			continue;
		advance(quota, account, now_ms);
		state = (quota_state_t){.workspace = account->workspace,
		    .spent = account->spent,
		    .window_spent = sum(account->slots, SLOTS)};
		visit(&state, data);
	}
}
