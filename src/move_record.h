#ifndef PAPAYA_MOVE_RECORD_H
#define PAPAYA_MOVE_RECORD_H

#include "settings.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum move_state {
	MOVE_RUNNING,
	MOVE_FINISHED,
	MOVE_ROLLED_BACK
} move_state_t;

enum { MOVE_STAGES = 5 };

/* Share of requests that go to the new version in each stage, 0..1. */
extern const double move_stage_share[MOVE_STAGES];

/*
 * A move as stored under its declaration key and its state key. Times are
 * wall-clock milliseconds.
 */
typedef struct move_record {
	char *id;
	char *service; /* TEAM/NAME */
	char *from;    /* old version */
	char *to;      /* new version */
	char *base;    /* version in the settings when the move started */
	int64_t base_revision; /* of those settings */
	char *reason;
	char *lease; /* id; "" in a declaration and in a final state */
	char *nonce; /* identifies the last write */
	move_policy_t policy;
	move_state_t state;
	unsigned stage;
	int64_t started_ms;
	int64_t stage_ms; /* when the stage began */
	int64_t deadline_ms;
	bool superseded; /* newer settings name another version */
} move_record_t;

move_record_t *move_record_copy(const move_record_t *record);
void move_record_free(move_record_t *record);

/* Frees the string and replaces it by a copy of value. */
void move_record_set_string(char **field, const char *value);

const char *move_state_name(move_state_t state);

/* Returns a new reference. */
json_t *move_record_to_json(const move_record_t *record);
/* Returns NULL and sets *error if a member is missing or invalid. */
move_record_t *move_record_parse(const json_t *json, GError **error);

/*
 * True if newer settings than those of the start name another version. current
 * and settings_revision are the version and the revision of the settings now.
 */
bool move_record_superseded(const move_record_t *record, const char *current,
    int64_t settings_revision);

/* Version that all requests go to once the move has ended as recorded. */
const char *move_record_final_version(const move_record_t *record,
    const char *current, int64_t settings_revision);

/*
 * Returns less than, equal to or greater than 0 if a is older than, equal to or
 * newer than b. Newer are, in this order: a move that started later, a final
 * state, a final state marked as superseded, a state as opposed to a
 * declaration, a higher stage.
 */
int move_record_compare(const move_record_t *a, const move_record_t *b);

#endif
