#ifndef PAPAYA_RELAY_FRAGMENT_H
#define PAPAYA_RELAY_FRAGMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a relay response that is larger than a datagram into fragments, and
 * puts them together again. A response of which a fragment is lost is dropped:
 * the follower's next request repeats it. No I/O.
 */

enum {
	RELAY_FRAGMENT_MAX_BYTES = 8 * 1024, /* of a response in a fragment */
	RELAY_FRAGMENTS_MAX = 8,
};

/*
 * Fragments (GByteArray *) of a response, in order; id tells the responses of a
 * sender apart. The caller owns the array and the fragments.
 */
GPtrArray *relay_split(const GByteArray *response, int64_t id);

typedef struct relay_assembler relay_assembler_t;

relay_assembler_t *relay_assembler_new(void);
void relay_assembler_free(relay_assembler_t *assembler);

typedef enum relay_assembly {
	RELAY_NOT_A_FRAGMENT,
	RELAY_INCOMPLETE, /* or a malformed or repeated fragment */
	RELAY_COMPLETE,
} relay_assembly_t;

/*
 * Takes a datagram. On RELAY_COMPLETE, *response is set to the bytes of the
 * whole response, which the caller owns. A fragment of another response drops
 * the ones received so far.
 */
relay_assembly_t relay_assemble(relay_assembler_t *assembler, const char *bytes,
    size_t length, GByteArray **response);

#endif
