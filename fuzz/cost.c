/*
 * Second mode of the fuzz targets: looks for inputs that cost more than a
 * number of steps a byte. The cost is a count, not a time: edges run, and bytes
 * that the functions below handle. Linked with each target, whose entry point
 * the build renames to fuzz_target_one_input(); see scripts/fuzz-cost.sh.
 */
#include <glib.h>
#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifndef COST_PER_BYTE
#define COST_PER_BYTE 200
#endif

enum {
	COST_BASE = 200 * 1000,
	/* Steps of the cost a byte that count as new to the fuzzer. */
	LEVELS_PER_OCTAVE = 4,
	LEVELS = 128,
};

int fuzz_target_one_input(const uint8_t *bytes, size_t length);

/* libFuzzer takes each counter that is set for a feature of the input. */
__attribute__((
    section("__libfuzzer_extra_counters"))) static uint8_t levels[LEVELS];

static uint64_t cost;

void
__wrap___sanitizer_cov_trace_pc(void)
{
	cost++;
}

void *__real_memchr(const void *s, int c, size_t n);
void *__real_memmem(const void *s, size_t n, const void *t, size_t m);
void *__real_memmove(void *to, const void *from, size_t n);
void *__real_memcpy(void *to, const void *from, size_t n);
size_t __real_strlen(const char *s);
gpointer __real_g_malloc(gsize n);
gpointer __real_g_realloc(gpointer old, gsize n);
GString *__real_g_string_insert_len(
    GString *s, gssize pos, const gchar *val, gssize n);
GString *__real_g_string_append_len(GString *s, const gchar *val, gssize n);
GString *__real_g_string_erase(GString *s, gssize pos, gssize n);

/* Bytes that a search has looked at. */
static size_t
searched(const void *start, const void *found, size_t length)
{
	return found == NULL
		   ? length
		   : (size_t)((const char *)found - (const char *)start);
}

void *
__wrap_memchr(const void *s, int c, size_t n)
{
	void *found = __real_memchr(s, c, n);

	cost += searched(s, found, n);
	return found;
}

void *
__wrap_memmem(const void *s, size_t n, const void *t, size_t m)
{
	void *found = __real_memmem(s, n, t, m);

	cost += searched(s, found, n);
	return found;
}

void *
__wrap_memmove(void *to, const void *from, size_t n)
{
	cost += n;
	return __real_memmove(to, from, n);
}

void *
__wrap_memcpy(void *to, const void *from, size_t n)
{
	cost += n;
	return __real_memcpy(to, from, n);
}

size_t
__wrap_strlen(const char *s)
{
	size_t length = __real_strlen(s);

	cost += length;
	return length;
}

gpointer
__wrap_g_malloc(gsize n)
{
	cost += n;
	return __real_g_malloc(n);
}

gpointer
__wrap_g_realloc(gpointer old, gsize n)
{
	cost += n;
	return __real_g_realloc(old, n);
}

GString *
__wrap_g_string_insert_len(GString *s, gssize pos, const gchar *val, gssize n)
{
	cost += s->len + (gsize)MAX(n, 0);
	return __real_g_string_insert_len(s, pos, val, n);
}

GString *
__wrap_g_string_append_len(GString *s, const gchar *val, gssize n)
{
	cost += (gsize)MAX(n, 0);
	return __real_g_string_append_len(s, val, n);
}

GString *
__wrap_g_string_erase(GString *s, gssize pos, gssize n)
{
	/* What follows the erased bytes is moved. */
	cost += s->len - (gsize)pos - (gsize)MAX(n, 0);
	return __real_g_string_erase(s, pos, n);
}

static void
report_highest(uint64_t total, size_t length, double per_byte)
{
	static double highest;

	if (per_byte <= highest || g_getenv("COST_REPORT") == NULL)
		return;
	highest = per_byte;
	fprintf(stderr, "cost: %.1f a byte (%lu for %zu bytes)\n", per_byte,
	    (unsigned long)total, length);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	double per_byte;
	int level;

	cost = 0;
	fuzz_target_one_input(bytes, length);
	per_byte = cost <= COST_BASE
		       ? 0
		       : (double)(cost - COST_BASE) / (double)MAX(length, 1);
	report_highest(cost, length, per_byte);
	level = (int)(LEVELS_PER_OCTAVE * log2(1 + per_byte));
	levels[CLAMP(level, 0, LEVELS - 1)] = 1;
	if (per_byte > COST_PER_BYTE) {
		fprintf(stderr, "violated: cost of %.0f a byte (%zu bytes)\n",
		    per_byte, length);
		abort();
	}
	return 0;
}
