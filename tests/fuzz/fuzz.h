/* What the fuzz targets share: the entry point and a reader of their input. */
#ifndef FUZZ_H
#define FUZZ_H

#include "ks/core.h"

G_BEGIN_DECLS

/* NOLINTNEXTLINE(readability-identifier-naming): named by libFuzzer */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/**
 * struct fuzz_input - bytes of an input that are not yet used
 */
typedef struct fuzz_input {
	const uint8_t *data;
	size_t left;
} fuzz_input_t;

/**
 * fuzz_input_byte() - the next byte, or 0 after the end
 */
static inline uint8_t fuzz_input_byte(fuzz_input_t *input)
{
	if (!input->left)
		return 0;
	input->left--;
	return *input->data++;
}

/**
 * fuzz_input_block() - a length of two bytes, the higher first, and as many
 * bytes, or what is left
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
 * fuzz_str() - a whole input as a string
 */
static inline ks_str_t fuzz_str(const uint8_t *data, size_t size)
{
	return (ks_str_t){ (const char *)data, size };
}

G_END_DECLS

#endif
