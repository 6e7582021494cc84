#ifndef PAPAYA_REGION_H
#define PAPAYA_REGION_H

#include <glib.h>
#include <stdbool.h>

/*
 * Regions that a request may use. Load: some servers of a service, or some
 * hosts of the fleet, are in regions that the operators do not allow for a
 * route or a workspace, while servers fail and the configuration changes. Says
 * whether a request may go to a server in an availability zone, and which hosts
 * the directory names to a caller. What is not known to be allowed is not: a
 * zone of unknown region gets no request that has a rule. No I/O.
 *
 * A list of regions is a NULL-terminated array of names; NULL stands for all
 * regions, an empty list for none.
 */

/* Region of each availability zone of the deployment. */
typedef struct region_map region_map_t;

region_map_t *region_map_new(void);
void region_map_free(region_map_t *map);
/* Sets the region of a zone; the names are copied. */
void region_map_add(region_map_t *map, const char *zone, const char *region);
/* Region of a zone, borrowed; NULL where it is unknown or map is NULL. */
const char *region_map_find(const region_map_t *map, const char *zone);
/* True where the deployment has more than one region; false for NULL. */
bool region_map_has_many(const region_map_t *map);

/* A request may use the regions that are in both lists. Borrowed. */
typedef struct region_rule {
	const char *const *by_route;
	const char *const *by_workspace;
} region_rule_t;

/* True where the rule allows a server in the zone. */
bool region_rule_allows_zone(
    const region_rule_t *rule, const region_map_t *map, const char *zone);
/* False where the rule allows every server. */
bool region_rule_is_limited(const region_rule_t *rule);

/* New list of the regions in both lists; free with g_strfreev(). */
char **region_intersect(const char *const *left, const char *const *right);

/* A host that the directory may name. Strings are borrowed. */
typedef struct region_host {
	const char *address; /* IP:PORT for client requests */
	const char *region;  /* NULL: unknown */
	bool active;	     /* ready, and meant to carry client traffic */
	bool ready;
} region_host_t;

/* A caller of the directory, which asks for the hosts of a service. */
typedef struct region_caller {
	const char *region; /* NULL: unknown */
	/* Regions that all routes of the service allow. */
	const char *const *allowed;
} region_caller_t;

/*
 * Selects the hosts (region_host_t) to name: those in the caller's region or an
 * allowed one. The active ones of them; where there are none, those that are
 * ready, on standby; where there are none either, all. Returns their addresses
 * (borrowed char *), which may be none. The caller releases the array.
 */
GPtrArray *region_select_hosts(
    const GArray *hosts, const region_caller_t *caller);

#endif
