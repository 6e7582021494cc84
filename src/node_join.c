#include "node_peer.h"

#include "clock.h"
#include "json.h"
#include "log.h"

#include <string.h>

enum {
	RETRY_MS = 1000,
	/*
	 * Pauses grow with the number of nodes, since the store's rates do not:
	 * all nodes together renew at most 10 leases a second, and a list of
	 * all records costs a node about 450 bytes a second. Membership itself
	 * goes by heartbeats.
	 */
	RENEW_MIN_MS = 3000,
	RENEW_PER_NODE_MS = 100,
	LIST_MIN_MS = 10000,
	LIST_PER_NODE_MS = 500,
	/* Renewals that may fail before the lease expires, plus one. */
	RENEWALS_PER_LEASE = 3,
	/* Until the first list has been read. */
	LIST_FIRST_MS = 1000,
};

static const char node_prefix[] = "node/";

/*
 * The record "node/NAME" in the store. A node that cannot reach the store
 * remains a member by its heartbeats; the record only lets nodes find each
 * other.
 */
struct node_join {
	node_peers_t *peers;
	uv_timer_t *timer;
	uv_timer_t *list_timer;
	char *key;
	char *lease;	  /* NULL: none */
	int64_t lease_ms; /* its time to live */
	int64_t revision; /* of the key as last seen */
	bool written;	  /* under the lease, as far as is known */
	bool registered;  /* at least once */
	bool pending;	  /* a call is in progress */
	bool listing;
	bool deleting; /* the record, as the node leaves */
	bool stopped;  /* leaving, or replaced by a newer process */
};

static void step(node_join_t *join);

static int64_t
pace_ms(const node_join_t *join, int64_t least_ms, int64_t per_node_ms)
{
	return MAX(least_ms, per_node_ms * members_count(join->peers->members));
}

/* Follows the number of nodes, but never the lease's own time to live. */
static int64_t
renew_ms(const node_join_t *join)
{
	return MIN(pace_ms(join, RENEW_MIN_MS, RENEW_PER_NODE_MS),
	    join->lease_ms / RENEWALS_PER_LEASE);
}

/* True where a quarter more nodes are known than when it was granted. */
static bool
lease_too_short(const node_join_t *join)
{
	int64_t wanted_ms =
	    RENEWALS_PER_LEASE * pace_ms(join, RENEW_MIN_MS, RENEW_PER_NODE_MS);

	return 4 * wanted_ms >= 5 * join->lease_ms;
}

static void
on_timer(uv_timer_t *timer)
{
	step(timer->data);
}

static void
step_after(node_join_t *join, int64_t delay_ms)
{
	join->pending = false;
	uv_timer_start(join->timer, on_timer, (uint64_t)delay_ms, 0);
}

static void
lease_gone(node_join_t *join)
{
	g_clear_pointer(&join->lease, g_free);
	join->written = false;
	join->revision = STORE_REVISION_NONE;
}

static char *
record_text(const node_join_t *join)
{
	const member_t *self = members_self(join->peers->members);
	json_t *record = json_pack("{s:s,s:s,s:s,s:s,s:I}", "node", self->node,
	    "zone", self->zone, "http_address", self->http_address,
	    "peer_address", self->peer_address, "incarnation",
	    (json_int_t)self->incarnation);
	char *text = json_text(record);

	json_decref(record);
	return text;
}

/* Record of a node; false where it is not one. Strings belong to record. */
static bool
parse_record(
    const char *text, size_t length, json_t **record, member_info_t *hello)
{
	*record = json_parse(text, length, "node record", NULL);
	*hello = (member_info_t){
	    .node = json_get_string(*record, "node", ""),
	    .zone = json_get_string(*record, "zone", ""),
	    .http_address = json_get_string(*record, "http_address", ""),
	    .peer_address = json_get_string(*record, "peer_address", ""),
	    .incarnation = json_get_int(*record, "incarnation", -1),
	};
	return hello->node[0] != '\0' && hello->zone[0] != '\0' &&
	       hello->incarnation >= 0;
}

/*
 * Another process has written the record. Before the own first registration
 * it is the own predecessor, whose clock may have been ahead; afterwards it
 * is the successor of this process, which must not write any more.
 */
static void
meet_other(node_join_t *join, int64_t other)
{
	node_peers_t *peers = join->peers;

	if (other < members_self(peers->members)->incarnation)
		return;
	if (!join->registered) {
		members_set_incarnation(peers->members, other + 1);
		node_peers_introduce(peers);
		return;
	}
	join->stopped = true;
	log_event(LOG_LEVEL_ERROR, "member.replaced",
	    "node=%s remedy=give each node its own name",
	    peers->node->config->name);
}

static void
on_read(const store_result_t *result, void *data)
{
	node_join_t *join = data;
	member_info_t hello;
	json_t *record;
	char *own;

	if (result->status == STORE_NOT_FOUND)
		join->revision = STORE_REVISION_NONE;
	if (result->status != STORE_OK) {
		step_after(join, RETRY_MS);
		return;
	}
	join->revision = result->revision;
	own = record_text(join);
	/* A write whose response was lost has taken effect. */
	join->written = join->lease != NULL &&
			result->value_length == strlen(own) &&
			memcmp(result->value, own, result->value_length) == 0;
	g_free(own);
	if (!join->written &&
	    parse_record(result->value, result->value_length, &record, &hello))
		meet_other(join, hello.incarnation);
	if (!join->written)
		json_decref(record);
	step_after(join, join->written ? renew_ms(join) : 0);
}

static void
on_written(const store_result_t *result, void *data)
{
	node_join_t *join = data;

	switch (result->status) {
	case STORE_OK:
		join->revision = result->revision;
		join->written = true;
		if (!join->registered)
			log_event(LOG_LEVEL_INFO, "member.registered",
			    "node=%s", join->peers->node->config->name);
		join->registered = true;
		step_after(join, renew_ms(join));
		return;
	case STORE_CONFLICT:
	case STORE_OUTCOME_UNKNOWN:
		store_get(join->peers->node->store, join->key, on_read, join);
		return;
	case STORE_NOT_FOUND:
		/* The lease is not known to the store any more. */
		lease_gone(join);
		break;
	case STORE_UNCHANGED:
	case STORE_TOO_LARGE:
	case STORE_RATE_LIMITED:
	case STORE_NOT_SENT:
		break;
	}
	step_after(join, RETRY_MS);
}

static void
on_renewed(const store_result_t *result, void *data)
{
	node_join_t *join = data;

	if (result->status == STORE_NOT_FOUND) {
		counter_add(join->peers->node->counters, 1,
		    "member_lease_expired_total");
		lease_gone(join);
		step_after(join, 0);
		return;
	}
	step_after(
	    join, result->status == STORE_OK ? renew_ms(join) : RETRY_MS);
}

static void
on_lease(const store_result_t *result, void *data)
{
	node_join_t *join = data;

	if (result->status != STORE_OK) {
		step_after(join, RETRY_MS);
		return;
	}
	join->lease = g_strdup(result->lease_id);
	step_after(join, 0);
}

static void
step(node_join_t *join)
{
	store_t *store = join->peers->node->store;
	char *text;

	if (join->pending || join->stopped)
		return;
	join->pending = true;
	/* The record moves to a longer lease; the shorter one expires. */
	if (join->written && lease_too_short(join)) {
		g_clear_pointer(&join->lease, g_free);
		join->written = false;
	}
	if (join->lease == NULL) {
		join->lease_ms = RENEWALS_PER_LEASE *
				 pace_ms(join, RENEW_MIN_MS, RENEW_PER_NODE_MS);
		store_grant_lease(store, join->lease_ms, on_lease, join);
		return;
	}
	if (join->written) {
		store_renew_lease(store, join->lease, on_renewed, join);
		return;
	}
	text = record_text(join);
	store_compare_and_swap(store, join->key, join->revision, text,
	    strlen(text), join->lease, on_written, join);
	g_free(text);
}

static void
learn_entry(node_join_t *join, const json_t *entry)
{
	const char *text = json_get_string(entry, "value", "");
	node_peers_t *peers = join->peers;
	member_info_t hello;
	json_t *record;

	if (!parse_record(text, strlen(text), &record, &hello))
		counter_add(
		    peers->node->counters, 1, "member_bad_records_total");
	else
		members_upsert(peers->members, &hello, clock_mono_ms());
	json_decref(record);
}

static void
on_listed(const store_result_t *result, void *data)
{
	node_join_t *join = data;
	bool ok = result->status == STORE_OK;
	bool own_found = false;
	json_t *entry;
	size_t i;

	join->listing = false;
	if (ok) {
		json_array_foreach (result->entries, i, entry) {
			own_found |= strcmp(json_get_string(entry, "key", ""),
					 join->key) == 0;
			learn_entry(join, entry);
		}
		node_peers_sync(join->peers);
	}
	/* A record that someone removed is written again. */
	if (ok && join->written && !join->pending && !own_found) {
		join->written = false;
		join->revision = STORE_REVISION_NONE;
	}
	uv_timer_set_repeat(join->list_timer,
	    ok ? (uint64_t)pace_ms(join, LIST_MIN_MS, LIST_PER_NODE_MS)
	       : LIST_FIRST_MS);
	uv_timer_again(join->list_timer);
}

static void
on_list_timer(uv_timer_t *timer)
{
	node_join_t *join = timer->data;

	if (join->listing)
		return;
	join->listing = true;
	store_list_keys(join->peers->node->store, node_prefix, on_listed, join);
}

static uv_timer_t *
timer_new(node_join_t *join)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	uv_timer_init(join->peers->node->loop, timer);
	timer->data = join;
	return timer;
}

void
node_join_start(node_peers_t *peers)
{
	node_join_t *join = g_new0(node_join_t, 1);

	peers->join = join;
	join->peers = peers;
	join->key = g_strconcat(node_prefix, peers->node->config->name, NULL);
	join->timer = timer_new(join);
	join->list_timer = timer_new(join);
	uv_timer_start(join->timer, on_timer, 0, 0);
	uv_timer_start(join->list_timer, on_list_timer, 0, LIST_FIRST_MS);
}

static void
free_timer(uv_handle_t *handle)
{
	g_free(handle);
}

/* Answers that are still due are cancelled with the store, which goes next. */
void
node_join_free(node_peers_t *peers)
{
	node_join_t *join = peers->join;

	uv_close((uv_handle_t *)join->timer, free_timer);
	uv_close((uv_handle_t *)join->list_timer, free_timer);
	g_free(join->key);
	g_free(join->lease);
	g_free(join);
}

static void
on_deleted(const store_result_t *result, void *data)
{
	node_join_t *join = data;

	/* Where this failed, the record ends with its lease. */
	join->deleting = false;
}

void
node_join_leave(node_peers_t *peers)
{
	node_join_t *join = peers->join;

	if (join->written && !join->stopped) {
		join->deleting = true;
		store_delete(peers->node->store, join->key, join->revision,
		    on_deleted, join);
	}
	join->stopped = true;
}

bool
node_join_left(const node_peers_t *peers)
{
	return !peers->join->deleting;
}
