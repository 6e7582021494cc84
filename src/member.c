#include "member_list.h"

#include <arpa/inet.h>
#include <string.h>

/* Broken variants that fuzz/fuzz_member.c must catch. */
#ifndef MEMBER_MUTANT
#define MEMBER_MUTANT 0
#endif

enum {
	/* A tick this late means that the own node was paused. */
	PAUSE_MS = 2000,
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
set_place(member_t *member, const member_hello_t *hello)
{
	g_free(member->zone);
	g_free(member->http_address);
	g_free(member->peer_address);
	member->zone = g_strdup(hello->zone);
	member->http_address = g_strdup(hello->http_address);
	member->peer_address = g_strdup(hello->peer_address);
	member->incarnation = hello->incarnation;
}

/* A restarted node: nothing that was known of the old process holds. */
static void
restart(member_t *member, const member_hello_t *hello, int64_t now_ms)
{
	set_place(member, hello);
	member->sequence = 0;
	member->heard_ms = now_ms;
	member->direct_ms = 0;
	member->state = MEMBER_SUSPECT;
	member->heard = false;
	member->named = false;
	member->suspected = false;
	member->draining = false;
	member->in_flight = 0;
	g_hash_table_remove_all(member->revisions);
}

static member_t *
member_add(members_t *members, const member_hello_t *hello, int64_t now_ms)
{
	member_t *member = g_new0(member_t, 1);

	member->node = g_strdup(hello->node);
	member->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	restart(member, hello, now_ms);
	LIST_INSERT_HEAD(&members->list, member, entries);
	g_hash_table_insert(members->by_node, member->node, member);
	return member;
}

members_t *
members_new(const member_hello_t *self, unsigned mesh_max, int64_t now_ms)
{
	members_t *members = g_new0(members_t, 1);

	LIST_INIT(&members->list);
	members->by_node = g_hash_table_new(g_str_hash, g_str_equal);
	members->mesh_max = mesh_max > 0 ? mesh_max : MEMBER_MESH_MAX;
	members->tick_ms = now_ms;
	members->self = member_add(members, self, now_ms);
	members->self->state = MEMBER_LIVE;
	members->self->heard = true;
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
members_each(const members_t *members,
    void (*visit)(member_t *member, void *data), void *data)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		visit(member, data);
}

/* IP:PORT with an IPv4 number, which is what the peer part connects to. */
static bool
is_address(const char *address)
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
members_learn(members_t *members, const member_hello_t *hello, int64_t now_ms)
{
	member_t *member = members_find(members, hello->node);

	if (!is_address(hello->http_address) ||
	    !is_address(hello->peer_address))
		return NULL;
	if (member == NULL && g_hash_table_size(members->by_node) >= MEMBER_MAX)
		return NULL;
	if (member == NULL)
		return member_add(members, hello, now_ms);
	if (member == members->self || hello->incarnation < member->incarnation)
		return NULL;
	if (hello->incarnation > member->incarnation)
		restart(member, hello, now_ms);
	return member;
}

/* Takes over revisions; one that would go down is an old report. */
static void
take_revisions(member_t *member, const GArray *revisions)
{
	for (guint i = 0; revisions != NULL && i < revisions->len; i++) {
		const message_revision_t *revision =
		    &g_array_index(revisions, message_revision_t, i);
		int64_t *known =
		    g_hash_table_lookup(member->revisions, revision->team);

		if (known != NULL) {
			*known = MAX(*known, revision->revision);
			continue;
		}
		known = g_new(int64_t, 1);
		*known = revision->revision;
		g_hash_table_insert(
		    member->revisions, g_strdup(revision->team), known);
	}
}

bool
members_heartbeat(members_t *members, const message_t *message, int64_t now_ms)
{
	member_t *member = members_find(members, message->heartbeat.node);

	if (member == NULL || member == members->self ||
	    message->heartbeat.sequence <= member->sequence)
		return false;
	member->sequence = message->heartbeat.sequence;
	member->heard_ms = now_ms;
	member->direct_ms = now_ms;
	member->heard = true;
	member->suspected = false;
	/* Summaries of an earlier time, when there were more nodes. */
	if (members_mesh(members))
		member->named = false;
#if MEMBER_MUTANT != 3 /* forgets that a node leaves */
	member->draining |= message->heartbeat.draining;
#else
	member->draining = message->heartbeat.draining;
#endif
	member->in_flight = message->heartbeat.in_flight;
	take_revisions(member, message->heartbeat.revisions);
	return true;
}

/* A member whose own heartbeats arrive needs no word of others. */
static bool
heard_directly(const member_t *member, int64_t now_ms)
{
	return member->direct_ms > 0 &&
	       now_ms - member->direct_ms < MEMBER_SUSPECT_MS;
}

/*
 * A summary is a sign of life only where heartbeats do not come directly, and
 * only from the zone itself or through an own delegate. Otherwise two nodes
 * could keep a dead third one alive by each other's summaries.
 */
static bool
is_sign_of_life(
    const members_t *members, const member_t *from, const char *zone)
{
	const char *own = members->self->zone;

#if MEMBER_MUTANT == 2 /* hearsay counts */
	return true;
#endif
	if (members_mesh(members) || strcmp(zone, own) == 0)
		return false;
	return strcmp(from->zone, zone) == 0 || strcmp(from->zone, own) == 0;
}

static void
learn_all(members_t *members, const message_t *message, int64_t now_ms)
{
	const GArray *told = message->zone_sum.members;

	for (guint i = 0; i < told->len; i++) {
		const message_member_t *entry =
		    &g_array_index(told, message_member_t, i);
		member_hello_t hello = {
		    .node = entry->node,
		    .zone = message->zone_sum.zone,
		    .http_address = entry->http_address,
		    .peer_address = entry->peer_address,
		    .incarnation = entry->incarnation,
		};
		member_t *member = members_learn(members, &hello, now_ms);

		if (member != NULL)
			member->draining |= entry->draining;
	}
}

/* A node that a full summary of its zone does not name is suspect. */
static void
suspect_unnamed(members_t *members, const char *zone, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries)
		if (member->named && strcmp(member->zone, zone) == 0) {
			member->named = false;
			member->suspected = !heard_directly(member, now_ms);
		}
}

/*
 * A greeting comes from any node, even one that has itself just started, so
 * that what it has not heard of says nothing.
 */
static bool
is_greeting(const message_t *message)
{
	return message->zone_sum.at_ms == 0;
}

static void
take_life(members_t *members, const message_t *message, int64_t now_ms)
{
	const GArray *told = message->zone_sum.members;

	if (!is_greeting(message))
		suspect_unnamed(members, message->zone_sum.zone, now_ms);
	for (guint i = 0; i < told->len; i++) {
		const message_member_t *entry =
		    &g_array_index(told, message_member_t, i);
		member_t *member = members_find(members, entry->node);

		if (member == NULL || member == members->self ||
		    member->incarnation != entry->incarnation)
			continue;
		if (is_greeting(message) && entry->suspect)
			continue;
		member->heard = true;
		member->named = true;
		member->heard_ms = now_ms;
		member->suspected =
		    entry->suspect && !heard_directly(member, now_ms);
		take_revisions(member, message->zone_sum.revisions);
	}
}

/* "As before": a sign of life of all that the last full summary named. */
static void
refresh_zone(members_t *members, const message_t *message, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		if (!member->named || member->suspected ||
		    strcmp(member->zone, message->zone_sum.zone) != 0)
			continue;
		member->heard_ms = now_ms;
		take_revisions(member, message->zone_sum.revisions);
	}
}

void
members_summary(members_t *members, const char *from, const message_t *message,
    int64_t now_ms)
{
	const GArray *told = message->zone_sum.members;
	const member_t *sender = members_find(members, from);

	if (sender == NULL)
		return;
	learn_all(members, message, now_ms);
	if (!is_sign_of_life(members, sender, message->zone_sum.zone))
		return;
	if (told->len == 0)
		refresh_zone(members, message, now_ms);
	else
		take_life(members, message, now_ms);
}

void
members_lost(members_t *members, const char *node, int64_t now_ms)
{
	member_t *member = members_find(members, node);

	if (member == NULL || member == members->self)
		return;
	member->heard_ms = MIN(member->heard_ms, now_ms - MEMBER_SUSPECT_MS);
	member->direct_ms = MIN(member->direct_ms, member->heard_ms);
}

bool
members_drain(members_t *members, const char *node)
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
members_revision(members_t *members, const char *team, int64_t revision)
{
	message_revision_t own = {.team = (char *)team, .revision = revision};
	GArray *revisions = g_array_new(FALSE, FALSE, sizeof(own));

	g_array_append_val(revisions, own);
	take_revisions(members->self, revisions);
	g_array_free(revisions, TRUE);
}

static member_state_t
state_at(const member_t *member, int64_t now_ms)
{
	int64_t silence_ms = now_ms - member->heard_ms;
	bool far = member->named;

	if (silence_ms >= (far ? MEMBER_FAR_GONE_MS : MEMBER_GONE_MS))
		return MEMBER_GONE;
	if (!member->heard || member->suspected ||
	    silence_ms >= (far ? MEMBER_FAR_SUSPECT_MS : MEMBER_SUSPECT_MS))
		return MEMBER_SUSPECT;
	return MEMBER_LIVE;
}

/* Moves every time on by the length of the own pause, but not past now. */
static void
forgive_pause(members_t *members, int64_t pause_ms, int64_t now_ms)
{
	member_t *member;

	LIST_FOREACH (member, &members->list, entries) {
		member->heard_ms = MIN(member->heard_ms + pause_ms, now_ms);
		if (member->direct_ms > 0)
			member->direct_ms =
			    MIN(member->direct_ms + pause_ms, now_ms);
	}
}

void
members_tick(members_t *members, int64_t now_ms,
    void (*changed)(const member_t *member, void *data), void *data)
{
	int64_t since_ms = now_ms - members->tick_ms;
	member_t *member, *next;
	member_state_t state;

#if MEMBER_MUTANT != 1 /* takes an own pause as silence of the others */
	if (since_ms > PAUSE_MS)
		forgive_pause(members, since_ms, now_ms);
#endif
	members->tick_ms = now_ms;
	for (member = LIST_FIRST(&members->list); member != NULL;
	     member = next) {
		next = LIST_NEXT(member, entries);
		if (member == members->self)
			continue;
		state = state_at(member, now_ms);
		if (state != member->state) {
			member->state = state;
			if (changed != NULL)
				changed(member, data);
		}
		if (now_ms - member->heard_ms >= MEMBER_FORGET_MS)
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
members_mesh(const members_t *members)
{
	return members_count(members) <= members->mesh_max;
}
