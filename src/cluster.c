#include "cluster_state.h"

#include "clock.h"
#include "conn.h"
#include "error.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Time between two digests of a node in a small fleet. */
	SEND_MIN_MS = 200,
	/* Added for each node, so that a large fleet sends more seldom. */
	SEND_NODE_MS = 15,
	/* From the making of a digest to its use, at most. */
	DELIVERY_MS = 50,
	/* Digests that may be lost before a node counts as silent. */
	SILENT_DIGESTS = 5,
	LOAD_MAX_AGE_MS = 2000,
	/* A node that has run for longer knows the levels by itself. */
	ADOPT_MS = 2000,
};

static void
peer_free(gpointer data)
{
	cluster_peer_t *peer = data;

	g_free(peer->name);
	digest_free(peer->digest);
	g_hash_table_unref(peer->spent);
	g_free(peer);
}

static cluster_peer_t *
find_or_add(cluster_t *cluster, const char *name)
{
	cluster_peer_t *peer = g_hash_table_lookup(cluster->peers, name);

	if (peer != NULL)
		return peer;
	peer = g_new0(cluster_peer_t, 1);
	peer->name = g_strdup(name);
	peer->spent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(cluster->peers, peer->name, peer);
	return peer;
}

static int64_t
interval_ms(const cluster_t *cluster)
{
	return MAX(SEND_MIN_MS, SEND_NODE_MS * (int64_t)cluster_nodes(cluster));
}

bool
cluster_is_heard(
    const cluster_t *cluster, const cluster_peer_t *peer, int64_t now_ms)
{
	return peer->heard_ms != 0 &&
	       now_ms - peer->heard_ms < SILENT_DIGESTS * interval_ms(cluster);
}

unsigned
cluster_nodes(const cluster_t *cluster)
{
	return cluster->registered + 1;
}

/*
 * True where this node has just started and the peer has run for longer: its
 * sums then say nothing of the present window, and its level does. Of nodes
 * that start together each has spent all of its sums just now.
 */
static bool
adopts(const cluster_t *cluster, const digest_t *digest, int64_t now_ms)
{
	return now_ms - cluster->started_ms < ADOPT_MS &&
	       digest->incarnation < cluster->incarnation - ADOPT_MS;
}

/* Applies what a peer has spent since its last digest. */
static void
apply_spending(cluster_t *cluster, cluster_peer_t *peer, const digest_t *digest,
    int64_t now_ms)
{
	quota_t *quota = cluster->options.quota;
	bool adopt = adopts(cluster, digest, now_ms);

	for (guint i = 0; i < digest->spending->len; i++) {
		const digest_spending_t *item =
		    &g_array_index(digest->spending, digest_spending_t, i);
		double *spent =
		    g_hash_table_lookup(peer->spent, item->workspace);

		if (spent == NULL) {
			spent = g_new0(double, 1);
			if (adopt)
				*spent = item->spent;
			g_hash_table_insert(
			    peer->spent, g_strdup(item->workspace), spent);
			if (adopt)
				quota_adopt_level(quota, item->workspace,
				    item->level, now_ms);
		}
		quota_apply_remote(quota, item->workspace, item->spent - *spent,
		    peer->silent_ms, now_ms);
		*spent = item->spent;
	}
	peer->silent_ms = 0;
}

static void
apply_usage(cluster_t *cluster, const digest_t *digest)
{
	char *source = g_strdup_printf(
	    "%s/%" G_GINT64_FORMAT, digest->node, digest->incarnation);

	for (guint i = 0; i < digest->usage->len; i++) {
		const digest_usage_t *item =
		    &g_array_index(digest->usage, digest_usage_t, i);

		usage_merge(cluster->options.usage, source, item->window,
		    item->workspace, item->count);
	}
	g_free(source);
}

/*
 * A datagram that has been overtaken, also by those of a newer process. A
 * lower incarnation after a silence is that of a clock which was set back.
 */
static bool
is_late(const cluster_t *cluster, const cluster_peer_t *peer,
    const digest_t *digest, int64_t now_ms)
{
	const digest_t *last = peer->digest;

	if (digest->incarnation == last->incarnation)
		return digest->sequence <= last->sequence;
	return digest->incarnation < last->incarnation &&
	       cluster_is_heard(cluster, peer, now_ms);
}

static void
apply(cluster_t *cluster, digest_t *digest, int64_t now_ms)
{
	cluster_peer_t *peer = find_or_add(cluster, digest->node);
	const digest_t *last = peer->digest;

	if (last != NULL && is_late(cluster, peer, digest, now_ms)) {
		digest_free(digest);
		return;
	}
	if (last != NULL && digest->incarnation != last->incarnation)
		g_hash_table_remove_all(peer->spent);
	peer->heard_ms = now_ms;
	peer->wall_offset_ms =
	    digest->wall_ms - true_time_now(&cluster->time, now_ms);
	apply_spending(cluster, peer, digest, now_ms);
	apply_usage(cluster, digest);
	rollouts_merge_digest(cluster->options.rollouts, digest);
	digest_free(peer->digest);
	peer->digest = digest;
	if (digest->configuration_version > cluster->configuration_version)
		cluster->options.on_newer_configuration(cluster->options.data);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	cluster_t *cluster = handle->data;

	*buffer = uv_buf_init(cluster->buffer, sizeof(cluster->buffer));
}

void
cluster_send_to(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *bytes)
{
	uv_buf_t buffer = uv_buf_init((char *)bytes->data, bytes->len);

	/* Whatever is lost is sent, or asked for, again. */
	(void)uv_udp_try_send(&cluster->socket, &buffer, 1,
	    (const struct sockaddr *)&peer->address);
}

static void
on_datagram(uv_udp_t *socket, ssize_t length, const uv_buf_t *buffer,
    const struct sockaddr *from, unsigned flags)
{
	cluster_t *cluster = socket->data;
	digest_t *digest;

	if (length <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0)
		return;
	if (cluster_take_relayed(cluster, buffer->base, (size_t)length, from))
		return;
	digest = digest_decode(buffer->base, (size_t)length);
	if (digest == NULL) {
		log_event(
		    LOG_LEVEL_WARN, "cluster.malformed", "bytes=%zd", length);
		return;
	}
	if (strcmp(digest->node, cluster->options.config->name) == 0)
		digest_free(digest);
	else
		apply(cluster, digest, clock_boot_ms());
}

static void
add_spending(const quota_state_t *state, void *data)
{
	digest_t *digest = data;
	digest_spending_t item = {.workspace = g_strdup(state->workspace),
	    .spent = state->spent,
	    .level = state->level};

	g_array_append_val(digest->spending, item);
}

static void
add_load(server_t *server, void *data)
{
	digest_t *digest = data;
	digest_load_t item = {
	    .server = server->tag, .load = server->local_load};

	if (server->local_load.in_flight > 0)
		g_array_append_val(digest->loads, item);
}

static void
add_usage(int64_t window, const char *workspace, double count, void *data)
{
	digest_t *digest = data;
	digest_usage_t item = {
	    .window = window, .workspace = g_strdup(workspace), .count = count};

	g_array_append_val(digest->usage, item);
}

static digest_t *
own_digest(cluster_t *cluster, int64_t now_ms)
{
	const front_config_t *config = cluster->options.config;
	digest_t *digest = digest_new();

	digest->node = g_strdup(config->name);
	digest->incarnation = cluster->incarnation;
	digest->sequence = ++cluster->sequence;
	digest->client_address = g_strdup(config->client_address);
	digest->ready = cluster->ready;
	digest->wall_ms = true_time_now(&cluster->time, now_ms);
	digest->configuration_version = cluster->configuration_version;
	quota_each(cluster->options.quota, now_ms, add_spending, digest);
	pool_each(cluster->options.pool, add_load, digest);
	usage_each(cluster->options.usage, add_usage, digest);
	rollouts_add_to_digest(cluster->options.rollouts, digest);
	return digest;
}

void
cluster_send(cluster_t *cluster)
{
	GByteArray *bytes = g_byte_array_new();
	digest_t *digest = own_digest(cluster, clock_boot_ms());
	GHashTableIter iter;
	gpointer value;

	digest_encode(digest, bytes);
	digest_free(digest);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered)
			cluster_send_to(cluster, peer, bytes);
	}
	g_byte_array_unref(bytes);
}

static void
clear_peer_load(server_t *server, void *data)
{
	server->peer_load = (server_load_t){0};
}

static void
sum_loads(cluster_t *cluster, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	pool_each(cluster->options.pool, clear_peer_load, NULL);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->digest == NULL ||
		    now_ms - peer->heard_ms > LOAD_MAX_AGE_MS)
			continue;
		for (guint i = 0; i < peer->digest->loads->len; i++) {
			const digest_load_t *item = &g_array_index(
			    peer->digest->loads, digest_load_t, i);
			server_t *server =
			    pool_find(cluster->options.pool, item->server);

			if (server == NULL)
				continue;
			server->peer_load.in_flight += item->load.in_flight;
			server->peer_load.prefill_tokens +=
			    item->load.prefill_tokens;
			server->peer_load.urgent_prefill_tokens +=
			    item->load.urgent_prefill_tokens;
			server->peer_load.kv_tokens += item->load.kv_tokens;
		}
	}
}

/* Reserves the parts of nodes that are registered and not heard from. */
static void
check_silence(cluster_t *cluster, int64_t now_ms)
{
	int64_t passed_ms = now_ms - cluster->silent_checked_ms;
	unsigned silent = 0;
	GHashTableIter iter;
	gpointer value;

	cluster->silent_checked_ms = now_ms;
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cluster_peer_t *peer = value;

		if (!peer->registered ||
		    cluster_is_heard(cluster, peer, now_ms))
			continue;
		peer->silent_ms += passed_ms;
		silent++;
	}
	quota_set_nodes(cluster->options.quota, cluster_nodes(cluster), silent,
	    interval_ms(cluster) / 2 + DELIVERY_MS, now_ms);
}

static int
compare_offsets(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Compares this clock with those of the nodes that are heard from. */
static void
update_offset(cluster_t *cluster, int64_t now_ms)
{
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t own = 0;
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(offsets, own);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (cluster_is_heard(cluster, peer, now_ms))
			g_array_append_val(offsets, peer->wall_offset_ms);
	}
	qsort(offsets->data, offsets->len, sizeof(int64_t), compare_offsets);
	cluster->offset_ms = g_array_index(offsets, int64_t, offsets->len / 2);
	g_array_unref(offsets);
}

static void
on_timer(uv_timer_t *timer)
{
	cluster_t *cluster = timer->data;
	int64_t now_ms = clock_boot_ms();

	true_time_update(&cluster->time, clock_wall_ms(), now_ms);
	update_offset(cluster, now_ms);
	check_silence(cluster, now_ms);
	sum_loads(cluster, now_ms);
	cluster_send(cluster);
	uv_timer_start(timer, on_timer, (uint64_t)interval_ms(cluster), 0);
}

cluster_t *
cluster_start(uv_loop_t *loop, const cluster_options_t *options, GError **error)
{
	cluster_t *cluster = g_new0(cluster_t, 1);
	struct sockaddr_in address;
	int rc;

	cluster->options = *options;
	cluster->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	cluster->started_ms = clock_boot_ms();
	cluster->silent_checked_ms = cluster->started_ms;
	cluster->incarnation = clock_wall_ms();
	true_time_start(
	    &cluster->time, cluster->incarnation, cluster->started_ms);
	cluster->socket.data = cluster;
	cluster->timer.data = cluster;
	uv_udp_init(loop, &cluster->socket);
	uv_timer_init(loop, &cluster->timer);
	rc = uv_ip4_addr(
	    options->config->ip, options->config->peer_port, &address);
	if (rc == 0)
		rc = uv_udp_bind(
		    &cluster->socket, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&cluster->socket, on_alloc, on_datagram);
	if (rc != 0) {
		papaya_error_set(error, PAPAYA_ERROR_INTERNAL,
		    "cannot receive datagrams on %s:%d: %s",
		    options->config->ip, options->config->peer_port,
		    uv_strerror(rc));
		return NULL;
	}
	uv_timer_start(&cluster->timer, on_timer, 0, 0);
	return cluster;
}

void
cluster_refresh(cluster_t *cluster)
{
	check_silence(cluster, clock_boot_ms());
	cluster_send(cluster);
}

void
cluster_put(cluster_t *cluster, const char *name, const char *address)
{
	cluster_peer_t *peer;

	if (strcmp(name, cluster->options.config->name) == 0)
		return;
	peer = find_or_add(cluster, name);
	if (!conn_parse_address(address, &peer->address)) {
		log_event(LOG_LEVEL_WARN, "cluster.bad_address",
		    "node=%s address=%s", name, address);
		return;
	}
	if (peer->registered)
		return;
	peer->registered = true;
	cluster->registered++;
	log_event(LOG_LEVEL_INFO, "cluster.node_joined", "node=%s address=%s",
	    name, address);
}

void
cluster_remove(cluster_t *cluster, const char *name)
{
	cluster_peer_t *peer = g_hash_table_lookup(cluster->peers, name);

	if (peer == NULL || !peer->registered)
		return;
	peer->registered = false;
	cluster->registered--;
	log_event(LOG_LEVEL_INFO, "cluster.node_left",
	    "node=%s silent_ms=%" G_GINT64_FORMAT, name,
	    clock_boot_ms() - peer->heard_ms);
}

void
cluster_set_self(cluster_t *cluster, bool ready, int64_t configuration_version)
{
	cluster->ready = ready;
	cluster->configuration_version = configuration_version;
}

GPtrArray *
cluster_addresses(const cluster_t *cluster)
{
	GPtrArray *addresses = g_ptr_array_new();
	int64_t now_ms = clock_boot_ms();
	GHashTableIter iter;
	gpointer value;

	if (cluster->ready)
		g_ptr_array_add(
		    addresses, cluster->options.config->client_address);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered &&
		    cluster_is_heard(cluster, peer, now_ms) &&
		    peer->digest->ready)
			g_ptr_array_add(
			    addresses, peer->digest->client_address);
	}
	return addresses;
}

int64_t
cluster_wall_ms(const cluster_t *cluster)
{
	return true_time_now(&cluster->time, clock_boot_ms()) +
	       cluster->offset_ms;
}
