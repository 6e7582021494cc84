#ifndef PAPAYA_CTL_DIR_H
#define PAPAYA_CTL_DIR_H

#include "settings.h"

/*
 * Reads DIR/services/NAME.json, DIR/backends/NAME.json and
 * DIR/workspaces/NAME.json into one tree and checks it for a team. The error
 * names the file in DIR.
 */
settings_tree_t *ctl_dir_load(
    const char *dir, const char *team, GError **error);

#endif
