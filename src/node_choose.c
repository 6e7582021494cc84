#include "clock.h"
#include "node_call.h"

static backend_t *
choose(call_t *call, const char *version, GPtrArray *excluded)
{
	node_t *node = call->node;
	GPtrArray *candidates = g_ptr_array_new();
	route_query_t query = {
	    .policy = call->service->route_policy,
	    .zone = node->config->zone,
	    .version = version,
	    .prefix_hash = call->prefix,
	    .priority = call->priority,
	    .now_ms = clock_mono_ms(),
	    .random = node_random(node),
	    .excluded = excluded,
	};
	backend_t *backend;

	backends_of_service(node->backends, call->service->name, candidates);
	backend = route_choose(&query, candidates, node->calls->cache);
	g_ptr_array_free(candidates, TRUE);
	return backend;
}

backend_t *
call_choose(call_t *call)
{
	return choose(call, call->version, call->excluded);
}

bool
call_has_other(call_t *call)
{
	call_exclude(call, call->attempt->backend);
	return call_choose(call) != NULL;
}

void
call_exclude(call_t *call, backend_t *backend)
{
	if (!g_ptr_array_find(call->excluded, backend, NULL))
		g_ptr_array_add(call->excluded, backend_ref(backend));
}

/* Tokens of another version would not continue the response. */
static bool
version_is_bound(const call_t *call)
{
	return call->stream != NULL && stream_token_count(call->stream) > 0;
}

void
call_fall_back(call_t *call)
{
	if (version_is_bound(call))
		return;
	g_free(call->version);
	call->version = g_strdup(call->service->current);
}

void
call_pick_version(call_t *call)
{
	if (version_is_bound(call))
		return;
	g_free(call->version);
	call->version = g_strdup(node_moves_version(call->node, call->service));
	if (choose(call, call->version, NULL) == NULL)
		call_fall_back(call);
}

backend_t *
call_choose_or_wait(call_t *call)
{
	backend_t *backend = call_choose(call);
	int64_t now_ms = clock_mono_ms();

	if (backend != NULL) {
		call->without_backend_ms = 0;
		return backend;
	}
	counter_add(call->node->counters, 1, "backend_waits_total");
	/* All usable ones were tried: after a pause each may be tried again. */
	g_ptr_array_set_size(call->excluded, 0);
	call_pick_version(call);
	if (call->without_backend_ms == 0)
		call->without_backend_ms = now_ms;
	if (now_ms - call->without_backend_ms < NO_BACKEND_WAIT_MS) {
		call_wake_after(call, RETRY_PAUSE_MS);
		return NULL;
	}
	call_fail(call, PAPAYA_ERROR_NO_BACKEND,
	    "service %s has no usable backend server of version %s",
	    call->service->name, call->version);
	return NULL;
}
