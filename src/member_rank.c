#include "member_list.h"

#include <string.h>
#include <xxhash.h>

/* Rendezvous hashing: the names with the highest rank get the key. */
static uint64_t
rendezvous_rank(const char *key, const char *name)
{
	return XXH3_64bits_withSeed(
	    name, strlen(name), XXH3_64bits(key, strlen(key)));
}

static bool
is_usable(const member_t *member)
{
	return member->state == MEMBER_LIVE && !member->draining;
}

/*
 * True if the member is usable and one of the count usable nodes of its zone
 * with the highest rank for a key.
 */
static bool
ranks_among_top(const members_t *members, const member_t *member,
    const char *key, unsigned count)
{
	uint64_t rank = rendezvous_rank(key, member->node);
	const member_t *other;
	unsigned higher_ranked = 0;

	if (!is_usable(member))
		return false;
	LIST_FOREACH (other, &members->list, entries)
		if (other != member && is_usable(other) &&
		    same_zone(other, member) &&
		    rendezvous_rank(key, other->node) > rank)
			higher_ranked++;
	return higher_ranked < count;
}

bool
members_is_delegate(const members_t *members, const member_t *member)
{
	return ranks_among_top(
	    members, member, member->zone, MEMBER_DELEGATES_PER_ZONE);
}

static bool
zone_has_usable(const members_t *members, const char *zone)
{
	const member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		if (is_usable(member) && strcmp(member->zone, zone) == 0)
			return true;
	return false;
}

/*
 * A zone without a usable node has no known delegate, so a delegate connects to
 * each of its nodes: after the local start, and after a partition.
 */
bool
members_should_connect(const members_t *members, const member_t *member)
{
	if (member == members->self)
		return false;
	if (same_zone(member, members->self) || members_is_full_mesh(members))
		return true;
	return members_is_delegate(members, members->self) &&
	       (members_is_delegate(members, member) ||
		   !zone_has_usable(members, member->zone));
}

/*
 * Returns the zone that observes a zone: itself while it has a usable node,
 * else the usable zone of the highest rank. NULL if there is none.
 */
static const char *
observing_zone(const members_t *members, const char *zone)
{
	const char *best_zone = NULL;
	const member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		if (!is_usable(member))
			continue;
		if (strcmp(member->zone, zone) == 0)
			return member->zone;
		if (best_zone == NULL || rendezvous_rank(zone, member->zone) >
					     rendezvous_rank(zone, best_zone))
			best_zone = member->zone;
	}
	return best_zone;
}

bool
members_is_observer(const members_t *members, const char *zone, const char *key)
{
	const char *observer_zone = observing_zone(members, zone);

	if (observer_zone == NULL ||
	    strcmp(observer_zone, members->self->zone) != 0)
		return false;
	return ranks_among_top(
	    members, members->self, key, MEMBER_OBSERVERS_PER_KEY);
}

static int64_t
revision_of(const member_t *member, const char *team)
{
	const int64_t *revision = g_hash_table_lookup(member->revisions, team);

	return revision == NULL ? 0 : *revision;
}

/* Lowest revision of each team among the zone's live nodes. Caller frees. */
static GArray *
lowest_revisions(const members_t *members, const char *zone)
{
	GArray *revisions =
	    g_array_new(FALSE, TRUE, sizeof(message_revision_t));
	GHashTableIter iter;
	gpointer team, value;

	g_hash_table_iter_init(&iter, members->self->revisions);
	while (g_hash_table_iter_next(&iter, &team, &value)) {
		message_revision_t lowest = {.revision = G_MAXINT64};
		const member_t *member;

		LIST_FOREACH (member, &members->list, entries)
			if (member->state == MEMBER_LIVE &&
			    strcmp(member->zone, zone) == 0)
				lowest.revision = MIN(
				    lowest.revision, revision_of(member, team));
		if (lowest.revision == G_MAXINT64)
			continue;
		lowest.team = g_strdup(team);
		g_array_append_val(revisions, lowest);
	}
	return revisions;
}

void
members_build_summary(const members_t *members, const char *zone, int64_t at_ms,
    message_t *message)
{
	GArray *listed = g_array_new(FALSE, TRUE, sizeof(message_member_t));
	const member_t *member;

	*message = (message_t){
	    .type = MESSAGE_ZONE_SUMMARY,
	    .zone_summary = {.zone = g_strdup(zone),
		.sent_at_ms = at_ms,
		.revisions = lowest_revisions(members, zone),
		.members = listed},
	};
	LIST_FOREACH (member, &members->list, entries) {
		message_member_t entry;

		if (member->state == MEMBER_GONE ||
		    strcmp(member->zone, zone) != 0)
			continue;
		entry = (message_member_t){
		    .node = g_strdup(member->node),
		    .http_address = g_strdup(member->http_address),
		    .peer_address = g_strdup(member->peer_address),
		    .incarnation = member->incarnation,
		    .draining = member->draining,
		    .suspect = member->state != MEMBER_LIVE,
		};
		g_array_append_val(listed, entry);
		message->zone_summary.nodes += member->state == MEMBER_LIVE;
		message->zone_summary.in_flight += member->in_flight;
	}
}

typedef struct ranked {
	uint64_t rank;
	member_t *member;
} ranked_t;

static gint
by_rank(gconstpointer a, gconstpointer b)
{
	const ranked_t *left = a, *right = b;

	if (left->rank != right->rank)
		return left->rank > right->rank ? -1 : 1;
	return strcmp(left->member->node, right->member->node);
}

/* Usable nodes by rank. Without any, falls back to suspect ones. */
static GArray *
rank_nodes(const members_t *members, const char *key)
{
	GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_t));
	member_t *member;

	for (int pass = 0; pass < 2 && ranked->len == 0; pass++)
		LIST_FOREACH (member, &members->list, entries) {
			ranked_t item = {
			    rendezvous_rank(key, member->node), member};

			if (is_usable(member) ||
			    (pass == 1 && !member->draining &&
				member->state == MEMBER_SUSPECT))
				g_array_append_val(ranked, item);
		}
	g_array_sort(ranked, by_rank);
	return ranked;
}

/*
 * If all listed members share a zone and another zone has one, replaces the
 * last by that one, or adds it to a list of one.
 */
static void
ensure_second_zone(const GArray *ranked, GPtrArray *out, guint first_index)
{
	const member_t *top_member;

	if (out->len == first_index)
		return;
	top_member = out->pdata[first_index];
	for (guint i = first_index; i < out->len; i++)
		if (!same_zone(out->pdata[i], top_member))
			return;
	for (guint i = 0; i < ranked->len; i++) {
		member_t *member = g_array_index(ranked, ranked_t, i).member;

		if (same_zone(member, top_member))
			continue;
		if (out->len - first_index > 1)
			g_ptr_array_set_size(out, (gint)out->len - 1);
		g_ptr_array_add(out, member);
		return;
	}
}

void
members_entry_hosts(
    const members_t *members, const char *workspace, bool large, GPtrArray *out)
{
	guint count =
	    large ? MEMBER_ENTRY_HOSTS_LARGE : MEMBER_ENTRY_HOSTS_SMALL;
	GArray *ranked = rank_nodes(members, workspace);
	guint first_index = out->len;

	for (guint i = 0; i < MIN(count, ranked->len); i++)
		g_ptr_array_add(out, g_array_index(ranked, ranked_t, i).member);
	ensure_second_zone(ranked, out, first_index);
	g_array_free(ranked, TRUE);
}

const member_t *
members_pick_other_zone(const members_t *members, uint64_t random)
{
	const member_t *member, *picked = NULL;
	uint64_t candidates = 0;

	LIST_FOREACH (member, &members->list, entries) {
		if (!is_usable(member) || same_zone(member, members->self))
			continue;
		/*
		 * Reservoir sampling: replaces the picked one with
		 * probability 1/candidates.
		 */
		candidates++;
		if ((random >> 8) % candidates == 0)
			picked = member;
	}
	return picked;
}
