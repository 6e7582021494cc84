#ifndef PAPAYA_GATEWAY_CONFIG_H
#define PAPAYA_GATEWAY_CONFIG_H

#include "region.h"

#include <glib.h>
#include <stdint.h>

/* Ports of the settings that are no number of a port. */
enum {
	GATEWAY_PORT_NONE = -1,
	GATEWAY_PORT_ANY = 0, /* the kernel assigns one */
};

/* Limits that operators set for the behaviour of every gateway node. */
typedef struct gateway_bounds {
	/*
	 * A draining backend server gets no new request after this time. Also
	 * taken as its remaining time if its entry in the store gives none.
	 */
	int64_t drain_ms;
	int64_t grace_ms;   /* from SIGTERM to SIGKILL */
	int64_t revoke_ms;  /* longest use of a withdrawn API key */
	int64_t lease_ms;   /* of the node's registration and leadership */
	double retry_ratio; /* retries per request of a service */
	double retry_extra; /* retries beyond the ratio, in one window */
	int64_t retry_window_ms;
	int64_t quota_window_ms; /* over which quotas are enforced */
	double quota_over_share; /* share by which a quota may be exceeded */
	double quota_over_units; /* units beyond that share, in one window */
	int64_t usage_window_ms; /* length of a reporting window */
	/* Latest report of a usage window, after the window's end. */
	int64_t usage_deadline_ms;
	double exposure_share; /* of requests that a bad version may get */
	double exposure_extra; /* requests beyond that share, per rollout */
	int64_t address_ttl_max_ms; /* for which clients may cache addresses */
} gateway_bounds_t;

/* Settings of the gateway of one entry host. Strings are owned. */
typedef struct gateway_config {
	char *name;
	char *zone;
	char *region;	       /* of the zone; NULL: unknown */
	region_map_t *regions; /* of the zones; NULL: unknown */
	char *ip;
	char *client_address;	 /* IP:PORT for client requests */
	char *ready_address;	 /* IP:PORT for readiness checks; may be NULL */
	char *directory_address; /* IP:PORT for address lists; may be NULL */
	int peer_port;		 /* UDP, for other gateway nodes */
	int metrics_port;	 /* GATEWAY_PORT_NONE: metrics are not served */
	char *store_url;
	char *cloud_url;   /* NULL: usage is not reported, nothing is scaled */
	double processors; /* that the process may use */
	unsigned sockets_max; /* file descriptors available for sockets */
	size_t memory_max;    /* of the process, in bytes; 0: no limit */
	/*
	 * Hedges per request of a service, see hedge.h. Set by the process's
	 * environment or options; 0: none.
	 */
	double hedge_share;
	/* Interval at which backend servers renew their entries. */
	int64_t server_heartbeat_ms;
	gateway_bounds_t bounds;
} gateway_config_t;

void gateway_config_free(gateway_config_t *config);

#endif
