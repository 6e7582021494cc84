#include "member_list.h"

#include <arpa/inet.h>
#include <string.h>

/* Broken variants that fuzz/fuzz_member.c must catch. */
#ifndef MEMBER_MUTANT
#define MEMBER_MUTANT 0
#endif

enum {
	/* A longer gap between ticks means that this process was paused. */
	PAUSE_DETECT_MS = 2000,
};

const char *
member_state_name(member_state_t state)
{
	switch (state) {
	case MEMBER_LIVE:
		return "live";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_GONE:
		break;
	}
	return "gone";
}

static void
member_free(member_t *member)
{
	g_free(member->node);
	g_free(member->zone);
	g_free(member->http_address);
	g_free(member->peer_address);
	g_hash_table_destroy(member->revisions);
	g_free(member);
}

static void
member_remove(members_t *members, member_t *member)
{
	g_hash_table_remove(members->by_node, member->node);
	LIST_REMOVE(member, entries);
	member_free(member);
}

static void
set_info(member_t *member, const member_info_t *info)
{
	g_free(member->zone);
	g_free(member->http_address);
	g_free(member->peer_address);
	member->zone = g_strdup(info->zone);
	member->http_address = g_strdup(info->http_address);
	member->peer_address = g_strdup(info->peer_address);
	member->incarnation = info->incarnation;
}

/* For a restarted node: the state of the old process no longer applies. */
static void
reset_member(member_t *member, const member_info_t *info, int64_t now_ms)
{
	set_info(member, info);
	member->sequence = 0;
	member->last_alive_ms = now_ms;
	member->last_heartbeat_ms = 0;
	member->state = MEMBER_SUSPECT;
	member->confirmed_alive = false;
	member->listed_in_summary = false;
	member->suspect_in_summary = false;
	member->draining = false;
	member->in_flight = 0;
	g_hash_table_remove_all(member->revisions);
}

static member_t *
member_add(members_t *members, const member_info_t *info, int64_t now_ms)
{
	member_t *member = g_new0(member_t, 1);

	member->node = g_strdup(info->node);
	member->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reset_member(member, info, now_ms);
	LIST_INSERT_HEAD(&members->list, member, entries);
	g_hash_table_insert(members->by_node, member->node, member);
	return member;
}

members_t *
members_new(const member_info_t *self, unsigned full_mesh_max, int64_t now_ms)
{
	members_t *members = g_new0(members_t, 1);

	LIST_INIT(&members->list);
	members->by_node = g_hash_table_new(g_str_hash, g_str_equal);
	members->full_mesh_max =
	    full_mesh_max > 0 ? full_mesh_max : MEMBER_FULL_MESH_MAX;
	members->last_tick_ms = now_ms;
	members->self = member_add(members, self, now_ms);
	members->self->state = MEMBER_LIVE;
	members->self->confirmed_alive = true;
	return members;
}

void
members_free(members_t *members)
{
	member_t *member;

	while ((member = LIST_FIRST(&members->list)) != NULL)
		member_remove(members, member);
	g_hash_table_destroy(members->by_node);
	g_free(members);
}

const member_t *
members_self(const members_t *members)
{
	return members->self;
}

member_t *
members_find(const members_t *members, const char *node)
{
	return g_hash_table_lookup(members->by_node, node);
}

void
members_foreach(const members_t *members,
    void (*callback)(member_t *member, void *data), void *data)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		callback(member, data);
}

/* True for IP:PORT with a numeric IPv4 address, as peer connections require. */
static bool
is_ipv4_endpoint(const char *address)
{
	const char *colon = strrchr(address, ':');
	struct in_addr parsed;
	guint64 port;
	char *ip;
	bool ok;

	if (colon == NULL || !g_ascii_string_to_unsigned(
				 colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
		return false;
	ip = g_strndup(address, (gsize)(colon - address));
	ok = inet_pton(AF_INET, ip, &parsed) == 1;
	g_free(ip);
	return ok;
}

member_t *
members_upsert(members_t *members, const member_info_t *info, int64_t now_ms)
{
	member_t *member = members_find(members, info->node);

	if (!is_ipv4_endpoint(info->http_address) ||
	    !is_ipv4_endpoint(info->peer_address))
		return NULL;
	if (member == NULL &&
	    g_hash_table_size(members->by_node) >= MEMBER_NODES_MAX)
		return NULL;
	if (member == NULL)
		return member_add(members, info, now_ms);
	if (member == members->self || info->incarnation < member->incarnation)
		return NULL;
	if (info->incarnation > member->incarnation)
		reset_member(member, info, now_ms);
	return member;
}

/* Copies revisions; a lower one than known comes from an outdated report. */
static void
merge_revisions(member_t *member, const GArray *revisions)
{
	for (guint i = 0; revisions != NULL && i < revisions->len; i++) {
		const message_revision_t *revision =
		    &g_array_index(revisions, message_revision_t, i);
		int64_t *known_revision =
		    g_hash_table_lookup(member->revisions, revision->team);

		if (known_revision != NULL) {
			*known_revision =
			    MAX(*known_revision, revision->revision);
			continue;
		}
		known_revision = g_new(int64_t, 1);
		*known_revision = revision->revision;
		g_hash_table_insert(member->revisions, g_strdup(revision->team),
		    known_revision);
	}
}

bool
members_handle_heartbeat(
    members_t *members, const message_t *message, int64_t now_ms)
{
	member_t *member = members_find(members, message->heartbeat.node);

	if (member == NULL || member == members->self ||
	    message->heartbeat.sequence <= member->sequence)
		return false;
	member->sequence = message->heartbeat.sequence;
	member->last_alive_ms = now_ms;
	member->last_heartbeat_ms = now_ms;
	member->confirmed_alive = true;
	member->suspect_in_summary = false;
	/* Left from a time with more nodes, when summaries applied. */
	if (members_is_full_mesh(members))
		member->listed_in_summary = false;
#if MEMBER_MUTANT != 3 /* a heartbeat resets the draining flag */
	member->draining |= message->heartbeat.draining;
#else
	member->draining = message->heartbeat.draining;
#endif
	member->in_flight = message->heartbeat.in_flight;
	merge_revisions(member, message->heartbeat.revisions);
	return true;
}

/* A member with recent heartbeats is not suspected because of a summary. */
static bool
has_recent_heartbeat(const member_t *member, int64_t now_ms)
{
	return member->last_heartbeat_ms > 0 &&
	       now_ms - member->last_heartbeat_ms < MEMBER_SUSPECT_MS;
}

/*
 * A summary is a sign of life of the nodes that it lists only if there is no
 * full mesh, the zone is not the local one, and the sender is of that zone or
 * of the local zone (a delegate that relays it). Otherwise two nodes could keep
 * a dead third one live by each other's summaries.
 */
static bool
summary_confirms_liveness(
    const members_t *members, const member_t *sender, const char *zone)
{
	const char *own_zone = members->self->zone;

#if MEMBER_MUTANT == 2 /* any summary is a sign of life */
	return true;
#endif
	if (members_is_full_mesh(members) || strcmp(zone, own_zone) == 0)
		return false;
	return strcmp(sender->zone, zone) == 0 ||
	       strcmp(sender->zone, own_zone) == 0;
}

static void
upsert_listed(members_t *members, const message_t *message, int64_t now_ms)
{
	const GArray *listed = message->zone_summary.members;

	for (guint i = 0; i < listed->len; i++) {
		const message_member_t *entry =
		    &g_array_index(listed, message_member_t, i);
		member_info_t info = {
		    .node = entry->node,
		    .zone = message->zone_summary.zone,
		    .http_address = entry->http_address,
		    .peer_address = entry->peer_address,
		    .incarnation = entry->incarnation,
		};
		member_t *member = members_upsert(members, &info, now_ms);

		if (member != NULL)
			member->draining |= entry->draining;
	}
}

/*
 * Suspects the listed nodes of a zone before a full summary is applied, which
 * clears the flag of those that it lists.
 */
static void
suspect_unlisted(members_t *members, const char *zone, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		if (member->listed_in_summary &&
		    strcmp(member->zone, zone) == 0) {
			member->listed_in_summary = false;
			member->suspect_in_summary =
			    !has_recent_heartbeat(member, now_ms);
		}
}

/*
 * Any node sends an initial summary, even one that has just started and knows
 * few nodes, so a node missing from it is not suspect.
 */
static bool
is_initial_summary(const message_t *message)
{
	return message->zone_summary.sent_at_ms == 0;
}

static void
apply_full_summary(members_t *members, const message_t *message, int64_t now_ms)
{
	const GArray *listed = message->zone_summary.members;

	if (!is_initial_summary(message))
		suspect_unlisted(members, message->zone_summary.zone, now_ms);
	for (guint i = 0; i < listed->len; i++) {
		const message_member_t *entry =
		    &g_array_index(listed, message_member_t, i);
		member_t *member = members_find(members, entry->node);

		if (member == NULL || member == members->self ||
		    member->incarnation != entry->incarnation)
			continue;
		if (is_initial_summary(message) && entry->suspect)
			continue;
		member->confirmed_alive = true;
		member->listed_in_summary = true;
		member->last_alive_ms = now_ms;
		member->suspect_in_summary =
		    entry->suspect && !has_recent_heartbeat(member, now_ms);
		merge_revisions(member, message->zone_summary.revisions);
	}
}

/*
 * A summary without members means no change: a sign of life of all nodes that
 * the last full summary listed as live.
 */
static void
apply_unchanged_summary(
    members_t *members, const message_t *message, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		if (!member->listed_in_summary || member->suspect_in_summary ||
		    strcmp(member->zone, message->zone_summary.zone) != 0)
			continue;
		member->last_alive_ms = now_ms;
		merge_revisions(member, message->zone_summary.revisions);
	}
}

void
members_handle_summary(members_t *members, const char *sender_node,
    const message_t *message, int64_t now_ms)
{
	const GArray *listed = message->zone_summary.members;
	const member_t *sender = members_find(members, sender_node);

	if (sender == NULL)
		return;
	upsert_listed(members, message, now_ms);
	if (!summary_confirms_liveness(
		members, sender, message->zone_summary.zone))
		return;
	if (listed->len == 0)
		apply_unchanged_summary(members, message, now_ms);
	else
		apply_full_summary(members, message, now_ms);
}

void
members_handle_disconnect(members_t *members, const char *node, int64_t now_ms)
{
	member_t *member = members_find(members, node);

	if (member == NULL || member == members->self)
		return;
	member->last_alive_ms =
	    MIN(member->last_alive_ms, now_ms - MEMBER_SUSPECT_MS);
	member->last_heartbeat_ms =
	    MIN(member->last_heartbeat_ms, member->last_alive_ms);
}

bool
members_set_draining(members_t *members, const char *node)
{
	member_t *member = members_find(members, node);

	if (member == NULL || member->draining)
		return false;
	member->draining = true;
	return true;
}

void
members_set_incarnation(members_t *members, int64_t incarnation)
{
	members->self->incarnation =
	    MAX(members->self->incarnation, incarnation);
}

void
members_set_revision(members_t *members, const char *team, int64_t revision)
{
	message_revision_t own = {.team = (char *)team, .revision = revision};
	GArray *revisions = g_array_new(FALSE, FALSE, sizeof(own));

	g_array_append_val(revisions, own);
	merge_revisions(members->self, revisions);
	g_array_free(revisions, TRUE);
}

static member_state_t
compute_state(const member_t *member, int64_t now_ms)
{
	int64_t silence_ms = now_ms - member->last_alive_ms;
	bool indirect = member->listed_in_summary;

	if (silence_ms >= (indirect ? MEMBER_INDIRECT_GONE_MS : MEMBER_GONE_MS))
		return MEMBER_GONE;
	if (!member->confirmed_alive || member->suspect_in_summary ||
	    silence_ms >=
		(indirect ? MEMBER_INDIRECT_SUSPECT_MS : MEMBER_SUSPECT_MS))
		return MEMBER_SUSPECT;
	return MEMBER_LIVE;
}

/* Adds the length of the local pause to all times, up to now_ms. */
static void
compensate_pause(members_t *members, int64_t pause_ms, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		member->last_alive_ms =
		    MIN(member->last_alive_ms + pause_ms, now_ms);
		if (member->last_heartbeat_ms > 0)
			member->last_heartbeat_ms =
			    MIN(member->last_heartbeat_ms + pause_ms, now_ms);
	}
}

void
members_tick(members_t *members, int64_t now_ms,
    void (*on_state_change)(const member_t *member, void *data), void *data)
{
	int64_t elapsed_ms = now_ms - members->last_tick_ms;
	member_t *member, *next_member;
	member_state_t state;

#if MEMBER_MUTANT != 1 /* a local pause counts as missing heartbeats */
	if (elapsed_ms > PAUSE_DETECT_MS)
		compensate_pause(members, elapsed_ms, now_ms);
#endif
	members->last_tick_ms = now_ms;
	for (member = LIST_FIRST(&members->list); member != NULL;
	     member = next_member) {
		next_member = LIST_NEXT(member, entries);
		if (member == members->self)
			continue;
		state = compute_state(member, now_ms);
		if (state != member->state) {
			member->state = state;
			if (on_state_change != NULL)
				on_state_change(member, data);
		}
		if (now_ms - member->last_alive_ms >= MEMBER_FORGET_MS)
			member_remove(members, member);
	}
}

unsigned
members_count(const members_t *members)
{
	const member_t *member;
	unsigned count = 0;

	LIST_FOREACH (member, &members->list, entries)
		if (member->state != MEMBER_GONE)
			count++;
	return count;
}

bool
members_is_full_mesh(const members_t *members)
{
	return members_count(members) <= members->full_mesh_max;
}
