/* The account of what a process holds for its callers and upstreams. */
#include "ks/memory.h"

#include <string.h>

/**
 * ks_memory_init() - start an empty account
 * @machine_bytes: memory of the machine; 0 for no limit
 */
void ks_memory_init(ks_memory_t *memory, size_t machine_bytes)
{
	memset(memory, 0, sizeof(*memory));
	memory->budget = SIZE_MAX;
	if (machine_bytes)
		memory->budget =
			machine_bytes < KS_MEMORY_PROCESS_BYTES +
						KS_MEMORY_MIN_BUDGET
				? KS_MEMORY_MIN_BUDGET
				: machine_bytes - KS_MEMORY_PROCESS_BYTES;
}

/**
 * ks_memory_deinit() - check that nothing is held any more
 *
 * What is left was freed without its release, or is a leak.
 */
void ks_memory_deinit(ks_memory_t *memory)
{
	for (int i = 0; i < KS_MEMORY_N_KINDS; i++)
		g_assert_cmpuint(memory->used[i], ==, 0);
}

/**
 * ks_memory_charge() - record that memory is held
 */
void ks_memory_charge(ks_memory_t *memory, ks_memory_kind_t kind, size_t bytes)
{
	memory->used[kind] += bytes;
	memory->total += bytes;
}

/**
 * ks_memory_release() - record that memory was freed
 * @bytes: at most what was charged for @kind
 */
void ks_memory_release(ks_memory_t *memory, ks_memory_kind_t kind, size_t bytes)
{
	g_assert_cmpuint(bytes, <=, memory->used[kind]);
	memory->used[kind] -= bytes;
	memory->total -= bytes;
}

/**
 * ks_memory_hold() - charge or release the difference to what is held
 * @held: what the holder was charged for so far; set to @bytes
 */
void ks_memory_hold(ks_memory_t *memory, ks_memory_kind_t kind, size_t *held,
		    size_t bytes)
{
	if (bytes > *held)
		ks_memory_charge(memory, kind, bytes - *held);
	else
		ks_memory_release(memory, kind, *held - bytes);
	*held = bytes;
}

/**
 * ks_memory_left() - bytes of the budget that are left
 */
size_t ks_memory_left(const ks_memory_t *memory)
{
	return memory->budget - MIN(memory->total, memory->budget);
}

/**
 * ks_memory_pressure() - share of the budget that is held
 *
 * Return: 0 without a limit; above 1 if the budget is exceeded.
 */
double ks_memory_pressure(const ks_memory_t *memory)
{
	if (memory->budget == SIZE_MAX)
		return 0;
	return (double)memory->total / (double)memory->budget;
}
