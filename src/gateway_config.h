#ifndef PAPAYA_GATEWAY_CONFIG_H
#define PAPAYA_GATEWAY_CONFIG_H

#include <glib.h>
#include <stdint.h>

/* What the operators promise to clients and expect from a node. */
typedef struct gateway_bounds {
	int64_t drain_ms;   /* last new request to a leaving backend server */
	int64_t grace_ms;   /* from SIGTERM to SIGKILL */
	int64_t revoke_ms;  /* longest use of a withdrawn key */
	int64_t lease_ms;   /* of the singleton duties */
	double retry_ratio; /* repeats for each request of a service */
	double retry_extra; /* repeats beyond the ratio, in one window */
	int64_t retry_window_ms;
	int64_t quota_window_ms; /* in which quotas are judged */
	double quota_over_share; /* share by which one may be passed there */
	double quota_over_units; /* units beyond that share */
	int64_t usage_window_ms;
	int64_t usage_deadline_ms; /* after the end of a usage window */
	double exposure_share;	   /* of requests that a bad version may get */
	double exposure_extra;	   /* requests beyond that share, in one move */
	int64_t address_ttl_max_ms; /* that clients keep an address list */
} gateway_bounds_t;

/* Settings of one entry host's daemon. */
typedef struct gateway_config {
	char *name;
	char *zone;
	char *ip;
	char *client_address;	 /* IP:PORT for requests */
	char *ready_address;	 /* IP:PORT for readiness checks; may be NULL */
	char *directory_address; /* IP:PORT for address questions; or NULL */
	int peer_port;		 /* UDP, for other nodes */
	int metrics_port;
	char *store_url;
	char *cloud_url;      /* NULL: no singleton duties */
	unsigned sockets_max; /* for sockets */
	gateway_bounds_t bounds;
} gateway_config_t;

void gateway_config_free(gateway_config_t *config);

#endif
