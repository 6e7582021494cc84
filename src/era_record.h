#ifndef PAPAYA_ERA_RECORD_H
#define PAPAYA_ERA_RECORD_H

#include "lease.h"
#include "platform_store.h"

#include <stdbool.h>

/*
 * The store's era as the leader has recorded it in the store. A store that was
 * restored from a copy shows the record of an earlier era: so a node that
 * starts afterwards learns of the restoration, whichever era the store began
 * with.
 */
typedef struct era_record era_record_t;

extern const char era_record_key[];

typedef struct era_record_options {
	platform_store_t *store;
	lease_t *lease;
	/* No record is written so soon after a restoration, as leaders of the
	 * time before may still act. */
	int64_t lease_ms;
} era_record_options_t;

/* Never freed; borrows what the options name. */
era_record_t *era_record_new(const era_record_options_t *options);

/* The key has been read; value NULL: it has been removed. */
void era_record_set(era_record_t *record, const char *value, size_t length);

/* A registered node started in this era of the store; value as for the record.
 */
void era_record_note_start(
    era_record_t *record, const char *value, size_t length);

/* Another key that a leader has written has been read. */
void era_record_note_leader_key(era_record_t *record);

/* All keys have been read, at the start or after a restoration. */
void era_record_list_complete(era_record_t *record);

/* The store has been restored while the node runs. */
void era_record_restore(era_record_t *record);

/*
 * True where the store may have been restored shortly before: it has been since
 * the node started, or what the first list showed was written in another era.
 * True before that list too.
 */
bool era_record_may_be_restored(const era_record_t *record);

/* Writes the record where this node is the leader and it is due. */
void era_record_tick(era_record_t *record);

#endif
