#ifndef PAPAYA_STATUS_LINE_H
#define PAPAYA_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks the start of a response up to its status code, as the HTTP parsers in
 * use accept more than RFC 9110 and RFC 9112 do: "HTTP/1.", a digit, a space
 * and exactly three digits, from 100 to 599. 101 is refused too, as no request
 * asks for another protocol.
 */
typedef struct status_line {
	unsigned position; /* characters accepted so far */
	unsigned code;	   /* value of the digits accepted so far */
} status_line_t;

/*
 * Takes the next bytes of a response; those behind the status code are ignored.
 * False if they make its status line invalid. A zeroed object begins a line;
 * empty lines before it are skipped.
 */
bool status_line_feed(status_line_t *line, const char *bytes, size_t length);

/* True for a valid status line that is complete, with its line end. */
bool status_line_is_valid(const char *bytes, size_t length);

#endif
