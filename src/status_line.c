#include "status_line.h"

#include <glib.h>
#include <string.h>

enum {
	CODE_MIN = 100,
	CODE_MAX = 599,
	CODE_SWITCHING_PROTOCOLS = 101,
	DECIMAL = 10,
};

/* d: a digit; c: a digit of the status code; e: the end of the code. */
static const char pattern[] = "HTTP/1.d ccce";

enum { PATTERN_LENGTH = sizeof(pattern) - 1 };

static bool
is_code_valid(unsigned code)
{
	return code >= CODE_MIN && code <= CODE_MAX &&
	       code != CODE_SWITCHING_PROTOCOLS;
}

static bool
accept_byte(status_line_t *line, char byte)
{
	char expected = pattern[line->position];

	switch (expected) {
	case 'd':
		return g_ascii_isdigit(byte);
	case 'c':
		if (!g_ascii_isdigit(byte))
			return false;
		line->code =
		    line->code * DECIMAL + (unsigned)g_ascii_digit_value(byte);
		return true;
	case 'e':
		return is_code_valid(line->code) &&
		       (byte == ' ' || byte == '\r' || byte == '\n');
	default:
		return byte == expected;
	}
}

bool
status_line_feed(status_line_t *line, const char *bytes, size_t length)
{
	for (size_t i = 0; i < length && line->position < PATTERN_LENGTH; i++) {
		if (line->position == 0 &&
		    (bytes[i] == '\r' || bytes[i] == '\n'))
			continue;
		if (!accept_byte(line, bytes[i]))
			return false;
		line->position++;
	}
	return true;
}

bool
status_line_is_valid(const char *bytes, size_t length)
{
	status_line_t line = {0};

	return status_line_feed(&line, bytes, length) &&
	       line.position == PATTERN_LENGTH;
}
