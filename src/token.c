#include "token.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

papaya_token_t
papaya_token(const char *version, const char *prompt, unsigned index)
{
	uint64_t seed = XXH3_64bits(version, strlen(version)) + index;
	papaya_token_t token;

	snprintf(token.text, sizeof(token.text), "w%08x ",
	    (uint32_t)XXH3_64bits_withSeed(prompt, strlen(prompt), seed));
	return token;
}
