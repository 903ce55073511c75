/* The upstreams that an entry opens links to, by rendezvous hashing. */
#include "ks/request.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct item {
	size_t index;
	ks_str_t domain;
	uint64_t score;
	uint64_t domain_score;
	double turn;
};

static uint64_t hash_str(ks_str_t text, uint64_t seed)
{
	return XXH64(text.len ? text.data : "", text.len, seed);
}

static int compare_str(ks_str_t a, ks_str_t b)
{
	int order =
		a.len && b.len ? memcmp(a.data, b.data, MIN(a.len, b.len)) : 0;

	return order ? order : (a.len > b.len) - (a.len < b.len);
}

static int compare_in_domains(const void *left, const void *right)
{
	const struct item *a = left, *b = right;
	int order = compare_str(a->domain, b->domain);

	if (order)
		return order;
	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	return (a->index > b->index) - (a->index < b->index);
}

static int compare_turns(const void *left, const void *right)
{
	const struct item *a = left, *b = right;

	if (a->turn != b->turn)
		return a->turn < b->turn ? -1 : 1;
	if (a->domain_score != b->domain_score)
		return a->domain_score > b->domain_score ? -1 : 1;
	return (a->index > b->index) - (a->index < b->index);
}

static int compare_index(const void *left, const void *right)
{
	size_t a = *(const size_t *)left, b = *(const size_t *)right;

	return (a > b) - (a < b);
}

/*
 * The best of each domain come first, so that every domain is represented.
 * The rest are taken in proportion to the size of their domain, which gives
 * each upstream about the same number of entries.
 */
static void set_turns(struct item *items, size_t count)
{
	size_t start = 0;

	while (start < count) {
		size_t end = start + 1;

		while (end < count &&
		       ks_str_equal(items[end].domain, items[start].domain))
			end++;
		for (size_t i = start; i < end; i++)
			items[i].turn = i == start
						? -1.0
						: ((double)(i - start) + 0.5) /
							  (double)(end - start);
		start = end;
	}
}

/**
 * ks_subset_choose() - choose the upstreams that an entry uses
 * @entry: name of the entry
 * @upstreams: ids of the upstreams of one model or service, in any order
 * @domains: failure domain of each
 * @wanted: number to choose
 * @chosen: filled with their indices, in rising order; room for @wanted
 *
 * Depends on the names only, so every restart chooses the same, and an upstream
 * that comes or goes changes the choice of few others. Called once for each
 * model or service, so that each of them is covered.
 *
 * Return: the number chosen, the lesser of @wanted and @count.
 */
size_t ks_subset_choose(ks_str_t entry, const ks_str_t *upstreams,
			const ks_str_t *domains, size_t count, size_t wanted,
			size_t *chosen)
{
	uint64_t seed = hash_str(entry, 0);
	struct item *items = g_new0(struct item, MAX(count, 1));

	wanted = MIN(wanted, count);
	for (size_t i = 0; i < count; i++) {
		items[i].index = i;
		items[i].domain = domains[i];
		items[i].score = hash_str(upstreams[i], seed);
		items[i].domain_score = hash_str(domains[i], seed);
	}
	qsort(items, count, sizeof(*items), compare_in_domains);
	set_turns(items, count);
	qsort(items, count, sizeof(*items), compare_turns);
	for (size_t i = 0; i < wanted; i++)
		chosen[i] = items[i].index;
	qsort(chosen, wanted, sizeof(*chosen), compare_index);
	g_free(items);
	return wanted;
}
