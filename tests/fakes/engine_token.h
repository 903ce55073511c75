/*
 * Output of the fake engine. It depends only on the prompt, so that a client
 * can verify each token, also after a retry or a resumed stream.
 */
#ifndef FAKE_ENGINE_TOKEN_H
#define FAKE_ENGINE_TOKEN_H

#include <stdint.h>

/* 2^64 divided by the golden ratio, which spreads consecutive indices. */
#define ENGINE_TOKEN_STEP UINT64_C(0x9E3779B97F4A7C15)
/* Tokens are in the range 0 to ENGINE_TOKEN_VALUES - 1. */
#define ENGINE_TOKEN_VALUES 100000

/**
 * engine_token() - compute one output token
 * @prompt_hash: XXH64() of the prompt with seed 0
 * @index: index of the token in the output, starting at 0
 *
 * See docs/engine.md.
 */
static inline unsigned engine_token(uint64_t prompt_hash, unsigned index)
{
	return (unsigned)((prompt_hash ^ (index * ENGINE_TOKEN_STEP)) %
			  ENGINE_TOKEN_VALUES);
}

#endif
