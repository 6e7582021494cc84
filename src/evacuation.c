#include "evacuation.h"

struct evacuation {
	GHashTable *zones; /* set of names (char *), owned */
};

evacuation_t *
evacuation_new(void)
{
	evacuation_t *evacuation = g_new0(evacuation_t, 1);

	evacuation->zones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return evacuation;
}

void
evacuation_free(evacuation_t *evacuation)
{
	if (evacuation == NULL)
		return;
	g_hash_table_unref(evacuation->zones);
	g_free(evacuation);
}

bool
evacuation_begin(evacuation_t *evacuation, const char *zone)
{
	return g_hash_table_add(evacuation->zones, g_strdup(zone));
}

bool
evacuation_end(evacuation_t *evacuation, const char *zone)
{
	return g_hash_table_remove(evacuation->zones, zone);
}

unsigned
evacuation_count(const evacuation_t *evacuation)
{
	return g_hash_table_size(evacuation->zones);
}

bool
evacuation_has(const evacuation_t *evacuation, const char *zone)
{
	return evacuation_count(evacuation) > 0 &&
	       g_hash_table_contains(evacuation->zones, zone);
}
