#ifndef PAPAYA_CTL_DIR_H
#define PAPAYA_CTL_DIR_H

#include "settings.h"

/*
 * Reads DIR/services/NAME.json, DIR/backends/NAME.json and
 * DIR/workspaces/NAME.json into one tree and validates it as the settings of
 * a team. The error names the file in DIR. Free with settings_tree_unref().
 */
settings_tree_t *ctl_dir_load(
    const char *dir, const char *team, GError **error);

#endif
