#include "member_list.h"

#include <string.h>
#include <xxhash.h>

/* Rendezvous rank of a name for a key: the highest is chosen. */
static uint64_t
rank_of(const char *key, const char *name)
{
	return XXH3_64bits_withSeed(
	    name, strlen(name), XXH3_64bits(key, strlen(key)));
}

static bool
usable(const member_t *member)
{
	return member->state == MEMBER_LIVE && !member->draining;
}

/* True where member is among the count usable nodes of its zone for a key. */
static bool
chosen(const members_t *members, const member_t *member, const char *key,
    unsigned count)
{
	uint64_t rank = rank_of(key, member->node);
	const member_t *other;
	unsigned higher = 0;

	if (!usable(member))
		return false;
	LIST_FOREACH (other, &members->list, entries)
		if (other != member && usable(other) &&
		    same_zone(other, member) &&
		    rank_of(key, other->node) > rank)
			higher++;
	return higher < count;
}

bool
members_delegate(const members_t *members, const member_t *member)
{
	return chosen(members, member, member->zone, MEMBER_DELEGATES);
}

static bool
zone_has_usable(const members_t *members, const char *zone)
{
	const member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		if (usable(member) && strcmp(member->zone, zone) == 0)
			return true;
	return false;
}

/*
 * A zone that nothing is heard of has no known delegate, so each of its nodes
 * is tried: after the own start, and after a partition.
 */
bool
members_contact(const members_t *members, const member_t *member)
{
	if (member == members->self)
		return false;
	if (same_zone(member, members->self) || members_mesh(members))
		return true;
	return members_delegate(members, members->self) &&
	       (members_delegate(members, member) ||
		   !zone_has_usable(members, member->zone));
}

/* The zone that observes a zone: itself while it has a usable node. */
static const char *
observing_zone(const members_t *members, const char *zone)
{
	const char *best = NULL;
	const member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		if (!usable(member))
			continue;
		if (strcmp(member->zone, zone) == 0)
			return member->zone;
		if (best == NULL ||
		    rank_of(zone, member->zone) > rank_of(zone, best))
			best = member->zone;
	}
	return best;
}

bool
members_observes(const members_t *members, const char *zone, const char *key)
{
	const char *by = observing_zone(members, zone);

	if (by == NULL || strcmp(by, members->self->zone) != 0)
		return false;
	return chosen(members, members->self, key, MEMBER_OBSERVERS);
}

static int64_t
revision_of(const member_t *member, const char *team)
{
	const int64_t *revision = g_hash_table_lookup(member->revisions, team);

	return revision == NULL ? 0 : *revision;
}

/* The lowest revision of each team over the zone's live nodes. */
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
members_sum(const members_t *members, const char *zone, int64_t at_ms,
    message_t *message)
{
	GArray *told = g_array_new(FALSE, TRUE, sizeof(message_member_t));
	const member_t *member;

	*message = (message_t){
	    .type = MESSAGE_ZONE_SUM,
	    .zone_sum = {.zone = g_strdup(zone),
		.at_ms = at_ms,
		.revisions = lowest_revisions(members, zone),
		.members = told},
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
		g_array_append_val(told, entry);
		message->zone_sum.nodes += member->state == MEMBER_LIVE;
		message->zone_sum.in_flight += member->in_flight;
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

/* Nodes by rank; without any live one, suspect ones are better than none. */
static GArray *
rank_nodes(const members_t *members, const char *key)
{
	GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_t));
	member_t *member;

	for (int pass = 0; pass < 2 && ranked->len == 0; pass++)
		LIST_FOREACH (member, &members->list, entries) {
			ranked_t item = {rank_of(key, member->node), member};

			if (usable(member) ||
			    (pass == 1 && !member->draining &&
				member->state == MEMBER_SUSPECT))
				g_array_append_val(ranked, item);
		}
	g_array_sort(ranked, by_rank);
	return ranked;
}

/* Replaces the last one where all are of one zone and another has a node. */
static void
spread_zones(const GArray *ranked, GPtrArray *out, guint first)
{
	const member_t *top;

	if (out->len == first)
		return;
	top = out->pdata[first];
	for (guint i = first; i < out->len; i++)
		if (!same_zone(out->pdata[i], top))
			return;
	for (guint i = 0; i < ranked->len; i++) {
		member_t *member = g_array_index(ranked, ranked_t, i).member;

		if (same_zone(member, top))
			continue;
		if (out->len - first > 1)
			g_ptr_array_set_size(out, (gint)out->len - 1);
		g_ptr_array_add(out, member);
		return;
	}
}

void
members_entry(
    const members_t *members, const char *workspace, bool large, GPtrArray *out)
{
	guint count = large ? MEMBER_ENTRY_LARGE : MEMBER_ENTRY_SMALL;
	GArray *ranked = rank_nodes(members, workspace);
	guint first = out->len;

	for (guint i = 0; i < MIN(count, ranked->len); i++)
		g_ptr_array_add(out, g_array_index(ranked, ranked_t, i).member);
	spread_zones(ranked, out, first);
	g_array_free(ranked, TRUE);
}

const member_t *
members_other_zone(const members_t *members, uint64_t random)
{
	const member_t *member, *choice = NULL;
	uint64_t seen = 0;

	LIST_FOREACH (member, &members->list, entries) {
		if (!usable(member) || same_zone(member, members->self))
			continue;
		/* Reservoir choice. */
		seen++;
		if ((random >> 8) % seen == 0)
			choice = member;
	}
	return choice;
}
