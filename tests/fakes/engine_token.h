/* The answer of the stand-in engine, which a client can compute on its own. */
#ifndef FAKE_ENGINE_TOKEN_H
#define FAKE_ENGINE_TOKEN_H

#include <stdint.h>

#define ENGINE_TOKEN_STEP UINT64_C(0x9E3779B97F4A7C15)
#define ENGINE_TOKEN_VALUES 100000

/**
 * engine_token() - the token at an index of the answer to a prompt
 * @prompt_hash: XXH64() of the prompt with seed 0
 *
 * See docs/engine.md.
 */
static inline unsigned engine_token(uint64_t prompt_hash, unsigned index)
{
	return (unsigned)((prompt_hash ^ (index * ENGINE_TOKEN_STEP)) %
			  ENGINE_TOKEN_VALUES);
}

#endif
