#ifndef PAPAYA_CLOUD_H
#define PAPAYA_CLOUD_H

#include "http_client.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Client of the cloud API for hosts and reclaim notices. No other module
 * depends on the protocol of the API.
 */
typedef struct cloud cloud_t;

typedef enum cloud_status {
	CLOUD_OK,
	CLOUD_NO_CAPACITY, /* nothing was created */
	CLOUD_NOT_FOUND,   /* no such host */
	CLOUD_FAILED, /* no usable response; a change may have taken effect */
} cloud_status_t;

typedef enum cloud_host_state {
	CLOUD_HOST_LIVE,
	CLOUD_HOST_LEAVING,
	CLOUD_HOST_GONE,
} cloud_host_state_t;

typedef struct cloud_host {
	const char *host;
	const char *zone;
	const char *class; /* "" in a notice */
	bool reclaimable;  /* not set in a notice */
	cloud_host_state_t state;
	int64_t leave_at_ms; /* wall clock time; 0: not leaving */
} cloud_host_t;

/* Valid during the callback only. */
typedef struct cloud_result {
	cloud_status_t status;
	const cloud_host_t *hosts; /* listed, notified or created */
	size_t host_count;
	int64_t next_after; /* "after" of the next poll for notices */
} cloud_result_t;

typedef void (*cloud_callback_t)(const cloud_result_t *result, void *data);

/*
 * timeout_ms bounds each call; a poll for notices may take its wait_ms in
 * addition.
 */
cloud_t *cloud_new(http_client_t *http, const char *url, int64_t timeout_ms);
/* Cancels all calls; their callbacks are not called. */
void cloud_free(cloud_t *cloud);

/* The list of the cloud lags behind the actual state of the hosts. */
void cloud_list_hosts(cloud_t *cloud, cloud_callback_t on_complete, void *data);

/* Long poll for notices after a number; waits up to wait_ms if none. */
void cloud_poll_notices(cloud_t *cloud, int64_t after, int64_t wait_ms,
    cloud_callback_t on_complete, void *data);

void cloud_create_host(cloud_t *cloud, const char *zone, const char *class,
    bool reclaimable, cloud_callback_t on_complete, void *data);

void cloud_delete_host(
    cloud_t *cloud, const char *host, cloud_callback_t on_complete, void *data);

#endif
