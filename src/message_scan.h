#ifndef PAPAYA_MESSAGE_SCAN_H
#define PAPAYA_MESSAGE_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks the structure of a payload before msgpack-c parses it: msgpack-c
 * allocates arrays by the count in their header, so that a header of 5 bytes
 * makes it allocate 100 GB. True if the payload is exactly one value, no array
 * claims more items than bytes are left, arrays are not nested deeper than in
 * messages, and only the msgpack types that messages use appear.
 */
bool message_well_formed(const void *payload, size_t length);

#endif
