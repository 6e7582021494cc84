#include "message_scan.h"

#include <stdint.h>

enum {
	/*
	 * Nested arrays: the message, a list in it, an entry of the list, and
	 * a list in the entry.
	 */
	DEPTH_MAX = 4,
};

typedef struct scan {
	const uint8_t *next;
	const uint8_t *end;
	size_t array_items; /* in the array header read last */
	bool is_array;	    /* the value read last is an array header */
} scan_t;

/* Reads a big-endian number of width bytes; false if bytes are missing. */
static bool
scan_number(scan_t *scan, size_t width, size_t *number)
{
	*number = 0;
	if ((size_t)(scan->end - scan->next) < width)
		return false;
	for (size_t i = 0; i < width; i++)
		*number = *number << 8 | *scan->next++;
	return true;
}

static bool
scan_skip(scan_t *scan, size_t length)
{
	if ((size_t)(scan->end - scan->next) < length)
		return false;
	scan->next += length;
	return true;
}

static bool
scan_length_prefixed(scan_t *scan, size_t width)
{
	size_t length;

	return scan_number(scan, width, &length) && scan_skip(scan, length);
}

/* Skips one value, or the header of one array. */
static bool
scan_value(scan_t *scan)
{
	size_t byte;

	scan->is_array = false;
	if (!scan_number(scan, 1, &byte))
		return false;
	if (byte <= 0x7f || byte >= 0xe0)
		return true;
	if (byte >= 0xa0 && byte <= 0xbf)
		return scan_skip(scan, byte & 0x1f);
	if (byte >= 0x90 && byte <= 0x9f) {
		scan->is_array = true;
		scan->array_items = byte & 0x0f;
		return true;
	}
	switch (byte) {
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xc4: /* bin 8 */
	case 0xd9: /* str 8 */
		return scan_length_prefixed(scan, 1);
	case 0xc5: /* bin 16 */
	case 0xda: /* str 16 */
		return scan_length_prefixed(scan, 2);
	case 0xc6: /* bin 32 */
	case 0xdb: /* str 32 */
		return scan_length_prefixed(scan, 4);
	case 0xcc: /* uint 8 */
	case 0xd0: /* int 8 */
		return scan_skip(scan, 1);
	case 0xcd: /* uint 16 */
	case 0xd1: /* int 16 */
		return scan_skip(scan, 2);
	case 0xce: /* uint 32 */
	case 0xd2: /* int 32 */
		return scan_skip(scan, 4);
	case 0xcb: /* float 64 */
	case 0xcf: /* uint 64 */
	case 0xd3: /* int 64 */
		return scan_skip(scan, 8);
	case 0xdc: /* array 16 */
		scan->is_array = true;
		return scan_number(scan, 2, &scan->array_items);
	default: /* nil, float 32, map, ext and array 32 are not used */
		return false;
	}
}

bool
message_well_formed(const void *payload, size_t length)
{
	scan_t scan = {
	    .next = payload, .end = (const uint8_t *)payload + length};
	size_t items_left[DEPTH_MAX + 1] = {1};
	size_t depth = 0;

	for (;;) {
		while (items_left[depth] == 0) {
			if (depth == 0)
				return scan.next == scan.end;
			depth--;
		}
		items_left[depth]--;
		if (!scan_value(&scan))
			return false;
		if (!scan.is_array)
			continue;
		if (depth == DEPTH_MAX ||
		    scan.array_items > (size_t)(scan.end - scan.next))
			return false;
		items_left[++depth] = scan.array_items;
	}
}
