#ifndef PAPAYA_NODE_H
#define PAPAYA_NODE_H

#include "backend.h"
#include "counter.h"
#include "http_client.h"
#include "http_server.h"
#include "message.h"
#include "route.h"
#include "settings.h"
#include "store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* The daemon's configuration file. */
typedef struct node_config {
	char *name;
	char *zone;
	char *address; /* IP number that clients and nodes use */
	int http_port; /* 0: chosen by the kernel */
	int peer_port; /* 0: chosen by the kernel */
	char *store_url;
	char *cloud_url;   /* NULL: none */
	char **teams;	   /* whose settings are served; NULL at the end */
	char **peers;	   /* IP:PORT to ask when the store is out */
	unsigned mesh_max; /* nodes up to which all are connected; 0: default */
	unsigned ledger_partitions;
	uint64_t seed; /* of the random numbers; 0: from the system */
	int64_t drain_timeout_ms;
} node_config_t;

node_config_t *node_config_load(const char *file, GError **error);
void node_config_free(node_config_t *config);

typedef struct node_calls node_calls_t;
typedef struct node_books node_books_t;
typedef struct node_settings node_settings_t;
typedef struct node_peers node_peers_t;
typedef struct node_moves node_moves_t;
typedef struct node_reports node_reports_t;
typedef struct node_backends node_backends_t;
typedef struct node_admin node_admin_t;

/* One papayad process. Owned by its main; every part borrows it. */
typedef struct node {
	uv_loop_t *loop;
	node_config_t *config;
	counters_t *counters;
	http_client_t *http;
	http_server_t *server;
	store_t *store;
	settings_t *settings;
	backends_t *backends;
	GRand *rand;
	int64_t incarnation;
	bool draining;
	/* Parts, each owned by the file of its name. */
	node_calls_t *calls;
	node_books_t *books;
	node_settings_t *settings_part;
	node_peers_t *peers;
	node_moves_t *moves;
	node_reports_t *reports;
	node_backends_t *backends_part;
	node_admin_t *admin;
} node_t;

node_t *node_start(uv_loop_t *loop, node_config_t *config, GError **error);

/* Begins a graceful shutdown; done is called once nothing runs any more. */
void node_drain(node_t *node, void (*done)(node_t *node));

void node_free(node_t *node);

/* From the configured seed: repeats at nodes of the same seed. */
uint64_t node_random(node_t *node);
/* For nonces and ids: from the system, whatever the seed. */
uint64_t node_unique(node_t *node);

/*
 * Parts. Each start function sets its pointer in the node; each handle
 * function returns true where the request's path is its own.
 */
void node_calls_start(node_t *node);
void node_calls_free(node_t *node);
bool node_calls_handle(node_t *node, http_request_t *request);

/* Prefix-cache knowledge that routing uses; fed by node_backend. */
route_prefix_index_t *node_calls_cache(node_t *node);

/* Hands queued requests to a peer in another zone; the rest is finished. */
void node_calls_drain(node_t *node);

void node_books_start(node_t *node);
void node_books_free(node_t *node);
/*
 * Serves a non-idempotent request to a plain service. left_ms: of the client's
 * deadline, after the time in the queue.
 */
void node_books_serve(node_t *node, http_request_t *request,
    const service_t *service, settings_tree_t *tree, const char *path,
    int64_t left_ms);
/* Keys in progress, such as outcomes to be written; a drain waits for them. */
unsigned node_books_active(const node_t *node);
void node_books_message(
    node_t *node, const message_t *message, const char *from);

void node_settings_start(node_t *node);
void node_settings_free(node_t *node);
bool node_settings_handle(node_t *node, http_request_t *request);
void node_settings_message(
    node_t *node, const message_t *message, const char *from);

bool node_peers_start(node_t *node, GError **error);
void node_peers_free(node_t *node);
int node_peers_port(const node_t *node);
bool node_peers_handle(node_t *node, http_request_t *request);
/* Leaves the entry list and tells the peers. */
void node_peers_drain(node_t *node);
/* True once the record in the store is removed, or that has failed. */
bool node_peers_left(const node_t *node);
/*
 * HTTP IP:PORT of a live node of another zone, valid until the event loop
 * runs on; NULL if there is none.
 */
const char *node_peers_other_zone(node_t *node);
/* Sends to every node in contact, or to one by name. */
void node_peers_broadcast(node_t *node, const message_t *message);
void node_peers_send(node_t *node, const char *to, const message_t *message);
/* Calls visit for every other node that is not gone. */
void node_peers_each(node_t *node,
    void (*visit)(const char *name, const char *http_address, void *data),
    void *data);
/* True where this node is one of its zone's nodes that watch the store. */
bool node_peers_watches_store(node_t *node, const char *team);
/*
 * True where this node is one of the two that observe a key (a backend
 * server's name, or "cloud") in a zone.
 */
bool node_peers_observes(node_t *node, const char *zone, const char *key);
/* Takes a node out of use whose host leaves. */
void node_peers_leave(node_t *node, const char *host);

void node_moves_start(node_t *node);
void node_moves_free(node_t *node);
bool node_moves_handle(node_t *node, http_request_t *request);
void node_moves_message(
    node_t *node, const message_t *message, const char *from);
/* True where delegates pass a move message on to other zones. */
bool node_moves_relays(const message_t *message);
/* Version for a new request; valid until the next settings change. */
const char *node_moves_version(node_t *node, const service_t *service);
/*
 * Evidence of one finished attempt. first_ms: to the first token or answer, or
 * more where the pace between tokens is worse by its objective.
 */
void node_moves_observe(node_t *node, const service_t *service,
    const char *version, const char *route, bool ok, double first_ms);

void node_reports_start(node_t *node);
void node_reports_free(node_t *node);
bool node_report_handle(node_t *node, http_request_t *request);
/* Counts one finished attempt against the service's objective. */
void node_report_count(node_t *node, const service_t *service,
    const char *version, bool ok, double first_ms);

void node_admin_start(node_t *node);
void node_admin_free(node_t *node);
bool node_admin_handle(node_t *node, http_request_t *request);

void node_backends_start(node_t *node);
void node_backends_free(node_t *node);
void node_backends_message(
    node_t *node, const message_t *message, const char *from);
/* Tells a node that has just been connected which hosts leave. */
void node_backends_greet(node_t *node, const char *to);

#endif
