#ifndef PAPAYA_GATEWAY_H
#define PAPAYA_GATEWAY_H

#include "gateway_config.h"

#include <glib.h>
#include <uv.h>

/*
 * The daemon of an entry host on the users' platform: an HTTP/1.1 gateway
 * between clients and backend servers. It is never freed; it lives until the
 * process ends.
 */
typedef struct gateway gateway_t;

/*
 * Owns config from now on, also after a failure. Returns NULL with *error set
 * if an address cannot be listened on; the process is then expected to exit.
 */
gateway_t *gateway_start(
    uv_loop_t *loop, gateway_config_t *config, GError **error);

/*
 * Applies the bounds of config and frees it. The other settings, and bounds
 * that were copied at the start, need a restart.
 */
void gateway_reload(gateway_t *gateway, gateway_config_t *config);

/*
 * Starts a graceful shutdown. Calls on_drained(drain_data) once no request is
 * in progress, or shortly before the end of grace_ms with requests in progress.
 * Further calls have no effect.
 */
void gateway_drain(
    gateway_t *gateway, void (*on_drained)(void *data), void *drain_data);

#endif
