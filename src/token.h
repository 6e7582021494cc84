#ifndef PAPAYA_TOKEN_H
#define PAPAYA_TOKEN_H

enum { PAPAYA_TOKEN_SIZE = 16 }; /* bytes */

/* Text of a token, with a trailing space and NUL. */
typedef struct papaya_token {
	char text[PAPAYA_TOKEN_SIZE];
} papaya_token_t;

/*
 * Token at an index in the response of the stand-in engine to a prompt. It
 * depends on the arguments only, so that any client can verify a response.
 */
papaya_token_t papaya_token(
    const char *version, const char *prompt, unsigned index);

#endif
