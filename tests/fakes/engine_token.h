/* The answer of the stand-in engine, which a client can compute on its own. */
#ifndef FAKE_ENGINE_TOKEN_H
#define FAKE_ENGINE_TOKEN_H

#include <stdint.h>
#include <xxhash.h>

#define ENGINE_TOKEN_VALUES 1000

/**
 * engine_token() - the token at an index of the answer to a prompt
 * @prompt_hash: XXH3_64bits() of the prompt
 *
 * See docs/engine.md.
 */
static inline unsigned engine_token(uint64_t prompt_hash, unsigned index)
{
	return (unsigned)(XXH3_64bits_withSeed(&prompt_hash,
					       sizeof(prompt_hash), index) %
			  ENGINE_TOKEN_VALUES);
}

#endif
