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
	CTL_USAGE = 2, /* usage or bad input */
	CTL_ROLLED_BACK = 3,
	CTL_UNDECIDED = 4,
} ctl_exit_t;

/* One run of papayactl: its options and its client. Owned by ctl_main(). */
typedef struct ctl {
	const char *operand; /* DIR, SERVICE or NODE; NULL if none */
	const char *team;
	const char *author;
	const char *message;
	const char *to_version;
	const char *format;
	int64_t revision; /* -1: not given */
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
 * Waits until every node has a revision of the team, or a higher one, in
 * effect. False, with a message on stderr, after the time limit.
 */
bool ctl_wait_in_effect(ctl_t *ctl, int64_t revision);

/* Prints "papayactl: ..." on stderr. */
void ctl_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Prints a failed reply's message and remedy; returns the exit code. */
ctl_exit_t ctl_print_failure(const ctl_reply_t *reply);

/* Prints JSON on stdout, indented, with sorted names. */
void ctl_print_json(const json_t *json);

#endif
