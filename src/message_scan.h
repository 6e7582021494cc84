#ifndef PAPAYA_MESSAGE_SCAN_H
#define PAPAYA_MESSAGE_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks the structure of a payload before msgpack-c sees it: msgpack-c
 * allocates an array by the count in its header, 100 GB for a header of 5
 * bytes. True where the payload is one whole value, no array claims more items
 * than there are bytes left, and only types that messages use appear.
 */
bool message_well_formed(const void *payload, size_t length);

#endif
