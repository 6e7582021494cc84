#include "node_peer.h"

#include "clock.h"
#include "conn.h"
#include "log.h"

#include <string.h>

enum {
	/* A connection opened for one message, or no longer regular. */
	LINGER_MS = 10000,
};

static void
contact_free(gpointer data)
{
	contact_t *contact = data;

	peer_link_close(contact->link);
	g_free(contact->node);
	g_free(contact);
}

GBytes *
node_peers_frame(node_peers_t *peers, const message_t *message)
{
	GByteArray *frame = g_byte_array_new();

	message_encode(message, frame);
	if (frame->len == 0)
		counter_add(
		    peers->node->counters, 1, "peer_unsendable_messages_total");
	return g_byte_array_free_to_bytes(frame);
}

void
node_peers_each_up(node_peers_t *peers, contact_visit_t visit, void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->contacts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		contact_t *contact = value;

		if (!peer_link_connected(contact->link))
			continue;
		visit(contact,
		    contact->node == NULL
			? NULL
			: members_find(peers->members, contact->node),
		    data);
	}
}

static contact_t *
contact_open(node_peers_t *peers, const char *address)
{
	contact_t *contact = g_hash_table_lookup(peers->contacts, address);

	if (contact != NULL)
		return contact;
	contact = g_new0(contact_t, 1);
	contact->link = peer_link_open(peers->hub, address);
	g_hash_table_insert(peers->contacts, g_strdup(address), contact);
	return contact;
}

static contact_t *
contact_of(node_peers_t *peers, const member_t *member)
{
	contact_t *contact = contact_open(peers, member->peer_address);

	if (g_strcmp0(contact->node, member->node) != 0) {
		g_free(contact->node);
		contact->node = g_strdup(member->node);
	}
	return contact;
}

static void
want_contact(member_t *member, void *data)
{
	node_peers_t *peers = data;

	if (members_should_connect(peers->members, member))
		contact_of(peers, member)->wanted_until_ms =
		    clock_mono_ms() + LINGER_MS;
}

static gboolean
is_unneeded(gpointer address, gpointer value, gpointer data)
{
	const contact_t *contact = value;

	return !contact->configured &&
	       clock_mono_ms() >= contact->wanted_until_ms;
}

void
node_peers_sync(node_peers_t *peers)
{
	members_foreach(peers->members, want_contact, peers);
	g_hash_table_foreach_remove(peers->contacts, is_unneeded, NULL);
}

static void
send_frame(contact_t *contact, const member_t *member, void *data)
{
	peer_link_send(contact->link, data);
}

static void
append_revision(gpointer team, gpointer value, gpointer data)
{
	message_revision_t revision = {
	    .team = g_strdup(team), .revision = *(int64_t *)value};

	g_array_append_val((GArray *)data, revision);
}

static GBytes *
heartbeat_frame(node_peers_t *peers)
{
	const member_t *self = members_self(peers->members);
	message_t message = {
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat = {.node = g_strdup(self->node),
		.sequence = ++peers->sequence,
		.draining = self->draining,
		.in_flight = http_server_active_requests(peers->node->server),
		.revisions =
		    g_array_new(FALSE, TRUE, sizeof(message_revision_t))},
	};
	GBytes *frame;

	g_hash_table_foreach(
	    self->revisions, append_revision, message.heartbeat.revisions);
	frame = node_peers_frame(peers, &message);
	message_clear(&message);
	return frame;
}

static GBytes *
hello_frame(node_peers_t *peers)
{
	const member_t *self = members_self(peers->members);
	/* Borrows the strings, so it is not cleared. */
	message_t message = {
	    .type = MESSAGE_HELLO,
	    .hello = {.node = self->node,
		.zone = self->zone,
		.http_address = self->http_address,
		.peer_address = self->peer_address,
		.incarnation = self->incarnation},
	};

	return node_peers_frame(peers, &message);
}

static void
take_own_revision(settings_tree_t *tree, void *data)
{
	members_set_revision(data, tree->team, tree->revision);
}

static void
send_heartbeats(node_peers_t *peers)
{
	GBytes *frame;

	settings_foreach(
	    peers->node->settings, take_own_revision, peers->members);
	frame = heartbeat_frame(peers);
	node_peers_each_up(peers, send_frame, frame);
	g_bytes_unref(frame);
}

void
node_peers_introduce(node_peers_t *peers)
{
	GBytes *frame = hello_frame(peers);

	node_peers_each_up(peers, send_frame, frame);
	g_bytes_unref(frame);
	send_heartbeats(peers);
}

static void
on_changed(const member_t *member, void *data)
{
	node_peers_t *peers = data;
	const char *state = member_state_name(member->state);

	counter_add(peers->node->counters, 1,
	    "member_changes_total{state=\"%s\"}", state);
	log_event(
	    member->state == MEMBER_LIVE ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "member.state", "node=%s member=%s zone=%s state=%s",
	    peers->node->config->name, member->node, member->zone, state);
}

static void
update_states(node_peers_t *peers)
{
	members_tick(peers->members, clock_mono_ms(), on_changed, peers);
}

static void
on_tick(uv_timer_t *timer)
{
	node_peers_t *peers = timer->data;

	update_states(peers);
	node_peers_sync(peers);
	send_heartbeats(peers);
	node_relay_tick(peers);
}

static void
on_up(peer_link_t *link, void *data)
{
	node_peers_t *peers = data;
	contact_t *contact =
	    g_hash_table_lookup(peers->contacts, peer_link_address(link));
	GBytes *frame = hello_frame(peers);

	peer_link_send(link, frame);
	g_bytes_unref(frame);
	frame = heartbeat_frame(peers);
	peer_link_send(link, frame);
	g_bytes_unref(frame);
	if (contact == NULL)
		return;
	node_relay_greet(peers, contact);
	if (contact->node != NULL)
		node_backends_greet(peers->node, contact->node);
}

static bool
on_hello(const message_t *message, void *data)
{
	node_peers_t *peers = data;
	member_info_t hello = {
	    .node = message->hello.node,
	    .zone = message->hello.zone,
	    .http_address = message->hello.http_address,
	    .peer_address = message->hello.peer_address,
	    .incarnation = message->hello.incarnation,
	};
	bool is_new = members_find(peers->members, hello.node) == NULL;

	if (members_upsert(peers->members, &hello, clock_mono_ms()) == NULL) {
		counter_add(
		    peers->node->counters, 1, "peer_hellos_refused_total");
		return false;
	}
	node_peers_sync(peers);
	/* A configured address is connected before its name is known. */
	if (is_new)
		node_backends_greet(peers->node, hello.node);
	return true;
}

static void
take_heartbeat(node_peers_t *peers, const char *from, const message_t *message)
{
	const member_t *member;

	if (!members_handle_heartbeat(
		peers->members, message, clock_mono_ms())) {
		counter_add(
		    peers->node->counters, 1, "peer_heartbeats_ignored_total");
		return;
	}
	member = members_find(peers->members, from);
	if (member->state != MEMBER_LIVE)
		update_states(peers);
	node_settings_message(peers->node, message, from);
}

static void
take_summary(node_peers_t *peers, const char *from, const message_t *message)
{
	/* Borrows the revisions; settings are asked for as by a heartbeat. */
	message_t heartbeat = {
	    .type = MESSAGE_HEARTBEAT,
	    .heartbeat = {.node = (char *)from,
		.revisions = message->zone_summary.revisions},
	};

	members_handle_summary(peers->members, from, message, clock_mono_ms());
	node_settings_message(peers->node, &heartbeat, from);
	node_relay_message(peers, from, message);
}

static void
on_message(const char *from, const message_t *message, void *data)
{
	node_peers_t *peers = data;
	node_t *node = peers->node;

	switch (message->type) {
	case MESSAGE_HELLO:
		break;
	case MESSAGE_HEARTBEAT:
		take_heartbeat(peers, from, message);
		break;
	case MESSAGE_SETTINGS:
		node_relay_message(peers, from, message);
		node_settings_message(node, message, from);
		break;
	case MESSAGE_SETTINGS_REQUEST:
		node_settings_message(node, message, from);
		break;
	case MESSAGE_HOST_LEAVING:
		node_relay_message(peers, from, message);
		node_backends_message(node, message, from);
		break;
	case MESSAGE_ENGINE_REPORTS:
		node_backends_message(node, message, from);
		break;
	case MESSAGE_MOVE_STOP:
	case MESSAGE_MOVE_STATE:
		if (node_moves_relays(message))
			node_relay_message(peers, from, message);
		node_moves_message(node, message, from);
		break;
	case MESSAGE_OUTCOME_REQUEST:
	case MESSAGE_OUTCOME_RESPONSE:
		node_books_message(node, message, from);
		break;
	case MESSAGE_ZONE_SUMMARY:
		take_summary(peers, from, message);
		break;
	}
}

static void
on_lost(const char *from, void *data)
{
	node_peers_t *peers = data;
	const member_t *member = members_find(peers->members, from);

	/*
	 * A node of another zone may close its connection because the
	 * delegates have changed; its zone's summary tells its state.
	 */
	if (member == NULL || member->listed_in_summary ||
	    !members_should_connect(peers->members, member))
		return;
	members_handle_disconnect(peers->members, from, clock_mono_ms());
	update_states(peers);
}

static void
open_configured(node_peers_t *peers, const char *own_address)
{
	struct sockaddr_in parsed;

	for (char **peer = peers->node->config->peers;
	     peer != NULL && *peer != NULL; peer++) {
		if (strcmp(*peer, own_address) == 0)
			continue;
		if (!conn_parse_address(*peer, &parsed)) {
			log_event(LOG_LEVEL_ERROR, "peer.bad_address",
			    "peer=%s remedy=give IP:PORT", *peer);
			continue;
		}
		contact_open(peers, *peer)->configured = true;
	}
}

static members_t *
own_members(const node_t *node, int peer_port)
{
	const node_config_t *config = node->config;
	char *http =
	    g_strdup_printf("%s:%d", config->address, config->http_port);
	char *peer = g_strdup_printf("%s:%d", config->address, peer_port);
	member_info_t self = {
	    .node = config->name,
	    .zone = config->zone,
	    .http_address = http,
	    .peer_address = peer,
	    .incarnation = node->incarnation,
	};
	members_t *members =
	    members_new(&self, config->mesh_max, clock_mono_ms());

	g_free(http);
	g_free(peer);
	return members;
}

bool
node_peers_start(node_t *node, GError **error)
{
	node_peers_t *peers = g_new0(node_peers_t, 1);
	peer_hub_options_t options = {
	    .loop = node->loop,
	    .address = node->config->address,
	    .port = node->config->peer_port,
	    .counters = node->counters,
	    .rand = node->rand,
	    .on_link_connected = on_up,
	    .on_hello = on_hello,
	    .on_message = on_message,
	    .on_node_disconnected = on_lost,
	    .data = peers,
	};

	peers->hub = peer_hub_new(&options, error);
	if (peers->hub == NULL) {
		g_free(peers);
		return false;
	}
	node->peers = peers;
	peers->node = node;
	peers->members = own_members(node, peer_hub_port(peers->hub));
	peers->contacts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, contact_free);
	open_configured(peers, members_self(peers->members)->peer_address);
	node_relay_start(peers);
	node_join_start(peers);
	peers->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(node->loop, peers->timer);
	peers->timer->data = peers;
	uv_timer_start(peers->timer, on_tick, MEMBER_HEARTBEAT_INTERVAL_MS,
	    MEMBER_HEARTBEAT_INTERVAL_MS);
	return true;
}

static void
free_timer(uv_handle_t *handle)
{
	g_free(handle);
}

void
node_peers_free(node_t *node)
{
	node_peers_t *peers = node->peers;

	if (peers == NULL)
		return;
	uv_close((uv_handle_t *)peers->timer, free_timer);
	node_join_free(peers);
	node_relay_free(peers);
	g_hash_table_destroy(peers->contacts);
	peer_hub_free(peers->hub);
	members_free(peers->members);
	g_free(peers);
	node->peers = NULL;
}

int
node_peers_port(const node_t *node)
{
	return peer_hub_port(node->peers->hub);
}

bool
node_peers_handle(node_t *node, http_request_t *request)
{
	return node_entry_handle(node->peers, request);
}

void
node_peers_drain(node_t *node)
{
	node_peers_t *peers = node->peers;

	members_set_draining(peers->members, node->config->name);
	send_heartbeats(peers);
	node_relay_tick(peers);
	node_join_leave(peers);
}

bool
node_peers_left(const node_t *node)
{
	return node_join_left(node->peers);
}

void
node_peers_broadcast(node_t *node, const message_t *message)
{
	GBytes *frame = node_peers_frame(node->peers, message);

	if (g_bytes_get_size(frame) > 0)
		node_peers_each_up(node->peers, send_frame, frame);
	g_bytes_unref(frame);
}

void
node_peers_send(node_t *node, const char *to, const message_t *message)
{
	node_peers_t *peers = node->peers;
	const member_t *member = members_find(peers->members, to);
	contact_t *contact;
	GBytes *frame;

	if (member == NULL || member == members_self(peers->members)) {
		counter_add(node->counters, 1, "peer_unknown_receiver_total");
		return;
	}
	contact = contact_of(peers, member);
	contact->wanted_until_ms =
	    MAX(contact->wanted_until_ms, clock_mono_ms() + LINGER_MS);
	frame = node_peers_frame(peers, message);
	if (g_bytes_get_size(frame) > 0)
		peer_link_send(contact->link, frame);
	g_bytes_unref(frame);
}

bool
node_peers_watches_store(node_t *node, const char *team)
{
	return node_peers_observes(node, node->config->zone, team);
}

bool
node_peers_observes(node_t *node, const char *zone, const char *key)
{
	return members_is_observer(node->peers->members, zone, key);
}

const char *
node_peers_other_zone(node_t *node)
{
	const member_t *member =
	    members_pick_other_zone(node->peers->members, node_random(node));

	return member == NULL ? NULL : member->http_address;
}

void
node_peers_leave(node_t *node, const char *host)
{
	node_peers_t *peers = node->peers;

	if (!members_set_draining(peers->members, host))
		return;
	log_event(LOG_LEVEL_WARN, "member.leaving", "node=%s member=%s",
	    node->config->name, host);
	if (strcmp(host, node->config->name) != 0)
		return;
	node_peers_drain(node);
	node_calls_drain(node);
}
