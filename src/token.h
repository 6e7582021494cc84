#ifndef PAPAYA_TOKEN_H
#define PAPAYA_TOKEN_H

enum { PAPAYA_TOKEN_SIZE = 16 };

/* Text of one token, with a trailing space and NUL. */
typedef struct papaya_token {
	char text[PAPAYA_TOKEN_SIZE];
} papaya_token_t;

/*
 * Token of the stand-in engine at an index of the response to a prompt. A
 * function of its arguments alone, so that any client can verify a response.
 */
papaya_token_t papaya_token(
    const char *version, const char *prompt, unsigned index);

#endif
