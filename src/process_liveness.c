#include "process_liveness.h"

enum {
	/* A response may have been under way when the connection broke. */
	RESPONSE_MARGIN_MS = 200,
	/* For a server that starts again to be in service discovery. */
	REGISTRATION_MS = 3000,
	PROCESSES_MAX = 4096,
};

typedef struct process {
	int64_t crashed_ms;   /* last report */
	int64_t responded_ms; /* first response after it; 0: none */
	int64_t alive_ms;     /* proven; 0: never */
} process_t;

struct process_liveness {
	GHashTable *by_hash; /* uint32_t to process_t */
};

process_liveness_t *
process_liveness_new(void)
{
	process_liveness_t *processes = g_new0(process_liveness_t, 1);

	processes->by_hash = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return processes;
}

void
process_liveness_free(process_liveness_t *processes)
{
	if (processes == NULL)
		return;
	g_hash_table_unref(processes->by_hash);
	g_free(processes);
}

static process_t *
find_process(const process_liveness_t *processes, uint32_t hash)
{
	return g_hash_table_lookup(processes->by_hash, GUINT_TO_POINTER(hash));
}

/* NULL where there is no room. */
static process_t *
find_or_add_process(process_liveness_t *processes, uint32_t hash)
{
	process_t *process = find_process(processes, hash);

	if (process != NULL ||
	    g_hash_table_size(processes->by_hash) >= PROCESSES_MAX)
		return process;
	process = g_new0(process_t, 1);
	g_hash_table_insert(
	    processes->by_hash, GUINT_TO_POINTER(hash), process);
	return process;
}

bool
process_liveness_add_crash(
    process_liveness_t *processes, uint32_t hash, int64_t crashed_ms)
{
	process_t *process = find_or_add_process(processes, hash);

	if (process == NULL)
		return true;
	if (crashed_ms <= process->alive_ms)
		return false;
	if (crashed_ms > process->crashed_ms) {
		process->crashed_ms = crashed_ms;
		process->responded_ms = 0;
	}
	return true;
}

bool
process_liveness_add_response(process_liveness_t *processes, uint32_t hash,
    int64_t now_ms, int64_t confirmed_ms)
{
	process_t *process = find_process(processes, hash);

	if (process == NULL || process->alive_ms >= process->crashed_ms ||
	    now_ms < process->crashed_ms + RESPONSE_MARGIN_MS)
		return false;
	if (process->responded_ms == 0)
		process->responded_ms = now_ms;
	if (confirmed_ms < process->responded_ms + REGISTRATION_MS)
		return false;
	process->alive_ms = process->responded_ms;
	return true;
}

bool
process_liveness_merge(
    process_liveness_t *processes, uint32_t hash, int64_t alive_ms)
{
	process_t *process = find_or_add_process(processes, hash);

	if (process == NULL || alive_ms <= process->alive_ms)
		return false;
	process->alive_ms = alive_ms;
	return true;
}

int64_t
process_liveness_alive_ms(const process_liveness_t *processes, uint32_t hash)
{
	const process_t *process = find_process(processes, hash);

	return process == NULL ? 0 : process->alive_ms;
}

void
process_liveness_each(const process_liveness_t *processes,
    void (*callback)(uint32_t process, int64_t alive_ms, void *data),
    void *data)
{
	GHashTableIter iter;
	gpointer hash, value;

	g_hash_table_iter_init(&iter, processes->by_hash);
	while (g_hash_table_iter_next(&iter, &hash, &value)) {
		const process_t *process = value;

		if (process->alive_ms != 0)
			callback(
			    GPOINTER_TO_UINT(hash), process->alive_ms, data);
	}
}

void
process_liveness_sweep(process_liveness_t *processes, int64_t since_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, processes->by_hash);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const process_t *process = value;

		if (MAX(process->crashed_ms, process->alive_ms) < since_ms)
			g_hash_table_iter_remove(&iter);
	}
}
