#ifndef PAPAYA_FRONT_H
#define PAPAYA_FRONT_H

#include "front_config.h"

#include <glib.h>
#include <uv.h>

/* The daemon of an entry host on the users' platform; it and its parts live
 * until the process ends. */
typedef struct front front_t;

/* Takes over config. NULL with *error set where it cannot listen. */
front_t *front_start(uv_loop_t *loop, front_config_t *config, GError **error);

/* Takes over the bounds of newer settings; frees config. */
void front_reload(front_t *front, front_config_t *config);

/* Leaves: done is called once no request is in progress, or in time. */
void front_drain(front_t *front, void (*done)(void *data), void *data);

#endif
