#ifndef PAPAYA_CTL_H
#define PAPAYA_CTL_H

#include "ctl_client.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit codes of papayactl. */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,
	CTL_USAGE = 2, /* wrong command line, or invalid settings */
	CTL_ROLLED_BACK = 3,
	CTL_UNDECIDED = 4,
} ctl_exit_t;

/* Options and API client of one run of papayactl. Strings are borrowed. */
typedef struct ctl {
	const char *operand; /* DIR, SERVICE or NODE; NULL if none */
	const char *team;
	const char *author;
	const char *message;
	const char *to_version;
	const char *format;
	int64_t revision; /* that DIR is based on; -1: not given */
	int within_s;
	int wait_timeout_s;
	bool wait;
	bool json;
	ctl_client_t *client;
} ctl_t;

/* papayactl's main(). */
int ctl_main(int argc, char **argv);

ctl_exit_t ctl_validate(ctl_t *ctl);
ctl_exit_t ctl_diff(ctl_t *ctl);
ctl_exit_t ctl_apply(ctl_t *ctl);
ctl_exit_t ctl_get(ctl_t *ctl);
ctl_exit_t ctl_history(ctl_t *ctl);
ctl_exit_t ctl_move_start(ctl_t *ctl);
ctl_exit_t ctl_move_status(ctl_t *ctl);
ctl_exit_t ctl_nodes(ctl_t *ctl);
ctl_exit_t ctl_drain(ctl_t *ctl);
ctl_exit_t ctl_report(ctl_t *ctl);

/*
 * Waits until every live node has this revision of the team's settings, or a
 * later one, in effect. On timeout, prints an error and returns false.
 */
bool ctl_wait_in_effect(ctl_t *ctl, int64_t revision);

/* Prints a line on stderr, prefixed with "papayactl: ". */
void ctl_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Prints the error and remedy of a failed call; returns the exit code. */
ctl_exit_t ctl_print_failure(const ctl_reply_t *reply);

/* Prints JSON on stdout, indented, with sorted keys. */
void ctl_print_json(const json_t *json);

#endif
