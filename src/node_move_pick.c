#include "clock.h"
#include "node_move.h"

#include <string.h>

static bool
has_usable_backend(node_t *node, const char *service, const char *version)
{
	GPtrArray *backends = g_ptr_array_new();
	int64_t now_ms = clock_mono_ms();
	bool usable = false;

	backends_of_service(node->backends, service, backends);
	for (guint i = 0; i < backends->len && !usable; i++) {
		const backend_t *backend = backends->pdata[i];

		usable = strcmp(backend->version, version) == 0 &&
			 backend_usable(backend, now_ms);
	}
	g_ptr_array_free(backends, TRUE);
	return usable;
}

/*
 * Replaces a version without usable backend servers by the other version of the
 * move, but never by a new version whose share of requests is 0, as after a
 * stop.
 */
static const char *
version_with_backend(node_t *node, const service_t *service, const move_t *move,
    const char *version)
{
	const move_record_t *record = move_record(move);
	const char *other = record->from;

	if (has_usable_backend(node, service->name, version))
		return version;
	if (strcmp(version, record->from) == 0)
		other = move_new_version_share(move, clock_wall_ms()) > 0
			    ? record->to
			    : version;
	return has_usable_backend(node, service->name, other) ? other : version;
}

const char *
node_moves_version(node_t *node, const service_t *service)
{
	service_move_t *entry = node_move_find(node, service->name);
	const char *version;
	int64_t revision;

	if (entry == NULL)
		return service->current;
	node_move_service_settings(node, service->name, &revision);
	if (move_record_superseded(
		move_record(entry->move), service->current, revision))
		return service->current;
	version = move_select_version(
	    entry->move, clock_wall_ms(), node_random(node));
	version = version_with_backend(node, service, entry->move, version);
	/*
	 * The result must outlive the record. Interned strings are never freed,
	 * which is acceptable as there are few versions.
	 */
	return g_intern_string(version);
}

void
node_moves_observe(node_t *node, const service_t *service, const char *version,
    const char *route, bool ok, double latency_ms)
{
	service_move_t *entry = node_move_find(node, service->name);

	node_report_count(node, service, version, ok, latency_ms);
	if (entry == NULL)
		return;
	move_observe(
	    entry->move, version, route, ok, latency_ms, clock_wall_ms());
	/* Broadcasts a stop at once instead of at the next tick. */
	if (move_stop_broadcast_due(entry->move))
		node_move_execute_actions(node, entry);
}
