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

/* Share of requests to the new version at each stage. */
extern const double move_stage_share[MOVE_STAGES];

/*
 * A move as the store holds it, in the declaration and in the state. Times are
 * wall-clock milliseconds.
 */
typedef struct move_record {
	char *id;
	char *service; /* TEAM/NAME */
	char *from;
	char *to;
	char *base; /* current version in the settings at the start */
	int64_t base_revision; /* of those settings */
	char *reason;
	char *lease; /* of the state while it runs; "" in a declaration */
	char *nonce; /* of the last write */
	move_policy_t policy;
	move_state_t state;
	unsigned stage;
	int64_t started_ms;
	int64_t stage_ms; /* when the stage began */
	int64_t deadline_ms;
	bool superseded; /* settings have named another version since */
} move_record_t;

move_record_t *move_record_copy(const move_record_t *record);
void move_record_free(move_record_t *record);

/* Replaces one of the record's strings by a copy. */
void move_record_set_string(char **field, const char *value);

const char *move_state_name(move_state_t state);

json_t *move_record_to_json(const move_record_t *record);
/* NULL and *error where a member is missing, mistyped or out of range. */
move_record_t *move_record_parse(const json_t *json, GError **error);

/* True where newer settings name another version than at the start. */
bool move_record_superseded(const move_record_t *record, const char *current,
    int64_t settings_revision);

/* Version that requests go to once the move has ended as recorded. */
const char *move_record_final_version(const move_record_t *record,
    const char *current, int64_t settings_revision);

/*
 * Order in which records of one service replace each other: a later move, a
 * final state over a running one, a higher stage. Less than, equal to, or
 * greater than 0.
 */
int move_record_compare(const move_record_t *a, const move_record_t *b);

#endif
