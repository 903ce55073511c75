/*
 * Entry point of the fuzz targets, which libFuzzer or fuzz_driver.c calls, and
 * functions that decode an input into steps.
 */
#ifndef FUZZ_H
#define FUZZ_H

#include "ks/core.h"

G_BEGIN_DECLS

/* NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/**
 * struct fuzz_input - unread part of an input
 */
typedef struct fuzz_input {
	const uint8_t *data;
	size_t left;
} fuzz_input_t;

/**
 * fuzz_input_byte() - read a byte
 *
 * Return: the byte, or 0 at the end of the input.
 */
static inline uint8_t fuzz_input_byte(fuzz_input_t *input)
{
	if (!input->left)
		return 0;
	input->left--;
	return *input->data++;
}

/**
 * fuzz_input_block() - read a 16-bit big-endian length and a block of that size
 *
 * Return: the block, which is shorter if the input ends before.
 */
static inline ks_str_t fuzz_input_block(fuzz_input_t *input)
{
	size_t high = fuzz_input_byte(input);
	size_t low = fuzz_input_byte(input);
	size_t len = MIN(high << 8 | low, input->left);
	ks_str_t block = { (const char *)input->data, len };

	input->data += len;
	input->left -= len;
	return block;
}

/**
 * fuzz_str() - view bytes of an input as a string
 */
static inline ks_str_t fuzz_str(const uint8_t *data, size_t size)
{
	return (ks_str_t){ (const char *)data, size };
}

G_END_DECLS

#endif
