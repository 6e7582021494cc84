#include "cluster_state.h"

#include "clock.h"
#include "conn.h"
#include "error.h"
#include "log.h"
#include "turn.h"

#include <stdlib.h>
#include <string.h>

enum {
	MAINTENANCE_INTERVAL_MS = 150,
	/* Server loads in older digests are ignored. */
	LOAD_MAX_AGE_MS = 2000,
	/* Uptime in which a node copies bucket levels from older peers. Later
	 * its own levels are accurate. */
	STARTUP_MS = 2000,
};

static void
peer_free(gpointer data)
{
	cluster_peer_t *peer = data;

	g_free(peer->name);
	digest_free(peer->digest);
	g_hash_table_unref(peer->applied_units);
	g_free(peer);
}

static cluster_peer_t *
find_or_add_peer(cluster_t *cluster, const char *name)
{
	cluster_peer_t *peer = g_hash_table_lookup(cluster->peers, name);

	if (peer != NULL)
		return peer;
	peer = g_new0(cluster_peer_t, 1);
	peer->name = g_strdup(name);
	peer->applied_units =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(cluster->peers, peer->name, peer);
	return peer;
}

/*
 * True where this node has just started and the peer has run for longer. The
 * peer's spending since its start then includes units of earlier windows, so
 * its bucket level is copied instead. Nodes that start together have spent all
 * their units within the present window.
 */
static bool
should_adopt_levels(
    const cluster_t *cluster, const digest_t *digest, int64_t now_ms)
{
	return now_ms - cluster->started_ms < STARTUP_MS &&
	       digest->incarnation < cluster->incarnation - STARTUP_MS;
}

/* Charges the units that a peer has spent since its previous digest. */
static void
apply_spending(cluster_t *cluster, cluster_peer_t *peer, const digest_t *digest,
    int64_t now_ms)
{
	quota_t *quota = cluster->options.quota;
	bool adopt = should_adopt_levels(cluster, digest, now_ms);
	/* Reports to a node on standby cover seconds. */
	bool follow = !cluster->active && digest->active;

	for (guint i = 0; i < digest->spending->len; i++) {
		const digest_spending_t *item =
		    &g_array_index(digest->spending, digest_spending_t, i);
		double *applied_units =
		    g_hash_table_lookup(peer->applied_units, item->workspace);

		if (applied_units == NULL) {
			applied_units = g_new0(double, 1);
			if (adopt)
				*applied_units = item->spent_units;
			g_hash_table_insert(peer->applied_units,
			    g_strdup(item->workspace), applied_units);
			if (adopt)
				quota_adopt_level(quota, item->workspace,
				    item->bucket_level, now_ms);
		}
		if (follow)
			quota_follow_level(
			    quota, item->workspace, item->bucket_level, now_ms);
		else
			quota_apply_remote(quota, item->workspace,
			    item->spent_units - *applied_units,
			    peer->share_reserved_ms, now_ms);
		*applied_units = item->spent_units;
	}
	peer->share_reserved_ms = 0;
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
 * True where a newer digest of the same process, or one of a later process,
 * came first. A lower incarnation is accepted once the peer is unreachable: it
 * has restarted after its clock was set back.
 */
static bool
is_stale(const cluster_t *cluster, const cluster_peer_t *peer,
    const digest_t *digest, int64_t now_ms)
{
	const digest_t *newest = peer->digest;

	if (digest->incarnation == newest->incarnation)
		return digest->sequence <= newest->sequence;
	return digest->incarnation < newest->incarnation &&
	       cluster_is_peer_alive(cluster, peer, now_ms);
}

/* Passes on what a peer knows of the store. */
static void
report_peer_knowledge(cluster_t *cluster, const digest_t *digest)
{
	const cluster_options_t *options = &cluster->options;

	if (digest->store_era > cluster->local.store_era)
		options->on_peer_era(digest->store_era, options->data);
	if (digest->recorded_window > cluster->local.recorded_window)
		options->on_peer_record(digest->recorded_window, options->data);
	if (digest->configuration_version >
	    cluster->local.configuration_version)
		options->on_newer_configuration(options->data);
}

/* Takes ownership of digest. */
static void
apply_digest(cluster_t *cluster, digest_t *digest, int64_t now_ms)
{
	cluster_peer_t *peer = find_or_add_peer(cluster, digest->node);
	const digest_t *previous = peer->digest;
	bool is_new_process;

	if (previous != NULL && is_stale(cluster, peer, digest, now_ms)) {
		digest_free(digest);
		return;
	}
	is_new_process =
	    previous == NULL || digest->incarnation != previous->incarnation;
	if (is_new_process)
		g_hash_table_remove_all(peer->applied_units);
	peer->last_digest_ms = now_ms;
	peer->clock_offset_ms =
	    digest->wall_ms - slewed_clock_now(&cluster->wall_clock, now_ms);
	apply_spending(cluster, peer, digest, now_ms);
	apply_usage(cluster, digest);
	rollouts_merge_digest(cluster->options.rollouts, digest);
	crash_guard_merge_digest(
	    cluster->options.crash_guard, digest, cluster_wall_ms(cluster));
	digest_free(peer->digest);
	peer->digest = digest;
	if (is_new_process && peer->registered)
		cluster_send_digest_to(cluster, peer);
	if (peer->registered)
		report_peer_knowledge(cluster, digest);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	cluster_t *cluster = handle->data;

	*buffer = uv_buf_init(
	    cluster->receive_buffer, sizeof(cluster->receive_buffer));
}

void
cluster_send_datagram(
    cluster_t *cluster, const cluster_peer_t *peer, const GByteArray *datagram)
{
	uv_buf_t buffer = uv_buf_init((char *)datagram->data, datagram->len);

	/* Digests are periodic and relay requests are repeated. */
	(void)uv_udp_try_send(&cluster->socket, &buffer, 1,
	    (const struct sockaddr *)&peer->address);
}

static void
read_datagram(cluster_t *cluster, const char *bytes, size_t length,
    const struct sockaddr *from)
{
	digest_t *digest;

	if (cluster_handle_relay_datagram(cluster, bytes, length, from))
		return;
	digest = digest_decode(bytes, length);
	if (digest == NULL) {
		log_event(
		    LOG_LEVEL_WARN, "cluster.malformed", "bytes=%zu", length);
		return;
	}
	if (strcmp(digest->node, cluster->options.config->name) == 0)
		digest_free(digest);
	else
		apply_digest(cluster, digest, clock_boot_ms());
}

static void
on_datagram(uv_udp_t *socket, ssize_t length, const uv_buf_t *datagram,
    const struct sockaddr *from, unsigned flags)
{
	uint64_t since_ns = turn_clock_ns();

	if (length <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0)
		return;
	read_datagram(socket->data, datagram->base, (size_t)length, from);
	turn_note(TURN_PEER, since_ns);
}

static void
reset_peer_load(server_t *server, void *data)
{
	server->peer_load = (server_load_t){0};
}

static void
sum_peer_loads(cluster_t *cluster, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	pool_each(cluster->options.pool, reset_peer_load, NULL);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->digest == NULL ||
		    now_ms - peer->last_digest_ms > LOAD_MAX_AGE_MS)
			continue;
		for (guint i = 0; i < peer->digest->loads->len; i++) {
			const digest_load_t *item = &g_array_index(
			    peer->digest->loads, digest_load_t, i);
			server_t *server =
			    pool_find(cluster->options.pool, item->server_tag);

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

/*
 * Adds what a peer reports to be asked of it to the sums by workspace. A sum
 * becomes negative where a peer of an earlier version does not report it.
 */
static void
add_demand(GHashTable *sums, const digest_t *digest)
{
	for (guint i = 0; i < digest->spending->len; i++) {
		const digest_spending_t *item =
		    &g_array_index(digest->spending, digest_spending_t, i);
		double *sum = g_hash_table_lookup(sums, item->workspace);

		if (sum == NULL) {
			sum = g_new0(double, 1);
			g_hash_table_insert(sums, item->workspace, sum);
		}
		*sum = item->demand_per_s < 0 || *sum < 0
			   ? -1
			   : *sum + item->demand_per_s;
	}
}

static void
sum_demand(cluster_t *cluster, int64_t now_ms)
{
	/* Keys are borrowed from the digests. */
	GHashTable *sums =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->digest != NULL &&
		    cluster_is_peer_alive(cluster, peer, now_ms))
			add_demand(sums, peer->digest);
	}
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (*(double *)value >= 0)
			quota_set_remote_demand(cluster->options.quota, key,
			    *(double *)value, now_ms);
	g_hash_table_unref(sums);
}

/* Reserves the quota shares of registered peers that are unreachable. */
static void
update_liveness(cluster_t *cluster, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - cluster->liveness_checked_ms;
	GHashTableIter iter;
	gpointer value;

	cluster->liveness_checked_ms = now_ms;
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cluster_peer_t *peer = value;

		if (peer->registered &&
		    !cluster_is_peer_alive(cluster, peer, now_ms))
			peer->share_reserved_ms += elapsed_ms;
	}
	cluster_update_quota_nodes(cluster, now_ms);
}

static int
compare_offsets(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Computes the median offset of this clock and those of the alive peers. */
static void
update_clock_offset(cluster_t *cluster, int64_t now_ms)
{
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t local_offset_ms = 0;
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(offsets, local_offset_ms);
	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (cluster_is_peer_alive(cluster, peer, now_ms))
			g_array_append_val(offsets, peer->clock_offset_ms);
	}
	qsort(offsets->data, offsets->len, sizeof(int64_t), compare_offsets);
	cluster->clock_offset_ms =
	    g_array_index(offsets, int64_t, offsets->len / 2);
	g_array_unref(offsets);
}

static void
on_digest_timer(uv_timer_t *timer)
{
	cluster_t *cluster = timer->data;
	int64_t now_ms = clock_boot_ms();

	if (now_ms - cluster->maintained_ms >= MAINTENANCE_INTERVAL_MS) {
		cluster->maintained_ms = now_ms;
		slewed_clock_update(
		    &cluster->wall_clock, clock_wall_ms(), now_ms);
		update_clock_offset(cluster, now_ms);
		cluster_update_active(cluster, now_ms);
		update_liveness(cluster, now_ms);
		sum_peer_loads(cluster, now_ms);
		sum_demand(cluster, now_ms);
	}
	if (cluster_is_isolated(cluster))
		cluster_broadcast_digest(cluster);
	else
		cluster_send_due_digests(cluster);
	uv_timer_start(timer, on_digest_timer,
	    (uint64_t)cluster_digest_tick_ms(cluster), 0);
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
	cluster->active_peers = g_ptr_array_new();
	cluster->relayed_addresses = g_ptr_array_new_with_free_func(g_free);
	cluster->assembler = relay_assembler_new();
	cluster->started_ms = clock_boot_ms();
	cluster->liveness_checked_ms = cluster->started_ms;
	cluster->incarnation = clock_wall_ms();
	slewed_clock_init(
	    &cluster->wall_clock, cluster->incarnation, cluster->started_ms);
	cluster->socket.data = cluster;
	cluster->digest_timer.data = cluster;
	uv_udp_init(loop, &cluster->socket);
	uv_timer_init(loop, &cluster->digest_timer);
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
	uv_timer_start(&cluster->digest_timer, on_digest_timer, 0, 0);
	return cluster;
}

int
cluster_port(const cluster_t *cluster)
{
	struct sockaddr_in address = {0};
	int length = sizeof(address);

	uv_udp_getsockname(
	    &cluster->socket, (struct sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}

void
cluster_apply_registrations(cluster_t *cluster)
{
	int64_t now_ms = clock_boot_ms();

	cluster_update_active(cluster, now_ms);
	update_liveness(cluster, now_ms);
}

void
cluster_put_node(cluster_t *cluster, const char *name, const char *address)
{
	cluster_peer_t *peer;

	if (strcmp(name, cluster->options.config->name) == 0)
		return;
	peer = find_or_add_peer(cluster, name);
	if (!conn_parse_address(address, &peer->address)) {
		log_event(LOG_LEVEL_WARN, "cluster.bad_address",
		    "node=%s address=%s", name, address);
		return;
	}
	if (peer->registered)
		return;
	peer->registered = true;
	cluster->registered_peers++;
	/* Its first digest has arrived before its address was known. */
	if (peer->digest != NULL)
		cluster_send_digest_to(cluster, peer);
	log_event(LOG_LEVEL_INFO, "cluster.node_joined", "node=%s address=%s",
	    name, address);
}

void
cluster_remove_node(cluster_t *cluster, const char *name)
{
	cluster_peer_t *peer = g_hash_table_lookup(cluster->peers, name);

	if (peer == NULL || !peer->registered)
		return;
	peer->registered = false;
	cluster->registered_peers--;
	log_event(LOG_LEVEL_INFO, "cluster.node_left",
	    "node=%s silent_ms=%" G_GINT64_FORMAT, name,
	    clock_boot_ms() - peer->last_digest_ms);
}

void
cluster_set_local_state(cluster_t *cluster, const cluster_local_state_t *state)
{
	bool became_ready = state->ready && !cluster->local.ready;
	int64_t tick_ms = cluster_digest_tick_ms(cluster);
	int64_t now_ms = clock_boot_ms();

	cluster->local = *state;
	if (became_ready)
		cluster->ready_since_ms = now_ms;
	cluster_update_active(cluster, now_ms);
	if (became_ready)
		cluster_broadcast_digest(cluster);
	if (cluster_digest_tick_ms(cluster) < tick_ms)
		uv_timer_start(&cluster->digest_timer, on_digest_timer, 0, 0);
}

int64_t
cluster_newest_configuration(
    const cluster_t *cluster, bool ready_only, int64_t now_ms)
{
	int64_t newest = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cluster_peer_t *peer = value;

		if (peer->registered &&
		    cluster_is_peer_alive(cluster, peer, now_ms) &&
		    (!ready_only || peer->digest->ready))
			newest =
			    MAX(newest, peer->digest->configuration_version);
	}
	return newest;
}

int64_t
cluster_wall_ms(const cluster_t *cluster)
{
	return slewed_clock_now(&cluster->wall_clock, clock_boot_ms()) +
	       cluster->clock_offset_ms;
}
