#ifndef PAPAYA_GATEWAY_H
#define PAPAYA_GATEWAY_H

#include "gateway_config.h"

#include <glib.h>
#include <uv.h>

/* The daemon of an entry host on the users' platform; it and its parts live
 * until the process ends. */
typedef struct gateway gateway_t;

/* Takes over config. NULL with *error set where it cannot listen. */
gateway_t *gateway_start(
    uv_loop_t *loop, gateway_config_t *config, GError **error);

/* Takes over the bounds of newer settings; frees config. */
void gateway_reload(gateway_t *gateway, gateway_config_t *config);

/* Leaves: done is called once no request is in progress, or in time. */
void gateway_drain(
    gateway_t *gateway, void (*on_drained)(void *data), void *drain_data);

#endif
